package control

import (
	"slices"
	"time"

	"sorrelloom/core/machine"
	"sorrelloom/core/state"
	"sorrelloom/core/status"
	"sorrelloom/core/wire"
)

const viewQueryInterval = 500 * time.Millisecond

// notAReplica is the result with which a proxy answers every command and heartbeat.
var notAReplica = state.Result{
	Code: status.NotPrimary, Reason: "this process is no replica; the addresses of the replicas are given",
}

// Proxy replaces a replica on a node without a disk. It is not a member of a view and holds
// no state; it redirects every client to the replicas.
type Proxy struct {
	self  wire.Member
	seeds []string
	view  wire.View
	// replicas are the addresses of replicas known from gossip.
	replicas  []string
	nextQuery time.Duration
	queries   int
}

var _ machine.Machine = (*Proxy)(nil)

// NewProxy returns a proxy that finds the replicas through the seed addresses. Its identity,
// self, is valid for one run of the process.
func NewProxy(self wire.Member, seeds []string) *Proxy { return &Proxy{self: self, seeds: seeds} }

// NextTimer implements machine.Machine.
func (p *Proxy) NextTimer() time.Duration { return p.nextQuery }

// Step implements machine.Machine.
func (p *Proxy) Step(now time.Duration, in machine.Input) machine.Output {
	var out machine.Output
	p.receive(in.Message, &out)
	if now >= p.nextQuery {
		p.nextQuery = now + viewQueryInterval
		p.queryView(&out)
	}
	out.Stopped = in.Stop
	return out
}

func (p *Proxy) receive(message machine.Message, out *machine.Output) {
	switch message.Kind {
	case wire.KindBootstrapProbe:
		machine.HandleBody(message, out, p.learnView)
		out.Send(message.From, wire.KindBootstrapReply, p.discovery())
	case wire.KindBootstrapReply:
		machine.HandleBody(message, out, p.learnView)
	case wire.KindNodeList:
		machine.HandleBody(message, out, p.learnReplicas)
	case wire.KindFeedUpdate:
		machine.HandleBody(message, out, func(update wire.FeedUpdate) { p.probeNewPrimary(update, out) })
	case wire.KindCommand, wire.KindHeartbeat, wire.KindSubscribe:
		p.redirect(message, out)
	case "":
	default:
		out.Warn("message_unknown", "kind", message.Kind, "from", message.From)
	}
}

func (p *Proxy) learnView(probe wire.BootstrapStatus) {
	if probe.View.Epoch > p.view.Epoch {
		p.view = probe.View
	}
}

func (p *Proxy) learnReplicas(gossip wire.Gossip) {
	p.replicas = nil
	for _, node := range gossip.Nodes {
		if node.Role == wire.RoleReplica {
			p.replicas = append(p.replicas, node.Address)
		}
	}
}

// probeNewPrimary asks the primary named in a feed update for its view, if that is newer than
// the known one.
func (p *Proxy) probeNewPrimary(update wire.FeedUpdate, out *machine.Output) {
	if update.Epoch > p.view.Epoch && update.Primary != "" {
		out.Send(update.Primary, wire.KindBootstrapProbe, p.discovery())
	}
}

// redirect rejects a client's request and tells it the addresses of the primary and the
// replicas. The answer to a subscription contains the primary only.
func (p *Proxy) redirect(message machine.Message, out *machine.Output) {
	primary := p.view.Primary.Address
	switch message.Kind {
	case wire.KindCommand:
		machine.HandleBody(message, out, func(request wire.CommandRequest) {
			out.Send(message.From, wire.KindCommandReply, wire.CommandReply{
				ID: request.ID, Result: notAReplica, Primary: primary, Replicas: p.replicaAddresses(),
				ReplicasEpoch: p.view.Epoch,
			})
		})
	case wire.KindHeartbeat:
		machine.HandleBody(message, out, func(request wire.HeartbeatRequest) {
			out.Send(message.From, wire.KindHeartbeatReply, wire.HeartbeatReply{
				ID: request.ID, Result: notAReplica, Primary: primary, Replicas: p.replicaAddresses(),
				ReplicasEpoch: p.view.Epoch,
			})
		})
	case wire.KindSubscribe:
		machine.HandleBody(message, out, func(request wire.SubscribeRequest) {
			out.Send(message.From, wire.KindFeedUpdate, wire.FeedUpdate{
				Rejected: true, Position: request.Position, Previous: request.Position, Primary: primary,
			})
		})
	}
}

// queryView asks one of the known replicas and seeds for its view, each in turn.
func (p *Proxy) queryView(out *machine.Output) {
	var others []string
	for _, address := range slices.Concat(p.replicaAddresses(), p.replicas, p.seeds) {
		if address != p.self.Address && !slices.Contains(others, address) {
			others = append(others, address)
		}
	}
	if p.queries++; len(others) > 0 {
		out.Send(others[p.queries%len(others)], wire.KindBootstrapProbe, p.discovery())
	}
}

func (p *Proxy) discovery() wire.BootstrapStatus {
	return wire.BootstrapStatus{Member: p.self, Empty: true, Proxy: true, View: p.view}
}

// replicaAddresses returns the addresses of the view's voters, or those of the replicas known
// from gossip if no view is known.
func (p *Proxy) replicaAddresses() []string {
	var addresses []string
	for _, voter := range p.view.Voters {
		addresses = append(addresses, voter.Address)
	}
	if addresses == nil {
		return p.replicas
	}
	return addresses
}

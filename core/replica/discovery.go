package replica

import (
	"slices"
	"time"

	"sorrelloom/core/machine"
	"sorrelloom/core/wire"
)

// discovery is what a replica knows of other processes from sources other than the view.
type discovery struct {
	// announcements are the latest statuses that other replicas sent, by address.
	announcements map[string]announcement
	// nodes is the membership list of all processes.
	nodes []wire.Node
	// requestedAt is when the newest view was last requested.
	requestedAt time.Duration
}

// announcement is the status that another replica sent, and when it arrived.
type announcement struct {
	wire.BootstrapStatus
	receivedAt time.Duration
}

// heard reports whether a member announced itself within the suspect timeout.
func (d *discovery) heard(now time.Duration, member wire.Member) bool {
	a := d.announcements[member.Address]
	return a.Member.ID == member.ID && now-a.receivedAt <= suspectTimeout
}

// announced returns the replicas with a disk that announced themselves within the suspect
// timeout and that wanted accepts, in no particular order.
func (d *discovery) announced(now time.Duration, wanted func(announcement) bool) []wire.Member {
	var out []wire.Member
	for _, a := range d.announcements {
		if !a.Proxy && now-a.receivedAt < suspectTimeout && wanted(a) {
			out = append(out, a.Member)
		}
	}
	return out
}

// replicas returns the replicas in the membership list.
func (d *discovery) replicas() []wire.Node {
	var out []wire.Node
	for _, node := range d.nodes {
		if node.Role == wire.RoleReplica {
			out = append(out, node)
		}
	}
	return out
}

// confirmedDead reports whether a replica with another identity has announced itself at a
// member's address since the member was last heard. Two processes cannot listen at the same
// address, so no timeout is needed. This only speeds up a proposal: safety does not depend on
// it.
func (r *Replica) confirmedDead(member wire.Member) bool {
	a, ok := r.discovery.announcements[member.Address]
	return ok && a.Member.ID != member.ID && a.receivedAt > r.peers.heardAt(member.ID)
}

// requestView asks the founders, the voters and all other known replicas for the newest view,
// at most once every two heartbeat intervals.
func (r *Replica) requestView(now time.Duration, out *machine.Output) {
	if r.discovery.requestedAt > 0 && now-r.discovery.requestedAt < 2*heartbeatInterval {
		return
	}
	for _, to := range r.discoveryTargets() {
		if to != r.self.Address {
			r.discovery.requestedAt = now
			out.Send(to, wire.KindBootstrapProbe, r.bootstrapStatus())
		}
	}
}

// discoveryTargets returns the addresses to ask for the view, without duplicates.
func (r *Replica) discoveryTargets() []string {
	targets := slices.Clone(r.config.Founders)
	for _, member := range r.view().Voters {
		if !slices.Contains(targets, member.Address) {
			targets = append(targets, member.Address)
		}
	}
	for _, node := range r.discovery.replicas() {
		if !slices.Contains(targets, node.Address) {
			targets = append(targets, node.Address)
		}
	}
	return targets
}

// bootstrapStatus returns the status that this replica announces.
func (r *Replica) bootstrapStatus() wire.BootstrapStatus {
	return wire.BootstrapStatus{Member: r.self, Empty: r.view().Epoch == 0, View: *r.view()}
}

// handleBootstrapStatus records the status of another replica, and replies if it is a probe.
// The reply waits for the disk, since it contains this replica's identity.
func (r *Replica) handleBootstrapStatus(
	now time.Duration, message machine.Message, b wire.BootstrapStatus, out *machine.Output,
) {
	if message.Kind == wire.KindBootstrapProbe {
		r.disk.sendAfterSync(message.From, wire.KindBootstrapReply, r.bootstrapStatus())
	}
	r.adoptView(now, b.View, out)
	r.discovery.announcements[b.Member.Address] = announcement{b, now}
	r.tryBootstrap(now)
}

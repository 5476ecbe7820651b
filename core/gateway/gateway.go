// Package gateway serves the HTTP API: the requests of callers, operators and workers. A
// gateway has no persistent state of its own. It answers reads from its read replica of the
// replicated state while that is fresh, sends writes to the primary as commands, and sends
// heartbeats to the scheduler that leads the worker's zone.
//
// Requests that can't be answered at once are kept in a table. Each step scans the table
// and answers the requests that are due. A request that can't be served in time is rejected
// with the time after which to retry.
package gateway

import (
	"slices"
	"time"

	"sorrelloom/core/feed"
	"sorrelloom/core/machine"
	"sorrelloom/core/state"
	"sorrelloom/core/wire"
)

const (
	// commandTimeout is how long a request waits for the result of its command.
	commandTimeout = 4 * time.Second
	// scanInterval is the maximum time between two scans of the table.
	scanInterval = 50 * time.Millisecond
	// maxPendingRequests bounds the size of the table.
	maxPendingRequests = 20000
)

// Config configures a Gateway.
type Config struct {
	Address string
	Zone    string
	// FirstCommandID must differ between two incarnations of the process; see
	// feed.NewReadReplica.
	FirstCommandID uint64
}

// Gateway is the machine.Machine that answers the requests of the HTTP API.
type Gateway struct {
	config  Config
	replica *feed.ReadReplica
	// requests is the table of unanswered requests, by their IDs.
	requests  map[uint64]pendingRequest
	nodes     []wire.Node
	nextTimer time.Duration
	stopping  bool
}

// pendingRequest is an unanswered request.
type pendingRequest struct {
	request  machine.Request
	deadline time.Duration
	// commandID is the ID of the command that answers the request, 0 if there is none.
	commandID uint64
	// lastSeenState is the job's state when a status request that waits for a change came in.
	lastSeenState string
	// delivery is used for heartbeats only.
	delivery heartbeatDelivery
}

// New returns a gateway with an empty read replica.
func New(config Config) *Gateway {
	return &Gateway{
		config:   config,
		replica:  feed.NewReadReplica(config.Address, config.Zone, config.FirstCommandID),
		requests: map[uint64]pendingRequest{},
	}
}

// NextTimer returns when Step must be called next.
func (g *Gateway) NextTimer() time.Duration { return g.nextTimer }

// Ready reports whether reads and writes can be served.
func (g *Gateway) Ready(now time.Duration) bool { return g.replica.Fresh(now) && !g.stopping }

// ConfigVersion returns the version of the configuration in the read replica.
func (g *Gateway) ConfigVersion() uint64 { return g.replica.Store.Config().Version }

// PendingCount returns the number of unanswered requests.
func (g *Gateway) PendingCount() int { return len(g.requests) }

// Step handles one input and scans the table of pending requests.
func (g *Gateway) Step(now time.Duration, in machine.Input) machine.Output {
	var out machine.Output
	var results []feed.CommandResult
	switch {
	case in.Stop:
		g.stopping = true
		g.replica.Stop(&out)
	case in.Request.ID > 0:
		g.handleRequest(now, in.Request, &out)
	case in.Message.Kind != "":
		results = g.handleMessage(now, in.Message, &out)
	}
	results = append(results, g.replica.HandleTimers(now, &out)...)
	g.scan(now, results, &out)
	g.replica.Store.TakeChanges()
	g.nextTimer = now + scanInterval
	out.Stopped = g.stopping && len(g.requests) == 0
	return out
}

// handleMessage handles a reply to a heartbeat or a membership list, and passes all messages
// other than heartbeat replies to the read replica. It returns the command results that the
// read replica received.
func (g *Gateway) handleMessage(now time.Duration, message machine.Message, out *machine.Output) []feed.CommandResult {
	switch message.Kind {
	case wire.KindHeartbeatReply:
		machine.HandleBody(message, out, func(reply wire.HeartbeatReply) { g.handleHeartbeatReply(now, reply, out) })
		return nil
	case wire.KindNodeList:
		var nodeList wire.Gossip
		if machine.Unmarshal(message.Body, &nodeList) == nil {
			g.nodes = nodeList.Nodes
		}
	}
	results, handled := g.replica.Receive(now, message, out)
	if !handled {
		out.Warn("message_unknown", "kind", message.Kind, "from", message.From)
	}
	return results
}

// scan answers the requests whose command has a result, and processes the pending status
// requests and heartbeats, in the order of the request IDs.
func (g *Gateway) scan(now time.Duration, results []feed.CommandResult, out *machine.Output) {
	resultOf := map[uint64]state.Result{}
	for _, result := range results {
		resultOf[result.ID] = result.Result
	}
	ids := make([]uint64, 0, len(g.requests))
	for id := range g.requests {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	for _, id := range ids {
		pending := g.requests[id]
		result, answered := resultOf[pending.commandID]
		switch {
		case pending.commandID > 0 && answered:
			g.handleCommandResult(pending, result, out)
		case pending.request.Kind == RequestStatus && pending.commandID == 0:
			g.scanStatus(now, pending, out)
		case pending.request.Kind == RequestHeartbeat:
			g.scanHeartbeat(now, pending, out)
		}
	}
}

// respond answers a request and removes it from the table.
func (g *Gateway) respond(requestID uint64, reply Reply, out *machine.Output) {
	delete(g.requests, requestID)
	out.Respond(requestID, reply)
}

// respondOK answers a request with success.
func (g *Gateway) respondOK(requestID uint64, body any, out *machine.Output) {
	g.respond(requestID, Reply{StatusCode: httpOK, Body: body}, out)
}

// handleCommandResult answers a request with the result of its command.
func (g *Gateway) handleCommandResult(pending pendingRequest, result state.Result, out *machine.Output) {
	id := pending.request.ID
	if !result.Code.IsSuccess() || !answersWithJob(pending.request.Kind) {
		g.respondResult(id, result, out)
		return
	}
	view := g.jobView(&result.Job, state.Result{Code: result.Code})
	g.respond(id, Reply{StatusCode: result.Code.HTTPStatus(), Body: view}, out)
}

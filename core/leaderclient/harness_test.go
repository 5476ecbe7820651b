package leaderclient

import (
	"fmt"
	"testing"
	"time"

	"sorrelloom/core/machine"
	"sorrelloom/core/state"
	"sorrelloom/core/status"
	"sorrelloom/core/wire"
)

const ms = time.Millisecond

// harness drives one client without a network, and records what it sends and answers.
type harness struct {
	*testing.T
	client *Client
	// sent and requests are the messages that the last step sent, as "kind>replica" and in
	// full.
	sent     []string
	requests []wire.CommandRequest
	// last holds the ID of the last command of each kind, counts the number of sends.
	last    map[state.CommandKind]uint64
	counts  map[state.CommandKind]int
	answers map[uint64]state.Result
	stopped bool
}

// newHarness returns a client that has bootstrap replicas and has probed the first.
func newHarness(t *testing.T, replicas ...string) *harness {
	return newIncarnation(t, 2, replicas...)
}

// newIncarnation is like newHarness, with the first command ID given.
func newIncarnation(t *testing.T, firstCommandID uint64, replicas ...string) *harness {
	h := &harness{
		T: t, client: New(Config{Address: "client", Replicas: replicas, FirstCommandID: firstCommandID}),
		last: map[state.CommandKind]uint64{}, counts: map[state.CommandKind]int{}, answers: map[uint64]state.Result{},
	}
	h.step(0, machine.Input{})
	return h
}

// step makes the client handle one input. Its next timer must be later.
func (h *harness) step(at time.Duration, in machine.Input) {
	h.Helper()
	h.sent, h.requests = nil, nil
	out := h.client.Step(at, in)
	for _, message := range out.Messages {
		request := message.Body.(wire.CommandRequest)
		kind := request.Command.Kind
		h.sent = append(h.sent, string(kind)+">"+message.To)
		h.requests = append(h.requests, request)
		h.last[kind] = request.ID
		h.counts[kind]++
	}
	for _, response := range out.Responses {
		if _, twice := h.answers[response.RequestID]; twice {
			h.Errorf("request %d is answered twice", response.RequestID)
		}
		h.answers[response.RequestID] = response.Body.(state.Result)
	}
	h.stopped = out.Stopped
	if timer := h.client.NextTimer(); timer <= at {
		h.Errorf("at %s the next timer is at %s", at, timer)
	}
}

// submit makes a request with a command of a kind.
func (h *harness) submit(at time.Duration, requestID uint64, kind state.CommandKind, wait time.Duration) {
	h.Helper()
	h.step(at, machine.Input{Request: machine.Request{
		ID: requestID, Kind: RequestCommand, Decoded: state.Command{Kind: kind}, Wait: wait,
	}})
}

// reply delivers a replica's reply to the last command of a kind.
func (h *harness) reply(at time.Duration, from string, kind state.CommandKind, reply wire.CommandReply) {
	h.Helper()
	reply.ID = h.last[kind]
	h.step(at, machine.Input{Message: machine.Message{
		Version: 1, Kind: wire.KindCommandReply, From: from, Body: machine.MustMarshal(reply),
	}})
}

// want checks which messages the last step sent.
func (h *harness) want(sent ...string) {
	h.Helper()
	if fmt.Sprint(h.sent) != fmt.Sprint(sent) {
		h.Errorf("sent %v, want %v", h.sent, sent)
	}
}

// Replies of a replica that leads, that has begun to confirm its leadership, and that does not
// lead.
var (
	success    = wire.CommandReply{Result: state.Result{Code: status.OK}}
	received   = wire.CommandReply{Received: true, Result: state.Result{Code: status.ReplicasUnavailable}}
	notPrimary = wire.CommandReply{Result: state.Result{Code: status.NotPrimary}}
)

// redirectTo returns the reply of a replica that does not lead but names the leader.
func redirectTo(to string) wire.CommandReply {
	return wire.CommandReply{Result: state.Result{Code: status.NotPrimary}, Primary: to}
}

// withReplicas returns the reply with the replicas of the view with an epoch.
func withReplicas(epoch uint64, reply wire.CommandReply, replicas ...string) wire.CommandReply {
	reply.Replicas, reply.ReplicasEpoch = replicas, epoch
	return reply
}

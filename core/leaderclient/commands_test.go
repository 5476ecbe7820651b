package leaderclient

import (
	"testing"
	"time"

	"sorrelloom/core/machine"
	"sorrelloom/core/state"
	"sorrelloom/core/status"
	"sorrelloom/core/wire"
)

// answerWith makes the leader answer the command with a code.
func answerWith(code status.Code) func(*harness) {
	return func(h *harness) { h.reply(20*ms, "k0", "accept", wire.CommandReply{Result: state.Result{Code: code}}) }
}

// answerSecondCopy makes the first leader lose its leadership, and the next one answer the
// second copy of the command with a code.
func answerSecondCopy(kind state.CommandKind, code status.Code) func(*harness) {
	return func(h *harness) {
		h.reply(200*ms, "k0", kind, redirectTo("k1"))
		h.reply(210*ms, "k1", "prove", received)
		h.want(string(kind) + ">k1")
		h.reply(220*ms, "k1", kind, wire.CommandReply{Result: state.Result{Code: code}})
	}
}

// advanceTo lets the time pass up to now.
func advanceTo(now time.Duration) func(*harness) {
	return func(h *harness) { h.step(now, machine.Input{}) }
}

const (
	accept = state.KindAcceptJob
	cancel = state.KindCancelJob
	read   = state.KindReadJob
)

var commandOutcomes = []struct {
	name string
	kind state.CommandKind
	wait time.Duration
	do   func(*harness)
	want status.Code
}{
	{"success", accept, time.Second, answerWith(status.OK), status.OK},
	{"a rejection", accept, time.Second, answerWith(status.InvalidJob), status.InvalidJob},
	{"queue full", accept, time.Second, answerWith(status.QueueFull), status.QueueFull},
	{"a rejection of the second copy", accept, time.Second,
		answerSecondCopy(accept, status.InvalidJob), status.InvalidJob},
	{"queue full for the second copy", accept, time.Second,
		answerSecondCopy(accept, status.QueueFull), status.NoResponse},
	{"no route for the second copy", accept, time.Second,
		answerSecondCopy(accept, status.NoRoute), status.NoResponse},
	{"an unknown key for the second copy", accept, time.Second,
		answerSecondCopy(accept, status.UnknownKey), status.NoResponse},
	{"an unknown key", accept, time.Second, answerWith(status.UnknownKey), status.UnknownKey},
	{"no route", accept, time.Second, answerWith(status.NoRoute), status.NoRoute},
	{"no route for the second copy of a read", read, time.Second,
		answerSecondCopy(read, status.NoRoute), status.NoRoute},
	{"an internal error for the second copy", accept, time.Second,
		answerSecondCopy(accept, status.Internal), status.NoResponse},
	{"the deadline passes", accept, time.Second, advanceTo(1010 * ms), status.NoResponse},
	{"the primary does not lead, and the deadline passes", accept, 30 * ms, func(h *harness) {
		h.reply(20*ms, "k0", "accept", notPrimary)
		h.step(40*ms, machine.Input{})
	}, status.NoResponse},
	{"no confirmation for leaderTimeout", accept, time.Minute, advanceTo(4001 * ms), status.NoResponse},
}

// TestCommandOutcome checks the result of one command: it is a rejection only if no copy of the
// command can have been accepted.
func TestCommandOutcome(t *testing.T) {
	for _, test := range commandOutcomes {
		t.Run(test.name, func(t *testing.T) {
			h := newHarness(t, "k0", "k1", "k2")
			h.reply(5*ms, "k0", "prove", received)
			h.submit(10*ms, 7, test.kind, test.wait)
			h.want(string(test.kind) + ">k0")
			if result, early := h.answers[7]; early {
				t.Fatalf("answered before the replica: %+v", result)
			}
			test.do(h)
			result, ok := h.answers[7]
			if !ok || result.Code != test.want {
				t.Fatalf("answered %v with %s, want %s", ok, result.Code, test.want)
			}
			if result.Code == status.NoResponse && result.RetryAfter != time.Second {
				t.Errorf("retry after %s", result.RetryAfter)
			}
			if h.client.PendingCount() != 0 {
				t.Errorf("%d commands are still pending", h.client.PendingCount())
			}
		})
	}
}

// TestUnsentCommandExpires checks that, while no replica leads, a command is kept for as long as
// a change of leader takes, and is then rejected.
func TestUnsentCommandExpires(t *testing.T) {
	table := []struct {
		name string
		kind state.CommandKind
		wait time.Duration
		held time.Duration
	}{
		{"a job", state.KindAcceptJob, 10 * time.Second, maxUnsentWait},
		{"a read", state.KindReadJob, 10 * time.Second, maxUnsentWait},
		{"a job with an earlier deadline", state.KindAcceptJob, 300 * ms, 300 * ms},
	}
	for _, row := range table {
		t.Run(row.name, func(t *testing.T) {
			h := newHarness(t, "k0", "k1", "k2")
			h.submit(10*ms, 7, row.kind, row.wait)
			for at := 20 * ms; at < 10*ms+row.held; at += 10 * ms {
				h.reply(at, h.client.leader.primary, state.KindConfirmLeadership, notPrimary)
				if _, early := h.answers[7]; early {
					t.Fatalf("answered at %s", at)
				}
			}
			h.step(10*ms+row.held, machine.Input{})
			result, ok := h.answers[7]
			if !ok || result.Code != status.ReplicasUnavailable || result.RetryAfter != retryAfter {
				t.Errorf("answered %v: %+v", ok, result)
			}
			if n := h.counts[row.kind]; n > 0 {
				t.Errorf("sent %d times, want 0", n)
			}
		})
	}
}

// TestImmediateRejection checks the requests that are rejected in the step that receives them.
func TestImmediateRejection(t *testing.T) {
	command := machine.Request{Kind: RequestCommand, Decoded: state.Command{}, Wait: time.Second}
	withoutWait, withoutCommand := command, command
	withoutWait.Wait, withoutCommand.Decoded = 0, 7
	table := []struct {
		name    string
		at      time.Duration
		request machine.Request
		stop    bool
		want    status.Code
	}{
		{"no time left", 10 * ms, withoutWait, false, status.ReplicasUnavailable},
		{"no confirmation for leaderTimeout", 4001 * ms, command, false, status.ReplicasUnavailable},
		{"stopping", 10 * ms, command, true, status.ShuttingDown},
		{"not a command", 10 * ms, withoutCommand, false, status.Internal},
	}
	for _, test := range table {
		t.Run(test.name, func(t *testing.T) {
			h := newHarness(t, "k0")
			if test.stop {
				h.step(5*ms, machine.Input{Stop: true})
			}
			test.request.ID = 3
			h.step(test.at, machine.Input{Request: test.request})
			result, ok := h.answers[3]
			if !ok || result.Code != test.want || result.RetryAfter != time.Second {
				t.Errorf("answered %v: %+v, want %s", ok, result, test.want)
			}
		})
	}
}

// TestReplyToEarlierIncarnationIsDropped checks that two incarnations of a process use different
// command IDs, so that a late reply to the first answers no command of the second.
func TestReplyToEarlierIncarnationIsDropped(t *testing.T) {
	h := newHarness(t, "k0")
	h.reply(5*ms, "k0", "prove", received)
	h.submit(10*ms, 1, state.KindAcceptJob, time.Second)
	late := h.last[state.KindAcceptJob]
	next := newIncarnation(t, 1<<40, "k0")
	next.reply(5*ms, "k0", "prove", received)
	next.submit(10*ms, 1, state.KindReadJob, time.Second)
	own := next.last[state.KindReadJob]
	next.last[state.KindReadJob] = late
	next.reply(12*ms, "k0", state.KindReadJob, success)
	if len(next.answers) > 0 {
		t.Fatalf("the reply to command %d of the earlier incarnation answers command %d", late, own)
	}
	next.last[state.KindReadJob] = own
	next.reply(14*ms, "k0", state.KindReadJob, success)
	if len(next.answers) != 1 {
		t.Error("the reply to its own command is not accepted")
	}
}

// TestCommandCarriesItsDeadline checks that a command carries the time until its deadline and,
// once the state time is known, the deadline in state time.
func TestCommandCarriesItsDeadline(t *testing.T) {
	h := newHarness(t, "k0")
	h.reply(5*ms, "k0", "prove", received)
	h.submit(10*ms, 1, state.KindAcceptJob, time.Second)
	if request := h.requests[0]; request.Timeout != time.Second || request.Deadline != 0 || request.Retry {
		t.Errorf("before a confirmation: %+v", request)
	}
	confirmation := wire.CommandReply{Result: state.Result{Code: status.OK, Time: time.Hour}}
	h.reply(40*ms, "k0", "prove", confirmation)
	h.submit(50*ms, 2, state.KindAcceptJob, time.Second)
	request := h.requests[0]
	least, most := time.Hour+time.Second+10*ms, time.Hour+time.Second+60*ms
	if request.Timeout != time.Second || request.Deadline < least || request.Deadline > most {
		t.Errorf("after a confirmation: timeout %s, deadline %s", request.Timeout, request.Deadline)
	}
}

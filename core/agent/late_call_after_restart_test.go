package agent

import (
	"testing"
	"time"

	"sorrelloom/core/machine"
	"sorrelloom/core/state"
)

// lateCalls are calls that a worker sent to the agent before this one, a second apart since it
// got no answer, and that come now.
func lateCalls(h *harness, worker string, numbers ...uint64) {
	for _, number := range numbers {
		late := h.call
		late.Worker, late.Number, late.SentAt = worker, number, time.Duration(number)*time.Second
		h.request(machine.Request{Kind: RequestCall, Decoded: late})
		h.advance(20 * ms)
		h.accept(state.HeartbeatReply{})
	}
}

// TestLateCallsAfterRestartConfirmNothing guards against TWICE: calls of a worker that come
// seconds late to an agent that has just started, several and consecutive ones, passed for
// recent, and the runs that the worker had started since were given to others.
func TestLateCallsAfterRestartConfirmNothing(t *testing.T) {
	for _, row := range []struct {
		name  string
		calls []uint64
		clock bool
	}{
		{"two consecutive calls", []uint64{303, 304}, true},
		{"three calls", []uint64{303, 304, 305}, true},
		{"with gaps", []uint64{303, 305, 308, 309}, true},
		{"out of order", []uint64{304, 303, 305, 304, 306}, true},
		{"of a worker without a clock", []uint64{303, 304, 305, 306}, false},
	} {
		t.Run(row.name, func(t *testing.T) {
			h := newHarness(t, 9000)
			for _, number := range row.calls {
				late := h.call
				late.Number = number
				if row.clock {
					late.SentAt = time.Duration(number) * time.Second
				}
				h.request(machine.Request{Kind: RequestCall, Decoded: late})
				h.advance(20 * ms)
				if !h.heartbeat().Unconfirmed {
					t.Fatalf("call %d is reported as a recent one", number)
				}
				h.accept(state.HeartbeatReply{})
			}
			if !row.clock {
				return
			}
			h.call.Number = 310
			h.callAgent(withRuns("y"))
			h.advance(50 * ms)
			h.equal("after a recent call", h.heartbeat().Unconfirmed, true)
			h.callAgent(nil)
			h.equal("after the call that followed its answer", h.heartbeat().Unconfirmed, false)
			h.equal("reported runs", h.heartbeat().Running, attemptsOf("y"))
		})
	}
}

// TestLateCallsOfEarlierWorkerReplaceNobody has several late calls of a worker that has
// crashed come after that of the worker in its place: none of them ends what that one runs.
func TestLateCallsOfEarlierWorkerReplaceNobody(t *testing.T) {
	h := newHarness(t, 9000)
	h.call.Worker = "w2"
	h.callAgent(withRuns("y"))
	h.advance(50 * ms)
	h.callAgent(nil)
	h.advance(20 * ms)
	h.accept(state.HeartbeatReply{})
	lateCalls(h, "w1", 303, 304, 305, 306)
	h.equal("worker", h.agent.Status().Worker, "w2")
	for _, report := range h.reports {
		h.equal("reported worker", report.Heartbeat.Worker, "w2")
	}
}

// TestWorkerWithoutClockIsConfirmedInTheEnd has a worker without a clock call for longer than
// a call may be late.
func TestWorkerWithoutClockIsConfirmedInTheEnd(t *testing.T) {
	h := newHarness(t, 9000)
	for h.now < time.Second+maxCallDelay {
		h.callAgent(func(c *Call) { c.SentAt = 0 })
		h.advance(20 * ms)
		h.equal("unconfirmed", h.heartbeat().Unconfirmed, true)
		h.accept(state.HeartbeatReply{})
		h.advance(500 * ms)
	}
	h.callAgent(func(c *Call) { c.SentAt = 0 })
	h.advance(700 * ms)
	h.equal("unconfirmed after that", h.heartbeat().Unconfirmed, false)
}

// TestLateCallOfEarlierWorkerAfterRestart has a late call of a worker that has crashed
// come to an agent that has just restarted, after the first call of the worker in its
// place. The one that calls now is to be kept.
func TestLateCallOfEarlierWorkerAfterRestart(t *testing.T) {
	h := newHarness(t, 9000)
	late := h.call
	late.Number = 9
	h.call.Worker = "w2"
	h.callAgent(nil)
	h.advance(20 * ms)
	h.accept(state.HeartbeatReply{})
	h.request(machine.Request{Kind: RequestCall, Decoded: late})
	for range 3 {
		h.advance(100 * ms)
		if reply := h.callAgent(nil); reply.LeaseRemaining == 0 {
			t.Errorf("the worker that calls is answered %+v", reply)
		}
		h.accept(state.HeartbeatReply{})
	}
	h.equal("worker", h.agent.Status().Worker, "w2")
}

package agent

import (
	"testing"
	"time"

	"sorrelloom/core/machine"
	"sorrelloom/core/state"
)

// lateCalls delivers calls that a worker sent to the previous incarnation of the agent, one
// second apart since it got no replies.
func lateCalls(h *harness, worker string, numbers ...uint64) {
	for _, number := range numbers {
		late := h.call
		late.Worker, late.Number, late.SentAt = worker, number, time.Duration(number)*time.Second
		h.request(machine.Request{Kind: RequestCall, Decoded: late})
		h.advance(20 * ms)
		h.accept(state.HeartbeatReply{})
	}
}

// TestLateCallsAfterRestartAreUnconfirmed guards against tasks that run twice: several
// consecutive calls of a worker that reached a restarted agent seconds late were taken for
// recent ones, and the runs that the worker had started since were granted to other workers.
func TestLateCallsAfterRestartAreUnconfirmed(t *testing.T) {
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
					t.Fatalf("late call %d is reported as confirmed", number)
				}
				h.accept(state.HeartbeatReply{})
			}
			if !row.clock {
				return
			}
			h.call.Number = 310
			h.callAgent(withRuns("y"))
			h.advance(50 * ms)
			h.equal("unconfirmed after a recent call", h.heartbeat().Unconfirmed, true)
			h.callAgent(nil)
			h.equal("unconfirmed after the call that followed its reply", h.heartbeat().Unconfirmed, false)
			h.equal("reported runs", h.heartbeat().Running, attemptsOf("y"))
		})
	}
}

// TestLateCallsOfEarlierWorkerAreIgnored checks that several late calls of a crashed worker,
// which arrive after the first calls of its replacement, do not replace that worker and its
// runs.
func TestLateCallsOfEarlierWorkerAreIgnored(t *testing.T) {
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

// TestWorkerWithoutClockIsConfirmedEventually checks that a worker that does not report its send
// times is confirmed once it has called for longer than maxCallDelay.
func TestWorkerWithoutClockIsConfirmedEventually(t *testing.T) {
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
	h.equal("unconfirmed after maxCallDelay", h.heartbeat().Unconfirmed, false)
}

// TestLateCallOfEarlierWorkerAfterRestart checks that a late call of a crashed worker, which
// reaches a restarted agent after the first call of the worker's replacement, does not displace
// the replacement.
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
			t.Errorf("the current worker is given no lease: %+v", reply)
		}
		h.accept(state.HeartbeatReply{})
	}
	h.equal("worker", h.agent.Status().Worker, "w2")
}

package agent

import (
	"testing"

	"sorrelloom/core/state"
	"sorrelloom/core/status"
	"sorrelloom/core/wire"
)

// TestEndsAreAcknowledgedOnlyAfterThePrimary checks that the agent acknowledges an ended run to
// the worker only once the primary has acknowledged it and all ended runs with lower numbers.
func TestEndsAreAcknowledgedOnlyAfterThePrimary(t *testing.T) {
	h := newHarness(t, 1)
	h.callAgent(withRuns("a", "b", "c"))
	h.advance(20 * ms)
	h.accept(state.HeartbeatReply{})
	h.advance(20 * ms)
	list := []EndedRun{endOf(1, "a", OutcomeSucceeded), endOf(2, "b", OutcomeFailed), endOf(3, "c", OutcomeStopped)}
	list[1].Checkpoint, list[1].Percent, list[1].Reason = "half", 50, "broke"
	h.equal("acknowledged", h.callAgent(withEnds(list...)).AcknowledgedUpTo, uint64(0))
	h.equal("reported at once", h.heartbeat().Ended, []state.AttemptResult{
		{Attempt: attemptOf("a"), Succeeded: true},
		{Attempt: attemptOf("b"), Reason: "broke", Checkpoint: "half", Percent: 50},
		{Attempt: attemptOf("c"), Stopped: true},
	})
	h.equal("running", jobsOf(h.heartbeat().Running), []string(nil))
	h.advance(20 * ms)
	h.accept(state.HeartbeatReply{Acks: attemptsOf("b", "c")})
	h.equal("the first is not acknowledged", h.callAgent(nil).AcknowledgedUpTo, uint64(0))
	h.advance(20 * ms)
	h.equal("the first is reported again", jobsOfEnds(h.heartbeat().Ended), []string{"a"})
	h.reject(status.ReplicasUnavailable, 0, "")
	h.equal("a rejection acknowledges nothing", h.callAgent(nil).AcknowledgedUpTo, uint64(0))
	h.advance(200 * ms)
	h.callAgent(withEnds(append(list, endOf(4, "d", OutcomeLost))...))
	stale := state.Result{Heartbeat: state.HeartbeatReply{Acks: attemptsOf("a", "d")}}
	h.deliver(wire.HeartbeatReply{ID: h.lastReport().ID - 2, Result: stale})
	h.equal("a stale reply acknowledges nothing", h.callAgent(nil).AcknowledgedUpTo, uint64(0))
	h.deliver(wire.HeartbeatReply{ID: h.lastReport().ID - 1, Result: stale})
	h.equal("a late reply acknowledges what its report carried", h.callAgent(nil).AcknowledgedUpTo, uint64(3))
	h.advance(20 * ms)
	h.accept(state.HeartbeatReply{Acks: attemptsOf("a")})
	h.equal("all but the last are acknowledged", h.callAgent(nil).AcknowledgedUpTo, uint64(3))
	h.advance(20 * ms)
	h.equal("the last is reported", h.heartbeat().Ended, []state.AttemptResult{{Attempt: attemptOf("d"), Lost: true}})
	h.accept(state.HeartbeatReply{Acks: attemptsOf("d")})
	h.equal("all are acknowledged", h.callAgent(withEnds()).AcknowledgedUpTo, uint64(4))
}

// TestProgressIsReportedUntilAcknowledged checks that a checkpoint is reported again after the
// report that carried it was rejected.
func TestProgressIsReportedUntilAcknowledged(t *testing.T) {
	h := newHarness(t, 1)
	h.callAgent(func(c *Call) { c.Running = []Run{{attemptOf("r"), "s1", 10}, runOf("q")} })
	want := []state.Progress{{Attempt: attemptOf("r"), Checkpoint: "s1", Percent: 10}}
	h.equal("progress", h.heartbeat().Progress, want)
	h.reject(status.ReplicasUnavailable, 0, "")
	h.advance(120 * ms)
	h.equal("reported again", h.heartbeat().Progress, want)
	h.advance(20 * ms)
	h.accept(state.HeartbeatReply{})
	h.advance(20 * ms)
	h.equal("progress after the acknowledgement", len(h.heartbeat().Progress), 0)
}

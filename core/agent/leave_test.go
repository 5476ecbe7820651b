package agent

import (
	"testing"

	"sorrelloom/core/machine"
	"sorrelloom/core/state"
)

// signOff signs worker w off, without its calls having said that it leaves.
func (h *harness) signOff() CallReply {
	return h.request(machine.Request{Kind: RequestSignOff, Name: "w"})
}

// TestSignOffBeforeLastHeartbeats has a worker that runs two tasks sign off, although its calls
// never say that it leaves, and go on calling for longer than a lease. It counts as leaving
// from the sign-off on: it gets no start, and each start that the primary orders is reported as
// lost. Its tasks keep the lease, and the end of one is acknowledged.
func TestSignOffBeforeLastHeartbeats(t *testing.T) {
	h := newHarness(t, 1)
	h.callAgent(withRuns("r", "q"))
	h.advance(20 * ms)
	h.accept(ordersToStart("a"))
	h.advance(20 * ms)
	reports := len(h.reports)
	h.equal("starts in the reply to the sign-off", startedJobs(h.signOff()), []string(nil))
	h.advance(10 * ms)
	if len(h.reports) == reports {
		t.Fatal("the sign-off is not reported at once")
	}
	h.equal("the start that was not handed over is lost", lostJobs(h.heartbeat()), []string{"a"})
	h.accept(state.HeartbeatReply{Acks: attemptsOf("a")})
	for range 100 {
		h.advance(90 * ms)
		reply := h.callAgent(nil)
		h.equal("starts", startedJobs(reply), []string(nil))
		if reply.LeaseRemaining < lease-200*ms {
			t.Fatalf("at %s only %s of the lease remain", h.now, reply.LeaseRemaining)
		}
		h.advance(10 * ms)
		report := h.heartbeat()
		h.equal("leaving", report.Leaving, true)
		h.equal("running", jobsOf(report.Running), []string{"r", "q"})
		orders := ordersToStart("b")
		orders.Acks = attemptsOf(lostJobs(report)...)
		h.accept(orders)
	}
	h.advance(10 * ms)
	h.equal("the primary's start is lost", lostJobs(h.heartbeat()), []string{"b"})
	h.callAgent(func(c *Call) { withRuns("q")(c); withEnds(endOf(1, "r", OutcomeSucceeded))(c) })
	h.advance(10 * ms)
	h.equal("ended", jobsOfEnds(h.heartbeat().Ended), []string{"r", "b"})
	h.accept(state.HeartbeatReply{Acks: attemptsOf("r", "b")})
	h.equal("acknowledged", h.callAgent(nil).AcknowledgedUpTo, uint64(1))
	h.advance(10 * ms)
	h.equal("leaving after the end", h.heartbeat().Leaving, true)
}

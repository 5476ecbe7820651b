package agent

import (
	"testing"

	"sorrelloom/core/machine"
	"sorrelloom/core/state"
)

// signOff has the worker w say that it leaves, though its heartbeats never said so.
func (h *harness) signOff() CallReply {
	return h.request(machine.Request{Kind: RequestLeave, Name: "w"})
}

// TestSignOffBeforeLastHeartbeats has a worker that runs two tasks sign off without ever
// having said that it leaves, and go on with its heartbeats for longer than a lease. It
// leaves from the sign-off on: it gets no start, and each one that the core orders is
// reported as lost. Its tasks keep the lease, and the end of one is acknowledged.
func TestSignOffBeforeLastHeartbeats(t *testing.T) {
	p := newHarness(t, 1)
	p.callAgent(withRuns("r", "q"))
	p.advance(20 * ms)
	p.accept(ordersToStart("a"))
	p.advance(20 * ms)
	reports := len(p.reports)
	p.equal("starts in the reply to the sign-off", startedJobs(p.signOff()), []string(nil))
	p.advance(10 * ms)
	if len(p.reports) == reports {
		t.Fatal("the sign-off is not reported at once")
	}
	p.equal("the start that it had not got is lost", lostJobs(p.lastReport().Heartbeat), []string{"a"})
	p.accept(state.HeartbeatReply{Acks: []state.Attempt{attemptOf("a")}})
	for range 100 {
		p.advance(90 * ms)
		reply := p.callAgent(nil)
		p.equal("starts", startedJobs(reply), []string(nil))
		if reply.LeaseRemaining < lease-200*ms {
			t.Fatalf("at %s only %s of the lease is left", p.now, reply.LeaseRemaining)
		}
		p.advance(10 * ms)
		report := p.lastReport().Heartbeat
		p.equal("leaving", report.Leaving, true)
		p.equal("running", jobsOf(report.Running), []string{"r", "q"})
		orders := ordersToStart("b")
		orders.Acks = jobAttempts(lostJobs(report))
		p.accept(orders)
	}
	p.advance(10 * ms)
	p.equal("the core's start is lost", lostJobs(p.lastReport().Heartbeat), []string{"b"})
	p.callAgent(func(c *Call) { withRuns("q")(c); withEnds(endOf(1, "r", OutcomeSucceeded))(c) })
	p.advance(10 * ms)
	p.equal("ended", jobsOfEnds(p.lastReport().Heartbeat.Ended), []string{"r", "b"})
	p.accept(state.HeartbeatReply{Acks: jobAttempts([]string{"r", "b"})})
	p.equal("acknowledged", p.callAgent(nil).AcknowledgedEnds, uint64(1))
	p.advance(10 * ms)
	p.equal("leaving after the end", p.lastReport().Heartbeat.Leaving, true)
}

func jobAttempts(jobs []string) (attempts []state.Attempt) {
	for _, job := range jobs {
		attempts = append(attempts, attemptOf(job))
	}
	return attempts
}

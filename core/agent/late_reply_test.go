package agent

import (
	"testing"
	"time"

	"sorrelloom/core/state"
	"sorrelloom/core/wire"
)

// acceptedStart is the name of the only test case in which the start is accepted.
const acceptedStart = "the start is accepted"

// grantedStart returns a start of a job whose lease was granted on the report with a number.
func grantedStart(job string, grantedOn uint64) state.StartOrder {
	start := startOf(job)
	start.GrantedOnHeartbeat = grantedOn
	return start
}

// replaceReport changes the worker's free resources, so that a new report replaces the one in
// flight.
func replaceReport(h *harness) {
	h.advance(20 * ms)
	h.callAgent(func(c *Call) { c.Free.Cores++ })
}

// newHarnessWithReplacedReport returns an agent that has received an answer, and whose report in
// flight has since replaced another one. It also returns the replaced report.
func newHarnessWithReplacedReport(t *testing.T) (*harness, wire.HeartbeatRequest) {
	h := newHarness(t, 1)
	h.callAgent(withRuns("r"))
	h.callAgent(nil)
	h.advance(20 * ms)
	h.accept(state.HeartbeatReply{})
	h.callAgent(withEnds(endOf(1, "e", OutcomeSucceeded)))
	h.advance(20 * ms)
	replaced := h.lastReport()
	replaceReport(h)
	h.equal("number", h.heartbeat().Number, replaced.Heartbeat.Number+1)
	h.equal("last reply", h.heartbeat().LastReply, replaced.Heartbeat.LastReply)
	return h, replaced
}

// answer delivers the reply to a report.
func (h *harness) answer(request wire.HeartbeatRequest, orders state.HeartbeatReply) {
	orders.LeaseDuration = lease
	h.deliver(wire.HeartbeatReply{ID: request.ID, Result: state.Result{Heartbeat: orders}})
}

// TestLateReplyIsAccepted checks that the lease, stop, start and acknowledgement in the reply to a
// replaced report are accepted, and the reply to the report in flight as well.
func TestLateReplyIsAccepted(t *testing.T) {
	h, replaced := newHarnessWithReplacedReport(t)
	before := h.agent.Status().LeaseExpiry
	h.answer(replaced, state.HeartbeatReply{
		Stops: attemptsOf("r"), Acks: attemptsOf("e"),
		Starts: []state.StartOrder{grantedStart("a", replaced.Heartbeat.Number)},
	})
	if h.agent.Status().LeaseExpiry <= before {
		t.Error("the lease was not renewed")
	}
	reply := h.callAgent(nil)
	h.equal("starts", startedJobs(reply), []string{"a"})
	h.equal("stops", jobsOf(reply.Stops), []string{"r"})
	h.equal("acknowledged", reply.AcknowledgedUpTo, uint64(1))
	h.advance(20 * ms)
	h.accept(ordersToStart("b"))
	h.equal("starts of the report in flight as well", startedJobs(h.callAgent(nil)), []string{"a", "b"})
	h.advance(20 * ms)
	h.equal("last reply", h.heartbeat().LastReply, replaced.Heartbeat.Number+1)
}

// TestStartOfLateReply checks that a start in a late reply is accepted unless the primary can
// conclude from a report sent since, which does not list the start, that it does not run.
func TestStartOfLateReply(t *testing.T) {
	for _, row := range []struct {
		name string
		// behind is how much lower the number of the report on which the start was granted is
		// than that of the newest report whose reply was accepted.
		behind uint64
		before func(h *harness)
	}{
		{acceptedStart, 1, func(*harness) {}},
		{"it was granted 2 reports before the newest with an accepted reply", 2, func(*harness) {}},
		{"it was granted 3 reports before the newest with an accepted reply", 3, func(*harness) {}},
		{"the worker's properties changed since", 0, func(h *harness) {
			h.advance(20 * ms)
			h.callAgent(func(c *Call) { c.Labels = []string{"new"} })
		}},
		{"the worker leaves", 0, func(h *harness) {
			h.advance(20 * ms)
			h.callAgent(func(c *Call) { c.Leaving = true })
		}},
		{"a later report was answered", 0, func(h *harness) { h.accept(state.HeartbeatReply{}) }},
		{"the target replica changed since", 0, func(h *harness) { h.agent.replicas.selectNext() }},
		{"the worker was silent since", 0, func(h *harness) { h.advance(1100 * ms) }},
		{"it is over 2 s old", 0, func(h *harness) {
			for range 22 {
				h.advance(100 * ms)
				h.callAgent(nil)
			}
		}},
	} {
		t.Run(row.name, func(t *testing.T) {
			h, _ := newHarnessWithReplacedReport(t)
			h.agent.worker.reports.number += 10 // so that no number is below 1
			replaceReport(h)
			h.accept(state.HeartbeatReply{})
			replaceReport(h)
			replaceReport(h)
			replaced := h.reports[len(h.reports)-2]
			row.before(h)
			grantedOn := replaced.Heartbeat.LastReply - row.behind
			h.answer(replaced, state.HeartbeatReply{Starts: []state.StartOrder{grantedStart("a", grantedOn)}})
			if row.name == acceptedStart {
				h.equal("starts", startedJobs(h.callAgent(nil)), []string{"a"})
				return
			}
			h.equal("starts", startedJobs(h.callAgent(nil)), []string(nil))
			h.advance(20 * ms)
			h.equal("running", jobsOf(h.heartbeat().Running), []string{"r"})
		})
	}
}

// TestStartOfReplyToReportBeforeChangedProperties checks that a start is not accepted from the
// reply to a report that was in flight when the worker's properties changed. The primary judges
// the next report by its number, so the start may have been granted elsewhere by then.
func TestStartOfReplyToReportBeforeChangedProperties(t *testing.T) {
	h, _ := newHarnessWithReplacedReport(t)
	h.agent.worker.reports.number += 10 // so that no number is below 1
	replaceReport(h)
	h.accept(state.HeartbeatReply{})
	replaceReport(h)
	inFlight := h.lastReport()
	h.advance(20 * ms)
	h.callAgent(func(c *Call) { c.Labels = []string{"new"} })
	h.advance(20 * ms)
	start := grantedStart("a", inFlight.Heartbeat.LastReply)
	h.answer(inFlight, state.HeartbeatReply{Starts: []state.StartOrder{start}})
	h.equal("starts", startedJobs(h.callAgent(nil)), []string(nil))
	h.equal("another report was sent", h.lastReport().ID > inFlight.ID, true)
}

// TestLateReplyOfEarlierReleaseStartsNothing checks that a start that does not name the report
// on which it was granted is not accepted from a late reply: a primary of an earlier release
// decides by the numbers of reports which starts the worker has received.
func TestLateReplyOfEarlierReleaseStartsNothing(t *testing.T) {
	h, replaced := newHarnessWithReplacedReport(t)
	h.answer(replaced, ordersToStart("a"))
	h.equal("starts", startedJobs(h.callAgent(nil)), []string(nil))
	h.equal("the lease is renewed", h.agent.Status().LeaseExpiry > h.now, true)
}

// TestRepliesOfAllReportsRenewTheLease checks that the lease is kept while reports replace one
// another faster than their replies arrive, for longer than a lease.
func TestRepliesOfAllReportsRenewTheLease(t *testing.T) {
	const replyDelay = 300 * ms
	h, _ := newHarnessWithReplacedReport(t)
	answered := len(h.reports) - 1
	sentAt := map[uint64]time.Duration{}
	for end := h.now + 2*lease; h.now < end; {
		replaceReport(h)
		for _, request := range h.reports[answered:] {
			if sentAt[request.ID] == 0 {
				sentAt[request.ID] = h.now
			}
		}
		for answered < len(h.reports) && h.now-sentAt[h.reports[answered].ID] >= replyDelay {
			h.answer(h.reports[answered], state.HeartbeatReply{})
			answered++
		}
		if left := h.agent.Status().LeaseExpiry - h.now; left < lease-replyDelay-100*ms {
			t.Fatalf("only %s of the lease remain at %s", left, h.now)
		}
	}
}

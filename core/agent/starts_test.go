package agent

import (
	"slices"
	"testing"

	"sorrelloom/core/machine"
	"sorrelloom/core/state"
)

// TestRefusedStartIsReportedLost checks that a start is reported as lost if, before it is handed
// over, something happens that forbids the hand-over.
func TestRefusedStartIsReportedLost(t *testing.T) {
	for _, row := range []struct {
		name string
		step func(h *harness) CallReply
	}{
		{"it leaves", func(h *harness) CallReply { return h.callAgent(func(c *Call) { c.Leaving = true }) }},
		{"it signed off", func(h *harness) CallReply {
			return h.request(machine.Request{Kind: RequestSignOff, Name: "w"})
		}},
		{"it calls after it signed off", func(h *harness) CallReply {
			h.request(machine.Request{Kind: RequestSignOff, Name: "w"})
			return h.callAgent(nil)
		}},
		{"it did not call in time", func(h *harness) CallReply { h.advance(1501 * ms); return h.callAgent(nil) }},
		{"a stop came before", func(h *harness) CallReply {
			h.advance(10 * ms)
			h.accept(state.HeartbeatReply{Stops: attemptsOf("a")})
			return h.callAgent(nil)
		}},
		{"it is leaving when the reply arrives", func(h *harness) CallReply {
			reply := h.callAgent(func(c *Call) { c.Leaving = true })
			h.advance(20 * ms)
			h.accept(ordersToStart("b"))
			if later := h.callAgent(nil); len(later.Starts) > 0 {
				h.Error("a start was handed over")
			}
			h.advance(20 * ms)
			h.equal("lost", lostJobs(h.heartbeat()), []string{"a", "b"})
			h.accept(state.HeartbeatReply{Acks: attemptsOf("b")})
			h.advance(20 * ms)
			return reply
		}},
	} {
		t.Run(row.name, func(t *testing.T) {
			h := newHarness(t, 1)
			acceptStartA(h)
			reply := row.step(h)
			h.advance(20 * ms)
			h.equal("starts", startedJobs(reply), []string(nil))
			h.equal("lost", lostJobs(h.heartbeat()), []string{"a"})
			h.equal("running", jobsOf(h.heartbeat().Running), []string(nil))
			h.equal("starts counted", h.agent.Counters().Starts, uint64(0))
			if !slices.Contains(h.events, "start_dropped") {
				t.Error("nothing was logged")
			}
			if !h.heartbeat().Leaving {
				h.equal("free", h.heartbeat().Free, h.call.Free)
			}
		})
	}
}

// TestNoStartAfterLeaseExpiry checks that no start is handed over once the lease has expired
// between two calls.
func TestNoStartAfterLeaseExpiry(t *testing.T) {
	h := newHarness(t, 1)
	h.callAgent(nil)
	h.advance(20 * ms)
	h.accept(state.HeartbeatReply{LeaseDuration: 300 * ms, Starts: ordersToStart("a").Starts})
	h.advance(290 * ms)
	reply := h.callAgent(nil)
	h.equal("starts", startedJobs(reply), []string(nil))
	h.equal("lease remaining", reply.LeaseRemaining, 0*ms)
	h.advance(20 * ms)
	h.equal("lost", lostJobs(h.heartbeat()), []string{"a"})
}

// TestStartIsRepeatedUntilListed checks that the reply to each call carries a start until a
// later call lists it.
func TestStartIsRepeatedUntilListed(t *testing.T) {
	h := newHarness(t, 1)
	acceptStartA(h)
	h.equal("listed", jobsOf(h.heartbeat().Running), []string{"a"})
	h.equal("free less its resources", h.heartbeat().Free, state.Resources{Slots: 3, Cores: 6})
	h.equal("progress", len(h.heartbeat().Progress), 0)
	reply := h.callAgent(nil)
	h.equal("starts", reply.Starts, []StartOrder{{attemptOf("a"), []byte(`{"x":1}`), "from"}})
	h.equal("repeated", startedJobs(h.callAgent(nil)), []string{"a"})
	earlier := machine.Request{Kind: RequestCall, Decoded: Call{Worker: "w", Number: 1, Leaving: true}}
	h.equal("starts in the reply to an earlier call", h.request(earlier).Starts, []StartOrder(nil))
	h.advance(20 * ms)
	reply = h.callAgent(func(c *Call) {
		c.Running = []Run{{attemptOf("a"), "from", 0}}
		c.Free = state.Resources{Slots: 3, Cores: 6}
	})
	h.equal("not repeated once listed", startedJobs(reply), []string(nil))
	h.advance(20 * ms)
	h.equal("free as reported by the worker", h.heartbeat().Free, state.Resources{Slots: 3, Cores: 6})
	h.equal("listed once", jobsOf(h.heartbeat().Running), []string{"a"})
	h.accept(ordersToStart("a"))
	h.equal("a known start is ignored", startedJobs(h.callAgent(nil)), []string(nil))
	h.equal("counted once", h.agent.Counters().Starts, uint64(1))
}

// TestFreeResourcesAreNeverNegative has a start need more resources than the worker reports as
// free.
func TestFreeResourcesAreNeverNegative(t *testing.T) {
	h := newHarness(t, 1)
	h.call.Free = state.Resources{Slots: 1, Cores: 1}
	acceptStartA(h)
	h.advance(20 * ms)
	h.equal("free", h.heartbeat().Free, state.Resources{})
}

// TestHandedOverStartIsDroppedOnlyByLaterCall withdraws a start that was handed over, so that
// the worker may have started it: it counts as running until a later call does not list it.
func TestHandedOverStartIsDroppedOnlyByLaterCall(t *testing.T) {
	for _, row := range []struct {
		name string
		why  func(h *harness)
		stop bool
	}{
		{"it leaves", func(h *harness) { h.callAgent(func(c *Call) { c.Leaving = true }) }, false},
		{"stopped", func(h *harness) {
			h.advance(20 * ms)
			h.accept(state.HeartbeatReply{Stops: attemptsOf("a")})
			h.equal("stops", h.callAgent(nil).Stops, attemptsOf("a"))
		}, true},
		{"never listed in time", func(h *harness) {
			for range 15 {
				h.advance(99 * ms)
				h.accept(state.HeartbeatReply{})
				h.equal("handed over again", startedJobs(h.callAgent(nil)), []string{"a"})
			}
			h.advance(99 * ms)
			h.accept(state.HeartbeatReply{})
			h.equal("withdrawn", startedJobs(h.callAgent(nil)), []string(nil))
		}, false},
	} {
		t.Run(row.name, func(t *testing.T) {
			h := newHarness(t, 1)
			acceptStartA(h)
			h.equal("starts", startedJobs(h.callAgent(nil)), []string{"a"})
			row.why(h)
			h.advance(20 * ms)
			h.equal("still reported as running", jobsOf(h.heartbeat().Running), []string{"a"})
			h.equal("not lost yet", lostJobs(h.heartbeat()), []string(nil))
			h.equal("not handed over again", startedJobs(h.callAgent(nil)), []string(nil))
			h.advance(20 * ms)
			h.equal("no longer reported as running", jobsOf(h.heartbeat().Running), []string(nil))
			h.equal("lost", lostJobs(h.heartbeat()), []string{"a"})
			h.equal("no stop remains", len(h.callAgent(nil).Stops), 0)
			// The attempt ran after all: the worker's result replaces the agent's.
			h.callAgent(withEnds(endOf(1, "a", OutcomeSucceeded)))
			h.advance(20 * ms)
			succeeded := []state.AttemptResult{{Attempt: attemptOf("a"), Succeeded: true}}
			h.equal("ended", h.heartbeat().Ended, succeeded)
		})
	}
}

// TestStopIsRepeatedUntilRunIsUnlisted checks that the reply to each call carries a stop until
// the run is no longer listed, and none for an attempt that the worker doesn't run.
func TestStopIsRepeatedUntilRunIsUnlisted(t *testing.T) {
	h := newHarness(t, 1)
	h.callAgent(withRuns("r", "q"))
	h.advance(20 * ms)
	h.accept(state.HeartbeatReply{Stops: attemptsOf("r", "x")})
	for range 3 {
		h.advance(20 * ms)
		h.equal("stops", h.callAgent(nil).Stops, attemptsOf("r"))
		h.accept(state.HeartbeatReply{})
	}
	reply := h.callAgent(func(c *Call) { withRuns("q")(c); withEnds(endOf(1, "r", OutcomeStopped))(c) })
	h.equal("not repeated once unlisted", len(reply.Stops), 0)
	h.equal("counted", h.agent.Counters().Stops, uint64(1))
}

// TestListedStartIsReportedOnce checks that no new report is sent when a worker lists a start
// that was reported while it was pending, whether or not the worker subtracts its resources.
func TestListedStartIsReportedOnce(t *testing.T) {
	for name, free := range map[string]state.Resources{
		"free is the capacity": {Slots: 4, Cores: 8},
		"free is what is left": {Slots: 3, Cores: 6},
	} {
		t.Run(name, func(t *testing.T) {
			h := newHarness(t, 1)
			acceptStartA(h)
			h.advance(20 * ms)
			h.equal("reported as running", jobsOf(h.heartbeat().Running), []string{"a"})
			h.callAgent(nil)
			count := len(h.reports)
			h.advance(100 * ms)
			h.callAgent(func(c *Call) { withRuns("a")(c); c.Free = free })
			h.advance(100 * ms)
			h.equal("reports after the listing", len(h.reports), count)
			h.callAgent(func(c *Call) { withRuns()(c); withEnds(endOf(1, "a", OutcomeSucceeded))(c) })
			h.advance(20 * ms)
			h.equal("reports after the end", len(h.reports), count+1)
		})
	}
}

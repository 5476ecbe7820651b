package agent

import (
	"slices"
	"testing"

	"sorrelloom/core/machine"
	"sorrelloom/core/state"
)

// TestRefusedStartIsReportedLost has the reason why a start may not be handed over
// come before the worker's next call.
func TestRefusedStartIsReportedLost(t *testing.T) {
	for _, row := range []struct {
		name string
		step func(h *harness) CallReply
	}{
		{"it leaves", func(h *harness) CallReply { return h.callAgent(func(c *Call) { c.Leaving = true }) }},
		{"it said that it is gone", func(h *harness) CallReply {
			return h.request(machine.Request{Kind: RequestLeave, Name: "w"})
		}},
		{"it calls after it said so", func(h *harness) CallReply {
			h.request(machine.Request{Kind: RequestLeave, Name: "w"})
			return h.callAgent(nil)
		}},
		{"it did not call in time", func(h *harness) CallReply { h.advance(1501 * ms); return h.callAgent(nil) }},
		{"a stop came before", func(h *harness) CallReply {
			h.advance(10 * ms)
			h.accept(state.HeartbeatReply{Stops: attemptsOf("a")})
			return h.callAgent(nil)
		}},
		{"it leaves by the time of the reply", func(h *harness) CallReply {
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

// TestNoStartAfterLeaseExpiry lets a lease expire between two calls.
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

// TestStartIsRepeatedUntilListed has the reply to each call carry a start until a
// later call lists it.
func TestStartIsRepeatedUntilListed(t *testing.T) {
	h := newHarness(t, 1)
	acceptStartA(h)
	h.equal("listed", jobsOf(h.heartbeat().Running), []string{"a"})
	h.equal("free less its resources", h.heartbeat().Free, state.Resources{Slots: 3, Cores: 6})
	h.equal("no progress of its own", len(h.heartbeat().Progress), 0)
	reply := h.callAgent(nil)
	h.equal("starts", reply.Starts, []StartOrder{{attemptOf("a"), []byte(`{"x":1}`), "from"}})
	h.equal("again", startedJobs(h.callAgent(nil)), []string{"a"})
	earlier := machine.Request{Kind: RequestCall, Decoded: Call{Worker: "w", Number: 1, Leaving: true}}
	h.equal("without orders to a call that came before", h.request(earlier).Starts, []StartOrder(nil))
	h.advance(20 * ms)
	reply = h.callAgent(func(c *Call) {
		c.Running = []Run{{attemptOf("a"), "from", 0}}
		c.Free = state.Resources{Slots: 3, Cores: 6}
	})
	h.equal("listed, given no more", startedJobs(reply), []string(nil))
	h.advance(20 * ms)
	h.equal("free is the worker's word", h.heartbeat().Free, state.Resources{Slots: 3, Cores: 6})
	h.equal("listed once", jobsOf(h.heartbeat().Running), []string{"a"})
	h.accept(ordersToStart("a"))
	h.equal("known, ignored", startedJobs(h.callAgent(nil)), []string(nil))
	h.equal("counted once", h.agent.Counters().Starts, uint64(1))
}

// TestFreeResourcesAreNeverNegative has a start need more than the worker has.
func TestFreeResourcesAreNeverNegative(t *testing.T) {
	h := newHarness(t, 1)
	h.call.Free = state.Resources{Slots: 1, Cores: 1}
	acceptStartA(h)
	h.advance(20 * ms)
	h.equal("free", h.heartbeat().Free, state.Resources{})
}

// TestHandedOverStartIsDroppedOnlyByLaterCall withdraws a start that the worker may
// have taken up: until a later call doesn't list it, it counts as running.
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
		{"never taken up", func(h *harness) {
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
			h.equal("may run still", jobsOf(h.heartbeat().Running), []string{"a"})
			h.equal("not lost yet", lostJobs(h.heartbeat()), []string(nil))
			h.equal("not given again", startedJobs(h.callAgent(nil)), []string(nil))
			h.advance(20 * ms)
			h.equal("runs no more", jobsOf(h.heartbeat().Running), []string(nil))
			h.equal("lost", lostJobs(h.heartbeat()), []string{"a"})
			h.equal("no stop is left", len(h.callAgent(nil).Stops), 0)
			// It ran after all: the worker's word replaces ours.
			h.callAgent(withEnds(endOf(1, "a", OutcomeSucceeded)))
			h.advance(20 * ms)
			succeeded := []state.AttemptResult{{Attempt: attemptOf("a"), Succeeded: true}}
			h.equal("ended", h.heartbeat().Ended, succeeded)
		})
	}
}

// TestStopIsRepeatedUntilRunIsUnlisted has the reply to each call carry a stop, but
// none of an attempt that the worker doesn't run.
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
	h.equal("listed no more", len(reply.Stops), 0)
	h.equal("counted", h.agent.Counters().Stops, uint64(1))
}

// TestListedStartIsReportedOnce has a worker list a start that was reported when it
// was pending, and count its resources itself or not.
func TestListedStartIsReportedOnce(t *testing.T) {
	for name, free := range map[string]state.Resources{
		"it says all it has":   {Slots: 4, Cores: 8},
		"it says what is left": {Slots: 3, Cores: 6},
	} {
		t.Run(name, func(t *testing.T) {
			h := newHarness(t, 1)
			acceptStartA(h)
			h.advance(20 * ms)
			h.equal("reported as taken", jobsOf(h.heartbeat().Running), []string{"a"})
			h.callAgent(nil)
			count := len(h.reports)
			h.advance(100 * ms)
			h.callAgent(func(c *Call) { withRuns("a")(c); c.Free = free })
			h.advance(100 * ms)
			h.equal("reports of the listing", len(h.reports), count)
			h.callAgent(func(c *Call) { withRuns()(c); withEnds(endOf(1, "a", OutcomeSucceeded))(c) })
			h.advance(20 * ms)
			h.equal("reports with the end", len(h.reports), count+1)
		})
	}
}

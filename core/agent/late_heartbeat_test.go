package agent

import (
	"testing"
	"time"

	"sorrelloom/core/machine"
	"sorrelloom/core/state"
)

// TestLateHeartbeatChangesNothing checks a worker's call that arrives after a newer one, with
// an outdated state. The reply carries no orders and does not extend the lease, and the agent
// reports nothing from the late call. Nor does the call count as a sign of life: whether the
// worker is silent depends on its newest call.
func TestLateHeartbeatChangesNothing(t *testing.T) {
	table := []struct {
		name   string
		change func(late *Call)
	}{
		{"with the same state", func(*Call) {}},
		{"without the run", func(late *Call) { late.Running = nil }},
		{"with a run that has ended", func(late *Call) { late.Running = append(late.Running, runOf("z")) }},
		{"with an end", func(late *Call) { late.Running, late.Ended = nil, []EndedRun{endOf(1, "r", OutcomeFailed)} }},
		{"with an older checkpoint", func(late *Call) { late.Running = []Run{{attemptOf("r"), "old", 1}} }},
		{"with other free resources", func(late *Call) { late.Free = state.Resources{Slots: 99} }},
		{"leaving", func(late *Call) { late.Leaving, late.LeavesIn = true, time.Second }},
		{"with other labels", func(late *Call) { late.Labels, late.Zone = []string{"gpu"}, "z" }},
	}
	for _, row := range table {
		for _, behind := range []uint64{0, 1, 7} {
			t.Run(row.name, func(t *testing.T) { testLateHeartbeat(t, row.change, behind) })
		}
	}
}

// testLateHeartbeat makes a late call whose number is lower than the newest one's by behind.
func testLateHeartbeat(t *testing.T, change func(late *Call), behind uint64) {
	h := newHarness(t, 1)
	h.call.Number = 9
	h.callAgent(func(c *Call) { c.Running = []Run{{attemptOf("r"), "new", 50}} })
	h.advance(20 * ms)
	h.accept(ordersToStart("a"))
	h.advance(20 * ms)
	h.equal("starts", startedJobs(h.callAgent(nil)), []string{"a"})
	lastCallAt := h.now
	h.advance(20 * ms)
	h.accept(state.HeartbeatReply{Stops: attemptsOf("r")})
	h.advance(20 * ms)
	reported, reports := h.heartbeat(), len(h.reports)
	status := h.agent.Status()

	late := h.call
	late.Number -= behind
	change(&late)
	h.advance(700 * ms)
	expiry := h.agent.Status().LeaseExpiry
	reply := h.request(machine.Request{Kind: RequestCall, Decoded: late})
	h.equal("reply", reply, CallReply{LeaseRemaining: expiry - h.now, NextCallIn: 50 * ms})
	h.equal("lease", expiry, status.LeaseExpiry)
	h.equal("last call", h.agent.Status().LastCallAt, lastCallAt)
	h.equal("reports", len(h.reports), reports)
	h.advance(lastCallAt + time.Second - h.now + 2*ms)
	h.equal("last log event", h.events[len(h.events)-1], "worker_silent")

	h.equal("stops are repeated", len(h.callAgent(nil).Stops), 1)
	h.advance(10 * ms)
	again := h.heartbeat()
	h.equal("reported call", again.CallNumber, h.call.Number)
	reported.Number, again.Number = 0, 0
	reported.CallNumber, again.CallNumber = 0, 0
	h.equal("report", again, reported)
}

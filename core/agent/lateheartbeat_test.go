package agent

import (
	"testing"
	"time"

	"sorrelloom/core/machine"
	"sorrelloom/core/state"
)

// TestLateHeartbeatChangesNothing has a heartbeat come after a newer one, with what the
// worker knew when it sent it. Its reply has no orders and no lease beyond that of the
// newer one, and the agent reports nothing of it. It is no sign of life either: the worker
// counts as silent from its newest heartbeat on.
func TestLateHeartbeatChangesNothing(t *testing.T) {
	table := []struct {
		name   string
		change func(late *Call)
	}{
		{"as the newer one", func(*Call) {}},
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

// testLateHeartbeat sends a heartbeat whose number is so far behind that of the newest.
func testLateHeartbeat(t *testing.T, change func(late *Call), behind uint64) {
	p := newHarness(t, 1)
	p.call.Number = 9
	p.callAgent(func(c *Call) { c.Running = []Run{{attemptOf("r"), "new", 50}} })
	p.advance(20 * ms)
	p.accept(ordersToStart("a"))
	p.advance(20 * ms)
	p.equal("starts", startedJobs(p.callAgent(nil)), []string{"a"})
	calledAt := p.now
	p.advance(20 * ms)
	p.accept(state.HeartbeatReply{Stops: []state.Attempt{attemptOf("r")}})
	p.advance(20 * ms)
	reported, reports := p.lastReport().Heartbeat, len(p.reports)
	status := p.agent.Status()

	late := p.call
	late.Number -= behind
	change(&late)
	p.advance(700 * ms)
	expiry := p.agent.Status().LeaseExpiry
	reply := p.request(machine.Request{Kind: RequestCall, Decoded: late})
	p.equal("reply", reply, CallReply{LeaseRemaining: expiry - p.now, NextCallIn: 100 * ms})
	p.equal("lease", expiry, status.LeaseExpiry)
	p.equal("last call", p.agent.Status().LastCallAt, calledAt)
	p.equal("reports of its own", len(p.reports), reports)
	p.advance(calledAt + time.Second - p.now + 2*ms)
	p.equal("silent", p.events[len(p.events)-1], "worker_silent")

	p.equal("orders are given again", len(p.callAgent(nil).Stops), 1)
	p.advance(10 * ms)
	again := p.lastReport().Heartbeat
	reported.Number, again.Number = 0, 0
	p.equal("report", again, reported)
}

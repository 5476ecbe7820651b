package agent

import (
	"fmt"
	"testing"
	"time"

	"sorrelloom/core/machine"
	"sorrelloom/core/state"
	"sorrelloom/core/wire"
)

// TestReportTiming checks which changes of a call make a new report replace the one in flight.
func TestReportTiming(t *testing.T) {
	for _, row := range []struct {
		name   string
		change func(c *Call)
		// after is 1 if the next report is sent at once, 0 if none is sent.
		after time.Duration
	}{
		{"nothing changed", nil, 0},
		{"an ended run", withEnds(endOf(1, "z", OutcomeSucceeded)), 1},
		{"a run is no longer listed", withRuns(), 1},
		{"free resources", func(c *Call) { c.Free.Cores = 1 }, 1},
		{"labels", func(c *Call) { c.Labels = []string{"l"} }, 1},
		{"leaving", func(c *Call) { c.Leaving = true }, 1},
		{"a checkpoint", func(c *Call) { c.Running = []Run{{attemptOf("r"), "s1", 10}} }, 0},
	} {
		t.Run(row.name, func(t *testing.T) {
			h := newHarness(t, 1)
			h.callAgent(withRuns("r"))
			h.callAgent(nil)
			h.advance(20 * ms)
			h.accept(state.HeartbeatReply{})
			sent, count := h.now, len(h.reports)
			h.advance(20 * ms)
			h.callAgent(row.change)
			if row.after == 1 {
				h.equal("at once", len(h.reports), count+1)
				h.equal("waits no longer than the first would", h.lastReport().MaxWait, 480*ms)
				h.callAgent(func(c *Call) { c.Free.Cores = 2 })
				h.equal("not within 10 ms", len(h.reports), count+1)
				h.advance(10 * ms)
				h.equal("after 10 ms", len(h.reports), count+2)
				return
			}
			h.advance(sent + 401*ms - h.now)
			h.equal("none", len(h.reports), count)
		})
	}
}

// TestProgressIsSentWithOtherReports has a run save checkpoints all the time: the first is sent
// with the next report, and later ones once a second has passed since one was accepted.
func TestProgressIsSentWithOtherReports(t *testing.T) {
	h := newHarness(t, 1)
	saved := 0
	save := func() {
		saved++
		h.callAgent(func(c *Call) { c.Running = []Run{{attemptOf("r"), fmt.Sprint("s", saved), saved}} })
	}
	save()
	save()
	h.advance(20 * ms)
	carried := []time.Duration{}
	for h.now < 7*time.Second {
		count := len(h.reports)
		h.accept(state.HeartbeatReply{})
		h.advance(100 * ms)
		save()
		for _, report := range h.reports[count:] {
			if len(report.Heartbeat.Progress) > 0 {
				carried = append(carried, h.now)
			}
		}
	}
	for i := range len(carried) - 1 {
		if gap := carried[i+1] - carried[i]; gap < 900*ms || gap > 1200*ms {
			t.Errorf("reports carry progress %s apart", gap)
		}
	}
	h.equal("reports with progress", len(carried) >= 4, true)
}

// TestReplacedReportsKeepTheFirstDeadline has reports replace one another all the time. They
// keep the deadline of the first one, so that the worker does not lose its lease.
func TestReplacedReportsKeepTheFirstDeadline(t *testing.T) {
	h := newHarness(t, 1)
	h.callAgent(nil)
	first := h.now
	for h.now < first+480*ms {
		h.advance(30 * ms)
		h.callAgent(func(c *Call) { c.Free.Cores = (c.Free.Cores + 1) % 8 })
		h.equal("wait", h.lastReport().MaxWait, first+500*ms-h.now)
	}
	count := len(h.reports)
	h.advance(60 * ms)
	h.callAgent(func(c *Call) { c.Free.Cores = 9 })
	h.advance(60 * ms)
	h.equal("waits for the reply", len(h.reports), count)
	h.accept(state.HeartbeatReply{})
	h.equal("reported at once after the reply", h.heartbeat().Free.Cores, 9)
}

// TestReportIntervalFollowsThePrimary checks that the agent uses the report interval that the
// primary requests, within 10 ms and 200 ms.
func TestReportIntervalFollowsThePrimary(t *testing.T) {
	for _, row := range []struct{ asked, interval time.Duration }{
		{0, 10 * ms}, {5 * ms, 10 * ms}, {60 * ms, 60 * ms}, {900 * ms, 200 * ms},
	} {
		h := newHarness(t, 1)
		h.callAgent(nil)
		h.advance(20 * ms)
		h.deliver(wire.HeartbeatReply{ID: h.lastReport().ID, Result: state.Result{
			RetryAfter: row.asked, Heartbeat: state.HeartbeatReply{LeaseDuration: lease},
		}})
		h.advance(400 * ms)
		for range 3 {
			h.callAgent(func(c *Call) { c.Free.Cores = (c.Free.Cores + 1) % 8 })
			h.advance(ms)
		}
		sent, count := h.agent.worker.reports.sentAt, len(h.reports)
		for h.now < sent+row.interval-ms {
			h.callAgent(func(c *Call) { c.Free.Cores = (c.Free.Cores + 1) % 8 })
			h.advance(ms)
		}
		h.equal("not yet", len(h.reports), count)
		h.advance(2 * ms)
		h.equal("sent", len(h.reports), count+1)
	}
}

// TestNoReportWithoutWorker signs a worker off that never called.
func TestNoReportWithoutWorker(t *testing.T) {
	h := newHarness(t, 1)
	h.step(machine.Input{})
	h.equal("timer", h.agent.NextTimer(), probeInterval)
	reply := h.request(machine.Request{Kind: RequestSignOff, Name: "x"})
	h.equal("reply to an unknown worker", reply, CallReply{NextCallIn: 50 * ms})
	h.equal("reports", len(h.reports), 0)
}

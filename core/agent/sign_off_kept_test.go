package agent

import (
	"testing"
	"time"

	"sorrelloom/core/state"
)

// TestSignOffIsKeptAfterLastRun has a worker sign off and go on calling, although its calls never
// say that it leaves. It must count as leaving for as long as it calls, whether or not it still
// runs anything: each report must say so, and it must get no start.
func TestSignOffIsKeptAfterLastRun(t *testing.T) {
	table := []struct {
		name    string
		prepare func(h *harness)
	}{
		{"it runs nothing", func(h *harness) {
			h.callAgent(nil)
			h.advance(20 * ms)
			h.accept(state.HeartbeatReply{})
			h.signOff()
			h.advance(20 * ms)
			h.accept(state.HeartbeatReply{})
		}},
		{"its last run ends", func(h *harness) {
			h.callAgent(withRuns("r"))
			h.advance(20 * ms)
			h.accept(state.HeartbeatReply{})
			h.signOff()
			h.advance(20 * ms)
			h.accept(state.HeartbeatReply{})
			h.callAgent(func(c *Call) { withRuns()(c); withEnds(endOf(1, "r", OutcomeSucceeded))(c) })
			h.advance(20 * ms)
			h.accept(state.HeartbeatReply{Acks: []state.Attempt{attemptOf("r")}})
		}},
		{"its agent has just restarted", func(h *harness) {
			h.callAgent(withRuns("r"))
			h.agent = New(Config{Address: "agent", Replicas: []string{"k1"}, FirstReportID: 9000})
			h.signOff()
		}},
	}
	for _, row := range table {
		t.Run(row.name, func(t *testing.T) {
			h := newHarness(t, 1)
			row.prepare(h)
			for range 20 {
				h.advance(100 * ms)
				h.equal("starts", startedJobs(h.callAgent(nil)), []string(nil))
				h.advance(20 * ms)
				h.equal("leaving", h.lastReport().Heartbeat.Leaving, true)
				if h.Failed() {
					return
				}
				h.accept(ordersToStart("a"))
			}
			h.advance(time.Second)
		})
	}
}

package agent

import (
	"math/rand/v2"
	"testing"
	"time"

	"sorrelloom/core/machine"
	"sorrelloom/core/state"
	"sorrelloom/core/status"
	"sorrelloom/core/wire"
)

// TestStaleRepliesAreIgnored checks that replies to reports that are no longer awaited are
// ignored.
func TestStaleRepliesAreIgnored(t *testing.T) {
	for _, row := range []struct {
		name string
		id   func(h *harness) uint64
	}{
		{"to a report that was replaced", func(h *harness) uint64 {
			id := h.lastReport().ID
			h.advance(20 * ms)
			h.callAgent(func(c *Call) { c.Free.Slots = 3 })
			return id
		}},
		{"to no report", func(h *harness) uint64 { return h.lastReport().ID + 1 }},
		{"to a report of the previous incarnation", func(h *harness) uint64 {
			id := h.lastReport().ID
			h.agent = New(Config{Replicas: []string{"k1"}, FirstReportID: 9000})
			h.callAgent(nil)
			return id
		}},
		{"after the wait for it timed out", func(h *harness) uint64 {
			id := h.lastReport().ID
			for range 12 {
				h.advance(100 * ms)
				h.callAgent(nil)
			}
			return id
		}},
		{"for a worker that is silent", func(h *harness) uint64 {
			id := h.lastReport().ID
			h.advance(1050 * ms)
			return id
		}},
	} {
		t.Run(row.name, func(t *testing.T) {
			h := newHarness(t, 1)
			h.callAgent(nil)
			orders := ordersToStart("a")
			orders.LeaseDuration, orders.Epoch = lease, 9
			h.deliver(wire.HeartbeatReply{
				ID: row.id(h), Result: state.Result{Heartbeat: orders}, Replicas: []string{"bad"},
			})
			reply := h.callAgent(nil)
			h.equal("reply", reply, CallReply{NextCallIn: 50 * ms})
			h.equal("replicas", h.agent.replicas.known.Addresses, []string(nil))
		})
	}
}

// TestReplyAfterTimeoutIsDropped delivers a reply just in time, and 1 ms too late.
func TestReplyAfterTimeoutIsDropped(t *testing.T) {
	for _, row := range []struct {
		after time.Duration
		lease time.Duration
	}{{2 * time.Second, time.Second + lease}, {2001 * ms, 0}} {
		h := newHarness(t, 1)
		h.agent.config.ReportWait, h.agent.config.CallTimeout = 5*time.Second, 5*time.Second
		h.callAgent(nil)
		h.advance(row.after)
		h.accept(ordersToStart("a"))
		h.equal("lease", h.agent.Status().LeaseExpiry, row.lease)
	}
}

// TestReportTarget checks where and when the next report is sent after each kind of reply, or
// without a reply.
func TestReportTarget(t *testing.T) {
	for _, row := range []struct {
		name  string
		reply func(h *harness)
		to    string
		after time.Duration
	}{
		{"a successful reply", func(h *harness) { h.accept(state.HeartbeatReply{}) }, "k1", 0},
		{"the primary is named", func(h *harness) { h.reject(status.NotPrimary, 0, "k9", "k8", "k9") }, "k9", 0},
		{"no primary is named", func(h *harness) { h.reject(status.NotPrimary, 0, "") }, "k2", 60 * ms},
		{"replicas are named", func(h *harness) { h.reject(status.NotPrimary, 0, "", "k8", "k9") }, "k2", 60 * ms},
		{"the leadership is elsewhere", func(h *harness) { h.reject(status.StaleEpoch, 0, "") }, "k1", 100 * ms},
		{"replicas are unavailable", func(h *harness) { h.reject(status.ReplicasUnavailable, 0, "") }, "k1", 100 * ms},
		{"the number is stale", func(h *harness) { h.reject(status.StaleHeartbeat, 7, "") }, "k1", 0},
		{"no reply", func(h *harness) {}, "k2", 1080 * ms},
	} {
		t.Run(row.name, func(t *testing.T) {
			h := newHarness(t, 1)
			h.agent.config.CallTimeout = 2 * time.Second
			h.callAgent(nil)
			h.advance(20 * ms)
			count := len(h.reports)
			row.reply(h)
			if row.after > 0 {
				h.advance(row.after - ms)
				h.equal("not yet", len(h.reports), count)
				h.advance(ms)
			}
			h.equal("sent", len(h.reports), count+1)
			h.equal("to", h.targets[len(h.targets)-1], row.to)
			previous, next := h.reports[count-1], h.reports[count]
			if next.ID <= previous.ID || next.Heartbeat.Number <= previous.Heartbeat.Number {
				t.Errorf("ID and number don't increase from %+v to %+v", previous, next)
			}
		})
	}
}

// TestBackoffGrowsAndReplicasAreKept checks the delays and targets of reports while replicas that
// don't lead name no primary.
func TestBackoffGrowsAndReplicasAreKept(t *testing.T) {
	h := newHarness(t, 1)
	h.callAgent(nil)
	h.advance(20 * ms)
	h.reject(status.NotPrimary, 0, "k8", "k8", "k9")
	draws := rand.New(rand.NewPCG(1, jitterStream))
	var to []string
	for _, pause := range []time.Duration{120 * ms, 240 * ms, 300 * ms, 300 * ms, 300 * ms} {
		want := pause + time.Duration(draws.Int64N(int64(pause/2)))
		h.advance(20 * ms)
		h.callAgent(nil)
		at, count := h.now, len(h.reports)
		h.reject(status.NotPrimary, 0, "")
		h.advance(want - ms)
		h.equal("not yet", len(h.reports), count)
		h.advance(ms)
		h.equal("sent", len(h.reports), count+1)
		h.equal("after", h.agent.worker.reports.sentAt-at, want)
		to = append(to, h.targets[len(h.targets)-1])
	}
	h.equal("to", to, []string{"k9", "k1", "k2", "k3", "k8"})
}

// TestAgentRetriesAreSpread rejects the reports of 100 agents at the same times, as a change
// of primary does, and bounds how many agents report within the same 10 ms.
func TestAgentRetriesAreSpread(t *testing.T) {
	at := map[time.Duration]int{}
	for first := range uint64(100) {
		h := newHarness(t, 1)
		h.agent = New(Config{Replicas: []string{"k1", "k2"}, FirstReportID: first})
		h.callAgent(nil)
		for range 4 {
			h.advance(500 * ms)
			h.callAgent(nil)
			h.reject(status.NotPrimary, 0, "")
		}
		h.advance(500 * ms)
		at[h.agent.worker.reports.sentAt/(10*ms)]++
	}
	for when, count := range at {
		if count > 30 {
			t.Errorf("%d of 100 agents report within the 10 ms from %s", count, when*10*ms)
		}
	}
}

// TestDeferredReport checks that a report deferred by an overloaded replica is sent again after
// the requested delay, with the worker's newest state, and that the lease is renewed meanwhile.
func TestDeferredReport(t *testing.T) {
	h := newHarness(t, 1)
	h.callAgent(withRuns("r"))
	h.advance(20 * ms)
	h.accept(state.HeartbeatReply{LeaseDuration: time.Second})
	h.advance(20 * ms)
	h.callAgent(func(c *Call) { withRuns()(c); withEnds(endOf(1, "r", OutcomeSucceeded))(c) })
	count, sent := len(h.reports), h.now
	h.deliver(wire.HeartbeatReply{ID: h.lastReport().ID, Result: state.Result{
		Code: status.QueueFull, RetryAfter: 70 * ms, Heartbeat: state.HeartbeatReply{LeaseDuration: 3 * time.Second},
	}})
	h.callAgent(func(c *Call) { c.Free.Cores = 3 })
	h.advance(69 * ms)
	h.equal("not yet", len(h.reports), count)
	h.advance(ms)
	h.equal("sent", len(h.reports), count+1)
	h.equal("target", h.targets[count], h.targets[count-1])
	h.equal("results", len(h.heartbeat().Ended), 1)
	h.equal("newest free resources", h.heartbeat().Free.Cores, 3)
	h.equal("lease", h.agent.Status().LeaseExpiry, sent+3*time.Second)
}

// TestReady checks that the agent is ready before the first call, and after a recent reply.
func TestReady(t *testing.T) {
	h := newHarness(t, 1)
	h.equal("no worker yet", h.agent.Ready(h.now), true)
	h.callAgent(nil)
	h.equal("no reply yet", h.agent.Ready(h.now), false)
	h.advance(20 * ms)
	h.accept(state.HeartbeatReply{})
	h.equal("a reply", h.agent.Ready(h.now+2*time.Second), true)
	h.equal("long ago", h.agent.Ready(h.now+2001*ms), false)
	h.equal("status", h.agent.Status().Worker, "w")
	h.equal("stopped", h.step(machine.Input{Stop: true}).Stopped, true)
}

// TestReplicaOfEarlierViewIsNotFollowed has a replica whose view is older than the agent's reject a
// report: the agent adopts neither its list of replicas nor its primary, and sends the next report to
// the next replica of the newer view.
func TestReplicaOfEarlierViewIsNotFollowed(t *testing.T) {
	h := newHarness(t, 1)
	h.callAgent(nil)
	h.deliver(wire.HeartbeatReply{ID: h.lastReport().ID, Replicas: []string{"k1", "n2", "n3"}, ReplicasEpoch: 7})
	h.advance(100 * ms)
	h.equal("epoch sent", h.lastReport().ReplicasEpoch, uint64(7))
	h.deliver(wire.HeartbeatReply{
		ID: h.lastReport().ID, Result: state.Result{Code: status.NotPrimary}, Primary: "k2",
		Replicas: []string{"k1", "k2", "k3"}, ReplicasEpoch: 6,
	})
	h.advance(400 * ms)
	h.equal("target", h.targets[len(h.targets)-1], "n2")
	h.equal("replicas", h.agent.replicas.known.Addresses, []string{"k1", "n2", "n3"})
}

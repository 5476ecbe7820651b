package agent

import (
	"slices"
	"testing"
	"time"

	"sorrelloom/core/machine"
	"sorrelloom/core/state"
	"sorrelloom/core/status"
)

// TestGrantNeverExceedsLease checks that the lease time in replies is counted from when the
// report was sent, and that only an accepted report extends it.
func TestGrantNeverExceedsLease(t *testing.T) {
	h := newHarness(t, 1)
	h.equal("first", h.callAgent(nil), CallReply{NextCallIn: 50 * ms})
	sent := h.now
	h.equal("wait", h.lastReport().MaxWait, 500*ms)
	h.advance(400 * ms)
	h.accept(state.HeartbeatReply{Epoch: 4})
	h.equal("counted from when the report was sent", h.callAgent(nil),
		CallReply{LeaseRemaining: lease - 400*ms, FencingEpoch: 4, NextCallIn: 50 * ms})
	h.advance(20 * ms)
	h.accept(state.HeartbeatReply{LeaseDuration: 100 * ms, Epoch: 3})
	h.equal("neither lease nor fencing epoch is reduced", h.callAgent(nil),
		CallReply{LeaseRemaining: sent + lease - h.now, FencingEpoch: 4, NextCallIn: 50 * ms})
	h.advance(time.Second)
	h.reject(status.ReplicasUnavailable, 0, "")
	h.equal("a rejection extends nothing", h.callAgent(nil).LeaseRemaining, sent+lease-h.now)
	for h.now < sent+lease+time.Second {
		h.advance(100 * ms)
		if reply := h.callAgent(nil); reply.LeaseRemaining != max(0, sent+lease-h.now) {
			t.Fatalf("%s after the report the remaining lease is %s", h.now-sent, reply.LeaseRemaining)
		}
	}
}

// TestRestartedAgentResumesNumberAndRuns checks that a new incarnation of the agent learns the
// report number from the primary and the runs from the worker.
func TestRestartedAgentResumesNumberAndRuns(t *testing.T) {
	h := newHarness(t, 1)
	acceptStartA(h)
	h.equal("starts", startedJobs(h.callAgent(nil)), []string{"a"})
	h.advance(20 * ms)
	h.accept(ordersToStart("never"))
	// The new incarnation knows nothing until the worker calls.
	h.agent = New(Config{Replicas: []string{"k1"}, FirstReportID: 5000})
	count := len(h.reports)
	h.advance(50 * ms)
	h.equal("nothing is reported", len(h.reports), count)
	reply := h.callAgent(func(c *Call) { withRuns("a")(c); withEnds(endOf(7, "z", OutcomeSucceeded))(c) })
	h.equal("reply", reply, CallReply{AcknowledgedUpTo: 6, NextCallIn: 50 * ms})
	h.equal("number", h.heartbeat().Number, uint64(1))
	h.reject(status.StaleHeartbeat, 41, "")
	h.advance(10 * ms)
	heartbeat := h.heartbeat()
	h.equal("number", heartbeat.Number, uint64(42))
	h.equal("running", jobsOf(heartbeat.Running), []string{"a"})
	h.equal("ended", jobsOfEnds(heartbeat.Ended), []string{"z"})
	h.accept(state.HeartbeatReply{Acks: attemptsOf("z"), Starts: ordersToStart("a").Starts})
	reply = h.callAgent(nil)
	h.equal("acknowledged", reply.AcknowledgedUpTo, uint64(7))
	h.equal("a running attempt is not started again", startedJobs(reply), []string(nil))
	h.advance(10 * ms)
	h.equal("number of the next report", h.heartbeat().Number, uint64(43))
}

// TestSilentWorker has a worker stop calling: it is not reported until the lease in the last
// reply has expired, with the margin for clock drift, and then as running nothing.
func TestSilentWorker(t *testing.T) {
	for _, row := range []struct {
		name    string
		restart bool
		after   time.Duration // from the last call until all runs must have ended
	}{
		{"lease passed on by this agent", false, (lease-20*ms)*103/100 + 100*ms},
		{"lease passed on by the previous incarnation", true, lease*103/100 + 100*ms},
	} {
		t.Run(row.name, func(t *testing.T) {
			h := newHarness(t, 1)
			h.callAgent(func(c *Call) {
				if row.restart {
					withRuns("r")(c)
				}
			})
			h.advance(20 * ms)
			h.accept(state.HeartbeatReply{})
			lastCallAt := h.now
			if row.restart {
				lastCallAt -= 20 * ms
			} else {
				h.callAgent(withRuns("r"))
			}
			h.advance(10 * ms)
			for h.now < lastCallAt+900*ms {
				h.advance(100 * ms)
				h.accept(state.HeartbeatReply{})
			}
			h.advance(lastCallAt + 1050*ms - h.now)
			count := len(h.reports)
			h.accept(ordersToStart("a"))
			h.advance(lastCallAt + row.after - h.now)
			h.equal("no report while silent", len(h.reports), count)
			h.advance(2 * ms)
			h.equal("one more", len(h.reports), count+1)
			heartbeat := h.heartbeat()
			h.equal("running", jobsOf(heartbeat.Running), []string(nil))
			h.equal("free", heartbeat.Free, state.Resources{})
			h.equal("leaving", heartbeat.Leaving, false)
			h.accept(state.HeartbeatReply{})
			h.advance(20 * time.Second)
			h.equal("no further report", len(h.reports), count+1)
			h.equal("lease remaining", h.callAgent(nil).LeaseRemaining, 0*ms)
			h.equal("running after a new call", jobsOf(h.heartbeat().Running), []string{"r"})
			h.equal("worker_lost is logged", slices.Contains(h.events, "worker_lost"), true)
		})
	}
}

// TestReplacedWorkerAtSameAddress has another worker call from the same address: the first is
// reported as running nothing, and only then the second is reported.
func TestReplacedWorkerAtSameAddress(t *testing.T) {
	h := newHarness(t, 1)
	acceptStartA(h)
	h.advance(20 * ms)
	h.callAgent(func(c *Call) { withRuns("r")(c); withEnds(endOf(1, "z", OutcomeSucceeded))(c) })
	h.advance(20 * ms)
	h.accept(ordersToStart("b"))
	h.advance(20 * ms)
	number := h.heartbeat().Number
	earlier := h.call
	h.call = Call{Worker: "w2", Address: "here", Service: "v", Free: state.Resources{Slots: 4}}
	reports := len(h.reports)
	h.equal("reply", h.callAgent(nil), CallReply{NextCallIn: 50 * ms})
	h.advance(20 * ms)
	h.equal("reports after an unconfirmed call", len(h.reports), reports)
	h.equal("reply", h.callAgent(nil), CallReply{NextCallIn: 50 * ms})
	h.advance(20 * ms)
	heartbeat := h.heartbeat()
	h.equal("the previous worker is reported first", heartbeat.Worker, "w")
	h.equal("number", heartbeat.Number, number+1)
	h.equal("leaving", heartbeat.Leaving, true)
	h.equal("running", jobsOf(heartbeat.Running), []string(nil))
	h.equal("ended", jobsOfEnds(heartbeat.Ended), []string{"z", "b"})
	h.reject(status.ReplicasUnavailable, 0, "")
	h.advance(120 * ms)
	h.equal("reported again", h.heartbeat().Worker, "w")
	h.accept(state.HeartbeatReply{Acks: attemptsOf("z", "b")})
	h.advance(20 * ms)
	h.equal("then the new worker", h.heartbeat().Worker, "w2")
	h.equal("number", h.heartbeat().Number, uint64(1))
	h.equal("no lease of the previous worker", h.callAgent(nil).LeaseRemaining, 0*ms)
	h.accept(ordersToStart("c"))
	earlier.Number += 9
	late := machine.Request{Kind: RequestCall, Decoded: earlier}
	h.equal("reply to a late call of the previous worker", h.request(late), CallReply{NextCallIn: 50 * ms})
	h.equal("starts of the new worker", startedJobs(h.callAgent(nil)), []string{"c"})
}

// TestLeavingWorkerIsRemoved has a worker sign off and come back under another name: it is
// removed once the primary knows that it runs nothing, and its late calls change nothing.
func TestLeavingWorkerIsRemoved(t *testing.T) {
	for _, row := range []struct {
		name  string
		runs  []string
		after time.Duration
	}{
		{"that runs nothing", nil, 20 * ms},
		{"whose last lease has expired", []string{"r"}, lease*103/100 + 200*ms},
	} {
		t.Run(row.name, func(t *testing.T) {
			h := newHarness(t, 1)
			h.callAgent(withRuns(row.runs...))
			h.advance(20 * ms)
			h.accept(state.HeartbeatReply{})
			h.advance(20 * ms)
			h.callAgent(nil)
			h.request(machine.Request{Kind: RequestSignOff, Name: "w"})
			h.advance(10 * ms)
			h.equal("leaving", h.heartbeat().Leaving, true)
			h.equal("running", jobsOf(h.heartbeat().Running), row.runs)
			h.advance(row.after)
			h.equal("leaving", h.heartbeat().Leaving, true)
			h.equal("running", jobsOf(h.heartbeat().Running), []string(nil))
			h.accept(state.HeartbeatReply{})
			count := len(h.reports)
			h.advance(10 * time.Second)
			h.equal("no further report", len(h.reports), count)
			h.equal("removed", h.agent.Status().Worker, "")
			late := h.call
			reply := h.request(machine.Request{Kind: RequestCall, Decoded: late})
			h.equal("reply to a late call", reply, CallReply{NextCallIn: 50 * ms})
			h.equal("still removed", h.agent.Status().Worker, "")
			h.call = Call{Worker: "w2", Address: "here"}
			h.callAgent(nil)
			late.Number += 5
			h.request(machine.Request{Kind: RequestCall, Decoded: late})
			h.equal("the new worker is kept", h.agent.Status().Worker, "w2")
		})
	}
}

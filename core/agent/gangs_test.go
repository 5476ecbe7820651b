package agent

import (
	"slices"
	"testing"
	"time"

	"sorrelloom/core/state"
)

// gangTime is how long the tests' gangs may wait, and gangGivenUp when their members are
// given up, both counted from the reply with the start.
const (
	gangTime    = 4800 * ms
	gangGivenUp = 4300 * ms
)

// gangStartOf is a start of a job that is a member of a gang.
func gangStartOf(job string, wait time.Duration) state.StartOrder {
	start := startOf(job)
	start.Gang, start.GangWait, start.Checkpoint = "g", wait, ""
	return start
}

// acceptGangStart has the worker call, the primary order the start of a member, the worker
// take it and list it. It returns when the reply came.
func acceptGangStart(h *harness, wait time.Duration) (orderedAt time.Duration) {
	h.callAgent(nil)
	h.advance(20 * ms)
	h.accept(state.HeartbeatReply{Starts: []state.StartOrder{gangStartOf("a", wait)}})
	orderedAt = h.now
	h.advance(20 * ms)
	h.equal("starts", startedJobs(h.callAgent(nil)), []string{"a"})
	h.callAgent(withRuns("a"))
	return orderedAt
}

// callUntil has the worker call every 50 ms until a time, and returns the stops of the last
// reply.
func callUntil(h *harness, end time.Duration) []string {
	reply := CallReply{}
	for h.now < end {
		h.advance(min(50*ms, end-h.now))
		reply = h.callAgent(nil)
	}
	return jobsOf(reply.Stops)
}

// TestGangMemberGivenUpInTime has no reply come after the start of a gang's member: it is
// stopped in time, and its end is reported as one through no fault of its own.
func TestGangMemberGivenUpInTime(t *testing.T) {
	h := newHarness(t, 1)
	orderedAt := acceptGangStart(h, gangTime)
	h.equal("before", callUntil(h, orderedAt+gangGivenUp-ms), []string(nil))
	h.equal("stops", callUntil(h, orderedAt+gangGivenUp+ms), []string{"a"})
	h.equal("counted", h.agent.Counters().GivenUpMembers, uint64(1))
	if !slices.Contains(h.events, "gang_member_given_up") {
		t.Error("nothing was logged")
	}
	h.callAgent(withRuns())
	h.callAgent(withEnds(endOf(1, "a", OutcomeStopped)))
	h.advance(1200 * ms)
	h.callAgent(nil)
	h.advance(20 * ms)
	h.equal("lost", lostJobs(h.heartbeat()), []string{"a"})
	h.equal("stopped", h.heartbeat().Ended[0].Stopped, false)
	h.equal("given up once", h.agent.Counters().GivenUpMembers, uint64(1))
}

// TestStartedGangMemberIsNotGivenUp has the worker or the primary show in some way that the
// others of the gang have started, or the primary be one that never asks for it.
func TestStartedGangMemberIsNotGivenUp(t *testing.T) {
	for _, row := range []struct {
		name string
		wait time.Duration
		show func(h *harness)
	}{
		{"it has got further", gangTime, func(h *harness) {
			h.callAgent(func(c *Call) { c.Running[0].Percent = 1 })
		}},
		{"it has saved something", gangTime, func(h *harness) {
			h.callAgent(func(c *Call) { c.Running[0].Checkpoint = "new" })
		}},
		{"the primary says so", gangTime, func(h *harness) {
			callUntil(h, h.now+1300*ms)
			h.equal("asked", jobsOf(h.heartbeat().AwaitingGang), []string{"a"})
			h.accept(state.HeartbeatReply{StartedGangs: attemptsOf("a")})
			h.advance(20 * ms)
			h.callAgent(nil)
			h.equal("asked no more", jobsOf(h.heartbeat().AwaitingGang), []string(nil))
		}},
		{"the primary is of an earlier release", 0, func(*harness) {}},
	} {
		t.Run(row.name, func(t *testing.T) {
			h := newHarness(t, 1)
			orderedAt := acceptGangStart(h, row.wait)
			h.equal("not asked at once", jobsOf(h.heartbeat().AwaitingGang), []string(nil))
			row.show(h)
			h.equal("stops", callUntil(h, orderedAt+gangTime), []string(nil))
			h.equal("given up", h.agent.Counters().GivenUpMembers, uint64(0))
		})
	}
}

// TestResumedGangMemberWaits has a member go on from a checkpoint: what it had done before is
// no sign that the others are there.
func TestResumedGangMemberWaits(t *testing.T) {
	h := newHarness(t, 1)
	h.callAgent(nil)
	h.advance(20 * ms)
	start := gangStartOf("a", gangTime)
	start.Checkpoint = "from"
	h.accept(state.HeartbeatReply{Starts: []state.StartOrder{start}})
	orderedAt := h.now
	h.callAgent(nil)
	h.callAgent(func(c *Call) { c.Running = []Run{{attemptOf("a"), "from", 40}} })
	h.equal("stops", callUntil(h, orderedAt+gangGivenUp+ms), []string{"a"})
}

// TestLateGangStartIsNotHandedOver has the worker call again only after its gang is given up.
func TestLateGangStartIsNotHandedOver(t *testing.T) {
	h := newHarness(t, 1)
	h.callAgent(nil)
	h.advance(20 * ms)
	h.accept(state.HeartbeatReply{Starts: []state.StartOrder{gangStartOf("a", 400*ms)}})
	h.advance(301 * ms)
	h.equal("starts", startedJobs(h.callAgent(nil)), []string(nil))
	h.advance(20 * ms)
	h.equal("lost", lostJobs(h.heartbeat()), []string{"a"})
}

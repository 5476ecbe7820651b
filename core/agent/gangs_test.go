package agent

import (
	"slices"
	"testing"
	"time"

	"sorrelloom/core/state"
)

// gangWait is how long the members of the tests' gangs may wait for one another, and
// gangGiveUpDelay the time after which they are given up, both counted from the reply with the
// start.
const (
	gangWait        = 4800 * ms
	gangGiveUpDelay = 4300 * ms
)

// gangStartOf returns the start of a job's task that is a gang member.
func gangStartOf(job string, wait time.Duration) state.StartOrder {
	start := startOf(job)
	start.Gang, start.GangWait, start.Checkpoint = "g", wait, ""
	return start
}

// acceptGangStart makes the primary order the start of a gang member, and the worker get and
// list it. It returns when the primary's reply arrived.
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

// callUntil makes the worker call every 50 ms until the given time, and returns the stops of
// the last reply.
func callUntil(h *harness, end time.Duration) []string {
	reply := CallReply{}
	for h.now < end {
		h.advance(min(50*ms, end-h.now))
		reply = h.callAgent(nil)
	}
	return jobsOf(reply.Stops)
}

// TestGangMemberGivenUpInTime checks that a gang member whose start is followed by no further
// reply of the primary is stopped in time and reported as lost.
func TestGangMemberGivenUpInTime(t *testing.T) {
	h := newHarness(t, 1)
	orderedAt := acceptGangStart(h, gangWait)
	h.equal("stops before the deadline", callUntil(h, orderedAt+gangGiveUpDelay-ms), []string(nil))
	h.equal("stops", callUntil(h, orderedAt+gangGiveUpDelay+ms), []string{"a"})
	h.equal("given up", h.agent.Counters().GivenUpMembers, uint64(1))
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

// TestStartedGangMemberIsNotGivenUp checks that a gang member is not given up if the worker or
// the primary shows that the gang has started, or if the primary sets no gang wait.
func TestStartedGangMemberIsNotGivenUp(t *testing.T) {
	for _, row := range []struct {
		name string
		wait time.Duration
		show func(h *harness)
	}{
		{"its percentage has increased", gangWait, func(h *harness) {
			h.callAgent(func(c *Call) { c.Running[0].Percent = 1 })
		}},
		{"it has saved a checkpoint", gangWait, func(h *harness) {
			h.callAgent(func(c *Call) { c.Running[0].Checkpoint = "new" })
		}},
		{"the primary reports the gang as started", gangWait, func(h *harness) {
			callUntil(h, h.now+1300*ms)
			h.equal("asked", jobsOf(h.heartbeat().AwaitingGang), []string{"a"})
			h.accept(state.HeartbeatReply{StartedGangs: attemptsOf("a")})
			h.advance(20 * ms)
			h.callAgent(nil)
			h.equal("asked after the answer", jobsOf(h.heartbeat().AwaitingGang), []string(nil))
		}},
		{"the primary is of an earlier release", 0, func(*harness) {}},
	} {
		t.Run(row.name, func(t *testing.T) {
			h := newHarness(t, 1)
			orderedAt := acceptGangStart(h, row.wait)
			h.equal("asked at once", jobsOf(h.heartbeat().AwaitingGang), []string(nil))
			row.show(h)
			h.equal("stops", callUntil(h, orderedAt+gangWait), []string(nil))
			h.equal("given up", h.agent.Counters().GivenUpMembers, uint64(0))
		})
	}
}

// TestResumedGangMemberWaits checks that the progress with which a gang member resumes from a
// checkpoint does not count as a sign that its gang has started.
func TestResumedGangMemberWaits(t *testing.T) {
	h := newHarness(t, 1)
	h.callAgent(nil)
	h.advance(20 * ms)
	start := gangStartOf("a", gangWait)
	start.Checkpoint = "from"
	h.accept(state.HeartbeatReply{Starts: []state.StartOrder{start}})
	orderedAt := h.now
	h.callAgent(nil)
	h.callAgent(func(c *Call) { c.Running = []Run{{attemptOf("a"), "from", 40}} })
	h.equal("stops", callUntil(h, orderedAt+gangGiveUpDelay+ms), []string{"a"})
}

// TestLateGangStartIsNotHandedOver checks that a gang member's start is reported as lost if the
// worker calls again only after the member was given up.
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

package control

import (
	"testing"
	"time"

	"sorrelloom/core/agent"
	"sorrelloom/core/state"
)

const (
	// gangWait is how long a member of a gang waits for the others. A little earlier, after the
	// default start timeout, the primary stops a gang that is not complete.
	gangWait   = 4200 * time.Millisecond
	gangRunFor = 5 * time.Second
)

// simGang is the only gang of a job. Its members make progress only once all members of one
// attempt have started.
type simGang struct {
	size int
	// members holds the members of each attempt of the gang and their workers, by the number
	// of the attempt.
	members map[int]map[state.Attempt]*simAgentWorker
	// completeAt is when the last member of an attempt started, by the number of the attempt.
	completeAt map[int]time.Duration
	now        func() time.Duration
	// showsProgress makes the workers report the progress of the members.
	showsProgress bool
	// stopped holds the members that were stopped, timedOut those that waited for gangWait.
	stopped, timedOut []state.Attempt
}

// newGangNet returns a network with one worker for each member of a gang. The job with the
// gang is not submitted yet.
func newGangNet(t *testing.T, size int) (*testNet, *simGang) {
	n := newNet(t)
	n.configure()
	n.addAgents(size, gangRunFor)
	gang := &simGang{
		size: size, members: map[int]map[state.Attempt]*simAgentWorker{}, completeAt: map[int]time.Duration{},
		now: func() time.Duration { return n.now },
	}
	for _, worker := range n.allAgents {
		worker.gang = gang
	}
	n.run(time.Second)
	return n, gang
}

// submitGang submits the job of the gang. Each worker has resources for one member.
func (n *testNet) submitGang(size int) {
	steps := []state.StepSpec{{Count: size, Gang: true, Resources: state.Resources{Slots: 20}}}
	n.mustCommand(state.Command{
		Kind: state.KindAcceptJob, Summary: true,
		Job: state.JobSpec{ID: "gang", Service: "s", Class: "c", Steps: steps},
	})
}

// takeOrders makes a worker carry out the orders in the reply to its last call.
func (g *simGang) takeOrders(s *simAgentWorker) {
	for _, attempt := range s.reply.Stops {
		if _, runs := s.endsAt[attempt]; runs {
			g.stopped = append(g.stopped, attempt)
			s.endRun(attempt, agent.OutcomeStopped)
		}
	}
	for _, start := range s.reply.Starts {
		if _, runs := s.endsAt[start.Attempt]; !runs {
			g.join(s, start.Attempt)
		}
	}
}

// join starts a member, which waits for the others. With the last one, all members begin to run.
func (g *simGang) join(s *simAgentWorker, attempt state.Attempt) {
	if g.members[attempt.Number] == nil {
		g.members[attempt.Number] = map[state.Attempt]*simAgentWorker{}
	}
	members := g.members[attempt.Number]
	members[attempt] = s
	s.endsAt[attempt] = g.now() + gangWait
	if len(members) < g.size {
		return
	}
	g.completeAt[attempt.Number] = g.now()
	for member, worker := range members {
		if _, runs := worker.endsAt[member]; runs {
			worker.endsAt[member] = g.now() + worker.runFor
		}
	}
}

// percent returns the progress of a run in percent. It is 0 for a nil gang, an incomplete one,
// or one without showsProgress.
func (g *simGang) percent(attempt state.Attempt) int {
	if g == nil || !g.showsProgress || g.completeAt[attempt.Number] == 0 {
		return 0
	}
	return int(100 * (g.now() - g.completeAt[attempt.Number]) / gangRunFor)
}

// outcome returns the outcome of a run whose time is over: lost if the member has waited for
// the others in vain. For a nil gang, every run succeeds.
func (g *simGang) outcome(attempt state.Attempt) agent.Outcome {
	if g == nil || g.completeAt[attempt.Number] > 0 {
		return agent.OutcomeSucceeded
	}
	g.timedOut = append(g.timedOut, attempt)
	return agent.OutcomeLost
}

// TestGangMemberStoppedWhilePrimaryIsLate has one agent receive the start of its member, then
// no reply for seconds, and the other agent no reply at all. The first agent must stop its
// member, which runs alone, before the worker itself ends it after gangWait.
func TestGangMemberStoppedWhilePrimaryIsLate(t *testing.T) {
	n, gang := newGangNet(t, 2)
	first, second := n.allAgents[0], n.allAgents[1]
	second.holdsReplies = true
	n.submitGang(2)
	for range 400 {
		if n.run(testTick); len(first.endsAt) > 0 {
			break
		}
	}
	if len(first.endsAt) != 1 {
		t.Fatal("the first member was not started")
	}
	first.holdsReplies = true
	n.run(gangWait + time.Second)
	if len(gang.timedOut) > 0 {
		t.Errorf("%v waited until the worker ended it", gang.timedOut)
	}
	if len(gang.stopped) != 1 {
		t.Errorf("stopped: %v, want one member", gang.stopped)
	}
	first.releaseReplies()
	second.releaseReplies()
	n.run(5*time.Second + gangRunFor)
	if job, _ := n.leaderStore().Job("gang"); job.State != state.Done {
		t.Errorf("after replies are in time again, the job is %s, want %s", job.State, state.Done)
	}
	if task := n.leaderStore().LeasesOn(first.call.Worker); len(task) > 0 {
		t.Errorf("remaining leases: %+v", task)
	}
}

// TestStartedGangKeepsRunningWhilePrimaryIsLate delays all replies after all members of a gang
// have started. No member is stopped, whether the agents know from the workers' progress or
// from the primary that the gang has started.
func TestStartedGangKeepsRunningWhilePrimaryIsLate(t *testing.T) {
	for _, row := range []struct {
		name          string
		showsProgress bool
		// inTimeFor is how long after the start replies still arrive.
		inTimeFor time.Duration
	}{
		{"workers report progress", true, 0},
		{"primary has reported the start", false, 1800 * time.Millisecond},
	} {
		t.Run(row.name, func(t *testing.T) {
			n, gang := newGangNet(t, 2)
			gang.showsProgress = row.showsProgress
			n.submitGang(2)
			for range 400 {
				if n.run(testTick); gang.completeAt[1] > 0 {
					break
				}
			}
			n.run(row.inTimeFor)
			for _, worker := range n.allAgents {
				worker.holdsReplies = true
			}
			n.run(gangRunFor)
			for _, worker := range n.allAgents {
				worker.releaseReplies()
			}
			n.run(2 * time.Second)
			if len(gang.stopped)+len(gang.timedOut) > 0 {
				t.Errorf("stopped: %v, timed out: %v", gang.stopped, gang.timedOut)
			}
			if job, _ := n.leaderStore().Job("gang"); job.State != state.Done {
				t.Errorf("the job is %s, want %s", job.State, state.Done)
			}
		})
	}
}

// TestGangStartsWhileRepliesAreLate delays every reply for longer than an agent waits between
// two heartbeats, so that the next heartbeat replaces the one being answered. All members of
// the gang must start with its first grant.
func TestGangStartsWhileRepliesAreLate(t *testing.T) {
	const size = 20
	for _, delay := range []time.Duration{150 * time.Millisecond, 300 * time.Millisecond, 450 * time.Millisecond} {
		t.Run(delay.String(), func(t *testing.T) {
			n, gang := newGangNet(t, size)
			for _, worker := range n.allAgents {
				worker.changesFree, worker.replyDelay = true, delay
			}
			n.run(2 * time.Second)
			n.submitGang(size)
			n.run(3*time.Second + gangRunFor)
			if gang.completeAt[1] == 0 {
				t.Errorf("%d members started with the first grant, %d were stopped",
					len(gang.members[1]), len(gang.stopped))
			}
			job, _ := n.leaderStore().Job("gang")
			if job.State != state.Done || job.Tasks[0].Attempts != 1 {
				t.Errorf("the job is %s after %d attempts", job.State, job.Tasks[0].Attempts)
			}
		})
	}
}

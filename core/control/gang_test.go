package control

import (
	"testing"
	"time"

	"sorrelloom/core/agent"
	"sorrelloom/core/state"
)

const (
	// gangWait is how long a member of a gang waits for the others. The primary has a gang
	// stopped that has not started a little earlier, after the default start timeout.
	gangWait   = 4200 * time.Millisecond
	gangRunFor = 5 * time.Second
)

// simGang is a job's only gang. Its members work only while all of one attempt are there.
type simGang struct {
	size int
	// members are the workers of each attempt of the gang, by its number.
	members map[int]map[state.Attempt]*simAgentWorker
	// wholeAt is when the last member of an attempt came.
	wholeAt map[int]time.Duration
	now     func() time.Duration
	// showsProgress has the workers report how far the members are.
	showsProgress bool
	// stopped and alone are the members that were stopped, and those that waited too long.
	stopped, alone []state.Attempt
}

// newGangNet returns a network with a job that is one gang, which has not been submitted: a
// member for each of the workers.
func newGangNet(t *testing.T, size int) (*testNet, *simGang) {
	n := newNet(t)
	n.configure()
	n.addAgents(size, gangRunFor)
	gang := &simGang{
		size: size, members: map[int]map[state.Attempt]*simAgentWorker{}, wholeAt: map[int]time.Duration{},
		now: func() time.Duration { return n.now },
	}
	for _, worker := range n.allAgents {
		worker.gang = gang
	}
	n.run(time.Second)
	return n, gang
}

// submitGang submits the job of the gang, of which each worker has room for one member.
func (n *testNet) submitGang(size int) {
	steps := []state.StepSpec{{Count: size, Gang: true, Resources: state.Resources{Slots: 20}}}
	n.mustCommand(state.Command{
		Kind: state.KindAcceptJob, Summary: true,
		Job: state.JobSpec{ID: "gang", Service: "s", Class: "c", Steps: steps},
	})
}

// takeOrders has a worker do what the reply to its last call says.
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

// join has a member wait for the others, or all of them begin with it.
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
	g.wholeAt[attempt.Number] = g.now()
	for member, worker := range members {
		if _, runs := worker.endsAt[member]; runs {
			worker.endsAt[member] = g.now() + worker.runFor
		}
	}
}

// percent is how far a run is; nil is no gang.
func (g *simGang) percent(attempt state.Attempt) int {
	if g == nil || !g.showsProgress || g.wholeAt[attempt.Number] == 0 {
		return 0
	}
	return int(100 * (g.now() - g.wholeAt[attempt.Number]) / gangRunFor)
}

// outcome is how a run ends whose time is over.
func (g *simGang) outcome(attempt state.Attempt) agent.Outcome {
	if g == nil || g.wholeAt[attempt.Number] > 0 {
		return agent.OutcomeSucceeded
	}
	g.alone = append(g.alone, attempt)
	return agent.OutcomeLost
}

// TestGangMemberStoppedWhilePrimaryIsLate has the agent of one member get its start, and
// nothing more from the primary for seconds; the agent of the other gets nothing at all.
// The first is not to wait until its worker ends it: that one member ran alone.
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
	if len(gang.alone) > 0 {
		t.Errorf("%v waited alone until its worker ended it", gang.alone)
	}
	if len(gang.stopped) != 1 {
		t.Errorf("stopped: %v", gang.stopped)
	}
	first.releaseReplies()
	second.releaseReplies()
	n.run(5*time.Second + gangRunFor)
	if job, _ := n.leaderStore().Job("gang"); job.State != state.Done {
		t.Errorf("with a primary that is in time again, the job is %s", job.State)
	}
	if task := n.leaderStore().LeasesOn(first.call.Worker); len(task) > 0 {
		t.Errorf("leases are left: %+v", task)
	}
}

// TestStartedGangGoesOnWhilePrimaryIsLate has a gang start whole before the primary is late:
// nothing of it is stopped, whether the workers show that it is at work, or the primary has
// told the agents.
func TestStartedGangGoesOnWhilePrimaryIsLate(t *testing.T) {
	for _, row := range []struct {
		name          string
		showsProgress bool
		// inTimeFor is how long after the start replies still come.
		inTimeFor time.Duration
	}{
		{"the workers show it", true, 0},
		{"the primary has told", false, 1800 * time.Millisecond},
	} {
		t.Run(row.name, func(t *testing.T) {
			n, gang := newGangNet(t, 2)
			gang.showsProgress = row.showsProgress
			n.submitGang(2)
			for range 400 {
				if n.run(testTick); gang.wholeAt[1] > 0 {
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
			if len(gang.stopped)+len(gang.alone) > 0 {
				t.Errorf("stopped: %v, alone: %v", gang.stopped, gang.alone)
			}
			if job, _ := n.leaderStore().Job("gang"); job.State != state.Done {
				t.Errorf("the job is %s", job.State)
			}
		})
	}
}

// TestGangStartsWhileRepliesAreLate has every reply take longer than an agent waits before it
// sends the next report, which replaces the one that the reply is to. All members of the gang
// are to start from its first grant.
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
			if gang.wholeAt[1] == 0 {
				t.Errorf("the first grant led to %d members, %d were stopped", len(gang.members[1]), len(gang.stopped))
			}
			job, _ := n.leaderStore().Job("gang")
			if job.State != state.Done || job.Tasks[0].Attempts != 1 {
				t.Errorf("the job is %s after %d attempts", job.State, job.Tasks[0].Attempts)
			}
		})
	}
}

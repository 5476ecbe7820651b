package dispatch

import (
	"testing"
	"time"

	"sorrelloom/core/state"
	"sorrelloom/core/statetest"
)

// TestVictimsLoseLeastWork checks that, of leases that have run for long, the one that saves
// its progress is preempted first, and as many as the task needs on one worker.
func TestVictimsLoseLeastWork(t *testing.T) {
	for _, row := range []struct {
		name, task string
		want       []string
	}{
		{"one is enough", "x", []string{"saves"}},
		{"two are needed", "x:2", []string{"saves", "plain"}},
	} {
		t.Run(row.name, func(t *testing.T) {
			s := newFixture(t, map[string]int{"w1": 2}, "w1")
			spec := statetest.JobSpec("b", "batch", "plain", "saves")
			spec.Tasks[1].Checkpointed = true
			s.MustApply(state.Command{Kind: state.KindAcceptJob, Job: spec})
			s.StartTask("b/saves@w1")
			s.Now += time.Second
			s.StartTask("b/plain@w1")
			s.Advance(9 * time.Second)
			s.Heartbeat("w1", nil)
			s.AcceptJob("q", "quick", row.task)
			s.update()
			job, _ := s.Store.Job("q")
			task := queuedTask{ref: TaskRef{"q", 0}}
			rule := victimRule{store: s.Store, notQuick: true}
			var got []string
			for _, assignment := range s.dispatcher.cheapestVictims(s.Store, job, task, "a", rule) {
				got = append(got, assignment.Task)
			}
			if len(got) != len(row.want) || got[0] != row.want[0] {
				t.Errorf("got %v, want %v", got, row.want)
			}
		})
	}
}

// TestPreemptionFreesResourcesInTheRack checks that a lease in the rack of a task's data is
// preempted although resources are free elsewhere.
func TestPreemptionFreesResourcesInTheRack(t *testing.T) {
	s := newTwoRacks(t)
	s.acceptNear("q", "quick", "r1", time.Second, "x")
	s.Now += 100 * time.Millisecond
	s.Heartbeat("near", nil)
	s.Heartbeat("far", nil)
	s.update()
	proposal, ok := s.preempt()
	if !ok || proposal.Assignments[0].Worker != "near" {
		t.Errorf("got %+v %v", proposal, ok)
	}
	s = newTwoRacks(t)
	s.AcceptJob("q", "quick", "x")
	s.Now += 100 * time.Millisecond
	s.Heartbeat("near", nil)
	s.Heartbeat("far", nil)
	s.update()
	if proposal, ok := s.preempt(); ok {
		t.Errorf("a lease is preempted although resources are free and no rack is preferred: %+v", proposal)
	}
}

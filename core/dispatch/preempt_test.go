package dispatch

import (
	"testing"
	"time"

	"sorrelloom/core/state"
	"sorrelloom/core/statetest"
	"sorrelloom/core/status"
)

// preempt returns the preemption that is proposed for the only zone, if any.
func (s fixture) preempt() (found Proposal, ok bool) {
	propose := func(_ string, proposal Proposal) { found, ok = proposal, true }
	s.dispatcher.Preempt(s.Store, []string{"a"}, InFlight{}, propose)
	return found, ok
}

func preemptCommand(assignments []state.Assignment, preemptFor state.Assignment) state.Command {
	return state.Command{Kind: state.KindPreempt, Grant: state.Grant{
		Leadership: statetest.Leadership, Epoch: 1, Assignments: assignments, PreemptFor: preemptFor,
	}}
}

// TestPreempt checks that a borrowed lease is preempted for the owner of the share, the newest
// one first.
func TestPreempt(t *testing.T) {
	s := newFixture(t, map[string]int{"w1": 2}, "w1")
	s.AcceptJob("s", "small", "a", "b")
	s.StartTask("s/a@w1")
	s.StartTask("s/b@w1")
	if _, ok := s.preempt(); ok {
		t.Fatal("a lease is preempted although no task needs the resources")
	}
	s.AcceptJob("q", "quick", "x")
	s.Now += 100 * time.Millisecond
	s.Heartbeat("w1", nil)
	s.update()
	proposal, ok := s.preempt()
	victim := state.Assignment{Job: "s", Task: "b", Worker: "w1"}
	beneficiary := state.Assignment{Job: "q", Task: "x"}
	if !ok || proposal.Assignments[0] != victim || proposal.PreemptFor != beneficiary {
		t.Fatalf("got %+v %v", proposal, ok)
	}
	s.MustApply(preemptCommand(proposal.Assignments, proposal.PreemptFor))
	s.update()
	if more, ok := s.preempt(); ok {
		t.Errorf("a second lease is preempted although one is enough: %+v", more)
	}
}

// TestQuickTaskPreemptsWithinShare fills the only worker with a label with work within its own
// share. For a quick task that needs the label a lease is preempted, for a task that is not
// quick none is.
func TestQuickTaskPreemptsWithinShare(t *testing.T) {
	for _, row := range []struct {
		class, task, want string
	}{{"quick", "x+ssd", "b/b"}, {"batch", "x+ssd", ""}, {"quick", "x", ""}} {
		s := newFixture(t, map[string]int{"w1+ssd": 2, "w2": 4}, "w1+ssd", "w2")
		s.AcceptJob("b", "batch", "a", "b")
		s.StartTask("b/a@w1")
		s.StartTask("b/b@w1")
		s.AcceptJob("q", row.class, row.task)
		s.Now += 100 * time.Millisecond
		s.Heartbeat("w1", nil)
		s.update()
		proposal, ok := s.preempt()
		got := ""
		if ok {
			got = proposal.Assignments[0].Job + "/" + proposal.Assignments[0].Task
			s.MustApply(preemptCommand(proposal.Assignments, proposal.PreemptFor))
		}
		if got != row.want {
			t.Errorf("%s %s: got %q, want %q", row.class, row.task, got, row.want)
		}
		withinShare := []state.Assignment{{Job: "b", Task: "a", Worker: "w1"}}
		forNobody := s.Apply(preemptCommand(withinShare, state.Assignment{}))
		if forNobody.Code != status.TaskNotPending {
			t.Errorf("%s %s: a lease within its share is preempted for no task: %v", row.class, row.task, forNobody.Code)
		}
	}
}

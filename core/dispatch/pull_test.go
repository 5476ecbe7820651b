package dispatch

import (
	"testing"

	"sorrelloom/core/status"
)

// TestContentionHasOneWinner lets two workers choose the same task: the state machine grants it
// to one, and the other one gets another task with its next pull.
func TestContentionHasOneWinner(t *testing.T) {
	s := newFixture(t, map[string]int{"w1": 1, "w2": 4, "w3": 4}, "w1", "w2", "w3")
	s.AcceptJob("f", "batch", "a")
	s.StartTask("f/a@w1")
	s.AcceptJob("j", "batch", "a", "b")
	s.moveTo("w1", "j/a")
	s.moveTo("w1", "j/b")
	first, _ := s.pull("w2", true)
	second, _ := s.pull("w3", true)
	if first != "j/a@w2" || second != "j/a@w3" {
		t.Fatalf("both should choose the smallest number: %q %q", first, second)
	}
	if a, b := s.Grant(first), s.Grant(second); a != status.OK || b != status.TaskNotPending {
		t.Fatalf("exactly the first should be granted: %v %v", a, b)
	}
	if again, _ := s.pull("w3", true); again != "j/b@w3" {
		t.Errorf("the other should get the next task, got %q", again)
	}
}

// TestPullExaminesFewOfManyTasks checks that the cost of a pull does not grow with the number
// of waiting tasks: a burst of 500 tasks once used up a whole core of a scheduler.
func TestPullExaminesFewOfManyTasks(t *testing.T) {
	s := newFixture(t, map[string]int{"w1": 4, "w2": 4}, "w1", "w2")
	for _, class := range []string{"quick", "batch"} {
		for i := range 500 {
			s.AcceptJob(class+string(rune('a'+i/26))+string(rune('a'+i%26)), class, "x", "y", "z<x,y")
		}
	}
	s.update()
	before := s.dispatcher.Counters.Examined
	if got, _ := s.pull("w1", true); got == "" {
		t.Fatal("no task was chosen")
	}
	if examined := s.dispatcher.Counters.Examined - before; examined > 2*2*maxExaminedWithInputs {
		t.Errorf("one pull examined %d tasks", examined)
	}
}

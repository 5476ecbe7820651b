package dispatch

import (
	"fmt"
	"testing"

	"sorrelloom/core/state"
)

// TestHealthChangesAreTold has one of three workers fail its tasks, then succeed again.
func TestHealthChangesAreTold(t *testing.T) {
	s := newFixture(t, map[string]int{"w1": 4, "w2": 4, "w3": 4}, "w1", "w2", "w3")
	runOne := func(n int, succeeded bool) {
		job := fmt.Sprintf("j%d", n)
		s.AcceptJob(job, "quick", "a")
		s.update()
		attempt := s.StartTask(job + "/a@w1")
		s.update()
		s.EndAttempt("w1", state.AttemptResult{Attempt: attempt, Succeeded: succeeded})
		s.update()
	}
	for n := range 3 {
		runOne(n, false)
	}
	changes := s.dispatcher.TakeHealthChanges()
	if len(changes) != 1 || changes[0].Worker != "w1" || !changes[0].Impaired || s.dispatcher.ImpairedWorkers() != 1 {
		t.Errorf("after failures: %+v, %d impaired", changes, s.dispatcher.ImpairedWorkers())
	}
	for n := range 6 {
		runOne(10+n, true)
	}
	changes = s.dispatcher.TakeHealthChanges()
	if len(changes) != 1 || changes[0].Impaired || s.dispatcher.ImpairedWorkers() != 0 {
		t.Errorf("after successes: %+v, %d impaired", changes, s.dispatcher.ImpairedWorkers())
	}
}

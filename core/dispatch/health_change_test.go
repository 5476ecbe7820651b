package dispatch

import (
	"fmt"
	"testing"
	"time"

	"sorrelloom/core/state"
)

// TestHealthChangesAreReported lets one of three workers fail its tasks, then succeed again.
func TestHealthChangesAreReported(t *testing.T) {
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

// TestGangFailureCountsAgainstOneWorker lets one of six workers fail its member of a gang,
// while the ends of all members arrive in the same update: the failure must not count against
// the others.
func TestGangFailureCountsAgainstOneWorker(t *testing.T) {
	sim := newSimulation(t, 6, nil)
	sim.workers[0].failing = true
	sim.submit("gang", "batch", "", 300*time.Millisecond, gangOf(withMaxFailures(9, slots(6, 60))))
	sim.advance(time.Second)
	for n, worker := range sim.workers {
		if rate := sim.dispatcher.health.workers[worker.name].failureRate; (rate > 0) != (n == 0) {
			t.Errorf("%s has the failure rate %v", worker.name, rate)
		}
	}
}

package dispatch

import (
	"fmt"
	"testing"

	"sorrelloom/core/state"
)

// TestTakeoverUpdatesAreBounded lets a dispatcher take over many tasks and many workers: each
// of its updates must compare a bounded number of tasks and workers.
func TestTakeoverUpdatesAreBounded(t *testing.T) {
	const workers, tasks, mostComparisons = 240, 4000, 150_000
	capacity, order := map[string]int{}, []string{}
	for i := range workers {
		order = append(order, fmt.Sprintf("w%03d", i))
		capacity[order[i]] = 2
	}
	s := newFixture(t, capacity, order...)
	for i := range tasks / 1000 {
		spec := state.JobSpec{
			ID: fmt.Sprintf("j%d", i), Service: "tickets", Class: "batch",
			Steps: []state.StepSpec{{Count: 1000, Resources: state.Resources{Slots: 1}}},
		}
		s.MustApply(state.Command{Kind: state.KindAcceptJob, Job: spec})
	}
	s.dispatcher = New()
	changes := []state.Change{{All: true}}
	for before := uint64(0); ; changes = nil {
		s.dispatcher.Update(s.Store, changes)
		queued := s.dispatcher.Counters.Runnable - before
		if before = s.dispatcher.Counters.Runnable; queued*workers > mostComparisons {
			t.Fatalf("one update queued %d tasks, each compared with %d workers", queued, workers)
		}
		if !s.dispatcher.Rebuilding() {
			break
		}
	}
	if queued := s.dispatcher.Counters.Runnable; queued != tasks {
		t.Errorf("%d tasks are queued", queued)
	}
}

package scheduler

import (
	"testing"
	"time"

	"sorrelloom/core/dispatch"
	"sorrelloom/core/machine"
	"sorrelloom/core/state"
	"sorrelloom/core/statetest"
)

// TestLongWaitIsLoggedWithItsReason has a task wait while all workers are silent. After 2 s a
// warning with the reason is logged, and the next one only 10 s later. LongWaitsByReason counts
// the task.
func TestLongWaitIsLoggedWithItsReason(t *testing.T) {
	f := statetest.New(t)
	f.AddWorker("w1", 4)
	s := NewWithState(Config{Address: "s1", Zone: "a"}, &storeAccess{fixture: f})
	s.Step(f.Now, machine.Input{})
	f.Advance(31 * time.Second)
	f.AcceptJob("j", "batch", "a")
	var warnings int
	for _, row := range []struct {
		after time.Duration
		want  int
	}{{1500 * ms, 0}, {1500 * ms, 1}, {8 * time.Second, 1}, {4 * time.Second, 2}} {
		for end := f.Now + row.after; f.Now < end; {
			f.Advance(100 * ms)
			for _, event := range s.Step(f.Now, machine.Input{}).LogEvents {
				if event.Name == "tasks_waiting" && event.Fields[1] == string(state.WorkersSilent) {
					warnings++
				}
			}
		}
		if warnings != row.want {
			t.Errorf("%d warnings at %s, want %d", warnings, f.Now, row.want)
		}
	}
	if count := s.LongWaitsByReason()[dispatch.WaitReason(state.WorkersSilent)]; count != 1 {
		t.Errorf("LongWaitsByReason counts %d tasks that wait for silent workers, want 1", count)
	}
}

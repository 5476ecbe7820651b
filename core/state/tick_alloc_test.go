package state_test

import (
	"testing"

	"sorrelloom/core/state"
)

// TestTickDueAllocatesNothing checks whether a tick is due with many workers, jobs
// and leases: none is, and the check allocates nothing.
func TestTickDueAllocatesNothing(t *testing.T) {
	f, _ := workerWithRuns(t, 100)
	for i := range 50 {
		b := heartbeatOf(1)
		b.Worker = "other" + string(rune('A'+i))
		f.MustApply(heartbeat(b))
	}
	due := false
	allocations := testing.AllocsPerRun(20, func() { due = f.Store.TickDue(f.Now, 0) })
	if due || allocations > 0 {
		t.Errorf("due: %v, allocations: %v", due, allocations)
	}
	if result := f.Apply(state.Command{Kind: state.KindTick}); !result.Code.IsSuccess() {
		t.Errorf("tick: %s", result.Code)
	}
}

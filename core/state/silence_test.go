package state_test

import (
	"testing"
	"time"

	"sorrelloom/core/state"
	"sorrelloom/core/statetest"
)

// TestSilenceCountsOnceHeard lets a lease lapse while nobody may have been able to hear its
// worker. A tick returns it only once the primary has served for the heartbeat timeout, of
// 30 s here, and is not sent before that. A tick of an earlier release, which does not say
// since when its primary served, returns it at once, as that release does.
func TestSilenceCountsOnceHeard(t *testing.T) {
	for _, row := range []struct {
		name         string
		servingSince time.Duration
		returned     bool
	}{
		{"served all the while", time.Millisecond, true},
		{"served for the heartbeat timeout", 10 * time.Second, true},
		{"served for a little less", 10*time.Second + 50*time.Millisecond, false},
		{"has just begun to serve", 40 * time.Second, false},
		{"an earlier release", 0, true},
	} {
		t.Run(row.name, func(t *testing.T) {
			f := statetest.New(t)
			f.AddWorker("w1", 4)
			f.AcceptJob("j", "quick", "a")
			f.StartTask("j/a@w1")
			f.Now = 40*time.Second + 10*time.Millisecond
			if due := f.Store.TickDue(f.Now, row.servingSince); due != row.returned {
				t.Errorf("a tick is due: %v", due)
			}
			f.Apply(state.Command{Kind: state.KindTick, ServingSince: row.servingSince})
			if returned := !f.Task("j/a").Lease.Held(); returned != row.returned {
				t.Errorf("the lease is returned: %v", returned)
			}
		})
	}
}

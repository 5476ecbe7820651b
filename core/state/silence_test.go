package state_test

import (
	"testing"
	"time"

	"sorrelloom/core/state"
	"sorrelloom/core/statetest"
)

// TestLapsedLeaseKeptUntilPrimaryServedForHeartbeatTimeout lets a lease lapse while the
// primary may not have been able to receive heartbeats. A tick returns the lease only once
// the primary has served for the heartbeat timeout, 30 s here, and no tick is due before that.
// A tick of an earlier release, which does not carry servingSince, returns the lease at once,
// as that release does.
func TestLapsedLeaseKeptUntilPrimaryServedForHeartbeatTimeout(t *testing.T) {
	for _, row := range []struct {
		name         string
		servingSince time.Duration
		returned     bool
	}{
		{"served from the start", time.Millisecond, true},
		{"served for the heartbeat timeout", 10 * time.Second, true},
		{"served for slightly less than the heartbeat timeout", 10*time.Second + 50*time.Millisecond, false},
		{"has just started to serve", 40 * time.Second, false},
		{"tick of an earlier release", 0, true},
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

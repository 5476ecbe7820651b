package state_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"sorrelloom/core/state"
	"sorrelloom/core/statetest"
	"sorrelloom/core/status"
)

const maxOrderAge = 10 * time.Second

// drainOrder returns an order to drain or refill zone a, with the current log index as the
// confirmed one.
func drainOrder(f *statetest.Fixture, key string, drain bool) state.Command {
	return state.Command{
		Kind: state.KindSetZoneDrained, Name: "a", Drain: drain, IdempotencyKey: key,
		RequestedAt: f.Store.Now(), MaxAge: maxOrderAge, ConfirmedIndex: f.Store.Position().Index,
	}
}

// isDrained reports whether zone a is drained.
func isDrained(f *statetest.Fixture) bool { return slices.Contains(f.Store.DrainedZones(), "a") }

// TestDelayedDrainOrderDoesNotUndoLaterOrder delays an order until later orders were applied,
// or until it is too old. Applied then, it must not undo a later order.
func TestDelayedDrainOrderDoesNotUndoLaterOrder(t *testing.T) {
	table := []struct {
		name  string
		drain bool
		later []bool
		wait  time.Duration
		want  status.Code
	}{
		{"without delay", true, nil, 0, status.OK},
		{"drain after a refill", true, []bool{false}, 0, status.RequestExpired},
		{"refill after a drain", false, []bool{true}, 0, status.RequestExpired},
		{"drain after a refill and a drain", true, []bool{false, true}, 0, status.AlreadyDone},
		{"drain after a drain", true, []bool{true}, 0, status.AlreadyDone},
		{"just below the maximum age", true, nil, maxOrderAge - 100*time.Millisecond, status.OK},
		{"too old", true, nil, maxOrderAge + time.Second, status.RequestExpired},
		{"too old after a refill", true, []bool{false}, maxOrderAge + time.Second, status.RequestExpired},
	}
	for _, row := range table {
		for _, restarted := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s, restarted %v", row.name, restarted), func(t *testing.T) {
				f := statetest.New(t)
				f.AddWorker("w1", 4)
				f.AddWorker("w2", 4)
				f.MustApply(drainOrder(f, "before", !row.drain))
				delayed := drainOrder(f, "delayed", row.drain)
				for i, drain := range row.later {
					f.MustApply(drainOrder(f, fmt.Sprint("later", i), drain))
				}
				if restarted {
					reload(t, f)
				}
				f.Now += row.wait
				before := isDrained(f)
				result := f.Apply(delayed)
				if result.Code != row.want {
					t.Fatalf("%v: %s", result.Code, result.Reason)
				}
				if now := isDrained(f); !result.Code.IsSuccess() && now != before || result.Code.IsSuccess() && now != row.drain {
					t.Errorf("drained: %v, before the delayed order: %v", now, before)
				}
				// A new order is applied, whatever became of the delayed one.
				f.MustApply(drainOrder(f, "next", !row.drain))
				if isDrained(f) == row.drain {
					t.Error("the next order is not applied")
				}
				checkReload(t, f.Store)
			})
		}
	}
}

// TestRepeatedDrainOrderAcknowledged repeats an order whose result was lost. The same command
// is recognized by its idempotency key; a second call of the operator is a new order to the
// same effect.
func TestRepeatedDrainOrderAcknowledged(t *testing.T) {
	f := statetest.New(t)
	f.AddWorker("w1", 4)
	first := drainOrder(f, "first", true)
	f.MustApply(first)
	if result := f.Apply(first); result.Code != status.AlreadyDone {
		t.Errorf("the repeated command: %v", result.Code)
	}
	f.MustApply(drainOrder(f, "second", true))
	f.Now += time.Minute
	if result := f.Apply(first); result.Code != status.AlreadyDone || !isDrained(f) {
		t.Errorf("the command repeated after a minute: %v, drained: %v", result.Code, isDrained(f))
	}
}

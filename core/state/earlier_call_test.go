package state_test

import (
	"testing"

	"sorrelloom/core/state"
	"sorrelloom/core/statetest"
)

// TestHeartbeatFromEarlierCallKeepsLeases guards against tasks that run twice. After its agent has
// ended or was restarted, a worker's heartbeat can be based on an earlier call than the heartbeat
// before it, even if its number is higher. Such a heartbeat returned the leases of attempts that
// the worker had started between the two calls.
func TestHeartbeatFromEarlierCallKeepsLeases(t *testing.T) {
	first, second := state.Attempt{Job: "j", Task: "a", Number: 1}, state.Attempt{Job: "j", Task: "b", Number: 1}
	stray := state.Attempt{Job: "other", Task: "a", Number: 1}
	for _, row := range []struct {
		name   string
		change func(*state.Heartbeat)
	}{
		{"no running attempts", func(hb *state.Heartbeat) { hb.Running = nil }},
		{"fewer running attempts", func(*state.Heartbeat) {}},
		{"other labels", func(hb *state.Heartbeat) { hb.Labels = nil }},
		{"no resources, as once all attempts have ended", func(hb *state.Heartbeat) {
			hb.Running, hb.Free, hb.Total = nil, state.Resources{}, state.Resources{}
		}},
		{"unconfirmed", func(hb *state.Heartbeat) { hb.CallNumber, hb.Unconfirmed = 0, true }},
		{"an attempt has ended", func(hb *state.Heartbeat) {
			hb.Ended = []state.AttemptResult{{Attempt: state.Attempt{Job: "k", Task: "a", Number: 1}, Succeeded: true}}
		}},
	} {
		t.Run(row.name, func(t *testing.T) {
			f := statetest.New(t)
			f.MustApply(heartbeat(heartbeatOf(1)))
			f.AcceptJob("j", "quick", "a", "b")
			f.Grant("j/a@w")
			f.Grant("j/b@w")
			begun := heartbeatOf(2, first, second, stray)
			begun.CallNumber = 7
			f.MustApply(heartbeat(begun))
			before := f.Store.FreeResources("w")
			earlier := heartbeatOf(5, first)
			earlier.CallNumber = 6
			row.change(&earlier)
			reduced, changes := f.Store.ReduceHeartbeat(earlier)
			if changes != (len(earlier.Ended) > 0) {
				t.Errorf("changes: %v", changes)
			}
			f.MustApply(heartbeat(reduced))
			for _, task := range []string{"a", "b"} {
				if lease := f.Task("j/" + task).Lease; !lease.Held() || lease.Worker != "w" {
					t.Errorf("lease of %s: %+v, want one held by w", task, lease)
				}
			}
			if free := f.Store.FreeResources("w"); free != before {
				t.Errorf("free resources: %+v, want %+v", free, before)
			}
			// A later call that does not list the attempt shows that it has ended.
			later := heartbeatOf(6, first)
			later.CallNumber = 7
			reduced, _ = f.Store.ReduceHeartbeat(later)
			if len(reduced.NotRunning) != 1 || reduced.NotRunning[0] != second {
				t.Errorf("not running by a later call: %+v, want %+v", reduced.NotRunning, second)
			}
		})
	}
}

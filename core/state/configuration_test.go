package state_test

import (
	"testing"

	"sorrelloom/core/state"
	"sorrelloom/core/statetest"
	"sorrelloom/core/status"
)

// TestChangeConfig checks that a change applies only to the version it is based on, that
// invalid changes are rejected, and that the version never decreases.
func TestChangeConfig(t *testing.T) {
	f := statetest.New(t)
	patch := func(base uint64, key, body string) state.Result {
		return f.Apply(withKey(key, patchConfig(base, body)))
	}
	table := []struct {
		base          uint64
		key, body     string
		want          status.Code
		wantedVersion uint64
	}{
		{1, "one", `{"limits":{"keep":"1h"}}`, status.OK, 2},
		{1, "two", `{"limits":{"keep":"2h"}}`, status.StaleConfig, 2},
		{1, "one", `{"limits":{"keep":"1h"}}`, status.AlreadyDone, 2},
		{2, "", `{"policies":{"order":"priority +"}}`, status.InvalidPolicy, 2},
		{2, "", `{"policies":{"order":"nothing"}}`, status.InvalidPolicy, 2},
		{2, "", `{"policies":{"borrow":"now() == now()"}}`, status.InvalidPolicy, 2},
		{2, "", `{"services":{"tickets":{"classes":{"quick":{"share":51}}}}}`, status.InvalidConfig, 2},
		{2, "", `{"services":{"tickets":{"classes":{"quick":{"shar":51}}}}}`, status.InvalidConfig, 2},
		{2, "", `{"limits":{"startBy":"7s"}}`, status.InvalidConfig, 2},
		{2, "", `[]`, status.Malformed, 2},
		{2, "", `{"policies":{"order":"priority + waited / 60"}}`, status.OK, 3},
	}
	for _, row := range table {
		got := patch(row.base, row.key, row.body)
		if got.Code != row.want || got.ConfigVersion != row.wantedVersion || f.Store.Config().Version != row.wantedVersion {
			t.Errorf("%s on version %d: %v %s, version %d", row.body, row.base, got.Code, got.Reason, got.ConfigVersion)
		}
		checkReload(t, f.Store)
	}
}

package state_test

import (
	"slices"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"

	"sorrelloom/core/machine"
	"sorrelloom/core/state"
	"sorrelloom/core/statetest"
	"sorrelloom/core/status"
)

// TestUnknownNamesRejected sends commands with unknown names, and checks that they change no
// record and that the reason lists the known names.
func TestUnknownNamesRejected(t *testing.T) {
	for _, row := range []struct {
		cmd  state.Command
		says string
	}{
		{drainZone("aa", true), "known are: a"},
		{drainZone("", true), "known are: a"},
		{drainWorker("w2", true), "known are: w1"},
		{state.Command{Kind: state.KindConfirmWorkerDead, Name: "w2"}, "known are: w1"},
		{transferLeadership("dispatch/b", "s1"), "known are: dispatch/a"},
		{transferLeadership(statetest.Leadership, "s9"), "known are: s1"},
	} {
		f := statetest.New(t)
		f.AddWorker("w1", 4)
		before := f.Store.Records()
		a := f.Apply(row.cmd)
		if a.Code != status.UnknownName || !strings.Contains(a.Reason, row.says) {
			t.Errorf("%s %q: %v %s", row.cmd.Kind, row.cmd.Name, a.Code, a.Reason)
		}
		ignored := func(r []machine.Record) []machine.Record {
			return slices.DeleteFunc(slices.Clone(r), func(r machine.Record) bool { return r.Key == "position" })
		}
		if diff := cmp.Diff(ignored(before), ignored(f.Store.Records())); diff != "" {
			t.Errorf("%s %q changed: %s", row.cmd.Kind, row.cmd.Name, diff)
		}
	}
}

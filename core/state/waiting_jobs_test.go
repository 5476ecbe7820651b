package state_test

import (
	"testing"

	"sorrelloom/core/state"
	"sorrelloom/core/statetest"
)

// TestWaitingCountCountsJobs checks that the waiting count is the number of accepted jobs of
// which no task has started, however many tasks they have. A job whose tasks are leased and
// not started still waits. A job of which a task has started does not, even if that attempt
// was lost or failed.
func TestWaitingCountCountsJobs(t *testing.T) {
	f := statetest.New(t)
	f.AddWorker("w1", 4)
	f.MustApply(patchConfig(1, `{"entries":[{"name":"r","host":"h","prefix":"/q/","service":"tickets","class":"quick"}]}`))
	expect := func(what string, want int) {
		t.Helper()
		read := state.Command{Kind: state.KindReadWaitingCount, Host: "h", Path: "/q/"}
		if got := f.Store.Read(read).WaitingCount; got != want {
			t.Errorf("%s: %d jobs wait, want %d", what, got, want)
		}
	}
	expect("no jobs", 0)
	f.AcceptJob("one", "quick", "a", "b", "c")
	f.AcceptJob("two", "quick", "a")
	f.AcceptJob("other", "batch", "a")
	expect("two jobs accepted", 2)
	f.Grant("one/a@w1")
	expect("task of the first leased", 2)
	f.Heartbeat("w1", func(hb *state.Heartbeat) {
		hb.Running = []state.Attempt{{Job: "one", Task: "a", Number: 1}}
	})
	expect("first started", 1)
	f.Heartbeat("w1", func(hb *state.Heartbeat) { hb.Running = nil })
	expect("first started and lost", 1)
	f.Apply(cancelJob("two"))
	expect("second cancelled", 0)
}

// TestWaitingCountFollowsRenamedRoute checks that the waiting count of a renamed route, which
// leads to another class, includes the jobs that were accepted under its former name.
func TestWaitingCountFollowsRenamedRoute(t *testing.T) {
	f := statetest.New(t)
	f.MustApply(patchConfig(1, `{"entries":[{"name":"r","host":"h","prefix":"/q/","service":"tickets","class":"quick"}]}`))
	for _, id := range []string{"one", "two"} {
		spec := statetest.JobSpec(id, "", "a")
		spec.Service, spec.Host, spec.Path = "", "h", "/q/"+id
		f.MustApply(state.Command{Kind: state.KindAcceptJob, Job: spec})
	}
	f.MustApply(patchConfig(2, `{"services":{"tickets":{"classes":{"quick":null,"new":{"priority":1,"share":50}}}},`+
		`"entries":[{"name":"r2","host":"h","prefix":"/q/","service":"tickets","class":"new"},`+
		`{"name":"b","host":"h","prefix":"/b/","service":"tickets","class":"batch"}]}`))
	for path, want := range map[string]int{"/q/": 2, "/b/": 0} {
		read := state.Command{Kind: state.KindReadWaitingCount, Host: "h", Path: path}
		if got := f.Store.Read(read).WaitingCount; got != want {
			t.Errorf("%d jobs wait at %s, want %d", got, path, want)
		}
	}
}

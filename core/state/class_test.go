package state_test

import (
	"testing"
	"time"

	"sorrelloom/core/state"
	"sorrelloom/core/statetest"
	"sorrelloom/core/status"
)

// classRemovals are patches that remove the class "quick" of the service "tickets", in one or
// more changes.
var classRemovals = []struct {
	name    string
	patches []string
}{
	{"the class is renamed", []string{
		`{"services":{"tickets":{"classes":{"quick":null,` +
			`"quick-new":{"priority":100,"share":50,"quick":true,"silence":"restart"}}}}}`,
	}},
	{"the class is removed", []string{`{"services":{"tickets":{"classes":{"quick":null}}}}`}},
	{"the service is removed", []string{`{"services":{"tickets":null}}`}},
	{"removed, then another change", []string{
		`{"services":{"tickets":{"classes":{"quick":null}}}}`, `{"limits":{"keep":"1h"}}`,
	}},
	{"removed, restored and removed again", []string{
		`{"services":{"tickets":{"classes":{"quick":null}}}}`,
		`{"services":{"tickets":{"classes":{"quick":{"priority":100,"share":50,"quick":true,"silence":"restart"}}}}}`,
		`{"services":{"tickets":{"classes":{"quick":null}}}}`,
	}},
}

// TestTasksOfRemovedClassRestartAfterWorkerLoss guards against tasks that never run again. After a
// configuration change had removed the class of a running job, the tasks of a lost worker were held
// forever, since their lost-worker policy was looked up by the name of the class.
func TestTasksOfRemovedClassRestartAfterWorkerLoss(t *testing.T) {
	for _, row := range classRemovals {
		for _, lostBefore := range []bool{false, true} {
			t.Run(row.name, func(t *testing.T) {
				f := statetest.New(t)
				f.AddWorker("w1", 4)
				f.AcceptJob("j", "quick", "a", "b")
				f.StartTask("j/a@w1")
				if lostBefore {
					f.Advance(5 * time.Second)
				}
				for i, patch := range row.patches {
					f.MustApply(patchConfig(uint64(i+1), patch))
				}
				if class := f.Store.Class("tickets", "quick"); !class.Quick || class.Share != 50 || class.Priority != 100 {
					t.Errorf("class of the job: %+v", class)
				}
				f.Advance(10 * time.Second)
				f.Advance(10 * time.Second)
				if task := f.Task("j/a"); task.State != state.Ready || task.Lease.Held() {
					t.Errorf("task of the lost worker: %+v, want ready without a lease", task)
				}
			})
		}
	}
}

// TestRemovedClassForgottenAfterItsJobs checks that a removed class is kept only while jobs of it
// are active, and accepts no new jobs.
func TestRemovedClassForgottenAfterItsJobs(t *testing.T) {
	f := statetest.New(t)
	f.AddWorker("w1", 4)
	f.AcceptJob("j", "quick", "a")
	f.MustApply(patchConfig(1, classRemovals[1].patches[0]))
	if code := f.AcceptJob("k", "quick", "a").Code; code != status.UnknownClass {
		t.Errorf("a new job of the removed class: %v, want %v", code, status.UnknownClass)
	}
	f.FinishTask("j/a@w1")
	f.MustApply(patchConfig(2, `{"limits":{"keep":"1h"}}`))
	if class := f.Store.Class("tickets", "quick"); class.Quick {
		t.Errorf("the removed class is still known: %+v", class)
	}
}

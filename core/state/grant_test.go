package state_test

import (
	"testing"
	"time"

	"sorrelloom/core/state"
	"sorrelloom/core/statetest"
	"sorrelloom/core/status"
)

// withStaleEpoch, as the first element of a row's assignments, stands for a grant of task a of
// job j under the first epoch.
const withStaleEpoch = "stale"

// grant returns a step that grants tasks.
func grant(assignments ...string) step { return func(f *statetest.Fixture) { f.Grant(assignments...) } }

// apply returns a step that applies commands.
func apply(commands ...state.Command) step {
	return func(f *statetest.Fixture) {
		for _, cmd := range commands {
			f.MustApply(cmd)
		}
	}
}

// leave sends a heartbeat by which worker w1 announces that it leaves.
func leave(f *statetest.Fixture) { f.Heartbeat("w1", func(hb *state.Heartbeat) { hb.Leaving = true }) }

// grantRejections has a row for each condition of a grant, with the code that it is rejected
// with, and rows for grants that satisfy all conditions.
var grantRejections = []struct {
	name        string
	prepare     step
	assignments []string
	want        status.Code
}{
	{"ready task", nil, []string{"j/a@w1"}, status.OK},
	{"complete gang", nil, []string{"g/x@w1", "g/y@w2"}, status.OK},
	{"dependency not done", nil, []string{"j/b@w1"}, status.DependenciesUnmet},
	{"granted already", grant("j/a@w1"), []string{"j/a@w2"}, status.TaskNotPending},
	{"succeeded", func(f *statetest.Fixture) { f.FinishTask("j/a@w1") }, []string{"j/a@w1"}, status.TaskNotPending},
	{"cancelled", apply(cancelJob("j")), []string{"j/a@w1"}, status.JobCancelled},
	{"other service", nil, []string{"j/a@p1"}, status.WorkerMismatch},
	{"label missing", nil, []string{"l/a@w1"}, status.WorkerMismatch},
	{"label present", nil, []string{"l/a@w2"}, status.OK},
	{"too few resources", nil, []string{"big/a@w3"}, status.InsufficientResources},
	{"resources taken by an unstarted lease", grant("j/a@w3"), []string{"k/a@w3"}, status.InsufficientResources},
	{"leaving", leave, []string{"j/a@w1"}, status.Draining},
	{"drained", apply(drainWorker("w1", true)), []string{"j/a@w1"}, status.Draining},
	{"zone drained", apply(drainZone("a", true)), []string{"j/a@w1"}, status.ZoneDrained},
	{"zone refilled", apply(drainZone("a", true), drainZone("a", false)), []string{"j/a@w1"}, status.OK},
	{"worker silent", advance(31 * time.Second), []string{"j/a@w1"}, status.WorkerUnresponsive},
	{"leadership transferred", func(f *statetest.Fixture) {
		f.MustApply(schedulerHeartbeat(state.SchedulerHeartbeat{Scheduler: "s2", Zone: "a"}))
		f.MustApply(schedulerHeartbeat(state.SchedulerHeartbeat{
			Scheduler: "s1", Leadership: "dispatch/a", Epoch: 1, Transfer: true, Candidate: "s2",
		}))
	}, []string{withStaleEpoch, "j/a@w1"}, status.StaleEpoch},
	{"incomplete gang", nil, []string{"g/x@w1"}, status.GangIncomplete},
	{"two jobs in one grant", nil, []string{"j/a@w1", "k/a@w1"}, status.GangIncomplete},
	{"over its share while other classes wait", nil, []string{"small/a@w1"}, status.QuotaExceeded},
	{"over its share while no other class waits", func(f *statetest.Fixture) {
		for _, id := range []string{"j", "k", "l", "big", "g"} {
			f.Apply(cancelJob(id))
		}
	}, []string{"small/a@w1"}, status.OK},
	{"unknown job", nil, []string{"nobody/a@w1"}, status.UnknownJob},
	{"unknown worker", nil, []string{"j/a@nobody"}, status.UnknownName},
}

// TestGrantRejections checks the result of a grant for each row of grantRejections.
func TestGrantRejections(t *testing.T) {
	for _, row := range grantRejections {
		t.Run(row.name, func(t *testing.T) {
			f := statetest.New(t)
			f.AddWorker("w1", 4)
			f.AddWorker("w2+ssd", 4)
			f.AddWorker("w3", 1)
			f.AddWorker("podcasts/p1", 4)
			f.AcceptJob("j", "quick", "a", "b<a")
			f.AcceptJob("k", "quick", "a")
			f.AcceptJob("l", "quick", "a+ssd")
			f.AcceptJob("big", "quick", "a:2")
			f.AcceptJob("g", "batch", "x[g]", "y[g]")
			f.AcceptJob("small", "small", "a")
			if row.prepare != nil {
				row.prepare(f)
			}
			var got status.Code
			if row.assignments[0] == withStaleEpoch {
				got = f.Apply(grantLeases(state.Grant{
					Leadership: statetest.Leadership, Epoch: 1,
					Assignments: []state.Assignment{{Job: "j", Task: "a", Worker: "w1"}},
				})).Code
			} else {
				got = f.Grant(row.assignments...)
			}
			if got != row.want {
				t.Errorf("got %v, want %v", got, row.want)
			}
			checkReload(t, f.Store)
		})
	}
}

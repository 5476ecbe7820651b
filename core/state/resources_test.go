package state_test

import (
	"testing"

	"sorrelloom/core/config"
	"sorrelloom/core/state"
	"sorrelloom/core/status"
)

// TestFreeResourcesWithReportedTotal has a worker report its total resources as free in every
// heartbeat. Its leases, and attempts that it runs without a lease and is told to stop, must
// still be subtracted.
func TestFreeResourcesWithReportedTotal(t *testing.T) {
	store := state.New()
	index := uint64(0)
	do := func(cmd state.Command) state.Result {
		index++
		cmd.LogPosition = state.LogPosition{Epoch: 1, Index: index}
		return store.Apply(cmd)
	}
	body := `{"services":{"s":{"anyLabel":true,"classes":{"c":{"priority":1,"share":100,"silence":"restart"}}}},
		"policies":{"borrow":"true"},"limits":{"endsAtCutoff":true}}`
	if a := do(changeConfig(state.ConfigChange{Body: []byte(body)})); !a.Code.IsSuccess() {
		t.Fatal(a)
	}
	leader := state.SchedulerHeartbeat{Scheduler: "x"}
	do(state.Command{Kind: state.KindTakeLeadership, Name: "d", SchedulerHeartbeat: leader})
	step := state.StepSpec{Count: 3, Resources: state.Resources{Slots: 40}}
	spec := state.JobSpec{ID: "j", Service: "s", Class: "c", Steps: []state.StepSpec{step}}
	if a := do(acceptJob(spec)); !a.Code.IsSuccess() {
		t.Fatal(a)
	}
	number := uint64(0)
	report := func(running ...state.Attempt) {
		number++
		total := config.Resources{Slots: 100}
		do(heartbeat(state.Heartbeat{
			Worker: "w", Incarnation: 1, Number: number, Service: "s", Zone: "a",
			Free: total, Total: total, Running: running,
		}))
	}
	grant := func(task string) status.Code {
		return do(grantLeases(state.Grant{
			Leadership: "d", Epoch: 1, Assignments: []state.Assignment{{Job: "j", Task: task, Worker: "w"}},
		})).Code
	}
	attempt := func(task string, number int) state.Attempt {
		return state.Attempt{Job: "j", Task: task, Number: number}
	}
	report()
	for _, task := range []string{"0.0.0", "0.0.1"} {
		if c := grant(task); c != status.OK {
			t.Fatal(task, c)
		}
	}
	report(attempt("0.0.0", 1), attempt("0.0.1", 1))
	if c := grant("0.0.2"); c != status.InsufficientResources {
		t.Errorf("a grant of 40 slots while 80 of 100 are leased: %v", c)
	}
	// The first attempt ends, and the worker runs one without a lease in addition to the
	// second.
	do(cancelJob("none"))
	report(attempt("0.0.1", 1), attempt("0.0.2", 9))
	if free := store.FreeResources("w"); free.Slots != 20 {
		t.Errorf("with an unleased attempt of 40 slots and a lease of 40, %d of 100 are free", free.Slots)
	}
}

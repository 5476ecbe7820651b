package state_test

import (
	"testing"

	"sorrelloom/core/state"
	"sorrelloom/core/statetest"
	"sorrelloom/core/status"
)

// jobOf returns a job with one task for a service.
func jobOf(service string, task state.TaskSpec) state.JobSpec {
	return state.JobSpec{ID: "c", Service: service, Class: "quick", Tasks: []state.TaskSpec{task}}
}

// TestValidateJob submits a valid job and, for each rule, a job that breaks it.
func TestValidateJob(t *testing.T) {
	table := []struct {
		name string
		spec state.JobSpec
		want status.Code
	}{
		{"valid", statetest.JobSpec("ok", "quick", "a", "b<a", "c<a,b"), status.OK},
		{"cycle", statetest.JobSpec("c", "quick", "a<b", "b<a"), status.InvalidJob},
		{"dependency on itself", statetest.JobSpec("c", "quick", "a<a"), status.InvalidJob},
		{"cycle through a gang", statetest.JobSpec("c", "quick", "a[g]", "b[g]<c", "c<a"), status.InvalidJob},
		{"missing dependency", statetest.JobSpec("c", "quick", "a<z"), status.InvalidJob},
		{"duplicate task ID", statetest.JobSpec("c", "quick", "a", "a"), status.InvalidJob},
		{"no tasks", statetest.JobSpec("c", "quick"), status.InvalidJob},
		{"dependency within a gang", statetest.JobSpec("c", "quick", "a[g]", "b[g]<a"), status.InvalidJob},
		{"malformed ID", statetest.JobSpec("/", "quick", "a"), status.InvalidJob},
		{"unknown class", statetest.JobSpec("c", "none", "a"), status.UnknownClass},
		{"unknown service", jobOf("none", state.TaskSpec{ID: "a"}), status.UnknownClass},
		{"larger than the largest worker", statetest.JobSpec("c", "quick", "a:9"), status.Unsatisfiable},
		{"unknown label", statetest.JobSpec("c", "quick", "a+moon"), status.Unsatisfiable},
		{
			"negative resources", jobOf("tickets", state.TaskSpec{ID: "a", Resources: state.Resources{Slots: 1, Cores: -1}}),
			status.InvalidJob,
		},
		{"queue full", statetest.JobSpec("c", "small", "a", "b", "c", "d"), status.QueueFull},
	}
	for _, row := range table {
		t.Run(row.name, func(t *testing.T) {
			f := statetest.New(t)
			a := f.Apply(acceptJob(row.spec))
			if a.Code != row.want {
				t.Errorf("got %v %s, want %v", a.Code, a.Reason, row.want)
			}
			if a.Code == status.QueueFull && a.RetryAfter <= 0 {
				t.Error("the rejection for a full queue has no retry delay")
			}
		})
	}
}

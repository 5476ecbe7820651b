package state_test

import (
	"fmt"
	"testing"

	"sorrelloom/core/state"
	"sorrelloom/core/statetest"
)

// TestAcceptedStepAllocationsPerTask bounds the allocations per task when a job with a wide
// step is accepted: the task's record, its ID and its share of the slices of the job.
func TestAcceptedStepAllocationsPerTask(t *testing.T) {
	const few, many, maxPerTask = 10, 510, 4.1
	allocations := func(count int) float64 {
		f, number := statetest.New(t), 0
		return testing.AllocsPerRun(5, func() {
			number++
			spec := state.JobSpec{
				ID: fmt.Sprint("j", number), Service: "tickets", Class: "batch",
				Steps: []state.StepSpec{{Count: count, Resources: resources(1)}},
			}
			if result := f.Store.Apply(acceptJob(spec)); !result.Code.IsSuccess() {
				t.Fatal(result.Reason)
			}
		})
	}
	if perTask := (allocations(many) - allocations(few)) / (many - few); perTask > maxPerTask {
		t.Errorf("each task allocates %v objects", perTask)
	}
}

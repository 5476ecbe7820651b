package dispatch

import (
	"time"

	"sorrelloom/core/state"
)

// A task that prefers a rack is queued there, however busy the rack is, as long as it fits a
// worker there that is not deprioritized; within the rack, the first worker with enough free
// resources takes the task. A worker elsewhere may steal the task only once it has waited for
// as long as its run is expected to take longer elsewhere. However the rack's load develops,
// waiting thus costs at most twice what the better of the two choices would have cost.

// isNearData reports whether a worker is in the rack that holds a task's data, or the task has
// none.
func isNearData(job *state.Job, i int, worker *state.Worker) bool {
	rack := job.Spec.Tasks[i].PreferredRack
	return rack == "" || rack == worker.Rack
}

// waitsForRack reports whether a task still waits for the rack of its data, so that a worker
// elsewhere may not take it.
func (d *Dispatcher) waitsForRack(store *state.Store, job *state.Job, task queuedTask, worker *state.Worker) bool {
	i := task.ref.Index
	if task.anyRack || d.options.WithoutRackWait || isNearData(job, i, worker) {
		return false
	}
	return store.Now()-job.Tasks[i].ReadyAt < d.rackWait(job, i)
}

func (d *Dispatcher) rackWait(job *state.Job, i int) time.Duration {
	class := state.ClassKey{Service: job.Spec.Service, Class: job.Spec.Class}
	return d.runTimes.rackWait(class, job.Spec.Tasks[i].ExpectedRunTime.Duration)
}

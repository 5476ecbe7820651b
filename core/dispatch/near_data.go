package dispatch

import (
	"time"

	"sorrelloom/core/state"
)

// A task that wants a rack is queued there as long as a sound worker there fits, however busy
// the rack is: within it, whoever has room first takes the task. A worker elsewhere may steal
// it only once it has waited for as long as running elsewhere takes more. The wait then never
// costs more than twice what the better of the two would have, whatever the rack does.

// isNearData reports whether a worker is in the rack that holds a task's data.
func isNearData(job *state.Job, i int, worker *state.Worker) bool {
	rack := job.Spec.Tasks[i].PreferredRack
	return rack == "" || rack == worker.Rack
}

// waitsForRack reports whether a task is still kept for the rack of its data, from a worker
// elsewhere.
func (d *Dispatcher) waitsForRack(store *state.Store, job *state.Job, task queuedTask, worker *state.Worker) bool {
	i := task.ref.Index
	if task.anyRack || d.options.WithoutNearPatience || isNearData(job, i, worker) {
		return false
	}
	return store.Now()-job.Tasks[i].ReadyAt < d.nearPatience(job, i)
}

func (d *Dispatcher) nearPatience(job *state.Job, i int) time.Duration {
	class := state.ClassKey{Service: job.Spec.Service, Class: job.Spec.Class}
	return d.runTimes.nearPatience(class, job.Spec.Tasks[i].ExpectedRunTime.Duration)
}

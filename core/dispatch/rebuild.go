package dispatch

import (
	"maps"
	"slices"

	"sorrelloom/core/state"
)

// The dispatcher's records of tasks are rebuilt when leadership is gained and after a change
// that concerns everything. The rebuild runs in batches, so that no step takes long; the caller
// decides when the next batch runs. Changes that arrive meanwhile are applied at once.

const (
	// maxRebuildBatch is the maximum number of tasks in a batch, and unplacedBatch the maximum
	// number of unplaced tasks that are added at once to the queue of a worker that can run
	// them.
	maxRebuildBatch = 8192
	unplacedBatch   = 8192
	// rebuildComparisons is the number of pairs of a task and a worker that a batch may
	// compare: to choose a queue for a task, all workers are examined.
	rebuildComparisons = 1 << 16
)

// rebuildBatch returns the maximum number of tasks in a batch.
func rebuildBatch(store *state.Store) int {
	return min(maxRebuildBatch, rebuildComparisons/max(1, len(store.WorkerEntries())))
}

// rebuildProgress is the remainder of a rebuild: the jobs, and the next task of the first of
// them.
type rebuildProgress struct {
	jobs     []string
	nextTask int
}

// Rebuilding reports whether tasks are left for another batch.
func (d *Dispatcher) Rebuilding() bool { return len(d.rebuild.jobs)+len(d.redistributing) > 0 }

// beginRebuild discards all tasks and schedules them to be queued again: jobs of quick classes
// first, then the oldest.
func (d *Dispatcher) beginRebuild(store *state.Store) {
	d.reset()
	d.health.unobservedUntil[""] = store.Now()
	for _, entry := range store.WorkerEntries() {
		worker := entry.Record()
		d.trust.observeWorker(store, worker.ID())
	}
	var quick, others []string
	for _, job := range store.ActiveJobs() {
		if isQuick(store, job.Spec.Service, job.Spec.Class) {
			quick = append(quick, job.Spec.ID)
		} else {
			others = append(others, job.Spec.ID)
		}
	}
	d.rebuild.jobs = slices.Concat(quick, others)
}

// ContinueRebuild processes the next batch.
func (d *Dispatcher) ContinueRebuild(store *state.Store) {
	left := rebuildBatch(store)
	for _, worker := range slices.Sorted(maps.Keys(d.redistributing)) {
		if left > 0 {
			left = d.updateWorker(store, worker, left)
		}
	}
	for left > 0 && len(d.rebuild.jobs) > 0 {
		left -= d.rebuildTasks(store, left)
	}
}

// rebuildTasks processes up to limit tasks of the first job, and returns how much of the limit
// that uses up.
func (d *Dispatcher) rebuildTasks(store *state.Store, limit int) int {
	id, first := d.rebuild.jobs[0], d.rebuild.nextTask
	job, _ := store.Job(id)
	end := min(len(job.Tasks), first+limit)
	for i := first; i < end; i++ {
		d.updateTask(store, TaskRef{id, i})
	}
	if d.rebuild.nextTask = end; end == len(job.Tasks) {
		d.rebuild.jobs, d.rebuild.nextTask = d.rebuild.jobs[1:], 0
	}
	return max(1, end-first)
}

package dispatch

import (
	"maps"
	"slices"

	"sorrelloom/core/state"
)

// All that the dispatcher knows of tasks is rebuilt when leadership is gained and
// when a change concerns everything. That is done in batches, so that no step takes long;
// the caller says when the next one may come. What changes meanwhile is taken at once.

const (
	// maxRebuildBatch is how many tasks one batch takes at most, and unplacedBatch how
	// many unplaced tasks are put at once into the queue of a worker that can run them.
	maxRebuildBatch = 8192
	unplacedBatch   = 8192
	// rebuildComparisons is how many pairs of a task and a worker one batch compares: to
	// choose a queue for a task, all workers are looked at.
	rebuildComparisons = 1 << 16
)

// rebuildBatch is how many tasks one batch takes.
func rebuildBatch(store *state.Store) int {
	return min(maxRebuildBatch, rebuildComparisons/max(1, len(store.WorkerEntries())))
}

// rebuildProgress is what is left of a rebuild: the jobs, and the next task of the
// first of them.
type rebuildProgress struct {
	jobs     []string
	nextTask int
}

// Rebuilding reports whether tasks are left for the next batch.
func (d *Dispatcher) Rebuilding() bool { return len(d.rebuild.jobs)+len(d.redistributing) > 0 }

// beginRebuild forgets all tasks. Jobs of quick classes are the first to come back,
// then the oldest.
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

// ContinueRebuild takes the next batch.
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

// rebuildTasks takes up to limit tasks of the first job, and returns how much of the
// limit that counts for.
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

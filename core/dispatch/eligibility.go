package dispatch

import (
	"slices"
	"strings"

	"sorrelloom/core/state"
	"sorrelloom/core/status"
)

// eligibility holds all properties of a worker that decide which tasks it may ever run. While
// they stay the same, a task that could not be placed on the worker still can't.
type eligibility struct {
	service  string
	zone     string
	labels   string // joined by commas
	capacity state.Resources
	leaving  bool
	drained  bool
	alive    bool
}

func eligibilityOf(store *state.Store, worker *state.Worker) eligibility {
	return eligibility{
		service:  worker.Service,
		zone:     worker.Zone,
		labels:   strings.Join(worker.Labels, ","),
		capacity: worker.Capacity,
		leaving:  worker.Leaving,
		drained:  worker.Drained,
		alive:    store.Live(worker),
	}
}

// updateWorker moves the queued tasks that a worker can no longer run to other queues, at most
// limit of them, and tries the unplaced tasks on the worker. It returns what remains of the
// limit; remaining tasks are left for the next Update.
func (d *Dispatcher) updateWorker(store *state.Store, id string, limit int) int {
	left := d.requeueUnfit(store, id, limit)
	d.placeUnplaced(store, id)
	return left
}

// requeueUnfit chooses other queues for the tasks in a worker's queue that no longer fit it,
// and returns what remains of the limit.
func (d *Dispatcher) requeueUnfit(store *state.Store, id string, limit int) int {
	worker, known := store.Worker(id)
	delete(d.redistributing, id)
	for _, group := range slices.Clone(d.queues.of(id).groups) {
		head := group.head()
		if job, ok := store.Job(head.Job); known && ok && store.Fits(job, head.Index, worker) == status.OK {
			continue
		}
		for _, task := range slices.Backward(slices.Clone(group.tasks)) {
			if limit == 0 {
				d.redistributing[id] = true
				return 0
			}
			limit--
			d.dequeue(task.ref)
			if job, ok := store.Job(task.ref.Job); ok {
				d.chooseQueue(store, job, task.ref)
			}
		}
	}
	return limit
}

// placeUnplaced adds the unplaced tasks that a worker can run to its queue, if its eligibility
// has changed since they were last tried on it.
func (d *Dispatcher) placeUnplaced(store *state.Store, id string) {
	worker, known := store.Worker(id)
	var current eligibility
	if known {
		current = eligibilityOf(store, worker)
	}
	if d.triedEligibility[id] == current {
		return
	}
	d.triedEligibility[id] = current
	if len(d.unplaced) == 0 {
		return
	}
	left := unplacedBatch
	for _, ref := range sortedByNumber(store, d.unplaced) {
		job, ok := store.Job(ref.Job)
		if !ok || !canEverRun(store, job, ref.Index, worker) {
			continue
		}
		if left == 0 {
			delete(d.triedEligibility, id)
			d.redistributing[id] = true
			return
		}
		left--
		d.enqueue(store, job, ref, id, true)
	}
}

// canEverRun reports whether a worker could run a task if it ran nothing else.
func canEverRun(store *state.Store, job *state.Job, i int, worker *state.Worker) bool {
	return store.Fits(job, i, worker) == status.OK && worker.Capacity.Covers(job.Spec.Tasks[i].Resources)
}

// retrySilentWorkers forgets on which silent workers the unplaced tasks were tried, so that
// they are tried again once such a worker sends heartbeats again. No change of the state
// reports that a worker has become silent.
func (d *Dispatcher) retrySilentWorkers(store *state.Store) {
	for _, entry := range store.WorkerEntries() {
		worker := entry.Record()
		if !store.Live(worker) {
			delete(d.triedEligibility, worker.ID())
		}
	}
}

// RequeueFromLostWorkers schedules the tasks queued at unknown or silent workers to be moved to
// other queues in the next batches of a rebuild.
func (d *Dispatcher) RequeueFromLostWorkers(store *state.Store) {
	for _, queue := range d.queues.nonEmpty {
		id := queue.worker
		if worker, ok := store.Worker(id); id != "" && (!ok || !store.Live(worker)) {
			d.redistributing[id] = true
		}
	}
}

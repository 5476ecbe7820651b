package dispatch

import (
	"maps"
	"slices"
	"time"

	"sorrelloom/core/state"
)

// runningAttempt records the attempt of a lease in force, with the failures and losses of its
// task at the start.
type runningAttempt struct {
	worker    string
	grantedAt time.Duration
	startedAt time.Duration
	failures  int
	losses    int
}

// updateTask updates a task's queue position, location and lease from the state.
func (d *Dispatcher) updateTask(store *state.Store, ref TaskRef) {
	job, ok := store.Job(ref.Job)
	if !ok {
		return
	}
	task := job.Tasks[ref.Index]
	d.jobSizes[ref.Job] = len(job.Tasks)
	if attempt, ok := d.running[ref]; ok && (!task.Lease.Held() || task.Lease.Worker != attempt.worker) {
		d.endAttempt(store, job, ref, attempt)
	}
	switch {
	case task.State == state.Done:
		d.completeTask(ref, task)
	case task.Lease.Held():
		d.startAttempt(ref, task)
	case task.State == state.Ready:
		if !d.queues.contains(ref) && isGangHead(job, ref.Index) {
			d.Counters.Runnable++
			d.recordArrival(job)
			d.chooseQueue(store, job, ref)
		}
	default:
		d.dequeue(ref)
		d.locations.move(ref, location{})
	}
}

// startAttempt records that a lease is in force.
func (d *Dispatcher) startAttempt(ref TaskRef, task *state.Task) {
	worker := task.Lease.Worker
	if queue, queued := d.queues.workerOf(ref); queued && queue != "" && queue != worker {
		d.steals.begin(ref, queue)
	}
	d.dequeue(ref)
	d.locations.move(ref, location{worker, task.Level, taskRunning})
	d.running[ref] = runningAttempt{worker, task.Lease.GrantedAt, task.Lease.StartedAt, task.Failures, task.Losses}
}

// endAttempt records that a lease has ended.
func (d *Dispatcher) endAttempt(store *state.Store, job *state.Job, ref TaskRef, attempt runningAttempt) {
	d.trust.observeEnd(job, ref, attempt)
	typical := 0.0
	if d.health.fullyObserved(attempt) && !job.Spec.Tasks[ref.Index].LongRunning {
		typical = d.typicalSeconds(store, job, ref.Index, attempt.worker)
		d.observeRunTime(store, job, ref.Index, attempt)
	}
	d.health.observeEnd(store, job, ref.Index, attempt, typical)
	delete(d.running, ref)
	d.placement = lastPlacement{}
	if at := d.locations.byTask[ref]; at.worker == attempt.worker && at.role == outputHeld {
		// An earlier attempt of this worker has completed the task. completeTask, which is
		// called next, counts this attempt as another completion.
		d.locations.move(ref, location{})
	}
	d.steals.end(ref)
	d.changedWorkers[attempt.worker] = true
}

// observeRunTime adds the run time of an attempt that has succeeded to the statistics of its
// class.
func (d *Dispatcher) observeRunTime(store *state.Store, job *state.Job, i int, attempt runningAttempt) {
	task := job.Tasks[i]
	if task.State != state.Done || task.CompletedOn != attempt.worker {
		return
	}
	worker, known := store.Worker(attempt.worker)
	far := known && !isNearData(job, i, worker)
	class := state.ClassKey{Service: job.Spec.Service, Class: job.Spec.Class}
	d.runTimes.observe(class, (task.EndedAt - attempt.startedAt).Seconds(), far)
}

// completeTask records which worker holds a task's output.
func (d *Dispatcher) completeTask(ref TaskRef, task *state.Task) {
	worker := task.CompletedOn
	if at := d.locations.byTask[ref]; at.worker != worker || at.role != outputHeld {
		d.completed[worker]++
	}
	d.dequeue(ref)
	d.locations.move(ref, location{worker, task.Level, outputHeld})
}

func (d *Dispatcher) forgetJob(job string) {
	for i := range d.jobSizes[job] {
		ref := TaskRef{job, i}
		d.dequeue(ref)
		d.locations.move(ref, location{})
	}
	delete(d.jobSizes, job)
	maps.DeleteFunc(d.trust.failedStarts, func(ref TaskRef, _ time.Duration) bool { return ref.Job == job })
	d.inputs.forgetJob(job)
}

// enqueue adds a task to a worker's queue. anyRack is set if the task need not wait for the
// rack of its data (queuedTask.anyRack).
func (d *Dispatcher) enqueue(store *state.Store, job *state.Job, ref TaskRef, worker string, anyRack bool) {
	task := job.Tasks[ref.Index]
	d.changedWorkers[worker] = true
	d.placement = lastPlacement{}
	delete(d.unplaced, ref)
	d.locations.move(ref, location{worker, task.Level, taskQueued})
	d.queues.insert(queuedTask{ref, task.Number, anyRack}, worker, groupKeyOf(store, job, ref.Index))
}

func (d *Dispatcher) dequeue(ref TaskRef) {
	delete(d.unplaced, ref)
	delete(d.gangSearches, ref)
	if d.queues.remove(ref) {
		d.placement = lastPlacement{}
		d.locations.move(ref, location{})
	}
}

// isGangHead reports whether a task is queued by itself: a task without a gang, or the first
// member of a gang, which represents all members in the queue.
func isGangHead(job *state.Job, i int) bool {
	gang := job.Spec.Tasks[i].Gang
	if gang == "" {
		return true
	}
	if len(job.Spec.Steps) > 0 {
		return i == 0 || job.Spec.Tasks[i-1].Gang != gang
	}
	return slices.IndexFunc(job.Spec.Tasks, func(spec state.TaskSpec) bool { return spec.Gang == gang }) == i
}

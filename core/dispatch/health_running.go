package dispatch

import (
	"time"

	"sorrelloom/core/state"
)

// Ended runs show that a worker has become slow only after they have taken long, and until then
// the worker would be given more tasks. Overdue runs show it earlier.

const (
	// overdueInterval is the time between two checks of the running attempts.
	overdueInterval = 200 * time.Millisecond
	// overdueRatio is the multiple of its typical run time from which on a run is overdue.
	overdueRatio = 3
	// overdueJobs is the number of jobs that must have overdue runs on a worker for it to count
	// as slow, since the tasks of one job may all be long.
	overdueJobs = 2
)

// overdueRuns summarizes the overdue runs on one worker.
type overdueRuns struct {
	jobs map[string]bool
	// longest is the largest ratio of a run's duration to the typical one.
	longest float64
}

// observeRunning looks for workers with overdue runs, if a check is due, and raises the
// slowdown of these workers as if the runs ended now.
func (d *Dispatcher) observeRunning(store *state.Store) {
	now := store.Now()
	if d.options.WithoutOverdueRuns || now < d.health.overdueCheckedAt+overdueInterval {
		return
	}
	d.health.overdueCheckedAt = now
	d.health.recordSilent(store)
	overdue := map[string]overdueRuns{}
	shortest := overdueRatio * max(d.runTimes.shortestTypical(), minTypicalSeconds)
	for ref, attempt := range d.running {
		if (now - attempt.startedAt).Seconds() < shortest {
			continue
		}
		job, ok := store.Job(ref.Job)
		if !ok || !d.health.fullyObserved(attempt) || job.Spec.Tasks[ref.Index].LongRunning {
			continue
		}
		typical := d.typicalSeconds(store, job, ref.Index, attempt.worker)
		ratio := (now - attempt.startedAt).Seconds() / max(typical, minTypicalSeconds)
		if typical == 0 || ratio < overdueRatio {
			continue
		}
		found := overdue[attempt.worker]
		if found.jobs == nil {
			found.jobs = map[string]bool{}
		}
		found.jobs[ref.Job], found.longest = true, max(found.longest, ratio)
		overdue[attempt.worker] = found
	}
	for id, found := range overdue {
		if len(found.jobs) >= overdueJobs {
			d.health.raiseSlowdown(id, min(found.longest, maxSlowdown))
		}
	}
}

// recordSilent records that the workers which are silent now can't be observed: how long their
// runs take is not known.
func (t *healthTracker) recordSilent(store *state.Store) {
	for _, entry := range store.WorkerEntries() {
		worker := entry.Record()
		if !store.Live(worker) {
			t.unobservedUntil[worker.ID()] = store.Now()
		}
	}
}

// fullyObserved reports whether the worker of an attempt was observable from the attempt's
// start on.
func (t *healthTracker) fullyObserved(attempt runningAttempt) bool {
	return attempt.startedAt > max(t.unobservedUntil[""], t.unobservedUntil[attempt.worker])
}

// typicalSeconds returns the typical duration of runs of a task's class on a worker, in
// seconds, which is longer away from the task's data; 0 is unknown.
func (d *Dispatcher) typicalSeconds(store *state.Store, job *state.Job, i int, workerID string) float64 {
	known := d.runTimes[state.ClassKey{Service: job.Spec.Service, Class: job.Spec.Class}]
	if worker, ok := store.Worker(workerID); ok && !isNearData(job, i, worker) && known.farRatio > 0 {
		return known.typical * known.farRatio
	}
	return known.typical
}

// raiseSlowdown raises the slowdown of a worker to at least the given value.
func (t *healthTracker) raiseSlowdown(id string, slowdown float64) {
	health := t.workers[id]
	before := health
	health.slowdown = max(health.slowdown, slowdown)
	t.update(id, before, health)
}

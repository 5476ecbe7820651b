package dispatch

import (
	"time"

	"sorrelloom/core/state"
)

// A worker that turns slow shows it by the ends of its runs only once these have taken long.
// Until then it would be given more. Runs that are overdue tell earlier.

const (
	// overdueInterval is the time between two looks at the running attempts.
	overdueInterval = 200 * time.Millisecond
	// overdueRatio is how many times its usual run time an overdue run has taken.
	overdueRatio = 3
	// overdueJobs is how many jobs must have overdue runs on a worker, since the tasks of
	// one job may all be long.
	overdueJobs = 2
)

// overdueRuns are what is overdue on one worker.
type overdueRuns struct {
	jobs map[string]bool
	// longest is the largest ratio of a run to the usual.
	longest float64
}

// observeRunning looks for workers with overdue runs, if a look is due, and takes these runs
// into their account as if they ended now.
func (d *Dispatcher) observeRunning(store *state.Store) {
	now := store.Now()
	if d.options.WithoutOverdueRuns || now < d.health.overdueAt+overdueInterval {
		return
	}
	d.health.overdueAt = now
	d.health.noteSilent(store)
	overdue := map[string]overdueRuns{}
	shortest := overdueRatio * max(d.runTimes.shortestTypical(), minTypicalSeconds)
	for ref, attempt := range d.running {
		if (now - attempt.startedAt).Seconds() < shortest {
			continue
		}
		job, ok := store.Job(ref.Job)
		if !ok || !d.health.observed(attempt) || job.Spec.Tasks[ref.Index].LongRunning {
			continue
		}
		usual := d.usualSeconds(store, job, ref.Index, attempt.worker)
		ratio := (now - attempt.startedAt).Seconds() / max(usual, minTypicalSeconds)
		if usual == 0 || ratio < overdueRatio {
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

// noteSilent takes note of the workers that are silent: how long their runs take is not seen.
func (t *healthTracker) noteSilent(store *state.Store) {
	for _, entry := range store.WorkerEntries() {
		worker := entry.Record()
		if !store.Live(worker) {
			t.unobservedUntil[worker.ID()] = store.Now()
		}
	}
}

// observed reports whether the whole of an attempt was seen.
func (t *healthTracker) observed(attempt runningAttempt) bool {
	return attempt.startedAt > max(t.unobservedUntil[""], t.unobservedUntil[attempt.worker])
}

// usualSeconds is how long runs of a task's class usually take on a worker: longer away from
// the task's data.
func (d *Dispatcher) usualSeconds(store *state.Store, job *state.Job, i int, workerID string) float64 {
	known := d.runTimes[state.ClassKey{Service: job.Spec.Service, Class: job.Spec.Class}]
	if worker, ok := store.Worker(workerID); ok && !isNearData(job, i, worker) && known.farRatio > 0 {
		return known.typical * known.farRatio
	}
	return known.typical
}

// raiseSlowdown notes that a worker is at least so slow.
func (t *healthTracker) raiseSlowdown(id string, slowdown float64) {
	health := t.workers[id]
	before := health
	health.slowdown = max(health.slowdown, slowdown)
	t.store(id, before, health)
}

package dispatch

import (
	"time"

	"sorrelloom/core/state"
)

// A quick task that is lost or fails is late, and a task that has used up its attempts has
// failed for good. Quick tasks and last attempts therefore wait for a trusted worker, for at
// most maxTrustWait.

const (
	// maxTrustWait is how long a task waits for a trusted worker.
	maxTrustWait = 500 * time.Millisecond
	// maxProbation bounds how long a worker that replaces a lost one must be up before it is
	// trusted.
	maxProbation = 3 * time.Second
)

// workerLifetime is what is known of a worker's process and of its predecessor at the same
// address.
type workerLifetime struct {
	address   string
	firstSeen time.Duration
	// probation is how long the worker must be up before it is trusted: as long as the lost
	// worker at its address had been, since a machine that goes down and up tends to do so
	// again.
	probation time.Duration
	// lastSucceededStartAt is the latest start of the runs that have succeeded.
	lastSucceededStartAt time.Duration
}

// lostLifetime records the last worker at an address that is gone.
type lostLifetime struct{ duration, endedAt time.Duration }

// trustTracker records the lifetimes of the workers, and where attempts have failed.
type trustTracker struct {
	lifetimes map[string]workerLifetime
	// probationUntil is when the last worker's probation ends.
	probationUntil time.Duration
	lost           map[string]lostLifetime // by address
	// failedStarts is when the last failed attempt of each task began.
	failedStarts      map[TaskRef]time.Duration
	probationMajority healthMajority
}

func newTrustTracker() trustTracker {
	return trustTracker{
		lifetimes: map[string]workerLifetime{}, lost: map[string]lostLifetime{}, failedStarts: map[TaskRef]time.Duration{},
	}
}

// observeWorker records that a worker has appeared or is gone.
func (t *trustTracker) observeWorker(store *state.Store, id string) {
	worker, known := store.Worker(id)
	lifetime, seen := t.lifetimes[id]
	switch {
	case !known && seen:
		delete(t.lifetimes, id)
		t.lost[lifetime.address] = lostLifetime{store.Now() - lifetime.firstSeen, store.Now()}
	case known && !seen && worker.Address != "":
		lifetime = workerLifetime{address: worker.Address, firstSeen: store.Now()}
		if before, ok := t.lost[worker.Address]; ok && store.Now()-before.endedAt < 2*maxProbation {
			lifetime.probation = min(before.duration, maxProbation)
			t.probationUntil = max(t.probationUntil, lifetime.firstSeen+lifetime.probation)
		}
		t.lifetimes[id] = lifetime
	}
}

// observeEnd records the end of an attempt.
func (t *trustTracker) observeEnd(job *state.Job, ref TaskRef, attempt runningAttempt) {
	task := job.Tasks[ref.Index]
	switch {
	case task.State == state.Done:
		delete(t.failedStarts, ref)
		if lifetime, known := t.lifetimes[attempt.worker]; known && task.CompletedOn == attempt.worker {
			lifetime.lastSucceededStartAt = max(lifetime.lastSucceededStartAt, attempt.startedAt)
			t.lifetimes[attempt.worker] = lifetime
		}
	case task.Failures > attempt.failures:
		t.failedStarts[ref] = attempt.startedAt
	}
}

// onProbation reports whether a worker is on probation, while at least half of its service's
// workers are not.
func (t *trustTracker) onProbation(store *state.Store, worker *state.Worker) bool {
	if !t.anyOnProbation(store) || !t.lifetimes[worker.ID()].inProbation(store.Now()) {
		return false
	}
	if store.Now() >= t.probationMajority.checkedAt+majorityTTL || t.probationMajority.checkedAt == 0 {
		t.probationMajority = healthMajority{store.Now(), t.mostPassedProbation(store, worker.Service)}
	}
	return t.probationMajority.healthy
}

// anyOnProbation reports whether any worker may be on probation. It is usually false, and then
// no worker is looked up.
func (t *trustTracker) anyOnProbation(store *state.Store) bool { return store.Now() < t.probationUntil }

func (l workerLifetime) inProbation(now time.Duration) bool { return now < l.firstSeen+l.probation }

func (t *trustTracker) mostPassedProbation(store *state.Store, service string) bool {
	passed, total := 0, 0
	for _, entry := range store.WorkerEntries() {
		worker := entry.Record()
		if worker.Service != service || !store.Live(worker) {
			continue
		}
		total++
		if !t.lifetimes[worker.ID()].inProbation(store.Now()) {
			passed++
		}
	}
	return 2*passed >= total
}

// waitsForTrustedWorker reports whether a quick task waits for another worker than the given
// one, which is deprioritized or on probation.
func (d *Dispatcher) waitsForTrustedWorker(store *state.Store, job *state.Job, ref TaskRef, worker *state.Worker) bool {
	if d.options.WithoutTrust || len(d.health.impaired) == 0 && !d.trust.anyOnProbation(store) {
		return false
	}
	if !isQuick(store, job.Spec.Service, job.Spec.Class) ||
		store.Now()-job.Tasks[ref.Index].ReadyAt > maxTrustWait {
		return false
	}
	return d.health.deprioritized(store, worker) || d.trust.onProbation(store, worker)
}

// waitsForProvenWorker reports whether a task whose next failure would be its last waits for
// another worker than the given one. It waits for a worker that has succeeded with a run begun
// after the failed attempt, so that it does not fail for the same reason again.
func (d *Dispatcher) waitsForProvenWorker(store *state.Store, job *state.Job, ref TaskRef, worker string) bool {
	task := job.Tasks[ref.Index]
	if d.options.WithoutTrust || task.Failures == 0 || task.Failures+1 < job.Spec.Tasks[ref.Index].MaxFailures ||
		store.Now()-task.ReadyAt > maxTrustWait {
		return false
	}
	return d.trust.lifetimes[worker].lastSucceededStartAt <= d.trust.failedStarts[ref]
}

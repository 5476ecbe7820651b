package dispatch

import (
	"time"

	"sorrelloom/core/state"
)

// A quick task that is lost or fails is late, and one that fails once too often is lost for
// good. Such tasks go to workers that are trusted. They wait for one only for a while.

const (
	// trustPatience is how long a task waits for a worker that is trusted.
	trustPatience = 500 * time.Millisecond
	// maxProbation bounds how long a worker must be up that follows one that was lost.
	maxProbation = 3 * time.Second
)

// workerLife is what is known of a worker's process and of the one before it.
type workerLife struct {
	address   string
	firstSeen time.Duration
	// probation is how long it must be up to be trusted: as long as the worker was that was
	// lost at its address, since a machine that goes down and up goes on doing so.
	probation time.Duration
	// provenAt is when the last run began of those that have succeeded.
	provenAt time.Duration
}

// lostLife is that of the worker that was last at an address, and is gone.
type lostLife struct{ lasted, endedAt time.Duration }

// trustTracker knows the lives of the workers, and where attempts have failed.
type trustTracker struct {
	lives map[string]workerLife
	// newUntil is when the last of the workers on probation has been up for long enough.
	newUntil time.Duration
	lost     map[string]lostLife // by address
	// failedStarts is when the last failed attempt of a task began.
	failedStarts map[TaskRef]time.Duration
	probation    healthMajority
}

func newTrustTracker() trustTracker {
	return trustTracker{
		lives: map[string]workerLife{}, lost: map[string]lostLife{}, failedStarts: map[TaskRef]time.Duration{},
	}
}

// observeWorker takes note of a worker that has come or is gone.
func (t *trustTracker) observeWorker(store *state.Store, id string) {
	worker, known := store.Worker(id)
	life, seen := t.lives[id]
	switch {
	case !known && seen:
		delete(t.lives, id)
		t.lost[life.address] = lostLife{store.Now() - life.firstSeen, store.Now()}
	case known && !seen && worker.Address != "":
		life = workerLife{address: worker.Address, firstSeen: store.Now()}
		if before, ok := t.lost[worker.Address]; ok && store.Now()-before.endedAt < 2*maxProbation {
			life.probation = min(before.lasted, maxProbation)
			t.newUntil = max(t.newUntil, life.firstSeen+life.probation)
		}
		t.lives[id] = life
	}
}

// observeEnd takes note of an attempt that has ended.
func (t *trustTracker) observeEnd(job *state.Job, ref TaskRef, attempt runningAttempt) {
	task := job.Tasks[ref.Index]
	switch {
	case task.State == state.Done:
		delete(t.failedStarts, ref)
		if life, known := t.lives[attempt.worker]; known && task.CompletedOn == attempt.worker {
			life.provenAt = max(life.provenAt, attempt.startedAt)
			t.lives[attempt.worker] = life
		}
	case task.Failures > attempt.failures:
		t.failedStarts[ref] = attempt.startedAt
	}
}

// onProbation reports whether a worker has not been up for long enough, and at least half of
// its service's workers have.
func (t *trustTracker) onProbation(store *state.Store, worker *state.Worker) bool {
	if !t.anyOnProbation(store) || !t.lives[worker.ID()].isNew(store.Now()) {
		return false
	}
	if store.Now() >= t.probation.checkedAt+majorityTTL || t.probation.checkedAt == 0 {
		t.probation = healthMajority{store.Now(), t.mostArePast(store, worker.Service)}
	}
	return t.probation.healthy
}

// anyOnProbation reports whether any worker may not have been up for long enough. It is mostly
// false, and then no worker is looked up.
func (t *trustTracker) anyOnProbation(store *state.Store) bool { return store.Now() < t.newUntil }

func (l workerLife) isNew(now time.Duration) bool { return now < l.firstSeen+l.probation }

func (t *trustTracker) mostArePast(store *state.Store, service string) bool {
	past, total := 0, 0
	for _, entry := range store.WorkerEntries() {
		worker := entry.Record()
		if worker.Service != service || !store.Live(worker) {
			continue
		}
		total++
		if !t.lives[worker.ID()].isNew(store.Now()) {
			past++
		}
	}
	return 2*past >= total
}

// waitsForTrust reports whether a quick task waits for a worker that is neither deprioritized
// nor on probation.
func (d *Dispatcher) waitsForTrust(store *state.Store, job *state.Job, ref TaskRef, worker *state.Worker) bool {
	if d.options.WithoutTrust || len(d.health.impaired) == 0 && !d.trust.anyOnProbation(store) {
		return false
	}
	if !isQuick(store, job.Spec.Service, job.Spec.Class) ||
		store.Now()-job.Tasks[ref.Index].ReadyAt > trustPatience {
		return false
	}
	return d.health.deprioritized(store, worker) || d.trust.onProbation(store, worker)
}

// waitsForProof reports whether a task that would fail for good with its next failure waits
// for another worker: one that has succeeded with what it began after the attempt that failed,
// so that it does not fail for the same reason.
func (d *Dispatcher) waitsForProof(store *state.Store, job *state.Job, ref TaskRef, worker string) bool {
	task := job.Tasks[ref.Index]
	if d.options.WithoutTrust || task.Failures == 0 || task.Failures+1 < job.Spec.Tasks[ref.Index].MaxFailures ||
		store.Now()-task.ReadyAt > trustPatience {
		return false
	}
	return d.trust.lives[worker].provenAt <= d.trust.failedStarts[ref]
}

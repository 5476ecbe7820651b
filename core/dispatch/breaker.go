package dispatch

import (
	"time"

	"sorrelloom/core/state"
)

// Work that only an unhealthy worker could take goes to it through a circuit breaker, so that a
// worker that keeps failing does not use up the attempts of all waiting tasks. After a failure
// the breaker is open for maxIdleHold. Then it is half open for one trial: the task that has
// failed least often. If the trial succeeds, the breaker closes and the other tasks follow; if
// it fails or has no result, the next trial comes after the same time again.
//
// Tasks that run until their job is cancelled have unlimited attempts, so they need no trial.
// Once no new work has arrived for the service for maxStreamingHold, a job of which no task has
// run for maxIdleHold does not wait for another job's trial.

// breakerState is the state of a worker's circuit breaker.
type breakerState int

const (
	// breakerClosed admits all work.
	breakerClosed breakerState = iota
	// breakerOpen admits no task with limited attempts.
	breakerOpen
	// breakerHalfOpen admits one task.
	breakerHalfOpen
)

// tripped reports whether a worker is unhealthy and, of its runs that have ended, those granted
// last have failed. A success of a run granted earlier says nothing about runs that start now.
func (h workerHealth) tripped() bool {
	return h.unhealthy() && h.lastFailedGrantAt > h.lastSucceededGrantAt
}

// breakerOf returns the state of a worker's circuit breaker. proposedSlots are the slots
// proposed for the worker and not yet in the state.
func (d *Dispatcher) breakerOf(store *state.Store, worker *state.Worker, proposedSlots int) breakerState {
	if !d.health.impaired[worker.ID()] {
		return breakerClosed
	}
	health := d.health.workers[worker.ID()]
	if !health.tripped() || !d.health.deprioritized(store, worker) {
		return breakerClosed
	}
	lastTrialAt := max(health.lastFailureAt, lastLimitedGrantAt(store, worker.ID()))
	if proposedSlots > 0 || store.Now() < lastTrialAt+maxIdleHold {
		return breakerOpen
	}
	return breakerHalfOpen
}

// lastLimitedGrantAt returns when the newest of a worker's present leases of tasks with limited
// attempts was granted, 0 if there is none.
func lastLimitedGrantAt(store *state.Store, worker string) (last time.Duration) {
	for _, leased := range store.LeasesOn(worker) {
		job, ok := store.Job(leased.Job)
		if ok && !job.Spec.Tasks[leased.Index].LongRunning {
			last = max(last, leased.Lease.GrantedAt)
		}
	}
	return last
}

// breakerAdmits reports whether the pulling worker's circuit breaker admits a task of a group.
func (d *Dispatcher) breakerAdmits(pull *pullRequest, key *groupKey, job *state.Job) bool {
	if pull.breaker == breakerOpen && key.longRunning {
		return pull.store.Now() >= d.health.workers[pull.id].lastFailureAt+maxIdleHold
	}
	return pull.breaker != breakerOpen || d.bypassesTrial(pull.store, job)
}

// bypassesTrial reports whether the tasks of a job may go to a worker although a trial is under
// way there: no more work arrives, and no task of the job has run for maxIdleHold.
func (d *Dispatcher) bypassesTrial(store *state.Store, job *state.Job) bool {
	return !d.hasArrivals(store, job.Spec.Service, maxStreamingHold) && idleFor(store, job) >= maxIdleHold
}

// breakerBlocksAll reports whether the circuit breaker of a throttled worker admits no queued
// task now.
func (d *Dispatcher) breakerBlocksAll(pull *pullRequest) bool {
	return pull.breaker == breakerOpen && d.queues.longRunningCount == 0 &&
		d.hasArrivals(pull.store, pull.worker.Service, maxStreamingHold)
}

// hasArrivals reports whether a job has arrived for a service within the given time before now.
func (d *Dispatcher) hasArrivals(store *state.Store, service string, within time.Duration) bool {
	return d.serviceArrivals.anyWithin(store.Now(), service, within)
}

// idleFor returns how long no task of a job has run although one is ready; 0 while a task runs.
func idleFor(store *state.Store, job *state.Job) time.Duration {
	since := job.AcceptedAt
	for _, task := range job.Tasks {
		if task.Lease.Held() {
			return 0
		}
		since = max(since, task.ReadyAt, task.EndedAt)
	}
	return store.Now() - since
}

// rankingFailures returns the failures by which a task is ranked: those of the task if the
// pulling worker's circuit breaker is not closed, so that each trial uses another task; 0
// otherwise.
func (p *pullRequest) rankingFailures(task *state.Task) int {
	if p.breaker == breakerClosed {
		return 0
	}
	return task.Failures
}

package dispatch

import (
	"time"

	"sorrelloom/core/state"
	"sorrelloom/core/status"
)

const (
	// preemptAfter is how long a task waits before a lease is preempted for it.
	preemptAfter = 20 * time.Millisecond
	// heartbeatFreshness is the age of the last heartbeat up to which a worker is
	// expected to pull.
	heartbeatFreshness = 1500 * time.Millisecond
)

// Preempt proposes leases on one of a zone's workers to be stopped for a queued task that is
// within its class's share, if the workers that fit have too few free resources for all tasks
// like it, even with those of the leases being stopped.
func (d *Dispatcher) Preempt(store *state.Store, zone string, inFlight InFlight) (Proposal, bool) {
	if d.options.WithoutPreemption {
		return Proposal{}, false
	}
	seen := map[groupKey]bool{}
	for _, entry := range store.WorkerEntries() {
		worker := entry.Record()
		if worker.Zone != zone {
			continue
		}
		for _, group := range d.queues.of(worker.ID()).groups {
			head := group.tasks[0]
			ref := head.ref
			job, ok := store.Job(ref.Job)
			if seen[group.key] || !ok || inFlight.Tasks[ref] || group.key.isGang() ||
				store.Now()-job.Tasks[ref.Index].ReadyAt < preemptAfter {
				continue
			}
			seen[group.key] = true
			if !d.tenantAllows(store, &inFlight, job.Tenant, group.key.resources) {
				continue
			}
			if !d.lacksResources(store, &group.key, job, head) {
				continue
			}
			if victims := d.preemptionVictims(store, job, head, zone); len(victims) > 0 {
				d.Counters.Preemptions += uint64(len(victims))
				beneficiary := state.Assignment{Job: ref.Job, Task: job.Spec.Tasks[ref.Index].ID}
				return Proposal{Assignments: victims, PreemptFor: beneficiary}, true
			}
		}
	}
	return Proposal{}, false
}

// lacksResources reports whether fewer tasks of a key can start soon than are both
// queued and within the share of their class.
func (d *Dispatcher) lacksResources(store *state.Store, key *groupKey, job *state.Job, head queuedTask) bool {
	usedSlots, shareSlots := store.ClassUse(job.Spec.Service, job.Spec.Class)
	wanted := min(d.queues.countAlike(*key), (shareSlots-usedSlots)/key.resources.Slots)
	return wanted > 0 && d.startableSoon(store, job, head) < wanted
}

// startableSoon counts how many tasks like this one fit into what the workers have
// free or are about to have. It leaves out workers whose heartbeat is late, those that may
// not pull, and for a task that is kept for the rack of its data those elsewhere.
func (d *Dispatcher) startableSoon(store *state.Store, job *state.Job, task queuedTask) int {
	i := task.ref.Index
	count, need := 0, job.Spec.Tasks[i].Resources
	for _, entry := range store.WorkerEntries() {
		worker := entry.Record()
		if store.Fits(job, i, worker) != status.OK || !d.mayPreemptOn(job, task, worker) {
			continue
		}
		if store.Now()-worker.LastSeenAt > heartbeatFreshness || !d.health.mayPull(store, worker, 0) {
			continue
		}
		free := store.FreeResources(worker.ID()).Add(store.StoppingResources(worker.ID()))
		for ; free.Covers(need); free = free.Sub(need) {
			count++
		}
	}
	return count
}

// mayPreemptOn reports whether room for a task may be made on a worker: a task that is kept
// for the rack of its data wants it there.
func (d *Dispatcher) mayPreemptOn(job *state.Job, task queuedTask, worker *state.Worker) bool {
	return d.options.WithoutRackPreemption || task.anyRack || isNearData(job, task.ref.Index, worker)
}

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

// Preempt proposes a borrowed lease of a zone's workers to be stopped: for queued
// tasks that are within their class's share, if the workers that fit have too few
// free resources for them, even with those of the leases being stopped.
func (d *Dispatcher) Preempt(store *state.Store, zone string, inFlight InFlight) (Proposal, bool) {
	seen := map[groupKey]bool{}
	for _, worker := range store.Workers() {
		if worker.Zone != zone {
			continue
		}
		groups := d.queues.groups[worker.ID()]
		for i := range groups {
			group := &groups[i]
			ref := group.head()
			job, ok := store.Job(ref.Job)
			if seen[group.key] || !ok || inFlight.Tasks[ref] || group.key.isGang() ||
				store.Now()-job.Tasks[ref.Index].ReadyAt < preemptAfter {
				continue
			}
			seen[group.key] = true
			if !d.lacksResources(store, &group.key, job, ref.Index) {
				continue
			}
			if victim, ok := preemptionVictim(store, job, ref.Index, zone); ok {
				d.Counters.Preemptions++
				beneficiary := state.Assignment{Job: ref.Job, Task: job.Spec.Tasks[ref.Index].ID}
				return Proposal{Assignments: []state.Assignment{victim}, PreemptFor: beneficiary}, true
			}
		}
	}
	return Proposal{}, false
}

// lacksResources reports whether fewer tasks of a key can start soon than are both
// queued and within the share of their class.
func (d *Dispatcher) lacksResources(store *state.Store, key *groupKey, job state.Job, i int) bool {
	usedSlots, shareSlots := store.ClassUse(job.Spec.Service, job.Spec.Class)
	wanted := min(d.queues.countAlike(*key), (shareSlots-usedSlots)/key.resources.Slots)
	return wanted > 0 && d.startableSoon(store, job, i) < wanted
}

// startableSoon counts how many tasks like this one fit into what the workers have
// free or are about to have. It leaves out workers whose heartbeat is late, and
// those that may not pull.
func (d *Dispatcher) startableSoon(store *state.Store, job state.Job, i int) int {
	count, need := 0, job.Spec.Tasks[i].Resources
	for _, worker := range store.Workers() {
		if store.Fits(job, i, worker) != status.OK {
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

// preemptionVictim chooses the lease to stop for a task: a borrowed one of another
// class or, for a quick task, any that is not quick, since quick work never waits
// for other work to end.
func preemptionVictim(store *state.Store, job state.Job, i int, zone string) (state.Assignment, bool) {
	victim, ok := newestLease(store, job, i, zone, func(lease state.Lease, other state.Job) bool {
		return lease.Borrowed && other.Spec.Class != job.Spec.Class
	})
	if !ok && isQuick(store, job.Spec.Service, job.Spec.Class) {
		return newestLease(store, job, i, zone, func(_ state.Lease, other state.Job) bool {
			return !isQuick(store, other.Spec.Service, other.Spec.Class)
		})
	}
	return victim, ok
}

// newestLease returns the lease granted last of those that may be stopped, on a
// worker where all of those together would make room for the task.
func newestLease(
	store *state.Store, job state.Job, i int, zone string, mayStop func(state.Lease, state.Job) bool,
) (state.Assignment, bool) {
	var newest state.Assignment
	var grantedAt time.Duration
	for _, worker := range store.Workers() {
		if worker.Zone != zone || store.Fits(job, i, worker) != status.OK {
			continue
		}
		free := store.FreeResources(worker.ID())
		leases := store.LeasesOn(worker.ID())
		for _, leased := range leases {
			if other, _ := store.Job(leased.Job); mayStop(leased.Lease, other) {
				free = free.Add(leased.Start.Resources)
			}
		}
		if !free.Covers(job.Spec.Tasks[i].Resources) {
			continue
		}
		for _, leased := range leases {
			other, _ := store.Job(leased.Job)
			if leased.Lease.StopReason == "" && leased.Lease.GrantedAt >= grantedAt && mayStop(leased.Lease, other) {
				grantedAt = leased.Lease.GrantedAt
				newest = state.Assignment{Job: leased.Job, Task: leased.Task, Worker: worker.ID()}
			}
		}
	}
	return newest, newest.Job != ""
}

package dispatch

import (
	"cmp"
	"slices"
	"time"

	"sorrelloom/core/state"
	"sorrelloom/core/status"
)

const (
	// checkpointedLoss is how much work a lease loses at most that saves its progress.
	checkpointedLoss = time.Second
	// longRunningLoss is what stopping a task counts for that runs until it is cancelled:
	// it loses no work, but does none until it runs again.
	longRunningLoss = 5 * time.Second
)

// victim is a lease that may be stopped.
type victim struct {
	assignment state.Assignment
	resources  state.Resources
	// cost is the work that is lost with it: slots times seconds.
	cost float64
}

// preemptionVictims chooses the leases to stop for a task, all on one worker: borrowed ones of
// another class or, for a quick task, any that are not quick, since quick work never waits
// for other work to end. It is the worker on which the least work is lost.
func (d *Dispatcher) preemptionVictims(
	store *state.Store, job *state.Job, task queuedTask, zone string,
) []state.Assignment {
	victims := d.cheapestVictims(store, job, task, zone, func(lease *state.Lease, other *state.Job) bool {
		return lease.Borrowed && other.Spec.Class != job.Spec.Class
	})
	if len(victims) == 0 && isQuick(store, job.Spec.Service, job.Spec.Class) {
		return d.cheapestVictims(store, job, task, zone, func(_ *state.Lease, other *state.Job) bool {
			return !isQuick(store, other.Spec.Service, other.Spec.Class)
		})
	}
	return victims
}

// cheapestVictims returns the leases whose end makes room for a task on the worker where that
// costs the least, of those that may be stopped; none if no worker has enough of them.
func (d *Dispatcher) cheapestVictims(
	store *state.Store, job *state.Job, task queuedTask, zone string, mayStop func(*state.Lease, *state.Job) bool,
) []state.Assignment {
	var best []state.Assignment
	bestCost := 0.0
	for _, entry := range store.WorkerEntries() {
		worker := entry.Record()
		if worker.Zone != zone || store.Fits(job, task.ref.Index, worker) != status.OK ||
			!d.mayPreemptOn(job, task, worker) {
			continue
		}
		victims := d.victimsOn(store, worker.ID(), mayStop)
		chosen, cost := chooseVictims(store, worker.ID(), job.Spec.Tasks[task.ref.Index].Resources, victims)
		if len(chosen) > 0 && (len(best) == 0 || cost < bestCost) {
			best, bestCost = chosen, cost
		}
	}
	return best
}

// victimsOn returns the leases on a worker that may be stopped, the cheapest for its slots first.
func (d *Dispatcher) victimsOn(
	store *state.Store, worker string, mayStop func(*state.Lease, *state.Job) bool,
) []victim {
	var victims []victim
	for _, leased := range store.LeasesOn(worker) {
		job, _ := store.Job(leased.Job)
		if leased.Lease.StopReason != "" || !mayStop(&leased.Lease, job) {
			continue
		}
		victims = append(victims, victim{
			assignment: state.Assignment{Job: leased.Job, Task: leased.Task, Worker: worker},
			resources:  leased.Start.Resources,
			cost:       d.victimCost(store, job, leased),
		})
	}
	slices.SortStableFunc(victims, func(a, b victim) int {
		return cmp.Compare(a.cost/float64(max(1, a.resources.Slots)), b.cost/float64(max(1, b.resources.Slots)))
	})
	return victims
}

// victimCost is the work that is lost if a lease is stopped, with the rest of its gang.
func (d *Dispatcher) victimCost(store *state.Store, job *state.Job, leased state.LeasedAttempt) float64 {
	lost := store.Now() - leased.Lease.GrantedAt
	if d.options.WithoutVictimCost {
		return lost.Seconds() * float64(leased.Start.Resources.Slots)
	}
	i := leased.Index
	spec := &job.Spec.Tasks[i]
	switch {
	case spec.LongRunning:
		lost = longRunningLoss
	case spec.Checkpointed:
		lost = min(lost, checkpointedLoss)
	}
	return lost.Seconds() * float64(max(spec.Resources.Slots, gangSlots(job, i)))
}

// chooseVictims takes the cheapest leases until a worker has room, and returns what they cost.
func chooseVictims(
	store *state.Store, worker string, need state.Resources, victims []victim,
) (chosen []state.Assignment, cost float64) {
	free := store.FreeResources(worker).Add(store.StoppingResources(worker))
	for _, candidate := range victims {
		if free.Covers(need) {
			break
		}
		free = free.Add(candidate.resources)
		cost += candidate.cost
		chosen = append(chosen, candidate.assignment)
	}
	if !free.Covers(need) {
		return nil, 0
	}
	return chosen, cost
}

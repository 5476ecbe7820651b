package dispatch

import (
	"time"

	"sorrelloom/core/state"
	"sorrelloom/core/status"
)

const (
	// checkpointedLoss is the maximum work per slot that is lost with a lease whose task saves
	// its progress.
	checkpointedLoss = time.Second
	// longRunningLoss is the cost per slot of stopping a task that runs until its job is
	// cancelled: no work is lost, but none is done until the task runs again.
	longRunningLoss = 5 * time.Second
	// roundingTolerance keeps a lower bound of costs below sums that are rounded differently.
	roundingTolerance = 1 - 1e-9
)

// victim is a lease that may be preempted.
type victim struct {
	job       *state.Job
	index     int
	resources state.Resources
	// cost is the work lost with the lease, in slot-seconds.
	cost float64
	// chosen is set if the lease is among those that free the resources for the task.
	chosen bool
}

// costPerSlot returns the cost of the lease per slot.
func (v *victim) costPerSlot() float64 { return v.cost / float64(max(1, v.resources.Slots)) }

// victimRule decides which leases may be preempted for a task of a class: borrowed ones of
// other classes or, with notQuick, any of a class that is not quick.
type victimRule struct {
	store    *state.Store
	class    string
	notQuick bool
}

// mayStop reports whether a lease of a class may be preempted.
func (r victimRule) mayStop(class state.ClassKey, lease *state.Lease) bool {
	if r.notQuick {
		return !isQuick(r.store, class.Service, class.Class)
	}
	return lease.Borrowed && class.Class != r.class
}

// stoppable returns the sum of the resources of the leases on a worker that may be preempted,
// and an upper bound of the times at which these were granted.
func (r victimRule) stoppable(worker *state.WorkerEntry) (sum state.Resources, lastGrantAt time.Duration) {
	for _, leases := range worker.PreemptibleLeases() {
		switch {
		case r.notQuick && !isQuick(r.store, leases.Class.Service, leases.Class.Class):
			sum = sum.Add(leases.All)
		case !r.notQuick && leases.Class.Class != r.class:
			sum = sum.Add(leases.Borrowed)
		default:
			continue
		}
		lastGrantAt = max(lastGrantAt, leases.LastGrantAt)
	}
	return sum, lastGrantAt
}

// victimSearch searches for the worker on which freeing the resources for a task costs the
// least.
type victimSearch struct {
	store *state.Store
	// victimCost returns the cost of stopping a lease.
	victimCost func(job *state.Job, i int) float64
	need       state.Resources
	rule       victimRule
	// candidates are the leases that may be preempted on the last worker evaluated; chosen are
	// those of them that free the resources for the task, in the order in which they were
	// chosen.
	candidates []victim
	chosen     []*victim

	best     []state.Assignment
	bestCost float64
}

// preemptionVictims chooses the leases to preempt for a task, all on the worker where the least
// work is lost: borrowed ones of other classes or, if there are none and the task is quick, any
// of classes that are not quick, since quick work never waits for other work to end.
func (d *Dispatcher) preemptionVictims(
	store *state.Store, job *state.Job, task queuedTask, zone string,
) []state.Assignment {
	rule := victimRule{store: store, class: job.Spec.Class}
	victims := d.cheapestVictims(store, job, task, zone, rule)
	if len(victims) == 0 && isQuick(store, job.Spec.Service, job.Spec.Class) {
		rule.notQuick = true
		return d.cheapestVictims(store, job, task, zone, rule)
	}
	return victims
}

// cheapestVictims returns the leases to preempt for a task, on the worker of the zone where
// that costs the least; none if no worker has enough leases that may be preempted.
func (d *Dispatcher) cheapestVictims(
	store *state.Store, job *state.Job, task queuedTask, zone string, rule victimRule,
) []state.Assignment {
	search := victimSearch{
		store: store, need: job.Spec.Tasks[task.ref.Index].Resources, rule: rule, candidates: d.victims,
		victimCost: func(job *state.Job, i int) float64 { return d.victimCost(store, job, i) },
	}
	for _, entry := range store.WorkerEntries() {
		worker := entry.Record()
		if worker.Zone == zone && d.mayPreemptOn(job, task, worker) &&
			store.Fits(job, task.ref.Index, worker) == status.OK {
			search.evaluate(entry)
		}
	}
	d.victims = search.candidates
	return search.best
}

// evaluate compares one worker with the best so far. The sums of its leases rule out most
// workers that can't free enough resources, or only at a higher cost.
func (s *victimSearch) evaluate(worker *state.WorkerEntry) {
	available := availableSoon(worker)
	if available.Covers(s.need) {
		return
	}
	stoppable, lastGrantAt := s.rule.stoppable(worker)
	if !available.Add(stoppable).Covers(s.need) ||
		len(s.best) > 0 && s.minCost(s.need.Slots-available.Slots, lastGrantAt) >= s.bestCost {
		return
	}
	s.collectCandidates(worker)
	cost := 0.0
	for !available.Covers(s.need) {
		next := s.cheapestCandidate()
		if next == nil {
			return
		}
		next.chosen = true
		s.chosen = append(s.chosen, next)
		available = available.Add(next.resources)
		cost += next.cost
		if len(s.best) > 0 && cost >= s.bestCost {
			return
		}
	}
	s.bestCost = cost
	s.saveChosen(worker.ID())
}

// minCost returns a lower bound of the cost of stopping leases that together have the given
// number of slots and were all granted at lastGrantAt or earlier.
func (s *victimSearch) minCost(slots int, lastGrantAt time.Duration) float64 {
	lost := min(s.store.Now()-lastGrantAt, checkpointedLoss, longRunningLoss)
	return lost.Seconds() * float64(max(0, slots)) * roundingTolerance
}

// collectCandidates lists the leases on a worker that may be preempted, by task number.
func (s *victimSearch) collectCandidates(worker *state.WorkerEntry) {
	s.candidates, s.chosen = s.candidates[:0], s.chosen[:0]
	for job, i := range s.store.LeasedTasks(worker) {
		lease := &job.Tasks[i].Lease
		class := state.ClassKey{Service: job.Spec.Service, Class: job.Spec.Class}
		if lease.StopReason != "" || !s.rule.mayStop(class, lease) {
			continue
		}
		s.candidates = append(s.candidates, victim{
			job: job, index: i, resources: job.Spec.Tasks[i].Resources, cost: s.victimCost(job, i),
		})
	}
}

// cheapestCandidate returns the candidate with the lowest cost per slot that is not chosen yet,
// the first one among equals; nil if all are chosen.
func (s *victimSearch) cheapestCandidate() *victim {
	var cheapest *victim
	for n := range s.candidates {
		candidate := &s.candidates[n]
		if !candidate.chosen && (cheapest == nil || candidate.costPerSlot() < cheapest.costPerSlot()) {
			cheapest = candidate
		}
	}
	return cheapest
}

// saveChosen stores the chosen candidates as the best so far.
func (s *victimSearch) saveChosen(worker string) {
	s.best = s.best[:0]
	for _, chosen := range s.chosen {
		task := chosen.job.Spec.Tasks[chosen.index].ID
		s.best = append(s.best, state.Assignment{Job: chosen.job.Spec.ID, Task: task, Worker: worker})
	}
}

// victimCost returns the work that is lost if a lease is stopped together with the rest of its
// gang, in slot-seconds.
func (d *Dispatcher) victimCost(store *state.Store, job *state.Job, i int) float64 {
	spec := &job.Spec.Tasks[i]
	lost := store.Now() - job.Tasks[i].Lease.GrantedAt
	if d.options.WithoutVictimCost {
		return lost.Seconds() * float64(spec.Resources.Slots)
	}
	switch {
	case spec.LongRunning:
		lost = longRunningLoss
	case spec.Checkpointed:
		lost = min(lost, checkpointedLoss)
	}
	return lost.Seconds() * float64(max(spec.Resources.Slots, gangSlots(job, i)))
}

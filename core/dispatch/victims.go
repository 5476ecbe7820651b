package dispatch

import (
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
	// roundingTolerance keeps a lower bound of costs below sums that round differently.
	roundingTolerance = 1 - 1e-9
)

// victim is a lease that may be stopped.
type victim struct {
	job       *state.Job
	index     int
	resources state.Resources
	// cost is the work that is lost with it: slots times seconds.
	cost float64
	// chosen says that it is among those that make room for the task.
	chosen bool
}

// costPerSlot is what a slot of the lease costs.
func (v *victim) costPerSlot() float64 { return v.cost / float64(max(1, v.resources.Slots)) }

// victimRule says which leases may be stopped for a task of a class: borrowed ones of
// another class or, with notQuick, any of a class that is not quick.
type victimRule struct {
	store    *state.Store
	class    string
	notQuick bool
}

// mayStop reports whether a lease of a class may be stopped.
func (r victimRule) mayStop(class state.ClassKey, lease *state.Lease) bool {
	if r.notQuick {
		return !isQuick(r.store, class.Service, class.Class)
	}
	return lease.Borrowed && class.Class != r.class
}

// stoppable returns the resources of the leases on a worker that may be stopped, and when the
// last of them was granted or later.
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

// victimSearch looks for the worker on which making room for a task costs the least.
type victimSearch struct {
	store *state.Store
	// victimCost says what stopping a lease costs.
	victimCost func(job *state.Job, i int) float64
	need       state.Resources
	rule       victimRule
	// candidates are the leases on the last worker looked at, chosen those of them that make
	// room for the task, in the order of the choice.
	candidates []victim
	chosen     []*victim

	best     []state.Assignment
	bestCost float64
}

// preemptionVictims chooses the leases to stop for a task, all on one worker: borrowed ones of
// another class or, for a quick task, any that are not quick, since quick work never waits
// for other work to end. It is the worker on which the least work is lost.
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

// cheapestVictims returns the leases whose end makes room for a task on the worker where that
// costs the least, of those that may be stopped; none if no worker has enough of them.
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
			search.lookAt(entry)
		}
	}
	d.victims = search.candidates
	return search.best
}

// lookAt compares one worker with the best so far. The sums of its leases rule out most
// workers that can't make room, or only for more.
func (s *victimSearch) lookAt(worker *state.WorkerEntry) {
	room := roomOn(worker)
	if room.Covers(s.need) {
		return
	}
	stoppable, lastGrantAt := s.rule.stoppable(worker)
	if !room.Add(stoppable).Covers(s.need) ||
		len(s.best) > 0 && s.leastCost(s.need.Slots-room.Slots, lastGrantAt) >= s.bestCost {
		return
	}
	s.collectCandidates(worker)
	cost := 0.0
	for !room.Covers(s.need) {
		next := s.cheapestCandidate()
		if next == nil {
			return
		}
		next.chosen = true
		s.chosen = append(s.chosen, next)
		room = room.Add(next.resources)
		cost += next.cost
		if len(s.best) > 0 && cost >= s.bestCost {
			return
		}
	}
	s.bestCost = cost
	s.keepChosen(worker.ID())
}

// leastCost returns what stopping leases costs at least that have so many slots together and
// were granted so early or earlier.
func (s *victimSearch) leastCost(slots int, lastGrantAt time.Duration) float64 {
	lost := min(s.store.Now()-lastGrantAt, checkpointedLoss, longRunningLoss)
	return lost.Seconds() * float64(max(0, slots)) * roundingTolerance
}

// collectCandidates lists the leases on a worker that may be stopped, by task number.
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

// cheapestCandidate returns the candidate that is not chosen yet and the cheapest for its
// slots, of equal ones the first; nil if all are chosen.
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

// keepChosen makes the chosen candidates the best so far.
func (s *victimSearch) keepChosen(worker string) {
	s.best = s.best[:0]
	for _, chosen := range s.chosen {
		task := chosen.job.Spec.Tasks[chosen.index].ID
		s.best = append(s.best, state.Assignment{Job: chosen.job.Spec.ID, Task: task, Worker: worker})
	}
}

// victimCost is the work that is lost if a lease is stopped, with the rest of its gang.
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

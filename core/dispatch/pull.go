package dispatch

import "sorrelloom/core/state"

// PullRound is one round of pulls by the workers that have free resources. The workers pull from
// their own queues alone or, with Steal, also from those of others; with QuickOnly they pull
// only tasks of quick classes, which go before all others (config.Class).
type PullRound struct {
	Steal     bool
	QuickOnly bool
}

// PullRounds is the order of the rounds: quick tasks come first, whichever queue they are in;
// among equals a worker's own queue comes before stealing.
var PullRounds = []PullRound{{QuickOnly: true}, {Steal: true, QuickOnly: true}, {}, {Steal: true}}

// InFlight holds what the caller has proposed and not yet seen in the state, and what was
// rejected recently.
type InFlight struct {
	Tasks     map[TaskRef]bool
	Resources map[string]state.Resources
	Slots     map[state.ClassKey]int
	// OverShare holds the classes that had recently used up their shares, and AtLimit the
	// tenants that had recently reached their limits.
	OverShare map[state.ClassKey]bool
	AtLimit   map[string]bool
	// ByTenant holds the proposed resources by tenant.
	ByTenant map[string]state.Resources
}

// Proposal is a grant of leases or a preemption, to be checked by the state machine.
type Proposal struct {
	Assignments []state.Assignment
	// Tasks holds the tasks of the assignments of a grant, in the same order.
	Tasks []TaskRef
	// StolenFrom is the worker in whose queue the task was, if that is not the pulling worker.
	StolenFrom string
	// PreemptFor is the task for which leases are preempted.
	PreemptFor state.Assignment
}

// pullRequest is one worker's pull in one round.
type pullRequest struct {
	// number is unique for each pull; with 0, nothing is cached for the pull.
	number   uint64
	store    *state.Store
	id       string
	worker   *state.Worker
	free     state.Resources
	inFlight InFlight
	round    PullRound
	// throttled is set if the worker's health forbids it normal pulls: it gets only tasks whose
	// holds have expired.
	throttled bool
	// breaker is the state of the worker's circuit breaker.
	breaker breakerState
	// skipped holds the gangs for which this pull found no resources.
	skipped map[TaskRef]bool
}

// Pull proposes the next task for a worker in one round, or a gang with all its members. It
// proposes nothing for a worker without a free slot. A worker whose health forbids it normal
// pulls gets only tasks whose holds have expired (holdsExpired), through its circuit breaker. A
// trial of an unhealthy worker is chosen among all tasks that it may take, quick or not.
func (d *Dispatcher) Pull(store *state.Store, worker string, inFlight InFlight, round PullRound) (Proposal, bool) {
	w, ok := store.Worker(worker)
	if !ok {
		return Proposal{}, false
	}
	proposed := inFlight.Resources[worker]
	free := store.FreeResources(worker).Sub(proposed)
	if free.Slots < 1 || !d.queues.currentFloor().mayFit(&free, round.QuickOnly) {
		return Proposal{}, false
	}
	throttled := !d.health.mayPull(store, w, proposed.Slots)
	if throttled && !d.mayHaveExpiredHolds(store, w.Service) {
		return Proposal{}, false
	}
	d.pullCount++
	pull := pullRequest{
		number: d.pullCount, store: store, id: worker, worker: w, free: free, inFlight: inFlight, round: round,
		throttled: throttled,
	}
	pull.breaker = d.breakerOf(store, w, proposed.Slots)
	if pull.breaker != breakerClosed && (round.QuickOnly || throttled && d.breakerBlocksAll(&pull)) {
		return Proposal{}, false
	}
	for {
		best := d.bestForPull(&pull)
		if !best.found {
			return Proposal{}, false
		}
		if proposal, ok := d.propose(&pull, &best); ok {
			d.countPull(&best, worker, len(proposal.Assignments))
			return proposal, true
		}
		pull.skip(best.ref)
	}
}

func (p *pullRequest) skip(ref TaskRef) {
	if p.skipped == nil {
		p.skipped = map[TaskRef]bool{}
	}
	p.skipped[ref] = true
}

func (d *Dispatcher) bestForPull(pull *pullRequest) bestCandidate {
	if d.options.SingleQueue {
		return d.bestInQueue(pull, d.queues.of(""), false)
	}
	best := d.bestInQueue(pull, d.queues.of(pull.id), false)
	if pull.round.Steal {
		return d.bestToSteal(pull, best)
	}
	return d.bestGang(pull, best)
}

// bestGang looks for a gang that precedes the best task of the worker's own queue. A gang is in
// one queue, but counts as being in every worker's own queue.
func (d *Dispatcher) bestGang(pull *pullRequest, best bestCandidate) bestCandidate {
	for _, queue := range d.queues.withGangs {
		if queue.worker == pull.id || d.allGangsBackOff(pull, queue) {
			continue
		}
		gang := d.bestInQueue(pull, queue, true)
		if gang.found && (!best.found || gang.precedes(&best.candidate)) {
			best = gang
			best.queue = pull.id
		}
	}
	return best
}

// propose converts the best task into assignments: for a gang, those of all members.
func (d *Dispatcher) propose(pull *pullRequest, best *bestCandidate) (Proposal, bool) {
	var proposal Proposal
	if best.queue != pull.id {
		proposal.StolenFrom = best.queue
	}
	if best.job.Spec.Tasks[best.ref.Index].Gang != "" {
		ok := d.proposeGang(pull, best, &proposal)
		return proposal, ok
	}
	proposal.assign(best.job, best.ref, pull.id)
	return proposal, true
}

func (p *Proposal) assign(job *state.Job, ref TaskRef, worker string) {
	task := job.Spec.Tasks[ref.Index].ID
	p.Tasks = append(p.Tasks, ref)
	p.Assignments = append(p.Assignments, state.Assignment{Job: ref.Job, Task: task, Worker: worker})
}

func (d *Dispatcher) countPull(best *bestCandidate, worker string, assignments int) {
	if best.queue == worker {
		d.Counters.OwnQueue++
	} else {
		d.Counters.Stolen++
	}
	if assignments > 1 {
		d.Counters.Gangs++
	}
	switch {
	case best.decidedByLevel:
		d.Counters.DecidedByLevel++
	case best.decidedByLocality:
		d.Counters.DecidedByLocality++
	case best.decidedByNumber:
		d.Counters.DecidedByNumber++
	}
}

package dispatch

import (
	"time"

	"sorrelloom/core/state"
	"sorrelloom/core/status"
)

const (
	// StealDelay is how long a task stays reserved for the worker in whose queue it is, if that
	// worker has the resources for it. After that others may steal it, since the worker's
	// scheduler may have failed.
	StealDelay = 300 * time.Millisecond

	// maxExaminedWithInputs bounds how many tasks of one group are compared by locality. Tasks
	// without inputs are already in order; the second of them is examined only to determine
	// which rule decided.
	maxExaminedWithInputs    = 64
	maxExaminedWithoutInputs = 2
)

// queueOwner is the worker to which a queue belongs, if it is not the pulling worker. It is
// looked up only when needed, since most queues hold nothing for the pulling worker.
type queueOwner struct {
	id string
	// competes is false in the pulling worker's own queue, and for gangs, which count as being
	// in every worker's own queue.
	competes bool
	known    bool
	worker   *state.Worker
	// free is what the owner could use for tasks of its own.
	free state.Resources
}

// couldRun reports whether the owner could run a task now.
func (o *queueOwner) couldRun(d *Dispatcher, pull *pullRequest, job *state.Job, i int) bool {
	if !o.competes {
		return false
	}
	if !o.known {
		o.known = true
		o.worker, _ = pull.store.Worker(o.id)
		proposed := pull.inFlight.Resources[o.id]
		if d.health.mayPull(pull.store, o.worker, proposed.Slots) {
			o.free = pull.store.FreeResources(o.id).Sub(proposed)
		}
	}
	return o.free.Covers(job.Spec.Tasks[i].Resources) && pull.store.Fits(job, i, o.worker) == status.OK
}

// bestInQueue returns the best task of one queue for the pulling worker.
func (d *Dispatcher) bestInQueue(pull *pullRequest, queue *workerQueue, gangsOnly bool) bestCandidate {
	var best bestCandidate
	if gangsOnly && !queue.currentSummary().mayFitGang(&pull.free) ||
		!queue.currentSummary().mayFit(&pull.free, pull.round.QuickOnly) {
		return best
	}
	owner := queueOwner{id: queue.worker, competes: queue.worker != pull.id && !gangsOnly}
	for _, group := range queue.groups {
		isGang := group.key.isGang()
		if gangsOnly && !isGang || pull.round.QuickOnly && !group.key.quick ||
			isGang && d.groupBackoffUntil(pull, group) > 0 ||
			pull.throttled && !group.key.longRunning && !d.atMostHalfUsed(pull.store, group.key.service) {
			continue
		}
		if admitted, ownerCouldRun := d.admit(pull, group, &owner); admitted {
			d.examineGroup(pull, queue.worker, group, ownerCouldRun, &best)
		}
	}
	return best
}

// admit reports whether the pulling worker may run the tasks of a group in this round, and
// whether the queue's owner could run them as well.
func (d *Dispatcher) admit(p *pullRequest, group *taskGroup, owner *queueOwner) (admitted, ownerCouldRun bool) {
	key, head := &group.key, group.head()
	if p.round.QuickOnly && !key.quick || !p.free.Covers(key.resources) || group.waiting.refusedBy(p) {
		return false, false
	}
	job, ok := p.store.Job(head.Job)
	if !ok || !d.admitsKey(p, key, job, head.Index) {
		group.waiting.refuse(p)
		return false, false
	}
	if d.heldForOtherWorker(p, group, job) {
		return false, false
	}
	return true, owner.couldRun(d, p, job, head.Index)
}

// admitsKey reports whether the pulling worker may run tasks with a key, given one of them. The
// answer is the same for all tasks with the key, whichever queue they are in.
func (d *Dispatcher) admitsKey(p *pullRequest, key *groupKey, job *state.Job, i int) bool {
	return p.store.Fits(job, i, p.worker) == status.OK &&
		d.tenantAllows(p.store, &p.inFlight, key.tenant, key.resources) &&
		p.shareAllows(key) &&
		!(key.spreadKey != "" && p.store.AtWorkerLimit(job, i, p.id, 0))
}

// heldForOtherWorker reports whether the tasks of a group wait for a better worker than the
// pulling one. It checks only the oldest task, so that a pull doesn't scan a long queue in
// vain.
func (d *Dispatcher) heldForOtherWorker(p *pullRequest, group *taskGroup, job *state.Job) bool {
	head := group.tasks[0]
	return d.waitsForRack(p.store, job, head, p.worker) || d.waitsForTrustedWorker(p.store, job, head.ref, p.worker)
}

// shareAllows reports whether the class of a group may use more slots.
func (p *pullRequest) shareAllows(key *groupKey) bool {
	if p.inFlight.OverShare[state.ClassKey{Service: key.service, Class: key.class}] {
		return false
	}
	if p.store.Policies().AlwaysAllowsBorrowing() {
		return true
	}
	slots := max(key.resources.Slots, key.gangSlots)
	allowed, _ := p.store.CheckShare(state.ClassKey{Service: key.service, Class: key.class}, slots, p.inFlight.Slots)
	return allowed
}

// examineGroup compares the first tasks of a group with the best candidate so far.
func (d *Dispatcher) examineGroup(
	pull *pullRequest, queue string, group *taskGroup, ownerCouldRun bool, best *bestCandidate,
) {
	limit := maxExaminedWithoutInputs
	if group.key.hasInputs || pull.breaker != breakerClosed {
		limit = maxExaminedWithInputs
	}
	isTrial := pull.throttled && pull.breaker == breakerHalfOpen
	for _, task := range group.tasks {
		held := !isTrial && d.heldForGang(pull, &group.key, task.number)
		if held && !group.key.longRunning {
			// The tasks after this one are younger and so held as well.
			return
		}
		job, ok := pull.store.Job(task.ref.Job)
		if !ok || pull.inFlight.Tasks[task.ref] || pull.skipped[task.ref] ||
			!d.mayTake(pull, &group.key, job, task, held) ||
			ownerCouldRun && pull.store.Now()-job.Tasks[task.ref.Index].ReadyAt < d.stealDelay() ||
			d.excluded(pull, &group.key, job, task) {
			continue
		}
		d.Counters.Examined++
		best.consider(&candidate{
			ref:      task.ref,
			job:      job,
			tier:     tierOf(pull.store, &group.key, job, task.ref.Index),
			level:    group.key.level,
			locality: d.LocalityScore(job, task.ref, pull.id),
			number:   task.number,
			failures: pull.rankingFailures(job.Tasks[task.ref.Index]),
		}, queue)
		if limit--; limit == 0 {
			return
		}
	}
}

// mayTake reports whether the pulling worker may take a task, given the worker's health and
// whether a gang holds the task back (held).
func (d *Dispatcher) mayTake(pull *pullRequest, key *groupKey, job *state.Job, task queuedTask, held bool) bool {
	if (held || pull.throttled) && !d.holdsExpired(pull.store, job, task.ref.Index) {
		return false
	}
	return !pull.throttled || d.breakerAdmits(pull, key, job)
}

func (d *Dispatcher) stealDelay() time.Duration {
	if d.options.WithoutStealDelay {
		return 0
	}
	return StealDelay
}

// excluded reports whether the pulling worker may not take one task of a group whose key it may
// run.
func (d *Dispatcher) excluded(pull *pullRequest, key *groupKey, job *state.Job, task queuedTask) bool {
	i := task.ref.Index
	if key.isGang() && pull.store.Now() < d.gangBackoffUntil(pull, key, task.ref) {
		return true
	}
	return d.waitsForRack(pull.store, job, task, pull.worker) ||
		d.waitsForProvenWorker(pull.store, job, task.ref, pull.id) ||
		d.failedOnWorker(pull.store, job, i, pull.worker) && !d.holdsExpired(pull.store, job, i)
}

// heldForGang reports whether an older gang holds back a task with the given key and number. If
// so, all younger tasks of its group are held back as well.
func (d *Dispatcher) heldForGang(pull *pullRequest, key *groupKey, number uint64) bool {
	if key.quick || d.options.WithoutReservation || d.releasedFromGangs(pull.store, key) {
		return false
	}
	return d.heldForTenantsGang(pull.store, key, number) || d.reservedForGang(pull, key, number)
}

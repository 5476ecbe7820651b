package dispatch

import (
	"slices"
	"time"

	"sorrelloom/core/state"
	"sorrelloom/core/status"
)

// WaitReason says why no worker has been given a ready task. If the state alone forbids it, it
// is the name of a state.Obstacle.
type WaitReason string

const (
	// ReasonRebuilding means that the queues are being rebuilt.
	ReasonRebuilding WaitReason = "queues-rebuilding"
	// ReasonGangRoom means that there are not enough free resources for all members of the
	// task's gang at the same time.
	ReasonGangRoom WaitReason = "gang-room"
	// ReasonHeldForGang means that the resources are reserved for an older gang.
	ReasonHeldForGang WaitReason = "held-for-gang"
	// ReasonHeldForTenantsGang means that an older gang waits for the limit of the same tenant.
	ReasonHeldForTenantsGang WaitReason = "held-for-tenants-gang"
	// ReasonWorkerImpaired means that the workers with enough free resources fail often or are
	// slow.
	ReasonWorkerImpaired WaitReason = "worker-impaired"
	// ReasonFailedThere means that the task has failed on the workers with enough free
	// resources.
	ReasonFailedThere WaitReason = "failed-there"
	// ReasonKeptForRack means that the task waits for the rack that holds its data.
	ReasonKeptForRack WaitReason = "kept-for-rack"
	// ReasonAtWorkerLimit means that the workers with enough free resources run as many tasks
	// of the step as they may.
	ReasonAtWorkerLimit WaitReason = "worker-limit"
	// ReasonNotQueued means that the task is in no queue, which is a fault of the dispatcher.
	ReasonNotQueued WaitReason = "not-queued"
	// ReasonNextScan means that no rule holds back the task: the next worker that pulls gets
	// it.
	ReasonNextScan WaitReason = "next-scan"
)

// Wait explains why no worker runs a ready task.
type Wait struct {
	Reason WaitReason
	// Holder names the cause: a job, a tenant or a worker. It is empty for the state's rules.
	Holder string
	// Since is when the cause began, as far as it is known, or else when the task became ready.
	Since time.Duration
	state.Obstruction
}

// ExplainWait returns why no worker runs a ready task now. It reads what the last pulls found
// and changes nothing.
func (d *Dispatcher) ExplainWait(store *state.Store, ref TaskRef) Wait {
	job, _ := store.Job(ref.Job)
	obstruction := store.Obstruction(job, ref.Index)
	wait := Wait{Since: obstruction.Since, Obstruction: obstruction}
	switch {
	case obstruction.Obstacle != state.NoObstacle:
		wait.Reason = WaitReason(obstruction.Obstacle)
	case d.Rebuilding():
		wait.Reason = ReasonRebuilding
	case job.Spec.Tasks[ref.Index].Gang != "":
		wait.Reason = ReasonGangRoom
	case !d.queues.contains(ref):
		wait.Reason = ReasonNotQueued
	default:
		d.explainHold(store, job, ref, &wait)
	}
	return wait
}

// explainHold finds the rule that holds back a queued task from the workers that have enough
// free resources for it. If nothing holds it back from one of them, the reason is
// ReasonNextScan.
func (d *Dispatcher) explainHold(store *state.Store, job *state.Job, ref TaskRef, wait *Wait) {
	spec := &job.Spec.Tasks[ref.Index]
	for _, entry := range store.WorkerEntries() {
		worker := entry.Record()
		if store.Fits(job, ref.Index, worker) != status.OK || !store.FreeResources(worker.ID()).Covers(spec.Resources) {
			continue
		}
		reason, holder, since := d.holdOnWorker(store, job, ref, worker)
		if wait.Reason == "" || reason == ReasonNextScan {
			wait.Reason, wait.Holder = reason, holder
			wait.Since = max(wait.Since, since)
		}
		if reason == ReasonNextScan {
			return
		}
	}
}

// holdOnWorker returns the rule that holds back a queued task from one worker, the holder, and
// since when.
func (d *Dispatcher) holdOnWorker(
	store *state.Store, job *state.Job, ref TaskRef, worker *state.Worker,
) (reason WaitReason, holder string, since time.Duration) {
	position := d.queues.positions[ref]
	key := &position.group.key
	if holder, since, held := d.tenantsGangHold(key, position.number); held {
		return ReasonHeldForTenantsGang, holder, since
	}
	if holder, since, held := d.gangHold(store, key, position.number, worker.ID()); held {
		return ReasonHeldForGang, holder, since
	}
	switch {
	case store.AtWorkerLimit(job, ref.Index, worker.ID(), 0):
		return ReasonAtWorkerLimit, worker.ID(), 0
	case slices.Contains(job.Tasks[ref.Index].FailedOn, worker.ID()):
		return ReasonFailedThere, worker.ID(), 0
	case d.health.impaired[worker.ID()]:
		return ReasonWorkerImpaired, worker.ID(), d.health.workers[worker.ID()].lastFailureAt
	case d.isKeptForRack(store, job, ref, worker):
		return ReasonKeptForRack, job.Spec.Tasks[ref.Index].PreferredRack, 0
	}
	return ReasonNextScan, "", 0
}

// tenantsGangHold returns the tenant whose gang holds back a task with the given key and
// number.
func (d *Dispatcher) tenantsGangHold(key *groupKey, number uint64) (tenant string, since time.Duration, held bool) {
	gang, waits := d.reservations.byTenant[key.tenant]
	if key.tenant == "" || !waits || !gang.holds || number <= gang.number || d.isReleased(key) {
		return "", 0, false
	}
	return key.tenant, gang.readyAt, true
}

// gangHold returns the job whose gang reserves the resources on a worker that a task with the
// given key and number needs.
func (d *Dispatcher) gangHold(
	store *state.Store, key *groupKey, number uint64, worker string,
) (job string, since time.Duration, held bool) {
	reserved, waits := d.reservations.byService[key.service]
	if !waits || !reserved.holds || number <= reserved.number || key.quick || d.isReleased(key) {
		return "", 0, false
	}
	kept, reservedHere := reserved.resources[worker]
	if !reservedHere || store.FreeResources(worker).Sub(key.resources).Covers(kept) {
		return "", 0, false
	}
	if window := d.serviceWindows[key.service]; window != nil {
		since = window.since
	}
	return reserved.job.Spec.ID, since, true
}

// isReleased reports whether the last refresh of the reservations released the work of a key
// from all gangs.
func (d *Dispatcher) isReleased(key *groupKey) bool {
	return d.reservations.released[heldWork{key.service, key.tenant}]
}

// isKeptForRack reports whether a queued task waits for the rack of its data.
func (d *Dispatcher) isKeptForRack(
	store *state.Store, job *state.Job, ref TaskRef, worker *state.Worker,
) bool {
	position := d.queues.positions[ref]
	i, found := searchNumber(position.group.tasks, position.number)
	return found && d.waitsForRack(store, job, position.group.tasks[i], worker)
}

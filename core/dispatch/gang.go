package dispatch

import (
	"slices"
	"time"

	"sorrelloom/core/state"
)

// gangRetryInterval is how long a gang for which no workers were found is left alone:
// it would find none for another worker's pull either.
const gangRetryInterval = 10 * time.Millisecond

// gangSlots returns the slots of all members of a task's gang that are not complete,
// or those of the task itself if it is in no gang.
func gangSlots(job *state.Job, i int) int {
	task := &job.Spec.Tasks[i]
	if task.Gang == "" {
		return task.Resources.Slots
	}
	if steps := job.Spec.Steps; len(steps) > 0 {
		return steps[task.Step].Count * task.Resources.Slots
	}
	slots := 0
	for j := range job.Spec.Tasks {
		if member := &job.Spec.Tasks[j]; member.Gang == task.Gang && job.Tasks[j].State != state.Done {
			slots += member.Resources.Slots
		}
	}
	return slots
}

// gangTriedRecently reports whether a gang, whose first member is the task, was looked workers
// for in vain a moment ago, or one was that needs no more than it does.
func (d *Dispatcher) gangTriedRecently(store *state.Store, key *groupKey, job *state.Job, ref TaskRef) bool {
	triedAt, tried := d.gangTriedAt[ref]
	if tried && store.Now() < triedAt+gangRetryInterval {
		return true
	}
	if len(job.Spec.Steps) == 0 {
		return false
	}
	need := gangNeed{service: key.service, labels: key.labels, each: key.resources}
	if need.members = job.Spec.Steps[job.Spec.Tasks[ref.Index].Step].Count; !d.gangMisses.covers(&need, store.Now()) {
		return false
	}
	// Members that have succeeded are not needed any more.
	need.members = len(d.openGangMembers(job, ref.Index))
	return d.gangMisses.covers(&need, store.Now())
}

// allTriedRecently reports whether a group has nothing but gangs that were looked workers for in
// vain a moment ago. It is asked first, as most gangs that wait are such.
func (d *Dispatcher) allTriedRecently(store *state.Store, group *taskGroup) bool {
	if !group.key.isGang() {
		return false
	}
	return !slices.ContainsFunc(group.tasks, func(task queuedTask) bool {
		triedAt, tried := d.gangTriedAt[task.ref]
		return !tried || store.Now() >= triedAt+gangRetryInterval
	})
}

// proposeGang assigns all members of a gang at once, or none.
func (d *Dispatcher) proposeGang(pull *pullRequest, best *bestCandidate, proposal *Proposal) bool {
	job := best.job
	d.gangTriedAt[best.ref] = pull.store.Now()
	members := d.openGangMembers(job, best.ref.Index)
	if !pull.allStartable(job, members) ||
		!d.tenantAllows(pull.store, &pull.inFlight, job.Tenant, memberResources(job, members)) {
		return false
	}
	search := &d.gangSearch
	search.begin(pull, job, members)
	for _, rack := range search.racksToTry() {
		if !search.place(rack) {
			continue
		}
		for n, i := range members {
			proposal.assign(job, TaskRef{best.ref.Job, i}, search.chosen[n])
		}
		delete(d.gangTriedAt, best.ref)
		return true
	}
	if need, lacks := search.lacking(); lacks {
		d.gangMisses.add(need, pull.store.Now())
	}
	return false
}

// openGangMembers returns the members of a gang that are not complete, in memory that the next
// call uses again. The task is its first member.
func (d *Dispatcher) openGangMembers(job *state.Job, first int) []int {
	members, gang := d.gangMembers[:0], job.Spec.Tasks[first].Gang
	uniform := len(job.Spec.Steps) > 0
	for i := first; i < len(job.Spec.Tasks); i++ {
		switch {
		case job.Spec.Tasks[i].Gang == gang:
			if job.Tasks[i].State != state.Done {
				members = append(members, i)
			}
		case uniform:
			// The members of a step follow each other.
			d.gangMembers = members
			return members
		}
	}
	d.gangMembers = members
	return members
}

// allStartable reports whether all of some tasks can start.
func (p *pullRequest) allStartable(job *state.Job, tasks []int) bool {
	for _, i := range tasks {
		task := job.Tasks[i]
		if task.State != state.Ready || task.Lease.Held() || p.inFlight.Tasks[TaskRef{job.Spec.ID, i}] {
			return false
		}
	}
	return true
}

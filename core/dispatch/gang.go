package dispatch

import (
	"time"

	"sorrelloom/core/state"
)

// gangRetryInterval is how long a gang for which no workers were found is not tried again: a
// search for another worker's pull would find none either.
const gangRetryInterval = 10 * time.Millisecond

// gangSlots returns the number of slots of a task's gang, or of the task itself if it is in no
// gang. In a job without steps it leaves out complete members.
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

// gangSearchResult is the result of the last search for workers for a gang.
type gangSearchResult struct {
	at time.Duration
	// mayFit is set if the free resources of all workers together may be enough for the gang.
	mayFit bool
}

// gangBackoffUntil returns the time until which the gang whose first member is the task is not
// tried; 0 if it may be tried now. A gang is not tried for gangRetryInterval after a search
// found no workers for it, or for another gang that needs no more than it does. A gang without
// a recent search is first compared with the free resources of all workers together.
func (d *Dispatcher) gangBackoffUntil(pull *pullRequest, key *groupKey, ref TaskRef) time.Duration {
	now := pull.store.Now()
	last, recent := d.gangSearches[ref]
	recent = recent && now < last.at+gangRetryInterval
	if recent && !last.mayFit {
		return last.at + gangRetryInterval
	}
	job, ok := pull.store.Job(ref.Job)
	if !ok {
		return 0
	}
	members := d.openGangMembers(job, ref.Index)
	if len(job.Spec.Steps) > 0 {
		need := gangNeed{service: key.service, labels: key.labels, perMember: key.resources, members: len(members)}
		if until := d.unmetGangNeeds.unmetUntil(&need, now); until > 0 {
			return until
		}
	}
	if recent {
		return 0
	}
	mayFit := len(members) > 0 && pull.allStartable(job, members) && d.gangMayFit(pull, job, members)
	d.gangSearches[ref] = gangSearchResult{now, mayFit}
	if mayFit {
		return 0
	}
	return now + gangRetryInterval
}

// gangMayFit reports whether the free resources of all workers together may be enough for the
// members of a gang. If they are not, it records the gang's need as unmet.
func (d *Dispatcher) gangMayFit(pull *pullRequest, job *state.Job, members []int) bool {
	d.gangSearch.begin(d, pull, job, members)
	if need, unmet := d.gangSearch.unmetNeed(); unmet {
		d.unmetGangNeeds.add(need, pull.store.Now())
	}
	return d.gangSearch.mayFit(&d.gangSearch.all)
}

// groupBackoffUntil returns the time until which none of the gangs of a group is tried; 0 if
// one may be tried now.
func (d *Dispatcher) groupBackoffUntil(pull *pullRequest, group *taskGroup) time.Duration {
	if pull.store.Now() < group.backoffUntil {
		return group.backoffUntil
	}
	until := pull.store.Now() + gangRetryInterval
	for _, task := range group.tasks {
		gangUntil := d.gangBackoffUntil(pull, &group.key, task.ref)
		if gangUntil <= pull.store.Now() {
			return 0
		}
		until = min(until, gangUntil)
	}
	group.backoffUntil = until
	return until
}

// allGangsBackOff reports whether none of the gangs of a queue is to be tried now. It examines
// them only when the earliest of their backoffs has ended.
func (d *Dispatcher) allGangsBackOff(pull *pullRequest, queue *workerQueue) bool {
	if pull.store.Now() < queue.gangBackoffUntil {
		return true
	}
	until := pull.store.Now() + gangRetryInterval
	for _, group := range queue.groups {
		if !group.key.isGang() {
			continue
		}
		if pull.round.QuickOnly && !group.key.quick {
			until = 0
			continue
		}
		groupUntil := d.groupBackoffUntil(pull, group)
		if groupUntil == 0 {
			return false
		}
		until = min(until, groupUntil)
	}
	// A round of quick tasks doesn't examine the other gangs.
	queue.gangBackoffUntil = until
	return true
}

// proposeGang assigns all members of a gang at once, or none.
func (d *Dispatcher) proposeGang(pull *pullRequest, best *bestCandidate, proposal *Proposal) bool {
	job := best.job
	d.gangSearches[best.ref] = gangSearchResult{at: pull.store.Now()}
	members := d.openGangMembers(job, best.ref.Index)
	if !pull.allStartable(job, members) ||
		!d.tenantAllows(pull.store, &pull.inFlight, job.Tenant, memberResources(job, members)) {
		return false
	}
	search := &d.gangSearch
	search.begin(d, pull, job, members)
	for _, rack := range search.racksToTry() {
		if !search.place(rack) {
			continue
		}
		for n, i := range members {
			proposal.assign(job, TaskRef{best.ref.Job, i}, search.chosen[n])
		}
		delete(d.gangSearches, best.ref)
		return true
	}
	if need, unmet := search.unmetNeed(); unmet {
		d.unmetGangNeeds.add(need, pull.store.Now())
	}
	return false
}

// openGangMembers returns the members of a gang that are not complete, in a buffer that the
// next call reuses. The given task is the gang's first member.
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
			// The members of a step are consecutive.
			d.gangMembers = members
			return members
		}
	}
	d.gangMembers = members
	return members
}

// allStartable reports whether all of the tasks can start.
func (p *pullRequest) allStartable(job *state.Job, tasks []int) bool {
	for _, i := range tasks {
		task := job.Tasks[i]
		if task.State != state.Ready || task.Lease.Held() || p.inFlight.Tasks[TaskRef{job.Spec.ID, i}] {
			return false
		}
	}
	return true
}

package dispatch

import (
	"slices"
	"time"

	"sorrelloom/core/state"
	"sorrelloom/core/status"
)

// gangRetryInterval is how long a gang for which no workers were found is left alone:
// it would find none for another worker's pull either.
const gangRetryInterval = 10 * time.Millisecond

// gangRef identifies a gang of a job.
type gangRef struct{ job, gang string }

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

func (d *Dispatcher) gangTriedRecently(store *state.Store, gang gangRef) bool {
	triedAt, tried := d.gangTriedAt[gang]
	return tried && store.Now() < triedAt+gangRetryInterval
}

// proposeGang assigns all members of a gang at once, or none.
func (d *Dispatcher) proposeGang(pull *pullRequest, best *bestCandidate, proposal *Proposal) bool {
	gang := gangRef{best.ref.Job, best.job.Spec.Tasks[best.ref.Index].Gang}
	if d.gangTriedRecently(pull.store, gang) {
		return false
	}
	d.gangTriedAt[gang] = pull.store.Now()
	members, ok := pull.gangMembers(best.job, gang)
	if !ok || !d.tenantAllows(pull.store, &pull.inFlight, best.job.Tenant, memberResources(best.job, members)) {
		return false
	}
	for _, rack := range pull.candidateRacks(&best.job.Spec.Tasks[best.ref.Index]) {
		workers, ok := pull.placeGang(best.job, members, rack)
		if !ok {
			continue
		}
		for n, i := range members {
			proposal.assign(best.job, TaskRef{gang.job, i}, workers[n])
		}
		delete(d.gangTriedAt, gang)
		return true
	}
	return false
}

// gangMembers returns the members of a gang that are not complete, if all of them
// can start.
func (p *pullRequest) gangMembers(job *state.Job, gang gangRef) ([]int, bool) {
	var members []int
	for i := range job.Spec.Tasks {
		task := job.Tasks[i]
		if job.Spec.Tasks[i].Gang != gang.gang || task.State == state.Done {
			continue
		}
		if task.State != state.Ready || task.Lease.Held() || p.inFlight.Tasks[TaskRef{gang.job, i}] {
			return nil, false
		}
		members = append(members, i)
	}
	return members, true
}

// candidateRacks returns the racks to try for a gang, one after the other. A gang
// that asks for one rack tries that of its data first, then the pulling worker's,
// then all others. The empty name at the end stands for all racks together.
func (p *pullRequest) candidateRacks(task *state.TaskSpec) []string {
	if !task.SameRack {
		return []string{""}
	}
	var racks []string
	add := func(rack string) {
		if rack != "" && !slices.Contains(racks, rack) {
			racks = append(racks, rack)
		}
	}
	add(task.PreferredRack)
	add(p.worker.Rack)
	for _, entry := range p.store.WorkerEntries() {
		worker := entry.Record()
		add(worker.Rack)
	}
	return append(racks, "")
}

// gangSearch looks for workers for the members of a gang, one member after the other.
type gangSearch struct {
	pull    *pullRequest
	job     *state.Job
	workers []*state.WorkerEntry
	// uniform says that all members have the same needs, as those of a step do.
	uniform bool
	// The following are of one worker each, in the order of workers: whether it may
	// run members, what it has left, and how many members were placed on it.
	eligible []bool
	free     []state.Resources
	placed   []int
}

// placeGang returns a worker for every member of a gang, in one rack if that is
// named: near the gang's data if possible, then the pulling worker, then the one
// with the most free slots.
func (p *pullRequest) placeGang(job *state.Job, members []int, rack string) ([]string, bool) {
	search := gangSearch{pull: p, job: job, workers: p.store.WorkerEntries(), uniform: len(job.Spec.Steps) > 0}
	if fitting := search.collectEligible(members, rack); search.uniform && fitting < len(members) {
		return nil, false
	}
	workers := make([]string, 0, len(members))
	for _, member := range members {
		chosen := search.choose(member, members[0])
		if chosen < 0 {
			return nil, false
		}
		search.free[chosen] = search.free[chosen].Sub(job.Spec.Tasks[member].Resources)
		search.placed[chosen]++
		workers = append(workers, search.workers[chosen].ID())
	}
	return workers, true
}

// collectEligible finds the workers that may run members. Of a uniform gang it
// counts how many members would fit, up to all.
func (s *gangSearch) collectEligible(members []int, rack string) int {
	store := s.pull.store
	s.eligible = make([]bool, len(s.workers))
	s.free = make([]state.Resources, len(s.workers))
	s.placed = make([]int, len(s.workers))
	need := s.job.Spec.Tasks[members[0]].Resources
	fitting := 0
	for n := range s.workers {
		worker := s.workers[n].Record()
		if rack != "" && worker.Rack != rack {
			continue
		}
		if s.uniform && store.Fits(s.job, members[0], worker) != status.OK {
			continue
		}
		s.eligible[n] = true
		s.free[n] = s.workers[n].FreeResources().Sub(s.pull.inFlight.Resources[worker.ID()])
		if !s.uniform {
			continue
		}
		for left := s.free[n]; left.Covers(need) && fitting < len(members); left = left.Sub(need) {
			fitting++
		}
	}
	return fitting
}

// choose returns the index of the best worker for a member, or -1. The first member
// says whether a worker may run a limited number of them.
func (s *gangSearch) choose(member, first int) int {
	store, need := s.pull.store, s.job.Spec.Tasks[member].Resources
	limited := s.job.Spec.Tasks[first].MaxPerWorker > 0
	chosen := -1
	for n := range s.workers {
		worker := s.workers[n].Record()
		if !s.eligible[n] || !s.free[n].Covers(need) {
			continue
		}
		if !s.uniform && store.Fits(s.job, member, worker) != status.OK {
			continue
		}
		if limited && store.AtWorkerLimit(s.job, member, worker.ID(), s.placed[n]) {
			continue
		}
		if chosen < 0 || s.prefers(member, n, chosen) {
			chosen = n
		}
	}
	return chosen
}

// prefers reports whether worker n is better for a member than the one chosen so far.
func (s *gangSearch) prefers(member, n, chosen int) bool {
	worker, best := s.workers[n].Record(), s.workers[chosen].Record()
	near, bestNear := isNearData(s.job, member, worker), isNearData(s.job, member, best)
	if near != bestNear {
		return near
	}
	if worker.ID() == s.pull.id {
		return true
	}
	return best.ID() != s.pull.id && s.free[n].Slots > s.free[chosen].Slots
}

package state

import (
	"cmp"
	"slices"
	"time"

	"sorrelloom/core/quota"
)

// Thresholds after which a ready task counts as stalled although its service has free
// resources for it: stalledLongRunningAfter for a long-running task that has run before,
// stalledAfter for any other.
const (
	stalledAfter            = 3 * time.Second
	stalledLongRunningAfter = 6 * time.Second
	// stalledCapacityFactor is how many times the free resources must cover the task, or its gang.
	stalledCapacityFactor = 2
)

// StalledTask is a ready task that has no lease although no rule prevents one.
type StalledTask struct {
	Job     string
	Index   int
	Waiting time.Duration
	// Workers is the number of workers that can take the task now.
	Workers int
}

// StalledTasks returns the tasks that have been ready without a lease for too long, although
// at most half of their service's resources are in use and there are free resources for twice
// the task or, for a gang, twice the whole gang. It returns at most limit tasks, the longest
// waiting first, and of each gang only the first member.
//
// A correct dispatcher leaves no stalled task. The list serves to find tasks that it lost.
func (s *Store) StalledTasks(limit int) []StalledTask {
	atMostHalfUsed := map[string]bool{}
	var stalled []StalledTask
	for id := range s.activeJobs {
		job := s.jobs[id]
		if job.EndingState != "" {
			continue
		}
		service := job.Spec.Service
		if _, known := atMostHalfUsed[service]; !known {
			atMostHalfUsed[service] = s.AtMostHalfUsed(service)
		}
		if atMostHalfUsed[service] {
			stalled = s.appendStalled(stalled, job)
		}
	}
	slices.SortFunc(stalled, func(a, b StalledTask) int {
		return cmp.Or(cmp.Compare(b.Waiting, a.Waiting), cmp.Compare(a.Job, b.Job), cmp.Compare(a.Index, b.Index))
	})
	return stalled[:min(limit, len(stalled))]
}

// appendStalled adds the stalled tasks of one job.
func (s *Store) appendStalled(stalled []StalledTask, job *Job) []StalledTask {
	gangs := map[string]bool{}
	for i := range job.Tasks {
		task, gang := job.Tasks[i], job.Spec.Tasks[i].Gang
		if gangs[gang] || task.State != Ready || task.Lease.Held() || s.now-task.ReadyAt < stalledWait(job, i) {
			continue
		}
		if gang != "" {
			gangs[gang] = true
		}
		if members := unleasedMembers(job, i); members > 0 {
			if workers, fits := s.capacityForTasks(job, i, members); fits {
				stalled = append(stalled, StalledTask{job.Spec.ID, i, s.now - task.ReadyAt, workers})
			}
		}
	}
	return stalled
}

func stalledWait(job *Job, i int) time.Duration {
	if job.Spec.Tasks[i].LongRunning && job.Tasks[i].Attempts > 0 {
		return stalledLongRunningAfter
	}
	return stalledAfter
}

// unleasedMembers returns how many tasks must be leased in one grant with a task: 1 for a
// task without a gang, or else the number of gang members that are not done. It returns 0
// while one of these members is still leased.
func unleasedMembers(job *Job, i int) int {
	gang := job.Spec.Tasks[i].Gang
	if gang == "" {
		return 1
	}
	members := 0
	for j := range job.Tasks {
		if job.Spec.Tasks[j].Gang != gang || job.Tasks[j].State == Done {
			continue
		}
		if job.Tasks[j].Lease.Held() {
			return 0
		}
		members++
	}
	return members
}

// AtMostHalfUsed reports whether the leases on a service's live workers that are not leaving
// take at most half of each resource of these workers.
func (s *Store) AtMostHalfUsed(service string) bool {
	var capacity, used Resources
	for id, worker := range s.workers {
		if worker.Service == service && s.Live(worker) && !worker.Leaving {
			capacity, used = capacity.Add(worker.Capacity), used.Add(s.usageOf(id).used)
		}
	}
	return capacity.Covers(used.Add(used))
}

// capacityForTasks reports whether twice the given number of tasks like task i could be
// leased under all rules of a grant, and how many workers could take one. It reports false if
// the job's tenant uses half of its limit or more: the tenant's tasks may then wait for one
// another.
func (s *Store) capacityForTasks(job *Job, i, tasks int) (workers int, fits bool) {
	spec := &job.Spec.Tasks[i]
	belowHalf := job.Tenant == "" || quota.BelowHalf(s.TenantLimit(job.Tenant), s.TenantUsage(job.Tenant))
	if !belowHalf || !s.TenantAllows(job.Tenant, spec.Resources.Times(tasks)) {
		return 0, false
	}
	slots := stalledCapacityFactor * tasks * spec.Resources.Slots
	if allowed, _ := s.CheckShare(job.Spec.classKey(), slots, nil); !allowed {
		return 0, false
	}
	byRack := map[string]int{}
	for id, worker := range s.workers {
		if s.Fits(job, i, worker) != 0 || s.AtWorkerLimit(job, i, id, 0) {
			continue
		}
		copies := timesCovered(s.FreeResources(id), spec.Resources, tasks*stalledCapacityFactor)
		if spec.MaxPerWorker > 0 {
			copies = min(copies, spec.MaxPerWorker)
		}
		if copies == 0 {
			continue
		}
		workers++
		byRack[rackOf(spec, worker)] += copies
	}
	for _, copies := range byRack {
		fits = fits || copies >= stalledCapacityFactor*tasks
	}
	return workers, fits
}

// rackOf returns the key by which capacityForTasks groups workers: the rack if the task's
// gang must run on one rack, or else the same key for all workers.
func rackOf(spec *TaskSpec, worker *Worker) string {
	if spec.SameRack {
		return worker.Rack
	}
	return ""
}

// timesCovered returns how many times the needed resources fit into the free ones, at most limit.
func timesCovered(free, needed Resources, limit int) int {
	copies := 0
	for copies < limit && free.Covers(needed) {
		free = free.Sub(needed)
		copies++
	}
	return copies
}

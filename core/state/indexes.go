package state

import (
	"cmp"
	"slices"
	"time"

	"sorrelloom/core/quota"
)

// ClassKey identifies a class of a service.
type ClassKey struct{ Service, Class string }

// classKey returns the key of a job's class.
func (spec *JobSpec) classKey() ClassKey { return ClassKey{spec.Service, spec.Class} }

// indexes are derived from the records of jobs, tasks and workers and are not stored. setTask
// and setWorker keep them up to date, and rebuildIndexes computes them after a load.
type indexes struct {
	// usage holds the leases of each worker and their sums, by worker name.
	usage map[string]*workerUsage
	// tenantUsage is what each tenant has running, with and without leases.
	tenantUsage *quota.Usage
	// unfinished counts the non-terminal tasks of each class.
	unfinished map[ClassKey]int
	// waiting counts the ready tasks without a lease by their demand.
	waiting map[demand]int
	// activeJobs has the ids of the jobs that have not ended.
	activeJobs map[string]bool
	// endedJobs has the ids of the jobs that have ended, ordered by the time of their end.
	endedJobs []string
	// timedTasks has the waiting tasks with a due time.
	timedTasks map[taskRef]bool
}

// rebuildIndexes computes all indexes and other derived data from the records.
func (s *Store) rebuildIndexes() {
	s.indexes = indexes{
		usage:       map[string]*workerUsage{},
		tenantUsage: quota.NewUsage(),
		unfinished:  map[ClassKey]int{},
		waiting:     map[demand]int{},
		activeJobs:  map[string]bool{},
		timedTasks:  map[taskRef]bool{},
	}
	s.serviceLoads = map[string]*cachedServiceLoad{}
	s.entries.reset()
	s.requests.sortByAge(func(r Request) time.Duration { return r.AnsweredAt })
	s.configRequests.sortByAge(func(r Request) time.Duration { return r.AnsweredAt })
	s.pastJobs.sortByAge(func(p PastJob) time.Duration { return p.EndedAt })
	for id, job := range s.jobs {
		if !jobEnded(job) {
			s.activeJobs[id] = true
		} else {
			s.endedJobs = append(s.endedJobs, id)
		}
		for i := range job.Tasks {
			s.countTask(job, i, 1)
		}
	}
	for _, worker := range s.workers {
		s.countUnleased(worker, 1)
	}
	slices.SortFunc(s.endedJobs, func(a, b string) int {
		return cmp.Or(cmp.Compare(s.jobs[a].EndedAt, s.jobs[b].EndedAt), cmp.Compare(a, b))
	})
	s.changes = append(s.changes, Change{All: true})
}

// countTask adds a task to the indexes (delta 1) or removes it from them (delta -1).
func (s *Store) countTask(job *Job, i, delta int) {
	task := job.Tasks[i]
	if !task.Terminal() {
		s.unfinished[job.Spec.classKey()] += delta
	}
	ref := taskRef{job.Spec.ID, i}
	if task.State == Waiting && task.DueAt > 0 && delta > 0 {
		s.timedTasks[ref] = true
	} else {
		delete(s.timedTasks, ref)
	}
	if task.Lease.Held() {
		s.countLease(job, ref, delta)
	} else if task.State == Ready {
		wanted := demandOf(job, i)
		if s.waiting[wanted] += delta; s.waiting[wanted] == 0 {
			delete(s.waiting, wanted)
		}
	}
}

// countLease adds a leased task to the usage of its worker and its tenant (delta 1) or removes
// it from them (delta -1).
func (s *Store) countLease(job *Job, ref taskRef, delta int) {
	worker := job.Tasks[ref.index].Lease.Worker
	usage, leased := s.changeableUsage(worker), leasedTask{ref, &job.Spec.Tasks[ref.index], job.Tasks[ref.index]}
	if delta > 0 {
		usage.leases = usage.leases.add(leased)
	} else {
		usage.leases = usage.leases.remove(leased)
	}
	usage.adjust(job, ref.index, delta)
	s.countForTenant(job.Tenant, job.Spec.Tasks[ref.index].Resources, delta)
	s.updateServiceLoad(worker, job.Spec.Class, delta*job.Spec.Tasks[ref.index].Resources.Slots)
}

// workerUsage holds the leases of a worker and their sums.
type workerUsage struct {
	leases workerLeases
	// preemptible has the sums by class of the leases that are not being stopped.
	preemptible []PreemptibleLeases
	// used is the sum of the resources of all leases, unreported of those that the worker's
	// own free resources do not account for (not started, or of an earlier incarnation), and
	// stopping of those that are being stopped.
	used, unreported, stopping Resources
	// longRunning is the sum of the resources of the leases of long-running tasks that are not
	// being stopped.
	longRunning Resources
	// stopCount counts the leases that are being stopped, unstartedCount the ones that are
	// neither started nor being stopped, and orphanCount those of an earlier incarnation.
	stopCount, unstartedCount, orphanCount int
	slotsByClass                           map[string]int
}

// resourceSum is Resources.Add or Resources.Sub.
type resourceSum func(Resources, Resources) Resources

// noUsage is the usage of a worker that never had a lease.
var noUsage workerUsage

// usageOf returns the usage of a worker, which must not be modified.
func (s *Store) usageOf(worker string) *workerUsage {
	if usage := s.usage[worker]; usage != nil {
		return usage
	}
	return &noUsage
}

// changeableUsage returns the usage of a worker for modification in place, and adds an empty one
// if there is none.
func (s *Store) changeableUsage(worker string) *workerUsage {
	usage := s.usage[worker]
	if usage == nil {
		usage = &workerUsage{slotsByClass: map[string]int{}}
		s.usage[worker] = usage
	}
	return usage
}

// adjust adds the lease of the task with index i to the sums (delta 1) or removes it from them
// (delta -1).
func (u *workerUsage) adjust(job *Job, i, delta int) {
	lease, resources := &job.Tasks[i].Lease, job.Spec.Tasks[i].Resources
	add := resourceSum(Resources.Add)
	if delta < 0 {
		add = Resources.Sub
	}
	u.used = add(u.used, resources)
	if lease.StartedAt == 0 || lease.OrphanUntil > 0 {
		u.unreported = add(u.unreported, resources)
	}
	if lease.StopReason != "" {
		u.stopping, u.stopCount = add(u.stopping, resources), u.stopCount+delta
	} else {
		u.adjustPreemptible(job.Spec.classKey(), lease, resources, add)
		if job.Spec.Tasks[i].LongRunning {
			u.longRunning = add(u.longRunning, resources)
		}
		if lease.StartedAt == 0 {
			u.unstartedCount += delta
		}
	}
	if lease.OrphanUntil > 0 {
		u.orphanCount += delta
	}
	u.slotsByClass[job.Spec.Class] += delta * resources.Slots
}

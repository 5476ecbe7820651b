package state

import (
	"cmp"
	"slices"
	"time"

	"sorrelloom/core/status"
)

// Obstacle is the reason why no worker can take a ready task, as far as the replicated
// state shows.
type Obstacle string

const (
	// NoObstacle means that some worker may take the task.
	NoObstacle Obstacle = ""
	// NoWorker means that no worker of the service is known.
	NoWorker Obstacle = "no-worker"
	// WorkersSilent means that all workers that could take the task are silent: none has sent a
	// heartbeat within the heartbeat timeout.
	WorkersSilent Obstacle = "workers-silent"
	// WorkersUnfit means that each worker lacks a label, is leaving or drained, or is in a
	// drained zone.
	WorkersUnfit Obstacle = "workers-unfit"
	// TenantAtLimit means that the task would take the job's tenant above its limit.
	TenantAtLimit Obstacle = "tenant-limit"
	// ClassAtShare means that the task would take its class above its share, and that the class
	// may not borrow.
	ClassAtShare Obstacle = "class-share"
	// NoFreeResources means that no worker that may take the task has the resources free.
	NoFreeResources Obstacle = "no-room"
)

// Obstruction describes why a ready task cannot be leased to any worker of its service.
type Obstruction struct {
	Obstacle Obstacle
	// Since is the state time at which the obstacle began, as far as the state shows: when the
	// task became ready or, for WorkersSilent, the last heartbeat of any worker of the service
	// if that is later.
	Since time.Duration
	// Workers counts the workers of the service, Silent those that would fit if they were not
	// silent, Fitting those that may take the task.
	Workers, Silent, Fitting int
	// WithResources counts the fitting workers that have the resources free in addition to their
	// leases; ReportingResources counts those that report them free, whatever their leases. A
	// difference between the two includes leases of attempts that no worker runs.
	WithResources, ReportingResources int
}

// Obstruction determines why no worker can take a ready task now. Its Obstacle is NoObstacle
// if some worker can.
func (s *Store) Obstruction(job *Job, i int) Obstruction {
	counts := s.countWorkers(job, i)
	found := Obstruction{
		Since: job.Tasks[i].ReadyAt, Workers: counts.total, Silent: counts.byCode[status.WorkerUnresponsive],
		Fitting: counts.byCode[status.OK], WithResources: counts.withResources, ReportingResources: counts.reportingResources,
	}
	needed := job.Spec.Tasks[i].Resources.Times(max(1, unleasedMembers(job, i)))
	shareAllows, _ := s.CheckShare(job.Spec.classKey(), job.Spec.Tasks[i].Resources.Slots, nil)
	switch {
	case found.Workers == 0:
		found.Obstacle = NoWorker
	case found.Fitting == 0 && found.Silent > 0:
		found.Obstacle, found.Since = WorkersSilent, max(found.Since, counts.lastHeardAt)
	case found.Fitting == 0:
		found.Obstacle = WorkersUnfit
	case !s.TenantAllows(job.Tenant, needed):
		found.Obstacle = TenantAtLimit
	case !shareAllows:
		found.Obstacle = ClassAtShare
	case found.WithResources == 0:
		found.Obstacle = NoFreeResources
	}
	return found
}

// LongestWaiting is the ready task of a class that has waited longest without a lease.
type LongestWaiting struct {
	ClassKey
	Job     string
	Index   int
	Waiting time.Duration
	// Tasks counts the ready tasks of the class that have waited for at least the minimum.
	Tasks int
}

// LongestWaiting returns, for each class, the ready task that has waited longest, provided
// that it has waited for at least the given time. The result is sorted by service and class.
func (s *Store) LongestWaiting(atLeast time.Duration) []LongestWaiting {
	byClass := map[ClassKey]*LongestWaiting{}
	for id := range s.activeJobs {
		job := s.jobs[id]
		if job.EndingState == "" {
			s.addWaitingTasks(byClass, job, atLeast)
		}
	}
	waiting := make([]LongestWaiting, 0, len(byClass))
	for _, longest := range byClass {
		waiting = append(waiting, *longest)
	}
	slices.SortFunc(waiting, func(a, b LongestWaiting) int {
		return cmp.Or(cmp.Compare(a.Service, b.Service), cmp.Compare(a.Class, b.Class))
	})
	return waiting
}

// addWaitingTasks adds the waiting tasks of a job to the entry of its class.
func (s *Store) addWaitingTasks(byClass map[ClassKey]*LongestWaiting, job *Job, atLeast time.Duration) {
	for i, task := range job.Tasks {
		waited := s.now - task.ReadyAt
		if task.State != Ready || task.Lease.Held() || waited < atLeast {
			continue
		}
		key := job.Spec.classKey()
		longest := byClass[key]
		if longest == nil {
			longest = &LongestWaiting{ClassKey: key}
			byClass[key] = longest
		}
		longest.Tasks++
		if longest.Tasks == 1 || cmp.Or(cmp.Compare(waited, longest.Waiting), cmp.Compare(longest.Job, job.Spec.ID)) > 0 {
			longest.Job, longest.Index, longest.Waiting = job.Spec.ID, i, waited
		}
	}
}

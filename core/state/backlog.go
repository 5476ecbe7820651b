package state

import (
	"cmp"
	"slices"
	"time"
)

// ClassBacklog counts the waiting and the running work of one class of jobs.
type ClassBacklog struct {
	ClassKey
	// WaitingJobs counts the jobs with no task started (see anyTaskStarted).
	WaitingJobs int
	// ReadyTasks counts the ready tasks without a lease, LeasedTasks the tasks with one.
	ReadyTasks  int
	LeasedTasks int
	// OldestReady is how long the oldest of the ReadyTasks has been ready.
	OldestReady time.Duration
}

// Backlog returns the backlog of each class with active jobs, ordered by service and class.
func (s *Store) Backlog() []ClassBacklog {
	byClass := map[ClassKey]*ClassBacklog{}
	for id := range s.activeJobs {
		job := s.jobs[id]
		key := job.Spec.classKey()
		class := byClass[key]
		if class == nil {
			class = &ClassBacklog{ClassKey: key}
			byClass[key] = class
		}
		class.add(job, s.now)
	}
	backlog := make([]ClassBacklog, 0, len(byClass))
	for _, class := range byClass {
		backlog = append(backlog, *class)
	}
	slices.SortFunc(backlog, func(a, b ClassBacklog) int {
		return cmp.Or(cmp.Compare(a.Service, b.Service), cmp.Compare(a.Class, b.Class))
	})
	return backlog
}

// add adds a job and its tasks to the counts.
func (b *ClassBacklog) add(job *Job, now time.Duration) {
	if job.EndingState == "" && !anyTaskStarted(job.Tasks) {
		b.WaitingJobs++
	}
	for i := range job.Tasks {
		switch task := job.Tasks[i]; {
		case task.Lease.Held():
			b.LeasedTasks++
		case task.State == Ready:
			b.ReadyTasks++
			b.OldestReady = max(b.OldestReady, now-task.ReadyAt)
		}
	}
}

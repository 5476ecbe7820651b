package scheduler

import (
	"time"

	"sorrelloom/core/dispatch"
	"sorrelloom/core/machine"
	"sorrelloom/core/state"
)

const (
	// stalledCheckInterval is the time between two checks for stalled tasks.
	stalledCheckInterval = time.Second
	// maxStalledTasks limits the stalled tasks that one check finds.
	maxStalledTasks = 16
)

// stalledTaskCheck periodically finds stalled tasks: ready tasks that no rule holds back and
// that no worker has pulled. They occur only if the queues have lost a task that the state
// contains. Each one found is put into the queues again.
type stalledTaskCheck struct {
	nextCheck time.Duration
	// found counts the stalled tasks of the last check.
	found int
	// requeued counts all stalled tasks found so far.
	requeued uint64
}

// StalledTasks returns the number of stalled tasks that the last check found, and the number
// requeued since the process started.
func (s *Scheduler) StalledTasks() (found int, requeued uint64) {
	return s.stalled.found, s.stalled.requeued
}

// CommitLatency returns the latency of the last committed heartbeat command, or the age of the
// oldest pending one if that is larger.
func (s *Scheduler) CommitLatency(now time.Duration) time.Duration { return s.latency.current(now) }

// requeueStalled finds stalled tasks in the state and requeues them. A check that is due during
// a rebuild of the queues is delayed until the rebuild is complete.
func (s *Scheduler) requeueStalled(now time.Duration, out *machine.Output) {
	check := &s.stalled
	if now < check.nextCheck || s.dispatcher.Rebuilding() {
		return
	}
	check.nextCheck = now + stalledCheckInterval
	check.found = 0
	if s.stopping || !s.access.Fresh(now) || len(s.LedZones()) == 0 {
		return
	}
	store := s.access.State()
	stalled := store.StalledTasks(maxStalledTasks)
	check.found = len(stalled)
	for _, task := range stalled {
		ref := dispatch.TaskRef{Job: task.Job, Index: task.Index}
		check.requeued++
		out.Warn("task_stalled", "job", task.Job, "task", taskID(store, ref),
			"waitingMs", task.Waiting.Milliseconds(), "workersWithRoom", task.Workers)
		s.dispatcher.Requeue(store, ref)
	}
}

// taskID returns the ID of a task within its job.
func taskID(store *state.Store, ref dispatch.TaskRef) string {
	job, _ := store.Job(ref.Job)
	return job.Spec.Tasks[ref.Index].ID
}

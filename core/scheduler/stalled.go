package scheduler

import (
	"time"

	"sorrelloom/core/dispatch"
	"sorrelloom/core/machine"
	"sorrelloom/core/state"
)

const (
	// stalledCheckInterval is the time between two looks for stalled tasks.
	stalledCheckInterval = time.Second
	// maxStalledTasks is how many stalled tasks one look finds at most.
	maxStalledTasks = 16
)

// stalledWatch looks for tasks that no rule holds back and that nobody has taken. There are
// none as long as the queues hold what the state says: one that is found is queued anew.
type stalledWatch struct {
	nextCheck time.Duration
	// now is how many the last look has found, requeued how many there were in all.
	now      int
	requeued uint64
}

// StalledTasks returns how many stalled tasks the last look has found, and how many have
// been queued anew since the process started.
func (s *Scheduler) StalledTasks() (now int, requeued uint64) {
	return s.stalled.now, s.stalled.requeued
}

// CommitLatency returns what the last command took to be committed, or what the oldest one
// under way takes already.
func (s *Scheduler) CommitLatency(now time.Duration) time.Duration { return s.latency.current(now) }

// requeueStalled looks for stalled tasks in the state and queues them anew. While a rebuild
// of the queues is under way, the look is put off until it is over.
func (s *Scheduler) requeueStalled(now time.Duration, out *machine.Output) {
	watch := &s.stalled
	if now < watch.nextCheck || s.dispatcher.Rebuilding() {
		return
	}
	watch.nextCheck = now + stalledCheckInterval
	watch.now = 0
	if s.stopping || !s.access.Fresh(now) || len(s.LedZones()) == 0 {
		return
	}
	store := s.access.State()
	stalled := store.StalledTasks(maxStalledTasks)
	watch.now = len(stalled)
	for _, task := range stalled {
		ref := dispatch.TaskRef{Job: task.Job, Index: task.Index}
		watch.requeued++
		out.Warn("task_stalled", "job", task.Job, "task", taskID(store, ref),
			"waitingMs", task.Waiting.Milliseconds(), "workersWithRoom", task.Workers)
		s.dispatcher.Requeue(store, ref)
	}
}

// taskID is the name of a task in its job.
func taskID(store *state.Store, ref dispatch.TaskRef) string {
	job, _ := store.Job(ref.Job)
	return job.Spec.Tasks[ref.Index].ID
}

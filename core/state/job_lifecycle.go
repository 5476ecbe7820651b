package state

import (
	"slices"

	"sorrelloom/core/status"
)

// The reasons for which a job or its tasks ended. The texts are stored.
const (
	endReasonCancelled = "cancelled by the caller"
	endReasonDeadline  = "the job's cutoff passed"
)

// makeTasksReady makes those waiting tasks of a job ready that are due and whose dependencies
// are all done, and updates the state of the job.
func (s *Store) makeTasksReady(id string) {
	job := s.jobs[id]
	if job.EndingState == "" {
		var dependencies dependencyCheck
		for i, task := range job.Tasks {
			if task.State == Waiting && task.DueAt <= s.now && dependencies.done(job, i) {
				ready := *task
				ready.State, ready.ReadyAt = Ready, s.now
				s.setTask(taskRef{id, i}, ready)
			}
		}
	}
	s.updateJobState(id)
}

// dependencyCheck checks the dependencies of the tasks of a job one task after the other. The
// tasks of a step share one slice of dependencies, so the result is kept for the next task.
type dependencyCheck struct {
	// last is the first element of the slice that was checked last, ok the result for it.
	last *int
	ok   bool
}

// done reports whether all dependencies of the task with index i are done.
func (c *dependencyCheck) done(job *Job, i int) bool {
	dependencies := job.Spec.Tasks[i].Dependencies
	if len(dependencies) == 0 {
		return true
	}
	if c.last != &dependencies[0] {
		c.last, c.ok = &dependencies[0], allDone(job.Tasks, dependencies)
	}
	return c.ok
}

// updateJobState computes a job's state from its tasks. A job ends only once all its tasks are
// terminal and none is leased any more.
func (s *Store) updateJobState(id string) {
	job := s.jobs[id]
	if jobEnded(job) {
		return
	}
	state := jobState(job.Tasks, job.EndingState)
	if state == job.State {
		return
	}
	changed := *job
	changed.State = state
	if jobEnded(&changed) {
		s.audit.record(Decision{Kind: decisionEndJob, Job: id, Succeeded: state == Done})
		changed.EndedAt = s.now
		delete(s.activeJobs, id)
		s.endedJobs = append(s.endedJobs, id)
	}
	s.jobs[id] = &changed
	s.changes = append(s.changes, Change{Job: id, Task: -1})
}

// jobState computes the state of a job from its tasks: Done if all of them are done, and
// endingState if all of them have ended but not all are done.
func jobState(tasks []*Task, endingState string) string {
	state := Done
	for i := range tasks {
		task := tasks[i]
		if !task.Terminal() || task.Lease.Held() {
			if anyTaskRunningOrDone(tasks) {
				return Running
			}
			return Waiting
		}
		if task.State != Done {
			state = endingState
		}
	}
	return state
}

// anyTaskRunningOrDone reports whether one of the tasks is running or has succeeded.
func anyTaskRunningOrDone(tasks []*Task) bool {
	for i := range tasks {
		if tasks[i].Lease.StartedAt > 0 || tasks[i].State == Done {
			return true
		}
	}
	return false
}

// endJob cancels the remaining tasks of a job that failed or was cancelled, and stops their
// attempts. The job ends once its last lease has ended.
func (s *Store) endJob(id, endingState, reason string) {
	if job := s.jobs[id]; job.EndingState != "" || jobEnded(job) {
		return
	}
	job := *s.jobs[id]
	job.EndingState, job.Reason = endingState, reason
	s.jobs[id] = &job
	for i := range job.Tasks {
		task := *job.Tasks[i]
		if task.Terminal() {
			continue
		}
		task.State, task.EndedAt, task.Reason = Cancelled, s.now, reason
		if task.Lease.Held() && task.Lease.StopReason == "" {
			task.Lease.StopReason = reason
		}
		s.setTask(taskRef{id, i}, task)
	}
	s.updateJobState(id)
}

// cancelJob cancels a job at the request of its caller. A repeated call changes nothing.
func (s *Store) cancelJob(cmd Command) Result {
	id := cmd.Name
	if cmd.Host != "" {
		if _, result := s.resolveRoute(cmd.Host, cmd.Path, cmd.KeyDigest); !result.Code.IsSuccess() {
			return result
		}
	}
	if past, ok := s.PastJob(id); ok {
		if result := s.CheckAccess(past, cmd.KeyDigest); !result.Code.IsSuccess() {
			return result
		}
		return Result{Code: status.AlreadyDone, Job: *past}
	}
	job, ok := s.jobs[id]
	if !ok {
		return s.RejectUnknownJob(id)
	}
	if result := s.CheckAccess(job, cmd.KeyDigest); !result.Code.IsSuccess() {
		return result
	}
	if jobEnded(job) || job.EndingState != "" {
		return s.jobResult(cmd, status.AlreadyDone, *job)
	}
	s.audit.record(Decision{Kind: decisionCancelJob, Job: id})
	s.endJob(id, Cancelled, endReasonCancelled)
	return s.jobResult(cmd, status.OK, *s.jobs[id])
}

// forgetJob removes the record of a job that has ended, and remembers it as a PastJob.
func (s *Store) forgetJob(id string) {
	job := s.jobs[id]
	for i := range job.Tasks {
		s.countTask(job, i, -1)
	}
	delete(s.jobs, id)
	s.endedJobs = slices.DeleteFunc(s.endedJobs, func(other string) bool { return other == id })
	s.pastJobs.put(id, PastJob{
		Digest: job.Digest, Service: job.Spec.Service, Class: job.Spec.Class, Tenant: job.Tenant,
		State: job.State, EndedAt: job.EndedAt,
	})
	s.changes = append(s.changes, Change{Job: id, Task: -1})
}

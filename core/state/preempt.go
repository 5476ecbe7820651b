package state

import "sorrelloom/core/status"

// preempt asks for leases back: a borrowed one for the class that owns the resources,
// or any that is not of a quick class for a quick task that waits within its class's
// share. The attempts are stopped; the tasks are ready again once they have ended. If one
// lease may not be asked back, those before it in the list are stopped all the same.
func (s *Store) preempt(grant Grant) Result {
	if r := s.checkEpoch(&grant); r.isSet() {
		return r.result()
	}
	for i := range grant.Assignments {
		assignment := &grant.Assignments[i]
		ref, task, ok := s.findTask(assignment.attempt())
		if !ok || !s.mayPreempt(&task, assignment, &grant.PreemptFor) {
			return reject(status.TaskNotPending, "task %s/%s holds no turn that may be pushed out",
				assignment.Job, assignment.Task)
		}
		task.Lease.StopReason = stopReasonPreemptFor + grant.PreemptFor.Job + "/" + grant.PreemptFor.Task
		s.audit.record(Decision{
			Kind: decisionPreempt, Job: assignment.Job, Task: assignment.Task,
			AttemptNumber: task.Lease.AttemptNumber, Worker: assignment.Worker,
		})
		s.setTask(ref, task)
	}
	return Result{Code: status.OK}
}

// mayPreempt says whether the lease of a task may be asked back for another task.
func (s *Store) mayPreempt(task *Task, assignment, preemptFor *Assignment) bool {
	lease := &task.Lease
	if !lease.Held() || lease.StopReason != "" || lease.Worker != assignment.Worker {
		return false
	}
	return lease.Borrowed ||
		!s.isQuick(&s.jobs[assignment.Job].Spec) && s.quickTaskWaits(preemptFor, assignment.Worker)
}

// isQuick says whether the tasks of a job may preempt those of other classes.
func (s *Store) isQuick(spec *JobSpec) bool { return s.classOf(spec).Quick }

// quickTaskWaits says whether a quick task waits, within its class's share, that could
// run on a worker.
func (s *Store) quickTaskWaits(wanted *Assignment, worker string) bool {
	ref, task, ok := s.findTask(wanted.attempt())
	if !ok || task.State != Ready || task.Lease.Held() {
		return false
	}
	job := s.jobs[wanted.Job]
	if !s.isQuick(&job.Spec) {
		return false
	}
	usedSlots, shareSlots := s.ClassUse(job.Spec.Service, job.Spec.Class)
	return usedSlots+job.Spec.Tasks[ref.index].Resources.Slots <= shareSlots &&
		s.Fits(job, ref.index, s.workerRecord(worker)) == status.OK
}

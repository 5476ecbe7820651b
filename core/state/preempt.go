package state

import "sorrelloom/core/status"

// preempt requests the stop of leased attempts: of borrowed leases for the class that owns
// the resources, or of any leases outside the quick classes for a quick task that waits
// within its class's share. The tasks are ready again once the attempts have ended. If one
// lease must not be preempted, the command is rejected, but the leases before it in the list
// are stopped nevertheless.
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

// mayPreempt reports whether the lease of a task may be preempted for another task.
func (s *Store) mayPreempt(task *Task, assignment, preemptFor *Assignment) bool {
	lease := &task.Lease
	if !lease.Held() || lease.StopReason != "" || lease.Worker != assignment.Worker {
		return false
	}
	return lease.Borrowed ||
		!s.isQuick(&s.jobs[assignment.Job].Spec) && s.quickTaskWaits(preemptFor, assignment.Worker)
}

// isQuick reports whether the tasks of a job may preempt those of other classes.
func (s *Store) isQuick(spec *JobSpec) bool { return s.classOf(spec).Quick }

// quickTaskWaits reports whether the given task is a quick one that is ready without a
// lease, within the share of its class, and could run on the given worker.
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

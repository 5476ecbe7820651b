package state

// A gang consists of the tasks of a job that have the same gang name. Its members are leased
// in one grant (see grantLeases). When the lease of one member ends without success, the
// leases of the others are stopped. The success of one member completes them all, and a
// failure counts once for each member.

// isGangPeer reports whether the task with the index other is another member of task's gang.
func isGangPeer(specs []TaskSpec, task, other int) bool {
	gang := specs[task].Gang
	return gang != "" && other != task && specs[other].Gang == gang
}

// GangStarted reports whether all members of an attempt's gang that are not done have started
// under the attempt's number, and none of them is being stopped.
func (s *Store) GangStarted(attempt Attempt) bool {
	ref, task, ok := s.findTask(attempt)
	if !ok || !task.Lease.runsAttempt(attempt.Number) {
		return false
	}
	job := s.jobs[ref.job]
	for i, peer := range job.Tasks {
		if isGangPeer(job.Spec.Tasks, ref.index, i) && peer.State != Done && !peer.Lease.runsAttempt(attempt.Number) {
			return false
		}
	}
	return true
}

// runsAttempt reports whether the lease is for the given attempt number, and the attempt has
// started and is not being stopped.
func (l Lease) runsAttempt(attemptNumber int) bool {
	return l.AttemptNumber == attemptNumber && l.StartedAt > 0 && l.StopReason == ""
}

// stopGang stops the leased attempts of the other members of a task's gang.
func (s *Store) stopGang(ref taskRef) {
	job := s.jobs[ref.job]
	if job.Spec.Tasks[ref.index].Gang == "" {
		return
	}
	for i, peer := range job.Tasks {
		if isGangPeer(job.Spec.Tasks, ref.index, i) && peer.Lease.Held() && peer.Lease.StopReason == "" {
			stopped := *peer
			stopped.Lease.StopReason = stopReasonGang
			s.setTask(taskRef{ref.job, i}, stopped)
		}
	}
}

// completeGang marks the other members of a task's gang as done, once the task has succeeded.
func (s *Store) completeGang(ref taskRef) {
	job := s.jobs[ref.job]
	if job.Spec.Tasks[ref.index].Gang == "" {
		return
	}
	for i, peer := range job.Tasks {
		if isGangPeer(job.Spec.Tasks, ref.index, i) && peer.State != Done {
			s.completeTask(taskRef{ref.job, i}, peer.Lease.Worker, false)
		}
	}
}

// countGangFailure adds the failure of an attempt to the other members of a task's gang,
// except those that have already counted a failure of the same attempt number.
func (s *Store) countGangFailure(ref taskRef, attemptNumber int) {
	job := s.jobs[ref.job]
	if job.Spec.Tasks[ref.index].Gang == "" {
		return
	}
	for i, peer := range job.Tasks {
		if isGangPeer(job.Spec.Tasks, ref.index, i) && peer.LastFailedAttempt != attemptNumber && !peer.Terminal() {
			failed := *peer
			failed.Failures, failed.LastFailedAttempt = peer.Failures+1, attemptNumber
			s.setTask(taskRef{ref.job, i}, failed)
		}
	}
}

// gangCheckpoint returns the checkpoint from which all members of a gang resume: that of the
// member with the highest percentage. It is empty if no member has one.
func (s *Store) gangCheckpoint(assignments []Assignment) (checkpoint string, percent int) {
	for _, assignment := range assignments {
		_, task, _ := s.findTask(Attempt{Job: assignment.Job, Task: assignment.Task})
		if task.Checkpoint != "" && (checkpoint == "" || task.Percent > percent) {
			checkpoint, percent = task.Checkpoint, task.Percent
		}
	}
	return checkpoint, percent
}

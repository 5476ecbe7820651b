package state

import (
	"cmp"
	"fmt"
	"slices"
)

// Attempt identifies one attempt to run a task. A Number is never reused for the same task.
type Attempt struct {
	Job    string `json:"job"`
	Task   string `json:"task"`
	Number int    `json:"try"`
}

func (a Attempt) compare(b Attempt) int {
	return cmp.Or(cmp.Compare(a.Job, b.Job), cmp.Compare(a.Task, b.Task), cmp.Compare(a.Number, b.Number))
}

// String returns "job/task/number".
func (a Attempt) String() string { return fmt.Sprintf("%s/%s/%d", a.Job, a.Task, a.Number) }

// AttemptResult is the result of an attempt that has ended, as reported by its worker.
// Lost marks an attempt that ended through no fault of its own: by itself it counts neither
// as a failure nor as a loss. Checkpoint is the last one that the attempt saved, Percent
// how far the attempt had come by then.
type AttemptResult struct {
	Attempt
	Succeeded  bool   `json:"good"`
	Stopped    bool   `json:"stopped,omitempty"`
	Lost       bool   `json:"lost,omitempty"`
	Reason     string `json:"why,omitempty"`
	Checkpoint string `json:"saved,omitempty"`
	Percent    int    `json:"percent,omitempty"`
}

// Progress is the latest checkpoint of a running attempt and its reported completion in
// percent.
type Progress struct {
	Attempt
	Checkpoint string `json:"saved"`
	Percent    int    `json:"percent,omitempty"`
}

// endAttempt applies one reported result. A success completes the task, whichever of its
// attempts succeeded. A failure counts only for the attempt that holds the lease, and once.
func (s *Store) endAttempt(ref taskRef, task Task, end *AttemptResult, worker string) {
	lease := &task.Lease
	current := lease.Held() && lease.Worker == worker && lease.AttemptNumber == end.Number
	spec := s.specAt(ref)
	if current && spec.Checkpointed && end.Checkpoint != "" {
		task.Checkpoint, task.Percent = end.Checkpoint, end.Percent
		s.setTask(ref, task)
	}
	switch {
	case spec.LongRunning:
		if current {
			s.returnLease(ref, false, returnReasonLongRunning)
		}
	case end.Succeeded && task.State != Done:
		s.audit.record(endDecision(end, worker))
		s.completeTask(ref, worker, current)
		s.completeGang(ref)
	case !current:
	case end.Succeeded || end.Lost || end.Stopped && lease.StopReason != stopReasonRunLimit:
		s.returnLease(ref, lease.StopReason == "" && !end.Lost && !end.Succeeded, returnReasonStopped)
	case lease.StopReason != "" && lease.StopReason != stopReasonRunLimit && !s.config.Limits.KilledAtLeaseExpiry:
		s.returnLease(ref, false, lease.StopReason)
	default:
		s.failAttempt(ref, task, end)
	}
}

// endDecision returns the audit decision for a reported result.
func endDecision(end *AttemptResult, worker string) Decision {
	return Decision{
		Kind: decisionEndAttempt, Job: end.Job, Task: end.Task, AttemptNumber: end.Number,
		Worker: worker, Succeeded: end.Succeeded,
	}
}

// failAttempt counts a failure of the leased attempt and ends its lease. The task becomes
// ready again, or fails for good once it has reached MaxFailures.
func (s *Store) failAttempt(ref taskRef, task Task, end *AttemptResult) {
	s.audit.record(endDecision(end, task.Lease.Worker))
	task = s.countFailure(ref, task)
	task.FailedOn = appendFailedOn(task.FailedOn, task.Lease.Worker)
	task.Lease = Lease{}
	task.Reason = cmp.Or(end.Reason, stopReasonRunLimit)
	s.storeUnleased(ref, task, task.Failures >= s.specAt(ref).MaxFailures)
}

// completeTask marks a task as done on the given worker. If the leased attempt succeeded
// (current), its lease ends. Otherwise the leased attempt is stopped as a duplicate, unless
// it belongs to a gang: then it ends by itself.
func (s *Store) completeTask(ref taskRef, worker string, current bool) {
	task := *s.taskAt(ref)
	task.State, task.EndedAt, task.CompletedOn = Done, s.now, worker
	if current {
		task.Lease = Lease{}
	} else if task.Lease.Held() && task.Lease.StopReason == "" && s.specAt(ref).Gang == "" {
		task.Lease.StopReason = stopReasonDuplicate
	}
	s.setTask(ref, task)
}

// countFailure returns the task with a failure of its leased attempt added. The failure of
// a gang member counts for every member of the gang, once per attempt number.
func (s *Store) countFailure(ref taskRef, task Task) Task {
	attemptNumber := task.Lease.AttemptNumber
	if s.specAt(ref).Gang == "" || task.LastFailedAttempt != attemptNumber {
		task.Failures, task.LastFailedAttempt = task.Failures+1, attemptNumber
	}
	s.countGangFailure(ref, attemptNumber)
	return task
}

// appendFailedOn adds a worker to those that a task has failed on, if it is not among them.
// The given slice is not modified.
func appendFailedOn(workers []string, worker string) []string {
	if slices.Contains(workers, worker) {
		return workers
	}
	return append(slices.Clone(workers), worker)
}

package state

import (
	"cmp"
	"fmt"
	"slices"
)

// Attempt names one attempt to run one task. Its Number is never used again.
type Attempt struct {
	Job    string `json:"job"`
	Task   string `json:"task"`
	Number int    `json:"try"`
}

func (a Attempt) compare(b Attempt) int {
	return cmp.Or(cmp.Compare(a.Job, b.Job), cmp.Compare(a.Task, b.Task), cmp.Compare(a.Number, b.Number))
}

// String gives "job/task/number".
func (a Attempt) String() string { return fmt.Sprintf("%s/%s/%d", a.Job, a.Task, a.Number) }

// AttemptResult is the end of an attempt, as its worker reports it. Lost is an end
// through no fault of the attempt, which counts for nothing; Checkpoint is what it
// had saved by then.
type AttemptResult struct {
	Attempt
	Succeeded  bool   `json:"good"`
	Stopped    bool   `json:"stopped,omitempty"`
	Lost       bool   `json:"lost,omitempty"`
	Reason     string `json:"why,omitempty"`
	Checkpoint string `json:"saved,omitempty"`
	Percent    int    `json:"percent,omitempty"`
}

// Progress is what a running attempt has saved, and how far it says it is.
type Progress struct {
	Attempt
	Checkpoint string `json:"saved"`
	Percent    int    `json:"percent,omitempty"`
}

// endAttempt takes one reported end. A success completes the task whichever attempt
// it was; a failure counts once, and only for the lease in force.
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

// endDecision is the audit's line on a reported end.
func endDecision(end *AttemptResult, worker string) Decision {
	return Decision{
		Kind: decisionEndAttempt, Job: end.Job, Task: end.Task, AttemptNumber: end.Number,
		Worker: worker, Succeeded: end.Succeeded,
	}
}

// failAttempt counts the failure of the attempt that a task is leased for. The task
// is ready again unless that was one failure too many.
func (s *Store) failAttempt(ref taskRef, task Task, end *AttemptResult) {
	s.audit.record(endDecision(end, task.Lease.Worker))
	task = s.countFailure(ref, task)
	task.FailedOn = appendFailedOn(task.FailedOn, task.Lease.Worker)
	task.Lease = Lease{}
	task.Reason = cmp.Or(end.Reason, stopReasonRunLimit)
	s.storeUnleased(ref, task, task.Failures >= s.specAt(ref).MaxFailures)
}

// completeTask closes a task that succeeded. Unless the attempt that did is the one
// leased, the leased one is left to end by itself if it is of a gang, and else stopped.
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

// countFailure counts the failure of the leased attempt. One of a gang counts for
// every member, once.
func (s *Store) countFailure(ref taskRef, task Task) Task {
	attemptNumber := task.Lease.AttemptNumber
	if s.specAt(ref).Gang == "" || task.LastFailedAttempt != attemptNumber {
		task.Failures, task.LastFailedAttempt = task.Failures+1, attemptNumber
	}
	s.countGangFailure(ref, attemptNumber)
	return task
}

// appendFailedOn adds a worker to those that a task has failed on.
func appendFailedOn(workers []string, worker string) []string {
	if slices.Contains(workers, worker) {
		return workers
	}
	return append(slices.Clone(workers), worker)
}

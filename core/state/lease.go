package state

import (
	"cmp"
	"slices"
	"time"

	"sorrelloom/core/config"
)

// Why a lease is to be stopped. The texts are stored in leases, where replicas of
// other versions compare them: they stay as they are.
const (
	stopReasonGang       = "the gang is not whole"
	stopReasonRunLimit   = "the run limit passed"
	stopReasonDuplicate  = "another attempt ended well"
	stopReasonZoneDrain  = "the site is emptied"
	stopReasonPreemptFor = "pushed out for "
)

// Why a lease was returned. These texts are stored as well.
const (
	returnReasonNotRunning     = "the worker does not run it"
	returnReasonWorkerReplaced = "its worker was replaced"
	returnReasonWorkerLost     = "the worker went silent"
	returnReasonLongRunning    = "ended"
	returnReasonStopped        = "stopped"
)

// startOrderLifetime is how long after a heartbeat a worker takes starts from its reply, by
// its contract. The start timeout of the limits is another: after it a gang is stopped.
const startOrderLifetime = 2 * time.Second

// Lease is the right and the order for one worker to run one attempt of a task.
//
// A task has at most one. It leaves its worker only when the worker says that it
// does not run the attempt, or when the attempt must have ended: its run limit, the
// last lease expiry that the worker can have been told, and a margin have passed.
// Even then a task that may have succeeded is held for a word, unless its class or
// itself says restart (heldForLostWorker). A success counts from any attempt.
type Lease struct {
	AttemptNumber int    `json:"try"`
	Worker        string `json:"worker"`
	Incarnation   int64  `json:"incarnation"`
	// HeartbeatNumber is that of the worker's last report when the lease was granted.
	HeartbeatNumber uint64        `json:"beat"`
	GrantedAt       time.Duration `json:"grantedAt"`
	// RunLimit is how long the worker was told that the attempt may run.
	RunLimit time.Duration `json:"limit"`
	// StartedAt is when the worker first listed the attempt.
	StartedAt time.Duration `json:"startedAt,omitempty"`
	// OrphanUntil is set once the worker has come back in another incarnation: until
	// then the attempt may still run.
	OrphanUntil time.Duration `json:"orphanUntil,omitempty"`
	// Borrowed says that it was granted over the share of its class.
	Borrowed bool `json:"borrowed,omitempty"`
	// StopReason, once set, says why the attempt is to be stopped.
	StopReason string `json:"stop,omitempty"`
}

// Held says whether there is a lease: the zero value is none.
func (l Lease) Held() bool { return l.AttemptNumber > 0 }

// heldBy says whether a lease is held by the worker of a heartbeat, in its incarnation.
func (l Lease) heldBy(hb *Heartbeat) bool {
	return l.Worker == hb.Worker && l.Incarnation == hb.Incarnation
}

// covers says whether the worker of a heartbeat runs an attempt under the lease.
func (l Lease) covers(attempt Attempt, hb *Heartbeat) bool {
	return l.heldBy(hb) && l.AttemptNumber == attempt.Number
}

// attemptOf is the attempt that a task is leased for.
func (s *Store) attemptOf(ref taskRef) Attempt {
	job := s.jobs[ref.job]
	return Attempt{ref.job, job.Spec.Tasks[ref.index].ID, job.Tasks[ref.index].Lease.AttemptNumber}
}

// leasedTasks gives the tasks that are leased to a worker, by their numbers.
func (s *Store) leasedTasks(worker string) []taskRef {
	leases := s.usageOf(worker).leases
	refs := make([]taskRef, 0, len(leases))
	for i := range leases {
		refs = append(refs, leases[i].ref)
	}
	return refs
}

// returnLease takes a lease back without a failure, but for one that was stopped at
// its run limit. The loss of its worker is counted if lost says so.
func (s *Store) returnLease(ref taskRef, lost bool, reason string) {
	task := *s.taskAt(ref)
	if task.Lease.StopReason == stopReasonRunLimit {
		task = s.countFailure(ref, task)
		task.FailedOn = appendFailedOn(task.FailedOn, task.Lease.Worker)
		reason = stopReasonRunLimit
	}
	s.audit.record(Decision{
		Kind: decisionReturnLease, Job: ref.job, Task: s.specAt(ref).ID,
		AttemptNumber: task.Lease.AttemptNumber, Worker: task.Lease.Worker,
	})
	if lost {
		task.Losses++
	}
	task.Lease, task.Reason = Lease{}, reason
	spent := task.Losses > s.config.Limits.MaxLostAttempts || task.Failures >= s.specAt(ref).MaxFailures
	s.storeUnleased(ref, task, spent)
}

// storeUnleased stores a task whose lease is over: ready again, or failed for good
// with its job. The rest of its gang is stopped with it.
func (s *Store) storeUnleased(ref taskRef, task Task, spent bool) {
	if task.State == Ready {
		task.ReadyAt = s.now
	}
	if spent && !task.Terminal() {
		task.State, task.EndedAt = Failed, s.now
	}
	s.setTask(ref, task)
	s.stopGang(ref)
	if task.State == Failed {
		s.endJob(ref.job, Failed, "task "+s.specAt(ref).ID+" failed: "+task.Reason)
	}
	s.updateJobState(ref.job)
}

// stopLease has an attempt stopped, with the rest of its gang.
func (s *Store) stopLease(ref taskRef, reason string) {
	task := *s.taskAt(ref)
	task.Lease.StopReason = reason
	s.setTask(ref, task)
	s.stopGang(ref)
}

// stopUnstarted stops what a worker has not started yet; what runs may end.
func (s *Store) stopUnstarted(worker, reason string) {
	for _, ref := range s.leasedTasks(worker) {
		task := *s.taskAt(ref)
		if task.Lease.StartedAt == 0 && task.Lease.StopReason == "" {
			task.Lease.StopReason = reason
			s.setTask(ref, task)
		}
	}
}

// latestEnd is when an attempt must have ended without a word from its worker.
//
// The worker stops it at the latest when the last lease that it can have been told
// expires, where it is configured to, or else at the run limit after the latest time
// that it can have started; the margin covers the drift of its clock.
func (s *Store) latestEnd(lease Lease) time.Duration {
	if lease.OrphanUntil > 0 {
		return lease.OrphanUntil
	}
	limits, worker, startedAt := s.config.Limits, s.workerRecord(lease.Worker), lease.StartedAt
	expiresAt := max(worker.LeaseExpiresAt, lease.GrantedAt+limits.LeaseDuration.Duration)
	if limits.KilledAtLeaseExpiry {
		return expiresAt + limits.ExpiryMargin.Duration
	}
	if startedAt == 0 {
		startedAt = max(worker.LastSeenAt, lease.GrantedAt) + startOrderLifetime
	}
	return max(expiresAt, startedAt+lease.RunLimit) + limits.ExpiryMargin.Duration
}

// heldForLostWorker says whether only a word, the worker's or an operator's, frees a
// task whose worker is silent: it may have succeeded, and must not start again.
func (s *Store) heldForLostWorker(job *Job, i int) bool {
	task, policy := job.Tasks[i], job.Spec.Tasks[i].LostWorkerPolicy
	if policy == "" {
		policy = s.classOf(&job.Spec).LostWorkerPolicy
	}
	return task.Lease.Held() && !task.Terminal() && policy != config.RestartOnLostWorker &&
		task.Lease.OrphanUntil == 0 && !s.workerRecord(task.Lease.Worker).ConfirmedDead
}

// leaseLapsed says whether a lease is over by the silence of its worker.
func (s *Store) leaseLapsed(now time.Duration, ref taskRef) bool {
	job := s.jobs[ref.job]
	return now > s.latestEnd(job.Tasks[ref.index].Lease) && !s.heldForLostWorker(job, ref.index)
}

// silenceCounts says whether a worker that is not heard is silent: the primary must have
// served without a pause for long enough to hear it. While nobody served, a worker may have
// succeeded and found nobody to tell.
func (s *Store) silenceCounts(now, servingSince time.Duration) bool {
	return servingSince == 0 || now >= servingSince+s.config.Limits.HeartbeatTimeout.Duration
}

// anyLeaseLapsed says whether any lease is over by the silence of its worker.
func (s *Store) anyLeaseLapsed(now time.Duration) bool {
	for id, usage := range s.usage {
		if s.noneDue(now, id, usage) {
			continue
		}
		if slices.ContainsFunc(usage.leases, func(leased leasedTask) bool { return s.leaseLapsed(now, leased.ref) }) {
			return true
		}
	}
	return false
}

// noneDue says of a worker at a glance that none of its leases is to be returned or stopped
// now. Where workers end what they run at the expiry of their own lease, that holds while
// this has not come, but for leases of an earlier incarnation and for those not started yet.
func (s *Store) noneDue(now time.Duration, id string, usage *workerUsage) bool {
	limits := &s.config.Limits
	if len(usage.leases) == 0 {
		return true
	}
	return limits.KilledAtLeaseExpiry && usage.orphanCount+usage.unstartedCount == 0 &&
		now <= s.workerRecord(id).LeaseExpiresAt+limits.ExpiryMargin.Duration
}

// dueStopReason says why a lease is to be stopped now, nothing if it is not.
func (s *Store) dueStopReason(now time.Duration, ref taskRef) string {
	limits, lease := &s.config.Limits, &s.taskAt(ref).Lease
	switch {
	case lease.StopReason != "":
	case lease.StartedAt > 0 && !limits.KilledAtLeaseExpiry &&
		s.workerRecord(lease.Worker).LastSeenAt > lease.StartedAt+lease.RunLimit:
		return stopReasonRunLimit
	case lease.StartedAt == 0 && s.specAt(ref).Gang != "" && now > lease.GrantedAt+limits.StartTimeout.Duration:
		return stopReasonGang
	}
	return ""
}

// dueLeases gives the leases that are to be returned or stopped, by worker and then
// by task number. It is asked often and mostly finds none, so only these are sorted.
func (s *Store) dueLeases(now time.Duration) []taskRef {
	var due []taskRef
	for id, usage := range s.usage {
		if s.noneDue(now, id, usage) {
			continue
		}
		for i := range usage.leases {
			if ref := usage.leases[i].ref; s.leaseLapsed(now, ref) || s.dueStopReason(now, ref) != "" {
				due = append(due, ref)
			}
		}
	}
	slices.SortFunc(due, func(a, b taskRef) int { return compareByWorker(s.taskAt(a), s.taskAt(b)) })
	return due
}

// compareByWorker orders leased tasks by worker and then by task number.
func compareByWorker(a, b *Task) int {
	return cmp.Or(cmp.Compare(a.Lease.Worker, b.Lease.Worker), cmp.Compare(a.Number, b.Number))
}

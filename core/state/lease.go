package state

import (
	"cmp"
	"slices"
	"time"

	"sorrelloom/core/config"
)

// Reasons for stopping a leased attempt. The texts are stored in leases and compared by
// replicas of other versions, so they must not change.
const (
	stopReasonGang       = "the gang is not whole"
	stopReasonRunLimit   = "the run limit passed"
	stopReasonDuplicate  = "another attempt ended well"
	stopReasonZoneDrain  = "the site is emptied"
	stopReasonPreemptFor = "pushed out for "
)

// Reasons for which a lease was returned. These texts are stored as well.
const (
	returnReasonNotRunning     = "the worker does not run it"
	returnReasonWorkerReplaced = "its worker was replaced"
	returnReasonWorkerLost     = "the worker went silent"
	returnReasonLongRunning    = "ended"
	returnReasonStopped        = "stopped"
)

// startOrderLifetime is how long after sending a heartbeat a worker accepts start orders from
// the reply, according to the worker protocol. It differs from Limits.GangStartTimeout, after
// which a gang that has not started is stopped.
const startOrderLifetime = 2 * time.Second

// Lease authorizes and obliges one worker to run one attempt of a task.
//
// A task has at most one lease. The lease is returned only when the worker reports that it does
// not run the attempt, or when the attempt must have ended (latestEnd): the latest expiry of
// the worker's own lease that the worker can know of, a margin and, unless attempts are killed
// at that expiry, its run limit have passed. Even then a task that may have succeeded keeps its
// lease until the worker or an operator reports, unless the lost-worker policy of the task or
// its class is to restart it (heldForLostWorker). A success counts whichever attempt it comes
// from.
type Lease struct {
	AttemptNumber int    `json:"try"`
	Worker        string `json:"worker"`
	Incarnation   int64  `json:"incarnation"`
	// HeartbeatNumber is the number of the worker's last heartbeat when the lease was
	// granted.
	HeartbeatNumber uint64        `json:"beat"`
	GrantedAt       time.Duration `json:"grantedAt"`
	// RunLimit is how long the attempt may run, as sent to the worker in the start order.
	RunLimit time.Duration `json:"limit"`
	// StartedAt is when the worker first listed the attempt.
	StartedAt time.Duration `json:"startedAt,omitempty"`
	// OrphanUntil is set once the worker has restarted as another incarnation. The
	// attempt of the earlier one may still run until then.
	OrphanUntil time.Duration `json:"orphanUntil,omitempty"`
	// Borrowed means that the lease was granted beyond the share of its class.
	Borrowed bool `json:"borrowed,omitempty"`
	// StopReason is why the attempt is to be stopped; empty if it is not.
	StopReason string `json:"stop,omitempty"`
}

// Held reports whether there is a lease; the zero value means that there is none.
func (l Lease) Held() bool { return l.AttemptNumber > 0 }

// heldBy reports whether a lease is held by the worker of a heartbeat, in its incarnation.
func (l Lease) heldBy(hb *Heartbeat) bool {
	return l.Worker == hb.Worker && l.Incarnation == hb.Incarnation
}

// covers reports whether the worker of a heartbeat runs an attempt under the lease.
func (l Lease) covers(attempt Attempt, hb *Heartbeat) bool {
	return l.heldBy(hb) && l.AttemptNumber == attempt.Number
}

// attemptOf returns the attempt that a task is leased for.
func (s *Store) attemptOf(ref taskRef) Attempt {
	job := s.jobs[ref.job]
	return Attempt{ref.job, job.Spec.Tasks[ref.index].ID, job.Tasks[ref.index].Lease.AttemptNumber}
}

// leasedTasks returns the tasks that are leased to a worker, sorted by task number.
func (s *Store) leasedTasks(worker string) []taskRef {
	leases := s.usageOf(worker).leases
	refs := make([]taskRef, 0, len(leases))
	for i := range leases {
		refs = append(refs, leases[i].ref)
	}
	return refs
}

// returnLease ends a lease. A lease that was stopped at its run limit counts as a failure
// of the task, any other does not. If lost is set, the loss of the worker is counted.
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

// storeUnleased stores a task whose lease has ended. The task is ready again or, if it has
// spent its retries, fails for good and its job with it. The other members of its gang are
// stopped.
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

// stopLease requests the stop of a leased attempt and of the other members of its gang.
func (s *Store) stopLease(ref taskRef, reason string) {
	task := *s.taskAt(ref)
	task.Lease.StopReason = reason
	s.setTask(ref, task)
	s.stopGang(ref)
}

// stopUnstarted requests the stop of all leases of a worker that it has not started yet;
// running attempts may finish.
func (s *Store) stopUnstarted(worker, reason string) {
	for _, ref := range s.leasedTasks(worker) {
		task := *s.taskAt(ref)
		if task.Lease.StartedAt == 0 && task.Lease.StopReason == "" {
			task.Lease.StopReason = reason
			s.setTask(ref, task)
		}
	}
}

// latestEnd returns the time by which an attempt must have ended even if its worker stays
// silent.
//
// If attempts are killed at the expiry of the worker's lease (KilledAtLeaseExpiry), that is
// the latest expiry that the worker can know of. Otherwise it is that expiry or the latest
// possible start plus the run limit, whichever is later. In both cases a margin is added
// for the drift of the worker's clock.
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

// heldForLostWorker reports whether a task whose worker is silent keeps its lease until
// the worker or an operator reports on it: the attempt may have succeeded, and the task
// must not start again.
func (s *Store) heldForLostWorker(job *Job, i int) bool {
	task, policy := job.Tasks[i], job.Spec.Tasks[i].LostWorkerPolicy
	if policy == "" {
		policy = s.classOf(&job.Spec).LostWorkerPolicy
	}
	return task.Lease.Held() && !task.Terminal() && policy != config.RestartOnLostWorker &&
		task.Lease.OrphanUntil == 0 && !s.workerRecord(task.Lease.Worker).ConfirmedDead
}

// leaseLapsed reports whether a lease has ended because of its worker's silence.
func (s *Store) leaseLapsed(now time.Duration, ref taskRef) bool {
	job := s.jobs[ref.job]
	return now > s.latestEnd(job.Tasks[ref.index].Lease) && !s.heldForLostWorker(job, ref.index)
}

// silenceIsConclusive reports whether missing heartbeats show that a worker is silent: the
// primary must have served without a pause for the heartbeat timeout. While no primary was
// serving, a worker may have succeeded and had nobody to report to. A servingSince of zero
// comes from an earlier release and always counts.
func (s *Store) silenceIsConclusive(now, servingSince time.Duration) bool {
	return servingSince == 0 || now >= servingSince+s.config.Limits.HeartbeatTimeout.Duration
}

// anyLeaseLapsed reports whether any lease has ended because of its worker's silence.
func (s *Store) anyLeaseLapsed(now time.Duration) bool {
	for id, usage := range s.usage {
		if s.hasNoDueLeases(now, id, usage) {
			continue
		}
		if slices.ContainsFunc(usage.leases, func(leased leasedTask) bool { return s.leaseLapsed(now, leased.ref) }) {
			return true
		}
	}
	return false
}

// hasNoDueLeases is a quick check that no lease of a worker is to be returned or stopped now; false
// means only that each lease must be checked. If attempts are killed at the expiry of the
// worker's lease, none is due before that expiry and its margin, except leases of an earlier
// incarnation and leases not started yet.
func (s *Store) hasNoDueLeases(now time.Duration, id string, usage *workerUsage) bool {
	limits := &s.config.Limits
	if len(usage.leases) == 0 {
		return true
	}
	return limits.KilledAtLeaseExpiry && usage.orphanCount+usage.unstartedCount == 0 &&
		now <= s.workerRecord(id).LeaseExpiresAt+limits.ExpiryMargin.Duration
}

// dueStopReason returns why a lease is to be stopped now; empty if it is not.
func (s *Store) dueStopReason(now time.Duration, ref taskRef) string {
	limits, lease := &s.config.Limits, &s.taskAt(ref).Lease
	switch {
	case lease.StopReason != "":
	case lease.StartedAt > 0 && !limits.KilledAtLeaseExpiry &&
		s.workerRecord(lease.Worker).LastSeenAt > lease.StartedAt+lease.RunLimit:
		return stopReasonRunLimit
	case lease.StartedAt == 0 && s.specAt(ref).Gang != "" && now > lease.GrantedAt+limits.GangStartTimeout.Duration:
		return stopReasonGang
	}
	return ""
}

// dueLeases returns the leases that are to be returned or stopped, sorted by worker and
// then by task number. It is called often and mostly finds none, so it sorts only the
// leases found.
func (s *Store) dueLeases(now time.Duration) []taskRef {
	var due []taskRef
	for id, usage := range s.usage {
		if s.hasNoDueLeases(now, id, usage) {
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

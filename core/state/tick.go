package state

import (
	"cmp"
	"slices"
	"time"

	"sorrelloom/core/status"
)

// timedAction is a change that a tick makes because it is due. If job is set, makeTasksReady
// runs for that job afterwards.
type timedAction struct {
	job   string
	apply func()
}

// TickDue reports whether a primary that has served without a pause since servingSince should
// send a tick at the given time: the tick would change the state, and replicas of all releases
// would apply it in the same way.
//
// Earlier releases return lapsed leases even if the primary could not yet have received
// heartbeats. No tick is due while that would make a difference, so that the states of
// replicas of both releases stay equal.
func (s *Store) TickDue(now, servingSince time.Duration) bool {
	if !s.silenceIsConclusive(now, servingSince) && s.anyLeaseLapsed(now) {
		return false
	}
	return len(s.dueActions(now, servingSince)) > 0
}

// tick carries out all actions that are due by state time.
func (s *Store) tick(servingSince time.Duration) Result {
	for _, action := range s.dueActions(s.now, servingSince) {
		action.apply()
		if action.job != "" {
			s.makeTasksReady(action.job)
		}
	}
	return Result{Code: status.OK}
}

// dueActions returns the actions that are due at a time, in the order in which they are
// carried out.
func (s *Store) dueActions(now, servingSince time.Duration) []timedAction {
	var actions []timedAction
	actions = s.appendDeadlines(actions, now)
	actions = s.appendDueTasks(actions, now)
	actions = s.appendDueLeases(actions, now, servingSince)
	actions = s.appendExpiredRecords(actions, now)
	return actions
}

// appendDeadlines appends actions that fail the jobs whose deadline has passed.
func (s *Store) appendDeadlines(actions []timedAction, now time.Duration) []timedAction {
	overdue := dueKeys(s.activeJobs, func(id string, _ bool) bool {
		job := s.jobs[id]
		deadline := job.Spec.Deadline.Duration
		return deadline > 0 && job.EndingState == "" && now > job.AcceptedAt+deadline
	})
	for _, id := range overdue {
		actions = append(actions, timedAction{id, func() { s.endJob(id, Failed, endReasonDeadline) }})
	}
	return actions
}

// dueKeys returns the keys of the values that are due, sorted. It is called often and mostly
// finds none, so it sorts only the keys found.
func dueKeys[V any](values map[string]V, isDue func(id string, value V) bool) []string {
	var keys []string
	for id, value := range values {
		if isDue(id, value) {
			keys = append(keys, id)
		}
	}
	slices.Sort(keys)
	return keys
}

// appendDueTasks appends empty actions for the jobs with tasks whose due time has come; the
// tick makes their tasks ready.
func (s *Store) appendDueTasks(actions []timedAction, now time.Duration) []timedAction {
	var due []taskRef
	for ref := range s.timedTasks {
		if now >= s.taskAt(ref).DueAt && s.jobs[ref.job].EndingState == "" && s.dependenciesDone(ref) {
			due = append(due, ref)
		}
	}
	slices.SortFunc(due, func(a, b taskRef) int {
		return cmp.Or(cmp.Compare(a.job, b.job), cmp.Compare(a.index, b.index))
	})
	for _, ref := range due {
		actions = append(actions, timedAction{ref.job, func() {}})
	}
	return actions
}

// appendDueLeases appends actions that return the leases that have lapsed, if the primary has
// served long enough to tell, and stop the leases that are to be stopped.
func (s *Store) appendDueLeases(actions []timedAction, now, servingSince time.Duration) []timedAction {
	conclusive := s.silenceIsConclusive(now, servingSince)
	for _, ref := range s.dueLeases(now) {
		if s.leaseLapsed(now, ref) {
			if !conclusive {
				continue
			}
			lost := s.taskAt(ref).Lease.StartedAt > 0
			actions = append(actions, timedAction{ref.job, func() {
				if s.taskAt(ref).Lease.Held() {
					s.returnLease(ref, lost, returnReasonWorkerLost)
				}
			}})
			continue
		}
		reason := s.dueStopReason(now, ref)
		actions = append(actions, timedAction{ref.job, func() { s.stopLease(ref, reason) }})
	}
	return actions
}

// appendExpiredRecords appends actions that drop records after their retention: those of ended
// jobs, past jobs, silent workers and schedulers, and operators' writes.
func (s *Store) appendExpiredRecords(actions []timedAction, now time.Duration) []timedAction {
	retention := s.config.Limits.FinishedRetention.Duration
	for _, id := range s.endedJobs {
		if now <= s.jobs[id].EndedAt+retention {
			break
		}
		actions = append(actions, timedAction{"", func() { s.forgetJob(id) }})
	}
	margin := s.config.Limits.ExpiryMargin.Duration
	expiredWorkers := dueKeys(s.workers, func(id string, worker *Worker) bool {
		return now > worker.LeaseExpiresAt+margin+retention && s.LeaseCount(id) == 0
	})
	for _, id := range expiredWorkers {
		actions = append(actions, timedAction{"", func() { s.forgetWorker(id) }})
	}
	if requests, configRequests, pastJobs := s.expiredKeys(now); len(requests)+len(configRequests)+len(pastJobs) > 0 {
		actions = append(actions, timedAction{"", func() { s.forgetExpired(now) }})
	}
	expiredSchedulers := dueKeys(s.schedulers, func(_ string, scheduler Scheduler) bool {
		return now > scheduler.LastSeenAt+retention
	})
	for _, id := range expiredSchedulers {
		actions = append(actions, timedAction{"", func() { delete(s.schedulers, id) }})
	}
	return actions
}

package state

import (
	"cmp"
	"slices"
	"time"

	"sorrelloom/core/status"
)

// timedAction is what a tick does because its time has come. If it is on a job, the
// job's tasks are looked at after it.
type timedAction struct {
	job   string
	apply func()
}

// TickDue reports whether a tick at the given time would change anything, and may be sent by
// a primary that has served without a pause since the time servingSince.
//
// A tick that earlier releases would carry out in another way is held back: they return
// lapsed leases although no worker could be heard. Replicas of both then stay the same.
func (s *Store) TickDue(now, servingSince time.Duration) bool {
	if !s.silenceIsConclusive(now, servingSince) && s.anyLeaseLapsed(now) {
		return false
	}
	return len(s.dueActions(now, servingSince)) > 0
}

// tick carries out what is due by state time.
func (s *Store) tick(servingSince time.Duration) Result {
	for _, action := range s.dueActions(s.now, servingSince) {
		action.apply()
		if action.job != "" {
			s.makeTasksReady(action.job)
		}
	}
	return Result{Code: status.OK}
}

// dueActions returns what is due at a time, in the order in which it is carried out.
func (s *Store) dueActions(now, servingSince time.Duration) []timedAction {
	var actions []timedAction
	actions = s.appendDeadlines(actions, now)
	actions = s.appendDueTasks(actions, now)
	actions = s.appendDueLeases(actions, now, servingSince)
	actions = s.appendForgetting(actions, now)
	return actions
}

// appendDeadlines fails the jobs whose deadline has passed.
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

// dueKeys returns the keys of what is due, in order. It is asked often and mostly finds none,
// so only these are sorted.
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

// appendDueTasks has the jobs looked at with tasks whose due time has come.
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

// appendDueLeases returns the leases that have lapsed and stops those that are to be.
func (s *Store) appendDueLeases(actions []timedAction, now, servingSince time.Duration) []timedAction {
	silenceCounts := s.silenceIsConclusive(now, servingSince)
	for _, ref := range s.dueLeases(now) {
		if s.leaseLapsed(now, ref) {
			if !silenceCounts {
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

// appendForgetting drops the records that were kept long enough: of jobs that ended, of
// workers and schedulers that are gone, and of operators' writes.
func (s *Store) appendForgetting(actions []timedAction, now time.Duration) []timedAction {
	retention := s.config.Limits.FinishedRetention.Duration
	for _, id := range s.endedJobs {
		if now <= s.jobs[id].EndedAt+retention {
			break
		}
		actions = append(actions, timedAction{"", func() { s.forgetJob(id) }})
	}
	margin := s.config.Limits.ExpiryMargin.Duration
	gone := dueKeys(s.workers, func(id string, worker *Worker) bool {
		return now > worker.LeaseExpiresAt+margin+retention && s.LeaseCount(id) == 0
	})
	for _, id := range gone {
		actions = append(actions, timedAction{"", func() { s.forgetWorker(id) }})
	}
	if requests, configRequests, pastJobs := s.expiredKeys(now); len(requests)+len(configRequests)+len(pastJobs) > 0 {
		actions = append(actions, timedAction{"", func() { s.forgetExpired(now) }})
	}
	silent := dueKeys(s.schedulers, func(_ string, scheduler Scheduler) bool {
		return now > scheduler.LastSeenAt+retention
	})
	for _, id := range silent {
		actions = append(actions, timedAction{"", func() { delete(s.schedulers, id) }})
	}
	return actions
}

package state

import (
	"slices"
	"time"
)

// DueLeases returns the attempts whose leases are to be returned or stopped at the given time.
func (s *Store) DueLeases(now time.Duration) []Attempt {
	var due []Attempt
	for _, ref := range s.dueLeases(now) {
		due = append(due, s.attemptOf(ref))
	}
	return due
}

// ScanDueLeases computes the result of DueLeases from every task of every job, without the
// indexes, and reports whether any lease has lapsed.
func (s *Store) ScanDueLeases(now time.Duration) (due []Attempt, anyLapsed bool) {
	var refs []taskRef
	for id, job := range s.jobs {
		for i, task := range job.Tasks {
			ref := taskRef{id, i}
			if !task.Lease.Held() {
				continue
			}
			lapsed := s.leaseLapsed(now, ref)
			anyLapsed = anyLapsed || lapsed
			if lapsed || s.dueStopReason(now, ref) != "" {
				refs = append(refs, ref)
			}
		}
	}
	slices.SortFunc(refs, func(a, b taskRef) int { return compareByWorker(s.taskAt(a), s.taskAt(b)) })
	for _, ref := range refs {
		due = append(due, s.attemptOf(ref))
	}
	return due, anyLapsed
}

// AnyLeaseLapsed reports whether any lease has lapsed because its worker is silent.
func (s *Store) AnyLeaseLapsed(now time.Duration) bool { return s.anyLeaseLapsed(now) }

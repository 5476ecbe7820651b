package state

import (
	"slices"
	"time"
)

// DueLeases are the attempts whose leases are to be returned or stopped at a time.
func (s *Store) DueLeases(now time.Duration) []Attempt {
	var due []Attempt
	for _, ref := range s.dueLeases(now) {
		due = append(due, s.attemptOf(ref))
	}
	return due
}

// ScanDueLeases looks at each task for what DueLeases gives, and whether any lease has lapsed.
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

// AnyLeaseLapsed says whether any lease is over by the silence of its worker.
func (s *Store) AnyLeaseLapsed(now time.Duration) bool { return s.anyLeaseLapsed(now) }

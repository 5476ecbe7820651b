package state

import (
	"time"

	"sorrelloom/core/status"
)

// Renewal extends one worker's own lease, the time until which the worker may run its
// attempts without another heartbeat.
type Renewal struct {
	Worker string `json:"worker"`
	// Number is the number of the worker's last heartbeat in its Incarnation.
	Incarnation int64  `json:"incarnation"`
	Number      uint64 `json:"number"`
	// Age is how long before the command that heartbeat was received.
	Age time.Duration `json:"ago,omitempty"`
}

// renewed returns the worker's record after a renewal. The renewal may be older than the
// record: no field ever decreases.
func (w Worker) renewed(renewal *Renewal, seenAt, expiresAt time.Duration) Worker {
	if renewal.Incarnation == w.Incarnation {
		w.Number = max(w.Number, renewal.Number)
	}
	w.LastSeenAt = max(w.LastSeenAt, seenAt)
	w.LeaseExpiresAt = max(w.LeaseExpiresAt, expiresAt)
	return w
}

// renewWorkers extends the leases of the given workers; unknown ones are skipped.
func (s *Store) renewWorkers(renewals []Renewal) Result {
	for i := range renewals {
		renewal := &renewals[i]
		worker, known := s.workers[renewal.Worker]
		if !known {
			continue
		}
		seenAt := s.now - max(0, renewal.Age)
		expiresAt := seenAt + s.config.Limits.LeaseDuration.Duration
		wasLive := s.Live(worker)
		s.setWorker(worker.renewed(renewal, seenAt, expiresAt))
		if !wasLive {
			s.changes = append(s.changes, Change{Worker: renewal.Worker})
		}
	}
	return Result{Code: status.OK}
}

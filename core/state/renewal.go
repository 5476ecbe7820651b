package state

import (
	"time"

	"sorrelloom/core/status"
)

// Renewal extends one worker's lease: until when it may run what is leased to it without
// being heard again.
type Renewal struct {
	Worker string `json:"worker"`
	// Number is that of the worker's last report in its Incarnation.
	Incarnation int64  `json:"incarnation"`
	Number      uint64 `json:"number"`
	// Age is how long before the command that report came.
	Age time.Duration `json:"ago,omitempty"`
}

// renewed is the worker after a renewal that may be newer or older than its record: no
// part of it ever goes back.
func (w Worker) renewed(renewal *Renewal, seenAt, expiresAt time.Duration) Worker {
	if renewal.Incarnation == w.Incarnation {
		w.Number = max(w.Number, renewal.Number)
	}
	w.LastSeenAt = max(w.LastSeenAt, seenAt)
	w.LeaseExpiresAt = max(w.LeaseExpiresAt, expiresAt)
	return w
}

// renewWorkers extends the leases of the workers named; those that are not known are
// passed over.
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

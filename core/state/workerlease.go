package state

import (
	"time"

	"sorrelloom/core/status"
)

// Renewal extends one worker's lease.
type Renewal struct {
	Worker string `json:"worker"`
	// Number is that of the worker's last report in its Incarnation.
	Incarnation int64  `json:"incarnation"`
	Number      uint64 `json:"number"`
	// Age is how long before the command that report came.
	Age time.Duration `json:"ago,omitempty"`
}

// WorkerLease is the part of a worker's record that a renewal changes: until when it
// may run what is leased to it without being heard again.
type WorkerLease struct {
	Incarnation    int64         `json:"incarnation"`
	Number         uint64        `json:"number"`
	LastSeenAt     time.Duration `json:"seenAt"`
	LeaseExpiresAt time.Duration `json:"cutoffAt"`
}

// withLease is the worker with a lease that may be newer or older than its record: no
// part of it ever goes back.
func (w Worker) withLease(lease WorkerLease) Worker {
	if lease.Incarnation == w.Incarnation {
		w.Number = max(w.Number, lease.Number)
	}
	w.LastSeenAt = max(w.LastSeenAt, lease.LastSeenAt)
	w.LeaseExpiresAt = max(w.LeaseExpiresAt, lease.LeaseExpiresAt)
	return w
}

// renewWorkers extends the leases of the workers named; those that are not known are
// passed over.
func (s *Store) renewWorkers(renewals []Renewal) Result {
	for _, renewal := range renewals {
		worker, known := s.workers[renewal.Worker]
		if !known {
			continue
		}
		seenAt := s.now - max(0, renewal.Age)
		expiresAt := seenAt + s.config.Limits.LeaseDuration.Duration
		wasLive := s.Live(worker)
		s.setWorker(worker.withLease(WorkerLease{renewal.Incarnation, renewal.Number, seenAt, expiresAt}))
		if !wasLive {
			s.changes = append(s.changes, Change{Worker: renewal.Worker})
		}
	}
	return Result{Code: status.OK}
}

// Calm reports and renewals, in the primary's own process only. A report that
// changes nothing is answered without a command, with what is left of the lease
// that all disks have; the leases of all workers heard since are renewed together.

package scheduler

import (
	"maps"
	"slices"
	"time"

	"sorrelloom/core/machine"
	"sorrelloom/core/state"
	"sorrelloom/core/status"
)

const (
	// renewMost is the longest time between two renewals. It is shorter where the
	// plan's lease or its bound on silence is short.
	maxRenewalInterval = time.Second
	// renewLeast is the shortest time, also for a worker whose lease is nearly over.
	minRenewalInterval = 50 * time.Millisecond
	// renewsPerLease is how many renewals a lease lasts for at least, and
	// renewsPerSilence how many come before a worker counts as silent.
	renewalsPerLease            = 6
	renewalsPerHeartbeatTimeout = 6
)

// renewEach is the time between two renewals under a plan's limits.
func renewalInterval(lease, silent time.Duration) time.Duration {
	return max(minRenewalInterval, min(maxRenewalInterval, lease/renewalsPerLease, silent/renewalsPerHeartbeatTimeout))
}

// heard is what is known of a worker's last report. Cutoff is the end of the
// worker's lease that all disks have, Due says that a renewal is to carry the report.
type lastHeartbeat struct {
	incarnation int64
	number      uint64
	receivedAt  time.Duration
	leaseExpiry time.Duration
	renewalDue  bool
}

// promise is the end of a worker's lease once a command is on all disks.
type pendingLease struct {
	worker      string
	leaseExpiry time.Duration
}

// hearAnew begins with the leases of the ledger, all of which all disks have at
// the moment in which the lead comes.
func (s *Scheduler) resetHeartbeats() {
	s.lastHeartbeats, s.pendingLeases, s.nextRenewal = map[string]lastHeartbeat{}, map[uint64][]pendingLease{}, 0
	s.sentAt, s.oldestSentAt, s.lastCommandLatency = map[uint64]time.Duration{}, 0, 0
	if !s.access.IsLocal() {
		return
	}
	for _, w := range s.access.State().Workers() {
		s.lastHeartbeats[w.ID()] = lastHeartbeat{incarnation: w.Incarnation, number: w.Number, leaseExpiry: w.LeaseExpiresAt}
	}
}

// stale bounces a report that a later one has overtaken.
func (s *Scheduler) rejectStale(b state.Heartbeat) (state.Result, bool) {
	h, known := s.lastHeartbeats[b.Worker]
	if !known || h.incarnation != b.Incarnation || b.Number >= h.number {
		return state.Result{}, false
	}
	a := state.Result{Code: status.StaleHeartbeat, Reason: "a later report was taken"}
	a.Heartbeat.Incarnation, a.Heartbeat.HeartbeatNumber = h.incarnation, h.number
	return a, true
}

// hear takes a report: one that changes something becomes a command that says no
// more than that, or is put off; any other waits for the next renewal.
func (s *Scheduler) admitHeartbeat(now time.Duration, r pendingHeartbeat, out *machine.Output) {
	store, b := s.access.State(), r.heartbeat
	reduced, changes := store.ReduceHeartbeat(b)
	w, known := store.Worker(b.Worker)
	h := s.lastHeartbeats[b.Worker]
	if !known {
		h.leaseExpiry = 0
	}
	h.incarnation, h.number, h.receivedAt = b.Incarnation, b.Number, s.access.Time(now)
	r.receivedAt = h.receivedAt
	if !s.access.LeadershipConfirmed(now) {
		s.submitHeartbeat(now, r, h, reduced, out)
		return
	}
	if changes {
		after, taken := s.admission.admit(now)
		if taken {
			s.submitHeartbeat(now, r, h, reduced, out)
			return
		}
		h.renewalDue = known && w.Incarnation == b.Incarnation
		if h.renewalDue {
			s.lastHeartbeats[b.Worker] = h
		}
		s.reply(r, s.deferral(r, after), out)
		return
	}
	r.applied, r.recorded, r.unchanged, h.renewalDue = true, true, true, true
	s.lastHeartbeats[b.Worker] = h
	r.awaitsRenewal = s.leaseLeft(r) < store.Config().Limits.LeaseDuration.Duration/2
	if r.awaitsRenewal || !store.Live(w) {
		s.nextRenewal = min(s.nextRenewal, s.lastRenewal+minRenewalInterval)
	}
	s.heartbeats[b.Worker], s.changedWorkers[b.Worker] = r, true
}

// command submits a report with changes.
func (s *Scheduler) submitHeartbeat(now time.Duration, r pendingHeartbeat, h lastHeartbeat, reduced state.Heartbeat, out *machine.Output) {
	worker := r.heartbeat.Worker
	r.commandID = s.access.Submit(now, state.Command{Kind: state.KindHeartbeat, Heartbeat: reduced}, commandTimeout, out)
	s.commandSent(now, r.commandID)
	s.heartbeatCommands[r.commandID] = worker
	w, known := s.access.State().Worker(worker)
	if r.applied = known && w.Incarnation == r.heartbeat.Incarnation && w.Number == r.heartbeat.Number; r.applied {
		h.renewalDue = false
		s.lastHeartbeats[worker] = h
		s.pendingLeases[r.commandID] = []pendingLease{{worker, w.LeaseExpiresAt}}
	}
	s.heartbeats[worker], s.changedWorkers[worker] = r, true
}

// leaseLeft is what is left of a worker's lease on all disks, counted from when
// its report came.
func (s *Scheduler) leaseLeft(r pendingHeartbeat) time.Duration {
	left := s.lastHeartbeats[r.heartbeat.Worker].leaseExpiry - r.receivedAt
	return max(0, min(left, s.access.State().Config().Limits.LeaseDuration.Duration))
}

// renew extends the leases of all workers heard since the last renewal.
func (s *Scheduler) renewLeases(now time.Duration, out *machine.Output) {
	if !s.access.IsLocal() || now < s.nextRenewal || !s.access.LeadershipConfirmed(now) {
		return
	}
	limits := s.access.State().Config().Limits
	s.nextRenewal, s.lastRenewal = now+renewalInterval(limits.LeaseDuration.Duration, limits.HeartbeatTimeout.Duration), now
	maps.DeleteFunc(s.lastHeartbeats, func(id string, _ lastHeartbeat) bool {
		_, known := s.access.State().Worker(id)
		return !known
	})
	at := s.access.Time(now)
	var renewals []state.Renewal
	for _, id := range slices.Sorted(maps.Keys(s.lastHeartbeats)) {
		if h := s.lastHeartbeats[id]; h.renewalDue {
			renewals = append(renewals, state.Renewal{Worker: id, Incarnation: h.incarnation, Number: h.number, Age: at - h.receivedAt})
		}
	}
	if len(renewals) == 0 {
		return
	}
	id := s.access.Submit(now, state.Command{Kind: state.KindRenewWorkers, Renewals: renewals}, commandTimeout, out)
	for _, r := range renewals {
		h := s.lastHeartbeats[r.Worker]
		if w, known := s.access.State().Worker(r.Worker); known && w.LastSeenAt >= h.receivedAt {
			h.renewalDue = false
			s.lastHeartbeats[r.Worker] = h
			s.pendingLeases[id] = append(s.pendingLeases[id], pendingLease{r.Worker, w.LeaseExpiresAt})
		}
	}
}

// promised takes the end of a command: the leases that it extended are on all
// disks, and reports that waited for more of a lease are answered.
func (s *Scheduler) leasesCommitted(now time.Duration, id uint64, good bool) {
	for _, p := range s.pendingLeases[id] {
		h, known := s.lastHeartbeats[p.worker]
		if !known || !good {
			continue
		}
		h.leaseExpiry = max(h.leaseExpiry, p.leaseExpiry)
		s.lastHeartbeats[p.worker] = h
		if r, waits := s.heartbeats[p.worker]; waits && r.awaitsRenewal {
			r.replyBy = now
			s.changedWorkers[p.worker] = true
			s.heartbeats[p.worker] = r
		}
	}
	delete(s.pendingLeases, id)
}

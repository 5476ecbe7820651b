package scheduler

import (
	"maps"
	"slices"
	"time"

	"sorrelloom/core/machine"
	"sorrelloom/core/state"
	"sorrelloom/core/status"
)

// On the primary's own state, a heartbeat without changes is answered without a command,
// with the rest of the worker's committed lease. One command renews the leases of all workers
// that have sent a heartbeat since the last renewal.
//
// A reply never promises more than the committed lease: leaseExpiry is raised only by the
// result of the command that extended the lease. The next primary therefore honors every
// lease that a worker was promised.

const (
	// maxRenewalInterval limits the time between two renewals. A short lease or heartbeat
	// timeout in the configuration shortens it further.
	maxRenewalInterval = time.Second
	// minRenewalInterval applies even if a worker's lease is about to expire.
	minRenewalInterval = 50 * time.Millisecond
	// renewalsPerLease is the minimum number of renewals during one lease.
	renewalsPerLease = 6
	// renewalsPerHeartbeatTimeout is the minimum number of renewals before a worker counts as
	// silent.
	renewalsPerHeartbeatTimeout = 6
)

// lastHeartbeat holds the last heartbeat of a worker and the worker's committed lease.
type lastHeartbeat struct {
	incarnation int64
	number      uint64
	// receivedAt is the arrival time on the state machine's clock.
	receivedAt time.Duration
	// leaseExpiry is the expiry of the committed lease on the state machine's clock.
	leaseExpiry time.Duration
	// renewalDue means that the next renewal must include this heartbeat.
	renewalDue bool
}

// pendingLease is a lease extension whose command is not committed yet.
type pendingLease struct {
	worker      string
	leaseExpiry time.Duration
}

// leaseTracker tracks the committed lease and the pending extensions of each worker.
type leaseTracker struct {
	workers map[string]lastHeartbeat
	// pending holds the leases that a command extends, by command ID.
	pending     map[uint64][]pendingLease
	nextRenewal time.Duration
	lastRenewal time.Duration
}

// reset loads the leases from the state, all of which are committed when leadership is gained.
func (t *leaseTracker) reset(access StateAccess) {
	t.workers = map[string]lastHeartbeat{}
	t.pending = map[uint64][]pendingLease{}
	t.nextRenewal = 0
	if !access.IsLocal() {
		return
	}
	for _, entry := range access.State().WorkerEntries() {
		worker := entry.Record()
		t.workers[worker.ID()] = lastHeartbeat{
			incarnation: worker.Incarnation, number: worker.Number, leaseExpiry: worker.LeaseExpiresAt,
		}
	}
}

// requestRenewal schedules the next renewal for the earliest time that minRenewalInterval
// allows.
func (t *leaseTracker) requestRenewal() {
	t.nextRenewal = min(t.nextRenewal, t.lastRenewal+minRenewalInterval)
}

// rejectStale returns the result for a heartbeat that arrived after a later one of the same
// worker, and reports false for any other heartbeat.
func (t *leaseTracker) rejectStale(heartbeat state.Heartbeat) (state.Result, bool) {
	last, known := t.workers[heartbeat.Worker]
	if !known || last.incarnation != heartbeat.Incarnation || heartbeat.Number >= last.number {
		return state.Result{}, false
	}
	result := state.Result{Code: status.StaleHeartbeat, Reason: "a later heartbeat was taken"}
	result.Heartbeat.Incarnation, result.Heartbeat.HeartbeatNumber = last.incarnation, last.number
	return result, true
}

// dueRenewals returns the contents of the next renewal, sorted by worker.
func (t *leaseTracker) dueRenewals(stateTime time.Duration) []state.Renewal {
	var renewals []state.Renewal
	for _, id := range slices.Sorted(maps.Keys(t.workers)) {
		if last := t.workers[id]; last.renewalDue {
			renewals = append(renewals, state.Renewal{
				Worker: id, Incarnation: last.incarnation, Number: last.number, Age: stateTime - last.receivedAt,
			})
		}
	}
	return renewals
}

// leaseLeft returns the remaining time of a worker's committed lease when its heartbeat
// arrived.
func (s *Scheduler) leaseLeft(pending *pendingHeartbeat) time.Duration {
	left := s.leases.workers[pending.heartbeat.Worker].leaseExpiry - pending.receivedAt
	return max(0, min(left, s.access.State().Config().Limits.LeaseDuration.Duration))
}

// renewLeases renews the leases of all workers that have sent a heartbeat since the last
// renewal, if a renewal is due.
func (s *Scheduler) renewLeases(now time.Duration, out *machine.Output) {
	if !s.access.IsLocal() || now < s.leases.nextRenewal || !s.access.LeadershipConfirmed(now) {
		return
	}
	store := s.access.State()
	limits := store.Config().Limits
	interval := renewalInterval(limits.LeaseDuration.Duration, limits.HeartbeatTimeout.Duration)
	s.leases.nextRenewal, s.leases.lastRenewal = now+interval, now
	maps.DeleteFunc(s.leases.workers, func(id string, _ lastHeartbeat) bool {
		_, known := store.Worker(id)
		return !known
	})
	renewals := s.leases.dueRenewals(s.access.Time(now))
	if len(renewals) == 0 {
		return
	}
	command := state.Command{Kind: state.KindRenewWorkers, Renewals: renewals}
	id := s.access.Submit(now, command, commandTimeout, out)
	for _, renewal := range renewals {
		s.recordRenewed(id, renewal.Worker)
	}
}

// recordRenewed records that a renewal's command has extended a worker's lease in the state.
// The lease counts as committed only after the command's result (handleLeaseResult).
func (s *Scheduler) recordRenewed(commandID uint64, id string) {
	last := s.leases.workers[id]
	worker, known := s.access.State().Worker(id)
	if !known || worker.LastSeenAt < last.receivedAt {
		return
	}
	last.renewalDue = false
	s.leases.workers[id] = last
	s.leases.pending[commandID] = append(s.leases.pending[commandID], pendingLease{id, worker.LeaseExpiresAt})
}

// handleLeaseResult handles the result of a command that extended leases. Heartbeats that
// await the renewal are answered by the next scan.
func (s *Scheduler) handleLeaseResult(now time.Duration, commandID uint64, committed bool) {
	for _, lease := range s.leases.pending[commandID] {
		last, known := s.leases.workers[lease.worker]
		if !known || !committed {
			continue
		}
		last.leaseExpiry = max(last.leaseExpiry, lease.leaseExpiry)
		s.leases.workers[lease.worker] = last
		if pending, waits := s.heartbeats[lease.worker]; waits && pending.awaitsRenewal {
			pending.replyBy = now
			s.storeHeartbeat(&pending)
		}
	}
	delete(s.leases.pending, commandID)
}

// renewalInterval returns the time between two renewals.
func renewalInterval(lease, heartbeatTimeout time.Duration) time.Duration {
	interval := min(maxRenewalInterval, lease/renewalsPerLease, heartbeatTimeout/renewalsPerHeartbeatTimeout)
	return max(minRenewalInterval, interval)
}

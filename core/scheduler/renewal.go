package scheduler

import (
	"maps"
	"slices"
	"time"

	"sorrelloom/core/machine"
	"sorrelloom/core/state"
	"sorrelloom/core/status"
)

// On the primary's own state, a heartbeat that changes nothing is answered without a
// command, with what is left of the worker's committed lease. The leases of all
// workers heard from since the last renewal are renewed together by one command.
//
// A reply never promises more than what is committed: leaseExpiry is raised only by
// the result of the command that extended the lease, so that the next primary honors
// every lease that a worker was promised.

const (
	// maxRenewalInterval bounds the time between two renewals. It is shorter where the
	// configured lease or heartbeat timeout is short.
	maxRenewalInterval = time.Second
	// minRenewalInterval holds also for a worker whose lease is nearly over.
	minRenewalInterval = 50 * time.Millisecond
	// renewalsPerLease is how many renewals a lease lasts for at least, and
	// renewalsPerHeartbeatTimeout how many come before a worker counts as silent.
	renewalsPerLease            = 6
	renewalsPerHeartbeatTimeout = 6
)

// lastHeartbeat is what is known of a worker's last heartbeat.
type lastHeartbeat struct {
	incarnation int64
	number      uint64
	// receivedAt and leaseExpiry are times of the state machine.
	receivedAt time.Duration
	// leaseExpiry is that of the worker's committed lease.
	leaseExpiry time.Duration
	// renewalDue says that the next renewal is to carry this heartbeat.
	renewalDue bool
}

// pendingLease is a lease as it will be once a command is committed.
type pendingLease struct {
	worker      string
	leaseExpiry time.Duration
}

// leaseTracker knows the committed lease of each worker, and those under way.
type leaseTracker struct {
	workers map[string]lastHeartbeat
	// pending holds the leases that a command extends, by the command's ID.
	pending     map[uint64][]pendingLease
	nextRenewal time.Duration
	lastRenewal time.Duration
}

// reset takes the leases from the state. When leadership is gained, all of them are
// committed.
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

// requestRenewal has the next renewal come as soon as it may.
func (t *leaseTracker) requestRenewal() {
	t.nextRenewal = min(t.nextRenewal, t.lastRenewal+minRenewalInterval)
}

// rejectStale returns the result for a heartbeat that a later one has overtaken.
func (t *leaseTracker) rejectStale(heartbeat state.Heartbeat) (state.Result, bool) {
	last, known := t.workers[heartbeat.Worker]
	if !known || last.incarnation != heartbeat.Incarnation || heartbeat.Number >= last.number {
		return state.Result{}, false
	}
	result := state.Result{Code: status.StaleHeartbeat, Reason: "a later heartbeat was taken"}
	result.Heartbeat.Incarnation, result.Heartbeat.HeartbeatNumber = last.incarnation, last.number
	return result, true
}

// dueRenewals returns what the next renewal carries, by worker.
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

// leaseLeft returns what is left of a worker's committed lease, counted from the
// arrival of its heartbeat.
func (s *Scheduler) leaseLeft(pending *pendingHeartbeat) time.Duration {
	left := s.leases.workers[pending.heartbeat.Worker].leaseExpiry - pending.receivedAt
	return max(0, min(left, s.access.State().Config().Limits.LeaseDuration.Duration))
}

// renewLeases renews the leases of all workers heard from since the last renewal, if
// a renewal is due.
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
		s.noteRenewed(id, renewal.Worker)
	}
}

// noteRenewed takes note of a lease that a renewal's command has extended in the state.
func (s *Scheduler) noteRenewed(commandID uint64, id string) {
	last := s.leases.workers[id]
	worker, known := s.access.State().Worker(id)
	if !known || worker.LastSeenAt < last.receivedAt {
		return
	}
	last.renewalDue = false
	s.leases.workers[id] = last
	s.leases.pending[commandID] = append(s.leases.pending[commandID], pendingLease{id, worker.LeaseExpiresAt})
}

// handleLeaseResult takes the result of a command that extended leases. Heartbeats
// that waited for a renewal are answered by the next scan.
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
			s.keepHeartbeat(&pending)
		}
	}
	delete(s.leases.pending, commandID)
}

// renewalInterval returns the time between two renewals.
func renewalInterval(lease, heartbeatTimeout time.Duration) time.Duration {
	interval := min(maxRenewalInterval, lease/renewalsPerLease, heartbeatTimeout/renewalsPerHeartbeatTimeout)
	return max(minRenewalInterval, interval)
}

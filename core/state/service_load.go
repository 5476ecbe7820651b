package state

import (
	"math"
	"time"
)

// ServiceLoad is the use of a service's slots. Slots is the total that class shares are
// percentages of: the slots of all workers that accept work and are live or whose own lease
// has not expired. Idle is the number of unleased slots on the live ones among them. Used
// counts the leased slots on these workers by class; leases held for a lost worker are not
// included. The map is shared: it must not be changed, and is valid until the next command.
type ServiceLoad struct {
	Slots, Idle int
	Used        map[string]int
}

// cachedServiceLoad is a ServiceLoad that is valid until a given time unless a worker changes
// before. Every grant needs the load of a service, so it is cached and updated with each
// lease. It is recomputed only when a worker joins, leaves, changes its capacity or whether
// it accepts work, or falls silent.
type cachedServiceLoad struct {
	ServiceLoad
	validUntil time.Duration
}

// ServiceLoad returns the load of a service.
func (s *Store) ServiceLoad(service string) ServiceLoad {
	if known, ok := s.serviceLoads[service]; ok && s.now <= known.validUntil {
		return known.ServiceLoad
	}
	load := &cachedServiceLoad{ServiceLoad{Used: map[string]int{}}, math.MaxInt64}
	for id, worker := range s.workers {
		if worker.Service == service && s.countsForShares(worker) {
			load.addWorker(s, worker, s.usageOf(id))
		}
	}
	s.serviceLoads[service] = load
	return load.ServiceLoad
}

// countsForShares reports whether a worker's slots are part of the total that class shares
// are percentages of.
func (s *Store) countsForShares(worker *Worker) bool {
	return !worker.Leaving && !worker.Drained && !s.drainedZones[worker.Zone] &&
		(s.now <= worker.LeaseExpiresAt || s.Live(worker))
}

// addWorker adds a worker's slots and leases to the load, and limits the load's validity to
// the time at which the worker falls silent or its lease expires.
func (l *cachedServiceLoad) addWorker(s *Store, worker *Worker, usage *workerUsage) {
	for class, slots := range usage.slotsByClass {
		l.addUse(class, slots)
	}
	l.Slots += worker.Capacity.Slots
	if !s.Live(worker) {
		l.validUntil = min(l.validUntil, worker.LeaseExpiresAt)
		return
	}
	l.Idle += worker.Capacity.Slots - usage.used.Slots
	l.validUntil = min(l.validUntil, worker.LastSeenAt+s.config.Limits.HeartbeatTimeout.Duration)
}

// addUse adds slots to those that a class uses; a negative number subtracts.
func (l *cachedServiceLoad) addUse(class string, slots int) {
	if l.Used[class] += slots; l.Used[class] == 0 {
		delete(l.Used, class)
	}
}

// updateServiceLoad updates the cached load after a lease of the given number of slots was
// granted on a worker, or returned if slots is negative.
func (s *Store) updateServiceLoad(worker, class string, slots int) {
	record := s.workerRecord(worker)
	load, known := s.serviceLoads[record.Service]
	if !known || !s.countsForShares(record) {
		return
	}
	load.addUse(class, slots)
	if s.Live(record) {
		load.Idle -= slots
	}
}

// invalidateServiceLoad drops the cached load of a worker's service, unless the change of
// the worker's record does not affect it.
func (s *Store) invalidateServiceLoad(old, now *Worker) {
	if old.Service == now.Service && s.countsForShares(old) == s.countsForShares(now) &&
		s.Live(old) == s.Live(now) && old.Capacity.Slots == now.Capacity.Slots {
		return
	}
	delete(s.serviceLoads, old.Service)
	delete(s.serviceLoads, now.Service)
}

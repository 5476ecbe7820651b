package state

import (
	"math"
	"time"
)

// ServiceLoad is how a service's slots stand. Slots are those that shares are parts
// of: of all workers that take work and may still hold a lease. Idle are the free ones
// among those heard lately. Used counts leased slots by class; a lease that waits for
// a word from a lost worker is no use of what is left. The map is shared: it is not to
// be changed, and good until the next command.
type ServiceLoad struct {
	Slots, Idle int
	Used        map[string]int
}

// cachedServiceLoad is one that was counted, and until when it stands if no worker
// changes. It is asked for with every grant, so it is kept and changed along with the
// leases, and counted anew only when a worker comes or goes, changes what it can take,
// or falls silent.
type cachedServiceLoad struct {
	ServiceLoad
	validUntil time.Duration
}

// ServiceLoad gives that of a service.
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

// countsForShares says whether a worker's slots are among those that shares are parts of.
func (s *Store) countsForShares(worker *Worker) bool {
	return !worker.Leaving && !worker.Drained && !s.drainedZones[worker.Zone] &&
		(s.now <= worker.LeaseExpiresAt || s.Live(worker))
}

// addWorker counts a worker with its leases.
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

// addUse counts slots that a class uses more, or fewer.
func (l *cachedServiceLoad) addUse(class string, slots int) {
	if l.Used[class] += slots; l.Used[class] == 0 {
		delete(l.Used, class)
	}
}

// updateServiceLoad takes a lease that came to a worker or left it.
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

// invalidateServiceLoad has that of a worker's service counted anew, unless the worker
// counts there as it did before.
func (s *Store) invalidateServiceLoad(old, now *Worker) {
	if old.Service == now.Service && s.countsForShares(old) == s.countsForShares(now) &&
		s.Live(old) == s.Live(now) && old.Capacity.Slots == now.Capacity.Slots {
		return
	}
	delete(s.serviceLoads, old.Service)
	delete(s.serviceLoads, now.Service)
}

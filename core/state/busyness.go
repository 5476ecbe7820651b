// How busy a service's workers are. It is asked for with every grant, so it is
// kept and changed along with the turns, and counted anew only when a worker comes
// or goes, changes what it can take, or falls silent.

package state

import (
	"math"
	"time"
)

// Busyness is how a service's slots stand. Slots are those that shares are
// parts of: of all workers that take work and may still hold a lease. Idle are
// the free ones among those heard lately. Used counts turns by class; a turn
// that waits for a word from a lost worker is no use of what is left. The map is
// shared: it is not to be changed, and good until the next command.
type ServiceLoad struct {
	Slots, Idle int
	Used        map[string]int
}

// busyness is one that was counted, and how long it stands if no worker changes.
type cachedServiceLoad struct {
	ServiceLoad
	validUntil time.Duration
}

// counts says whether a worker's slots are among those that shares are parts of.
func (l *Store) countsForShares(w Worker) bool {
	return !w.Leaving && !w.Drained && !l.drainedZones[w.Zone] && (l.now <= w.LeaseExpiresAt || l.Live(w))
}

// Busyness gives that of a service.
func (l *Store) ServiceLoad(service string) ServiceLoad {
	if known, ok := l.serviceLoads[service]; ok && l.now <= known.validUntil {
		return known.ServiceLoad
	}
	b := &cachedServiceLoad{ServiceLoad{Used: map[string]int{}}, math.MaxInt64}
	for id, w := range l.workers {
		if w.Service == service && l.countsForShares(w) {
			b.addWorker(l, w, l.usage[id])
		}
	}
	l.serviceLoads[service] = b
	return b.ServiceLoad
}

// add counts a worker with its turns.
func (b *cachedServiceLoad) addWorker(l *Store, w Worker, o workerUsage) {
	for class, slots := range o.slotsByClass {
		b.addUse(class, slots)
	}
	b.Slots += w.Capacity.Slots
	if !l.Live(w) {
		b.validUntil = min(b.validUntil, w.LeaseExpiresAt)
		return
	}
	b.Idle += w.Capacity.Slots - o.used.Slots
	b.validUntil = min(b.validUntil, w.LastSeenAt+l.config.Limits.HeartbeatTimeout.Duration)
}

func (b *cachedServiceLoad) addUse(class string, slots int) {
	if b.Used[class] += slots; b.Used[class] == 0 {
		delete(b.Used, class)
	}
}

// recount takes a turn that came to a worker or left it.
func (l *Store) updateServiceLoad(worker, class string, slots int) {
	w := l.workers[worker]
	b, known := l.serviceLoads[w.Service]
	if !known || !l.countsForShares(w) {
		return
	}
	b.addUse(class, slots)
	if l.Live(w) {
		b.Idle -= slots
	}
}

// forgetBusyness has that of a worker's service counted anew, unless the worker
// counts there as it did before.
func (l *Store) invalidateServiceLoad(old, now Worker) {
	if old.Service == now.Service && l.countsForShares(old) == l.countsForShares(now) && l.Live(old) == l.Live(now) &&
		old.Capacity.Slots == now.Capacity.Slots {
		return
	}
	delete(l.serviceLoads, old.Service)
	delete(l.serviceLoads, now.Service)
}

// How busy a service's workers are. It is asked for with every grant, so it is
// kept and changed along with the turns, and counted anew only when a worker comes
// or goes, changes what it can take, or falls silent.
package ledger

import (
	"math"
	"time"
)

// Busyness is how a service's slots stand. Slots are those that shares are
// parts of: of all workers that take work and may still hold a lease. Idle are
// the free ones among those heard lately. Used counts turns by class; a turn
// that waits for a word from a lost worker is no use of what is left. The map is
// shared: it is not to be changed, and good until the next command.
type Busyness struct {
	Slots, Idle int
	Used        map[string]int
}

// busyness is one that was counted, and how long it stands if no worker changes.
type busyness struct {
	Busyness
	until time.Duration
}

// counts says whether a worker's slots are among those that shares are parts of.
func (l *Ledger) counts(w Worker) bool {
	return !w.Leaving && !w.Drained && !l.emptied[w.Site] && (l.at <= w.CutoffAt || l.Live(w))
}

// Busyness gives that of a service.
func (l *Ledger) Busyness(service string) Busyness {
	if known, ok := l.busy[service]; ok && l.at <= known.until {
		return known.Busyness
	}
	b := &busyness{Busyness{Used: map[string]int{}}, math.MaxInt64}
	for id, w := range l.workers {
		if w.Service == service && l.counts(w) {
			b.add(l, w, l.loads[id])
		}
	}
	l.busy[service] = b
	return b.Busyness
}

// add counts a worker with its turns.
func (b *busyness) add(l *Ledger, w Worker, o load) {
	for class, slots := range o.classes {
		b.use(class, slots)
	}
	b.Slots += w.Capacity.Slots
	if !l.Live(w) {
		b.until = min(b.until, w.CutoffAt)
		return
	}
	b.Idle += w.Capacity.Slots - o.used.Slots
	b.until = min(b.until, w.SeenAt+l.plan.Limits.Silent.Duration)
}

func (b *busyness) use(class string, slots int) {
	if b.Used[class] += slots; b.Used[class] == 0 {
		delete(b.Used, class)
	}
}

// recount takes a turn that came to a worker or left it.
func (l *Ledger) recount(worker, class string, slots int) {
	w := l.workers[worker]
	b, known := l.busy[w.Service]
	if !known || !l.counts(w) {
		return
	}
	b.use(class, slots)
	if l.Live(w) {
		b.Idle -= slots
	}
}

// forgetBusyness has that of a worker's service counted anew, unless the worker
// counts there as it did before.
func (l *Ledger) forgetBusyness(old, now Worker) {
	if old.Service == now.Service && l.counts(old) == l.counts(now) && l.Live(old) == l.Live(now) &&
		old.Capacity.Slots == now.Capacity.Slots {
		return
	}
	delete(l.busy, old.Service)
	delete(l.busy, now.Service)
}

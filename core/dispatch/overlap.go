package dispatch

import (
	"time"

	"sorrelloom/core/state"
)

// The younger work of a tenant can be held back in a service by two gangs: one of the tenant that
// waits for its limit, and one that waits for workers. The window of each bounds that hold alone;
// the pauses of both need not share a moment. Where both wait, what they hold back has a window of
// its own: it runs on until neither holds, and in its pause neither does.

// minSharedPause is for how long neither gang must hold work back for it to count as a pause.
const minSharedPause = holdPause / 2

// heldWork is the work of a tenant in a service.
type heldWork struct{ service, tenant string }

// overlapWindow bounds how long two gangs together hold the same work back.
type overlapWindow struct {
	window holdWindow
	// free says that neither gang holds the work back, since freeSince.
	free      bool
	freeSince time.Duration
}

// releases reports whether neither gang may hold the work back now. Held says that one of them
// would.
func (w *overlapWindow) releases(now time.Duration, held bool, conditions holdConditions) bool {
	if held {
		w.free = false
		return !w.window.holds(now, conditions)
	}
	if !w.free {
		w.free, w.freeSince = true, now
	}
	if now-w.freeSince >= minSharedPause {
		w.window = holdWindow{}
	}
	return false
}

// both returns the conditions under which work is held that two gangs hold back: it waits for as
// long as the longer of the two may hold it.
func (c holdConditions) both(other holdConditions) holdConditions {
	return holdConditions{idle: c.idle && other.idle, streaming: c.streaming || other.streaming}
}

// boundOverlaps decides which work is released from two gangs that hold it back by turns.
func (d *Dispatcher) boundOverlaps(store *state.Store) {
	cache := &d.reservations
	clear(cache.released)
	for work := range d.overlapWindows {
		_, gangWaits := cache.byTenant[work.tenant]
		_, reserved := cache.byService[work.service]
		if !gangWaits || !reserved {
			delete(d.overlapWindows, work)
		}
	}
	for tenant, gang := range cache.byTenant {
		for service, found := range cache.byService {
			work := heldWork{service, tenant}
			window := d.overlapWindows[work]
			if window == nil {
				window = &overlapWindow{}
				d.overlapWindows[work] = window
			}
			if window.releases(store.Now(), gang.holds || found.holds, gang.conditions.both(found.conditions)) {
				cache.released[work] = true
			}
		}
	}
}

// releasedFromGangs reports whether the work of a key is in a pause of the gangs that hold it
// back by turns.
func (d *Dispatcher) releasedFromGangs(store *state.Store, key *groupKey) bool {
	d.refreshReservations(store)
	return d.reservations.released[heldWork{key.service, key.tenant}]
}

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
	switch {
	case held:
		w.free = false
		return !w.window.holds(now, conditions)
	case !w.free:
		w.free, w.freeSince = true, now
	}
	return false
}

// isOver reports whether neither gang has held the work back for a while.
func (w *overlapWindow) isOver(now time.Duration) bool {
	return w.free && now-w.freeSince >= minSharedPause
}

// both returns the conditions under which work is held that two gangs hold back: it waits for as
// long as the longer of the two may hold it.
func (c holdConditions) both(other holdConditions) holdConditions {
	return holdConditions{idle: c.idle && other.idle, streaming: c.streaming || other.streaming}
}

// boundOverlaps decides which work is released from two gangs that hold it back by turns. A
// window lasts until its work is free, also while one of the gangs does not wait for a moment.
func (d *Dispatcher) boundOverlaps(store *state.Store) {
	d.beginOverlaps()
	clear(d.reservations.released)
	for work, window := range d.overlapWindows {
		held, conditions := d.heldByGangs(work)
		if window.releases(store.Now(), held, conditions) {
			d.reservations.released[work] = true
		}
		if window.isOver(store.Now()) {
			delete(d.overlapWindows, work)
		}
	}
}

// beginOverlaps begins a window for all work that two gangs may hold back.
func (d *Dispatcher) beginOverlaps() {
	for tenant := range d.reservations.byTenant {
		for service := range d.reservations.byService {
			if work := (heldWork{service, tenant}); d.overlapWindows[work] == nil {
				d.overlapWindows[work] = &overlapWindow{}
			}
		}
	}
}

// heldByGangs reports whether some gang holds work back now, and under which conditions.
func (d *Dispatcher) heldByGangs(work heldWork) (held bool, conditions holdConditions) {
	gang, waits := d.reservations.byTenant[work.tenant]
	found, reserved := d.reservations.byService[work.service]
	switch {
	case waits && reserved:
		conditions = gang.conditions.both(found.conditions)
	case waits:
		conditions = gang.conditions
	default:
		conditions = found.conditions
	}
	return gang.holds || found.holds, conditions
}

// releasedFromGangs reports whether the work of a key is in a pause of the gangs that hold it
// back by turns.
func (d *Dispatcher) releasedFromGangs(store *state.Store, key *groupKey) bool {
	d.refreshReservations(store)
	return d.reservations.released[heldWork{key.service, key.tenant}]
}

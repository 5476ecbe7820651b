package dispatch

import (
	"time"

	"sorrelloom/core/state"
)

// Two gangs can hold back a tenant's younger work in a service: one of the tenant that waits
// for the tenant's limit, and one that waits for workers. Each has a window that bounds its own
// hold, but their pauses need not overlap. While both wait, the work that they hold back
// therefore has a window of its own, and neither gang holds it back in the pauses of that
// window. The window is dropped once neither gang has held the work back for minSharedPause.

// minSharedPause is the minimum time without a hold by either gang that counts as a pause.
const minSharedPause = holdPause / 2

// heldWork identifies the work of a tenant in a service.
type heldWork struct{ service, tenant string }

// overlapWindow bounds how long two gangs together hold back the same work.
type overlapWindow struct {
	window holdWindow
	// unheld is set while neither gang holds the work back, since unheldSince.
	unheld      bool
	unheldSince time.Duration
}

// releases reports whether neither gang may hold the work back now. held is set if one of them
// otherwise would.
func (w *overlapWindow) releases(now time.Duration, held bool, conditions holdConditions) bool {
	switch {
	case held:
		w.unheld = false
		return !w.window.holds(now, conditions)
	case !w.unheld:
		w.unheld, w.unheldSince = true, now
	}
	return false
}

// isOver reports whether neither gang has held the work back for minSharedPause.
func (w *overlapWindow) isOver(now time.Duration) bool {
	return w.unheld && now-w.unheldSince >= minSharedPause
}

// combine returns the conditions for work that two gangs hold back: the longer of the two
// bounds applies.
func (c holdConditions) combine(other holdConditions) holdConditions {
	return holdConditions{idle: c.idle && other.idle, streaming: c.streaming || other.streaming}
}

// updateOverlaps decides which of the work that two gangs alternately hold back must be released
// by both. A window lasts until its work has been unheld for minSharedPause, even if one of the
// gangs briefly does not wait.
func (d *Dispatcher) updateOverlaps(store *state.Store) {
	d.openOverlapWindows()
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

// openOverlapWindows opens a window for all work that two gangs may hold back.
func (d *Dispatcher) openOverlapWindows() {
	for tenant := range d.reservations.byTenant {
		for service := range d.reservations.byService {
			if work := (heldWork{service, tenant}); d.overlapWindows[work] == nil {
				d.overlapWindows[work] = &overlapWindow{}
			}
		}
	}
}

// heldByGangs reports whether any gang holds work back now, and under which conditions.
func (d *Dispatcher) heldByGangs(work heldWork) (held bool, conditions holdConditions) {
	gang, waits := d.reservations.byTenant[work.tenant]
	found, reserved := d.reservations.byService[work.service]
	switch {
	case waits && reserved:
		conditions = gang.conditions.combine(found.conditions)
	case waits:
		conditions = gang.conditions
	default:
		conditions = found.conditions
	}
	return gang.holds || found.holds, conditions
}

// releasedFromGangs reports whether the work of a key is in the common pause of the gangs that
// alternately hold it back.
func (d *Dispatcher) releasedFromGangs(store *state.Store, key *groupKey) bool {
	d.refreshReservations(store)
	return d.reservations.released[heldWork{key.service, key.tenant}]
}

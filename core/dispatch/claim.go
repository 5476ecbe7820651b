// A gang needs room for all its members at one moment, which steady smaller
// work would never leave. A gang that has waited for long therefore lays claim
// to the room that comes free: until it has started, nothing younger that is
// not quick is given to the workers that could take its members; tasks of other
// classes only while the gang may start by its class's share. One gang of a
// service has a claim at a time, the oldest that the workers there could hold.

package dispatch

import (
	"time"

	"sorrelloom/core/state"
	"sorrelloom/core/status"
)

const (
	reserveAfter = 3 * time.Second
	// claimsEach is how long the claims that were found stand.
	reservationTTL = 50 * time.Millisecond
)

type reservation struct {
	number uint64
	job    state.Job
	task   int
}

type reservationCache struct {
	computedAt time.Duration
	byService  map[string]reservation
}

// claim gives the service's gang that has one, at this position of the ledger.
func (d *Dispatcher) reservation(store *state.Store, service string) (reservation, bool) {
	if d.reservations.byService == nil || store.Now() >= d.reservations.computedAt+reservationTTL {
		d.reservations = reservationCache{store.Now(), d.findReservations(store)}
	}
	c, ok := d.reservations.byService[service]
	return c, ok
}

func (d *Dispatcher) findReservations(store *state.Store) map[string]reservation {
	out := map[string]reservation{}
	for _, groups := range d.queues {
		for _, g := range groups {
			if g.key.gangSlots == 0 {
				continue
			}
			for _, t := range g.tasks {
				job, ok := store.Job(t.ref.Job)
				if !ok || store.Now()-job.Tasks[t.ref.Index].ReadyAt < reserveAfter {
					continue
				}
				if best, claimed := out[g.key.service]; claimed && best.number <= t.number {
					break
				}
				if _, share := store.ClassUse(g.key.service, g.key.class); share > 0 && d.gangCanFit(store, job, t.ref.Index) {
					out[g.key.service] = reservation{t.number, job, t.ref.Index}
					break
				}
			}
		}
	}
	return out
}

// feasible says whether the empty workers that are there would hold the gang.
func (d *Dispatcher) gangCanFit(store *state.Store, job state.Job, i int) bool {
	workers := store.Workers()
	free := make([]state.Resources, len(workers))
	for w := range workers {
		free[w] = workers[w].Capacity
	}
	gang := job.Spec.Tasks[i].Gang
	for j, spec := range job.Spec.Tasks {
		t := job.Tasks[j]
		if spec.Gang != gang || t.State == state.Done {
			continue
		}
		if t.State != state.Ready || t.Lease.Held() {
			return false
		}
		placed := false
		for w := range workers {
			if store.Fits(job, j, workers[w]) == status.OK && free[w].Covers(spec.Resources) {
				free[w], placed = free[w].Sub(spec.Resources), true
				break
			}
		}
		if !placed {
			return false
		}
	}
	return true
}

// kept says whether a worker's room is kept from a task for a gang's claim.
func (d *Dispatcher) reservedFromTask(store *state.Store, w state.Worker, k groupKey, number uint64) bool {
	c, ok := d.reservation(store, k.service)
	if !ok || number <= c.number || store.Config().Services[k.service].Classes[k.class].Quick {
		return false
	}
	if k.gangSlots > 0 || store.Fits(c.job, c.task, w) != status.OK {
		return false
	}
	if k.class == c.job.Spec.Class {
		return true
	}
	allowed, _ := store.CheckShare(k.service, c.job.Spec.Class, gangSlots(c.job, c.task), nil)
	return allowed
}

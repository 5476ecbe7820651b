// A gang needs room for all its members at one moment, which steady smaller
// work would never leave. A gang that has waited for long therefore lays claim
// to the room that comes free: until it has started, nothing younger that is
// not quick is given to the workers that could take its members; tasks of other
// classes only while the gang may start by its class's share. One gang of a
// service has a claim at a time, the oldest that the workers there could hold.
package dispatch

import (
	"time"

	"sorrelloom/core/code"
	"sorrelloom/core/ledger"
)

const (
	claimAfter = 3 * time.Second
	// claimsEach is how long the claims that were found stand.
	claimsEach = 50 * time.Millisecond
)

type claim struct {
	number uint64
	job    ledger.Job
	task   int
}

type claims struct {
	at        time.Duration
	byService map[string]claim
}

// claim gives the service's gang that has one, at this position of the ledger.
func (d *Dispatch) claim(l *ledger.Ledger, service string) (claim, bool) {
	if d.claims.byService == nil || l.At() >= d.claims.at+claimsEach {
		d.claims = claims{l.At(), d.findClaims(l)}
	}
	c, ok := d.claims.byService[service]
	return c, ok
}

func (d *Dispatch) findClaims(l *ledger.Ledger) map[string]claim {
	out := map[string]claim{}
	for _, groups := range d.inbox {
		for _, g := range groups {
			if g.kind.gangSlots == 0 {
				continue
			}
			for _, t := range g.tasks {
				job, ok := l.Job(t.at.Job)
				if !ok || l.At()-job.Tasks[t.at.Task].ReleasedAt < claimAfter {
					continue
				}
				if best, claimed := out[g.kind.service]; claimed && best.number <= t.number {
					break
				}
				if _, share := l.ClassUse(g.kind.service, g.kind.class); share > 0 && d.feasible(l, job, t.at.Task) {
					out[g.kind.service] = claim{t.number, job, t.at.Task}
					break
				}
			}
		}
	}
	return out
}

// feasible says whether the empty workers that are there would hold the gang.
func (d *Dispatch) feasible(l *ledger.Ledger, job ledger.Job, i int) bool {
	workers := l.Workers()
	free := make([]ledger.Room, len(workers))
	for w := range workers {
		free[w] = workers[w].Capacity
	}
	gang := job.Spec.Tasks[i].Gang
	for j, spec := range job.Spec.Tasks {
		t := job.Tasks[j]
		if spec.Gang != gang || t.State == ledger.Done {
			continue
		}
		if t.State != ledger.Open || t.Turn.Held() {
			return false
		}
		placed := false
		for w := range workers {
			if l.Fits(job, j, workers[w]) == code.OK && free[w].Holds(spec.Room) {
				free[w], placed = free[w].Less(spec.Room), true
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
func (d *Dispatch) kept(l *ledger.Ledger, w ledger.Worker, k kind, number uint64) bool {
	c, ok := d.claim(l, k.service)
	if !ok || number <= c.number || l.Plan().Services[k.service].Classes[k.class].Quick {
		return false
	}
	if k.gangSlots > 0 || l.Fits(c.job, c.task, w) != code.OK {
		return false
	}
	if k.class == c.job.Spec.Class {
		return true
	}
	allowed, _ := l.Allowed(k.service, c.job.Spec.Class, gangSlots(c.job, c.task), nil)
	return allowed
}

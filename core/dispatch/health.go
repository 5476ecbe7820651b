// Workers that quietly fail part of their work, or have turned slow, look
// healthy in their beats. The dispatch learns of them from how turns end, gives
// them less, and keeps a road back open: one task at a time, after a pause that
// grows with each failure and ends with the first success. Nothing is held
// against a worker unless most of those that could do its work are better.
package dispatch

import (
	"slices"
	"time"

	"sorrelloom/core/code"
	"sorrelloom/core/ledger"
)

const (
	failWeight = 0.3
	sickAbove  = 0.45
	slowAbove  = 2.5
	pauseFirst = 500 * time.Millisecond
	pauseMost  = 30 * time.Second
)

type health struct {
	fails  float64
	streak int
	until  time.Duration
	pace   float64
}

// held is what was known of a turn while it was in force.
type held struct {
	worker          string
	startedAt       time.Duration
	defects, losses int
}

// learn takes the end of a turn.
func (d *Dispatch) learn(l *ledger.Ledger, job ledger.Job, i int, was held) {
	t, h := job.Tasks[i], d.health[was.worker]
	switch {
	case t.State == ledger.Done && t.Holder == was.worker:
		h.fails, h.streak, h.until = h.fails*(1-failWeight), 0, 0
		if was.startedAt > 0 {
			d.time(&h, [2]string{job.Spec.Service, job.Spec.Class}, (t.EndedAt - was.startedAt).Seconds())
			if h.slow() {
				h.until = l.At() + 2*time.Second
			}
		}
	case t.Defects > was.defects || t.Losses > was.losses:
		h.fails = h.fails*(1-failWeight) + failWeight
		h.until = l.At() + min(pauseMost, pauseFirst<<min(h.streak, 10))
		h.streak++
	default:
		return
	}
	d.health[was.worker] = h
}

// time compares a run with the usual length of its class.
func (d *Dispatch) time(h *health, class [2]string, tookSeconds float64) {
	usual := d.usual[class]
	if usual == 0 {
		d.usual[class] = tookSeconds
		return
	}
	ratio := tookSeconds / max(usual, 0.001)
	d.usual[class] += 0.02 * (min(tookSeconds, 2*usual) - usual)
	if h.pace == 0 {
		h.pace = 1
	}
	h.pace += 0.2 * (min(ratio, 10) - h.pace)
}

// probes says whether a spared worker is to be tried again with this task: not
// a quick one, and only when the worker's pause is over and it has nothing.
func (d *Dispatch) probes(l *ledger.Ledger, job ledger.Job, w ledger.Worker) bool {
	quick := l.Plan().Services[job.Spec.Service].Classes[job.Spec.Class].Quick
	return !quick && l.At() >= d.health[w.ID()].until && d.slots[w.ID()] == 0 && l.CountOn(w.ID()) == 0
}

func (h health) sick() bool { return h.fails > sickAbove }
func (h health) slow() bool { return h.pace > slowAbove }

// spared says whether a worker is to get less: it is sick or slow, and at
// least half of its service's live workers are neither.
func (d *Dispatch) spared(l *ledger.Ledger, w ledger.Worker) bool {
	if h := d.health[w.ID()]; !h.sick() && !h.slow() {
		return false
	}
	known, ok := d.wellOff[w.Service]
	if !ok || l.At() >= known.at+wellEach {
		well, all := 0, 0
		for _, other := range l.Workers() {
			if other.Service != w.Service || !l.Live(other) || other.Leaving {
				continue
			}
			all++
			if h := d.health[other.ID()]; !h.sick() && !h.slow() {
				well++
			}
		}
		known = wellOff{l.At(), 2*well >= all}
		d.wellOff[w.Service] = known
	}
	return known.most
}

// wellOff says whether most workers of a service were well at a time; it stands
// for wellEach.
type wellOff struct {
	at   time.Duration
	most bool
}

const wellEach = 50 * time.Millisecond

// ration says whether a spared worker may pull now: a sick one when its pause
// is over and it runs nothing, a slow one up to its slots by its pace.
func (d *Dispatch) ration(l *ledger.Ledger, w ledger.Worker, heldSlots int) bool {
	if !d.spared(l, w) {
		return true
	}
	h, used := d.health[w.ID()], w.Capacity.Slots-l.Room(w.ID()).Slots+heldSlots
	if h.sick() {
		return l.CountOn(w.ID())+heldSlots == 0 && l.At() >= h.until
	}
	return used < max(1, int(float64(w.Capacity.Slots)/h.pace))
}

// barred says whether a task has failed on this worker and could run on
// another where it has not.
func (d *Dispatch) barred(l *ledger.Ledger, job ledger.Job, i int, w ledger.Worker) bool {
	failed := job.Tasks[i].FailedOn
	if !slices.Contains(failed, w.ID()) {
		return false
	}
	for _, other := range l.Workers() {
		if !slices.Contains(failed, other.ID()) && l.Fits(job, i, other) == code.OK && other.Capacity.Holds(job.Spec.Tasks[i].Room) {
			return true
		}
	}
	return false
}

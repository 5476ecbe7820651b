// Reports: what the core is told of a worker, one report out at a time, and
// what is taken from its replies.
package agent

import (
	"maps"
	"slices"
	"time"

	"sorrelloom/core/code"
	"sorrelloom/core/ledger"
	"sorrelloom/core/machine"
	"sorrelloom/core/wire"
)

// report is the one that is out. Ends are the numbers of the worker's ends in it.
type report struct {
	id     uint64
	to     string
	sentAt time.Duration
	empty  bool
	ends   []uint64
	beat   ledger.Beat
}

// over says whether all that a worker ran has certainly ended.
func (a *Agent) over(now time.Duration, w *worker) bool {
	if w.dead || w.leaving && len(w.running()) == 0 {
		return true
	}
	end, known := a.holdEnd(w)
	return known && now > end && (w.leaving || a.silent(now, w))
}

func (a *Agent) silent(now time.Duration, w *worker) bool { return now-w.calledAt > a.env.Silent }

// holdEnd is when the worker must have ended everything by itself. What ran
// before its first call here may stand under a lease of an agent before this one.
func (a *Agent) holdEnd(w *worker) (time.Duration, bool) {
	if !w.inherited {
		return w.holdEnd, true
	}
	return max(w.holdEnd, drifted(w.firstAt, a.lease)), a.lease > 0
}

func drifted(from, hold time.Duration) time.Duration {
	return from + hold + hold*driftPercent/100 + driftMore
}

// report sends the next report of a worker if it is time, and says when it will be.
func (a *Agent) report(now time.Duration, w *worker, out *machine.Output) {
	empty := a.over(now, w)
	switch {
	case empty && w.emptied || w == a.worker && slices.ContainsFunc(a.departing, func(o *worker) bool { return o.dead }):
		w.out = nil
		return
	case empty:
		a.empty(w, out)
	case a.silent(now, w):
		if w.out != nil {
			out.Log("worker_silent", "worker", w.call.Worker)
		}
		w.out = nil
		if end, known := a.holdEnd(w); known {
			a.wake(now, end+time.Millisecond)
		}
		return
	default:
		a.wake(now, w.calledAt+a.env.Silent+time.Millisecond)
		if end, known := a.holdEnd(w); w.leaving && known {
			a.wake(now, end+time.Millisecond)
		}
	}
	if w.out != nil && w.out.empty != empty {
		w.out = nil
	}
	at := w.pauseUntil
	if w.number > 0 {
		at = max(at, w.sentAt+max(reportEach, a.pace))
	}
	lost := false
	if w.out != nil {
		// A report that replaces another waits no longer than the first would have.
		deadline := w.waitSince + a.env.Hold + replyGrace
		replaced := deadline
		if w.dirty {
			replaced = at
		} else if w.savedNew() {
			replaced = w.sentAt + savedEach
		}
		if max(replaced, now) >= w.waitSince+a.env.Hold {
			replaced = deadline
		}
		lost = now >= deadline
		at = max(at, min(replaced, deadline))
	}
	if now < at {
		a.wake(now, at)
		return
	}
	if lost && w.out.to == a.target {
		a.rotate()
	}
	if a.target == "" {
		return
	}
	a.send(now, w, empty, lost, out)
	a.wake(now, w.waitSince+a.env.Hold+replyGrace)
}

// empty clears what was handed over to a worker that runs nothing any more; what
// was not is lost.
func (a *Agent) empty(w *worker, out *machine.Output) {
	if !w.said {
		w.said = true
		out.Log("worker_lost", "worker", w.call.Worker, "running", len(w.running()))
	}
	for _, t := range w.taken {
		if !t.handed {
			a.drop(w, t.Attempt, "the worker is silent", out)
		}
	}
	w.taken, w.stops = nil, nil
}

func (a *Agent) send(now time.Duration, w *worker, empty, lost bool, out *machine.Output) {
	if w.out == nil || lost {
		w.waitSince = now
	}
	a.id++
	w.number++
	a.counters.Reports++
	w.sentAt, w.dirty = now, false
	w.out = &report{id: a.id, to: a.target, sentAt: now, empty: empty, ends: slices.Sorted(maps.Keys(w.ends)), beat: a.beat(w, empty)}
	out.Send(a.target, wire.Beat, wire.BeatBody{ID: a.id, Hold: max(0, w.waitSince+a.env.Hold-now), Beat: w.out.beat})
}

func (a *Agent) beat(w *worker, empty bool) ledger.Beat {
	c := w.call
	b := ledger.Beat{Worker: c.Worker, Incarnation: 1, Number: w.number, Site: c.Site, Rack: c.Rack, Service: c.Service,
		Labels: c.Labels, Address: c.Address, Leaving: c.Leaving || w.leaving, LeavesIn: c.LeavesIn}
	if b.Site == "" {
		b.Site = a.env.Site
	}
	for _, n := range slices.Sorted(maps.Keys(w.ends)) {
		b.Ended = append(b.Ended, w.ends[n])
	}
	b.Ended = append(b.Ended, w.own...)
	if empty {
		return b
	}
	b.Running, b.Progress = w.running(), w.progress()
	b.Free, b.Total = w.free(), w.total
	return b
}

// rotate goes on to the next keeper that is known.
func (a *Agent) rotate() {
	all := a.known()
	if len(all) > 0 {
		a.target = all[(slices.Index(all, a.target)+1)%len(all)]
	}
}

func (a *Agent) known() []string {
	all := slices.Clone(a.keepers)
	for _, k := range a.env.Keepers {
		if !slices.Contains(all, k) {
			all = append(all, k)
		}
	}
	return all
}

// reply takes the core's answer to the report that is out; any other is dropped.
func (a *Agent) reply(now time.Duration, b wire.BeatBackBody, out *machine.Output) {
	all := a.workers()
	i := slices.IndexFunc(all, func(w *worker) bool { return w.out != nil && w.out.id == b.ID })
	if i < 0 || now-all[i].out.sentAt > replyWithin {
		return
	}
	w := all[i]
	r := *w.out
	w.out = nil
	if len(b.Keepers) > 0 {
		a.keepers = slices.Clone(b.Keepers)
	}
	if !b.Answer.Code.Good() {
		a.bounced(now, w, r, b, out)
		return
	}
	if a.primary != r.to {
		out.Log("primary_changed", "to", r.to, "from", a.primary)
		a.primary = r.to
	}
	a.replied, a.repliedAt, a.bounces = true, now, 0
	a.pace = min(b.Answer.RetryAfter, paceMost)
	orders := b.Answer.Orders
	a.fence = max(a.fence, orders.Epoch)
	a.lease = max(a.lease, orders.Lease)
	w.leaseEnd = max(w.leaseEnd, r.sentAt+orders.Lease)
	w.acked(r, orders.Acks)
	for _, at := range orders.Stops {
		a.stop(w, at, out)
	}
	refused := false
	for _, s := range orders.Starts {
		switch {
		case w.knows(s.Attempt):
		case r.empty || w.call.Leaving || w.leaving:
			a.drop(w, s.Attempt, "the worker leaves or is silent", out)
			refused = true
		default:
			w.taken = append(w.taken, &taken{Start: s, until: min(now+handWithin, r.sentAt+replyWithin)})
			w.saved[s.Attempt] = s.Saved
		}
	}
	if r.empty && !refused && a.over(now, w) {
		w.emptied = true
		if w.dead || w.leaving {
			a.forget(w)
		}
	}
}

// bounced finds the keeper that leads, or the number that comes next, or waits
// for as long as a keeper asks that has too much to do.
func (a *Agent) bounced(now time.Duration, w *worker, r report, b wire.BeatBackBody, out *machine.Output) {
	c := b.Answer.Code
	if c == code.InboxFull && b.Answer.RetryAfter > 0 {
		a.replied, a.repliedAt = true, now
		w.leaseEnd = max(w.leaseEnd, r.sentAt+b.Answer.Orders.Lease)
		w.pauseUntil, w.dirty = now+min(b.Answer.RetryAfter, putOffMost), true
		return
	}
	a.bounces++
	switch {
	case c == code.StaleBeat && b.Answer.Orders.Number > 0:
		w.number = max(w.number, b.Answer.Orders.Number)
		return
	case c == code.StaleBeat, (c == code.StaleEpoch || c == code.NoAuthority) && a.bounces%bouncesMax > 0:
		w.pauseUntil = now + a.jittered(retryAfter)
		return
	case c == code.Malformed && r.empty && (w.dead || w.leaving):
		out.Log("worker_forgotten", "worker", w.call.Worker, "why", b.Answer.Why)
		a.forget(w)
		return
	}
	w.pauseUntil = now + a.jittered(min(rotateAfter<<min(a.bounces-1, 4), rotateMax))
	switch {
	case r.to != a.target:
	case b.Primary != "" && b.Primary != r.to:
		a.target = b.Primary
		if a.bounces == 1 {
			w.pauseUntil = now
		}
	default:
		a.rotate()
	}
}

// jittered is a pause of up to half as long again from the second bounce in a row
// on, so that agents that lose the primary together do not come back together.
func (a *Agent) jittered(pause time.Duration) time.Duration {
	if a.bounces <= 1 {
		return pause
	}
	return pause + time.Duration(a.chance.Int64N(int64(pause/2)))
}

// stop passes the core's word on, or takes a start back that was not handed over.
func (a *Agent) stop(w *worker, at ledger.Attempt, out *machine.Output) {
	if i := slices.IndexFunc(w.taken, func(t *taken) bool { return t.Attempt == at }); i >= 0 {
		t := w.taken[i]
		t.withdrawn = true
		if !t.handed {
			w.taken = slices.Delete(w.taken, i, i+1)
			a.drop(w, at, "stopped before it was handed over", out)
			return
		}
	} else if !slices.Contains(w.running(), at) {
		return
	}
	if !slices.Contains(w.stops, at) {
		w.stops = append(w.stops, at)
		a.counters.Stops++
	}
}

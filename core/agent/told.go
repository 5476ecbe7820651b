// Calls: what the worker says, and what it is told at once.
package agent

import (
	"maps"
	"slices"
	"time"

	"sorrelloom/core/ledger"
	"sorrelloom/core/machine"
)

// taken is a start from a reply that the worker has not listed yet. Last is the
// call whose answer carried it last. A withdrawn one is carried no more, as none
// is after until: the core counts on a start soon after the report.
type taken struct {
	ledger.Start
	until     time.Duration
	handed    bool
	last      uint64
	withdrawn bool
}

// worker is one life of the worker. Dead means that another name stands at its
// address, leaving that it said so or that another name came from elsewhere. What
// it ran at its first call here is inherited from the agent before.
type worker struct {
	call      Call
	total     ledger.Room
	firstAt   time.Duration
	calledAt  time.Duration
	holdEnd   time.Duration
	leaseEnd  time.Duration
	inherited bool
	leaving   bool
	dead      bool
	emptied   bool
	said      bool

	taken   []*taken
	stops   []ledger.Attempt
	ends    map[uint64]ledger.End
	done    map[uint64]bool // acknowledged, and listed still
	own     []ledger.End
	lastEnd uint64
	saved   map[ledger.Attempt]string

	number     uint64
	out        *report
	dirty      bool
	sentAt     time.Duration
	waitSince  time.Duration
	pauseUntil time.Duration
}

func (a *Agent) ask(now time.Duration, ask machine.Ask, out *machine.Output) {
	told := Told{Again: a.env.Again, Fence: a.fence}
	switch ask.Kind {
	case AskCall:
		if c, ok := ask.Value.(Call); ok && c.Worker != "" {
			told = a.take(now, c, out)
		}
	case AskLeave:
		name := ask.Name
		if name == "" {
			name, _ = ask.Value.(string)
		}
		if w := a.worker; w != nil && w.call.Worker == name {
			w.leaving, w.dirty, w.calledAt = true, true, now
			a.expire(now, w, out)
			told = a.told(now, w, 0)
		}
	}
	out.Answer(ask.Key, told)
}

// take learns from a call and answers it.
func (a *Agent) take(now time.Duration, c Call, out *machine.Output) Told {
	a.counters.Calls++
	if slices.Contains(a.gone, c.Worker) || c.Worker == a.left.Worker && c.Number <= a.left.Number {
		return Told{Again: a.env.Again, Fence: a.fence}
	}
	w := a.worker
	if w == nil || w.call.Worker != c.Worker {
		w = a.newcomer(now, c, out)
	} else if c.Number <= w.call.Number {
		return a.told(now, w, 0)
	}
	before := w.reportable()
	news := w.changed(c)
	freed := w.call.Free != c.Free
	w.call, w.calledAt, w.emptied, w.said = c, now, false, false
	w.total = w.total.Most(c.Free)
	w.learnEnds()
	w.taken = slices.DeleteFunc(w.taken, func(t *taken) bool {
		if w.lists(t.Attempt) {
			return true
		}
		if why := w.refuses(now, t); why != "" {
			t.withdrawn = true
		}
		// The call before this one may have been on its way when the answer was.
		if t.withdrawn && t.handed && c.Number >= t.last+2 {
			a.drop(w, t.Attempt, "the worker did not take it up", out)
			return true
		}
		return false
	})
	w.own = slices.DeleteFunc(w.own, func(e ledger.End) bool { return w.lists(e.Attempt) })
	after := w.reportable()
	w.dirty = w.dirty || news || !maps.Equal(before.running, after.running) || freed && before.free != after.free
	a.expire(now, w, out)
	w.stops = slices.DeleteFunc(w.stops, func(at ledger.Attempt) bool { return !slices.Contains(w.running(), at) })
	for at := range w.saved {
		if !slices.Contains(w.running(), at) {
			delete(w.saved, at)
		}
	}
	return a.told(now, w, c.Number)
}

// newcomer begins a life. One before it at the same address is dead; one
// elsewhere has its hold to run out.
func (a *Agent) newcomer(now time.Duration, c Call, out *machine.Output) *worker {
	if old := a.worker; old != nil {
		old.leaving, old.dirty = true, true
		old.dead = old.call.Address == c.Address
		a.expire(now, old, out)
		a.bury(old.call.Worker)
		if a.departing = append(a.departing, old); old.number == 0 && len(old.ends)+len(old.own) == 0 {
			a.forget(old)
		}
	}
	if a.left.Worker != "" && a.left.Worker != c.Worker {
		a.bury(a.left.Worker)
	}
	a.left = Call{}
	out.Log("worker_new", "worker", c.Worker, "address", c.Address)
	a.worker = &worker{firstAt: now, dirty: true, inherited: len(c.Running) > 0, ends: map[uint64]ledger.End{}, done: map[uint64]bool{}, saved: map[ledger.Attempt]string{}}
	return a.worker
}

// told is the answer to a call; the number 0 is that of one without orders.
func (a *Agent) told(now time.Duration, w *worker, number uint64) Told {
	t := Told{Hold: max(0, w.leaseEnd-now), Seen: w.seen(), Fence: a.fence, Again: a.env.Again}
	w.holdEnd = max(w.holdEnd, drifted(now, t.Hold))
	if number == 0 {
		return t
	}
	t.Stops = slices.Clone(w.stops)
	for _, s := range w.taken {
		if s.withdrawn {
			continue
		}
		if !s.handed {
			a.counters.Begins++
		}
		s.handed, s.last = true, number
		t.Begins = append(t.Begins, Begin{s.Attempt, s.Payload, s.Saved})
	}
	return t
}

// refuses says why a start may not be handed over now.
func (w *worker) refuses(now time.Duration, t *taken) string {
	switch {
	case w.dead:
		return "another worker stands in its place"
	case w.leaving || w.call.Leaving:
		return "the worker leaves"
	case now >= w.leaseEnd:
		return "the lease is over"
	case now >= t.until:
		return "it was not taken up in time"
	}
	return ""
}

// changed says whether a call differs from the last in the worker's standing
// properties, which are reported at once.
func (w *worker) changed(c Call) bool {
	o := w.call
	return o.Leaving != c.Leaving || o.LeavesIn == 0 && c.LeavesIn != 0 || o.Service != c.Service ||
		o.Site != c.Site || o.Rack != c.Rack || o.Address != c.Address ||
		!slices.Equal(o.Labels, c.Labels)
}

// reportable is what of a worker's state a report carries that must not wait. A
// start that was reported as taken stays the same when the worker lists it.
type reportable struct {
	running map[ledger.Attempt]bool
	free    ledger.Room
}

func (w *worker) reportable() reportable {
	r := reportable{map[ledger.Attempt]bool{}, w.free()}
	for _, at := range w.running() {
		r.running[at] = true
	}
	return r
}

// learnEnds takes the ends of a call that are new.
func (w *worker) learnEnds() {
	done := map[uint64]bool{}
	for _, e := range w.call.Ended {
		if w.done[e.Number] {
			done[e.Number] = true
		}
		if _, known := w.ends[e.Number]; known || w.done[e.Number] || e.Number == 0 {
			continue
		}
		w.ends[e.Number] = ledger.End{Attempt: e.Attempt, Good: e.How == Good, Stopped: e.How == Stopped, Lost: e.How == Lost, Why: e.Why, Saved: e.Saved, Percent: e.Percent}
		w.dirty = true
		w.lastEnd = max(w.lastEnd, e.Number)
	}
	w.done = done
}

// seen is the count up to which the core has acknowledged every end. What the
// worker no longer lists was acknowledged before.
func (w *worker) seen() uint64 {
	n := w.lastEnd
	for open := range w.ends {
		n = min(n, open-1)
	}
	return n
}

// acked takes the core's acknowledgement of what a report carried.
func (w *worker) acked(r report, acks []ledger.Attempt) {
	for _, n := range r.ends {
		if slices.Contains(acks, w.ends[n].Attempt) {
			delete(w.ends, n)
			w.done[n] = true
		}
	}
	w.own = slices.DeleteFunc(w.own, func(e ledger.End) bool {
		return slices.Contains(acks, e.Attempt) && slices.Contains(r.beat.Ended, e)
	})
	for _, p := range r.beat.Progress {
		w.saved[p.Attempt] = p.Saved
	}
}

// lists says whether the last call lists an attempt as running or ended.
func (w *worker) lists(at ledger.Attempt) bool {
	return slices.ContainsFunc(w.call.Running, func(r Run) bool { return r.Attempt == at }) || w.ended(at)
}

func (w *worker) ended(at ledger.Attempt) bool {
	return slices.ContainsFunc(w.call.Ended, func(e Ended) bool { return e.Attempt == at })
}

func (w *worker) knows(at ledger.Attempt) bool {
	return w.lists(at) || slices.ContainsFunc(w.taken, func(t *taken) bool { return t.Attempt == at }) ||
		slices.ContainsFunc(w.own, func(e ledger.End) bool { return e.Attempt == at })
}

// running is what the worker runs or may run.
func (w *worker) running() []ledger.Attempt {
	var out []ledger.Attempt
	for _, r := range w.call.Running {
		if !w.ended(r.Attempt) {
			out = append(out, r.Attempt)
		}
	}
	for _, t := range w.taken {
		out = append(out, t.Attempt)
	}
	return out
}

func (w *worker) progress() []ledger.Progress {
	var out []ledger.Progress
	for _, r := range w.call.Running {
		if !w.ended(r.Attempt) && r.Saved != w.saved[r.Attempt] {
			out = append(out, ledger.Progress{Attempt: r.Attempt, Saved: r.Saved, Percent: r.Percent})
		}
	}
	return out
}

// savedNew says whether something was saved that the report out does not carry.
func (w *worker) savedNew() bool { return !slices.Equal(w.progress(), w.out.beat.Progress) }

// free is the worker's word less what it has not yet counted.
func (w *worker) free() ledger.Room {
	f := w.call.Free
	for _, t := range w.taken {
		f = f.Less(t.Room)
	}
	return ledger.Room{Slots: max(0, f.Slots), Cores: max(0, f.Cores), MemoryMB: max(0, f.MemoryMB), Accelerators: max(0, f.Accelerators)}
}

// Package agent is the process that stands beside one worker, without a disk,
// and keeps the worker's contract towards the scheduler on its behalf. The
// worker calls it and is answered at once from what is known; the agent keeps
// one report of it out at the primary keeper's process. All that it knows it
// has from the worker's calls and the core's replies, so that it may die at any
// moment: the next one asks the core how far the count of reports has come.
package agent

import (
	"slices"
	"time"

	"sorrelloom/core/ledger"
	"sorrelloom/core/machine"
	"sorrelloom/core/wire"
)

// Env is what an agent begins with. First differs between two runs of the
// process, so that no reply reaches the next run as its own.
type Env struct {
	Address string
	Site    string
	Keepers []string
	First   uint64
	Hold    time.Duration // how long the core may hold a report
	Again   time.Duration // when the worker is to call next
	Silent  time.Duration // after this time without a call the worker is not reported
}

const (
	holdDefault   = 500 * time.Millisecond
	againDefault  = 100 * time.Millisecond
	silentDefault = time.Second

	replyWithin  = 2 * time.Second
	handWithin   = 1500 * time.Millisecond
	replyGrace   = 600 * time.Millisecond
	reportEach   = 10 * time.Millisecond
	savedEach    = 400 * time.Millisecond
	retryAfter   = 100 * time.Millisecond
	rotateAfter  = 60 * time.Millisecond
	rotateMax    = 300 * time.Millisecond
	bouncesMax   = 5
	driftPercent = 3
	driftMore    = 100 * time.Millisecond
	goneMax      = 64
)

// Counters count since the process began. Dropped are starts that were taken
// and never became a run.
type Counters struct {
	Reports, Calls, Begins, Stops, Dropped uint64
}

// Status is for a status page; times are on the agent's own clock.
type Status struct {
	Worker    string
	Primary   string
	Number    uint64
	CalledAt  time.Duration
	RepliedAt time.Duration
	LeaseEnd  time.Duration
	Fence     uint64
	Running   int
	Taken     int
	Unacked   int
	Departing int
	Counters  Counters
}

// Agent keeps the worker that calls and those before it that the core has not
// yet been told are gone.
type Agent struct {
	env       Env
	counters  Counters
	id        uint64
	worker    *worker
	departing []*worker
	gone      []string
	left      Call // the last of a worker that was forgotten

	keepers   []string
	target    string
	primary   string
	bounces   int
	fence     uint64
	lease     time.Duration
	repliedAt time.Duration
	replied   bool
	wakeAt    time.Duration
}

func New(env Env) *Agent {
	if env.Hold <= 0 {
		env.Hold = holdDefault
	}
	if env.Again <= 0 {
		env.Again = againDefault
	}
	if env.Silent <= 0 {
		env.Silent = silentDefault
	}
	a := &Agent{env: env, id: env.First}
	if len(env.Keepers) > 0 {
		a.target = env.Keepers[0]
	}
	return a
}

func (a *Agent) Wakeup() time.Duration { return a.wakeAt }
func (a *Agent) Counters() Counters    { return a.counters }

// Ready says whether the core hears this agent.
func (a *Agent) Ready(now time.Duration) bool {
	return a.counters.Calls == 0 || a.replied && now-a.repliedAt <= replyWithin
}

func (a *Agent) Status() Status {
	s := Status{Primary: a.primary, RepliedAt: a.repliedAt, Fence: a.fence, Departing: len(a.departing), Counters: a.counters}
	if w := a.worker; w != nil {
		s.Worker, s.Number, s.CalledAt, s.LeaseEnd = w.call.Worker, w.number, w.calledAt, w.leaseEnd
		s.Running, s.Taken, s.Unacked = len(w.running()), len(w.taken), len(w.ends)+len(w.own)
	}
	return s
}

func (a *Agent) Step(now time.Duration, in machine.Input) machine.Output {
	var out machine.Output
	switch {
	case in.Stop:
		out.Stopped = true
		return out
	case in.Ask.Key > 0:
		a.ask(now, in.Ask, &out)
	case in.Line.Kind == wire.BeatBack:
		var b wire.BeatBackBody
		if err := machine.Unmarshal(in.Line.Body, &b); err != nil {
			out.Log("line_damaged", "kind", in.Line.Kind, "from", in.Line.From, "why", err.Error())
			break
		}
		a.reply(now, b, &out)
	case in.Line.Kind != "":
		out.Log("line_unknown", "kind", in.Line.Kind, "from", in.Line.From)
	}
	a.wakeAt = 0
	for _, w := range a.workers() {
		a.expire(now, w, &out)
		a.report(now, w, &out)
	}
	return out
}

func (a *Agent) workers() []*worker {
	all := slices.Clone(a.departing)
	if a.worker != nil {
		all = append(all, a.worker)
	}
	return all
}

// wake asks to be stepped at a time that is still to come.
func (a *Agent) wake(now, at time.Duration) {
	if at = max(at, now+time.Millisecond); a.wakeAt == 0 || at < a.wakeAt {
		a.wakeAt = at
	}
}

// forget drops a worker that the core knows to be gone.
func (a *Agent) forget(w *worker) {
	a.departing = slices.DeleteFunc(a.departing, func(o *worker) bool { return o == w })
	if a.worker == w {
		a.worker, a.left = nil, w.call
	}
}

// bury has a name answered without orders from now on: a late call of a worker
// that is gone must not take the place of the one that calls now.
func (a *Agent) bury(name string) {
	if a.gone = append(a.gone, name); len(a.gone) > goneMax {
		a.gone = a.gone[1:]
	}
}

// expire withdraws starts that may no longer be handed over.
func (a *Agent) expire(now time.Duration, w *worker, out *machine.Output) {
	w.taken = slices.DeleteFunc(w.taken, func(t *taken) bool {
		why := w.refuses(now, t)
		t.withdrawn = t.withdrawn || why != ""
		if why == "" || t.handed {
			return false
		}
		a.drop(w, t.Attempt, why, out)
		return true
	})
	for _, t := range w.taken {
		if !t.withdrawn {
			a.wake(now, min(t.until, w.leaseEnd))
		}
	}
}

// drop reports a start as lost that never became a run.
func (a *Agent) drop(w *worker, at ledger.Attempt, why string, out *machine.Output) {
	w.own = append(w.own, ledger.End{Attempt: at, Lost: true, Why: why})
	w.dirty = true
	a.counters.Dropped++
	out.Log("start_dropped", "worker", w.call.Worker, "attempt", at.String(), "why", why)
}

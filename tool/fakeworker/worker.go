// Package fakeworker is a stand-in for the users' workers, written to the contract
// in docs/workers.md, with faults that can be switched on. It is a state
// machine without input or output, driven by the standin program and by the
// simulator. It keeps its own record of every run, from which the promises are
// checked without asking the ledger.
package fakeworker

import (
	"encoding/json"
	"slices"
	"time"

	"sorrelloom/core/state"
)

// Faults are what a worker can be told to do wrong.
type Faults struct {
	Slow     float64 `json:"slow,omitempty"`
	FailEach int     `json:"failEach,omitempty"`
	// FailClass fails all of one class, and nothing else.
	FailClass string `json:"failClass,omitempty"`
	Hang      bool   `json:"hang,omitempty"`
	LieSlots  int    `json:"lieSlots,omitempty"`
	RunOn     bool   `json:"runOn,omitempty"`
	NoLimit   bool   `json:"noLimit,omitempty"`
}

type Env struct {
	ID, Site, Rack, Service string
	Labels                  []string
	Total                   state.Resources
	Incarnation             int64
}

// Run is one line of the worker's own record.
type Run struct {
	state.Attempt
	Worker  string          `json:"worker"`
	Class   string          `json:"class"`
	Service string          `json:"service"`
	Room    state.Resources `json:"room"`
	Gang    string          `json:"gang,omitempty"`
	From    time.Duration   `json:"from"`
	To      time.Duration   `json:"to"`
	Outcome string          `json:"outcome"`
}

// Payload is what the stand-in understands of a task. FetchMs is what each input
// costs that another worker holds.
type Payload struct {
	RunMs   int64 `json:"runMs"`
	FetchMs int64 `json:"fetchMs,omitempty"`
	Fail    bool  `json:"fail,omitempty"`
}

const (
	HoldFor  = time.Second
	DropLate = 2 * time.Second
	again    = 200 * time.Millisecond
	stopTook = 20 * time.Millisecond
)

type running struct {
	start  state.StartOrder
	from   time.Duration
	until  time.Duration
	fail   bool
	hung   bool
	stopAt time.Duration
	limit  time.Duration
}

type Worker struct {
	env      Env
	faults   Faults
	number   uint64
	sentAt   time.Duration
	waiting  bool
	nextBeat time.Duration
	cutoff   time.Duration
	run      map[state.Attempt]running
	ended    []state.AttemptResult
	seen     map[state.Attempt]bool
	leaving  bool
	changed  bool
	count    int
	Runs     []Run
}

func New(env Env) *Worker {
	return &Worker{env: env, run: map[state.Attempt]running{}, seen: map[state.Attempt]bool{}}
}

// Carry takes over the ends that an earlier incarnation noted and that were not
// acknowledged; a real worker keeps them on its disk.
func (w *Worker) Carry(ends []state.AttemptResult) { w.ended = append(w.ended, ends...) }

// Unacked gives the ends to carry.
func (w *Worker) Unacked() []state.AttemptResult { return slices.Clone(w.ended) }

func (w *Worker) Set(f Faults)       { w.faults = f }
func (w *Worker) ID() string         { return w.env.ID }
func (w *Worker) Running() int       { return len(w.run) }
func (w *Worker) Idle() bool         { return len(w.run) == 0 && len(w.ended) == 0 }
func (w *Worker) Incarnation() int64 { return w.env.Incarnation }

func (w *Worker) Leave()                 { w.leaving, w.changed = true, true }
func (w *Worker) Leaving() bool          { return w.leaving }
func (w *Worker) Faults() Faults         { return w.faults }
func (w *Worker) Total() state.Resources { return w.env.Total }
func (w *Worker) Cutoff() time.Duration  { return w.cutoff }

func (w *Worker) close(a state.Attempt, now time.Duration, outcome, why string) {
	r := w.run[a]
	delete(w.run, a)
	w.Runs = append(w.Runs, Run{a, w.env.ID, r.start.Class, r.start.Service, r.start.Resources, r.start.Gang, r.from, now, outcome})
	w.ended = append(w.ended, state.AttemptResult{Attempt: a, Succeeded: outcome == "good", Stopped: outcome == "stopped", Reason: why})
	w.changed = true
}

// Tick ends what is due and says whether a beat is to be sent now.
func (w *Worker) Tick(now time.Duration) (state.Heartbeat, bool) {
	for _, a := range w.attempts() {
		r := w.run[a]
		switch {
		case r.stopAt > 0 && now >= r.stopAt:
			w.close(a, now, "stopped", "")
		case w.cutoff > 0 && now >= w.cutoff && !w.faults.RunOn:
			w.close(a, now, "stopped", "")
		case now >= r.limit && !w.faults.NoLimit && (r.hung || r.limit < r.until):
			w.close(a, now, "bad", "the run limit passed")
		case r.hung || now < r.until:
		case r.fail:
			w.close(a, now, "bad", "the task failed")
		default:
			w.close(a, now, "good", "")
		}
	}
	if w.changed || !w.waiting && now >= w.nextBeat || w.waiting && now > w.sentAt+DropLate {
		return w.beat(now), true
	}
	return state.Heartbeat{}, false
}

func (w *Worker) attempts() []state.Attempt {
	out := make([]state.Attempt, 0, len(w.run))
	for a := range w.run {
		out = append(out, a)
	}
	slices.SortFunc(out, func(a, b state.Attempt) int {
		if a.String() < b.String() {
			return -1
		}
		return 1
	})
	return out
}

func (w *Worker) beat(now time.Duration) state.Heartbeat {
	w.number++
	w.sentAt, w.waiting, w.changed = now, true, false
	free := w.env.Total
	for _, r := range w.run {
		free = free.Sub(r.start.Resources)
	}
	free.Slots += w.faults.LieSlots
	return state.Heartbeat{
		Worker: w.env.ID, Incarnation: w.env.Incarnation, Number: w.number, Zone: w.env.Site, Rack: w.env.Rack, Service: w.env.Service,
		Labels: w.env.Labels, Running: w.attempts(), Ended: slices.Clone(w.ended), Free: free, Leaving: w.leaving,
	}
}

// Wakeup is when Tick should be called at the latest.
func (w *Worker) NextTimer() time.Duration {
	at := w.nextBeat
	if w.waiting {
		at = w.sentAt + DropLate + time.Millisecond
	}
	for _, r := range w.run {
		at = min(at, r.limit)
		if !r.hung {
			at = min(at, r.until)
		}
		if r.stopAt > 0 {
			at = min(at, r.stopAt)
		}
	}
	if len(w.run) > 0 && w.cutoff > 0 {
		at = min(at, w.cutoff)
	}
	return at
}

// Reply takes the answer to a beat; one to an earlier beat, or one that comes
// late, is dropped whole.
func (w *Worker) Reply(now time.Duration, number uint64, good bool, orders state.HeartbeatReply) {
	if number != w.number || !w.waiting {
		return
	}
	w.waiting = false
	if now-w.sentAt > DropLate {
		w.nextBeat = now
		return
	}
	if !good {
		w.nextBeat = now + again
		if orders.Incarnation > w.env.Incarnation {
			w.env.Incarnation = orders.Incarnation + 1
		}
		return
	}
	w.nextBeat = now
	w.cutoff = max(w.cutoff, w.sentAt+orders.LeaseDuration)
	w.ended = slices.DeleteFunc(w.ended, func(e state.AttemptResult) bool { return slices.Contains(orders.Acks, e.Attempt) })
	for _, a := range orders.Stops {
		if r, ok := w.run[a]; ok && r.stopAt == 0 && !r.hung {
			r.stopAt = now + stopTook
			w.run[a] = r
		} else if ok && r.stopAt == 0 {
			r.stopAt = now + 10*stopTook
			w.run[a] = r
		}
	}
	for _, s := range orders.Starts {
		if w.seen[s.Attempt] {
			continue
		}
		w.seen[s.Attempt], w.changed = true, true
		w.start(now, s)
	}
}

func (w *Worker) start(now time.Duration, s state.StartOrder) {
	var p Payload
	if json.Unmarshal(s.Payload, &p) != nil || p.RunMs <= 0 {
		p.RunMs = 50
	}
	w.count++
	took := time.Duration(p.RunMs) * time.Millisecond
	for _, holder := range s.DependencyWorkers {
		if holder != w.env.ID {
			took += time.Duration(p.FetchMs) * time.Millisecond
		}
	}
	if w.faults.Slow > 1 {
		took = time.Duration(float64(took) * w.faults.Slow)
	}
	fail := p.Fail || w.faults.FailEach > 0 && w.count%w.faults.FailEach == 0 || w.faults.FailClass == s.Class && s.Class != ""
	w.run[s.Attempt] = running{start: s, from: now, until: now + took, fail: fail, hung: w.faults.Hang, limit: now + s.RunLimit.Duration}
}

// Open gives the runs that have not ended, as they stand.
func (w *Worker) Open() []Run {
	var out []Run
	for _, a := range w.attempts() {
		r := w.run[a]
		out = append(out, Run{a, w.env.ID, r.start.Class, r.start.Service, r.start.Resources, r.start.Gang, r.from, 0, ""})
	}
	return out
}

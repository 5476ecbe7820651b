// Workers beside a side: what a worker does by the contract of core/agent, with
// its own notes of every run.

package sim

import (
	"encoding/json"
	"fmt"
	"slices"
	"strings"
	"time"

	"sorrelloom/core/agent"
	"sorrelloom/core/machine"
	"sorrelloom/core/state"
	"sorrelloom/tool/fakeworker"
)

const (
	callWithin = time.Second
	saveEach   = 200 * time.Millisecond
	gangWait   = 4 * time.Second
	gangTells  = 200 * time.Millisecond
	// slowest is by how much a worker's clock may go slow.
	slowest = 0.02
)

// ward is one run that goes on.
type ward struct {
	run     run
	took    time.Duration
	percent int
	fails   bool
	gang    *ring
}

// ring is one try of a gang: its members run only while all are there, and end as
// one.
type ring struct {
	size    int
	members []*beside
	at      []state.Attempt
	broken  bool
}

// beside is one life of a worker. Its clock begins with its life and goes at rate.
type beside struct {
	c       *Centers
	hand    *hand
	place   *place
	rate    float64
	born    time.Duration
	up      bool
	number  uint64
	ends    uint64
	fence   uint64
	hold    time.Duration
	run     map[state.Attempt]*ward
	ended   []agent.EndedRun
	seen    map[state.Attempt]bool
	leaving time.Duration
	fails   bool
	keeps   bool // breaks the contract: runs on when its hold is over
	mute    bool // breaks the contract: does not say that it leaves
}

// place is a machine with its side, at which one life of a worker follows another.
type place struct {
	lies    state.Resources // breaks the contract: said to be free beside the total
	number  int
	address string
	side    *node
	site    string
	rack    string
	service string
	labels  []string
	total   state.Resources
	lives   int
	now     *beside
}

func (b *beside) name() string { return b.hand.env.ID }

func (b *beside) local(now time.Duration) time.Duration {
	return time.Duration(float64(now-b.born) * b.rate)
}

func (b *beside) world(local time.Duration) time.Duration {
	return b.born + time.Duration(float64(local)/b.rate) + time.Microsecond
}

// birth starts a worker's process under a new name.
func (c *Centers) birth(p *place) {
	if p.now != nil && p.now.up {
		return
	}
	p.lives++
	e := fakeworker.Env{ID: fmt.Sprintf("w%02d.%d", p.number, p.lives), Site: p.site, Rack: p.rack, Service: p.service, Labels: p.labels, Total: p.total}
	h := &hand{env: e, w: fakeworker.New(e), up: true, acked: map[state.Attempt]time.Duration{}}
	c.hands[e.ID] = h
	p.now = &beside{c: c, hand: h, place: p, rate: 1 - slowest*c.w.chance.Float64(), born: c.w.Now, up: true, run: map[state.Attempt]*ward{}, seen: map[state.Attempt]bool{}}
	c.w.say("worker %s at %s", e.ID, p.address)
	p.now.call()
}

// death ends a worker's process with all that it runs.
func (b *beside) death() {
	if !b.up {
		return
	}
	b.c.w.say("worker %s dies", b.name())
	for _, a := range b.attempts() {
		b.end(a, "", false)
	}
	b.up = false
	b.hand.up = false
	b.hand.silent(b.c.w.Now)
	if n := len(b.hand.lefts); n > 0 {
		b.hand.lefts[n-1][1] = b.c.w.Now
	}
}

func (b *beside) attempts() []state.Attempt {
	out := make([]state.Attempt, 0, len(b.run))
	for a := range b.run {
		out = append(out, a)
	}
	slices.SortFunc(out, func(x, y state.Attempt) int { return strings.Compare(x.String(), y.String()) })
	return out
}

// how is each outcome in the words of the contract.
var how = map[string]string{"good": agent.OutcomeSucceeded, "bad": agent.OutcomeFailed, "stopped": agent.OutcomeStopped, "lapsed": agent.OutcomeLost, "broken": agent.OutcomeLost, "alone": agent.OutcomeLost}

// end ends one run, and says so from the next call on. A gang breaks with it.
func (b *beside) end(a state.Attempt, outcome string, quiet bool) {
	w, ok := b.run[a]
	if !ok {
		return
	}
	delete(b.run, a)
	w.run.to, w.run.Outcome = b.c.w.Now, outcome
	w.run.alone = w.gang != nil && len(w.gang.members) < w.gang.size
	b.hand.past = append(b.hand.past, w.run)
	if outcome != "" {
		b.ends++
		b.ended = append(b.ended, agent.EndedRun{Number: b.ends, Run: agent.Run{Attempt: a, Checkpoint: b.saved(a, w), Percent: w.percent}, Outcome: how[outcome], Reason: outcome})
	}
	if w.gang != nil && !quiet {
		w.gang.breaks(b.c)
	}
}

// breaks tells the other members after a moment that one is gone.
func (g *ring) breaks(c *Centers) {
	if g.broken {
		return
	}
	g.broken = true
	c.w.After(gangTells, func() {
		for i, m := range g.members {
			m.end(g.at[i], "broken", true)
		}
	})
}

// textOf is what a run's saved text begins with: its task's, or its gang's.
func textOf(a state.Attempt, gang string) string {
	if gang != "" {
		return a.Job + "/" + gang + ":"
	}
	return a.Job + "/" + a.Task + ":"
}

func (b *beside) saved(a state.Attempt, w *ward) string {
	if w.percent == 0 {
		return ""
	}
	return fmt.Sprintf("%s%d", textOf(a, w.run.Gang), w.percent)
}

// call says all that the worker has to say, and calls again after the answer.
func (b *beside) call() {
	if !b.up {
		return
	}
	b.number++
	number, sent := b.number, b.local(b.c.w.Now)
	said := agent.Call{Worker: b.name(), Number: number, Address: b.place.address, Service: b.place.service, Zone: b.place.site, Rack: b.place.rack,
		Labels: b.place.labels, Free: b.place.total.Add(b.place.lies), Leaving: b.leaving > 0 && !b.mute, Ended: slices.Clone(b.ended)}
	if said.Leaving {
		said.LeavesIn = max(time.Millisecond, b.leaving-b.c.w.Now)
	}
	for _, a := range b.attempts() {
		said.Running = append(said.Running, agent.Run{Attempt: a, Checkpoint: b.saved(a, b.run[a]), Percent: b.run[a].percent})
	}
	ask := machine.Request{Kind: agent.RequestCall, Name: b.name(), Decoded: said, Wait: callWithin}
	b.c.w.Ask(b.place.address, b.place.site, b.place.side.address, ask, callWithin, func(v any) {
		b.c.w.trace(b.name(), number, len(v.(agent.CallReply).Starts))
	}, func(v any, ok bool) {
		if !b.up || number != b.number {
			return
		}
		again := 100 * time.Millisecond
		if told, is := v.(agent.CallReply); ok && is {
			b.told(sent, told)
			again = max(again, told.NextCallIn)
		}
		b.c.w.After(again, b.call)
	})
}

// told takes the answer to the last call.
func (b *beside) told(sent time.Duration, t agent.CallReply) {
	now := b.c.w.Now
	if t.FencingEpoch > 0 && t.FencingEpoch < b.fence {
		b.c.excuse("fence", "an answer below the fence is dropped by the worker")
		return
	}
	b.fence = max(b.fence, t.FencingEpoch)
	b.ended = slices.DeleteFunc(b.ended, func(e agent.EndedRun) bool {
		if e.Number > t.AcknowledgedEnds {
			return false
		}
		b.hand.acked[e.Attempt] = now
		return true
	})
	if t.LeaseRemaining > 0 && sent+t.LeaseRemaining > b.hold {
		b.hold = sent + t.LeaseRemaining
		if b.local(now) < b.hold {
			b.hand.heard(now)
			b.c.w.At(b.world(b.hold), b.lapse)
		}
	}
	for _, a := range t.Stops {
		if _, ok := b.run[a]; ok {
			b.c.w.After(time.Duration(10+b.c.w.chance.IntN(40))*time.Millisecond, func() { b.end(a, "stopped", false) })
		}
	}
	for _, begin := range t.Starts {
		if !b.seen[begin.Attempt] {
			b.seen[begin.Attempt] = true
			b.begin(begin)
		}
	}
}

// lapse ends everything once the hold is over by the worker's own clock.
func (b *beside) lapse() {
	if !b.up || b.local(b.c.w.Now) < b.hold {
		return
	}
	b.hand.silent(b.c.w.Now)
	if b.keeps {
		return
	}
	for _, a := range b.attempts() {
		b.end(a, "lapsed", false)
	}
}

func (b *beside) begin(order agent.StartOrder) {
	now := b.c.w.Now
	if b.local(now) >= b.hold && !b.keeps {
		b.ends++
		b.ended = append(b.ended, agent.EndedRun{Number: b.ends, Run: agent.Run{Attempt: order.Attempt}, Outcome: agent.OutcomeLost, Reason: "refused"})
		return
	}
	var payload struct {
		RunMs []int64 `json:"runMs"`
	}
	task, step, due := b.c.find(order.Attempt)
	if json.Unmarshal(order.Payload, &payload) != nil || task == nil || step >= len(payload.RunMs) {
		b.c.fault("wrong-worker", "%s begins on %s and nobody asked for it", order.Attempt, b.name())
		return
	}
	if b.c.count("before-due"); !due.IsZero() && b.c.w.wall().Add(b.c.clockSlack).Before(due) {
		b.c.fault("before-due", "%s begins on %s at %s, %s before its time", order.Attempt, b.name(), secs(now), due.Sub(b.c.w.wall()))
	}
	job := b.c.byID[order.Job]
	w := &ward{took: time.Duration(payload.RunMs[step]) * time.Millisecond, fails: b.fails && b.c.w.chance.IntN(3) == 0}
	w.run = run{Run: fakeworker.Run{Attempt: order.Attempt, Worker: b.name(), Class: job.spec.Class, Service: b.place.service, Room: task.Resources, Gang: task.Gang}, from: now}
	if order.Checkpoint != "" {
		b.c.count("saved-of-another")
		if _, err := fmt.Sscanf(strings.TrimPrefix(order.Checkpoint, textOf(order.Attempt, task.Gang)), "%d", &w.percent); err != nil {
			b.c.fault("saved-of-another", "%s on %s is handed %q", order.Attempt, b.name(), order.Checkpoint)
		}
	}
	if !task.Checkpointed {
		w.percent = 0
	}
	b.run[order.Attempt] = w
	if task.Gang == "" {
		b.proceed(order.Attempt, w, task.Checkpointed, task.LongRunning)
		return
	}
	b.join(order.Attempt, w, task.Checkpointed)
}

// join waits for the other members, for so long only.
func (b *beside) join(a state.Attempt, w *ward, progress bool) {
	key := fmt.Sprintf("%s/%s/%d", a.Job, w.run.Gang, a.Number)
	g := b.c.rings[key]
	if g == nil {
		g = &ring{size: b.c.gangSize(a.Job, w.run.Gang)}
		b.c.rings[key] = g
	}
	w.gang = g
	g.members, g.at = append(g.members, b), append(g.at, a)
	if g.broken {
		b.c.w.After(gangTells, func() { b.end(a, "broken", true) })
		return
	}
	if len(g.members) == g.size {
		for i, m := range g.members {
			m.proceed(g.at[i], m.run[g.at[i]], progress, false)
		}
		return
	}
	b.c.w.After(gangWait, func() {
		if b.run[a] == w && len(g.members) < g.size {
			b.end(a, "alone", false)
		}
	})
}

// proceed lets a run go on to its end.
func (b *beside) proceed(a state.Attempt, w *ward, progress, lasting bool) {
	left := w.took * time.Duration(100-w.percent) / 100
	from, at := w.percent, b.c.w.Now
	if progress {
		var save func()
		save = func() {
			if b.run[a] != w {
				return
			}
			w.percent = min(99, from+int(100*(b.c.w.Now-at)/max(1, w.took)))
			b.c.w.After(saveEach, save)
		}
		b.c.w.After(saveEach, save)
	}
	if lasting {
		return
	}
	b.c.w.After(left, func() {
		if b.run[a] != w {
			return
		}
		if g := w.gang; g != nil {
			if g.broken {
				return
			}
			for i, m := range g.members {
				if other := m.run[g.at[i]]; other != nil && other.fails {
					m.end(g.at[i], "bad", false)
					return
				}
			}
			g.broken = true
			for i, m := range g.members {
				m.end(g.at[i], "good", true)
			}
			return
		}
		if w.fails {
			b.end(a, "bad", false)
		} else {
			b.end(a, "good", false)
		}
	})
}

// leave has a worker say that it goes, with time left, and go.
func (b *beside) leave(left, back time.Duration) {
	if !b.up || b.leaving > 0 {
		return
	}
	c, p := b.c, b.place
	c.w.say("worker %s leaves in %s", b.name(), left)
	b.leaving = c.w.Now + left
	b.hand.lefts = append(b.hand.lefts, [2]time.Duration{c.w.Now, b.leaving})
	c.w.After(left, func() {
		if !b.up {
			return
		}
		if c.w.chance.IntN(2) == 0 {
			c.w.Ask(p.address, p.site, p.side.address, machine.Request{Kind: agent.RequestLeave, Name: b.name()}, callWithin, func(any) {}, func(any, bool) {})
		}
		b.death()
		c.w.After(back, func() { c.birth(p) })
	})
}

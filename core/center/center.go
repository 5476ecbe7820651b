// Package center is a keeper and a dispatcher in one machine: while the keeper
// leads, the dispatcher takes the duties of all sites and works on the keeper's
// own ledger, so that nobody else needs a copy of it. What it chooses is checked
// by the ledger as any other's choice, and told to a worker only once all disks
// of the view have it. When the lead goes, all that the dispatcher knows is dropped.
package center

import (
	"time"

	"sorrelloom/core/code"
	"sorrelloom/core/follow"
	"sorrelloom/core/keeper"
	"sorrelloom/core/ledger"
	"sorrelloom/core/machine"
	"sorrelloom/core/scheduler"
	"sorrelloom/core/wire"
)

type Env struct {
	Address  string
	Site     string
	Founders []string
	FreshID  string
	Boot     uint64
	// Copies is how many backups the keeper's view shall have.
	Copies int
}

type Center struct {
	env       Env
	keeper    *keeper.Keeper
	scheduler *scheduler.Scheduler
	own       own
	// term is the keeper's count of terms that the dispatcher works in; 0 is none.
	term uint64
	// beats wait while the keeper is about to serve.
	beats []machine.Line
}

// beatsMax is how many reports wait for the keeper to serve.
const beatsMax = 1024

// own is the keeper's ledger as the dispatcher's authority.
type own struct {
	keeper *keeper.Keeper
	next   uint64
}

func (o *own) View() *ledger.Ledger  { return o.keeper.Ledger() }
func (o *own) Own() bool             { return true }
func (o *own) Leave(*machine.Output) {}
func (o *own) Loaded() bool          { return o.keeper.Serving() }

func (o *own) Fresh(now time.Duration) bool { return o.keeper.Proven(now) && !o.keeper.Behind() }

func (o *own) Submit(now time.Duration, cmd ledger.Command, _ time.Duration, out *machine.Output) uint64 {
	o.next++
	o.keeper.Command(now, o.next, cmd, out)
	return o.next
}

func (o *own) Line(time.Duration, machine.Line, *machine.Output) ([]follow.Result, bool) {
	return nil, false
}

func (o *own) Wake(time.Duration, *machine.Output) []follow.Result {
	var out []follow.Result
	for _, b := range o.keeper.TakeOwn() {
		out = append(out, follow.Result{ID: b.ID, At: b.At, Answer: b.Answer})
	}
	return out
}

// New rebuilds a center from what its keeper has stored.
func New(env Env, stored machine.Stored) (*Center, error) {
	k, err := keeper.New(keeper.Env{Address: env.Address, Site: env.Site, Founders: env.Founders, FreshID: env.FreshID, Boot: env.Boot, Copies: env.Copies, Dispatches: true}, stored)
	if err != nil {
		return nil, err
	}
	c := &Center{env: env, keeper: k}
	c.own = own{keeper: k}
	c.scheduler = scheduler.NewWith(scheduler.Env{Address: env.Address, Site: env.Site, First: env.Boot}, &c.own)
	return c, nil
}

func (c *Center) ID() string             { return c.keeper.ID() }
func (c *Center) Keeper() *keeper.Keeper { return c.keeper }

// Scheduler gives the dispatcher, for its counters.
func (c *Center) Scheduler() *scheduler.Scheduler { return c.scheduler }

func (c *Center) Wakeup() time.Duration {
	if at := c.scheduler.Wakeup(); c.term > 0 && c.keeper.Serving() && at > 0 {
		return min(at, c.keeper.Wakeup())
	}
	return c.keeper.Wakeup()
}

// Step gives the input to the keeper or the dispatcher, then lets the other see
// what came of it, and the keeper send and write all that was asked for.
func (c *Center) Step(now time.Duration, in machine.Input) machine.Output {
	var out machine.Output
	beat := in.Line.Kind == wire.Beat
	if !beat {
		out = c.keeper.Step(now, in)
	}
	c.follow()
	switch {
	case c.keeper.Serving():
		passed := in
		if !beat {
			passed = machine.Input{}
		}
		for _, line := range c.takeBeats() {
			c.dispatch(now, machine.Input{Line: line}, &out)
		}
		c.dispatch(now, passed, &out)
		for c.keeper.HasOwn() {
			c.dispatch(now, machine.Input{}, &out)
		}
	case beat && c.keeper.Starting() && len(c.beats) < beatsMax:
		c.beats = append(c.beats, in.Line)
	case c.keeper.Starting():
		if beat {
			c.bounce(in.Line, &out)
		}
	default:
		c.keeper.TakeOwn()
		c.keeper.Ledger().TakeChanges()
		for _, line := range c.takeBeats() {
			c.bounce(line, &out)
		}
		if beat {
			c.bounce(in.Line, &out)
		}
	}
	return out
}

// follow has the dispatcher forget everything when a term of the keeper begins or
// ends. A keeper that keeps the lead through a change of view stays in its term.
func (c *Center) follow() {
	term := uint64(0)
	if c.keeper.Serving() || c.keeper.Resuming() {
		term = c.keeper.Terms()
	}
	if term != c.term {
		c.term = term
		c.scheduler.Drop()
	}
}

func (c *Center) takeBeats() []machine.Line {
	lines := c.beats
	c.beats = nil
	return lines
}

func (c *Center) dispatch(now time.Duration, in machine.Input, out *machine.Output) {
	mine := c.scheduler.Step(now, in)
	mine.Stopped = false
	merge(out, mine)
	merge(out, c.keeper.Flush(now))
}

// bounce sends a beat on to the one that leads.
func (c *Center) bounce(line machine.Line, out *machine.Output) {
	var b wire.BeatBody
	if err := machine.Unmarshal(line.Body, &b); err != nil {
		out.Log("line_damaged", "kind", line.Kind, "from", line.From, "why", err.Error())
		return
	}
	back := wire.BeatBackBody{ID: b.ID, Answer: ledger.Answer{Code: code.NotPrimary, Why: "this keeper does not lead now"}, Keepers: c.keeper.Keepers()}
	if v := c.keeper.View(); v.Primary.ID != c.keeper.ID() {
		back.Primary = v.Primary.Address
	}
	out.Send(line.From, wire.BeatBack, back)
}

func merge(out *machine.Output, more machine.Output) {
	out.Sends = append(out.Sends, more.Sends...)
	out.Writes = append(out.Writes, more.Writes...)
	out.Answers = append(out.Answers, more.Answers...)
	out.Events = append(out.Events, more.Events...)
	out.Audits = append(out.Audits, more.Audits...)
	out.Stopped = out.Stopped || more.Stopped
}

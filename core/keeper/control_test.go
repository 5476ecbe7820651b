// What the tests of the control machines share: clients that read, lines that are
// cut in one direction, processes that are frozen, and a check of what was answered.
package keeper

import (
	"encoding/json"
	"fmt"
	"slices"
	"testing"
	"time"

	"sorrelloom/core/code"
	"sorrelloom/core/ledger"
	"sorrelloom/core/machine"
	"sorrelloom/core/register"
	"sorrelloom/core/wire"
)

const (
	// catchUpThree and catchUpFive are how long after its return a machine still
	// counts as lost, with one and with two that may be lost.
	catchUpThree = 4 * time.Second
	catchUpFive  = 6 * time.Second
	// serveAgain bounds the time from a loss within the tolerance to the next answer.
	serveAgain = 4 * time.Second
	// slowWriter is how often clients write in long tests, as a change of the plan is dear.
	slowWriter = 200 * time.Millisecond
)

// newest is the sequence of the newest plan that was answered.
func (c *trio) newest() (newest uint64) {
	for sequence := range c.answered {
		newest = max(newest, sequence)
	}
	return newest
}

// askAll has a client ask every process that is up for the plan.
func (c *trio) askAll() {
	for _, h := range c.hosts {
		if h.k == nil || h.cut {
			continue
		}
		c.asked++
		c.asks[c.asked] = c.newest()
		body := wire.CommandBody{ID: c.asked, Command: ledger.Command{Kind: ledger.KindReadPlan}}
		line := machine.Line{
			Wire: machine.WireSequence, Kind: wire.Command, From: "reader", Body: machine.MustMarshal(body),
		}
		c.step(h, machine.Input{Line: line})
	}
}

// read checks that an answer is no older than what was answered before the question.
func (c *trio) read(h *host, s machine.Send) {
	b, ok := s.Body.(wire.CommandBackBody)
	if !ok || b.Answer.Code == code.NotPrimary {
		return
	}
	if c.onRead != nil {
		c.onRead(h, b)
	}
	if want := c.asks[b.ID]; b.Answer.Sequence < want {
		c.t.Errorf("%s handed out plan %d at %s; plan %d had been answered before it was asked",
			h.address, b.Answer.Sequence, c.now, want)
	}
}

func (c *trio) freeze(h *host) {
	c.say("freeze %s", h.address)
	h.frozen = h.k != nil
}

// thaw has a process go on with all that came meanwhile.
func (c *trio) thaw(h *host) {
	if !h.frozen {
		return
	}
	c.say("thaw %s", h.address)
	h.frozen = false
	missed := h.missed
	h.missed = nil
	for _, in := range missed {
		if h.k != nil {
			c.step(h, in)
		}
	}
}

// remove takes a machine away for good, with its disk.
func (c *trio) remove(h *host) {
	c.wipe(h)
	c.hosts = slices.DeleteFunc(c.hosts, func(o *host) bool { return o == h })
}

// stop asks a process to leave and waits until it has gone, as long as the grace lasts.
func (c *trio) stop(h *host, grace time.Duration) {
	if h.k == nil {
		return
	}
	c.say("stop %s", h.address)
	c.step(h, machine.Input{Stop: true})
	for from := c.now; h.k != nil && c.now-from < grace; {
		c.pass(stride)
	}
	c.kill(h)
}

// of gives a process by its part in the view by which the cluster serves.
func (c *trio) of(part string) *host {
	p := c.primary()
	if p == nil {
		c.t.Fatalf("nobody serves at %s\n%s", c.now, c.tell(60))
	}
	v := p.k.View()
	switch part {
	case "primary":
		return p
	case "backup":
		return c.host(v.Backups[0].Address)
	case "second backup":
		return c.host(v.Backups[len(v.Backups)-1].Address)
	}
	i := slices.IndexFunc(v.Witnesses, func(s wire.Seat) bool {
		return s.ID != v.Primary.ID && !slices.ContainsFunc(v.Backups, func(b wire.Seat) bool { return b.ID == s.ID })
	})
	return c.host(v.Witnesses[i].Address)
}

// sized gives a founded cluster that bears so many losses.
func sized(t testing.TB, losses int) *trio {
	c := newTrio
	if losses == 2 {
		c = newFive
	}
	founded := c(t)
	founded.each = slowWriter
	return founded
}

// settled wants an answer within the bound, and after it all that was answered.
func (c *trio) settled(what string, bound time.Duration) time.Duration {
	c.t.Helper()
	took, ok := c.serves(max(bound, 12*time.Second))
	if !ok || took > bound {
		c.t.Errorf("%s: served again after %s: %v\n%s", what, took, ok, c.tell(60))
	}
	c.check()
	return took
}

// oneView checks that no two disks ever hold an epoch as different views.
func (c *trio) oneView(h *host, value json.RawMessage) {
	var state register.State
	if err := json.Unmarshal(value, &state); err != nil {
		c.t.Fatalf("%s: %v", h.address, err)
	}
	v := state.Known
	if v.Epoch == 0 {
		return
	}
	name := fmt.Sprint(v.Boot, v.Primary.ID, v.Backups, v.Witnesses)
	if known, ok := c.views[v.Epoch]; ok && known != name {
		c.t.Errorf("%s has epoch %d as %s, another as %s", h.address, v.Epoch, name, known)
		return
	}
	c.views[v.Epoch] = name
}

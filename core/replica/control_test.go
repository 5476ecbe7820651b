// What the tests of the control machines share: clients that read, lines that are
// cut in one direction, processes that are frozen, and a check of what was answered.

package replica

import (
	"encoding/json"
	"fmt"
	"slices"
	"testing"
	"time"

	"sorrelloom/core/machine"
	"sorrelloom/core/paxos"
	"sorrelloom/core/state"
	"sorrelloom/core/status"
	"sorrelloom/core/wire"
)

const (
	// catchUpThree and catchUpFive are how long after its return a machine still
	// counts as lost, with one and with two that may be lost.
	catchUpOfThree = 4 * time.Second
	catchUpOfFive  = 6 * time.Second
	// serveAgain bounds the time from a loss within the tolerance to the next answer.
	failoverBound = 4 * time.Second
	// slowWriter is how often clients write in long tests, as a change of the plan is dear.
	slowWriteInterval = 200 * time.Millisecond
)

// newest is the sequence of the newest plan that was answered.
func (c *cluster) newestAnswered() (newest uint64) {
	for sequence := range c.answered {
		newest = max(newest, sequence)
	}
	return newest
}

// askAll has a client ask every process that is up for the plan.
func (c *cluster) readAll() {
	for _, h := range c.nodes {
		if h.replica == nil || h.isolated {
			continue
		}
		c.lastRequest++
		c.readFloors[c.lastRequest] = c.newestAnswered()
		body := wire.CommandRequest{ID: c.lastRequest, Command: state.Command{Kind: state.KindReadConfig}}
		line := machine.Message{
			Version: machine.ProtocolVersion, Kind: wire.KindCommand, From: "reader", Body: machine.MustMarshal(body),
		}
		c.step(h, machine.Input{Message: line})
	}
}

// read checks that an answer is no older than what was answered before the question.
func (c *cluster) handleRead(h *node, s machine.OutgoingMessage) {
	b, ok := s.Body.(wire.CommandReply)
	if !ok || b.Result.Code == status.NotPrimary {
		return
	}
	if c.onRead != nil {
		c.onRead(h, b)
	}
	if want := c.readFloors[b.ID]; b.Result.ConfigVersion < want {
		c.t.Errorf("%s handed out plan %d at %s; plan %d had been answered before it was asked",
			h.address, b.Result.ConfigVersion, c.now, want)
	}
}

func (c *cluster) freeze(h *node) {
	c.logf("freeze %s", h.address)
	h.frozen = h.replica != nil
}

// thaw has a process go on with all that came meanwhile.
func (c *cluster) thaw(h *node) {
	if !h.frozen {
		return
	}
	c.logf("thaw %s", h.address)
	h.frozen = false
	missed := h.deferred
	h.deferred = nil
	for _, in := range missed {
		if h.replica != nil {
			c.step(h, in)
		}
	}
}

// remove takes a machine away for good, with its disk.
func (c *cluster) remove(h *node) {
	c.wipe(h)
	c.nodes = slices.DeleteFunc(c.nodes, func(o *node) bool { return o == h })
}

// stop asks a process to leave and waits until it has gone, as long as the grace lasts.
func (c *cluster) stop(h *node, grace time.Duration) {
	if h.replica == nil {
		return
	}
	c.logf("stop %s", h.address)
	c.step(h, machine.Input{Stop: true})
	for from := c.now; h.replica != nil && c.now-from < grace; {
		c.advance(tickStep)
	}
	c.kill(h)
}

// of gives a process by its part in the view by which the cluster serves.
func (c *cluster) nodeByRole(part string) *node {
	p := c.primary()
	if p == nil {
		c.t.Fatalf("nobody serves at %s\n%s", c.now, c.recentLog(60))
	}
	v := p.replica.View()
	switch part {
	case "primary":
		return p
	case "backup":
		return c.node(v.Backups[0].Address)
	case "second backup":
		return c.node(v.Backups[len(v.Backups)-1].Address)
	}
	i := slices.IndexFunc(v.Voters, func(s wire.Member) bool {
		return s.ID != v.Primary.ID && !slices.ContainsFunc(v.Backups, func(b wire.Member) bool { return b.ID == s.ID })
	})
	return c.node(v.Voters[i].Address)
}

// sized gives a founded cluster that bears so many losses.
func newClusterTolerating(t testing.TB, losses int) *cluster {
	c := newCluster
	if losses == 2 {
		c = newClusterOfFive
	}
	founded := c(t)
	founded.writeInterval = slowWriteInterval
	return founded
}

// settled wants an answer within the bound, and after it all that was answered.
func (c *cluster) checkServes(what string, bound time.Duration) time.Duration {
	c.t.Helper()
	took, ok := c.waitForAnswer(max(bound, 12*time.Second))
	if !ok || took > bound {
		c.t.Errorf("%s: served again after %s: %v\n%s", what, took, ok, c.recentLog(60))
	}
	c.checkAnswered()
	return took
}

// oneView checks that no two disks ever hold an epoch as different views.
func (c *cluster) checkSingleView(h *node, value json.RawMessage) {
	var state paxos.Acceptor
	if err := json.Unmarshal(value, &state); err != nil {
		c.t.Fatalf("%s: %v", h.address, err)
	}
	v := state.KnownView
	if v.Epoch == 0 {
		return
	}
	name := fmt.Sprint(v.BootID, v.Primary.ID, v.Backups, v.Voters)
	if known, ok := c.views[v.Epoch]; ok && known != name {
		c.t.Errorf("%s has epoch %d as %s, another as %s", h.address, v.Epoch, name, known)
		return
	}
	c.views[v.Epoch] = name
}

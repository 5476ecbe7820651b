// Checks of the simulated cluster.

package replica

import (
	"encoding/json"
	"fmt"
	"slices"
	"strings"
	"time"

	"sorrelloom/core/machine"
	"sorrelloom/core/paxos"
	"sorrelloom/core/wire"
)

const (
	// catchUpOfThree and catchUpOfFive are how long a host still counts as lost after its
	// return, in a cluster that tolerates one and two losses.
	catchUpOfThree = 4 * time.Second
	catchUpOfFive  = 6 * time.Second
	// failoverBound bounds the time from a tolerated loss to the next answer.
	failoverBound = 4 * time.Second
	// slowWriteInterval is the interval of writes in long tests, since simulating one is slow.
	slowWriteInterval = 200 * time.Millisecond
)

// checkAnswered checks that the primary, if there is one, has every answered write.
func (c *cluster) checkAnswered() {
	p := c.primary()
	if p == nil {
		return
	}
	newest := c.newestAnswered()
	if got := p.replica.Store().Config(); got.Version < newest {
		c.t.Errorf("version %d was answered, but the primary %s has version %d", newest, p.address, got.Version)
	}
}

// checkServes checks that a write is answered within the bound and that no answered write is
// lost. It returns the time until the answer.
func (c *cluster) checkServes(what string, bound time.Duration) time.Duration {
	c.t.Helper()
	took, ok := c.waitForAnswer(max(bound, 12*time.Second))
	if !ok || took > bound {
		c.t.Errorf("%s: next answer after %s, answered: %v\n%s", what, took, ok, c.recentLog(60))
	}
	c.checkAnswered()
	return took
}

// checkSingleView checks that no two disks have different views of the same epoch.
func (c *cluster) checkSingleView(h *host, value json.RawMessage) {
	var acceptor paxos.Acceptor
	if err := json.Unmarshal(value, &acceptor); err != nil {
		c.t.Fatalf("%s: %v", h.address, err)
	}
	v := acceptor.KnownView
	if v.Epoch == 0 {
		return
	}
	name := fmt.Sprint(v.BootID, v.Primary.ID, v.Backups, v.Voters)
	if known, ok := c.views[v.Epoch]; ok && known != name {
		c.t.Errorf("epoch %d is %s on the disk of %s, but %s on another", v.Epoch, name, h.address, known)
		return
	}
	c.views[v.Epoch] = name
}

// checkSameState checks that a host's state equals the primary's once both are at the same
// position.
func (c *cluster) checkSameState(h *host) {
	c.t.Helper()
	for range 400 {
		c.advance(tickStep)
		p := c.primary()
		if p == nil || h.replica == nil || p.replica.Store().Position() != h.replica.Store().Position() {
			continue
		}
		if a, b := fmt.Sprint(p.replica.Store().Records()), fmt.Sprint(h.replica.Store().Records()); a != b {
			c.t.Errorf("%s differs from the primary %s", h.address, p.address)
		}
		return
	}
	c.t.Errorf("%s never reaches the primary's position\n%s", h.address, c.recentLog(30))
}

// checkCaughtUp checks that a host is at the primary's position a second after the last
// write.
func (c *cluster) checkCaughtUp(h *host) {
	c.t.Helper()
	c.writerPaused = true
	c.advance(time.Second)
	c.writerPaused = false
	p := c.primary()
	if p == nil {
		c.t.Errorf("no replica serves")
		return
	}
	if h.replica == nil || h.replica.View().Epoch != p.replica.View().Epoch {
		c.t.Errorf("%s does not know epoch %d", h.address, p.replica.View().Epoch)
		return
	}
	if got, want := h.replica.Store().Position(), p.replica.Store().Position(); got != want {
		c.t.Errorf("%s is at %v, the primary at %v", h.address, got, want)
	}
}

// waitForCatchUp returns how long it takes until a host is fewer than 20 commands behind the
// primary, and false if that takes longer than d.
func (c *cluster) waitForCatchUp(h *host, d time.Duration) (time.Duration, bool) {
	from := c.now
	for c.now-from < d {
		c.advance(tickStep)
		p := c.primary()
		if p == nil || h.replica == nil {
			continue
		}
		if p.replica.Store().Position().Index-h.replica.Store().Position().Index < 20 {
			return c.now - from, true
		}
	}
	return d, false
}

// waitForMembership returns how long it takes until a host is a voter of the view in which the
// cluster serves, and false if that takes longer than d.
func (c *cluster) waitForMembership(h *host, d time.Duration) (time.Duration, bool) {
	from := c.now
	for c.now-from < d {
		c.advance(tickStep)
		if p := c.primary(); p != nil && h.replica != nil && isMember(p.replica, h.replica) {
			return c.now - from, true
		}
	}
	return d, false
}

// allMembersUp reports whether the cluster serves in the newest view and every voter of that
// view is running with its disk.
func (c *cluster) allMembersUp() bool {
	var newest wire.View
	for _, h := range c.hosts {
		if h.replica != nil && h.replica.View().Epoch > newest.Epoch {
			newest = h.replica.View()
		}
	}
	if p := c.primary(); p == nil || p.replica.View().Epoch != newest.Epoch {
		return false
	}
	isDown := func(voter wire.Member) bool {
		return !slices.ContainsFunc(c.hosts, func(h *host) bool { return h.replica != nil && h.replica.ID() == voter.ID })
	}
	return !slices.ContainsFunc(newest.Voters, isDown)
}

// isMember reports whether a replica is a voter of the primary's view.
func isMember(primary, r *Replica) bool {
	return paxos.ContainsMember(primary.View().Voters, r.ID())
}

// traffic counts the messages sent to each host.
type traffic struct {
	messages map[string]int // by kind and receiver
	bytes    map[string]int // by receiver
	largest  int            // size of the largest body in bytes
}

// recordTraffic starts to count the messages between hosts.
func recordTraffic(c *cluster) *traffic {
	sent := &traffic{map[string]int{}, map[string]int{}, 0}
	c.onSend = func(_, to string, message machine.Message) {
		sent.messages[message.Kind+" to "+to]++
		sent.bytes[to] += len(message.Body)
		sent.largest = max(sent.largest, len(message.Body))
	}
	return sent
}

// snapshotChunks counts the chunks sent to all hosts.
func (sent *traffic) snapshotChunks() (chunks int) {
	for kind, count := range sent.messages {
		if strings.HasPrefix(kind, wire.KindSnapshotChunk+" ") {
			chunks += count
		}
	}
	return chunks
}

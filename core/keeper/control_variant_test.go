// Variants of the keeper with one mechanism taken out each, by a change to its state before
// each step. The checks of the other tests must find what goes wrong with them.
package keeper

import (
	"math"
	"testing"
	"time"

	"sorrelloom/core/wire"
)

// recorder counts failures in place of failing.
type recorder struct {
	testing.TB
	failures int
}

func (r *recorder) Errorf(string, ...any) { r.failures++ }

// without says whether a scenario fails with a variant, and wants it to hold without.
func without(t *testing.T, scenario func(c *trio), variant func(c *trio) func(h *host)) {
	t.Helper()
	for _, broken := range []bool{false, true} {
		r := &recorder{TB: t}
		c := newTrio(r)
		if broken {
			c.variant = variant(c)
		}
		scenario(c)
		if broken != (r.failures > 0) {
			t.Errorf("variant %v: %d failures\n%s", broken, r.failures, c.tell(40))
		}
	}
}

// TestVariantsAreFound takes out one mechanism after the other.
func TestVariantsAreFound(t *testing.T) {
	t.Run("a leader that believes that it is heard", func(t *testing.T) {
		without(t, cutPrimary("both"), func(*trio) func(h *host) { return believesItself })
	})
	t.Run("a leader that sends heartbeats though it hears nobody", func(t *testing.T) {
		without(t, cutPrimary("to"), func(c *trio) func(h *host) {
			return func(h *host) {
				for _, s := range h.k.View().Witnesses {
					h.k.found[s.Address] = finding{wire.FoundBody{Seat: s}, c.now - h.boot}
				}
			}
		})
	})
	t.Run("acks before the disk has it", func(t *testing.T) {
		without(t, allLosePower, func(c *trio) func(h *host) {
			c.lyingDisks = true
			return func(h *host) { h.slow = 30 * stride }
		})
	})
	t.Run("a member that is behind and leads", func(t *testing.T) {
		without(t, behindAlone, func(*trio) func(h *host) { return takesItselfForBackup })
	})
	t.Run("an empty disk with the identity of the old one", func(t *testing.T) {
		without(t, wipedWitness, func(c *trio) func(h *host) {
			c.tune = func(h *host, env *Env) { env.FreshID = h.address + "-1" }
			return func(*host) {}
		})
	})
	t.Run("a replaced leader that keeps its epoch", func(t *testing.T) {
		without(t, frozenPrimary, func(*trio) func(h *host) { return believesItself })
	})
}

// believesItself has a leader take all its backups for heard, up to date and agreeing.
func believesItself(h *host) {
	for _, s := range h.k.View().Backups {
		if h.k.leads() {
			h.k.peers[s.ID] = peer{heardAt: math.MaxInt64 / 2, at: h.k.ledger.Position(), synced: true, token: math.MaxUint64}
		}
	}
}

// takesItselfForBackup has a witness that is not named hold that it is a backup.
func takesItselfForBackup(h *host) {
	if v := h.k.View(); v.Epoch > 0 && !h.k.leads() && !h.k.backs() {
		v.Backups = []wire.Seat{h.k.seat}
		h.k.witness.Known = v
	}
}

// cutPrimary cuts the lines of the primary; clients still reach it.
func cutPrimary(direction string) func(c *trio) {
	return func(c *trio) {
		c.reads = true
		c.yes()
		c.cutLines(c.of("primary"), direction)
		c.settled("cut", serveAgain)
		c.pass(5 * time.Second)
		c.late = nil
		c.pass(catchUpThree)
		c.check()
	}
}

// frozenPrimary freezes the primary for as long as others need to serve in its place.
func frozenPrimary(c *trio) {
	c.reads = true
	c.yes()
	h := c.of("primary")
	c.cutLines(h, "both")
	c.freeze(h)
	c.pass(cutFor)
	c.thaw(h)
	c.pass(time.Second)
	c.late = nil
	c.pass(catchUpThree)
	c.settled("thawed", serveAgain)
}

// allLosePower takes the power from all in the moment of an answer.
func allLosePower(c *trio) {
	for range 4 {
		c.yes()
		for _, h := range c.hosts {
			c.kill(h)
		}
		for _, h := range c.hosts {
			c.start(h)
		}
		c.idle = true
		c.pass(2 * time.Second)
		c.check()
		c.idle = false
		c.settled("all lost power", serveAgain)
	}
}

// behindAlone has the third miss changes and come back alone, before the primary does.
func behindAlone(c *trio) {
	c.yes()
	third, backup := c.of("third"), c.of("backup")
	c.kill(third)
	c.pass(time.Second)
	c.yes()
	primary := c.of("primary")
	c.kill(primary)
	c.kill(backup)
	c.start(third)
	answered := len(c.answered)
	c.pass(5 * time.Second)
	if len(c.answered) != answered {
		c.t.Errorf("one that is behind answered alone")
	}
	c.start(primary)
	c.pass(serveAgain)
	c.check()
}

// wipedWitness wipes the third in the view and cuts the primary off: the backup and an
// empty disk are no majority.
func wipedWitness(c *trio) {
	c.yes()
	third := c.of("third")
	primary := c.of("primary")
	primary.cut = true
	c.wipe(third)
	answered := len(c.answered)
	c.start(third)
	c.pass(5 * time.Second)
	if len(c.answered) != answered {
		c.t.Errorf("answered with one old disk of three")
	}
}

// Variants of the keeper with one mechanism taken out each, by a change to its state before
// each step. The checks of the other tests must find what goes wrong with them.

package replica

import (
	"math"
	"testing"
	"time"

	"sorrelloom/core/wire"
)

// recorder counts failures in place of failing.
type failureCounter struct {
	testing.TB
	failures int
}

func (r *failureCounter) Errorf(string, ...any) { r.failures++ }

// without says whether a scenario fails with a variant, and wants it to hold without.
func checkVariant(t *testing.T, scenario func(c *cluster), variant func(c *cluster) func(h *node)) {
	t.Helper()
	for _, broken := range []bool{false, true} {
		r := &failureCounter{TB: t}
		c := newCluster(r)
		if broken {
			c.mutate = variant(c)
		}
		scenario(c)
		if broken != (r.failures > 0) {
			t.Errorf("variant %v: %d failures\n%s", broken, r.failures, c.recentLog(40))
		}
	}
}

// TestVariantsAreFound takes out one mechanism after the other.
func TestBrokenVariantsAreDetected(t *testing.T) {
	t.Run("a leader that believes that it is heard", func(t *testing.T) {
		checkVariant(t, isolatedPrimary("both"), func(*cluster) func(h *node) { return fakeConfirmations })
	})
	t.Run("a leader that sends heartbeats though it hears nobody", func(t *testing.T) {
		checkVariant(t, isolatedPrimary("to"), func(c *cluster) func(h *node) {
			return func(h *node) {
				for _, s := range h.replica.View().Voters {
					h.replica.discovery.announcements[s.Address] = announcement{wire.BootstrapStatus{Member: s}, c.now - h.startedAt}
				}
			}
		})
	})
	t.Run("acks before the disk has it", func(t *testing.T) {
		checkVariant(t, powerLossOfAll, func(c *cluster) func(h *node) {
			c.earlySyncDisks = true
			return func(h *node) { h.diskDelay = 30 * tickStep }
		})
	})
	t.Run("a member that is behind and leads", func(t *testing.T) {
		checkVariant(t, laggingMemberAlone, func(*cluster) func(h *node) { return fakeBackupRole })
	})
	t.Run("an empty disk with the identity of the old one", func(t *testing.T) {
		checkVariant(t, wipedVoter, func(c *cluster) func(h *node) {
			c.configure = func(h *node, env *Config) { env.NewID = h.address + "-1" }
			return func(*node) {}
		})
	})
	t.Run("a replaced leader that keeps its epoch", func(t *testing.T) {
		checkVariant(t, frozenPrimary, func(*cluster) func(h *node) { return fakeConfirmations })
	})
}

// believesItself has a leader take all its backups for heard, up to date and agreeing.
func fakeConfirmations(h *node) {
	for _, s := range h.replica.View().Backups {
		if h.replica.isPrimary() {
			h.replica.peers[s.ID] = &progress{heardAt: math.MaxInt64 / 2, match: h.replica.log.position(), replicating: true, ackedSendID: math.MaxUint64}
		}
	}
}

// takesItselfForBackup has a witness that is not named hold that it is a backup.
func fakeBackupRole(h *node) {
	if v := h.replica.View(); v.Epoch > 0 && !h.replica.isPrimary() && !h.replica.isBackup() {
		v.Backups = []wire.Member{h.replica.self}
		h.replica.acceptor.KnownView = v
	}
}

// cutPrimary cuts the lines of the primary; clients still reach it.
func isolatedPrimary(direction string) func(c *cluster) {
	return func(c *cluster) {
		c.readerRuns = true
		c.advanceToAnswer()
		c.cutMessages(c.nodeByRole("primary"), direction)
		c.checkServes("cut", failoverBound)
		c.advance(5 * time.Second)
		c.delay = nil
		c.advance(catchUpOfThree)
		c.checkAnswered()
	}
}

// frozenPrimary freezes the primary for as long as others need to serve in its place.
func frozenPrimary(c *cluster) {
	c.readerRuns = true
	c.advanceToAnswer()
	h := c.nodeByRole("primary")
	c.cutMessages(h, "both")
	c.freeze(h)
	c.advance(isolationTime)
	c.thaw(h)
	c.advance(time.Second)
	c.delay = nil
	c.advance(catchUpOfThree)
	c.checkServes("thawed", failoverBound)
}

// allLosePower takes the power from all in the moment of an answer.
func powerLossOfAll(c *cluster) {
	for range 4 {
		c.advanceToAnswer()
		for _, h := range c.nodes {
			c.kill(h)
		}
		for _, h := range c.nodes {
			c.start(h)
		}
		c.writerPaused = true
		c.advance(2 * time.Second)
		c.checkAnswered()
		c.writerPaused = false
		c.checkServes("all lost power", failoverBound)
	}
}

// behindAlone has the third miss changes and come back alone, before the primary does.
func laggingMemberAlone(c *cluster) {
	c.advanceToAnswer()
	third, backup := c.nodeByRole("third"), c.nodeByRole("backup")
	c.kill(third)
	c.advance(time.Second)
	c.advanceToAnswer()
	primary := c.nodeByRole("primary")
	c.kill(primary)
	c.kill(backup)
	c.start(third)
	answered := len(c.answered)
	c.advance(5 * time.Second)
	if len(c.answered) != answered {
		c.t.Errorf("one that is behind answered alone")
	}
	c.start(primary)
	c.advance(failoverBound)
	c.checkAnswered()
}

// wipedWitness wipes the third in the view and cuts the primary off: the backup and an
// empty disk are no majority.
func wipedVoter(c *cluster) {
	c.advanceToAnswer()
	third := c.nodeByRole("third")
	primary := c.nodeByRole("primary")
	primary.isolated = true
	c.wipe(third)
	answered := len(c.answered)
	c.start(third)
	c.advance(5 * time.Second)
	if len(c.answered) != answered {
		c.t.Errorf("answered with one old disk of three")
	}
}

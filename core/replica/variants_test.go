// Broken variants of the replica. Each disables one mechanism by changing the replica's state
// before each step, and the checks of the other tests must detect the resulting failure.

package replica

import (
	"math"
	"testing"
	"time"

	"sorrelloom/core/wire"
)

// failureCounter counts failures instead of failing the test.
type failureCounter struct {
	testing.TB
	failures int
}

// Errorf counts a failure.
func (f *failureCounter) Errorf(string, ...any) { f.failures++ }

// checkVariant checks that a scenario fails with a broken variant and passes without it.
func checkVariant(t *testing.T, scenario func(c *cluster), variant func(c *cluster) func(h *host)) {
	t.Helper()
	for _, broken := range []bool{false, true} {
		counter := &failureCounter{TB: t}
		c := newCluster(counter)
		if broken {
			c.mutate = variant(c)
		}
		scenario(c)
		if broken != (counter.failures > 0) {
			t.Errorf("variant %v: %d failures\n%s", broken, counter.failures, c.recentLog(40))
		}
	}
}

// TestBrokenVariantsAreDetected disables one mechanism after the other.
func TestBrokenVariantsAreDetected(t *testing.T) {
	t.Run("a primary that assumes confirmation by its backups", func(t *testing.T) {
		checkVariant(t, isolatedPrimary("both"), func(*cluster) func(h *host) { return fakeConfirmations })
	})
	t.Run("a primary that sends heartbeats although it hears no other member", func(t *testing.T) {
		checkVariant(t, isolatedPrimary("to"), func(c *cluster) func(h *host) {
			return func(h *host) {
				for _, voter := range h.replica.View().Voters {
					heard := announcement{wire.BootstrapStatus{Member: voter}, c.now - h.startedAt}
					h.replica.discovery.announcements[voter.Address] = heard
				}
			}
		})
	})
	t.Run("acknowledgements before the disk is synced", func(t *testing.T) {
		checkVariant(t, powerLossOfAll, func(c *cluster) func(h *host) {
			c.earlySyncDisks = true
			return func(h *host) { h.diskDelay = 30 * tickStep }
		})
	})
	t.Run("a lagging member that leads", func(t *testing.T) {
		checkVariant(t, laggingMemberAlone, func(*cluster) func(h *host) { return fakeBackupRole })
	})
	t.Run("an empty disk with the identity of the old one", func(t *testing.T) {
		checkVariant(t, wipedVoter, func(c *cluster) func(h *host) {
			c.configure = func(h *host, config *Config) { config.NewID = h.address + "-1" }
			return func(*host) {}
		})
	})
	t.Run("a replaced primary that keeps its epoch", func(t *testing.T) {
		checkVariant(t, frozenPrimary, func(*cluster) func(h *host) { return fakeConfirmations })
	})
}

// fakeConfirmations makes a primary assume that it has just heard all its backups and that they
// have acknowledged everything.
func fakeConfirmations(h *host) {
	if !h.replica.isPrimary() {
		return
	}
	for _, backup := range h.replica.View().Backups {
		h.replica.peers[backup.ID] = &progress{
			heardAt: math.MaxInt64 / 2, match: h.replica.log.position(), replicating: true,
			ackedSendID: math.MaxUint64,
		}
	}
}

// fakeBackupRole makes a voter that is not a backup assume that it is one.
func fakeBackupRole(h *host) {
	if v := h.replica.View(); v.Epoch > 0 && !h.replica.isPrimary() && !h.replica.isBackup() {
		v.Backups = []wire.Member{h.replica.self}
		h.replica.acceptor.KnownView = v
	}
}

// isolatedPrimary drops the messages of the primary; clients still reach it.
func isolatedPrimary(direction string) func(c *cluster) {
	return func(c *cluster) {
		c.readerRuns = true
		c.advanceToAnswer()
		c.cutMessages(c.hostByRole("primary"), direction)
		c.checkServes("isolated", failoverBound)
		c.advance(5 * time.Second)
		c.delay = nil
		c.advance(catchUpOfThree)
		c.checkAnswered()
	}
}

// frozenPrimary freezes the primary for long enough that another replica serves in its place.
func frozenPrimary(c *cluster) {
	c.readerRuns = true
	c.advanceToAnswer()
	h := c.hostByRole("primary")
	c.cutMessages(h, "both")
	c.freeze(h)
	c.advance(isolationTime)
	c.thaw(h)
	c.advance(time.Second)
	c.delay = nil
	c.advance(catchUpOfThree)
	c.checkServes("thawed", failoverBound)
}

// powerLossOfAll kills all replicas at the moment of an answer and restarts them.
func powerLossOfAll(c *cluster) {
	for range 4 {
		c.advanceToAnswer()
		for _, h := range c.hosts {
			c.kill(h)
		}
		for _, h := range c.hosts {
			c.start(h)
		}
		c.writerPaused = true
		c.advance(2 * time.Second)
		c.checkAnswered()
		c.writerPaused = false
		c.checkServes("all lost power", failoverBound)
	}
}

// laggingMemberAlone makes a voter miss changes and restart alone, before the primary does.
func laggingMemberAlone(c *cluster) {
	c.advanceToAnswer()
	voter, backup := c.hostByRole("voter"), c.hostByRole("backup")
	c.kill(voter)
	c.advance(time.Second)
	c.advanceToAnswer()
	primary := c.hostByRole("primary")
	c.kill(primary)
	c.kill(backup)
	c.start(voter)
	answered := len(c.answered)
	c.advance(5 * time.Second)
	if len(c.answered) != answered {
		c.t.Errorf("a lagging member answered alone")
	}
	c.start(primary)
	c.advance(failoverBound)
	c.checkAnswered()
}

// wipedVoter wipes the voter that is not a backup and isolates the primary. The backup and a
// replica with an empty disk are not a majority and must not answer.
func wipedVoter(c *cluster) {
	c.advanceToAnswer()
	voter := c.hostByRole("voter")
	primary := c.hostByRole("primary")
	primary.isolated = true
	c.wipe(voter)
	answered := len(c.answered)
	c.start(voter)
	c.advance(5 * time.Second)
	if len(c.answered) != answered {
		c.t.Errorf("answered with only one of three old disks")
	}
}

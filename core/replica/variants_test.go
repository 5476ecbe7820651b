// Variants of the replica with one mechanism taken out each, by a change to its state before
// each step. The checks of the other tests must find what goes wrong with them.

package replica

import (
	"math"
	"testing"
	"time"

	"sorrelloom/core/wire"
)

// failureCounter counts failures in place of failing.
type failureCounter struct {
	testing.TB
	failures int
}

// Errorf counts a failure.
func (f *failureCounter) Errorf(string, ...any) { f.failures++ }

// checkVariant checks that a scenario fails with a variant and passes without it.
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

// TestBrokenVariantsAreDetected takes out one mechanism after the other.
func TestBrokenVariantsAreDetected(t *testing.T) {
	t.Run("a primary that believes that it is heard", func(t *testing.T) {
		checkVariant(t, isolatedPrimary("both"), func(*cluster) func(h *host) { return fakeConfirmations })
	})
	t.Run("a primary that sends heartbeats though it hears nobody", func(t *testing.T) {
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
	t.Run("a member that is behind and leads", func(t *testing.T) {
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

// fakeConfirmations has a primary believe that all its backups are heard and have acknowledged
// everything.
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

// fakeBackupRole has a voter that is no backup believe that it is one.
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

// frozenPrimary freezes the primary for as long as others need to serve in its place.
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

// powerLossOfAll kills all in the moment of an answer.
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

// laggingMemberAlone has a voter miss changes and come back alone, before the primary does.
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
		c.t.Errorf("one that is behind answered alone")
	}
	c.start(primary)
	c.advance(failoverBound)
	c.checkAnswered()
}

// wipedVoter wipes the voter that is no backup and isolates the primary: the backup and an
// empty disk are no majority.
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
		c.t.Errorf("answered with one old disk of three")
	}
}

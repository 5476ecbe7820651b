// A leader that keeps the lead through a change of view sends nobody away.

package replica

import (
	"testing"
	"time"
)

// TestALeaderThatReplacesABackupRejectsNothing loses each backup in turn. The leader
// proposes a view with another, and answers all that came before and meanwhile.
func TestReplacingABackupRejectsNothing(t *testing.T) {
	for _, five := range []bool{false, true} {
		for at := range 2 {
			if !five && at > 0 {
				continue
			}
			c := newCluster(t)
			if five {
				c = newClusterOfFive(t)
			}
			c.advanceToAnswer()
			leader := c.primary()
			before, epoch := c.rejected[leader.address], leader.replica.View().Epoch
			terms := leader.replica.Terms()
			c.kill(c.node(leader.replica.View().Backups[at].Address))
			c.advance(4 * time.Second)
			if leader.replica.View().Epoch == epoch || c.primary() != leader {
				t.Fatalf("five %v: the backup was not replaced by the same leader\n%s", five, c.recentLog(30))
			}
			// From the loss until it is missed, a leader without proof says that it has none.
			if n := c.rejected[leader.address] - before; n > 0 {
				t.Errorf("five %v, backup %d: %d writes were sent elsewhere\n%s", five, at, n, c.recentLog(30))
			}
			if leader.replica.Terms() != terms {
				t.Errorf("five %v: the leader began term %d anew", five, leader.replica.Terms())
			}
			c.checkAnswered()
		}
	}
}

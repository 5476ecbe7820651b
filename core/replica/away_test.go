package replica

import (
	"testing"
	"time"
)

// TestMemberAwayForManyChanges lets a backup miss changes, in some cases more than the log's
// tail contains. It returns or is replaced, and losses of others then make it the primary: it
// must not have missed any answered write.
func TestMemberAwayForManyChanges(t *testing.T) {
	for _, losses := range []int{1, 2} {
		for _, count := range []int{200, 1000} {
			for _, way := range []string{"returns", "replaced", "returns in the middle"} {
				if losses == 2 && count > 200 && way != "replaced" {
					continue
				}
				c := newClusterTolerating(t, losses)
				c.advanceToAnswer()
				h := c.hostByRole("backup")
				c.kill(h)
				c.checkServes("a backup is down", failoverBound)
				c.writeRepeatedly(count)
				switch way {
				case "returns":
					c.start(h)
				case "replaced":
					c.remove(h)
					h = c.addReplacement()
				case "returns in the middle":
					c.start(h)
					c.writeRepeatedly(count / 10)
				}
				if p := c.primary(); p != nil && count > 200 {
					p.replica.resetLog() // the tail no longer contains the missed changes
				}
				c.advance(catchUpOfFive)
				c.checkCaughtUp(h)
				c.makeLeader(h, losses)
				if t.Failed() {
					t.Fatalf("f=%d, %d changes, %s\n%s", losses, count, way, c.recentLog(60))
				}
			}
		}
	}
}

// makeLeader makes a host's replica a backup and then the primary. It does so with two rounds
// of as many losses as are tolerated; the second begins once the hosts of the first count as
// back.
func (c *cluster) makeLeader(h *host, losses int) {
	back := catchUpOfThree
	if losses == 2 {
		back = catchUpOfFive
	}
	p := c.hostByRole("primary")
	if p == h {
		c.checkAnswered()
		return
	}
	var rest []*host
	for _, voter := range p.replica.View().Voters {
		if o := c.host(voter.Address); o != h && o != p {
			rest = append(rest, o)
		}
	}
	c.killAndRestart(rest[:losses], back)
	v := c.hostByRole("primary").replica.View()
	lost := []*host{c.host(v.Primary.Address)}
	for _, backup := range v.Backups {
		if o := c.host(backup.Address); o != h {
			lost = append(lost, o)
		}
	}
	c.killAndRestart(lost, back)
	if c.hostByRole("primary") != h {
		c.t.Errorf("%s did not become the primary", h.address)
	}
}

// killAndRestart kills hosts right after an answer and restarts them once others serve. back
// is the time after which they no longer count as lost.
func (c *cluster) killAndRestart(lost []*host, back time.Duration) {
	c.advanceToAnswer()
	for _, h := range lost {
		c.kill(h)
	}
	c.checkServes("some hosts are down", failoverBound)
	for _, h := range lost {
		c.start(h)
	}
	c.advance(back)
	c.checkAnswered()
}

package replica

import (
	"testing"
	"time"

	"sorrelloom/core/wire"
)

// longStep is the duration of a step of a primary that is short of CPU.
const longStep = slowDiskTimeout + 50*time.Millisecond

// moveBackupsAway increases the latency to the backups, so that the acknowledgements of the
// other members arrive first.
func (c *cluster) moveBackupsAway(p *host) {
	for _, member := range p.replica.View().Backups {
		c.host(member.Address).latency = 2 * tickStep
	}
}

// runLongStep simulates that a primary handles a write in a step of duration longStep: its
// messages are sent at the end of the step, and input that arrives meanwhile is queued.
func (c *cluster) runLongStep(p *host) {
	c.delay = func(from, _, _ string) time.Duration {
		if from == p.address {
			return longStep
		}
		return 0
	}
	c.write()
	c.advance(2 * batchInterval)
	c.freeze(p)
	c.advance(longStep)
	c.delay = nil
	c.thaw(p)
}

// TestBusyPrimaryKeepsItsBackups repeatedly keeps the primary busy for longer than the slow disk
// timeout, while its backups reply at once. After each long step the other members are the first
// to acknowledge its latest messages; the primary must not take the backups' disks for slow
// because of that, and the view must not change. A backup whose disk is really slow must still
// be replaced.
func TestBusyPrimaryKeepsItsBackups(t *testing.T) {
	for _, losses := range []int{1, 2} {
		c := newClusterTolerating(t, losses)
		c.advance(time.Second)
		p := c.hostByRole("primary")
		epoch := p.replica.View().Epoch
		c.moveBackupsAway(p)
		for range 20 {
			c.runLongStep(p)
			c.advance(30 * time.Millisecond)
		}
		if now := p.replica.View().Epoch; now != epoch || c.events["view_proposed"] > 1 {
			t.Errorf("%d losses: the epoch changed from %d to %d, %d views were proposed\n%s",
				losses, epoch, now, c.events["view_proposed"], c.recentLog(20))
		}
		c.checkServes("after long steps", time.Second)
		slow := c.hostByRole("backup")
		slow.diskDelay = 10 * slowDiskTimeout
		c.advance(3 * time.Second)
		if isBackup := slow.replica.isBackup(); isBackup {
			t.Errorf("%d losses: the backup with a slow disk was not replaced", losses)
		}
	}
}

// TestAckOfOneMemberMarksNoOtherSlow queues the acknowledgements of all members at a primary that
// is suspended. When it handles the first one, it must not yet check how long the others took.
func TestAckOfOneMemberMarksNoOtherSlow(t *testing.T) {
	c := newClusterOfFive(t)
	p := c.hostByRole("primary")
	epoch := p.replica.View().Epoch
	c.moveBackupsAway(p)
	for range 20 {
		c.write()
		c.advance(2 * batchInterval)
		c.freeze(p)
		c.advance(longStep)
		c.thaw(p)
		c.advance(30 * time.Millisecond)
	}
	if now := p.replica.View().Epoch; now != epoch {
		t.Errorf("the epoch changed from %d to %d with %v prepare requests\n%s",
			epoch, now, c.sendCounts[wire.KindPrepare], c.recentLog(20))
	}
}

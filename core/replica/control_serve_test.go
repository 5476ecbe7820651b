// What a new primary reads rests on as many disks as what it writes.

package replica

import (
	"testing"
	"time"

	"sorrelloom/core/wire"
)

// disksWith counts the disks of the view's members that hold a plan at least as new.
func (c *cluster) countDisksWith(v wire.View, sequence uint64) (count int) {
	for _, seat := range append([]wire.Member{v.Primary}, v.Backups...) {
		h := c.node(seat.Address)
		r, err := New(Config{}, h.disk.Load())
		if err != nil {
			c.t.Fatalf("%s: %v", h.address, err)
		}
		if r.Store().Config().Version >= sequence {
			count++
		}
	}
	return count
}

// TestAReadRestsOnAsManyDisks has a primary hand over for its slow disk, and the disk of the
// next one stall in that moment, with commands that it has not synced.
func TestReadsAreAsDurableAsWrites(t *testing.T) {
	for _, phase := range []int{0, 3, 9} {
		c := newClusterOfFive(t)
		c.writeInterval = 10 * time.Millisecond
		c.onRead = func(h *node, b wire.CommandReply) {
			if disks := c.countDisksWith(h.replica.View(), b.Result.ConfigVersion); disks < 3 {
				t.Errorf("%s let plan %d be read at %s, which %d disks hold", h.address, b.Result.ConfigVersion, c.now, disks)
			}
		}
		c.readerRuns = true
		c.advanceToAnswer()
		c.delay = func(from, to, kind string) time.Duration {
			if kind == wire.KindReplicate && to == "e" {
				return 20 * tickStep
			}
			return 0
		}
		a, b := c.node("a"), c.node("b")
		a.diskDelay = 3 * time.Second
		for from := c.now; c.events["view_proposed"] == 0 && c.now-from < 2*time.Second; {
			c.advance(tickStep)
		}
		c.advance(time.Duration(phase) * tickStep)
		b.diskDelay = 3 * time.Second
		c.advance(600 * time.Millisecond)
		if t.Failed() {
			t.Fatalf("phase %d\n%s", phase, c.recentLog(30))
		}
	}
}

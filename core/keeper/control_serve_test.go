// What a new primary reads rests on as many disks as what it writes.
package keeper

import (
	"testing"
	"time"

	"sorrelloom/core/wire"
)

// disksWith counts the disks of the view's members that hold a plan at least as new.
func (c *trio) disksWith(v wire.View, sequence uint64) (count int) {
	for _, seat := range append([]wire.Seat{v.Primary}, v.Backups...) {
		h := c.host(seat.Address)
		k, err := New(Env{}, h.disk.Stored())
		if err != nil {
			c.t.Fatalf("%s: %v", h.address, err)
		}
		if k.Ledger().Plan().Sequence >= sequence {
			count++
		}
	}
	return count
}

// TestAReadRestsOnAsManyDisks has a primary hand over for its slow disk, and the disk of the
// next one stall in that moment, with commands that it has not synced.
func TestAReadRestsOnAsManyDisks(t *testing.T) {
	for _, phase := range []int{0, 3, 9} {
		c := newFive(t)
		c.each = 10 * time.Millisecond
		c.onRead = func(h *host, b wire.CommandBackBody) {
			if disks := c.disksWith(h.k.View(), b.Answer.Sequence); disks < 3 {
				t.Errorf("%s let plan %d be read at %s, which %d disks hold", h.address, b.Answer.Sequence, c.now, disks)
			}
		}
		c.reads = true
		c.yes()
		c.late = func(from, to, kind string) time.Duration {
			if kind == wire.Replicate && to == "e" {
				return 20 * stride
			}
			return 0
		}
		a, b := c.host("a"), c.host("b")
		a.slow = 3 * time.Second
		for from := c.now; c.logs["view_proposed"] == 0 && c.now-from < 2*time.Second; {
			c.pass(stride)
		}
		c.pass(time.Duration(phase) * stride)
		b.slow = 3 * time.Second
		c.pass(600 * time.Millisecond)
		if t.Failed() {
			t.Fatalf("phase %d\n%s", phase, c.tell(30))
		}
	}
}

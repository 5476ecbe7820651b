package replica

import (
	"maps"
	"testing"
	"time"

	"sorrelloom/core/wire"
)

// countDisksWith returns how many disks of the view's primary and backups have at least the
// given version of the configuration.
func (c *cluster) countDisksWith(v wire.View, version uint64) (count int) {
	for _, member := range append([]wire.Member{v.Primary}, v.Backups...) {
		h := c.host(member.Address)
		r, err := New(Config{}, h.disk.Load())
		if err != nil {
			c.t.Fatalf("%s: %v", h.address, err)
		}
		if r.Store().Config().Version >= version {
			count++
		}
	}
	return count
}

// TestReadsAreAsDurableAsWrites makes a primary hand over because of its slow disk. At that
// moment the disk of the next primary stalls with commands that are not synced. A version that
// is returned to a read must be on as many disks as one that is answered to a write.
func TestReadsAreAsDurableAsWrites(t *testing.T) {
	for _, phase := range []int{0, 3, 9} {
		c := newClusterOfFive(t)
		c.writeInterval = 10 * time.Millisecond
		c.onRead = func(h *host, b wire.CommandReply) {
			if disks := c.countDisksWith(h.replica.View(), b.Result.ConfigVersion); disks < 3 {
				t.Errorf("%s returned version %d to a read at %s, which is on %d disks",
					h.address, b.Result.ConfigVersion, c.now, disks)
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
		a, b := c.host("a"), c.host("b")
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

// TestCommandCost checks the cost of a command: one message to each other voter, one
// acknowledgement from each, one write to each disk.
func TestCommandCost(t *testing.T) {
	for _, row := range []struct {
		five            bool
		messages, disks int
	}{{false, 2, 2}, {true, 4, 3}} {
		c := newCluster(t)
		if row.five {
			c = newClusterOfFive(t)
		}
		c.advanceToAnswer()
		before, answered := maps.Clone(c.sendCounts), len(c.answered)
		p := c.primary()
		writes := p.replica.WritesIssued()
		c.advance(10 * time.Second)
		n := len(c.answered) - answered
		sent := c.sendCounts[wire.KindReplicate] - before[wire.KindReplicate]
		acks := c.sendCounts[wire.KindReplicateAck] - before[wire.KindReplicateAck]
		t.Logf("five %v: %d answers, %d messages to replicas, %d acknowledgements, %d writes of the primary",
			row.five, n, sent, acks, p.replica.WritesIssued()-writes)
		if len(p.replica.View().Backups)+1 != row.disks {
			t.Errorf("a commit requires %d disks, want %d", len(p.replica.View().Backups)+1, row.disks)
		}
		if sent < n*row.messages || sent > n*row.messages*3/2 {
			t.Errorf("%d messages for %d answers, want about %d each", sent, n, row.messages)
		}
	}
}

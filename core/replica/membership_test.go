package replica

import (
	"slices"
	"testing"
	"time"

	"sorrelloom/core/wire"
)

// TestEmptyReplicaBecomesMember loses one replica's disk, starts an empty replica at the lost
// member's address or at another one, and bounds the time until it is a member. At the same
// address no timeout is needed, since the lost member is confirmed dead. At another address the
// lost member must first have been silent for a timeout.
func TestEmptyReplicaBecomesMember(t *testing.T) {
	for _, row := range []struct {
		lost, at string        // addresses of the lost member and of the empty replica
		after    time.Duration // from the loss to the start of the empty replica
		bound    time.Duration
	}{
		{"a", "a", 0, 600 * time.Millisecond},
		{"b", "b", 0, 600 * time.Millisecond},
		{"c", "c", 0, 600 * time.Millisecond},
		{"a", "a", 3 * time.Second, 600 * time.Millisecond},
		{"b", "b", 3 * time.Second, 600 * time.Millisecond},
		{"c", "c", 3 * time.Second, 600 * time.Millisecond},
		{"a", "n", 0, 2500 * time.Millisecond},
		{"b", "n", 0, 2500 * time.Millisecond},
		{"c", "n", 0, 2500 * time.Millisecond},
		{"a", "n", 3 * time.Second, 1500 * time.Millisecond},
		{"b", "n", 3 * time.Second, 1500 * time.Millisecond},
		{"c", "n", 3 * time.Second, 1500 * time.Millisecond},
	} {
		var worst time.Duration
		for phase := range 7 {
			c := newCluster(t)
			c.advance(2*time.Second + time.Duration(phase)*53*time.Millisecond)
			h := c.host(row.lost)
			c.wipe(h)
			if row.at != row.lost {
				c.hosts = slices.DeleteFunc(c.hosts, func(o *host) bool { return o == h })
			}
			c.advance(row.after)
			if row.at == row.lost {
				c.start(h)
			} else {
				h = c.add(row.at)
			}
			took, ok := c.waitForMembership(h, 12*time.Second)
			if worst = max(worst, took); !ok || took > row.bound {
				t.Errorf("%s lost, an empty replica at %s after %s: time to membership %s, member: %v\n%s",
					row.lost, row.at, row.after, took, ok, c.recentLog(12))
				break
			}
			c.checkAnswered()
		}
		t.Logf("%s lost, an empty replica at %s after %s: time to membership at most %s",
			row.lost, row.at, row.after, worst)
	}
}

// TestLostMemberIsReplaced replaces a lost member by an empty replica, which needs a snapshot,
// after thousands of commands.
func TestLostMemberIsReplaced(t *testing.T) {
	c := newCluster(t)
	c.acceptJobs(100)
	c.host("c").isolated = true
	c.submitTicks(3000)
	for _, h := range c.hosts {
		h.replica.resetLog() // the new member must install a snapshot
	}
	sent := recordTraffic(c)
	n := c.add("n")
	took, ok := c.waitForMembership(n, 10*time.Second)
	chunks := sent.messages[wire.KindSnapshotChunk+" to n"]
	t.Logf("time to membership %s, %d chunks, %d bytes", took, chunks, sent.bytes["n"])
	if !ok || took > 3*time.Second || chunks < 3 || chunks > 8 || sent.bytes["n"] > 1<<20 {
		t.Errorf("time to membership %s, member: %v, %d chunks, %d bytes\n%s",
			took, ok, chunks, sent.bytes["n"], c.recentLog(30))
	}
	c.checkSameState(n)
	c.checkAnswered()
}

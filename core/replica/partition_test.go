// A replica is isolated for twenty seconds, completely or in one direction, while clients still
// reach it. It must serve nothing stale, confirm nothing, and catch up after its return.

package replica

import (
	"fmt"
	"slices"
	"testing"
	"time"
)

// isolationTime is how long replicas are isolated.
const isolationTime = 20 * time.Second

// TestIsolatedReplicaServesNothingStale isolates a replica of each role for 20 s, while clients
// read from and write to all replicas.
func TestIsolatedReplicaServesNothingStale(t *testing.T) {
	for _, losses := range []int{1, 2} {
		for _, role := range []string{"primary", "backup", "voter"} {
			for _, direction := range []string{"both", "to", "from"} {
				for _, restart := range []bool{false, true} {
					if restart && losses == 2 && role == "backup" {
						continue
					}
					t.Run(fmt.Sprintf("f=%d %s %s restarted %v", losses, role, direction, restart), func(t *testing.T) {
						t.Parallel()
						c := newClusterTolerating(t, losses)
						c.readerRuns = true
						c.advanceToAnswer()
						h := c.hostByRole(role)
						c.cutMessages(h, direction)
						c.checkServes("isolated", failoverBound)
						if restart {
							c.kill(h)
							c.advance(time.Second)
							// It is restarted with other founders: itself and two that do not exist.
							c.configure = func(_ *host, config *Config) { config.Founders = []string{h.address, "x", "y"} }
							c.start(h)
						}
						c.advance(isolationTime)
						c.checkServes("while isolated", 500*time.Millisecond)
						c.delay = nil
						c.advance(catchUpOfThree)
						c.checkServes("back", 500*time.Millisecond)
						c.checkCaughtUp(h)
						if t.Failed() {
							t.Log(c.recentLog(60))
						}
					})
				}
			}
		}
	}
}

// TestPartitionServesAtMostOnce isolates the primary, alone or with one more member, from the
// others. At most one of the two groups may serve, and the larger one must.
func TestPartitionServesAtMostOnce(t *testing.T) {
	for _, losses := range []int{1, 2} {
		for _, with := range []string{"", "backup", "voter"} {
			c := newClusterTolerating(t, losses)
			if losses == 1 && with != "" {
				continue
			}
			c.readerRuns = true
			c.advanceToAnswer()
			group := []string{c.hostByRole("primary").address}
			if with != "" {
				group = append(group, c.hostByRole(with).address)
			}
			c.delay = func(from, to, _ string) time.Duration {
				if slices.Contains(group, from) != slices.Contains(group, to) {
					return -1
				}
				return 0
			}
			c.checkServes(fmt.Sprintf("%v isolated", group), failoverBound)
			c.advance(isolationTime)
			c.delay = nil
			c.advance(catchUpOfFive)
			for _, h := range c.hosts {
				c.checkCaughtUp(h)
			}
			c.checkAnswered()
		}
	}
}

// TestFlappingPartition repeatedly drops the primary's messages, in one direction or both, for
// about as long as it takes to be suspected.
func TestFlappingPartition(t *testing.T) {
	for _, losses := range []int{1, 2} {
		for _, direction := range []string{"both", "to", "from"} {
			c := newClusterTolerating(t, losses)
			c.readerRuns = true
			for i := range 10 {
				if p := c.primary(); p != nil {
					c.cutMessages(p, direction)
				}
				c.advance(700*time.Millisecond + time.Duration(i)*137*time.Millisecond)
				c.delay = nil
				c.advance(time.Duration(100+i*61) * time.Millisecond)
			}
			c.checkServes("after all partitions", failoverBound)
			if t.Failed() {
				t.Fatalf("f=%d %s\n%s", losses, direction, c.recentLog(60))
			}
		}
	}
}

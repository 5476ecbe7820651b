// A control machine that is cut off for twenty seconds, whole or in one direction,
// while clients still reach it: it hands out nothing old and confirms nothing, and
// follows once it is back.

package replica

import (
	"fmt"
	"slices"
	"testing"
	"time"
)

const isolationTime = 20 * time.Second

// cutLines drops lines between one machine and all others; those of clients still come.
func (c *cluster) cutMessages(h *node, direction string) {
	c.logf("cut lines %s %s", direction, h.address)
	c.delay = func(from, to, _ string) time.Duration {
		if direction != "from" && to == h.address || direction != "to" && from == h.address {
			return -1
		}
		return 0
	}
}

// TestACutOffMachineIsNotBelieved cuts each part of the view off for 20 s. A client asks
// all processes for the plan all the while and sends each of them changes.
func TestIsolatedReplicaServesNothingStale(t *testing.T) {
	for _, losses := range []int{1, 2} {
		for _, part := range []string{"primary", "backup", "third"} {
			for _, direction := range []string{"both", "to", "from"} {
				for _, restart := range []bool{false, true} {
					if restart && losses == 2 && part == "backup" {
						continue
					}
					t.Run(fmt.Sprintf("f=%d %s %s restarted %v", losses, part, direction, restart), func(t *testing.T) {
						t.Parallel()
						c := newClusterTolerating(t, losses)
						c.readerRuns = true
						c.advanceToAnswer()
						h := c.nodeByRole(part)
						c.cutMessages(h, direction)
						c.checkServes("cut", failoverBound)
						if restart {
							c.kill(h)
							c.advance(time.Second)
							// A restart knows other seeds: one that is gone, and itself.
							c.configure = func(_ *node, env *Config) { env.Founders = []string{h.address, "x", "y"} }
							c.start(h)
						}
						c.advance(isolationTime)
						c.checkServes("while cut", 500*time.Millisecond)
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

// follows checks that a process stands where the primary stands, once all is quiet.
func (c *cluster) checkCaughtUp(h *node) {
	c.t.Helper()
	c.writerPaused = true
	c.advance(time.Second)
	c.writerPaused = false
	p := c.primary()
	if p == nil {
		c.t.Errorf("nobody serves")
		return
	}
	if h.replica == nil || h.replica.View().Epoch != p.replica.View().Epoch {
		c.t.Errorf("%s does not know epoch %d", h.address, p.replica.View().Epoch)
		return
	}
	if got, want := h.replica.Store().Position(), p.replica.Store().Position(); got != want {
		c.t.Errorf("%s stands at %v, the primary at %v", h.address, got, want)
	}
}

// TestAPairCutApartServesOnce cuts the primary and one other off from the rest: of two
// groups at most one may serve, and with one loss borne the larger must.
func TestPartitionServesAtMostOnce(t *testing.T) {
	for _, losses := range []int{1, 2} {
		for _, with := range []string{"", "backup", "third"} {
			c := newClusterTolerating(t, losses)
			if losses == 1 && with != "" {
				continue
			}
			c.readerRuns = true
			c.advanceToAnswer()
			group := []string{c.nodeByRole("primary").address}
			if with != "" {
				group = append(group, c.nodeByRole(with).address)
			}
			c.delay = func(from, to, _ string) time.Duration {
				if slices.Contains(group, from) != slices.Contains(group, to) {
					return -1
				}
				return 0
			}
			c.checkServes(fmt.Sprintf("%v cut off", group), failoverBound)
			c.advance(isolationTime)
			c.delay = nil
			c.advance(catchUpOfFive)
			for _, h := range c.nodes {
				c.checkCaughtUp(h)
			}
			c.checkAnswered()
		}
	}
}

// TestACutThatFlaps cuts the lines of the primary for times about as long as it takes
// to be missed, in one direction or both.
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
			c.checkServes("after all cuts", failoverBound)
			if t.Failed() {
				t.Fatalf("f=%d %s\n%s", losses, direction, c.recentLog(60))
			}
		}
	}
}

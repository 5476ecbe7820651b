// Five replicas with two backups: any two may be lost at once, even right after an answer, with
// or without their disks.

package replica

import (
	"fmt"
	"slices"
	"testing"
	"time"
)

// pairsOfFive returns all pairs of five addresses, each in one order or in both.
func pairsOfFive(bothOrders bool) (pairs [][2]string) {
	addresses := []string{"a", "b", "c", "d", "e"}
	for _, one := range addresses {
		for _, two := range addresses {
			if one < two || bothOrders && one != two {
				pairs = append(pairs, [2]string{one, two})
			}
		}
	}
	return pairs
}

// lose loses a host in the given way.
func (c *cluster) lose(h *host, lost string) {
	switch lost {
	case "power":
		c.kill(h)
	case "power and network":
		c.kill(h)
		h.isolated = true
	case "disk":
		c.wipe(h)
	case "disk, back at once":
		c.wipe(h)
		c.start(h)
	case "isolated":
		h.isolated = true
	}
}

// TestAnyTwoOfFiveAreLost loses each pair of five replicas right after an answer, the second one
// at once or up to 1.2 s later. The next answer must come within 3 s.
func TestAnyTwoOfFiveAreLost(t *testing.T) {
	for _, lost := range []string{"power", "power and network", "disk", "disk, back at once", "isolated"} {
		for _, gap := range []time.Duration{0, 40 * time.Millisecond, 700 * time.Millisecond, 1200 * time.Millisecond} {
			t.Run(fmt.Sprintf("%s, %s apart", lost, gap), func(t *testing.T) {
				t.Parallel()
				var worst time.Duration
				for _, pair := range pairsOfFive(gap > 0) {
					c := newClusterOfFive(t)
					c.advance(500 * time.Millisecond)
					c.advanceToAnswer()
					c.lose(c.host(pair[0]), lost)
					if gap > 0 {
						c.advance(gap)
					}
					c.lose(c.host(pair[1]), lost)
					took, ok := c.waitForAnswer(8 * time.Second)
					if worst = max(worst, took); !ok || took > 3*time.Second {
						t.Fatalf("%v lost: next answer after %s, answered: %v\n%s", pair, took, ok, c.recentLog(40))
					}
					c.advance(4 * time.Second)
					c.checkAnswered()
					if p := c.primary(); p == nil || len(p.replica.View().Backups) != 2 {
						t.Fatalf("%v lost: the view does not have two backups after 4 s\n%s", pair, c.recentLog(40))
					}
					if lost == "disk, back at once" && !c.allMembersUp() {
						t.Fatalf("%v lost their disks: not all members are up after 4 s\n%s", pair, c.recentLog(40))
					}
					if t.Failed() {
						t.Fatalf("%v lost\n%s", pair, c.recentLog(40))
					}
				}
				t.Logf("next answer after at most %s", worst)
			})
		}
	}
}

// TestAllOfFiveLosePower kills all five replicas and restarts only three of them, for every
// choice of three.
func TestAllOfFiveLosePower(t *testing.T) {
	for _, pair := range pairsOfFive(false) {
		c := newClusterOfFive(t)
		c.advanceToAnswer()
		for _, h := range c.hosts {
			c.kill(h)
		}
		c.advance(500 * time.Millisecond)
		for _, h := range c.hosts {
			if !slices.Contains(pair[:], h.address) {
				c.start(h)
			}
		}
		if took, ok := c.waitForAnswer(8 * time.Second); !ok || took > 3*time.Second {
			t.Errorf("without %v: next answer after %s, answered: %v\n%s", pair, took, ok, c.recentLog(40))
		}
		c.advance(time.Second)
		c.checkAnswered()
	}
}

// TestDisksLostDuringPowerLoss makes all replicas lose power right after an answer, wipes two of
// their disks and restarts all.
func TestDisksLostDuringPowerLoss(t *testing.T) {
	for _, pause := range []time.Duration{0, 300 * time.Millisecond, 2 * time.Second} {
		for _, pair := range pairsOfFive(false) {
			c := newClusterOfFive(t)
			c.advanceToAnswer()
			for _, h := range c.hosts {
				c.kill(h)
				if slices.Contains(pair[:], h.address) {
					c.wipe(h)
				}
			}
			c.advance(time.Second)
			for _, h := range c.hosts {
				c.start(h)
				c.advance(pause / 4)
			}
			if took, ok := c.waitForAnswer(8 * time.Second); !ok || took > 3*time.Second {
				t.Errorf("%v empty, %s: next answer after %s, answered: %v\n%s", pair, pause, took, ok, c.recentLog(40))
			}
			c.advance(time.Second)
			c.checkAnswered()
		}
	}
}

// Five replicas with two backups: any two may be lost at once, also right after an answer,
// with their disks or without.

package replica

import (
	"fmt"
	"testing"
	"time"
)

// lose loses hosts in one way.
func (c *cluster) lose(pair []*host, lost string) {
	for _, h := range pair {
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
}

// TestAnyTwoOfFiveAreLost loses each two of five right after an answer, the second at once
// or a little later, and expects the next answer within 3 s.
func TestAnyTwoOfFiveAreLost(t *testing.T) {
	names := []string{"a", "b", "c", "d", "e"}
	for _, lost := range []string{"power", "power and network", "disk", "disk, back at once", "isolated"} {
		for _, gap := range []time.Duration{0, 40 * time.Millisecond, 700 * time.Millisecond, 1200 * time.Millisecond} {
			t.Run(fmt.Sprintf("%s, %s apart", lost, gap), func(t *testing.T) {
				t.Parallel()
				var worst time.Duration
				for _, one := range names {
					for _, two := range names {
						if one == two || gap == 0 && one > two {
							continue
						}
						c := newClusterOfFive(t)
						c.advance(500 * time.Millisecond)
						c.advanceToAnswer()
						c.lose([]*host{c.host(one)}, lost)
						if gap > 0 {
							c.advance(gap)
						}
						c.lose([]*host{c.host(two)}, lost)
						took, ok := c.waitForAnswer(8 * time.Second)
						if worst = max(worst, took); !ok || took > 3*time.Second {
							t.Fatalf("%s and %s lost: served again after %s: %v\n%s",
								one, two, took, ok, c.recentLog(40))
						}
						c.advance(4 * time.Second)
						c.checkAnswered()
						if p := c.primary(); p == nil || len(p.replica.View().Backups) != 2 {
							t.Fatalf("%s and %s lost: not two backups after 4 s\n%s", one, two, c.recentLog(40))
						}
						if lost == "disk, back at once" && !c.allMembersUp() {
							t.Fatalf("%s and %s lost their disks: no members again after 4 s\n%s",
								one, two, c.recentLog(40))
						}
						if t.Failed() {
							t.Fatalf("%s and %s lost\n%s", one, two, c.recentLog(40))
						}
					}
				}
				t.Logf("served again after at most %s", worst)
			})
		}
	}
}

// TestAllOfFiveLosePower kills all five and restarts any three of them only.
func TestAllOfFiveLosePower(t *testing.T) {
	names := []string{"a", "b", "c", "d", "e"}
	for _, one := range names {
		for _, two := range names {
			if one >= two {
				continue
			}
			c := newClusterOfFive(t)
			c.advanceToAnswer()
			for _, h := range c.hosts {
				c.kill(h)
			}
			c.advance(500 * time.Millisecond)
			for _, h := range c.hosts {
				if h.address != one && h.address != two {
					c.start(h)
				}
			}
			if took, ok := c.waitForAnswer(8 * time.Second); !ok || took > 3*time.Second {
				t.Errorf("without %s and %s: served again after %s: %v\n%s", one, two, took, ok, c.recentLog(40))
			}
			c.advance(time.Second)
			c.checkAnswered()
		}
	}
}

// TestDisksLostDuringPowerLoss wipes two disks right after an answer while all others lose
// power, and restarts all.
func TestDisksLostDuringPowerLoss(t *testing.T) {
	names := []string{"a", "b", "c", "d", "e"}
	for _, pause := range []time.Duration{0, 300 * time.Millisecond, 2 * time.Second} {
		for _, one := range names {
			for _, two := range names {
				if one >= two {
					continue
				}
				c := newClusterOfFive(t)
				c.advanceToAnswer()
				for _, h := range c.hosts {
					c.kill(h)
					if h.address == one || h.address == two {
						c.wipe(h)
					}
				}
				c.advance(time.Second)
				for _, h := range c.hosts {
					c.start(h)
					c.advance(pause / 4)
				}
				if took, ok := c.waitForAnswer(8 * time.Second); !ok || took > 3*time.Second {
					t.Errorf("%s and %s empty, %s: served again after %s: %v\n%s",
						one, two, pause, took, ok, c.recentLog(40))
				}
				c.advance(time.Second)
				c.checkAnswered()
			}
		}
	}
}

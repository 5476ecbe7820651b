// Losses as soon after a repair as the tolerance allows, and disk losses around a write.

package replica

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"
)

// fault is one way to lose a host.
type fault struct {
	name string
	// inject returns once the host is back or a replacement is added, and returns that host.
	inject func(c *cluster, h *host) *host
}

const (
	// outageTime is how long a host is lost, long enough for it to be suspected.
	outageTime = 2500 * time.Millisecond
	// stopTimeout bounds the wait for a stopping process to end.
	stopTimeout = 2 * time.Second
)

var faults = []fault{
	{"replaced", func(c *cluster, h *host) *host {
		c.remove(h)
		c.advance(500 * time.Millisecond)
		return c.addReplacement()
	}},
	{"planned stop", func(c *cluster, h *host) *host {
		c.stop(h, stopTimeout)
		c.remove(h)
		return c.addReplacement()
	}},
	{"disk wiped", func(c *cluster, h *host) *host {
		c.wipe(h)
		c.advance(300 * time.Millisecond)
		c.start(h)
		return h
	}},
	{"power lost", func(c *cluster, h *host) *host {
		c.kill(h)
		c.advance(outageTime)
		c.start(h)
		return h
	}},
	{"killed", func(c *cluster, h *host) *host {
		c.kill(h)
		c.start(h)
		return h
	}},
	{"isolated", func(c *cluster, h *host) *host {
		h.isolated = true
		c.advance(outageTime)
		h.isolated = false
		return h
	}},
	{"frozen", func(c *cluster, h *host) *host {
		c.freeze(h)
		c.advance(outageTime)
		c.thaw(h)
		return h
	}},
}

// TestSecondLossAfterRepair injects each pair of faults into random members of the view, the
// second one as soon as the first host no longer counts as lost.
func TestSecondLossAfterRepair(t *testing.T) {
	for i, one := range faults {
		for j, two := range faults {
			t.Run(one.name+", "+two.name, func(t *testing.T) {
				t.Parallel()
				random := rand.New(rand.NewPCG(uint64(i), uint64(j)))
				c := newClusterTolerating(t, 1)
				c.readerRuns = true
				for round, next := range []fault{one, two} {
					role := []string{"primary", "backup", "voter"}[random.IntN(3)]
					c.advanceToAnswer()
					c.logf("round %d: %s %s", round, role, next.name)
					next.inject(c, c.hostByRole(role))
					c.advance(catchUpOfThree)
					c.checkServes(role+" "+next.name, 500*time.Millisecond)
					if !c.allMembersUp() {
						t.Errorf("not all members are up %s after %s of the %s", catchUpOfThree, next.name, role)
					}
					if t.Failed() {
						t.Fatal(c.recentLog(80))
					}
				}
			})
		}
	}
}

// TestTwoLossesAfterTwoRepairs injects each pair of faults into two members at once, and again
// as soon as both hosts no longer count as lost.
func TestTwoLossesAfterTwoRepairs(t *testing.T) {
	for i, one := range faults {
		for j, two := range faults {
			if j < i {
				continue
			}
			t.Run(one.name+", "+two.name, func(t *testing.T) {
				t.Parallel()
				random := rand.New(rand.NewPCG(uint64(i), uint64(j)))
				c := newClusterTolerating(t, 2)
				for round := range 2 {
					roles := []string{"primary", "backup", "second backup", "voter"}
					random.Shuffle(len(roles), func(a, b int) { roles[a], roles[b] = roles[b], roles[a] })
					c.advanceToAnswer()
					first, second := c.hostByRole(roles[0]), c.hostByRole(roles[1])
					c.logf("round %d: %s %s, %s %s", round, roles[0], one.name, roles[1], two.name)
					one.inject(c, first)
					c.advance(time.Duration(random.IntN(300)) * time.Millisecond)
					two.inject(c, second)
					c.advance(catchUpOfFive)
					c.checkServes("both are back", 500*time.Millisecond)
					if !c.allMembersUp() {
						t.Errorf("not all members are up after %s", catchUpOfFive)
					}
					if t.Failed() {
						t.Fatal(c.recentLog(100))
					}
				}
			})
		}
	}
}

// TestRandomFaultsWithinTolerance repeatedly injects random faults into as many hosts as may be
// lost at once, each time as soon as the earlier ones no longer count as lost.
func TestRandomFaultsWithinTolerance(t *testing.T) {
	for seed := range uint64(100) {
		losses, back := 1, catchUpOfThree
		if seed%4 == 3 {
			losses, back = 2, catchUpOfFive
		}
		t.Run(fmt.Sprintf("%d, f=%d", seed, losses), func(t *testing.T) {
			t.Parallel()
			random := rand.New(rand.NewPCG(seed, 11))
			c := newClusterTolerating(t, losses)
			c.readerRuns = true
			for range 2 + random.IntN(2) {
				c.advance(time.Duration(random.IntN(400)) * tickStep)
				roles := []string{"primary", "backup", "voter"}
				random.Shuffle(len(roles), func(a, b int) { roles[a], roles[b] = roles[b], roles[a] })
				var hosts []*host
				for _, role := range roles[:losses] {
					hosts = append(hosts, c.hostByRole(role))
				}
				c.advanceToAnswer()
				for _, h := range hosts {
					c.injectRandomFault(h, random)
				}
				c.advance(back)
				c.checkServes("all are back", 500*time.Millisecond)
				if t.Failed() {
					t.Fatal(c.recentLog(100))
				}
			}
		})
	}
}

// injectRandomFault injects one of faults, or drops a host's messages in one direction for up to
// 8 s.
func (c *cluster) injectRandomFault(h *host, random *rand.Rand) {
	if which := random.IntN(len(faults) + 2); which < len(faults) {
		faults[which].inject(c, h)
		return
	}
	direction := []string{"to", "from"}[random.IntN(2)]
	c.cutMessages(h, direction)
	c.advance(time.Duration(random.IntN(8000)) * tickStep)
	c.delay = nil
}

// TestDiskLossAroundChange wipes hosts 5 to 400 ms after a write was sent to all replicas,
// whether or not it was answered, while the others keep running or lose power. All are then
// restarted.
func TestDiskLossAroundChange(t *testing.T) {
	for _, losses := range []int{1, 2} {
		for _, powerLost := range []bool{false, true} {
			for i, wait := range []int{5, 6, 7, 8, 9, 10, 12, 15, 25, 40, 80, 150, 250, 400} {
				random := rand.New(rand.NewPCG(uint64(losses), uint64(i)))
				c := newClusterTolerating(t, losses)
				c.advanceToAnswer()
				c.writerPaused = true
				c.advance(100 * time.Millisecond)
				c.write()
				c.advance(time.Duration(wait) * time.Millisecond)
				lost := random.Perm(len(c.hosts))[:losses]
				if wait%2 == 1 {
					lost[0] = 0 // the primary
				}
				if powerLost {
					for _, h := range c.hosts {
						c.kill(h)
					}
				}
				for _, index := range lost {
					c.wipe(c.hosts[index])
				}
				c.advance(200 * time.Millisecond)
				for _, index := range random.Perm(len(c.hosts)) {
					c.start(c.hosts[index])
					c.advance(time.Duration(random.IntN(40)) * time.Millisecond)
				}
				c.advance(failoverBound)
				if c.primary() == nil {
					t.Errorf("no replica serves")
				}
				c.checkAnswered() // before the next write
				c.writerPaused = false
				c.checkServes("all are back", time.Second)
				if t.Failed() {
					t.Fatalf("f=%d, power lost %v, %v wiped after %d ms\n%s",
						losses, powerLost, lost, wait, c.recentLog(60))
				}
			}
		}
	}
}

// TestAllReplicasLostAtOnce kills all replicas up to 11 ms after an answer and restarts them in
// random order.
func TestAllReplicasLostAtOnce(t *testing.T) {
	for _, losses := range []int{1, 2} {
		for seed := range uint64(12) {
			random := rand.New(rand.NewPCG(seed, uint64(losses)))
			c := newClusterTolerating(t, losses)
			for range 3 {
				c.advanceToAnswer()
				c.advance(time.Duration(random.IntN(12)) * time.Millisecond)
				for _, h := range c.hosts {
					c.kill(h)
				}
				c.advance(time.Duration(random.IntN(1000)) * time.Millisecond)
				for _, index := range random.Perm(len(c.hosts)) {
					c.start(c.hosts[index])
					c.advance(time.Duration(random.IntN(300)) * time.Millisecond)
				}
				c.checkServes("all lost power", failoverBound)
				c.advance(time.Second)
			}
			if t.Failed() {
				t.Fatalf("f=%d seed %d\n%s", losses, seed, c.recentLog(60))
			}
		}
	}
}

// A second loss as close upon a repair as the tolerance allows, a disk that is lost
// around a change, all control machines lost at once, and a member that is away for
// thousands of changes.

package replica

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"sorrelloom/core/wire"
)

// trouble is one way to lose a machine. It returns once the machine is back, or once its
// successor stands, and gives what stands there now.
type fault struct {
	name   string
	inject func(c *cluster, h *node) *node
}

const (
	// awayFor is how long a machine is lost, long enough to be missed.
	outageTime  = 2500 * time.Millisecond
	stopTimeout = 2 * time.Second
)

// successor adds a machine at an address that was never used.
func (c *cluster) addReplacement() *node {
	return c.add(fmt.Sprintf("n%d", len(c.log)))
}

var faults = []fault{
	{"replaced", func(c *cluster, h *node) *node {
		c.remove(h)
		c.advance(500 * time.Millisecond)
		return c.addReplacement()
	}},
	{"planned leave", func(c *cluster, h *node) *node {
		c.stop(h, stopTimeout)
		c.remove(h)
		return c.addReplacement()
	}},
	{"disk wiped", func(c *cluster, h *node) *node {
		c.wipe(h)
		c.advance(300 * time.Millisecond)
		c.start(h)
		return h
	}},
	{"power lost", func(c *cluster, h *node) *node {
		c.kill(h)
		c.advance(outageTime)
		c.start(h)
		return h
	}},
	{"killed", func(c *cluster, h *node) *node {
		c.kill(h)
		c.start(h)
		return h
	}},
	{"cut", func(c *cluster, h *node) *node {
		h.isolated = true
		c.advance(outageTime)
		h.isolated = false
		return h
	}},
	{"frozen", func(c *cluster, h *node) *node {
		c.freeze(h)
		c.advance(outageTime)
		c.thaw(h)
		return h
	}},
}

// TestASecondLossRightAfterARepair plays each pair of troubles on a drawn part of the
// view, the second one as soon as the first machine counts as back.
func TestSecondLossAfterRepair(t *testing.T) {
	for i, one := range faults {
		for j, two := range faults {
			t.Run(one.name+", "+two.name, func(t *testing.T) {
				t.Parallel()
				chance := rand.New(rand.NewPCG(uint64(i), uint64(j)))
				c := newClusterTolerating(t, 1)
				c.readerRuns = true
				for round, next := range []fault{one, two} {
					part := []string{"primary", "backup", "third"}[chance.IntN(3)]
					c.advanceToAnswer()
					c.logf("round %d: %s %s", round, part, next.name)
					next.inject(c, c.nodeByRole(part))
					c.advance(catchUpOfThree)
					c.checkServes(part+" "+next.name, 500*time.Millisecond)
					if !c.allMembersUp() {
						t.Errorf("not all seats stand %s after %s of the %s", catchUpOfThree, next.name, part)
					}
					if t.Failed() {
						t.Fatal(c.recentLog(80))
					}
				}
			})
		}
	}
}

// TestTwoLossesRightAfterTwoRepairs is the same with two machines lost at once.
func TestTwoLossesAfterTwoRepairs(t *testing.T) {
	for i, one := range faults {
		for j, two := range faults {
			if j < i {
				continue
			}
			t.Run(one.name+", "+two.name, func(t *testing.T) {
				t.Parallel()
				chance := rand.New(rand.NewPCG(uint64(i), uint64(j)))
				c := newClusterTolerating(t, 2)
				for round := range 2 {
					parts := []string{"primary", "backup", "second backup", "third"}
					chance.Shuffle(len(parts), func(a, b int) { parts[a], parts[b] = parts[b], parts[a] })
					c.advanceToAnswer()
					first, second := c.nodeByRole(parts[0]), c.nodeByRole(parts[1])
					c.logf("round %d: %s %s, %s %s", round, parts[0], one.name, parts[1], two.name)
					one.inject(c, first)
					c.advance(time.Duration(chance.IntN(300)) * time.Millisecond)
					two.inject(c, second)
					c.advance(catchUpOfFive)
					c.checkServes("both are back", 500*time.Millisecond)
					if !c.allMembersUp() {
						t.Errorf("not all seats stand after %s", catchUpOfFive)
					}
					if t.Failed() {
						t.Fatal(c.recentLog(100))
					}
				}
			})
		}
	}
}

// TestDaysWithinTheTolerance draws troubles for as many machines as may be lost at once,
// over and over, each time as soon as those before count as back.
func TestRandomFaultsWithinTolerance(t *testing.T) {
	for seed := range uint64(100) {
		losses, back := 1, catchUpOfThree
		if seed%4 == 3 {
			losses, back = 2, catchUpOfFive
		}
		t.Run(fmt.Sprintf("%d, f=%d", seed, losses), func(t *testing.T) {
			t.Parallel()
			chance := rand.New(rand.NewPCG(seed, 11))
			c := newClusterTolerating(t, losses)
			c.readerRuns = true
			for range 2 + chance.IntN(2) {
				c.advance(time.Duration(chance.IntN(400)) * tickStep)
				parts := []string{"primary", "backup", "third"}
				chance.Shuffle(len(parts), func(a, b int) { parts[a], parts[b] = parts[b], parts[a] })
				var hosts []*node
				for _, part := range parts[:losses] {
					hosts = append(hosts, c.nodeByRole(part))
				}
				c.advanceToAnswer()
				for _, h := range hosts {
					c.injectRandom(h, chance)
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

// draw plays a trouble, or cuts the lines of a machine in one direction for a while.
func (c *cluster) injectRandom(h *node, chance *rand.Rand) {
	if which := chance.IntN(len(faults) + 2); which < len(faults) {
		faults[which].inject(c, h)
		return
	}
	direction := []string{"to", "from"}[chance.IntN(2)]
	c.cutMessages(h, direction)
	c.advance(time.Duration(chance.IntN(8000)) * tickStep)
	c.delay = nil
}

// TestADiskIsLostAroundAChange wipes machines 5 to 400 ms after a change was sent to all,
// answered or not, while the others go on or lose power; all start again.
func TestDiskLossAroundChange(t *testing.T) {
	for _, losses := range []int{1, 2} {
		for _, power := range []bool{false, true} {
			for i, wait := range []int{5, 6, 7, 8, 9, 10, 12, 15, 25, 40, 80, 150, 250, 400} {
				chance := rand.New(rand.NewPCG(uint64(losses), uint64(i)))
				c := newClusterTolerating(t, losses)
				c.advanceToAnswer()
				c.writerPaused = true
				c.advance(100 * time.Millisecond)
				c.write()
				c.advance(time.Duration(wait) * time.Millisecond)
				lost := chance.Perm(len(c.nodes))[:losses]
				if wait%2 == 1 {
					lost[0] = 0 // the primary
				}
				if power {
					for _, h := range c.nodes {
						c.kill(h)
					}
				}
				for _, at := range lost {
					c.wipe(c.nodes[at])
				}
				c.advance(200 * time.Millisecond)
				for _, at := range chance.Perm(len(c.nodes)) {
					c.start(c.nodes[at])
					c.advance(time.Duration(chance.IntN(40)) * time.Millisecond)
				}
				c.advance(failoverBound)
				if c.primary() == nil {
					t.Errorf("nobody serves")
				}
				c.checkAnswered() // before anybody writes again
				c.writerPaused = false
				c.checkServes("all are back", time.Second)
				if t.Failed() {
					t.Fatalf("f=%d, power lost %v, %v wiped after %d ms\n%s", losses, power, lost, wait, c.recentLog(60))
				}
			}
		}
	}
}

// TestALeaverHoldsTheNewestEntry has the primary leave for good in the middle of a change,
// and its last backup lose its disk once the successor counts as back.
func TestLeavingPrimaryHoldsNewestEntry(t *testing.T) {
	for _, losses := range []int{1, 2} {
		for wait := range 8 {
			c := newClusterTolerating(t, losses)
			c.advanceToAnswer()
			c.advance(25 * time.Millisecond)
			c.write()
			c.advance(time.Duration(wait) * time.Millisecond)
			leaver := c.nodeByRole("primary")
			c.stop(leaver, stopTimeout)
			c.remove(leaver)
			c.checkServes("left", failoverBound)
			c.addReplacement()
			c.advance(catchUpOfThree)
			c.advanceToAnswer()
			c.wipe(c.nodeByRole("primary"))
			c.checkServes("the next primary lost its disk", failoverBound)
			if t.Failed() {
				t.Fatal(c.recentLog(60))
			}
		}
	}
}

// TestAllAtOnce kills all processes, or takes their power, right after an answer and has
// them start in any order.
func TestAllReplicasLostAtOnce(t *testing.T) {
	for _, losses := range []int{1, 2} {
		for seed := range uint64(12) {
			chance := rand.New(rand.NewPCG(seed, uint64(losses)))
			c := newClusterTolerating(t, losses)
			for range 3 {
				c.advanceToAnswer()
				c.advance(time.Duration(chance.IntN(12)) * time.Millisecond)
				for _, h := range c.nodes {
					c.kill(h)
				}
				c.advance(time.Duration(chance.IntN(1000)) * time.Millisecond)
				for _, at := range chance.Perm(len(c.nodes)) {
					c.start(c.nodes[at])
					c.advance(time.Duration(chance.IntN(300)) * time.Millisecond)
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

// writeMany sends changes to the primary, one each millisecond.
func (c *cluster) writeRepeatedly(count int) {
	for range count {
		c.write()
		c.advance(tickStep)
	}
}

// TestOneThatWasAwayForManyChanges has a member miss changes, also more than the tail
// holds; it returns, or is replaced, and is then made the leader by the loss of others.
func TestMemberAwayForManyChanges(t *testing.T) {
	for _, losses := range []int{1, 2} {
		for _, count := range []int{200, 1000} {
			for _, way := range []string{"returns", "replaced", "returns in the middle"} {
				if losses == 2 && count > 200 && way != "replaced" {
					continue
				}
				c := newClusterTolerating(t, losses)
				c.advanceToAnswer()
				h := c.nodeByRole("backup")
				c.kill(h)
				c.checkServes("a backup is away", failoverBound)
				c.writeRepeatedly(count)
				switch way {
				case "returns":
					c.start(h)
				case "replaced":
					c.remove(h)
					h = c.addReplacement()
				case "returns in the middle":
					c.start(h)
					c.writeRepeatedly(count / 10)
				}
				if p := c.primary(); p != nil && count > 200 {
					p.replica.resetLog() // its tail reaches back no further than here
				}
				c.advance(catchUpOfFive)
				c.checkCaughtUp(h)
				c.makeLeader(h, losses)
				if t.Failed() {
					t.Fatalf("f=%d, %d changes, %s\n%s", losses, count, way, c.recentLog(60))
				}
			}
		}
	}
}

// leadsNext makes the process given a backup, then the primary, by losing each time as many
// others as may be lost, the second time once those of the first count as back.
func (c *cluster) makeLeader(h *node, losses int) {
	back := catchUpOfThree
	if losses == 2 {
		back = catchUpOfFive
	}
	p := c.nodeByRole("primary")
	if p == h {
		c.checkAnswered()
		return
	}
	var rest []*node
	for _, s := range p.replica.View().Voters {
		if o := c.node(s.Address); o != h && o != p {
			rest = append(rest, o)
		}
	}
	c.killAndRestart(rest[:losses], back)
	v := c.nodeByRole("primary").replica.View()
	lost := []*node{c.node(v.Primary.Address)}
	for _, s := range v.Backups {
		if o := c.node(s.Address); o != h {
			lost = append(lost, o)
		}
	}
	c.killAndRestart(lost, back)
	if c.nodeByRole("primary") != h {
		c.t.Errorf("%s did not come to lead", h.address)
	}
}

// loseAll kills some processes right after an answer and has them back a while later.
func (c *cluster) killAndRestart(lost []*node, back time.Duration) {
	c.advanceToAnswer()
	for _, h := range lost {
		c.kill(h)
	}
	c.checkServes("some are lost", failoverBound)
	for _, h := range lost {
		c.start(h)
	}
	c.advance(back)
	c.checkAnswered()
}

// TestOneThatIsBehindNeverLeads has a member miss changes, then takes the machines that
// have them, and starts it alone and with others that miss them, too.
func TestLaggingMemberNeverLeads(t *testing.T) {
	c := newClusterOfFive(t)
	c.advanceToAnswer()
	behind := []*node{c.node("c"), c.node("e")}
	for _, h := range behind {
		c.kill(h)
	}
	c.checkServes("two are away", failoverBound)
	c.advance(time.Second)
	c.advanceToAnswer()
	for _, h := range c.nodes {
		c.kill(h)
	}
	for _, h := range behind {
		c.start(h)
	}
	answered := len(c.answered)
	c.advance(20 * time.Second)
	if len(c.answered) != answered {
		t.Errorf("two of five that are behind answered\n%s", c.recentLog(40))
	}
	for _, address := range []string{"a", "b", "d"} {
		c.start(c.node(address))
	}
	c.checkServes("all are back", failoverBound)
	c.advance(time.Second)
	c.checkAnswered()
}

// TestAWipedMemberNeverVotesForTheOldOne wipes a witness that promised a ballot, with the
// lines of a candidate on their way: the candidate must not count both.
func TestWipedMemberNeverVotesAsPrevious(t *testing.T) {
	c := newCluster(t)
	c.advanceToAnswer()
	third := c.nodeByRole("third")
	old := third.replica.ID()
	votes := 0
	c.delay = func(from, _, kind string) time.Duration {
		if from == third.address && (kind == wire.KindPrepareReply || kind == wire.KindAcceptReply) && third.replica.ID() != old {
			votes++
		}
		if kind == wire.KindPrepare || kind == wire.KindAccept {
			return 300 * time.Millisecond
		}
		return 0
	}
	c.node("a").isolated = true
	c.advance(1200 * time.Millisecond)
	c.wipe(third)
	c.start(third)
	answered := len(c.answered)
	c.advance(5 * time.Second)
	if votes > 0 || len(c.answered) != answered {
		t.Errorf("%d votes of an empty disk, %d answers with one old disk of three\n%s",
			votes, len(c.answered)-answered, c.recentLog(40))
	}
	c.node("a").isolated = false
	c.checkServes("the cut is mended", failoverBound)
}

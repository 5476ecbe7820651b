// Five keepers with two backups in a view: any two may be lost at once, also right
// after a yes, with their disks or without.

package replica

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"sorrelloom/core/wire"
)

// newFive founds a cluster of five with two backups, in three sites.
func newClusterOfFive(t testing.TB) *cluster {
	c := newEmptyCluster(t)
	c.backupCount, c.zones = 2, map[string]string{"a": "x", "d": "x", "b": "y", "e": "y", "c": "z"}
	for _, address := range []string{"a", "b", "c", "d", "e"} {
		c.add(address)
	}
	c.advance(2 * time.Second)
	p := c.primary()
	if p == nil || len(p.replica.View().Voters) != 5 || len(p.replica.View().Backups) != 2 {
		t.Fatalf("five empty keepers found no view of five\n%s", c.recentLog(20))
	}
	return c
}

// yes lets time go by until a write has just been answered.
func (c *cluster) advanceToAnswer() {
	for c.advance(tickStep); c.lastAnswerAt != c.now; {
		c.advance(tickStep)
	}
}

func (c *cluster) lose(pair []*node, lost string) {
	for _, h := range pair {
		switch lost {
		case "power":
			c.kill(h)
		case "power and lines":
			c.kill(h)
			h.isolated = true
		case "disk":
			c.wipe(h)
		case "disk, back at once":
			c.wipe(h)
			c.start(h)
		case "cut":
			h.isolated = true
		}
	}
}

// TestAnyTwoOfFiveAreLost loses each two of five right after a yes, the second at
// once or a little later, and wants an answer again within 3 s.
func TestAnyTwoOfFiveAreLost(t *testing.T) {
	names := []string{"a", "b", "c", "d", "e"}
	for _, lost := range []string{"power", "power and lines", "disk", "disk, back at once", "cut"} {
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
						c.lose([]*node{c.node(one)}, lost)
						if gap > 0 {
							c.advance(gap)
						}
						c.lose([]*node{c.node(two)}, lost)
						took, ok := c.waitForAnswer(8 * time.Second)
						if worst = max(worst, took); !ok || took > 3*time.Second {
							t.Fatalf("%s and %s lost: served again after %s: %v\n%s", one, two, took, ok, c.recentLog(40))
						}
						c.advance(4 * time.Second)
						c.checkAnswered()
						if p := c.primary(); p == nil || len(p.replica.View().Backups) != 2 {
							t.Fatalf("%s and %s lost: two backups are not there after 4 s\n%s", one, two, c.recentLog(40))
						}
						if lost == "disk, back at once" && !c.allMembersUp() {
							t.Fatalf("%s and %s lost their disks: not seated again after 4 s\n%s", one, two, c.recentLog(40))
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

// TestAllOfFiveLosePower gives the power back to any three of them only.
func TestAllOfFiveLosePower(t *testing.T) {
	names := []string{"a", "b", "c", "d", "e"}
	for _, one := range names {
		for _, two := range names {
			if one >= two {
				continue
			}
			c := newClusterOfFive(t)
			c.advanceToAnswer()
			for _, h := range c.nodes {
				c.kill(h)
			}
			c.advance(500 * time.Millisecond)
			for _, h := range c.nodes {
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

// TestAStalledDisk stops the disk of one keeper for 6 s. Nobody waits for it longer
// than about a second; measured is the longest time between two answers.
func TestStalledDisk(t *testing.T) {
	for _, five := range []bool{false, true} {
		for at := range 5 {
			if !five && at > 2 {
				continue
			}
			c := newCluster(t)
			if five {
				c = newClusterOfFive(t)
			}
			c.advance(500 * time.Millisecond)
			c.advanceToAnswer()
			c.longestGap = 0
			h := c.nodes[at]
			h.diskDelay = 6 * time.Second
			c.advance(6 * time.Second)
			h.diskDelay = 0
			c.advance(3 * time.Second)
			if c.longestGap > 1100*time.Millisecond {
				t.Errorf("five %v, the disk of %s stalls: nothing answered for %s\n%s", five, h.address, c.longestGap, c.recentLog(30))
			}
			c.checkAnswered()
			t.Logf("five %v, the disk of %s stalls: at most %s between two answers", five, h.address, c.longestGap)
		}
	}
}

// TestWhoStandsCommitsNothing has the backup miss the primary and ask the witnesses,
// with its lines on their way for 600 ms. Meanwhile the primary hears it again. What
// it then acks must not be answered in the old view: the new view's backup lacks it,
// and would lead without it once the new primary's disk is lost.
func TestCandidateAcksCommitNothing(t *testing.T) {
	c := newCluster(t)
	c.advanceToAnswer()
	var stood time.Duration
	c.delay = func(from, to, kind string) time.Duration {
		pair := from + to
		switch {
		case kind == wire.KindPrepare && from == "b":
			if stood == 0 {
				stood = c.now
			}
			return 600 * time.Millisecond
		case stood == 0 && pair == "ab":
			return -1
		case kind == wire.KindPrepare && from == "a" || stood > 0 && pair == "ac":
			return -1
		}
		return 0
	}
	for stood == 0 && c.now < 10*time.Second {
		c.advance(tickStep)
	}
	if stood == 0 {
		t.Fatalf("the backup never asked\n%s", c.recentLog(20))
	}
	for c.node("c").replica.View().Primary.Address != "b" && c.now < stood+3*time.Second {
		c.advance(tickStep)
	}
	c.wipe(c.node("b"))
	c.delay = nil
	if took, ok := c.waitForAnswer(10 * time.Second); !ok {
		t.Errorf("not served after %s\n%s", took, c.recentLog(40))
	}
	c.advance(time.Second)
	c.checkAnswered()
	if t.Failed() {
		t.Log(c.recentLog(40))
	}
}

// TestAYesIsCounted says what a command costs: one line to each other seat, one ack
// from each, one batch on each disk.
func TestCommandCost(t *testing.T) {
	for _, row := range []struct {
		five         bool
		lines, disks int
	}{{false, 2, 2}, {true, 4, 3}} {
		c := newCluster(t)
		if row.five {
			c = newClusterOfFive(t)
		}
		c.advanceToAnswer()
		before, answered := map[string]int{}, len(c.answered)
		for kind, n := range c.sendCounts {
			before[kind] = n
		}
		p := c.primary()
		batches := p.replica.WritesIssued()
		c.advance(10 * time.Second)
		n := len(c.answered) - answered
		sent, acks := c.sendCounts[wire.KindReplicate]-before[wire.KindReplicate], c.sendCounts[wire.KindReplicateAck]-before[wire.KindReplicateAck]
		t.Logf("five %v: %d answers, %d lines to copies, %d acks, %d batches of the primary", row.five, n, sent, acks, p.replica.WritesIssued()-batches)
		if len(p.replica.View().Backups)+1 != row.disks {
			t.Errorf("a yes rests on %d disks, want %d", len(p.replica.View().Backups)+1, row.disks)
		}
		if sent < n*row.lines || sent > n*row.lines*3/2 {
			t.Errorf("%d lines for %d answers, want about %d each", sent, n, row.lines)
		}
	}
}

// TestSeatsAreSpread founds with more keepers than seats, with some that come late,
// and with founders that have no disk.
func TestMembersAreSpreadOverZones(t *testing.T) {
	for _, row := range []struct {
		name    string
		sites   string // by address, from a on
		proxies string
		later   string
		copies  int
		seats   int
		within  time.Duration
	}{
		{"three zones, two each", "xyzxyz", "", "", 2, 5, time.Second},
		{"four zones, two each", "xyzwxyzw", "", "", 2, 5, time.Second},
		{"only three", "xyz", "", "", 2, 3, 4 * time.Second},
		{"two come after the founding", "xyzxy", "", "de", 2, 5, 8 * time.Second},
		{"one founder has no disk", "xyzxyz", "a", "", 1, 3, time.Second},
		{"one founder has no disk, two backups", "xyzxyz", "b", "", 2, 5, time.Second},
		{"no founder has a disk", "xyzxyz", "abc", "", 1, 3, 4 * time.Second},
	} {
		c := newEmptyCluster(t)
		c.backupCount = row.copies
		for i, site := range row.sites {
			address := string(rune('a' + i))
			c.zones[address] = string(site)
			if strings.Contains(row.proxies, address) {
				c.diskless = append(c.diskless, address)
			}
		}
		for address := range strings.SplitSeq("abcdefgh"[:len(row.sites)], "") {
			if !strings.Contains(row.later, address) && !slices.Contains(c.diskless, address) {
				c.add(address)
			}
		}
		if row.later != "" {
			c.advance(4 * time.Second)
			for address := range strings.SplitSeq(row.later, "") {
				c.add(address)
			}
		}
		c.advance(row.within + 100*time.Millisecond)
		p := c.primary()
		if p == nil {
			t.Errorf("%s: no cluster after %s\n%s", row.name, row.within, c.recentLog(20))
			continue
		}
		v := p.replica.View()
		if len(v.Voters) != row.seats || len(v.Backups) != min(row.copies, (row.seats-1)/2) || maxPerZone(v.Voters) > max(row.copies, 1) {
			t.Errorf("%s: seats %v, backups %v\n%s", row.name, v.Voters, v.Backups, c.recentLog(20))
		}
		c.advance(time.Second)
		c.checkAnswered()
	}
}

// TestDisksAreLostWhileTheRestLosesPower empties two disks right after a yes while
// all others lose power, and has all start again.
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
				for _, h := range c.nodes {
					c.kill(h)
					if h.address == one || h.address == two {
						c.wipe(h)
					}
				}
				c.advance(time.Second)
				for _, h := range c.nodes {
					c.start(h)
					c.advance(pause / 4)
				}
				if took, ok := c.waitForAnswer(8 * time.Second); !ok || took > 3*time.Second {
					t.Errorf("%s and %s empty, %s: served again after %s: %v\n%s", one, two, pause, took, ok, c.recentLog(40))
				}
				c.advance(time.Second)
				c.checkAnswered()
			}
		}
	}
}

// TestRandomDaysOfFive plays the random days with five keepers.
func TestRandomFaultsOfFive(t *testing.T) {
	for seed := range uint64(100) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			if c := runRandomFaults(newClusterOfFive(t), seed); t.Failed() {
				t.Log(c.recentLog(120))
			}
		})
	}
}

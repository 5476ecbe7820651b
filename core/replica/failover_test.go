package replica

import (
	"fmt"
	"testing"
	"time"

	"sorrelloom/core/machine"
	"sorrelloom/core/wire"
)

// TestAnyTwoOfThreeServeAgain kills all three replicas and restarts two of them, in either
// order and with a pause between them; the third stays down. The two include the primary or
// the backup, which is enough to serve.
func TestAnyTwoOfThreeServeAgain(t *testing.T) {
	for _, pair := range []string{"ab", "ba", "ac", "ca", "bc", "cb"} {
		for _, pause := range []time.Duration{
			0, 500 * time.Millisecond, 2 * time.Second, 5 * time.Second, 20 * time.Second,
		} {
			t.Run(fmt.Sprintf("%s after %s", pair, pause), func(t *testing.T) {
				c := newCluster(t)
				for _, h := range c.hosts {
					c.kill(h)
				}
				c.advance(time.Second)
				c.start(c.host(pair[:1]))
				c.advance(pause)
				c.start(c.host(pair[1:]))
				took, ok := c.waitForAnswer(15 * time.Second)
				if !ok || took > 4*time.Second {
					t.Errorf("next answer after %s, answered: %v\n%s", took, ok, c.recentLog(30))
				}
				c.advance(time.Second)
				c.checkAnswered()
			})
		}
	}
}

// TestLaggingVoterIsEnough loses the backup while the third member is behind, and restarts the
// primary. It must serve again with only the lagging member.
func TestLaggingVoterIsEnough(t *testing.T) {
	for _, row := range []struct{ down, primary, backup, voter string }{{"", "a", "b", "c"}, {"a", "b", "c", "a"}} {
		c := newCluster(t)
		if row.down != "" {
			c.kill(c.host(row.down))
			c.advance(4 * time.Second)
			c.start(c.host(row.down))
			c.advance(2 * time.Second)
		}
		c.host(row.voter).isolated = true
		c.advance(4 * time.Second)
		c.kill(c.host(row.backup))
		c.kill(c.host(row.primary))
		c.host(row.voter).isolated = false
		c.start(c.host(row.primary))
		if took, ok := c.waitForAnswer(12 * time.Second); !ok || took > 4*time.Second {
			t.Errorf("%s leads, %s is behind: next answer after %s, answered: %v\n%s",
				row.primary, row.voter, took, ok, c.recentLog(30))
		}
		c.checkAnswered()
	}
}

// TestStoppingPrimaryHandsOver stops the primary under a write per millisecond. It must accept
// no more writes, propose its backup as primary at once, and stop. The test bounds the time
// until another primary answers a write, and logs the time until the process has ended.
func TestStoppingPrimaryHandsOver(t *testing.T) {
	for _, row := range []struct {
		name      string
		diskDelay time.Duration
		bound     time.Duration
	}{
		{"fast disks", 0, 150 * time.Millisecond},
		{"disks of 60 ms", 60 * time.Millisecond, 700 * time.Millisecond},
	} {
		var worst, ended time.Duration
		for phase := range 8 {
			c := newCluster(t)
			for _, h := range c.hosts {
				h.diskDelay = row.diskDelay
			}
			c.advance(2*time.Second + time.Duration(phase)*23*time.Millisecond)
			old, last := c.primary(), c.lastAnswerAt
			c.step(old, machine.Input{Stop: true})
			from := c.now
			handedOver := func() bool {
				return old.replica == nil && c.primary() != nil && c.lastAnswerAt > from && c.lastAnswerAt != last
			}
			for c.now-from < 3*time.Second && !handedOver() {
				c.write()
				c.advance(tickStep)
				if old.replica != nil {
					last = c.lastAnswerAt
					ended = max(ended, c.now-from)
				}
			}
			if worst = max(worst, c.now-from); old.replica != nil || c.now-from > row.bound {
				t.Errorf("%s: answered by another primary after %s, ended %v\n%s",
					row.name, c.now-from, old.replica == nil, c.recentLog(12))
				break
			}
			c.checkAnswered()
		}
		t.Logf("%s: ended after at most %s, answered by another primary after at most %s", row.name, ended, worst)
	}
}

// TestStalledDisk stalls the disk of one replica for 6 s. The replica must be replaced as
// primary or backup, so that the longest time between two answers is about a second.
func TestStalledDisk(t *testing.T) {
	for _, five := range []bool{false, true} {
		for index := range 5 {
			if !five && index > 2 {
				continue
			}
			c := newCluster(t)
			if five {
				c = newClusterOfFive(t)
			}
			c.advance(500 * time.Millisecond)
			c.advanceToAnswer()
			c.longestGap = 0
			h := c.hosts[index]
			h.diskDelay = 6 * time.Second
			c.advance(6 * time.Second)
			h.diskDelay = 0
			c.advance(3 * time.Second)
			if c.longestGap > 1100*time.Millisecond {
				t.Errorf("five %v, the disk of %s stalls: nothing answered for %s\n%s",
					five, h.address, c.longestGap, c.recentLog(30))
			}
			c.checkAnswered()
			t.Logf("five %v, the disk of %s stalls: at most %s between two answers", five, h.address, c.longestGap)
		}
	}
}

// TestCandidateAcksCommitNothing makes the backup suspect the primary and propose a view; its
// prepare requests take 600 ms. Meanwhile messages from the primary reach it again. Commands
// that it then acknowledges must not be committed in the old view: the backup of the new view
// lacks them and would lead without them once the new primary's disk is lost.
func TestCandidateAcksCommitNothing(t *testing.T) {
	c := newCluster(t)
	c.advanceToAnswer()
	var proposedAt time.Duration
	c.delay = func(from, to, kind string) time.Duration {
		pair := from + to
		switch {
		case kind == wire.KindPrepare && from == "b":
			if proposedAt == 0 {
				proposedAt = c.now
			}
			return 600 * time.Millisecond
		case proposedAt == 0 && pair == "ab":
			return -1
		case kind == wire.KindPrepare && from == "a" || proposedAt > 0 && pair == "ac":
			return -1
		}
		return 0
	}
	for proposedAt == 0 && c.now < 10*time.Second {
		c.advance(tickStep)
	}
	if proposedAt == 0 {
		t.Fatalf("the backup never proposed a view\n%s", c.recentLog(20))
	}
	for c.host("c").replica.View().Primary.Address != "b" && c.now < proposedAt+3*time.Second {
		c.advance(tickStep)
	}
	c.wipe(c.host("b"))
	c.delay = nil
	if took, ok := c.waitForAnswer(10 * time.Second); !ok {
		t.Errorf("no write answered after %s\n%s", took, c.recentLog(40))
	}
	c.advance(time.Second)
	c.checkAnswered()
	if t.Failed() {
		t.Log(c.recentLog(40))
	}
}

// TestLaggingMemberNeverLeads lets two of five members miss changes, kills all hosts and starts
// only these two: they must not serve. Once the others are back, no answered write is lost.
func TestLaggingMemberNeverLeads(t *testing.T) {
	c := newClusterOfFive(t)
	c.advanceToAnswer()
	behind := []*host{c.host("c"), c.host("e")}
	for _, h := range behind {
		c.kill(h)
	}
	c.checkServes("two are down", failoverBound)
	c.advance(time.Second)
	c.advanceToAnswer()
	for _, h := range c.hosts {
		c.kill(h)
	}
	for _, h := range behind {
		c.start(h)
	}
	answered := len(c.answered)
	c.advance(20 * time.Second)
	if len(c.answered) != answered {
		t.Errorf("two of five members answered although they are behind\n%s", c.recentLog(40))
	}
	for _, address := range []string{"a", "b", "d"} {
		c.start(c.host(address))
	}
	c.checkServes("all are back", failoverBound)
	c.advance(time.Second)
	c.checkAnswered()
}

// TestWipedMemberNeverVotesAsPrevious wipes a voter while the requests of a candidate to it are
// in flight: the voter must not vote with its new identity, and the candidate must not count
// votes of both identities.
func TestWipedMemberNeverVotesAsPrevious(t *testing.T) {
	c := newCluster(t)
	c.advanceToAnswer()
	voter := c.hostByRole("voter")
	old := voter.replica.ID()
	votes := 0
	c.delay = func(from, _, kind string) time.Duration {
		isVote := kind == wire.KindPrepareReply || kind == wire.KindAcceptReply
		if isVote && from == voter.address && voter.replica.ID() != old {
			votes++
		}
		if kind == wire.KindPrepare || kind == wire.KindAccept {
			return 300 * time.Millisecond
		}
		return 0
	}
	c.host("a").isolated = true
	c.advance(1200 * time.Millisecond)
	c.wipe(voter)
	c.start(voter)
	answered := len(c.answered)
	c.advance(5 * time.Second)
	if votes > 0 || len(c.answered) != answered {
		t.Errorf("%d votes by the wiped voter, %d answers with only one of three old disks reachable\n%s",
			votes, len(c.answered)-answered, c.recentLog(40))
	}
	c.host("a").isolated = false
	c.checkServes("no host is isolated", failoverBound)
}

// TestLeavingPrimaryHoldsNewestEntry stops and removes the primary while a write is being
// replicated, adds a replacement, and wipes the next primary once the replacement counts as
// caught up.
func TestLeavingPrimaryHoldsNewestEntry(t *testing.T) {
	for _, losses := range []int{1, 2} {
		for wait := range 8 {
			c := newClusterTolerating(t, losses)
			c.advanceToAnswer()
			c.advance(25 * time.Millisecond)
			c.write()
			c.advance(time.Duration(wait) * time.Millisecond)
			leaving := c.hostByRole("primary")
			c.stop(leaving, stopTimeout)
			c.remove(leaving)
			c.checkServes("the primary left", failoverBound)
			c.addReplacement()
			c.advance(catchUpOfThree)
			c.advanceToAnswer()
			c.wipe(c.hostByRole("primary"))
			c.checkServes("the next primary lost its disk", failoverBound)
			if t.Failed() {
				t.Fatal(c.recentLog(60))
			}
		}
	}
}

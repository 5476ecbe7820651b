// How a member that is behind catches up: with windows of commands where the log's tail
// reaches back to it, after a rewind where its history diverged, and else with a snapshot.

package replica

import (
	"testing"
	"time"

	"sorrelloom/core/machine"
	"sorrelloom/core/state"
	"sorrelloom/core/wire"
)

// TestReturningMemberCatchesUpFromLog has a member receive nothing for thousands of commands:
// meanwhile no more than a window is sent to it, and then it gets them in windows.
func TestReturningMemberCatchesUpFromLog(t *testing.T) {
	c := newCluster(t)
	c.acceptJobs(10)
	voter := c.host("c")
	sent := recordTraffic(c)
	c.delay = func(_, to, _ string) time.Duration {
		if to == "c" {
			return -1
		}
		return 0
	}
	before := c.primary().replica.Store().Position().Index
	c.submitTicks(6000)
	missed := int(c.primary().replica.Store().Position().Index - before)
	if sent.bytes["c"] > 100<<10 {
		t.Errorf("%d bytes were sent to one that acknowledges nothing", sent.bytes["c"])
	}
	c.delay = nil
	sent = recordTraffic(c)
	took, ok := c.waitForCatchUp(voter, 5*time.Second)
	t.Logf("%d commands missed, caught up after %s, %d messages and %d bytes, the largest %d",
		missed, took, sent.messages[wire.KindReplicate+" to c"], sent.bytes["c"], sent.largest)
	if !ok || took > time.Second {
		t.Errorf("caught up after %s: %v\n%s", took, ok, c.recentLog(30))
	}
	most := missed*250 + 100<<10
	if sent.bytes["c"] > most || sent.largest > maxWindowBytes+4096 || sent.snapshotChunks() > 0 {
		t.Errorf("%d bytes, at most %d are right; the largest message has %d; %d snapshot chunks",
			sent.bytes["c"], most, sent.largest, sent.snapshotChunks())
	}
	c.checkSameState(voter)
	c.checkAnswered()
}

// TestMemberBehindLogTailTakesSnapshot isolates a member for longer than the log's tail, and
// lets it return under load: it takes a snapshot, then the tail.
func TestMemberBehindLogTailTakesSnapshot(t *testing.T) {
	c := newCluster(t)
	c.acceptJobs(100)
	voter := c.host("c")
	voter.isolated = true
	c.submitTicks(2*state.LogSuffixCommands + 1000)
	voter.isolated = false
	sent := recordTraffic(c)
	from := c.now
	c.submitTicks(2000)
	took, ok := c.waitForCatchUp(voter, 5*time.Second)
	t.Logf("caught up %s after it came back, %d chunks, %d messages, %d bytes", c.now-from,
		sent.messages[wire.KindSnapshotChunk+" to c"], sent.messages[wire.KindReplicate+" to c"], sent.bytes["c"])
	if !ok || sent.snapshotChunks() == 0 || sent.bytes["c"] > 1<<20 || sent.largest > maxWindowBytes+4096 {
		t.Errorf("caught up after %s: %v, %d snapshot chunks, %d bytes, the largest message has %d\n%s",
			took, ok, sent.snapshotChunks(), sent.bytes["c"], sent.largest, c.recentLog(30))
	}
	c.checkSameState(voter)
	c.checkAnswered()
}

// TestMemberWhoseAcksAreLostCatchesUp has a member receive all, but be heard no more: it is
// where the messages to it end when the tail has long left that behind.
func TestMemberWhoseAcksAreLostCatchesUp(t *testing.T) {
	c := newCluster(t)
	c.acceptJobs(100)
	voter := c.host("c")
	c.delay = func(from, _, _ string) time.Duration {
		if from == "c" {
			return -1
		}
		return 0
	}
	c.submitTicks(2*state.LogSuffixCommands + 2000)
	missed := c.primary().replica.Store().Position().Index - voter.replica.Store().Position().Index
	if missed < state.LogSuffixCommands {
		t.Errorf("only %d commands were not sent", missed)
	}
	c.delay = nil
	sent := recordTraffic(c)
	took, ok := c.waitForCatchUp(voter, 5*time.Second)
	t.Logf("caught up after %s, %d chunks, %d bytes", took, sent.messages[wire.KindSnapshotChunk+" to c"], sent.bytes["c"])
	if !ok || sent.bytes["c"] > 1<<20 {
		t.Errorf("caught up after %s: %v, %d bytes\n%s", took, ok, sent.bytes["c"], c.recentLog(30))
	}
	c.checkSameState(voter)
	c.checkAnswered()
}

// TestReturnedMemberLeads has a member return thousands of commands behind, and kills the
// primary at different moments while it catches up.
func TestReturnedMemberLeads(t *testing.T) {
	for _, ms := range []time.Duration{0, 20, 60, 300, 1000} {
		after := ms * time.Millisecond
		c := newCluster(t)
		c.acceptJobs(10)
		c.host("c").isolated = true
		c.submitTicks(4000)
		c.host("c").isolated = false
		c.advance(after)
		sent := recordTraffic(c)
		c.kill(c.primary())
		took, ok := c.waitForAnswer(8 * time.Second)
		if !ok || took > 3*time.Second {
			t.Errorf("%s after it came back: served again after %s: %v\n%s", after, took, ok, c.recentLog(30))
			continue
		}
		if sent.snapshotChunks() > 0 {
			t.Errorf("%s after it came back: %d snapshot chunks\n%s", after, sent.snapshotChunks(), c.recentLog(30))
		}
		c.checkSameState(c.host("c"))
		c.checkAnswered()
	}
}

// forceSnapshots has the hosts that are not isolated write one snapshot each, and no more.
func (c *cluster) forceSnapshots() {
	logged := map[*host]int{} // commands in the logs of those that have not done so yet
	for _, h := range c.hosts {
		if !h.isolated {
			h.disk.SnapshotThreshold = 1
			logged[h] = len(h.disk.Load().Commands)
		}
	}
	for len(logged) > 0 {
		c.advance(tickStep)
		for h, before := range logged {
			if len(h.disk.Load().Commands) < before {
				h.disk.SnapshotThreshold = 1 << 20
				delete(logged, h)
			}
		}
	}
}

// TestRestartKeepsLogTail kills all replicas while one is behind, by commands from after the
// others' last snapshot or from before it, too.
func TestRestartKeepsLogTail(t *testing.T) {
	for _, snapshot := range []bool{false, true} {
		c := newCluster(t)
		for _, h := range c.hosts {
			h.disk.SnapshotThreshold = 1 << 20
		}
		c.acceptJobs(10)
		c.host("c").isolated = true
		c.submitTicks(100)
		if snapshot {
			c.forceSnapshots()
		}
		c.submitTicks(100)
		for _, h := range c.hosts {
			c.kill(h)
		}
		c.host("c").isolated = false
		sent := recordTraffic(c)
		for _, h := range c.hosts {
			c.start(h)
		}
		if took, ok := c.waitForAnswer(8 * time.Second); !ok {
			t.Errorf("snapshot %v: served again after %s\n%s", snapshot, took, c.recentLog(30))
		}
		c.checkSameState(c.host("c"))
		if sent.snapshotChunks() > 0 {
			t.Errorf("snapshot %v: %d snapshot chunks\n%s", snapshot, sent.snapshotChunks(), c.recentLog(40))
		}
		c.checkAnswered()
	}
}

// submitUncommitted submits small commands to a primary that need not be confirmed.
func (c *cluster) submitUncommitted(primary *host, count int) {
	for n := range count {
		var out machine.Output
		now := c.now - primary.startedAt + time.Microsecond
		primary.replica.Submit(now, 0, state.Command{Kind: state.KindTick}, &out)
		if n%32 == 0 {
			c.advance(tickStep)
		}
	}
	c.advance(20 * time.Millisecond)
}

// TestDivergedMemberRewinds has the primary's last commands, which it cannot commit, reach the
// other voter but not the backup. The backup leads without them; neither the voter nor the
// old primary needs a snapshot to go on. After it all of them lose power.
func TestDivergedMemberRewinds(t *testing.T) {
	for n, suffix := range []int{1, 1, 40, 40, 1500, 1500, 4000} {
		c := newCluster(t)
		if n%2 == 0 {
			// What the members rewind over is in their logs, not in a snapshot.
			for _, h := range c.hosts {
				h.disk.SnapshotThreshold = 1 << 20
			}
		}
		c.acceptJobs(10)
		c.submitTicks(700)
		old := c.primary()
		backup := c.host(old.replica.View().Backups[0].Address)
		var voter *host
		for _, h := range c.hosts {
			if h != old && h != backup {
				voter = h
			}
		}
		c.delay = func(from, to, _ string) time.Duration {
			if from == old.address && to == backup.address {
				return -1
			}
			return 0
		}
		c.submitUncommitted(old, suffix)
		diverged := voter.replica.Store().Position()
		old.isolated = true
		sent := recordTraffic(c)
		if took, ok := c.waitForAnswer(8 * time.Second); !ok || c.primary() == old {
			t.Fatalf("%d more: served again after %s: %v\n%s", suffix, took, ok, c.recentLog(30))
		}
		if backup.replica.log.position().Epoch <= diverged.Epoch || voter.replica.log.tail.Contains(diverged) {
			t.Errorf("%d more: the voter has not diverged at %v", suffix, diverged)
		}
		old.isolated, c.delay = false, nil
		c.advance(time.Second)
		c.checkSameState(voter)
		c.checkSameState(old)
		t.Logf("%d more: %d bytes to the voter, %d to the old primary, %d snapshot chunks",
			suffix, sent.bytes[voter.address], sent.bytes[old.address], sent.snapshotChunks())
		if sent.snapshotChunks() > 0 {
			t.Errorf("%d more: %d snapshot chunks\n%s", suffix, sent.snapshotChunks(), c.recentLog(40))
		}
		for _, h := range c.hosts {
			c.kill(h)
		}
		for _, h := range c.hosts {
			c.start(h)
		}
		if took, ok := c.waitForAnswer(8 * time.Second); !ok {
			t.Errorf("%d more, after a loss of power: served again after %s\n%s", suffix, took, c.recentLog(30))
		}
		c.checkSameState(voter)
		c.checkSameState(old)
		c.checkAnswered()
	}
}

// TestLateMessageNeverRewinds delivers a message for a position where the member's history had
// diverged, after the member has moved on and acknowledged more.
func TestLateMessageNeverRewinds(t *testing.T) {
	c := newCluster(t)
	c.acceptJobs(5)
	p, voter := c.primary(), c.host("c")
	after := voter.replica.Store().Position()
	c.submitTicks(50)
	moved := voter.replica.Store().Position()
	body := wire.ReplicateRequest{
		BootID: p.replica.config.BootID, View: p.replica.View(), From: p.replica.self, Previous: after,
		DivergedAt: state.LogPosition{Epoch: 1, Index: moved.Index + 3},
	}
	c.step(voter, machine.Input{Message: newMessage(wire.KindReplicate, p.address, body)})
	if got := voter.replica.Store().Position(); got.Index < moved.Index {
		t.Errorf("rewound from %v to %v", moved, got)
	}
}

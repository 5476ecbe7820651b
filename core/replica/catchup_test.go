// How a member that is behind catches up: with windows of commands if the log's tail reaches
// back to its position, after a rewind if its history has diverged, and otherwise with a
// snapshot.

package replica

import (
	"testing"
	"time"

	"sorrelloom/core/machine"
	"sorrelloom/core/state"
	"sorrelloom/core/wire"
)

// TestReturningMemberCatchesUpFromLog drops all messages to a member for thousands of commands.
// Meanwhile no more than a window may be sent to it; afterwards it catches up in windows.
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
		t.Errorf("%d bytes were sent to a member that acknowledges nothing", sent.bytes["c"])
	}
	c.delay = nil
	sent = recordTraffic(c)
	took, ok := c.waitForCatchUp(voter, 5*time.Second)
	t.Logf("%d commands missed, caught up after %s, %d messages and %d bytes, the largest %d",
		missed, took, sent.messages[wire.KindReplicate+" to c"], sent.bytes["c"], sent.largest)
	if !ok || took > time.Second {
		t.Errorf("catch-up took %s, caught up: %v\n%s", took, ok, c.recentLog(30))
	}
	most := missed*250 + 100<<10
	if sent.bytes["c"] > most || sent.largest > maxWindowBytes+4096 || sent.snapshotChunks() > 0 {
		t.Errorf("%d bytes sent, want at most %d; the largest message has %d; %d snapshot chunks",
			sent.bytes["c"], most, sent.largest, sent.snapshotChunks())
	}
	c.checkSameState(voter)
	c.checkAnswered()
}

// TestMemberBehindLogTailTakesSnapshot isolates a member for more commands than the log's tail
// contains, and reconnects it under load. It must install a snapshot and then catch up from
// the tail.
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
	t.Logf("caught up %s after its return, %d chunks, %d messages, %d bytes", c.now-from,
		sent.messages[wire.KindSnapshotChunk+" to c"], sent.messages[wire.KindReplicate+" to c"], sent.bytes["c"])
	if !ok || sent.snapshotChunks() == 0 || sent.bytes["c"] > 1<<20 || sent.largest > maxWindowBytes+4096 {
		t.Errorf("catch-up took %s, caught up: %v, %d snapshot chunks, %d bytes, the largest message has %d\n%s",
			took, ok, sent.snapshotChunks(), sent.bytes["c"], sent.largest, c.recentLog(30))
	}
	c.checkSameState(voter)
	c.checkAnswered()
}

// TestMemberWhoseAcksAreLostCatchesUp drops all messages from a member, which still receives
// messages. It gets no more than a window, so that the log's tail later no longer reaches back
// to its position.
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
		t.Errorf("catch-up took %s, caught up: %v, %d bytes\n%s", took, ok, sent.bytes["c"], c.recentLog(30))
	}
	c.checkSameState(voter)
	c.checkAnswered()
}

// TestReturnedMemberLeads reconnects a member that is thousands of commands behind and kills
// the primary at different moments while the member catches up.
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
			t.Errorf("%s after its return: next answer after %s, answered: %v\n%s", after, took, ok, c.recentLog(30))
			continue
		}
		if sent.snapshotChunks() > 0 {
			t.Errorf("%s after its return: %d snapshot chunks\n%s", after, sent.snapshotChunks(), c.recentLog(30))
		}
		c.checkSameState(c.host("c"))
		c.checkAnswered()
	}
}

// forceSnapshots makes each host that is not isolated write exactly one snapshot.
func (c *cluster) forceSnapshots() {
	logged := map[*host]int{} // commands in the logs of the hosts that have not written theirs
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

// TestRestartKeepsLogTail kills and restarts all replicas while one is behind. The commands
// that it lacks are later than the others' last snapshot, or some are earlier. In both cases
// it must catch up without a snapshot.
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
			t.Errorf("snapshot %v: no write answered after %s\n%s", snapshot, took, c.recentLog(30))
		}
		c.checkSameState(c.host("c"))
		if sent.snapshotChunks() > 0 {
			t.Errorf("snapshot %v: %d snapshot chunks\n%s", snapshot, sent.snapshotChunks(), c.recentLog(40))
		}
		c.checkAnswered()
	}
}

// submitUncommitted submits small commands to a primary whose leadership need not be
// confirmed.
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

// TestDivergedMemberRewinds drops the primary's last commands on the way to the backup, so that
// only the other voter receives them and they cannot be committed. The backup then leads
// without them. The voter and the old primary must rewind and catch up without a snapshot, and
// the cluster must serve after all replicas have lost power.
func TestDivergedMemberRewinds(t *testing.T) {
	for n, suffix := range []int{1, 1, 40, 40, 1500, 1500, 4000} {
		c := newCluster(t)
		if n%2 == 0 {
			// The commands to undo are then in the members' logs, not in a snapshot.
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
			t.Fatalf("suffix %d: next answer after %s, answered: %v\n%s", suffix, took, ok, c.recentLog(30))
		}
		if backup.replica.log.position().Epoch <= diverged.Epoch || voter.replica.log.tail.Contains(diverged) {
			t.Errorf("suffix %d: the voter has not diverged at %v", suffix, diverged)
		}
		old.isolated, c.delay = false, nil
		c.advance(time.Second)
		c.checkSameState(voter)
		c.checkSameState(old)
		t.Logf("suffix %d: %d bytes to the voter, %d to the old primary, %d snapshot chunks",
			suffix, sent.bytes[voter.address], sent.bytes[old.address], sent.snapshotChunks())
		if sent.snapshotChunks() > 0 {
			t.Errorf("suffix %d: %d snapshot chunks\n%s", suffix, sent.snapshotChunks(), c.recentLog(40))
		}
		for _, h := range c.hosts {
			c.kill(h)
		}
		for _, h := range c.hosts {
			c.start(h)
		}
		if took, ok := c.waitForAnswer(8 * time.Second); !ok {
			t.Errorf("suffix %d, after a power loss: no write answered after %s\n%s", suffix, took, c.recentLog(30))
		}
		c.checkSameState(voter)
		c.checkSameState(old)
		c.checkAnswered()
	}
}

// TestLateMessageNeverRewinds delivers a request to rewind from a position that is no longer
// the member's: the member has acknowledged more since and must not rewind.
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

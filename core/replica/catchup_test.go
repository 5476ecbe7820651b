// How a member that is behind catches up: in windows of commands where the tail
// reaches back to it, by going back where its history diverged, and else by a snapshot
// in chunks. Lines and bytes are counted.

package replica

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"
	"time"

	"sorrelloom/core/machine"
	"sorrelloom/core/state"
	"sorrelloom/core/wire"
)

// traffic is what was sent to each host.
type traffic struct {
	messages map[string]int // by kind and receiver
	bytes    map[string]int // by receiver
	largest  int
}

func recordTraffic(c *cluster) *traffic {
	w := &traffic{map[string]int{}, map[string]int{}, 0}
	c.onSend = func(_, to string, line machine.Message) {
		w.messages[line.Kind+" to "+to]++
		w.bytes[to] += len(line.Body)
		w.largest = max(w.largest, len(line.Body))
	}
	return w
}

func (w *traffic) snapshots() (lines int) {
	for kind, n := range w.messages {
		if strings.HasPrefix(kind, wire.KindSnapshotChunk+" ") {
			lines += n
		}
	}
	return lines
}

const classConfig = `{"services":{"s":{"classes":{"c":{"priority":1,"share":100}}}}}`

// command gives one to the primary.
func (c *cluster) submit(cmd state.Command) {
	c.t.Helper()
	p := c.primary()
	if p == nil {
		c.t.Fatalf("nobody leads\n%s", c.recentLog(20))
	}
	var out machine.Output
	p.replica.Submit(c.now-p.startedAt+time.Microsecond, 0, cmd, &out)
	if cmd.Kind == state.KindAcceptJob {
		if job, ok := p.replica.Store().Job(cmd.Job.ID); !ok {
			c.t.Fatalf("job %s was not accepted: %v", cmd.Job.ID, job)
		}
	}
}

// grow accepts jobs of 2 KB each until the state has that many.
func (c *cluster) acceptJobs(jobs int) {
	c.t.Helper()
	change := state.ConfigChange{Forced: true, Patch: true, Body: []byte(classConfig)}
	c.submit(state.Command{Kind: state.KindChangeConfig, ConfigChange: change})
	payload := machine.MustJSON(strings.Repeat("x", 2000))
	for n := range jobs {
		task := state.TaskSpec{ID: "t", Resources: state.Resources{Slots: 1}, Payload: payload}
		spec := state.JobSpec{ID: fmt.Sprintf("j%05d", n), Service: "s", Class: "c", Tasks: []state.TaskSpec{task}}
		c.submit(state.Command{Kind: state.KindAcceptJob, Job: spec})
		c.advance(2 * tickStep)
	}
	c.advance(200 * time.Millisecond)
}

// changes has so many small commands come, a few each millisecond.
func (c *cluster) submitTicks(count int) {
	for n := range count {
		c.submit(state.Command{Kind: state.KindTick})
		if n%4 == 0 {
			c.advance(tickStep)
		}
	}
	c.advance(100 * time.Millisecond)
}

// level says how long it takes until a host stands where the primary does.
func (c *cluster) waitForCatchUp(h *node, d time.Duration) (time.Duration, bool) {
	from := c.now
	for c.now-from < d {
		c.advance(tickStep)
		p := c.primary()
		if p == nil || h.replica == nil {
			continue
		}
		if p.replica.Store().Position().Index-h.replica.Store().Position().Index < 20 {
			return c.now - from, true
		}
	}
	return d, false
}

// same wants the host's ledger to be the primary's once nothing is under way.
func (c *cluster) checkSameState(h *node) {
	c.t.Helper()
	for range 400 {
		c.advance(tickStep)
		p := c.primary()
		if p == nil || h.replica == nil || p.replica.Store().Position() != h.replica.Store().Position() {
			continue
		}
		if a, b := fmt.Sprint(p.replica.Store().Records()), fmt.Sprint(h.replica.Store().Records()); a != b {
			c.t.Errorf("%s differs from the primary %s", h.address, p.address)
		}
		return
	}
	c.t.Errorf("%s never stands where the primary does\n%s", h.address, c.recentLog(30))
}

// TestAMemberThatWasAwayTakesTheTail is cut for thousands of changes: meanwhile no
// more than a window is sent to it, and then it gets them in windows.
func TestReturningMemberCatchesUpFromLog(t *testing.T) {
	c := newCluster(t)
	c.acceptJobs(10)
	third := c.node("c")
	w := recordTraffic(c)
	c.delay = func(_, to, _ string) time.Duration {
		if to == "c" {
			return -1
		}
		return 0
	}
	before := c.primary().replica.Store().Position().Index
	c.submitTicks(6000)
	missed := int(c.primary().replica.Store().Position().Index - before)
	if w.bytes["c"] > 100<<10 {
		t.Errorf("%d bytes were sent to one that does not ack", w.bytes["c"])
	}
	c.delay = nil
	w = recordTraffic(c)
	took, ok := c.waitForCatchUp(third, 5*time.Second)
	t.Logf("%d commands missed, level after %s, %d lines and %d bytes, the largest %d",
		missed, took, w.messages[wire.KindReplicate+" to c"], w.bytes["c"], w.largest)
	if !ok || took > time.Second {
		t.Errorf("level after %s: %v\n%s", took, ok, c.recentLog(30))
	}
	if most := missed*250 + 100<<10; w.bytes["c"] > most || w.largest > maxWindowBytes+4096 || w.snapshots() > 0 {
		t.Errorf("%d bytes, at most %d are right; the largest line has %d; %d lines of snapshots",
			w.bytes["c"], most, w.largest, w.snapshots())
	}
	c.checkSameState(third)
	c.checkAnswered()
}

// TestAMemberIsBehindTheTail is cut for longer than the tail, and comes back while
// changes go on: it takes the state, then the tail.
func TestMemberBehindLogTailTakesSnapshot(t *testing.T) {
	c := newCluster(t)
	c.acceptJobs(100)
	third := c.node("c")
	third.isolated = true
	c.submitTicks(2*state.LogSuffixCommands + 1000)
	third.isolated = false
	w := recordTraffic(c)
	from := c.now
	c.submitTicks(2000)
	took, ok := c.waitForCatchUp(third, 5*time.Second)
	t.Logf("level %s after it came back, %d chunks, %d lines, %d bytes", c.now-from, w.messages[wire.KindSnapshotChunk+" to c"],
		w.messages[wire.KindReplicate+" to c"], w.bytes["c"])
	if !ok || w.snapshots() == 0 || w.bytes["c"] > 1<<20 || w.largest > maxWindowBytes+4096 {
		t.Errorf("level after %s: %v, %d lines of snapshots, %d bytes, the largest line has %d\n%s",
			took, ok, w.snapshots(), w.bytes["c"], w.largest, c.recentLog(30))
	}
	c.checkSameState(third)
	c.checkAnswered()
}

// TestAMemberThatTookAllItWasSent is heard no more, but hears: it is where the lines to
// it end when the tail has long left that behind.
func TestMemberWhoseAcksAreLostCatchesUp(t *testing.T) {
	c := newCluster(t)
	c.acceptJobs(100)
	third := c.node("c")
	c.delay = func(from, _, _ string) time.Duration {
		if from == "c" {
			return -1
		}
		return 0
	}
	c.submitTicks(2*state.LogSuffixCommands + 2000)
	missed := c.primary().replica.Store().Position().Index - third.replica.Store().Position().Index
	if missed < state.LogSuffixCommands {
		t.Errorf("only %d commands were not sent", missed)
	}
	c.delay = nil
	w := recordTraffic(c)
	took, ok := c.waitForCatchUp(third, 5*time.Second)
	t.Logf("level after %s, %d chunks, %d bytes", took, w.messages[wire.KindSnapshotChunk+" to c"], w.bytes["c"])
	if !ok || w.bytes["c"] > 1<<20 {
		t.Errorf("level after %s: %v, %d bytes\n%s", took, ok, w.bytes["c"], c.recentLog(30))
	}
	c.checkSameState(third)
	c.checkAnswered()
}

// TestAMemberThatWasAwayIsReplaced has a newcomer take the seat of one that is gone,
// after thousands of changes.
func TestLostMemberIsReplaced(t *testing.T) {
	c := newCluster(t)
	c.acceptJobs(100)
	c.node("c").isolated = true
	c.submitTicks(3000)
	for _, h := range c.nodes {
		h.replica.resetLog() // the newcomer must take the state
	}
	w := recordTraffic(c)
	n := c.add("n")
	took, ok := c.waitForMembership(n, 10*time.Second)
	chunks := w.messages[wire.KindSnapshotChunk+" to n"]
	t.Logf("seated after %s, %d chunks, %d bytes", took, chunks, w.bytes["n"])
	if !ok || took > 3*time.Second || chunks < 3 || chunks > 8 || w.bytes["n"] > 1<<20 {
		t.Errorf("seated after %s: %v, %d chunks, %d bytes\n%s", took, ok, chunks, w.bytes["n"], c.recentLog(30))
	}
	c.checkSameState(n)
	c.checkAnswered()
}

// TestAMemberThatCameBackLeads has one return behind by thousands, and takes the power
// from the primary at different moments while it catches up.
func TestReturnedMemberLeads(t *testing.T) {
	for _, ms := range []time.Duration{0, 20, 60, 300, 1000} {
		after := ms * time.Millisecond
		c := newCluster(t)
		c.acceptJobs(10)
		c.node("c").isolated = true
		c.submitTicks(4000)
		c.node("c").isolated = false
		c.advance(after)
		w := recordTraffic(c)
		c.kill(c.primary())
		took, ok := c.waitForAnswer(8 * time.Second)
		if !ok || took > 3*time.Second {
			t.Errorf("%s after it came back: served again after %s: %v\n%s", after, took, ok, c.recentLog(30))
			continue
		}
		if w.snapshots() > 0 {
			t.Errorf("%s after it came back: %d lines of snapshots\n%s", after, w.snapshots(), c.recentLog(30))
		}
		c.checkSameState(c.node("c"))
		c.checkAnswered()
	}
}

// snapshotNow has the hosts that are heard take one snapshot each, and no more.
func (c *cluster) forceSnapshots() {
	waits := map[*node]int{}
	for _, h := range c.nodes {
		if !h.isolated {
			h.disk.SnapshotThreshold = 1
			waits[h] = len(h.disk.Load().Commands)
		}
	}
	for len(waits) > 0 {
		c.advance(tickStep)
		for h, before := range waits {
			if len(h.disk.Load().Commands) < before {
				h.disk.SnapshotThreshold = 1 << 20
				delete(waits, h)
			}
		}
	}
}

// TestARestartKeepsTheTail takes the power from all of them while one is behind, by
// commands from after the others' last snapshot or from before it, too.
func TestRestartKeepsLogTail(t *testing.T) {
	for _, snapshot := range []bool{false, true} {
		c := newCluster(t)
		for _, h := range c.nodes {
			h.disk.SnapshotThreshold = 1 << 20
		}
		c.acceptJobs(10)
		c.node("c").isolated = true
		c.submitTicks(100)
		if snapshot {
			c.forceSnapshots()
		}
		c.submitTicks(100)
		for _, h := range c.nodes {
			c.kill(h)
		}
		c.node("c").isolated = false
		w := recordTraffic(c)
		for _, h := range c.nodes {
			c.start(h)
		}
		if took, ok := c.waitForAnswer(8 * time.Second); !ok {
			t.Errorf("snapshot %v: served again after %s\n%s", snapshot, took, c.recentLog(30))
		}
		c.checkSameState(c.node("c"))
		if w.snapshots() > 0 {
			t.Errorf("snapshot %v: %d lines of snapshots\n%s", snapshot, w.snapshots(), c.recentLog(40))
		}
		c.checkAnswered()
	}
}

// TestADivergedMemberGoesBack has the primary's last commands, which it cannot answer,
// reach the third but not the backup. The backup leads without them; neither the third
// nor the old primary needs the state for that. After it all of them lose power.
func TestDivergedMemberRewinds(t *testing.T) {
	for n, suffix := range []int{1, 1, 40, 40, 1500, 1500, 4000} {
		c := newCluster(t)
		if n%2 == 0 {
			// What the members go back over is in their logs, not in a snapshot.
			for _, h := range c.nodes {
				h.disk.SnapshotThreshold = 1 << 20
			}
		}
		c.acceptJobs(10)
		c.submitTicks(700)
		old := c.primary()
		backup := c.node(old.replica.View().Backups[0].Address)
		var third *node
		for _, h := range c.nodes {
			if h != old && h != backup {
				third = h
			}
		}
		c.delay = func(from, to, _ string) time.Duration {
			if from == old.address && to == backup.address {
				return -1
			}
			return 0
		}
		for n := range suffix {
			var out machine.Output
			old.replica.Submit(c.now-old.startedAt+time.Microsecond, 0, state.Command{Kind: state.KindTick}, &out)
			if n%32 == 0 {
				c.advance(tickStep)
			}
		}
		c.advance(20 * time.Millisecond)
		diverged := third.replica.Store().Position()
		old.isolated = true
		w := recordTraffic(c)
		if took, ok := c.waitForAnswer(8 * time.Second); !ok || c.primary() == old {
			t.Fatalf("%d more: served again after %s: %v\n%s", suffix, took, ok, c.recentLog(30))
		}
		if backup.replica.log.position().Epoch <= diverged.Epoch || third.replica.log.tail.Contains(diverged) {
			t.Errorf("%d more: the third has not diverged at %v", suffix, diverged)
		}
		old.isolated, c.delay = false, nil
		c.advance(time.Second)
		c.checkSameState(third)
		c.checkSameState(old)
		t.Logf("%d more: %d bytes to the third, %d to the old primary, %d lines of snapshots",
			suffix, w.bytes[third.address], w.bytes[old.address], w.snapshots())
		if w.snapshots() > 0 {
			t.Errorf("%d more: %d lines of snapshots\n%s", suffix, w.snapshots(), c.recentLog(40))
		}
		for _, h := range c.nodes {
			c.kill(h)
		}
		for _, h := range c.nodes {
			c.start(h)
		}
		if took, ok := c.waitForAnswer(8 * time.Second); !ok {
			t.Errorf("%d more, after a loss of power: served again after %s\n%s", suffix, took, c.recentLog(30))
		}
		c.checkSameState(third)
		c.checkSameState(old)
		c.checkAnswered()
	}
}

// TestASnapshotComesInChunks empties a member whose state then has many chunks, with
// lines lost, doubled and late by chance.
func TestSnapshotInChunks(t *testing.T) {
	for seed := range uint64(6) {
		chance := rand.New(rand.NewPCG(seed, 7))
		c := newCluster(t)
		c.acceptJobs(220)
		third := c.node("c")
		c.wipe(third)
		for _, h := range c.nodes[:2] {
			h.replica.resetLog() // their tails no longer reach back to an empty one
		}
		w := recordTraffic(c)
		count := c.onSend
		c.onSend = func(from, to string, line machine.Message) {
			count(from, to, line)
			if seed > 0 && chance.IntN(8) == 0 && strings.HasPrefix(line.Kind, wire.KindSnapshotChunk) {
				c.schedule(time.Duration(chance.IntN(400))*tickStep, func() {
					if h := c.node(to); h.replica != nil {
						c.step(h, machine.Input{Message: line})
					}
				})
			}
		}
		c.delay = func(_, _, kind string) time.Duration {
			if seed == 0 || !strings.HasPrefix(kind, wire.KindSnapshotChunk) {
				return 0
			}
			return time.Duration(chance.IntN(10)-1) * tickStep
		}
		c.start(third)
		took, ok := c.waitForCatchUp(third, 30*time.Second)
		chunks := w.messages[wire.KindSnapshotChunk+" to c"]
		t.Logf("seed %d: level after %s with %d chunks, the largest line has %d bytes", seed, took, chunks, w.largest)
		if !ok || chunks < 8 || chunks > 40 || w.largest > maxChunkBytes+8192 {
			t.Errorf("seed %d: level after %s: %v, %d chunks, largest %d\n%s",
				seed, took, ok, chunks, w.largest, c.recentLog(30))
		}
		if n := c.events["snapshot_corrupt"]; n > 0 {
			t.Errorf("seed %d: %d snapshots came damaged\n%s", seed, n, c.recentLog(30))
		}
		c.delay = nil
		c.checkSameState(third)
		c.checkAnswered()
	}
}

// TestTheLeaderChangesInATransfer takes the power from the primary in the middle, and
// gives it back later; its late chunks must do no harm.
func TestLeaderChangesDuringTransfer(t *testing.T) {
	for _, at := range []int{1, 4, 8} {
		c := newCluster(t)
		c.acceptJobs(200)
		third, old := c.node("c"), c.primary()
		c.wipe(third)
		for _, h := range c.nodes[:2] {
			h.replica.resetLog()
		}
		chunks := 0
		var late []machine.Message
		c.onSend = func(from, to string, line machine.Message) {
			if line.Kind == wire.KindSnapshotChunk && from == old.address {
				chunks++
				late = append(late, line)
			}
		}
		c.start(third)
		for end := c.now + 5*time.Second; chunks < at && c.now < end; {
			c.advance(tickStep)
		}
		c.kill(old)
		c.advance(500 * time.Millisecond)
		c.start(old)
		if took, ok := c.waitForAnswer(10 * time.Second); !ok {
			t.Errorf("chunk %d: served again after %s\n%s", at, took, c.recentLog(40))
		}
		for _, line := range late {
			c.step(third, machine.Input{Message: line})
		}
		if took, ok := c.waitForCatchUp(third, 10*time.Second); !ok {
			t.Errorf("chunk %d: level after %s\n%s", at, took, c.recentLog(40))
		}
		for _, line := range late {
			c.step(third, machine.Input{Message: line})
		}
		c.checkSameState(third)
		c.checkAnswered()
	}
}

// TestTransfersAreBounded has three members need the state of one.
func TestTransfersAreBounded(t *testing.T) {
	c := newCluster(t)
	c.acceptJobs(100)
	p := c.primary()
	now := c.now - p.startedAt
	begin := func(id string) (out machine.Output) {
		p.replica.startTransfer(now, wire.Member{ID: id, Address: id}, state.LogPosition{}, &out)
		return out
	}
	ask := func(id string, index int) (out machine.Output) {
		from := wire.Member{ID: id, Address: id}
		p.replica.handleChunkRequest(now, id, wire.SnapshotRequest{
			BootID: p.replica.config.BootID, Epoch: p.replica.View().Epoch, From: from, Position: p.replica.snapshotSource.position(), ChunkIndex: index,
		}, &out)
		return out
	}
	want := func(what string, out machine.Output, lines int) {
		t.Helper()
		if len(out.Messages) != lines {
			t.Errorf("%s: %d lines, want %d", what, len(out.Messages), lines)
		}
	}
	want("the first", begin("x"), 1)
	state := p.replica.snapshotSource
	c.submitTicks(10)
	want("the second", begin("y"), 1)
	want("a third", begin("z"), 0)
	if p.replica.snapshotSource != state {
		t.Error("the state was captured for each")
	}
	want("the next chunk", ask("x", 1), 1)
	want("the same at once", ask("x", 1), 0)
	want("one before", ask("x", 0), 1)
	want("one that was never encoded", ask("x", 5), 0)
	want("one below all", ask("x", -1), 0)
	now += chunkResendInterval
	want("the same later", ask("x", 0), 1)
	want("another's", ask("y", 1), 1)
	now += transferIdleTimeout
	want("a question after a long silence", ask("x", 1), 0)
	want("the third, once the others are idle", begin("z"), 1)
	p.replica.releaseSnapshotSource(now)
	if p.replica.snapshotSource != state {
		t.Error("the state was dropped while it is used")
	}
	if p.replica.releaseSnapshotSource(now + sourceTTL + 1); p.replica.snapshotSource != nil {
		t.Error("the state is kept for ever")
	}
}

// TestALateLineTakesNothingBack has a line come that was for where the member stood when
// its history had diverged, after it has moved on and acked more.
func TestLateMessageNeverRewinds(t *testing.T) {
	c := newCluster(t)
	c.acceptJobs(5)
	p, third := c.primary(), c.node("c")
	after := third.replica.Store().Position()
	c.submitTicks(50)
	moved := third.replica.Store().Position()
	body := wire.ReplicateRequest{
		BootID: p.replica.config.BootID, View: p.replica.View(), From: p.replica.self, Previous: after,
		DivergedAt: state.LogPosition{Epoch: 1, Index: moved.Index + 3},
	}
	line := machine.Message{Version: machine.ProtocolVersion, Kind: wire.KindReplicate, From: p.address}
	line.Body = machine.MustMarshal(body)
	c.step(third, machine.Input{Message: line})
	if got := third.replica.Store().Position(); got.Index < moved.Index {
		t.Errorf("went back from %v to %v", moved, got)
	}
}

// TestAnInstalledStateNeverGoesBack has a chunk for where the member no longer stands.
func TestSnapshotNeverMovesBack(t *testing.T) {
	c := newCluster(t)
	c.acceptJobs(5)
	p, third := c.primary(), c.node("c")
	at := third.replica.Store().Position()
	s := newSnapshotSource(p.replica.log.store)
	records, last := s.encodeChunk(0)
	c.submitTicks(50)
	moved := third.replica.Store().Position()
	body := wire.SnapshotChunk{
		BootID: p.replica.config.BootID, View: p.replica.View(), From: p.replica.self, ReceiverPosition: at, Position: s.position(),
		Records: records, Last: last, Digest: s.chunkDigests[1].String(),
	}
	line := machine.Message{Version: machine.ProtocolVersion, Kind: wire.KindSnapshotChunk, From: p.address, Body: machine.MustMarshal(body)}
	c.step(third, machine.Input{Message: line})
	if got := third.replica.Store().Position(); got.Index < moved.Index {
		t.Errorf("went back from %v to %v", moved, got)
	}
	body.ReceiverPosition, body.Digest = third.replica.Store().Position(), "0"
	line.Body = machine.MustMarshal(body)
	c.step(third, machine.Input{Message: line})
	if got := third.replica.Store().Position(); got.Index < moved.Index || c.events["snapshot_corrupt"] != 1 {
		t.Errorf("took a snapshot with another digest: %v to %v", moved, got)
	}
}

// TestRandomDaysOfGrown plays the random days on a state of many chunks, with tails that
// are short, lines that are lost, late or doubled, and a log that is soon long.
func TestRandomFaultsWithLargeState(t *testing.T) {
	for seed := range uint64(30) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			chance := rand.New(rand.NewPCG(seed, 11))
			c := newCluster(t)
			if seed%3 == 0 {
				c = newClusterOfFive(t)
			}
			c.acceptJobs(80)
			for _, h := range c.nodes {
				h.disk.SnapshotThreshold = 32 << 10
				h.replica.log.tail = state.NewLogSuffix(h.replica.log.position())
			}
			c.onSend = func(_, to string, line machine.Message) {
				if chance.IntN(20) == 0 {
					c.schedule(time.Duration(chance.IntN(200))*tickStep, func() {
						if h := c.node(to); h != nil && h.replica != nil && !h.isolated {
							c.step(h, machine.Input{Message: line})
						}
					})
				}
			}
			c.delay = func(_, _, kind string) time.Duration {
				switch {
				case chance.IntN(50) == 0:
					return -1
				case chance.IntN(20) == 0:
					return time.Duration(chance.IntN(30)) * tickStep
				}
				return 0
			}
			runRandomFaults(c, seed)
			c.onSend, c.delay = nil, nil
			c.advance(3 * time.Second)
			for _, h := range c.nodes {
				if p := c.primary(); p != nil && h.replica != nil && isMember(p.replica, h.replica) {
					c.checkSameState(h)
				}
			}
			t.Logf("%d transfers begun, %d installed, %d members went back",
				c.events["snapshot_transfer_started"], c.events["snapshot_installed"], c.events["log_rewound"])
			if t.Failed() {
				t.Log(c.recentLog(120))
			}
		})
	}
}

func isMember(leader, r *Replica) bool {
	for _, seat := range leader.View().Voters {
		if seat.ID == r.ID() {
			return true
		}
	}
	return false
}

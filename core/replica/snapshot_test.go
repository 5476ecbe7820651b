package replica

import (
	"math/rand/v2"
	"strings"
	"testing"
	"time"

	"sorrelloom/core/machine"
	"sorrelloom/core/state"
	"sorrelloom/core/wire"
)

// resetLog drops the log's tail, so that it begins at the replica's position.
func (r *Replica) resetLog() {
	r.log.reset(r.log.store)
	r.replication.startAt(r.log.position())
}

// TestSnapshotIsSentOnce starts an empty replica behind a slow connection. Its replies to
// messages that were sent before the snapshot must not cause further snapshots.
func TestSnapshotIsSentOnce(t *testing.T) {
	c := newCluster(t)
	c.advance(3 * time.Second)
	voter := c.host("c")
	if c.primary() == voter {
		voter = c.host("b")
	}
	c.wipe(voter)
	voter.latency = 700 * time.Millisecond
	kind := "message " + wire.KindSnapshotChunk + " to " + voter.address
	c.primary().replica.resetLog() // the tail no longer reaches back to an empty replica
	before := c.events[kind]
	c.start(voter)
	c.advance(6 * time.Second)
	if sent := c.events[kind] - before; sent < 1 || sent > 3 {
		t.Errorf("%d snapshot chunks in 6 s\n%s", sent, c.recentLog(30))
	}
	c.checkAnswered()
}

// TestSnapshotInChunks wipes a member, which then needs a snapshot of many chunks. Under seeds
// other than 0, chunks and chunk requests are lost, duplicated and delayed at random.
func TestSnapshotInChunks(t *testing.T) {
	for seed := range uint64(6) {
		random := rand.New(rand.NewPCG(seed, 7))
		c := newCluster(t)
		c.acceptJobs(220)
		voter := c.host("c")
		c.wipe(voter)
		for _, h := range c.hosts[:2] {
			h.replica.resetLog() // the tails no longer reach back to an empty replica
		}
		sent := recordTraffic(c)
		count := c.onSend
		c.onSend = func(from, to string, message machine.Message) {
			count(from, to, message)
			if seed > 0 && random.IntN(8) == 0 && strings.HasPrefix(message.Kind, wire.KindSnapshotChunk) {
				c.schedule(time.Duration(random.IntN(400))*tickStep, func() {
					if h := c.host(to); h.replica != nil {
						c.step(h, machine.Input{Message: message})
					}
				})
			}
		}
		c.delay = func(_, _, kind string) time.Duration {
			if seed == 0 || !strings.HasPrefix(kind, wire.KindSnapshotChunk) {
				return 0
			}
			return time.Duration(random.IntN(10)-1) * tickStep
		}
		c.start(voter)
		took, ok := c.waitForCatchUp(voter, 30*time.Second)
		chunks := sent.messages[wire.KindSnapshotChunk+" to c"]
		t.Logf("seed %d: caught up after %s with %d chunks, the largest message has %d bytes",
			seed, took, chunks, sent.largest)
		if !ok || chunks < 8 || chunks > 40 || sent.largest > maxChunkBytes+8192 {
			t.Errorf("seed %d: catch-up took %s, caught up: %v, %d chunks, largest %d\n%s",
				seed, took, ok, chunks, sent.largest, c.recentLog(30))
		}
		if n := c.events["snapshot_corrupt"]; n > 0 {
			t.Errorf("seed %d: %d snapshots arrived corrupt\n%s", seed, n, c.recentLog(30))
		}
		c.delay = nil
		c.checkSameState(voter)
		c.checkAnswered()
	}
}

// TestLeaderChangesDuringTransfer kills the primary during a transfer and restarts it later. Its
// late chunks are delivered again and must not change the member's state.
func TestLeaderChangesDuringTransfer(t *testing.T) {
	for _, killAt := range []int{1, 4, 8} {
		c := newCluster(t)
		c.acceptJobs(200)
		voter, old := c.host("c"), c.primary()
		c.wipe(voter)
		for _, h := range c.hosts[:2] {
			h.replica.resetLog()
		}
		chunks := 0
		var late []machine.Message
		c.onSend = func(from, to string, message machine.Message) {
			if message.Kind == wire.KindSnapshotChunk && from == old.address {
				chunks++
				late = append(late, message)
			}
		}
		c.start(voter)
		for end := c.now + 5*time.Second; chunks < killAt && c.now < end; {
			c.advance(tickStep)
		}
		c.kill(old)
		c.advance(500 * time.Millisecond)
		c.start(old)
		if took, ok := c.waitForAnswer(10 * time.Second); !ok {
			t.Errorf("chunk %d: no write answered after %s\n%s", killAt, took, c.recentLog(40))
		}
		for _, message := range late {
			c.step(voter, machine.Input{Message: message})
		}
		if took, ok := c.waitForCatchUp(voter, 10*time.Second); !ok {
			t.Errorf("chunk %d: not caught up after %s\n%s", killAt, took, c.recentLog(40))
		}
		for _, message := range late {
			c.step(voter, machine.Input{Message: message})
		}
		c.checkSameState(voter)
		c.checkAnswered()
	}
}

// TestTransfersAreBounded starts transfers to three members, of which two may be active at a
// time, and checks which chunk requests are answered.
func TestTransfersAreBounded(t *testing.T) {
	c := newCluster(t)
	c.acceptJobs(100)
	p := c.primary()
	now := c.now - p.startedAt
	begin := func(id string) (out machine.Output) {
		p.replica.startTransfer(now, wire.Member{ID: id, Address: id}, state.LogPosition{}, &out)
		return out
	}
	requestChunk := func(id string, index int) (out machine.Output) {
		from := wire.Member{ID: id, Address: id}
		p.replica.handleChunkRequest(now, id, wire.SnapshotRequest{
			BootID: p.replica.config.BootID, Epoch: p.replica.View().Epoch, From: from,
			Position: p.replica.snapshotSource.position(), ChunkIndex: index,
		}, &out)
		return out
	}
	want := func(what string, out machine.Output, messages int) {
		t.Helper()
		if len(out.Messages) != messages {
			t.Errorf("%s: %d messages, want %d", what, len(out.Messages), messages)
		}
	}
	want("the first transfer", begin("x"), 1)
	source := p.replica.snapshotSource
	c.submitTicks(10)
	want("the second transfer", begin("y"), 1)
	want("a third transfer", begin("z"), 0)
	if p.replica.snapshotSource != source {
		t.Error("the transfers do not share a snapshot")
	}
	want("the next chunk", requestChunk("x", 1), 1)
	want("the same chunk at once", requestChunk("x", 1), 0)
	want("an earlier chunk", requestChunk("x", 0), 1)
	want("a chunk that was never encoded", requestChunk("x", 5), 0)
	want("a negative chunk index", requestChunk("x", -1), 0)
	now += chunkResendInterval
	want("the same chunk after the resend interval", requestChunk("x", 0), 1)
	want("a chunk of the second transfer", requestChunk("y", 1), 1)
	now += transferIdleTimeout
	want("a request after the idle timeout", requestChunk("x", 1), 0)
	want("the third transfer once the others are idle", begin("z"), 1)
	p.replica.releaseSnapshotSource(now)
	if p.replica.snapshotSource != source {
		t.Error("the snapshot was dropped while in use")
	}
	if p.replica.releaseSnapshotSource(now + sourceTTL + 1); p.replica.snapshotSource != nil {
		t.Error("the unused snapshot was not dropped")
	}
}

// TestSnapshotNeverMovesBack delivers a chunk that was sent for an earlier position of the
// member, and one with a wrong digest. Neither may change the member's state.
func TestSnapshotNeverMovesBack(t *testing.T) {
	c := newCluster(t)
	c.acceptJobs(5)
	p, voter := c.primary(), c.host("c")
	before := voter.replica.Store().Position()
	source := newSnapshotSource(p.replica.log.store)
	records, last := source.encodeChunk(0)
	c.submitTicks(50)
	moved := voter.replica.Store().Position()
	body := wire.SnapshotChunk{
		BootID: p.replica.config.BootID, View: p.replica.View(), From: p.replica.self,
		ReceiverPosition: before, Position: source.position(),
		Records: records, Last: last, Digest: source.chunkDigests[1].String(),
	}
	c.step(voter, machine.Input{Message: newMessage(wire.KindSnapshotChunk, p.address, body)})
	if got := voter.replica.Store().Position(); got.Index < moved.Index {
		t.Errorf("moved back from %v to %v", moved, got)
	}
	body.ReceiverPosition, body.Digest = voter.replica.Store().Position(), "0"
	c.step(voter, machine.Input{Message: newMessage(wire.KindSnapshotChunk, p.address, body)})
	if got := voter.replica.Store().Position(); got.Index < moved.Index || c.events["snapshot_corrupt"] != 1 {
		t.Errorf("installed a snapshot with a wrong digest: %v to %v", moved, got)
	}
}

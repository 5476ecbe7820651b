// How a member that is behind catches up: in windows of commands where the tail
// reaches back to it, by going back where its history diverged, and else by a snapshot
// in chunks. Lines and bytes are counted.
package keeper

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"
	"time"

	"sorrelloom/core/ledger"
	"sorrelloom/core/machine"
	"sorrelloom/core/wire"
)

// traffic is what was sent to each host.
type traffic struct {
	lines   map[string]int // by kind and receiver
	bytes   map[string]int // by receiver
	largest int
}

func watch(c *trio) *traffic {
	w := &traffic{map[string]int{}, map[string]int{}, 0}
	c.saw = func(_, to string, line machine.Line) {
		w.lines[line.Kind+" to "+to]++
		w.bytes[to] += len(line.Body)
		w.largest = max(w.largest, len(line.Body))
	}
	return w
}

func (w *traffic) snapshots() (lines int) {
	for kind, n := range w.lines {
		if strings.HasPrefix(kind, wire.Snapshot+" ") {
			lines += n
		}
	}
	return lines
}

const classes = `{"services":{"s":{"classes":{"c":{"priority":1,"share":100}}}}}`

// command gives one to the primary.
func (c *trio) command(cmd ledger.Command) {
	c.t.Helper()
	p := c.primary()
	if p == nil {
		c.t.Fatalf("nobody leads\n%s", c.tell(20))
	}
	var out machine.Output
	p.k.Command(c.now-p.boot+time.Microsecond, 0, cmd, &out)
	if cmd.Kind == ledger.KindAccept {
		if job, ok := p.k.Ledger().Job(cmd.Accept.ID); !ok {
			c.t.Fatalf("job %s was not accepted: %v", cmd.Accept.ID, job)
		}
	}
}

// grow accepts jobs of 2 KB each until the state has that many.
func (c *trio) grow(jobs int) {
	c.t.Helper()
	change := ledger.PlanChange{Forced: true, Patch: true, Body: []byte(classes)}
	c.command(ledger.Command{Kind: ledger.KindPlan, Plan: change})
	payload := machine.MustJSON(strings.Repeat("x", 2000))
	for n := range jobs {
		task := ledger.TaskSpec{ID: "t", Room: ledger.Room{Slots: 1}, Payload: payload}
		spec := ledger.JobSpec{ID: fmt.Sprintf("j%05d", n), Service: "s", Class: "c", Tasks: []ledger.TaskSpec{task}}
		c.command(ledger.Command{Kind: ledger.KindAccept, Accept: spec})
		c.pass(2 * stride)
	}
	c.pass(200 * time.Millisecond)
}

// changes has so many small commands come, a few each millisecond.
func (c *trio) changes(count int) {
	for n := range count {
		c.command(ledger.Command{Kind: ledger.KindTick})
		if n%4 == 0 {
			c.pass(stride)
		}
	}
	c.pass(100 * time.Millisecond)
}

// level says how long it takes until a host stands where the primary does.
func (c *trio) level(h *host, d time.Duration) (time.Duration, bool) {
	from := c.now
	for c.now-from < d {
		c.pass(stride)
		p := c.primary()
		if p != nil && h.k != nil && p.k.Ledger().Position().Sequence-h.k.Ledger().Position().Sequence < 20 {
			return c.now - from, true
		}
	}
	return d, false
}

// same wants the host's ledger to be the primary's once nothing is under way.
func (c *trio) same(h *host) {
	c.t.Helper()
	for range 400 {
		c.pass(stride)
		p := c.primary()
		if p == nil || h.k == nil || p.k.Ledger().Position() != h.k.Ledger().Position() {
			continue
		}
		if a, b := fmt.Sprint(p.k.Ledger().Records()), fmt.Sprint(h.k.Ledger().Records()); a != b {
			c.t.Errorf("%s differs from the primary %s", h.address, p.address)
		}
		return
	}
	c.t.Errorf("%s never stands where the primary does\n%s", h.address, c.tell(30))
}

// TestAMemberThatWasAwayTakesTheTail is cut for thousands of changes: meanwhile no
// more than a window is sent to it, and then it gets them in windows.
func TestAMemberThatWasAwayTakesTheTail(t *testing.T) {
	c := newTrio(t)
	c.grow(10)
	third := c.host("c")
	w := watch(c)
	c.late = func(_, to, _ string) time.Duration {
		if to == "c" {
			return -1
		}
		return 0
	}
	before := c.primary().k.Ledger().Position().Sequence
	c.changes(6000)
	missed := int(c.primary().k.Ledger().Position().Sequence - before)
	if w.bytes["c"] > 100<<10 {
		t.Errorf("%d bytes were sent to one that does not ack", w.bytes["c"])
	}
	c.late = nil
	w = watch(c)
	took, ok := c.level(third, 5*time.Second)
	t.Logf("%d commands missed, level after %s, %d lines and %d bytes, the largest %d",
		missed, took, w.lines[wire.Replicate+" to c"], w.bytes["c"], w.largest)
	if !ok || took > time.Second {
		t.Errorf("level after %s: %v\n%s", took, ok, c.tell(30))
	}
	if most := missed*250 + 100<<10; w.bytes["c"] > most || w.largest > windowBytes+4096 || w.snapshots() > 0 {
		t.Errorf("%d bytes, at most %d are right; the largest line has %d; %d lines of snapshots",
			w.bytes["c"], most, w.largest, w.snapshots())
	}
	c.same(third)
	c.check()
}

// TestAMemberIsBehindTheTail is cut for longer than the tail, and comes back while
// changes go on: it takes the state, then the tail.
func TestAMemberIsBehindTheTail(t *testing.T) {
	c := newTrio(t)
	c.grow(100)
	third := c.host("c")
	third.cut = true
	c.changes(2*ledger.TailMax + 1000)
	third.cut = false
	w := watch(c)
	from := c.now
	c.changes(2000)
	took, ok := c.level(third, 5*time.Second)
	t.Logf("level %s after it came back, %d chunks, %d lines, %d bytes", c.now-from, w.lines[wire.Snapshot+" to c"],
		w.lines[wire.Replicate+" to c"], w.bytes["c"])
	if !ok || w.snapshots() == 0 || w.bytes["c"] > 1<<20 || w.largest > windowBytes+4096 {
		t.Errorf("level after %s: %v, %d lines of snapshots, %d bytes, the largest line has %d\n%s",
			took, ok, w.snapshots(), w.bytes["c"], w.largest, c.tell(30))
	}
	c.same(third)
	c.check()
}

// TestAMemberThatWasAwayIsReplaced has a newcomer take the seat of one that is gone,
// after thousands of changes.
func TestAMemberThatWasAwayIsReplaced(t *testing.T) {
	c := newTrio(t)
	c.grow(100)
	c.host("c").cut = true
	c.changes(3000)
	for _, h := range c.hosts {
		h.k.reset() // the newcomer must take the state
	}
	w := watch(c)
	n := c.add("n")
	took, ok := c.seats(n, 10*time.Second)
	chunks := w.lines[wire.Snapshot+" to n"]
	t.Logf("seated after %s, %d chunks, %d bytes", took, chunks, w.bytes["n"])
	if !ok || took > 3*time.Second || chunks < 3 || chunks > 8 || w.bytes["n"] > 1<<20 {
		t.Errorf("seated after %s: %v, %d chunks, %d bytes\n%s", took, ok, chunks, w.bytes["n"], c.tell(30))
	}
	c.same(n)
	c.check()
}

// TestAMemberThatCameBackLeads has one return behind by thousands, and takes the power
// from the primary at different moments while it catches up.
func TestAMemberThatCameBackLeads(t *testing.T) {
	for _, after := range []time.Duration{
		0, 20 * time.Millisecond, 60 * time.Millisecond, 300 * time.Millisecond, time.Second,
	} {
		c := newTrio(t)
		c.grow(10)
		c.host("c").cut = true
		c.changes(4000)
		c.host("c").cut = false
		c.pass(after)
		w := watch(c)
		c.kill(c.primary())
		took, ok := c.serves(8 * time.Second)
		if !ok || took > 3*time.Second {
			t.Errorf("%s after it came back: served again after %s: %v\n%s", after, took, ok, c.tell(30))
			continue
		}
		if w.snapshots() > 0 {
			t.Errorf("%s after it came back: %d lines of snapshots\n%s", after, w.snapshots(), c.tell(30))
		}
		c.same(c.host("c"))
		c.check()
	}
}

// snapshotNow has the hosts that are heard take one snapshot each, and no more.
func (c *trio) snapshotNow() {
	waits := map[*host]int{}
	for _, h := range c.hosts {
		if !h.cut {
			h.disk.SnapshotEach = 1
			waits[h] = len(h.disk.Stored().Commands)
		}
	}
	for len(waits) > 0 {
		c.pass(stride)
		for h, before := range waits {
			if len(h.disk.Stored().Commands) < before {
				h.disk.SnapshotEach = 1 << 20
				delete(waits, h)
			}
		}
	}
}

// TestARestartKeepsTheTail takes the power from all of them while one is behind, by
// commands from after the others' last snapshot or from before it, too.
func TestARestartKeepsTheTail(t *testing.T) {
	for _, snapshot := range []bool{false, true} {
		c := newTrio(t)
		for _, h := range c.hosts {
			h.disk.SnapshotEach = 1 << 20
		}
		c.grow(10)
		c.host("c").cut = true
		c.changes(100)
		if snapshot {
			c.snapshotNow()
		}
		c.changes(100)
		for _, h := range c.hosts {
			c.kill(h)
		}
		c.host("c").cut = false
		w := watch(c)
		for _, h := range c.hosts {
			c.start(h)
		}
		if took, ok := c.serves(8 * time.Second); !ok {
			t.Errorf("snapshot %v: served again after %s\n%s", snapshot, took, c.tell(30))
		}
		c.same(c.host("c"))
		if w.snapshots() > 0 {
			t.Errorf("snapshot %v: %d lines of snapshots\n%s", snapshot, w.snapshots(), c.tell(40))
		}
		c.check()
	}
}

// TestADivergedMemberGoesBack has the primary's last commands, which it cannot answer,
// reach the third but not the backup. The backup leads without them; neither the third
// nor the old primary needs the state for that. After it all of them lose power.
func TestADivergedMemberGoesBack(t *testing.T) {
	for n, suffix := range []int{1, 1, 40, 40, 1500, 1500, 4000} {
		c := newTrio(t)
		if n%2 == 0 {
			// What the members go back over is in their logs, not in a snapshot.
			for _, h := range c.hosts {
				h.disk.SnapshotEach = 1 << 20
			}
		}
		c.grow(10)
		c.changes(700)
		old := c.primary()
		backup := c.host(old.k.View().Backups[0].Address)
		var third *host
		for _, h := range c.hosts {
			if h != old && h != backup {
				third = h
			}
		}
		c.late = func(from, to, _ string) time.Duration {
			if from == old.address && to == backup.address {
				return -1
			}
			return 0
		}
		for n := range suffix {
			var out machine.Output
			old.k.Command(c.now-old.boot+time.Microsecond, 0, ledger.Command{Kind: ledger.KindTick}, &out)
			if n%32 == 0 {
				c.pass(stride)
			}
		}
		c.pass(20 * time.Millisecond)
		diverged := third.k.Ledger().Position()
		old.cut = true
		w := watch(c)
		if took, ok := c.serves(8 * time.Second); !ok || c.primary() == old {
			t.Fatalf("%d more: served again after %s: %v\n%s", suffix, took, ok, c.tell(30))
		}
		if backup.k.ledger.Position().Epoch <= diverged.Epoch || third.k.tail.Holds(diverged) {
			t.Errorf("%d more: the third has not diverged at %v", suffix, diverged)
		}
		old.cut, c.late = false, nil
		c.pass(time.Second)
		c.same(third)
		c.same(old)
		t.Logf("%d more: %d bytes to the third, %d to the old primary, %d lines of snapshots",
			suffix, w.bytes[third.address], w.bytes[old.address], w.snapshots())
		if w.snapshots() > 0 {
			t.Errorf("%d more: %d lines of snapshots\n%s", suffix, w.snapshots(), c.tell(40))
		}
		for _, h := range c.hosts {
			c.kill(h)
		}
		for _, h := range c.hosts {
			c.start(h)
		}
		if took, ok := c.serves(8 * time.Second); !ok {
			t.Errorf("%d more, after a loss of power: served again after %s\n%s", suffix, took, c.tell(30))
		}
		c.same(third)
		c.same(old)
		c.check()
	}
}

// TestASnapshotComesInChunks empties a member whose state then has many chunks, with
// lines lost, doubled and late by chance.
func TestASnapshotComesInChunks(t *testing.T) {
	for seed := range uint64(6) {
		chance := rand.New(rand.NewPCG(seed, 7))
		c := newTrio(t)
		c.grow(220)
		third := c.host("c")
		c.wipe(third)
		for _, h := range c.hosts[:2] {
			h.k.reset() // their tails no longer reach back to an empty one
		}
		w := watch(c)
		count := c.saw
		c.saw = func(from, to string, line machine.Line) {
			count(from, to, line)
			if seed > 0 && chance.IntN(8) == 0 && strings.HasPrefix(line.Kind, wire.Snapshot) {
				c.after(time.Duration(chance.IntN(400))*stride, func() {
					if h := c.host(to); h.k != nil {
						c.step(h, machine.Input{Line: line})
					}
				})
			}
		}
		c.late = func(_, _, kind string) time.Duration {
			if seed == 0 || !strings.HasPrefix(kind, wire.Snapshot) {
				return 0
			}
			return time.Duration(chance.IntN(10)-1) * stride
		}
		c.start(third)
		took, ok := c.level(third, 30*time.Second)
		chunks := w.lines[wire.Snapshot+" to c"]
		t.Logf("seed %d: level after %s with %d chunks, the largest line has %d bytes", seed, took, chunks, w.largest)
		if !ok || chunks < 8 || chunks > 40 || w.largest > chunkMax+8192 {
			t.Errorf("seed %d: level after %s: %v, %d chunks, largest %d\n%s", seed, took, ok, chunks, w.largest, c.tell(30))
		}
		if n := c.logs["snapshot_damaged"]; n > 0 {
			t.Errorf("seed %d: %d snapshots came damaged\n%s", seed, n, c.tell(30))
		}
		c.late = nil
		c.same(third)
		c.check()
	}
}

// TestTheLeaderChangesInATransfer takes the power from the primary in the middle, and
// gives it back later; its late chunks must do no harm.
func TestTheLeaderChangesInATransfer(t *testing.T) {
	for _, at := range []int{1, 4, 8} {
		c := newTrio(t)
		c.grow(200)
		third, old := c.host("c"), c.primary()
		c.wipe(third)
		for _, h := range c.hosts[:2] {
			h.k.reset()
		}
		chunks := 0
		var late []machine.Line
		c.saw = func(from, to string, line machine.Line) {
			if line.Kind == wire.Snapshot && from == old.address {
				chunks++
				late = append(late, line)
			}
		}
		c.start(third)
		for end := c.now + 5*time.Second; chunks < at && c.now < end; {
			c.pass(stride)
		}
		c.kill(old)
		c.pass(500 * time.Millisecond)
		c.start(old)
		if took, ok := c.serves(10 * time.Second); !ok {
			t.Errorf("chunk %d: served again after %s\n%s", at, took, c.tell(40))
		}
		for _, line := range late {
			c.step(third, machine.Input{Line: line})
		}
		if took, ok := c.level(third, 10*time.Second); !ok {
			t.Errorf("chunk %d: level after %s\n%s", at, took, c.tell(40))
		}
		for _, line := range late {
			c.step(third, machine.Input{Line: line})
		}
		c.same(third)
		c.check()
	}
}

// TestTransfersAreBounded has three members need the state of one.
func TestTransfersAreBounded(t *testing.T) {
	c := newTrio(t)
	c.grow(100)
	p := c.primary()
	now := c.now - p.boot
	begin := func(id string) (out machine.Output) {
		p.k.begin(now, wire.Seat{ID: id, Address: id}, ledger.Position{}, &out)
		return out
	}
	ask := func(id string, index int) (out machine.Output) {
		from := wire.Seat{ID: id, Address: id}
		p.k.asks(now, id, wire.SnapshotAskBody{
			Boot: p.k.env.Boot, Epoch: p.k.View().Epoch, From: from, At: p.k.source.capture.Position(), Index: index,
		}, &out)
		return out
	}
	want := func(what string, out machine.Output, lines int) {
		t.Helper()
		if len(out.Sends) != lines {
			t.Errorf("%s: %d lines, want %d", what, len(out.Sends), lines)
		}
	}
	want("the first", begin("x"), 1)
	state := p.k.source
	c.changes(10)
	want("the second", begin("y"), 1)
	want("a third", begin("z"), 0)
	if p.k.source != state {
		t.Error("the state was captured for each")
	}
	want("the next chunk", ask("x", 1), 1)
	want("the same at once", ask("x", 1), 0)
	want("one before", ask("x", 0), 1)
	want("one that was never encoded", ask("x", 5), 0)
	want("one below all", ask("x", -1), 0)
	now += chunkAgain
	want("the same later", ask("x", 0), 1)
	want("another's", ask("y", 1), 1)
	now += transferIdle
	want("a question after a long silence", ask("x", 1), 0)
	want("the third, once the others are idle", begin("z"), 1)
	p.k.dropSource(now)
	if p.k.source != state {
		t.Error("the state was dropped while it is used")
	}
	if p.k.dropSource(now + sourceKept + 1); p.k.source != nil {
		t.Error("the state is kept for ever")
	}
}

// TestAnInstalledStateNeverGoesBack has a chunk for where the member no longer stands.
func TestAnInstalledStateNeverGoesBack(t *testing.T) {
	c := newTrio(t)
	c.grow(5)
	p, third := c.primary(), c.host("c")
	at := third.k.Ledger().Position()
	s := newSource(p.k.ledger)
	records, last := s.chunk(0)
	c.changes(50)
	moved := third.k.Ledger().Position()
	body := wire.SnapshotBody{
		Boot: p.k.env.Boot, View: p.k.View(), From: p.k.seat, For: at, At: s.capture.Position(),
		Records: records, Last: last, Digest: s.sums[1].String(),
	}
	line := machine.Line{Wire: machine.WireSequence, Kind: wire.Snapshot, From: p.address, Body: machine.MustMarshal(body)}
	c.step(third, machine.Input{Line: line})
	if got := third.k.Ledger().Position(); got.Sequence < moved.Sequence {
		t.Errorf("went back from %v to %v", moved, got)
	}
	body.For, body.Digest = third.k.Ledger().Position(), "0"
	line.Body = machine.MustMarshal(body)
	c.step(third, machine.Input{Line: line})
	if got := third.k.Ledger().Position(); got.Sequence < moved.Sequence || c.logs["snapshot_damaged"] != 1 {
		t.Errorf("took a snapshot with another digest: %v to %v", moved, got)
	}
}

// Calm reports and renewals as a worker's side meets them, over changes of the lead.
package center

import (
	"testing"
	"time"

	"sorrelloom/core/code"
	"sorrelloom/core/ledger"
	"sorrelloom/core/machine"
	"sorrelloom/core/wire"
)

const (
	testLease   = 6 * time.Second // that of plan.Default
	testRenewal = time.Second     // the longest time between two renewals
	testHold    = 200 * time.Millisecond
)

// lease is the end of the worker's lease in the ledger of the center that leads,
// and its ledger time.
func (n *net) lease(worker string) (cutoff, now time.Duration) {
	d := n.nodes[n.leader()]
	w, _ := d.center.Keeper().Ledger().Worker(worker)
	return w.CutoffAt, d.center.Keeper().Time(n.now - d.boot)
}

func (n *net) position() uint64 {
	return n.nodes[n.leader()].center.Keeper().Ledger().Position().Sequence
}

// send hands a report to a center without waiting for the answer.
func (n *net) send(to string, hold time.Duration, b ledger.Beat) uint64 {
	n.id++
	body := machine.MustMarshal(wire.BeatBody{ID: n.id, Hold: hold, Beat: b})
	n.step(to, machine.Input{Line: machine.Line{Wire: 1, Kind: wire.Beat, From: "side", Body: body}})
	return n.id
}

// kill takes a center's process and what it had sent.
func (n *net) kill(at string) {
	n.nodes[at].up = false
	n.queue = nil
}

// TestCalmReportsAreNoCommands counts the commands of a worker that runs a task
// and has nothing to say for 10 s, and compares the answers with the ledger.
func TestCalmReportsAreNoCommands(t *testing.T) {
	n := newNet(t)
	n.ready()
	n.beat(beatOf(1))
	n.job("j", 1)
	start := n.beat(beatOf(2)).Answer.Orders.Starts[0]
	n.beat(beatOf(3, start.Attempt))
	n.run(time.Second)
	before, reports := n.position(), 0
	for number := uint64(4); number < 104; number++ {
		sent := n.now
		id := n.send(n.leader(), 20*time.Millisecond, beatOf(number, start.Attempt))
		n.run(100 * time.Millisecond)
		reports++
		back := n.replies[id].Answer
		cutoff, now := n.lease("w")
		left := back.Orders.Lease - (n.now - sent)
		if !back.Code.Good() || left > cutoff-now || back.Orders.Lease < testLease-2*testRenewal {
			t.Fatalf("report %d: %+v, the ledger has %s left", number, back, cutoff-now)
		}
	}
	// The plan's bound on silence is 3 s, and a sixth of it is the renewal's pace.
	if commands := n.position() - before; commands < 5 || commands > 25 {
		t.Errorf("%d commands for %d calm reports in 10 s", commands, reports)
	}
	l := n.nodes[n.leader()].center.Keeper().Ledger()
	if w, known := l.Worker("w"); !known || !l.Live(w) || l.CountOn("w") != 1 {
		t.Errorf("the worker is %+v", w)
	}
}

// TestAnswersNeverPassWhatAllDisksHave cuts the backups off: renewals are applied
// and never on all disks, and no answer may promise them.
func TestAnswersNeverPassWhatAllDisksHave(t *testing.T) {
	n := newNet(t)
	n.ready()
	n.beat(beatOf(1))
	n.run(time.Second)
	led := n.leader()
	n.send(led, testHold, beatOf(2))
	n.run(time.Second)
	committed, at := n.lease("w")
	cutAt := n.now
	for _, other := range n.addr {
		n.nodes[other].up = n.nodes[other].up && other == led
	}
	for number := uint64(3); number < 9; number++ {
		sent := n.now
		id := n.send(led, 50*time.Millisecond, beatOf(number))
		for end := n.now + 100*time.Millisecond; n.now < end; n.now += 5 * time.Millisecond {
			n.step(led, machine.Input{})
			for len(n.queue) > 0 {
				next := n.queue[0]
				n.queue = n.queue[1:]
				next()
			}
		}
		back, answered := n.replies[id]
		if !answered || !back.Answer.Code.Good() {
			continue
		}
		promised := sent - cutAt + at + back.Answer.Orders.Lease
		if promised > committed {
			t.Errorf("report %d: a lease until %s is promised, all disks have %s", number, promised, committed)
		}
	}
}

// TestANewLeaderKnowsWhomItsPredecessorHeard ends the leader between two renewals,
// at each step of their pace.
func TestANewLeaderKnowsWhomItsPredecessorHeard(t *testing.T) {
	for offset := time.Duration(0); offset < testRenewal; offset += 100 * time.Millisecond {
		n := newNet(t)
		n.ready()
		n.beat(beatOf(1))
		n.job("j", 1)
		start := n.beat(beatOf(2)).Answer.Orders.Starts[0]
		n.beat(beatOf(3, start.Attempt))
		n.run(2*time.Second + offset)
		led := n.leader()
		id := n.send(led, 0, beatOf(4, start.Attempt))
		sent := n.now
		n.run(60 * time.Millisecond)
		back := n.replies[id].Answer
		if !back.Code.Good() {
			t.Fatalf("offset %s: %+v", offset, back)
		}
		n.kill(led)
		n.run(3 * time.Second)
		next := n.leader()
		l := n.nodes[next].center.Keeper().Ledger()
		cutoff, now := n.lease("w")
		if left := back.Orders.Lease - (n.now - sent); left > cutoff-now {
			t.Errorf("offset %s: the worker may run for %s more, %s has %s", offset, left, next, cutoff-now)
		}
		n.send(next, testHold, beatOf(5, start.Attempt))
		n.run(testRenewal)
		w, _ := l.Worker("w")
		if next != n.leader() || !l.Live(w) || l.CountOn("w") != 1 {
			t.Errorf("offset %s: the worker is live %v with %d turns", offset, l.Live(w), l.CountOn("w"))
		}
	}
}

// TestALateReportDoesNotPassForALaterOne has a report come that a calm one, of
// which the ledger has no word yet, has overtaken.
func TestALateReportDoesNotPassForALaterOne(t *testing.T) {
	n := newNet(t)
	n.ready()
	n.beat(beatOf(1))
	id := n.send(n.leader(), testHold, beatOf(9))
	late := n.send(n.leader(), testHold, beatOf(8))
	n.run(300 * time.Millisecond)
	if back := n.replies[late].Answer; back.Code != code.StaleBeat || back.Orders.Number != 9 {
		t.Errorf("the late one is answered %+v", back)
	}
	if back := n.replies[id].Answer; !back.Code.Good() {
		t.Errorf("the later one is answered %+v", back)
	}
}

// TestAWorkerThatIsNotRenewedLosesItsTurn stops the reports of a worker that runs
// a task. Its lease ends a lease after its last report, not after a renewal.
func TestAWorkerThatIsNotRenewedLosesItsTurn(t *testing.T) {
	n := newNet(t)
	n.ready()
	n.beat(beatOf(1))
	n.job("j", 1)
	start := n.beat(beatOf(2)).Answer.Orders.Starts[0]
	n.beat(beatOf(3, start.Attempt))
	n.run(1700 * time.Millisecond)
	heard := n.now
	id := n.send(n.leader(), 0, beatOf(4, start.Attempt))
	n.run(testRenewal)
	cutoff, now := n.lease("w")
	if back := n.replies[id].Answer; !back.Code.Good() {
		t.Fatalf("%+v", back)
	}
	if left, want := cutoff-now, testLease-(n.now-heard); left > want+10*time.Millisecond ||
		left < want-10*time.Millisecond {
		t.Errorf("%s after its last report the worker has %s left, not %s", n.now-heard, left, want)
	}
	l := n.nodes[n.leader()].center.Keeper().Ledger()
	n.run(testLease - testRenewal)
	if l.CountOn("w") != 1 {
		t.Error("the turn is gone before lease and margin were over")
	}
	n.run(1200 * time.Millisecond)
	if l.CountOn("w") != 0 {
		t.Error("the turn is still there when lease and margin are over")
	}
}

// TestAStartThatIsLostGoesBackByCalmReports loses the answer that carries a start;
// the next report is calm and carries it again, and is lost too; the one after
// shows that the worker never had it.
func TestAStartThatIsLostGoesBackByCalmReports(t *testing.T) {
	n := newNet(t)
	n.ready()
	n.beat(beatOf(1))
	for number := uint64(2); number < 12; number++ {
		n.beat(beatOf(number))
	}
	n.job("j", 1)
	l := n.nodes[n.leader()].center.Keeper().Ledger()
	if starts := n.beat(beatOf(12)).Answer.Orders.Starts; len(starts) != 1 || starts[0].Try != 1 {
		t.Fatalf("the first answer carries %v", starts)
	}
	if _, changes := l.Reduce(beatOf(13)); changes {
		t.Error("the next report is no calm one")
	}
	if starts := n.beat(beatOf(13)).Answer.Orders.Starts; len(starts) != 1 || starts[0].Try != 1 {
		t.Fatalf("the second answer carries %v", starts)
	}
	if starts := n.beat(beatOf(14)).Answer.Orders.Starts; len(starts) != 1 || starts[0].Try != 2 {
		t.Fatalf("the third answer carries %v", starts)
	}
}

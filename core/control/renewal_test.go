// Calm reports and renewals as a worker's side meets them, over changes of the lead.

package control

import (
	"testing"
	"time"

	"sorrelloom/core/machine"
	"sorrelloom/core/state"
	"sorrelloom/core/status"
	"sorrelloom/core/wire"
)

const (
	testLease     = 6 * time.Second // that of plan.Default
	testRenewal   = time.Second     // the longest time between two renewals
	testReplyWait = 200 * time.Millisecond
)

// lease is the end of the worker's lease in the ledger of the center that leads,
// and its ledger time.
func (n *testNet) workerLease(worker string) (cutoff, now time.Duration) {
	d := n.nodes[n.leader()]
	w, _ := d.control.Replica().Store().Worker(worker)
	return w.LeaseExpiresAt, d.control.Replica().Time(n.now - d.boot)
}

func (n *testNet) logIndex() uint64 {
	return n.nodes[n.leader()].control.Replica().Store().Position().Index
}

// send hands a report to a center without waiting for the answer.
func (n *testNet) sendHeartbeat(to string, hold time.Duration, b state.Heartbeat) uint64 {
	n.lastID++
	body := machine.MustMarshal(wire.HeartbeatRequest{ID: n.lastID, MaxWait: hold, Heartbeat: b})
	n.step(to, machine.Input{Message: machine.Message{Version: 1, Kind: wire.KindHeartbeat, From: "side", Body: body}})
	return n.lastID
}

// kill takes a center's process and what it had sent.
func (n *testNet) kill(at string) {
	n.nodes[at].up = false
	n.queue = nil
}

// TestCalmReportsAreNoCommands counts the commands of a worker that runs a task
// and has nothing to say for 10 s, and compares the answers with the ledger.
func TestUnchangedHeartbeatsAreNoCommands(t *testing.T) {
	n := newNet(t)
	n.configure()
	n.heartbeat(heartbeatOf(1))
	n.submitJob("j", 1)
	start := n.heartbeat(heartbeatOf(2)).Result.Heartbeat.Starts[0]
	n.heartbeat(heartbeatOf(3, start.Attempt))
	n.run(time.Second)
	before, reports := n.logIndex(), 0
	for number := uint64(4); number < 104; number++ {
		sent := n.now
		id := n.sendHeartbeat(n.leader(), 20*time.Millisecond, heartbeatOf(number, start.Attempt))
		n.run(100 * time.Millisecond)
		reports++
		back := n.replies[id].Result
		cutoff, now := n.workerLease("w")
		left := back.Heartbeat.LeaseDuration - (n.now - sent)
		if !back.Code.IsSuccess() || left > cutoff-now || back.Heartbeat.LeaseDuration < testLease-2*testRenewal {
			t.Fatalf("report %d: %+v, the ledger has %s left", number, back, cutoff-now)
		}
	}
	// The plan's bound on silence is 3 s, and a sixth of it is the renewal's pace.
	if commands := n.logIndex() - before; commands < 5 || commands > 25 {
		t.Errorf("%d commands for %d calm reports in 10 s", commands, reports)
	}
	l := n.nodes[n.leader()].control.Replica().Store()
	if w, known := l.Worker("w"); !known || !l.Live(w) || l.LeaseCount("w") != 1 {
		t.Errorf("the worker is %+v", w)
	}
}

// TestAnswersNeverPassWhatAllDisksHave cuts the backups off: renewals are applied
// and never on all disks, and no answer may promise them.
func TestRepliesNeverExceedCommittedLeases(t *testing.T) {
	n := newNet(t)
	n.configure()
	n.heartbeat(heartbeatOf(1))
	n.run(time.Second)
	led := n.leader()
	n.sendHeartbeat(led, testReplyWait, heartbeatOf(2))
	n.run(time.Second)
	committed, at := n.workerLease("w")
	cutAt := n.now
	for _, other := range n.addresses {
		n.nodes[other].up = n.nodes[other].up && other == led
	}
	for number := uint64(3); number < 9; number++ {
		sent := n.now
		id := n.sendHeartbeat(led, 50*time.Millisecond, heartbeatOf(number))
		for end := n.now + 100*time.Millisecond; n.now < end; n.now += 5 * time.Millisecond {
			n.step(led, machine.Input{})
			for len(n.queue) > 0 {
				next := n.queue[0]
				n.queue = n.queue[1:]
				next()
			}
		}
		back, answered := n.replies[id]
		if !answered || !back.Result.Code.IsSuccess() {
			continue
		}
		promised := sent - cutAt + at + back.Result.Heartbeat.LeaseDuration
		if promised > committed {
			t.Errorf("report %d: a lease until %s is promised, all disks have %s", number, promised, committed)
		}
	}
}

// TestANewLeaderKnowsWhomItsPredecessorHeard ends the leader between two renewals,
// at each step of their pace.
func TestNewLeaderHonorsLeasesOfItsPredecessor(t *testing.T) {
	for offset := time.Duration(0); offset < testRenewal; offset += 100 * time.Millisecond {
		n := newNet(t)
		n.configure()
		n.heartbeat(heartbeatOf(1))
		n.submitJob("j", 1)
		start := n.heartbeat(heartbeatOf(2)).Result.Heartbeat.Starts[0]
		n.heartbeat(heartbeatOf(3, start.Attempt))
		n.run(2*time.Second + offset)
		led := n.leader()
		id := n.sendHeartbeat(led, 0, heartbeatOf(4, start.Attempt))
		sent := n.now
		n.run(60 * time.Millisecond)
		back := n.replies[id].Result
		if !back.Code.IsSuccess() {
			t.Fatalf("offset %s: %+v", offset, back)
		}
		n.kill(led)
		n.run(3 * time.Second)
		next := n.leader()
		l := n.nodes[next].control.Replica().Store()
		cutoff, now := n.workerLease("w")
		if left := back.Heartbeat.LeaseDuration - (n.now - sent); left > cutoff-now {
			t.Errorf("offset %s: the worker may run for %s more, %s has %s", offset, left, next, cutoff-now)
		}
		n.sendHeartbeat(next, testReplyWait, heartbeatOf(5, start.Attempt))
		n.run(testRenewal)
		w, _ := l.Worker("w")
		if next != n.leader() || !l.Live(w) || l.LeaseCount("w") != 1 {
			t.Errorf("offset %s: the worker is live %v with %d turns", offset, l.Live(w), l.LeaseCount("w"))
		}
	}
}

// TestALateReportDoesNotPassForALaterOne has a report come that a calm one, of
// which the ledger has no word yet, has overtaken.
func TestOvertakenHeartbeatIsRejected(t *testing.T) {
	n := newNet(t)
	n.configure()
	n.heartbeat(heartbeatOf(1))
	id := n.sendHeartbeat(n.leader(), testReplyWait, heartbeatOf(9))
	late := n.sendHeartbeat(n.leader(), testReplyWait, heartbeatOf(8))
	n.run(300 * time.Millisecond)
	if back := n.replies[late].Result; back.Code != status.StaleHeartbeat || back.Heartbeat.HeartbeatNumber != 9 {
		t.Errorf("the late one is answered %+v", back)
	}
	if back := n.replies[id].Result; !back.Code.IsSuccess() {
		t.Errorf("the later one is answered %+v", back)
	}
}

// TestAWorkerThatIsNotRenewedLosesItsTurn stops the reports of a worker that runs
// a task. Its lease ends a lease after its last report, not after a renewal.
func TestWorkerThatIsNotRenewedLosesItsLease(t *testing.T) {
	n := newNet(t)
	n.configure()
	n.heartbeat(heartbeatOf(1))
	n.submitJob("j", 1)
	start := n.heartbeat(heartbeatOf(2)).Result.Heartbeat.Starts[0]
	n.heartbeat(heartbeatOf(3, start.Attempt))
	n.run(1700 * time.Millisecond)
	heard := n.now
	id := n.sendHeartbeat(n.leader(), 0, heartbeatOf(4, start.Attempt))
	n.run(testRenewal)
	cutoff, now := n.workerLease("w")
	if back := n.replies[id].Result; !back.Code.IsSuccess() {
		t.Fatalf("%+v", back)
	}
	if left, want := cutoff-now, testLease-(n.now-heard); left > want+10*time.Millisecond ||
		left < want-10*time.Millisecond {
		t.Errorf("%s after its last report the worker has %s left, not %s", n.now-heard, left, want)
	}
	l := n.nodes[n.leader()].control.Replica().Store()
	n.run(testLease - testRenewal)
	if l.LeaseCount("w") != 1 {
		t.Error("the turn is gone before lease and margin were over")
	}
	n.run(1200 * time.Millisecond)
	if l.LeaseCount("w") != 0 {
		t.Error("the turn is still there when lease and margin are over")
	}
}

// TestAStartThatIsLostGoesBackByCalmReports loses the answer that carries a start;
// the next report is calm and carries it again, and is lost too; the one after
// shows that the worker never had it.
func TestLostStartOrderIsReturnedByUnchangedHeartbeats(t *testing.T) {
	n := newNet(t)
	n.configure()
	n.heartbeat(heartbeatOf(1))
	for number := uint64(2); number < 12; number++ {
		n.heartbeat(heartbeatOf(number))
	}
	n.submitJob("j", 1)
	l := n.nodes[n.leader()].control.Replica().Store()
	if starts := n.heartbeat(heartbeatOf(12)).Result.Heartbeat.Starts; len(starts) != 1 || starts[0].Number != 1 {
		t.Fatalf("the first answer carries %v", starts)
	}
	if _, changes := l.ReduceHeartbeat(heartbeatOf(13)); changes {
		t.Error("the next report is no calm one")
	}
	if starts := n.heartbeat(heartbeatOf(13)).Result.Heartbeat.Starts; len(starts) != 1 || starts[0].Number != 1 {
		t.Fatalf("the second answer carries %v", starts)
	}
	if starts := n.heartbeat(heartbeatOf(14)).Result.Heartbeat.Starts; len(starts) != 1 || starts[0].Number != 2 {
		t.Fatalf("the third answer carries %v", starts)
	}
}

package control

import (
	"testing"
	"time"

	"sorrelloom/core/machine"
	"sorrelloom/core/status"
)

// Tests of heartbeats without changes and of lease renewals, as a node agent observes them,
// also across a change of the leader.

const (
	testLease   = 6 * time.Second // LeaseDuration of config.Default
	testRenewal = time.Second     // maximum time between two renewals
)

// workerLease returns the expiry of worker w's lease in the leader's state and the current
// time, both on the state machine's clock.
func (n *testNet) workerLease() (expiry, stateTime time.Duration) {
	node := n.nodes[n.leader()]
	worker, _ := node.control.Replica().Store().Worker("w")
	return worker.LeaseExpiresAt, node.control.Replica().StateTime(n.now - node.boot)
}

// TestUnchangedHeartbeatsNeedNoCommands counts the commands for a worker that runs a task and
// reports no changes for 10 s, and compares the leases in the replies with the state.
func TestUnchangedHeartbeatsNeedNoCommands(t *testing.T) {
	n := newNet(t)
	n.configure()
	attempt := n.runTask()
	n.run(time.Second)
	before, heartbeats := n.logIndex(), 0
	for number := uint64(4); number < 104; number++ {
		sentAt := n.now
		id := n.sendHeartbeat(n.leader(), 20*time.Millisecond, heartbeatOf(number, attempt))
		n.run(100 * time.Millisecond)
		heartbeats++
		result := n.heartbeatReplies[id].Result
		expiry, stateTime := n.workerLease()
		left := result.Heartbeat.LeaseDuration - (n.now - sentAt)
		if !result.Code.IsSuccess() || left > expiry-stateTime ||
			result.Heartbeat.LeaseDuration < testLease-2*testRenewal {
			t.Fatalf("heartbeat %d: %+v, remaining lease in the state %s", number, result, expiry-stateTime)
		}
	}
	// The heartbeat timeout is 3 s, and the renewal interval is a sixth of it.
	if commands := n.logIndex() - before; commands < 5 || commands > 25 {
		t.Errorf("%d commands for %d unchanged heartbeats in 10 s", commands, heartbeats)
	}
	store := n.leaderStore()
	if worker, known := store.Worker("w"); !known || !store.Live(worker) || store.LeaseCount("w") != 1 {
		t.Errorf("the worker is %+v", worker)
	}
}

// TestRepliesNeverExceedCommittedLeases disconnects the backups. Renewals are then applied but
// never committed, and no reply may promise them.
func TestRepliesNeverExceedCommittedLeases(t *testing.T) {
	n := newNet(t)
	n.configure()
	n.heartbeat(heartbeatOf(1))
	n.run(time.Second)
	leader := n.leader()
	n.sendHeartbeat(leader, testReplyWait, heartbeatOf(2))
	n.run(time.Second)
	committed, stateTime := n.workerLease()
	cutAt := n.now
	for _, other := range n.addresses {
		n.nodes[other].up = n.nodes[other].up && other == leader
	}
	for number := uint64(3); number < 9; number++ {
		sentAt := n.now
		id := n.sendHeartbeat(leader, 50*time.Millisecond, heartbeatOf(number))
		for end := n.now + 100*time.Millisecond; n.now < end; n.now += testTick {
			n.step(leader, machine.Input{})
			n.drain()
		}
		reply, answered := n.heartbeatReplies[id]
		if !answered || !reply.Result.Code.IsSuccess() {
			continue
		}
		promised := sentAt - cutAt + stateTime + reply.Result.Heartbeat.LeaseDuration
		if promised > committed {
			t.Errorf("heartbeat %d: lease promised until %s, committed until %s", number, promised, committed)
		}
	}
}

// TestNewLeaderHonorsLeasesOfItsPredecessor kills the leader at different times between two
// renewals. The lease in its successor's state lasts at least as long as the one that the
// worker was promised.
func TestNewLeaderHonorsLeasesOfItsPredecessor(t *testing.T) {
	for offset := time.Duration(0); offset < testRenewal; offset += 100 * time.Millisecond {
		n := newNet(t)
		n.configure()
		attempt := n.runTask()
		n.run(2*time.Second + offset)
		failed := n.leader()
		id := n.sendHeartbeat(failed, 0, heartbeatOf(4, attempt))
		sentAt := n.now
		n.run(60 * time.Millisecond)
		result := n.heartbeatReplies[id].Result
		if !result.Code.IsSuccess() {
			t.Fatalf("offset %s: %+v", offset, result)
		}
		n.kill(failed)
		n.run(3 * time.Second)
		successor, store := n.leader(), n.leaderStore()
		expiry, stateTime := n.workerLease()
		if left := result.Heartbeat.LeaseDuration - (n.now - sentAt); left > expiry-stateTime {
			t.Errorf("offset %s: the worker was promised %s more, the state of %s has %s",
				offset, left, successor, expiry-stateTime)
		}
		n.sendHeartbeat(successor, testReplyWait, heartbeatOf(5, attempt))
		n.run(testRenewal)
		worker, _ := store.Worker("w")
		if successor != n.leader() || !store.Live(worker) || store.LeaseCount("w") != 1 {
			t.Errorf("offset %s: the worker is live: %v, with %d leases", offset, store.Live(worker), store.LeaseCount("w"))
		}
	}
}

// TestOvertakenHeartbeatIsRejected sends a heartbeat after a later one without changes, which
// is not recorded in the state yet.
func TestOvertakenHeartbeatIsRejected(t *testing.T) {
	n := newNet(t)
	n.configure()
	n.heartbeat(heartbeatOf(1))
	later := n.sendHeartbeat(n.leader(), testReplyWait, heartbeatOf(9))
	overtaken := n.sendHeartbeat(n.leader(), testReplyWait, heartbeatOf(8))
	n.run(300 * time.Millisecond)
	result := n.heartbeatReplies[overtaken].Result
	if result.Code != status.StaleHeartbeat || result.Heartbeat.HeartbeatNumber != 9 {
		t.Errorf("the overtaken heartbeat is answered with %+v", result)
	}
	if result := n.heartbeatReplies[later].Result; !result.Code.IsSuccess() {
		t.Errorf("the later heartbeat is answered with %+v", result)
	}
}

// TestWorkerThatIsNotRenewedLosesItsLease stops the heartbeats of a worker that runs a task.
// Its lease expires LeaseDuration after its last heartbeat, not after the last renewal.
func TestWorkerThatIsNotRenewedLosesItsLease(t *testing.T) {
	n := newNet(t)
	n.configure()
	attempt := n.runTask()
	n.run(1700 * time.Millisecond)
	lastAt := n.now
	id := n.sendHeartbeat(n.leader(), 0, heartbeatOf(4, attempt))
	n.run(testRenewal)
	expiry, stateTime := n.workerLease()
	if result := n.heartbeatReplies[id].Result; !result.Code.IsSuccess() {
		t.Fatalf("%+v", result)
	}
	left, want := expiry-stateTime, testLease-(n.now-lastAt)
	if left > want+10*time.Millisecond || left < want-10*time.Millisecond {
		t.Errorf("%s after its last heartbeat, the worker's remaining lease is %s, want %s", n.now-lastAt, left, want)
	}
	store := n.leaderStore()
	n.run(testLease - testRenewal)
	if store.LeaseCount("w") != 1 {
		t.Error("the attempt's lease was removed before the worker's lease and the margin were over")
	}
	n.run(1200 * time.Millisecond)
	if store.LeaseCount("w") != 0 {
		t.Error("the attempt's lease remains although the worker's lease and the margin are over")
	}
}

// TestLostStartOrderIsReturnedByUnchangedHeartbeats loses the reply with a start. The next
// heartbeat has no changes, and its reply, which contains the start again, is lost too. The
// heartbeat after that proves that the worker never received the start, and the task is
// granted again.
func TestLostStartOrderIsReturnedByUnchangedHeartbeats(t *testing.T) {
	n := newNet(t)
	n.configure()
	for number := uint64(1); number < 12; number++ {
		n.heartbeat(heartbeatOf(number))
	}
	n.submitJob("j", 1)
	store := n.leaderStore()
	for _, row := range []struct {
		heartbeat uint64
		attempt   int
	}{{12, 1}, {13, 1}, {14, 2}} {
		if row.heartbeat == 13 {
			if _, changes := store.ReduceHeartbeat(heartbeatOf(row.heartbeat)); changes {
				t.Error("heartbeat 13 has changes")
			}
		}
		starts := n.heartbeat(heartbeatOf(row.heartbeat)).Result.Heartbeat.Starts
		if len(starts) != 1 || starts[0].Number != row.attempt {
			t.Fatalf("the reply to heartbeat %d contains the starts %v, want attempt %d",
				row.heartbeat, starts, row.attempt)
		}
	}
}

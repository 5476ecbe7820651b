package control

import (
	"testing"
	"time"

	"sorrelloom/core/machine"
	"sorrelloom/core/status"
)

// Heartbeats without changes, and renewals of leases, as a node agent meets them
// through changes of the leader.

const (
	testLease   = 6 * time.Second // that of config.Default
	testRenewal = time.Second     // the longest time between two renewals
)

// workerLease returns the expiry of the worker w's lease in the leader's state, and
// the time of that state.
func (n *testNet) workerLease() (expiry, stateTime time.Duration) {
	node := n.nodes[n.leader()]
	worker, _ := node.control.Replica().Store().Worker("w")
	return worker.LeaseExpiresAt, node.control.Replica().Time(n.now - node.boot)
}

// TestUnchangedHeartbeatsAreNoCommands counts the commands of a worker that runs a
// task and has nothing to report for 10 s, and compares the replies with the state.
func TestUnchangedHeartbeatsAreNoCommands(t *testing.T) {
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
			t.Fatalf("heartbeat %d: %+v, in the state %s is left", number, result, expiry-stateTime)
		}
	}
	// The heartbeat timeout is 3 s, and the interval of renewals a sixth of it.
	if commands := n.logIndex() - before; commands < 5 || commands > 25 {
		t.Errorf("%d commands for %d unchanged heartbeats in 10 s", commands, heartbeats)
	}
	store := n.leaderStore()
	if worker, known := store.Worker("w"); !known || !store.Live(worker) || store.LeaseCount("w") != 1 {
		t.Errorf("the worker is %+v", worker)
	}
}

// TestRepliesNeverExceedCommittedLeases cuts the backups off: renewals are applied but
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
			t.Errorf("heartbeat %d: a lease until %s is promised, %s is committed", number, promised, committed)
		}
	}
}

// TestNewLeaderHonorsLeasesOfItsPredecessor ends the leader between two renewals, at
// each step of their interval.
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
			t.Errorf("offset %s: the worker may run for %s more, %s has %s", offset, left, successor, expiry-stateTime)
		}
		n.sendHeartbeat(successor, testReplyWait, heartbeatOf(5, attempt))
		n.run(testRenewal)
		worker, _ := store.Worker("w")
		if successor != n.leader() || !store.Live(worker) || store.LeaseCount("w") != 1 {
			t.Errorf("offset %s: the worker is live %v with %d leases", offset, store.Live(worker), store.LeaseCount("w"))
		}
	}
}

// TestOvertakenHeartbeatIsRejected has a heartbeat come after a later one without
// changes, of which the state does not know yet.
func TestOvertakenHeartbeatIsRejected(t *testing.T) {
	n := newNet(t)
	n.configure()
	n.heartbeat(heartbeatOf(1))
	later := n.sendHeartbeat(n.leader(), testReplyWait, heartbeatOf(9))
	overtaken := n.sendHeartbeat(n.leader(), testReplyWait, heartbeatOf(8))
	n.run(300 * time.Millisecond)
	result := n.heartbeatReplies[overtaken].Result
	if result.Code != status.StaleHeartbeat || result.Heartbeat.HeartbeatNumber != 9 {
		t.Errorf("the overtaken one is answered %+v", result)
	}
	if result := n.heartbeatReplies[later].Result; !result.Code.IsSuccess() {
		t.Errorf("the later one is answered %+v", result)
	}
}

// TestWorkerThatIsNotRenewedLosesItsLease ends the heartbeats of a worker that runs a
// task. Its lease ends a lease's duration after its last heartbeat, not after a renewal.
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
		t.Errorf("%s after its last heartbeat the worker has %s left, not %s", n.now-lastAt, left, want)
	}
	store := n.leaderStore()
	n.run(testLease - testRenewal)
	if store.LeaseCount("w") != 1 {
		t.Error("the attempt's lease is gone before the worker's lease and the margin were over")
	}
	n.run(1200 * time.Millisecond)
	if store.LeaseCount("w") != 0 {
		t.Error("the attempt's lease is there though the worker's lease and the margin are over")
	}
}

// TestLostStartOrderIsReturnedByUnchangedHeartbeats loses the reply that carries a
// start; the next heartbeat has no changes and its reply carries the start again, and
// is lost too; the one after that shows that the worker never had it.
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
			t.Fatalf("the reply to heartbeat %d carries %v", row.heartbeat, starts)
		}
	}
}

package control

import (
	"testing"
	"time"
)

func TestJobIsDispatchedOnceCommitted(t *testing.T) {
	n := newNet(t)
	n.configure()
	n.heartbeat(heartbeatOf(1))
	n.submitJob("j", 3)
	orders := n.heartbeat(heartbeatOf(2)).Result.Heartbeat
	if len(orders.Starts) != 3 || orders.Epoch == 0 {
		t.Fatalf("got %+v", orders)
	}
}

// TestQueuedTasksAreDispatchedAfterFullPowerLoss has the former primary become primary again.
// The state names it as the leader of all zones already; it must rebuild its queues
// nevertheless.
func TestQueuedTasksAreDispatchedAfterFullPowerLoss(t *testing.T) {
	n := newNet(t)
	n.configure()
	n.heartbeat(heartbeatOf(1))
	before := n.leader()
	n.submitJob("j", 2)
	for _, address := range n.addresses {
		n.nodes[address].up = false
	}
	n.queue = nil
	n.now += time.Second
	for _, address := range n.addresses {
		n.start(address)
	}
	n.run(6 * time.Second)
	if n.leader() != before {
		t.Logf("the leader was %s, is %s", before, n.leader())
	}
	n.heartbeat(heartbeatOf(2))
	if reply := n.heartbeat(heartbeatOf(3)); len(reply.Result.Heartbeat.Starts) != 2 {
		t.Fatalf("the leader was %s, is %s, got %+v", before, n.leader(), reply)
	}
}

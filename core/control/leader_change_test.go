package control

import (
	"fmt"
	"testing"
	"time"

	"sorrelloom/core/state"
)

// TestStepsOfANewLeaderAreBounded has 20,000 queued tasks, and workers for 600 of them, when
// the leader fails. No step of its successor queues more than a batch of the tasks or submits
// more than a limited number of commands, and within seconds all 600 are granted.
func TestStepsOfANewLeaderAreBounded(t *testing.T) {
	const jobs, tasks, workers, startsEach = 20, 1000, 60, 10
	const maxTasks, maxCommands = 2 * 8192, 64 + 32 + 4
	n := newNet(t)
	n.configure()
	for i := range jobs {
		n.submitJob(fmt.Sprintf("j%d", i), tasks)
	}
	var mostCommands, mostTasks uint64
	indexes, runnable := map[*Control]uint64{}, map[*Control]uint64{}
	n.onStep = func(c *Control) {
		index, count := c.Replica().Store().Position().Index, c.Scheduler().Counters().Runnable
		if c.Replica().Serving() {
			mostCommands = max(mostCommands, index-indexes[c])
			mostTasks = max(mostTasks, count-runnable[c])
		}
		indexes[c], runnable[c] = index, count
	}
	n.run(testTick)
	mostCommands, mostTasks = 0, 0
	n.kill(n.leader())
	n.runUntilServed(testTick)
	// Half of the first heartbeats are deferred.
	n.heartbeatsOf(workers, 1)
	n.heartbeatsOf(workers, 2)
	n.run(2 * time.Second)
	store := n.leaderStore()
	granted := 0
	for i := range workers {
		granted += store.LeaseCount(workerName(i))
	}
	queued := 0
	for _, length := range n.nodes[n.leader()].control.Scheduler().QueueLengths() {
		queued += length
	}
	t.Logf("at most %d commands and %d tasks in a step", mostCommands, mostTasks)
	if mostTasks > maxTasks || mostCommands > maxCommands {
		t.Errorf("up to %d commands and %d tasks in a step, want at most %d and %d",
			mostCommands, mostTasks, maxCommands, maxTasks)
	}
	// The starts sent with the first heartbeats are returned to the queues, since no later
	// heartbeat lists them, and are granted again.
	if granted != workers*startsEach || queued != jobs*tasks-granted {
		t.Errorf("%d tasks are granted and %d queued, want %d granted", granted, queued, workers*startsEach)
	}
	if worker, _ := store.Worker("w000"); worker.Free != (state.Resources{Slots: 100}) {
		t.Errorf("worker w000: %+v", worker)
	}
}

func workerName(i int) string { return fmt.Sprintf("w%03d", i) }

// runUntilServed runs the network until some control process serves.
func (n *testNet) runUntilServed(step time.Duration) {
	for {
		if _, ok := n.findLeader(); ok {
			return
		}
		n.run(step)
	}
}

// heartbeatsOf sends a heartbeat with the given number for each worker to the leader.
func (n *testNet) heartbeatsOf(workers int, number uint64) {
	for i := range workers {
		heartbeat := heartbeatOf(number)
		heartbeat.Worker = workerName(i)
		n.sendHeartbeat(n.leader(), testReplyWait, heartbeat)
	}
	n.run(100 * time.Millisecond)
}

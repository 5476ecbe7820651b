package control

import (
	"fmt"
	"testing"
	"time"

	"sorrelloom/core/state"
)

// unfinishedTasks counts the tasks that are not known to have ended.
func unfinishedTasks(store *state.Store) int {
	count := 0
	for _, job := range store.ActiveJobs() {
		for _, task := range job.Tasks {
			if !task.Terminal() {
				count++
			}
		}
	}
	return count
}

func (n *testNet) agentHeartbeats() int {
	count := 0
	for _, agent := range n.allAgents {
		count += agent.heartbeats
	}
	return count
}

// TestAgentsReachANewLeaderGradually has 300 workers each end a task while nobody
// leads. The new leader admits so many changes in a tick, and no agent sends more
// heartbeats than that needs.
func TestAgentsReachANewLeaderGradually(t *testing.T) {
	const agents, admissions = 300, 32
	n := newNet(t)
	n.configure()
	n.addAgents(agents, 6*time.Second)
	n.run(2 * time.Second)
	for i := range agents / 50 {
		n.submitJob(fmt.Sprintf("j%d", i), 50)
	}
	n.run(3 * time.Second)
	running := 0
	for _, agent := range n.allAgents {
		running += len(agent.endsAt)
	}
	if running != agents {
		t.Fatalf("%d of %d tasks run", running, agents)
	}
	n.kill(n.leader())
	for _, served := n.findLeader(); !served; _, served = n.findLeader() {
		n.run(testTick)
		for _, agent := range n.allAgents {
			for attempt := range agent.endsAt {
				agent.endsAt[attempt] = n.now
			}
		}
	}
	store, before := n.leaderStore(), n.agentHeartbeats()
	leadsSince, mostCommands, last, lastAt := n.now, 0, store.Position().Index, n.now
	for n.now < leadsSince+3*time.Second && unfinishedTasks(store) > 0 {
		n.run(testTick)
		if n.now-lastAt >= 20*time.Millisecond {
			mostCommands = max(mostCommands, int(store.Position().Index-last))
			last, lastAt = store.Position().Index, n.now
		}
	}
	took, heartbeats := n.now-leadsSince, n.agentHeartbeats()-before
	t.Logf("after %s all ends are known, by %d heartbeats, at most %d commands in 20 ms", took, heartbeats, mostCommands)
	if left := unfinishedTasks(store); left > 0 {
		t.Errorf("%d tasks are not known to have ended", left)
	}
	// A tick may end within the 20 ms that are counted; renewals and leaderships come on top.
	if mostCommands > 2*admissions+4 {
		t.Errorf("%d commands came in 20 ms", mostCommands)
	}
	if heartbeats > 5*agents {
		t.Errorf("%d agents sent %d heartbeats", agents, heartbeats)
	}
	for _, agent := range n.allAgents {
		if n.now > agent.agent.Status().LeaseExpiry {
			t.Errorf("the lease of %s is over", agent.call.Worker)
		}
	}
}

// TestSimultaneousHeartbeatsAreAdmittedInTicks gives a leader 300 heartbeats with a
// change each in one moment. Those that are deferred come again when they are asked to.
func TestSimultaneousHeartbeatsAreAdmittedInTicks(t *testing.T) {
	const workers, admissions = 300, 32
	const tick = 20 * time.Millisecond
	n := newNet(t)
	n.configure()
	for i := range workers {
		heartbeat := heartbeatOf(1)
		heartbeat.Worker = workerName(i)
		n.sendHeartbeat(n.leader(), testReplyWait, heartbeat)
		n.run(testTick)
	}
	n.run(time.Second)
	store := n.leaderStore()
	dueAt, sends, mostCommands := map[int]time.Duration{}, 0, uint64(0)
	for i := range workers {
		dueAt[i] = n.now
	}
	began, before := n.now, store.Position().Index
	for number := uint64(2); len(dueAt) > 0 && n.now < began+2*time.Second; number++ {
		sent := map[int]uint64{}
		for i := range workers {
			if at, due := dueAt[i]; due && at <= n.now {
				heartbeat := heartbeatOf(number)
				heartbeat.Worker, heartbeat.Free.Slots = workerName(i), 99
				sent[i] = n.sendHeartbeat(n.leader(), 0, heartbeat)
				sends++
			}
		}
		n.run(tick)
		for i, id := range sent {
			delete(dueAt, i)
			result := n.heartbeatReplies[id].Result
			if result.RetryAfter == 0 || result.Code.IsSuccess() {
				continue
			}
			dueAt[i] = n.now - tick + result.RetryAfter
			if left := result.Heartbeat.LeaseDuration; left < time.Second {
				t.Errorf("worker %d is deferred and has a lease of %s", i, left)
			}
		}
		mostCommands, before = max(mostCommands, store.Position().Index-before), store.Position().Index
	}
	t.Logf("%d heartbeats were admitted in %s by %d messages, at most %d commands in 20 ms",
		workers, n.now-began, sends, mostCommands)
	if len(dueAt) > 0 || n.now-began > 400*time.Millisecond {
		t.Errorf("%d heartbeats are not admitted after %s", len(dueAt), n.now-began)
	}
	if mostCommands > admissions+4 || sends > 3*workers {
		t.Errorf("%d commands in 20 ms, %d messages", mostCommands, sends)
	}
	for i := range workers {
		if worker, _ := store.Worker(workerName(i)); !store.Live(worker) || worker.Free.Slots != 99 {
			t.Errorf("worker %d: %+v", i, worker)
		}
	}
}

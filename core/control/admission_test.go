package control

import (
	"fmt"
	"testing"
	"time"

	"sorrelloom/core/state"
)

// unfinishedTasks counts the tasks whose end is not recorded in the state.
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

// TestAgentsReachANewLeaderGradually has 300 workers that each end a task while there is no
// leader. The new leader admits a limited number of changes per tick, and the agents don't
// send many more heartbeats than that requires.
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
		t.Fatalf("%d of %d tasks are running", running, agents)
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
	t.Logf("all ends recorded after %s, with %d heartbeats and at most %d commands in 20 ms",
		took, heartbeats, mostCommands)
	if left := unfinishedTasks(store); left > 0 {
		t.Errorf("the ends of %d tasks are not recorded", left)
	}
	// The 20 ms that are counted may overlap two ticks; renewals and leaderships are added.
	if mostCommands > 2*admissions+4 {
		t.Errorf("%d commands in 20 ms", mostCommands)
	}
	if heartbeats > 5*agents {
		t.Errorf("%d agents sent %d heartbeats", agents, heartbeats)
	}
	for _, agent := range n.allAgents {
		if n.now > agent.agent.Status().LeaseExpiry {
			t.Errorf("the lease of %s has expired", agent.call.Worker)
		}
	}
}

// TestSimultaneousHeartbeatsAreAdmittedInTicks sends a leader 300 heartbeats with one change
// each at the same time. Deferred heartbeats are sent again at the requested time.
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
				t.Errorf("worker %d is deferred with a remaining lease of only %s", i, left)
			}
		}
		mostCommands, before = max(mostCommands, store.Position().Index-before), store.Position().Index
	}
	t.Logf("%d heartbeats were admitted in %s with %d messages, at most %d commands in 20 ms",
		workers, n.now-began, sends, mostCommands)
	if len(dueAt) > 0 || n.now-began > 400*time.Millisecond {
		t.Errorf("after %s, %d heartbeats are not admitted", n.now-began, len(dueAt))
	}
	if mostCommands > admissions+4 || sends > 3*workers {
		t.Errorf("up to %d commands in 20 ms, %d messages in all", mostCommands, sends)
	}
	for i := range workers {
		if worker, _ := store.Worker(workerName(i)); !store.Live(worker) || worker.Free.Slots != 99 {
			t.Errorf("worker %d: %+v", i, worker)
		}
	}
}

package control

import (
	"testing"
	"time"

	"sorrelloom/core/agent"
	"sorrelloom/core/machine"
	"sorrelloom/core/state"
)

// signOff sends the agent a request to leave. The worker's calls don't mention it.
func (s *simAgentWorker) signOff() {
	s.step(machine.Input{Request: machine.Request{ID: 1 << 40, Kind: agent.RequestSignOff, Name: s.call.Worker}})
}

// succeededTasks counts the tasks of a job that have succeeded.
func succeededTasks(store *state.Store, id string) (count int) {
	job, _ := store.Job(id)
	for _, task := range job.Tasks {
		if task.State == state.Done {
			count++
		}
	}
	return count
}

// TestSignedOffWorkerGetsNoStart has a worker sign off while it runs two tasks and two more
// are queued. The worker keeps calling for longer than a lease. It gets no start, its two tasks
// succeed under their first leases, and the other two remain queued for the next worker.
func TestSignedOffWorkerGetsNoStart(t *testing.T) {
	const runFor = 8 * time.Second
	n := newNet(t)
	n.configure()
	n.submitJob("j", 4)
	n.addAgents(1, runFor)
	worker := n.allAgents[0]
	for len(worker.endsAt) < 2 {
		n.run(testTick)
	}
	n.run(time.Second)
	worker.signOff()
	n.drain()
	for left := runFor - 1100*time.Millisecond; left > 0; left -= testTick {
		n.run(testTick)
		if starts := worker.reply.Starts; len(starts) > 0 {
			t.Fatalf("after its sign-off, the worker gets the starts %v", starts)
		}
		if worker.reply.LeaseRemaining < testLease-2*testRenewal {
			t.Fatalf("after its sign-off, the worker's remaining lease is %s", worker.reply.LeaseRemaining)
		}
	}
	store := n.leaderStore()
	record, known := store.Worker(worker.call.Worker)
	if !known || !record.Leaving || store.LeaseCount(worker.call.Worker) != 2 {
		t.Errorf("worker %+v with %d leases, want a leaving worker with 2", record, store.LeaseCount(worker.call.Worker))
	}
	job, _ := store.Job("j")
	for i, task := range job.Tasks {
		if task.Attempts > 1 || task.Losses > 0 {
			t.Errorf("task %d was granted %d times and lost %d times", i, task.Attempts, task.Losses)
		}
	}
	// The worker reports the ends of its tasks, then makes no more calls.
	for succeededTasks(n.leaderStore(), "j") < 2 {
		n.run(testTick)
	}
	worker.nextCall = n.now + time.Hour
	n.run(testLease)
	if leases := store.LeaseCount(worker.call.Worker); leases != 0 {
		t.Errorf("after its last call, the worker holds %d leases", leases)
	}
}

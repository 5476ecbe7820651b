package control

import (
	"testing"
	"time"

	"sorrelloom/core/agent"
	"sorrelloom/core/machine"
)

// TestLateCallAfterAgentRestart delivers an old call of a worker, sent before it started its
// task, to an agent that has just restarted, 50 ms before the worker's next call. The task
// keeps running and is not granted a second time.
func TestLateCallAfterAgentRestart(t *testing.T) {
	n := newNet(t)
	n.configure()
	n.submitJob("j", 1)
	n.addAgents(1, time.Hour)
	worker := n.allAgents[0]
	n.run(2 * time.Second)
	if len(worker.endsAt) != 1 {
		t.Fatalf("the worker runs %d tasks, want 1", len(worker.endsAt))
	}
	worker.agent = agent.New(agent.Config{
		Address: worker.address, Zone: "x", Replicas: n.addresses, FirstReportID: 1 << 50,
	})
	late := worker.call
	late.Number, late.Running = 1, nil
	worker.step(machine.Input{Request: machine.Request{ID: 1 << 41, Kind: agent.RequestCall, Decoded: late}})
	n.drain()
	worker.nextCall = n.now + 50*time.Millisecond
	n.run(2 * time.Second)
	job, _ := n.leaderStore().Job("j")
	if task := job.Tasks[0]; task.Attempts != 1 || task.Losses != 0 || len(worker.reply.Stops) > 0 {
		t.Errorf("the task was granted %d times and lost %d times, the worker is told to stop %v",
			task.Attempts, task.Losses, worker.reply.Stops)
	}
}

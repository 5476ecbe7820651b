package control

import (
	"testing"
	"time"

	"sorrelloom/core/agent"
	"sorrelloom/core/machine"
	"sorrelloom/core/state"
)

// restartAgent replaces a worker's agent by a new one without any state.
func (s *simAgentWorker) restartAgent() {
	s.agent = agent.New(agent.Config{
		Address: s.address, Zone: "x", Replicas: s.net.addresses, FirstReportID: 1<<50 + uint64(s.net.now),
	})
}

// deliverLate delivers a call that the worker sent long ago, when it ran nothing. Since calls
// of that time were not answered, they were sent a second apart: call n at n seconds.
func (s *simAgentWorker) deliverLate(call agent.Call, number uint64) {
	s.deliverCopy(call, number, time.Duration(number)*time.Second)
}

// deliverCopy delivers a copy of a call as if it had been sent at sentAt with the given number,
// when the worker ran nothing. The worker doesn't receive the reply.
func (s *simAgentWorker) deliverCopy(call agent.Call, number uint64, sentAt time.Duration) {
	call.Number, call.SentAt, call.Running, call.Ended = number, sentAt, nil, nil
	reply := s.reply
	s.step(machine.Input{Request: machine.Request{ID: 1<<41 + number, Kind: agent.RequestCall, Decoded: call}})
	s.net.drain()
	s.reply = reply
}

// restartThenDeliver restarts the agent and delivers old calls with the given numbers, which
// were sent at the given interval, before the worker calls again. The worker's own last call
// was lost in the restart.
func (s *simAgentWorker) restartThenDeliver(interval time.Duration, numbers ...uint64) {
	s.restartAgent()
	s.nextCall = s.net.now + time.Second
	for _, number := range numbers {
		s.deliverCopy(s.call, number, time.Duration(number)*interval)
		s.net.run(20 * time.Millisecond)
	}
	s.net.run(300 * time.Millisecond)
}

// agentRestarts are cases in which an agent restarts and old calls are delivered late.
var agentRestarts = []struct {
	name  string
	event func(n *testNet, worker *simAgentWorker)
}{
	{"one late call first", func(n *testNet, worker *simAgentWorker) {
		worker.restartAgent()
		worker.deliverLate(worker.call, 1)
	}},
	{"two late calls first", func(n *testNet, worker *simAgentWorker) {
		worker.restartAgent()
		worker.deliverLate(worker.call, 2)
		n.run(20 * time.Millisecond)
		worker.deliverLate(worker.call, 7)
	}},
	{"two consecutive late calls first", func(_ *testNet, worker *simAgentWorker) {
		worker.restartThenDeliver(time.Second, 2, 3)
	}},
	{"three consecutive late calls first", func(_ *testNet, worker *simAgentWorker) {
		worker.restartThenDeliver(time.Second, 2, 3, 4)
	}},
	{"late calls in reverse order, then repeated", func(_ *testNet, worker *simAgentWorker) {
		worker.restartThenDeliver(time.Second, 4, 3, 2, 2, 3, 4)
	}},
	{"calls repeated that the previous agent answered", func(_ *testNet, worker *simAgentWorker) {
		worker.restartThenDeliver(100*time.Millisecond, 2, 3, 4)
	}},
	{"another restart between late calls", func(n *testNet, worker *simAgentWorker) {
		worker.restartAgent()
		worker.deliverLate(worker.call, 2)
		n.run(20 * time.Millisecond)
		worker.restartAgent()
		worker.deliverLate(worker.call, 3)
		worker.deliverLate(worker.call, 4)
	}},
	{"consecutive calls of the previous worker, 5 s late", func(n *testNet, worker *simAgentWorker) {
		before := worker.call
		before.Worker, before.Labels = "earlier", []string{"other"}
		worker.restartAgent()
		n.run(110 * time.Millisecond)
		for number := range uint64(4) {
			worker.deliverLate(before, number+9)
		}
	}},
	{"late calls between current ones", func(n *testNet, worker *simAgentWorker) {
		worker.restartAgent()
		for number := range uint64(10) {
			worker.deliverLate(worker.call, number+1)
			n.run(70 * time.Millisecond)
		}
	}},
	{"control processes restart too, late call first", func(n *testNet, worker *simAgentWorker) {
		for _, address := range n.addresses {
			n.kill(address)
		}
		worker.restartAgent()
		for _, address := range n.addresses {
			n.start(address)
		}
		worker.deliverLate(worker.call, 1)
		n.run(time.Second)
		worker.deliverLate(worker.call, 2)
	}},
	{"a restart every 150 ms", func(n *testNet, worker *simAgentWorker) {
		for number := range uint64(8) {
			worker.restartAgent()
			worker.deliverLate(worker.call, number+1)
			n.run(150 * time.Millisecond)
		}
	}},
	{"single calls of the previous worker, of another kind, 5 s late", func(n *testNet, worker *simAgentWorker) {
		before := worker.call
		before.Worker, before.Labels = "earlier", []string{"other"}
		worker.restartAgent()
		n.run(110 * time.Millisecond)
		worker.deliverLate(before, 9)
		n.run(110 * time.Millisecond)
		worker.deliverLate(before, 11)
	}},
	{"a call of the previous worker first", func(n *testNet, worker *simAgentWorker) {
		before := worker.call
		before.Worker, before.Labels = "earlier", []string{"other"}
		worker.restartAgent()
		worker.deliverLate(before, 9)
	}},
}

// TestTasksSurviveAgentRestarts restarts the agent of a worker that runs two tasks, while old
// calls are delivered late. Both tasks keep running: none is returned to the queue, granted
// again, or stopped.
func TestTasksSurviveAgentRestarts(t *testing.T) {
	for _, row := range agentRestarts {
		t.Run(row.name, func(t *testing.T) {
			n := newNet(t)
			n.configure()
			n.addAgents(1, time.Hour)
			worker := n.allAgents[0]
			// The worker's first calls are sent before it runs anything.
			n.run(2 * time.Second)
			n.submitJob("j", 2)
			n.run(2 * time.Second)
			if len(worker.endsAt) != 2 {
				t.Fatalf("the worker runs %d tasks, want 2", len(worker.endsAt))
			}
			row.event(n, worker)
			worker.nextCall = n.now + 50*time.Millisecond
			n.run(3 * time.Second)
			job, _ := n.leaderStore().Job("j")
			for i, task := range job.Tasks {
				if task.Attempts != 1 || task.Losses != 0 || task.Lease.Worker != worker.call.Worker {
					t.Errorf("task %d: granted %d times, lost %d times, lease %+v",
						i, task.Attempts, task.Losses, task.Lease)
				}
			}
			if len(worker.reply.Stops) > 0 || worker.reply.LeaseRemaining < testLease/2 {
				t.Errorf("the last reply to the worker is %+v", worker.reply)
			}
		})
	}
}

// TestSignOffOutlivesAgentRestart has a worker sign off without ever saying so in its calls,
// and then restarts its agent. The replicated state still contains the sign-off: the worker
// gets no start.
func TestSignOffOutlivesAgentRestart(t *testing.T) {
	for _, row := range []struct {
		name    string
		signOff func(worker *simAgentWorker)
	}{
		{"once", func(worker *simAgentWorker) { worker.signOff() }},
		{"repeated after a lost reply", func(worker *simAgentWorker) {
			worker.signOff()
			worker.net.run(time.Second)
			worker.signOff()
		}},
	} {
		t.Run(row.name, func(t *testing.T) {
			n := newNet(t)
			n.configure()
			n.addAgents(1, time.Hour)
			worker := n.allAgents[0]
			n.submitJob("j", 1)
			n.run(2 * time.Second)
			row.signOff(worker)
			n.run(300 * time.Millisecond)
			worker.restartAgent()
			n.submitJob("later", 2)
			for range 600 {
				n.run(testTick)
				if len(worker.reply.Starts) > 0 {
					t.Fatalf("after its sign-off, the worker gets the starts %v", worker.reply.Starts)
				}
			}
			if record, known := n.leaderStore().Worker(worker.call.Worker); !known || !record.Leaving {
				t.Errorf("the worker's record is %+v", record)
			}
			job, _ := n.leaderStore().Job("j")
			if task := job.Tasks[0]; task.Attempts != 1 || task.State == state.Failed || !task.Lease.Held() {
				t.Errorf("its task is %+v", task)
			}
		})
	}
}

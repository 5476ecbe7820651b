package control

import (
	"maps"
	"slices"
	"testing"
	"time"

	"sorrelloom/core/leaderclient"
	"sorrelloom/core/machine"
	"sorrelloom/core/state"
	"sorrelloom/core/wire"
)

const (
	// callTimeout is how long a caller waits for the answer to a call. It is well below the
	// time in which a cancel must be answered while there is no failure.
	callTimeout = 2500 * time.Millisecond
	// handoverLimit is how long an agent that received a start order may still deliver it to
	// the worker.
	handoverLimit = 1500 * time.Millisecond
	// submitTime is how long testNet.command runs the network.
	submitTime = 50 * time.Millisecond
)

// simGateway is a gateway that forwards one command at a time to the leader.
type simGateway struct {
	net    *testNet
	client *leaderclient.Client
	// targets holds the control process to which each unanswered command was sent, by command ID.
	targets map[uint64]string
	call    uint64
	// answer is the result of the last call; it is valid if answered is set.
	answer   state.Result
	answered bool
}

func (n *testNet) newGateway() *simGateway {
	return &simGateway{net: n, targets: map[uint64]string{}, client: leaderclient.New(leaderclient.Config{
		Address: "gateway", Replicas: n.addresses, FirstCommandID: 1 << 40,
	})}
}

func (g *simGateway) step(in machine.Input) {
	out := g.client.Step(g.net.now, in)
	for _, sent := range out.Messages {
		g.targets[sent.Body.(wire.CommandRequest).ID] = sent.To
		message := newMessage(sent.Kind, "gateway", sent.Body)
		g.net.queue = append(g.net.queue, func() { g.net.deliver(sent.To, message) })
	}
	for _, response := range out.Responses {
		if response.RequestID == g.call {
			g.answer, g.answered = response.Body.(state.Result), true
		}
	}
}

// run runs the network and the gateway.
func (g *simGateway) run(span time.Duration) {
	for end := g.net.now + span; g.net.now < end; {
		g.net.run(testTick)
		for _, id := range slices.Sorted(maps.Keys(g.targets)) {
			if reply, ok := g.net.commandReplies[id]; ok {
				delete(g.net.commandReplies, id)
				g.step(machine.Input{Message: newMessage(wire.KindCommandReply, g.targets[id], reply)})
			}
		}
		if g.client.NextTimer() <= g.net.now {
			g.step(machine.Input{})
		}
		g.net.drain()
	}
}

// runUntilAnswered runs until the last call is answered or the deadline is reached.
func (g *simGateway) runUntilAnswered(deadline time.Duration) {
	for !g.answered && g.net.now < deadline {
		g.run(testTick)
	}
}

// start sends a caller's command.
func (g *simGateway) start(command state.Command) {
	g.call++
	g.answered = false
	request := machine.Request{ID: g.call, Kind: leaderclient.RequestCommand, Decoded: command, Wait: callTimeout}
	g.step(machine.Input{Request: request})
}

// TestCancelIsAnsweredByItsFirstCall cancels a job through a gateway, with a healthy leader and
// with a leader that fails at various times between a second before the call and just after
// its answer.
func TestCancelIsAnsweredByItsFirstCall(t *testing.T) {
	table := []struct {
		name       string
		failsAfter time.Duration // from the call to the failure
		fails      bool
		limit      time.Duration
	}{
		{"leader healthy", 0, false, 100 * time.Millisecond},
		{"leader failed 1 s before", -time.Second, true, callTimeout},
		{"leader failed 500 ms before", -500 * time.Millisecond, true, callTimeout},
		{"leader failed 100 ms before", -100 * time.Millisecond, true, callTimeout},
		{"leader fails with the call", 0, true, callTimeout},
		{"leader fails before its answer", testTick, true, callTimeout},
		{"leader fails after its answer", callTimeout, true, callTimeout},
	}
	for _, row := range table {
		t.Run(row.name, func(t *testing.T) {
			n := newNet(t)
			n.configure()
			n.submitJob("j", 2)
			g := n.newGateway()
			g.run(2 * time.Second)
			if row.fails && row.failsAfter < 0 {
				n.kill(n.leader())
				g.run(-row.failsAfter)
			}
			startedAt := n.now
			g.start(state.Command{Kind: state.KindCancelJob, Name: "j", Summary: true})
			g.runUntilAnswered(startedAt + max(0, row.failsAfter))
			if row.fails && row.failsAfter >= 0 {
				n.kill(n.leader())
			}
			g.runUntilAnswered(startedAt + 2*callTimeout)
			took := n.now - startedAt
			if !g.answered || !g.answer.Code.IsSuccess() || took > row.limit {
				t.Errorf("answered %v with %+v after %s, want success within %s", g.answered, g.answer, took, row.limit)
			}
			n.runUntilServed(testTick)
			if job, _ := n.leaderStore().Job("j"); job.State != state.Cancelled {
				t.Errorf("the job is %q, want %q", job.State, state.Cancelled)
			}
		})
	}
}

// TestNoStartAfterCancel cancels a job while its start order is at the agent and has not been
// delivered to the worker. The agent delivers it to no later call of the worker; if the leader
// can't reach the agent, to no call later than handoverLimit. A task that was started
// nevertheless is stopped as soon as the leader can reach the agent again.
func TestNoStartAfterCancel(t *testing.T) {
	table := []struct {
		name      string
		cut       bool
		callAfter time.Duration // from the order to the worker's next call
		starts    int
	}{
		{"early call", false, 200 * time.Millisecond, 0},
		{"late call", false, 1400 * time.Millisecond, 0},
		{"agent cut off, early call", true, 200 * time.Millisecond, 1},
		{"agent cut off, late call", true, submitTime + handoverLimit, 0},
	}
	for _, row := range table {
		t.Run(row.name, func(t *testing.T) {
			n := newNet(t)
			n.configure()
			n.addAgents(1, time.Hour)
			worker := n.allAgents[0]
			n.run(time.Second)
			orderedAt := n.now
			worker.nextCall = orderedAt + row.callAfter
			n.submitJob("j", 1)
			if pending := worker.agent.Status().PendingStarts; pending != 1 {
				t.Fatalf("the agent has %d pending starts for the worker, want 1", pending)
			}
			if row.cut {
				delete(n.agents, worker.address)
			}
			n.mustCommand(state.Command{Kind: state.KindCancelJob, Name: "j", Summary: true})
			n.run(3 * time.Second)
			if len(worker.endsAt) != row.starts {
				t.Errorf("the worker has started %d tasks, want %d", len(worker.endsAt), row.starts)
			}
			n.agents[worker.address] = worker
			n.run(time.Second)
			if len(worker.reply.Stops) != row.starts {
				t.Errorf("the worker is told to stop %v, want %d attempts", worker.reply.Stops, row.starts)
			}
		})
	}
}

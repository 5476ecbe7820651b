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
	// time in which a cancel must be answered while the core is settled.
	callTimeout = 2500 * time.Millisecond
	// handoverLimit is how long after the agent has got its order a start may still be
	// given to a worker.
	handoverLimit = 1500 * time.Millisecond
	// submitTime is how long the test's network runs for a command.
	submitTime = 50 * time.Millisecond
)

// simGateway is a gateway that carries one caller's command at a time to the leader.
type simGateway struct {
	net    *testNet
	client *leaderclient.Client
	// targets are the control processes to which commands without a reply were sent.
	targets map[uint64]string
	call    uint64
	// answer is the result of the last call, unless the call is still open.
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

// runUntilAnswered runs until the last call is answered, or until a time.
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

// TestCancelIsAnsweredByItsFirstCall cancels a job through a gateway, with the leader well
// and with the leader failing at each moment from a second before the call to just after it.
func TestCancelIsAnsweredByItsFirstCall(t *testing.T) {
	table := []struct {
		name       string
		failsAfter time.Duration // from the call on
		fails      bool
		limit      time.Duration
	}{
		{"the leader is well", 0, false, 100 * time.Millisecond},
		{"it failed a second ago", -time.Second, true, callTimeout},
		{"it failed half a second ago", -500 * time.Millisecond, true, callTimeout},
		{"it failed a moment ago", -100 * time.Millisecond, true, callTimeout},
		{"it fails with the call", 0, true, callTimeout},
		{"it fails before it answers", testTick, true, callTimeout},
		{"it fails once it has answered", callTimeout, true, callTimeout},
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
				t.Errorf("answered %v with %+v after %s, not within %s", g.answered, g.answer, took, row.limit)
			}
			n.runUntilServed(testTick)
			if job, _ := n.leaderStore().Job("j"); job.State != state.Cancelled {
				t.Errorf("the job is %q", job.State)
			}
		})
	}
}

// TestNoStartAfterCancel cancels a job whose task is ordered and not yet given to its
// worker. The agent gives the start to no later call of the worker, or where the core
// cannot reach the agent, to none that comes later than handoverLimit. What was started
// all the same is stopped as soon as the core can reach it.
func TestNoStartAfterCancel(t *testing.T) {
	table := []struct {
		name      string
		cut       bool
		callAfter time.Duration // the worker's next call, from the order on
		starts    int
	}{
		{"the worker calls soon", false, 200 * time.Millisecond, 0},
		{"the worker calls late", false, 1400 * time.Millisecond, 0},
		{"the agent is cut off and the worker calls soon", true, 200 * time.Millisecond, 1},
		{"the agent is cut off and the worker calls late", true, submitTime + handoverLimit, 0},
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
				t.Fatalf("the agent has %d starts for the worker", pending)
			}
			if row.cut {
				delete(n.agents, worker.address)
			}
			n.mustCommand(state.Command{Kind: state.KindCancelJob, Name: "j", Summary: true})
			n.run(3 * time.Second)
			if len(worker.endsAt) != row.starts {
				t.Errorf("the worker has started %d tasks, not %d", len(worker.endsAt), row.starts)
			}
			n.agents[worker.address] = worker
			n.run(time.Second)
			if len(worker.reply.Stops) != row.starts {
				t.Errorf("the worker is to stop %v", worker.reply.Stops)
			}
		})
	}
}

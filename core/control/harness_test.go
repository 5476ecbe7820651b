package control

import (
	"fmt"
	"testing"
	"time"

	"sorrelloom/core/machine"
	"sorrelloom/core/state"
	"sorrelloom/core/wire"
)

const (
	// testTick is the time step of the network.
	testTick = 5 * time.Millisecond
	// testReplyWait is the maximum wait of most test heartbeats for their replies.
	testReplyWait = 200 * time.Millisecond

	configBody = `{"services":{"s":{"anyLabel":true,"classes":{"c":{"priority":1,"share":100,"silence":"restart"}}}},` +
		`"policies":{"borrow":"true"},"limits":{"endsAtCutoff":true}}`
)

type testNode struct {
	control *Control
	disk    machine.MemoryDisk
	boot    time.Duration
	up      bool
}

// testNet is a simulated network of control processes, without message delays and with disks
// that complete writes at once.
type testNet struct {
	t                *testing.T
	now              time.Duration
	nodes            map[string]*testNode
	addresses        []string
	queue            []func()
	heartbeatReplies map[uint64]wire.HeartbeatReply
	commandReplies   map[uint64]wire.CommandReply
	starts           uint64
	lastID           uint64
	// onStep, if set, is called after each step of a control process.
	onStep func(*Control)
	// onLog, if set, is called for each event that a control process logs.
	onLog func(machine.LogEvent)
	// agents holds the reachable node agents with their workers, by address; allAgents holds
	// all of them in the order of creation.
	agents    map[string]*simAgentWorker
	allAgents []*simAgentWorker
}

func newNet(t *testing.T) *testNet {
	n := newEmptyNet(t, "a:1", "b:1", "c:1")
	for _, address := range n.addresses {
		n.nodes[address] = &testNode{}
		n.start(address)
	}
	return n
}

// newEmptyNet returns a network whose founders are not started.
func newEmptyNet(t *testing.T, founders ...string) *testNet {
	return &testNet{
		t: t, nodes: map[string]*testNode{}, addresses: founders,
		heartbeatReplies: map[uint64]wire.HeartbeatReply{}, commandReplies: map[uint64]wire.CommandReply{},
	}
}

func newMessage(kind, from string, body any) machine.Message {
	return machine.Message{Version: 1, Kind: kind, From: from, Body: machine.MustMarshal(body)}
}

func (n *testNet) start(address string) { n.startReplica(address, n.addresses) }

// startReplica starts a control process with the given founders.
func (n *testNet) startReplica(address string, founders []string) {
	n.starts++
	node := n.nodes[address]
	control, err := New(Config{
		Address: address, Zone: address, Founders: founders,
		NewID: fmt.Sprintf("%s-%d", address, n.starts), BootID: n.starts,
	}, node.disk.Load())
	if err != nil {
		n.t.Fatal(err)
	}
	node.control, node.boot, node.up = control, n.now-time.Millisecond, true
}

func (n *testNet) step(address string, in machine.Input) {
	node := n.nodes[address]
	if node == nil || !node.up {
		return
	}
	in.WallTime = time.Unix(1_000_000, 0).Add(n.now)
	control := node.control
	out := control.Step(n.now-node.boot, in)
	if n.onStep != nil {
		n.onStep(control)
	}
	for _, event := range out.LogEvents {
		if n.onLog != nil {
			n.onLog(event)
		}
	}
	for _, sent := range out.Messages {
		message := newMessage(sent.Kind, address, sent.Body)
		n.queue = append(n.queue, func() { n.deliver(sent.To, message) })
	}
	for _, write := range out.Writes {
		n.queue = append(n.queue, func() {
			if node.control != control || !node.up {
				return
			}
			node.disk.Apply(write)
			n.step(address, machine.Input{CompletedWrite: write.ID, SnapshotDue: node.disk.SnapshotDue()})
		})
	}
}

func (n *testNet) deliver(to string, message machine.Message) {
	if agent, ok := n.agents[to]; ok {
		agent.receive(message)
		return
	}
	switch message.Kind {
	case wire.KindHeartbeatReply:
		var reply wire.HeartbeatReply
		if machine.Unmarshal(message.Body, &reply) == nil {
			n.heartbeatReplies[reply.ID] = reply
		}
	case wire.KindCommandReply:
		var reply wire.CommandReply
		if machine.Unmarshal(message.Body, &reply) == nil {
			n.commandReplies[reply.ID] = reply
		}
	default:
		n.step(to, machine.Input{Message: message})
	}
}

func (n *testNet) run(span time.Duration) {
	for end := n.now + span; n.now < end; n.now += testTick {
		for _, address := range n.addresses {
			n.step(address, machine.Input{})
		}
		for _, agent := range n.allAgents {
			agent.wake()
		}
		n.drain()
	}
}

// drain delivers all pending messages and writes, and those that they cause.
func (n *testNet) drain() {
	for len(n.queue) > 0 {
		next := n.queue[0]
		n.queue = n.queue[1:]
		next()
	}
}

// kill stops a control process without notice. All pending messages and writes of the network
// are lost.
func (n *testNet) kill(address string) {
	n.nodes[address].up = false
	n.queue = nil
}

// findLeader returns the address of the control process that serves.
func (n *testNet) findLeader() (string, bool) {
	for _, address := range n.addresses {
		if n.nodes[address].up && n.nodes[address].control.Replica().Serving() {
			return address, true
		}
	}
	return "", false
}

func (n *testNet) leader() string {
	address, ok := n.findLeader()
	if !ok {
		n.t.Fatalf("no leader at %s", n.now)
	}
	return address
}

// leaderStore returns the state of the control process that serves.
func (n *testNet) leaderStore() *state.Store { return n.nodes[n.leader()].control.Replica().Store() }

func (n *testNet) logIndex() uint64 { return n.leaderStore().Position().Index }

func (n *testNet) command(command state.Command) state.Result {
	n.lastID++
	message := newMessage(wire.KindCommand, "gateway", wire.CommandRequest{ID: n.lastID, Command: command})
	n.step(n.leader(), machine.Input{Message: message})
	n.run(50 * time.Millisecond)
	reply, ok := n.commandReplies[n.lastID]
	if !ok {
		n.t.Fatalf("no reply to %s", command.Kind)
	}
	return reply.Result
}

func (n *testNet) mustCommand(command state.Command) {
	if result := n.command(command); !result.Code.IsSuccess() {
		n.t.Fatal(result)
	}
}

// configure waits for a leader and submits the test configuration.
func (n *testNet) configure() {
	n.run(3 * time.Second)
	n.mustCommand(state.Command{
		Kind: state.KindChangeConfig, ConfigChange: state.ConfigChange{Body: []byte(configBody)},
	})
}

// submitJob submits a job of one step.
func (n *testNet) submitJob(id string, tasks int) {
	steps := []state.StepSpec{{Count: tasks, Resources: state.Resources{Slots: 10}}}
	n.mustCommand(state.Command{
		Kind: state.KindAcceptJob, Summary: true,
		Job: state.JobSpec{ID: id, Service: "s", Class: "c", Steps: steps},
	})
}

// heartbeatOf returns a heartbeat of the worker w with the given number and running attempts.
func heartbeatOf(number uint64, running ...state.Attempt) state.Heartbeat {
	total := state.Resources{Slots: 100}
	return state.Heartbeat{
		Worker: "w", Incarnation: 1, Number: number, Service: "s", Zone: "x", Free: total, Total: total, Running: running,
	}
}

// sendHeartbeat sends a heartbeat to a control process and doesn't wait for the reply, which
// arrives in heartbeatReplies under the returned ID.
func (n *testNet) sendHeartbeat(to string, maxWait time.Duration, heartbeat state.Heartbeat) uint64 {
	n.lastID++
	request := wire.HeartbeatRequest{ID: n.lastID, MaxWait: maxWait, Heartbeat: heartbeat}
	n.step(to, machine.Input{Message: newMessage(wire.KindHeartbeat, "agent", request)})
	return n.lastID
}

// heartbeat sends a heartbeat to the leader and waits for the reply.
func (n *testNet) heartbeat(heartbeat state.Heartbeat) wire.HeartbeatReply {
	id := n.sendHeartbeat(n.leader(), testReplyWait, heartbeat)
	n.run(300 * time.Millisecond)
	return n.heartbeatReplies[id]
}

// runTask submits a job with one task, which the worker w starts with its heartbeats 1 to 3.
// It returns the attempt.
func (n *testNet) runTask() state.Attempt {
	n.heartbeat(heartbeatOf(1))
	n.submitJob("j", 1)
	start := n.heartbeat(heartbeatOf(2)).Result.Heartbeat.Starts[0]
	n.heartbeat(heartbeatOf(3, start.Attempt))
	return start.Attempt
}

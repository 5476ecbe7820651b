// Centers on a network without delay, with disks that are done at once.

package control

import (
	"fmt"
	"testing"
	"time"

	"sorrelloom/core/machine"
	"sorrelloom/core/state"
	"sorrelloom/core/wire"
)

type testNode struct {
	control *Control
	disk    machine.MemoryDisk
	boot    time.Duration
	up      bool
}

type testNet struct {
	t         *testing.T
	now       time.Duration
	nodes     map[string]*testNode
	addresses []string
	queue     []func()
	replies   map[uint64]wire.HeartbeatReply
	answers   map[uint64]wire.CommandReply
	starts    uint64
	lastID    uint64
	// watch is called after each step of a center.
	onStep func(*Control)
	// Agents that stand beside workers, by address and in order.
	agents    map[string]*simAgentWorker
	allAgents []*simAgentWorker
}

func newNet(t *testing.T) *testNet {
	n := &testNet{t: t, nodes: map[string]*testNode{}, addresses: []string{"a:1", "b:1", "c:1"}, replies: map[uint64]wire.HeartbeatReply{}, answers: map[uint64]wire.CommandReply{}}
	for _, at := range n.addresses {
		n.nodes[at] = &testNode{}
		n.start(at)
	}
	return n
}

func (n *testNet) start(at string) {
	n.starts++
	d := n.nodes[at]
	c, err := New(Config{
		Address: at, Zone: at, Founders: n.addresses, NewID: fmt.Sprintf("%s-%d", at, n.starts), BootID: n.starts,
	}, d.disk.Load())
	if err != nil {
		n.t.Fatal(err)
	}
	d.control, d.boot, d.up = c, n.now-time.Millisecond, true
}

func (n *testNet) step(at string, in machine.Input) {
	d := n.nodes[at]
	if d == nil || !d.up {
		return
	}
	in.WallTime = time.Unix(1_000_000, 0).Add(n.now)
	c := d.control
	out := c.Step(n.now-d.boot, in)
	if n.onStep != nil {
		n.onStep(c)
	}
	for _, s := range out.Messages {
		body := machine.MustMarshal(s.Body)
		n.queue = append(n.queue, func() { n.deliver(at, s.To, machine.Message{Version: 1, Kind: s.Kind, From: at, Body: body}) })
	}
	for _, w := range out.Writes {
		n.queue = append(n.queue, func() {
			if d.control != c || !d.up {
				return
			}
			d.disk.Apply(w)
			n.step(at, machine.Input{CompletedWrite: w.ID})
		})
	}
}

func (n *testNet) deliver(from, to string, message machine.Message) {
	if s, ok := n.agents[to]; ok {
		s.step(machine.Input{Message: message})
		return
	}
	switch message.Kind {
	case wire.KindHeartbeatReply:
		var b wire.HeartbeatReply
		if machine.Unmarshal(message.Body, &b) == nil {
			n.replies[b.ID] = b
		}
	case wire.KindCommandReply:
		var b wire.CommandReply
		if machine.Unmarshal(message.Body, &b) == nil {
			n.answers[b.ID] = b
		}
	default:
		n.step(to, machine.Input{Message: message})
	}
}

func (n *testNet) run(span time.Duration) {
	for end := n.now + span; n.now < end; n.now += 5 * time.Millisecond {
		for _, at := range n.addresses {
			n.step(at, machine.Input{})
		}
		for _, s := range n.allAgents {
			s.wake()
		}
		for len(n.queue) > 0 {
			next := n.queue[0]
			n.queue = n.queue[1:]
			next()
		}
	}
}

func (n *testNet) leader() string {
	for _, at := range n.addresses {
		if n.nodes[at].up && n.nodes[at].control.Replica().Serving() {
			return at
		}
	}
	n.t.Fatalf("nobody serves at %s", n.now)
	return ""
}

func (n *testNet) command(cmd state.Command) state.Result {
	n.lastID++
	message := machine.Message{Version: 1, Kind: wire.KindCommand, From: "door", Body: machine.MustMarshal(wire.CommandRequest{ID: n.lastID, Command: cmd})}
	n.step(n.leader(), machine.Input{Message: message})
	n.run(50 * time.Millisecond)
	b, ok := n.answers[n.lastID]
	if !ok {
		n.t.Fatalf("no answer to %s", cmd.Kind)
	}
	return b.Result
}

func (n *testNet) heartbeat(b state.Heartbeat) wire.HeartbeatReply {
	n.lastID++
	message := machine.Message{Version: 1, Kind: wire.KindHeartbeat, From: "side", Body: machine.MustMarshal(wire.HeartbeatRequest{ID: n.lastID, MaxWait: 200 * time.Millisecond, Heartbeat: b})}
	n.step(n.leader(), machine.Input{Message: message})
	n.run(300 * time.Millisecond)
	return n.replies[n.lastID]
}

const configBody = `{"services":{"s":{"anyLabel":true,"classes":{"c":{"priority":1,"share":100,"silence":"restart"}}}},"policies":{"borrow":"true"},"limits":{"endsAtCutoff":true}}`

func heartbeatOf(number uint64, running ...state.Attempt) state.Heartbeat {
	room := state.Resources{Slots: 100}
	return state.Heartbeat{Worker: "w", Incarnation: 1, Number: number, Service: "s", Zone: "x", Free: room, Total: room, Running: running}
}

func (n *testNet) configure() {
	n.run(3 * time.Second)
	if a := n.command(state.Command{Kind: state.KindChangeConfig, ConfigChange: state.ConfigChange{Body: []byte(configBody)}}); !a.Code.IsSuccess() {
		n.t.Fatal(a)
	}
}

func (n *testNet) submitJob(id string, count int) {
	steps := []state.StepSpec{{Count: count, Resources: state.Resources{Slots: 10}}}
	if a := n.command(state.Command{Kind: state.KindAcceptJob, Summary: true, Job: state.JobSpec{ID: id, Service: "s", Class: "c", Steps: steps}}); !a.Code.IsSuccess() {
		n.t.Fatal(a)
	}
}

func TestJobIsDispatchedOnceCommitted(t *testing.T) {
	n := newNet(t)
	n.configure()
	n.heartbeat(heartbeatOf(1))
	n.submitJob("j", 3)
	back := n.heartbeat(heartbeatOf(2))
	if len(back.Result.Heartbeat.Starts) != 3 || back.Result.Heartbeat.Epoch == 0 {
		t.Fatalf("got %+v", back)
	}
}

// The primary that comes back as primary holds the duties already, and must all
// the same know what waits.
func TestQueuedTasksAreDispatchedAfterFullPowerLoss(t *testing.T) {
	n := newNet(t)
	n.configure()
	n.heartbeat(heartbeatOf(1))
	led := n.leader()
	n.submitJob("j", 2)
	for _, at := range n.addresses {
		n.nodes[at].up = false
	}
	n.queue = nil
	n.now += time.Second
	for _, at := range n.addresses {
		n.start(at)
	}
	n.run(6 * time.Second)
	if n.leader() != led {
		t.Logf("%s led, %s leads", led, n.leader())
	}
	n.heartbeat(heartbeatOf(2))
	if back := n.heartbeat(heartbeatOf(3)); len(back.Result.Heartbeat.Starts) != 2 {
		t.Fatalf("%s led, %s leads, got %+v", led, n.leader(), back)
	}
}

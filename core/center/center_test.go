// Centers on a network without delay, with disks that are done at once.
package center

import (
	"fmt"
	"testing"
	"time"

	"sorrelloom/core/ledger"
	"sorrelloom/core/machine"
	"sorrelloom/core/wire"
)

type node struct {
	center *Center
	disk   machine.Disk
	boot   time.Duration
	up     bool
}

type net struct {
	t       *testing.T
	now     time.Duration
	nodes   map[string]*node
	addr    []string
	queue   []func()
	replies map[uint64]wire.BeatBackBody
	answers map[uint64]wire.CommandBackBody
	boots   uint64
	id      uint64
}

func newNet(t *testing.T) *net {
	n := &net{t: t, nodes: map[string]*node{}, addr: []string{"a:1", "b:1", "c:1"}, replies: map[uint64]wire.BeatBackBody{}, answers: map[uint64]wire.CommandBackBody{}}
	for _, at := range n.addr {
		n.nodes[at] = &node{}
		n.start(at)
	}
	return n
}

func (n *net) start(at string) {
	n.boots++
	d := n.nodes[at]
	c, err := New(Env{Address: at, Site: at, Founders: n.addr, FreshID: fmt.Sprintf("%s-%d", at, n.boots), Boot: n.boots}, d.disk.Stored())
	if err != nil {
		n.t.Fatal(err)
	}
	d.center, d.boot, d.up = c, n.now-time.Millisecond, true
}

func (n *net) step(at string, in machine.Input) {
	d := n.nodes[at]
	if d == nil || !d.up {
		return
	}
	in.Wall = time.Unix(1_000_000, 0).Add(n.now)
	c := d.center
	out := c.Step(n.now-d.boot, in)
	for _, s := range out.Sends {
		body := machine.MustMarshal(s.Body)
		n.queue = append(n.queue, func() { n.deliver(at, s.To, machine.Line{Wire: 1, Kind: s.Kind, From: at, Body: body}) })
	}
	for _, w := range out.Writes {
		n.queue = append(n.queue, func() {
			if d.center != c || !d.up {
				return
			}
			d.disk.Apply(w)
			n.step(at, machine.Input{Wrote: w.Done})
		})
	}
}

func (n *net) deliver(from, to string, line machine.Line) {
	switch line.Kind {
	case wire.BeatBack:
		var b wire.BeatBackBody
		if machine.Unmarshal(line.Body, &b) == nil {
			n.replies[b.ID] = b
		}
	case wire.CommandBack:
		var b wire.CommandBackBody
		if machine.Unmarshal(line.Body, &b) == nil {
			n.answers[b.ID] = b
		}
	default:
		n.step(to, machine.Input{Line: line})
	}
}

func (n *net) run(span time.Duration) {
	for end := n.now + span; n.now < end; n.now += 5 * time.Millisecond {
		for _, at := range n.addr {
			n.step(at, machine.Input{})
		}
		for len(n.queue) > 0 {
			next := n.queue[0]
			n.queue = n.queue[1:]
			next()
		}
	}
}

func (n *net) leader() string {
	for _, at := range n.addr {
		if n.nodes[at].up && n.nodes[at].center.Keeper().Serving() {
			return at
		}
	}
	n.t.Fatalf("nobody serves at %s", n.now)
	return ""
}

func (n *net) command(cmd ledger.Command) ledger.Answer {
	n.id++
	line := machine.Line{Wire: 1, Kind: wire.Command, From: "door", Body: machine.MustMarshal(wire.CommandBody{ID: n.id, Command: cmd})}
	n.step(n.leader(), machine.Input{Line: line})
	n.run(50 * time.Millisecond)
	b, ok := n.answers[n.id]
	if !ok {
		n.t.Fatalf("no answer to %s", cmd.Kind)
	}
	return b.Answer
}

func (n *net) beat(b ledger.Beat) wire.BeatBackBody {
	n.id++
	line := machine.Line{Wire: 1, Kind: wire.Beat, From: "side", Body: machine.MustMarshal(wire.BeatBody{ID: n.id, Hold: 200 * time.Millisecond, Beat: b})}
	n.step(n.leader(), machine.Input{Line: line})
	n.run(300 * time.Millisecond)
	return n.replies[n.id]
}

const planBody = `{"services":{"s":{"anyLabel":true,"classes":{"c":{"priority":1,"share":100,"silence":"restart"}}}},"policies":{"borrow":"true"},"limits":{"endsAtCutoff":true}}`

func beatOf(number uint64, running ...ledger.Attempt) ledger.Beat {
	room := ledger.Room{Slots: 100}
	return ledger.Beat{Worker: "w", Incarnation: 1, Number: number, Service: "s", Site: "x", Free: room, Total: room, Running: running}
}

func (n *net) ready() {
	n.run(3 * time.Second)
	if a := n.command(ledger.Command{Kind: ledger.KindPlan, Plan: ledger.PlanChange{Body: []byte(planBody)}}); !a.Code.Good() {
		n.t.Fatal(a)
	}
}

func (n *net) job(id string, count int) {
	steps := []ledger.StepSpec{{Count: count, Room: ledger.Room{Slots: 10}}}
	if a := n.command(ledger.Command{Kind: ledger.KindAccept, Brief: true, Accept: ledger.JobSpec{ID: id, Service: "s", Class: "c", Steps: steps}}); !a.Code.Good() {
		n.t.Fatal(a)
	}
}

func TestAJobIsHandedOutOnceTwoDisksHaveIt(t *testing.T) {
	n := newNet(t)
	n.ready()
	n.beat(beatOf(1))
	n.job("j", 3)
	back := n.beat(beatOf(2))
	if len(back.Answer.Orders.Starts) != 3 || back.Answer.Orders.Epoch == 0 {
		t.Fatalf("got %+v", back)
	}
}

// The primary that comes back as primary holds the duties already, and must all
// the same know what waits.
func TestWhatWaitsIsHandedOutAfterAllLostPower(t *testing.T) {
	n := newNet(t)
	n.ready()
	n.beat(beatOf(1))
	led := n.leader()
	n.job("j", 2)
	for _, at := range n.addr {
		n.nodes[at].up = false
	}
	n.queue = nil
	n.now += time.Second
	for _, at := range n.addr {
		n.start(at)
	}
	n.run(6 * time.Second)
	if n.leader() != led {
		t.Logf("%s led, %s leads", led, n.leader())
	}
	n.beat(beatOf(2))
	if back := n.beat(beatOf(3)); len(back.Answer.Orders.Starts) != 2 {
		t.Fatalf("%s led, %s leads, got %+v", led, n.leader(), back)
	}
}

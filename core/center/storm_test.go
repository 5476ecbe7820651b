// Agents beside hollow workers on the network of centers, for what happens when
// many of them lose their primary at once.
package center

import (
	"fmt"
	"testing"
	"time"

	"sorrelloom/core/agent"
	"sorrelloom/core/ledger"
	"sorrelloom/core/machine"
	"sorrelloom/core/wire"
)

// side is an agent with its worker, which calls it each 100 ms and runs each task
// for a while.
type side struct {
	net     *net
	address string
	agent   *agent.Agent
	call    agent.Call
	nextAt  time.Duration
	runFor  time.Duration
	until   map[ledger.Attempt]time.Duration
	told    agent.Told
	ends    uint64
	reports int
}

func (n *net) addSides(count int, runFor time.Duration) {
	n.sides = map[string]*side{}
	for i := range count {
		s := &side{net: n, address: fmt.Sprintf("side-%d:1", i), runFor: runFor, until: map[ledger.Attempt]time.Duration{}}
		s.agent = agent.New(agent.Env{Address: s.address, Site: "x", Keepers: n.addr, First: uint64(i) << 32})
		s.call = agent.Call{
			Worker: fmt.Sprintf("w%03d", i), Address: s.address, Service: "s", Site: "x", Free: ledger.Room{Slots: 20},
		}
		s.nextAt = n.now + time.Duration(i%20)*5*time.Millisecond
		n.sides[s.address], n.allSides = s, append(n.allSides, s)
	}
}

func (s *side) step(in machine.Input) {
	out := s.agent.Step(s.net.now, in)
	for _, send := range out.Sends {
		if send.Kind == wire.Beat {
			s.reports++
		}
		line := machine.Line{Wire: 1, Kind: send.Kind, From: s.address, Body: machine.MustMarshal(send.Body)}
		s.net.queue = append(s.net.queue, func() { s.net.deliver(s.address, send.To, line) })
	}
	for _, answer := range out.Answers {
		s.told = answer.Body.(agent.Told)
	}
}

// wake lets the agent step if it asked to, and the worker call if it is time.
func (s *side) wake() {
	if at := s.agent.Wakeup(); at > 0 && at <= s.net.now {
		s.step(machine.Input{})
	}
	if s.net.now >= s.nextAt {
		s.nextAt = s.net.now + 100*time.Millisecond
		s.says()
	}
}

func (s *side) says() {
	s.call.Number++
	s.call.Running = nil
	for a, at := range s.until {
		if at > s.net.now {
			s.call.Running = append(s.call.Running, agent.Run{Attempt: a})
			continue
		}
		delete(s.until, a)
		s.ends++
		s.call.Ended = append(s.call.Ended, agent.Ended{Number: s.ends, Run: agent.Run{Attempt: a}, How: agent.Good})
	}
	s.step(machine.Input{Ask: machine.Ask{Key: s.call.Number, Kind: agent.AskCall, Value: s.call}})
	for len(s.call.Ended) > 0 && s.call.Ended[0].Number <= s.told.Seen {
		s.call.Ended = s.call.Ended[1:]
	}
	for _, b := range s.told.Begins {
		if _, runs := s.until[b.Attempt]; !runs {
			s.until[b.Attempt] = s.net.now + s.runFor
		}
	}
}

// TestAgentsComeToANewLeaderGradually has 300 workers each end a task while nobody
// leads. The new leader takes so many changes a tick, and no agent reports more
// often than that needs.
func TestAgentsComeToANewLeaderGradually(t *testing.T) {
	const sides, tickMost = 300, 32
	n := newNet(t)
	n.ready()
	n.addSides(sides, 6*time.Second)
	n.run(2 * time.Second)
	for i := range sides / 50 {
		n.job(fmt.Sprintf("j%d", i), 50)
	}
	n.run(3 * time.Second)
	led := n.leader()
	running := 0
	for _, s := range n.allSides {
		running += len(s.until)
	}
	if running != sides {
		t.Fatalf("%d of %d tasks run", running, sides)
	}
	n.kill(led)
	for !n.serves() {
		n.run(5 * time.Millisecond)
		for _, s := range n.allSides {
			for a := range s.until {
				s.until[a] = n.now
			}
		}
	}
	l := n.nodes[n.leader()].center.Keeper().Ledger()
	before := 0
	for _, s := range n.allSides {
		before += s.reports
	}
	ledAt, most, last, lastAt := n.now, 0, l.Position().Sequence, n.now
	for n.now < ledAt+3*time.Second && n.open(l) > 0 {
		n.run(5 * time.Millisecond)
		if n.now-lastAt >= 20*time.Millisecond {
			most = max(most, int(l.Position().Sequence-last))
			last, lastAt = l.Position().Sequence, n.now
		}
	}
	took, reports := n.now-ledAt, -before
	for _, s := range n.allSides {
		reports += s.reports
	}
	t.Logf("after %s all ends are known, by %d reports, at most %d commands in 20 ms", took, reports, most)
	if left := n.open(l); left > 0 {
		t.Errorf("%d tasks are not known to have ended", left)
	}
	// A tick may end within the 20 ms that are counted; renewals and duties come on top.
	if most > 2*tickMost+4 {
		t.Errorf("%d commands came in 20 ms", most)
	}
	if reports > 5*sides {
		t.Errorf("%d agents sent %d reports", sides, reports)
	}
	for _, s := range n.allSides {
		if n.now > s.agent.Status().LeaseEnd {
			t.Errorf("the lease of %s is over", s.call.Worker)
		}
	}
}

// serves says whether any center leads.
func (n *net) serves() bool {
	for _, at := range n.addr {
		if n.nodes[at].up && n.nodes[at].center.Keeper().Serving() {
			return true
		}
	}
	return false
}

// open counts the tasks that are not known to have ended.
func (n *net) open(l *ledger.Ledger) int {
	count := 0
	for _, job := range l.Active() {
		for _, task := range job.Tasks {
			if !task.Closed() {
				count++
			}
		}
	}
	return count
}

// TestReportsThatComeTogetherAreTakenInTicks hands 300 reports with an end each to
// a leader in one moment. Those that are put off come again when they are asked to.
func TestReportsThatComeTogetherAreTakenInTicks(t *testing.T) {
	const count, tickMost = 300, 32
	n := newNet(t)
	n.ready()
	report := func(i int, number uint64) ledger.Beat {
		b := beatOf(number)
		b.Worker = fmt.Sprintf("w%03d", i)
		return b
	}
	for i := range count {
		n.send(n.leader(), testHold, report(i, 1))
		n.run(5 * time.Millisecond)
	}
	n.run(time.Second)
	l := n.nodes[n.leader()].center.Keeper().Ledger()
	due, sends, most := map[int]time.Duration{}, 0, uint64(0)
	for i := range count {
		due[i] = n.now
	}
	number := uint64(1)
	began, before := n.now, l.Position().Sequence
	for len(due) > 0 && n.now < began+2*time.Second {
		number++
		sent := map[int]uint64{}
		for i := range count {
			if at, open := due[i]; open && at <= n.now {
				b := report(i, number)
				b.Free.Slots = 99
				sent[i] = n.send(n.leader(), 0, b)
				sends++
			}
		}
		n.run(20 * time.Millisecond)
		for i, id := range sent {
			back := n.replies[id].Answer
			if delete(due, i); back.RetryAfter > 0 && !back.Code.Good() {
				due[i] = n.now - 20*time.Millisecond + back.RetryAfter
				if back.Orders.Lease < time.Second {
					t.Errorf("worker %d is put off and has a lease of %s", i, back.Orders.Lease)
				}
			}
		}
		most, before = max(most, l.Position().Sequence-before), l.Position().Sequence
	}
	t.Logf("%d reports were taken in %s by %d lines, at most %d commands in 20 ms", count, n.now-began, sends, most)
	if len(due) > 0 || n.now-began > 400*time.Millisecond {
		t.Errorf("%d reports are not taken after %s", len(due), n.now-began)
	}
	if most > tickMost+4 || sends > 3*count {
		t.Errorf("%d commands in 20 ms, %d lines", most, sends)
	}
	for i := range count {
		if w, _ := l.Worker(fmt.Sprintf("w%03d", i)); !l.Live(w) || w.Free.Slots != 99 {
			t.Errorf("worker %d: %+v", i, w)
		}
	}
}

// Agents beside hollow workers on the network of centers, for what happens when
// many of them lose their primary at once.

package control

import (
	"fmt"
	"testing"
	"time"

	"sorrelloom/core/agent"
	"sorrelloom/core/machine"
	"sorrelloom/core/state"
	"sorrelloom/core/wire"
)

// side is an agent with its worker, which calls it each 100 ms and runs each task
// for a while.
type simAgentWorker struct {
	net      *testNet
	address  string
	agent    *agent.Agent
	call     agent.Call
	nextCall time.Duration
	runFor   time.Duration
	endsAt   map[state.Attempt]time.Duration
	reply    agent.CallReply
	ends     uint64
	reports  int
}

func (n *testNet) addAgents(count int, runFor time.Duration) {
	n.agents = map[string]*simAgentWorker{}
	for i := range count {
		s := &simAgentWorker{net: n, address: fmt.Sprintf("side-%d:1", i), runFor: runFor, endsAt: map[state.Attempt]time.Duration{}}
		s.agent = agent.New(agent.Config{Address: s.address, Zone: "x", Replicas: n.addresses, FirstReportID: uint64(i) << 32})
		s.call = agent.Call{
			Worker: fmt.Sprintf("w%03d", i), Address: s.address, Service: "s", Zone: "x", Free: state.Resources{Slots: 20},
		}
		s.nextCall = n.now + time.Duration(i%20)*5*time.Millisecond
		n.agents[s.address], n.allAgents = s, append(n.allAgents, s)
	}
}

func (s *simAgentWorker) step(in machine.Input) {
	out := s.agent.Step(s.net.now, in)
	for _, send := range out.Messages {
		if send.Kind == wire.KindHeartbeat {
			s.reports++
		}
		message := machine.Message{Version: 1, Kind: send.Kind, From: s.address, Body: machine.MustMarshal(send.Body)}
		s.net.queue = append(s.net.queue, func() { s.net.deliver(s.address, send.To, message) })
	}
	for _, answer := range out.Responses {
		s.reply = answer.Body.(agent.CallReply)
	}
}

// wake lets the agent step if it asked to, and the worker call if it is time.
func (s *simAgentWorker) wake() {
	if at := s.agent.NextTimer(); at > 0 && at <= s.net.now {
		s.step(machine.Input{})
	}
	if s.net.now >= s.nextCall {
		s.nextCall = s.net.now + 100*time.Millisecond
		s.callAgent()
	}
}

func (s *simAgentWorker) callAgent() {
	s.call.Number++
	s.call.Running = nil
	for a, at := range s.endsAt {
		if at > s.net.now {
			s.call.Running = append(s.call.Running, agent.Run{Attempt: a})
			continue
		}
		delete(s.endsAt, a)
		s.ends++
		s.call.Ended = append(s.call.Ended, agent.EndedRun{Number: s.ends, Run: agent.Run{Attempt: a}, Outcome: agent.OutcomeSucceeded})
	}
	s.step(machine.Input{Request: machine.Request{ID: s.call.Number, Kind: agent.RequestCall, Decoded: s.call}})
	for len(s.call.Ended) > 0 && s.call.Ended[0].Number <= s.reply.AcknowledgedEnds {
		s.call.Ended = s.call.Ended[1:]
	}
	for _, b := range s.reply.Starts {
		if _, runs := s.endsAt[b.Attempt]; !runs {
			s.endsAt[b.Attempt] = s.net.now + s.runFor
		}
	}
}

// TestAgentsComeToANewLeaderGradually has 300 workers each end a task while nobody
// leads. The new leader takes so many changes a tick, and no agent reports more
// often than that needs.
func TestAgentsReachANewLeaderGradually(t *testing.T) {
	const sides, tickMost = 300, 32
	n := newNet(t)
	n.configure()
	n.addAgents(sides, 6*time.Second)
	n.run(2 * time.Second)
	for i := range sides / 50 {
		n.submitJob(fmt.Sprintf("j%d", i), 50)
	}
	n.run(3 * time.Second)
	led := n.leader()
	running := 0
	for _, s := range n.allAgents {
		running += len(s.endsAt)
	}
	if running != sides {
		t.Fatalf("%d of %d tasks run", running, sides)
	}
	n.kill(led)
	for !n.anyServes() {
		n.run(5 * time.Millisecond)
		for _, s := range n.allAgents {
			for a := range s.endsAt {
				s.endsAt[a] = n.now
			}
		}
	}
	l := n.nodes[n.leader()].control.Replica().Store()
	before := 0
	for _, s := range n.allAgents {
		before += s.reports
	}
	ledAt, most, last, lastAt := n.now, 0, l.Position().Index, n.now
	for n.now < ledAt+3*time.Second && n.openTasks(l) > 0 {
		n.run(5 * time.Millisecond)
		if n.now-lastAt >= 20*time.Millisecond {
			most = max(most, int(l.Position().Index-last))
			last, lastAt = l.Position().Index, n.now
		}
	}
	took, reports := n.now-ledAt, -before
	for _, s := range n.allAgents {
		reports += s.reports
	}
	t.Logf("after %s all ends are known, by %d reports, at most %d commands in 20 ms", took, reports, most)
	if left := n.openTasks(l); left > 0 {
		t.Errorf("%d tasks are not known to have ended", left)
	}
	// A tick may end within the 20 ms that are counted; renewals and duties come on top.
	if most > 2*tickMost+4 {
		t.Errorf("%d commands came in 20 ms", most)
	}
	if reports > 5*sides {
		t.Errorf("%d agents sent %d reports", sides, reports)
	}
	for _, s := range n.allAgents {
		if n.now > s.agent.Status().LeaseExpiry {
			t.Errorf("the lease of %s is over", s.call.Worker)
		}
	}
}

// serves says whether any center leads.
func (n *testNet) anyServes() bool {
	for _, at := range n.addresses {
		if n.nodes[at].up && n.nodes[at].control.Replica().Serving() {
			return true
		}
	}
	return false
}

// open counts the tasks that are not known to have ended.
func (n *testNet) openTasks(l *state.Store) int {
	count := 0
	for _, job := range l.ActiveJobs() {
		for _, task := range job.Tasks {
			if !task.Terminal() {
				count++
			}
		}
	}
	return count
}

// TestReportsThatComeTogetherAreTakenInTicks hands 300 reports with an end each to
// a leader in one moment. Those that are put off come again when they are asked to.
func TestSimultaneousHeartbeatsAreAdmittedInTicks(t *testing.T) {
	const count, tickMost = 300, 32
	n := newNet(t)
	n.configure()
	report := func(i int, number uint64) state.Heartbeat {
		b := heartbeatOf(number)
		b.Worker = fmt.Sprintf("w%03d", i)
		return b
	}
	for i := range count {
		n.sendHeartbeat(n.leader(), testReplyWait, report(i, 1))
		n.run(5 * time.Millisecond)
	}
	n.run(time.Second)
	l := n.nodes[n.leader()].control.Replica().Store()
	due, sends, most := map[int]time.Duration{}, 0, uint64(0)
	for i := range count {
		due[i] = n.now
	}
	number := uint64(1)
	began, before := n.now, l.Position().Index
	for len(due) > 0 && n.now < began+2*time.Second {
		number++
		sent := map[int]uint64{}
		for i := range count {
			if at, open := due[i]; open && at <= n.now {
				b := report(i, number)
				b.Free.Slots = 99
				sent[i] = n.sendHeartbeat(n.leader(), 0, b)
				sends++
			}
		}
		n.run(20 * time.Millisecond)
		for i, id := range sent {
			back := n.replies[id].Result
			if delete(due, i); back.RetryAfter > 0 && !back.Code.IsSuccess() {
				due[i] = n.now - 20*time.Millisecond + back.RetryAfter
				if back.Heartbeat.LeaseDuration < time.Second {
					t.Errorf("worker %d is put off and has a lease of %s", i, back.Heartbeat.LeaseDuration)
				}
			}
		}
		most, before = max(most, l.Position().Index-before), l.Position().Index
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

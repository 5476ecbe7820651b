package control

import (
	"fmt"
	"time"

	"sorrelloom/core/agent"
	"sorrelloom/core/machine"
	"sorrelloom/core/state"
	"sorrelloom/core/wire"
)

// simAgentWorker is a node agent with its worker, which calls the agent every 100 ms and runs
// each task for a fixed time.
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
	// heartbeats counts the heartbeats that the agent has sent.
	heartbeats int
	// gang is the gang whose members the worker runs; nil if it runs independent tasks.
	gang *simGang
	// holdsReplies keeps all replies to the agent in heldReplies; replyDelay delays each.
	holdsReplies bool
	replyDelay   time.Duration
	heldReplies  []heldReply
	// changesFree changes the free resources in each call, so that the agent reports it at once.
	changesFree bool
}

// heldReply is a reply that is delivered to an agent at a time, or later if replies are held.
type heldReply struct {
	at      time.Duration
	message machine.Message
}

func (n *testNet) addAgents(count int, runFor time.Duration) {
	n.agents = map[string]*simAgentWorker{}
	for i := range count {
		s := &simAgentWorker{
			net: n, address: fmt.Sprintf("agent-%d:1", i), runFor: runFor, endsAt: map[state.Attempt]time.Duration{},
		}
		s.agent = agent.New(agent.Config{
			Address: s.address, Zone: "x", Replicas: n.addresses, FirstReportID: uint64(i) << 32,
		})
		s.call = agent.Call{
			Worker: workerName(i), Address: s.address, Service: "s", Zone: "x", Free: state.Resources{Slots: 20},
		}
		s.nextCall = n.now + time.Duration(i%20)*5*time.Millisecond
		n.agents[s.address], n.allAgents = s, append(n.allAgents, s)
	}
}

func (s *simAgentWorker) step(in machine.Input) {
	out := s.agent.Step(s.net.now, in)
	for _, sent := range out.Messages {
		if sent.Kind == wire.KindHeartbeat {
			s.heartbeats++
		}
		message := newMessage(sent.Kind, s.address, sent.Body)
		s.net.queue = append(s.net.queue, func() { s.net.deliver(sent.To, message) })
	}
	for _, response := range out.Responses {
		s.reply = response.Body.(agent.CallReply)
	}
}

// receive delivers a reply to the agent, unless replies are held or delayed.
func (s *simAgentWorker) receive(message machine.Message) {
	if s.holdsReplies || s.replyDelay > 0 {
		s.heldReplies = append(s.heldReplies, heldReply{s.net.now + s.replyDelay, message})
		return
	}
	s.step(machine.Input{Message: message})
}

// releaseReplies delivers the held replies and stops holding later ones.
func (s *simAgentWorker) releaseReplies() {
	s.holdsReplies = false
	s.deliverReplies()
}

// deliverReplies delivers the held replies that are due.
func (s *simAgentWorker) deliverReplies() {
	for !s.holdsReplies && len(s.heldReplies) > 0 && s.heldReplies[0].at <= s.net.now {
		message := s.heldReplies[0].message
		s.heldReplies = s.heldReplies[1:]
		s.step(machine.Input{Message: message})
	}
}

// wake steps the agent if its timer is due, and lets the worker call if its next call is due.
func (s *simAgentWorker) wake() {
	s.deliverReplies()
	if timer := s.agent.NextTimer(); timer > 0 && timer <= s.net.now {
		s.step(machine.Input{})
	}
	if s.net.now >= s.nextCall {
		s.nextCall = s.net.now + 100*time.Millisecond
		s.callAgent()
	}
}

func (s *simAgentWorker) callAgent() {
	s.call.Number++
	s.call.SentAt = s.net.now
	s.call.Running = nil
	if s.changesFree {
		s.call.Free.Cores = int(s.call.Number % 2)
	}
	for attempt, endsAt := range s.endsAt {
		if endsAt > s.net.now {
			s.call.Running = append(s.call.Running, agent.Run{Attempt: attempt, Percent: s.gang.percent(attempt)})
			continue
		}
		s.endRun(attempt, s.gang.outcome(attempt))
	}
	s.step(machine.Input{Request: machine.Request{ID: s.call.Number, Kind: agent.RequestCall, Decoded: s.call}})
	for len(s.call.Ended) > 0 && s.call.Ended[0].Number <= s.reply.AcknowledgedUpTo {
		s.call.Ended = s.call.Ended[1:]
	}
	if s.gang != nil {
		s.gang.takeOrders(s)
		return
	}
	for _, start := range s.reply.Starts {
		if _, runs := s.endsAt[start.Attempt]; !runs {
			s.endsAt[start.Attempt] = s.net.now + s.runFor
		}
	}
}

// endRun ends a run, which the next call reports.
func (s *simAgentWorker) endRun(attempt state.Attempt, outcome agent.Outcome) {
	delete(s.endsAt, attempt)
	s.ends++
	s.call.Ended = append(s.call.Ended, agent.EndedRun{
		Number: s.ends, Run: agent.Run{Attempt: attempt}, Outcome: outcome,
	})
}

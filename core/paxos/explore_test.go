// Model checks that no epoch is decided with two different views. Small cases are explored
// exhaustively: two candidates and three acceptors, where each message to an acceptor is
// delivered now, later or never. The proposed views also replace or add a voter.

package paxos

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"testing"

	"sorrelloom/core/wire"
)

func member(id string) wire.Member { return wire.Member{ID: id, Address: id} }

type message struct {
	receiver, kind, key string
	request             wire.PaxosMessage
}

type candidate struct {
	self     wire.Member
	bootID   string
	proposed wire.View
	current  Proposal
	attempts int
}

// modelState is one state of the explored model. It is cloned before each step.
type modelState struct {
	acceptors  map[string]Acceptor
	candidates [2]candidate
	inflight   []message
	decided    map[string]bool
}

// newModelState returns a state in which the voters of a view know it and have not voted.
func newModelState(base wire.View) modelState {
	s := modelState{acceptors: map[string]Acceptor{}, decided: map[string]bool{}}
	for _, voter := range base.Voters {
		s.acceptors[voter.ID] = Acceptor{KnownView: base}
	}
	return s
}

func (s modelState) clone() modelState {
	return modelState{
		acceptors: maps.Clone(s.acceptors), candidates: s.candidates,
		inflight: slices.Clone(s.inflight), decided: maps.Clone(s.decided),
	}
}

// key encodes the state for deduplication. Messages in flight are encoded as a set, so that
// a state that is reached on several paths is explored once.
func (s modelState) key() string {
	var b strings.Builder
	ballot := func(x wire.Ballot) { b.WriteByte('0' + byte(x.Round)); b.WriteString(x.ProposerID) }
	for _, id := range []string{"A", "B", "C", "D"} {
		acceptor := s.acceptors[id]
		b.WriteByte('0' + byte(acceptor.KnownView.Epoch))
		ballot(acceptor.Promised)
		ballot(acceptor.Accepted)
		b.WriteString(shortName(acceptor.Value) + ";")
	}
	for _, c := range s.candidates {
		p := c.current
		b.WriteByte('0' + byte(c.attempts))
		ballot(p.Ballot)
		ballot(p.highestAccepted)
		ballot(p.HighestPromised)
		b.WriteString(shortName(p.Value))
		if p.accepting {
			b.WriteByte('!')
		}
		for _, id := range []string{"A", "B", "C", "D"} {
			if p.votes[id] {
				b.WriteString(id)
			}
		}
		b.WriteByte(';')
	}
	keys := make([]string, len(s.inflight))
	for i, m := range s.inflight {
		keys[i] = m.key
	}
	slices.Sort(keys)
	for _, key := range slices.Compact(keys) {
		b.WriteString(key)
	}
	for v := range s.decided {
		b.WriteString(v)
	}
	return b.String()
}

func shortName(v wire.View) string { return v.Primary.ID + string('0'+rune(v.BootID)) }

func viewName(v wire.View) string {
	return fmt.Sprintf("%d %d %s %v %v", v.Epoch, v.BootID, v.Primary.ID, v.Backups, v.Voters)
}

// begin starts a candidate's next proposal, with a ballot above all that it has seen.
func (s *modelState) begin(i int, base wire.View) {
	c := &s.candidates[i]
	c.attempts++
	highestSeen := wire.Ballot{Round: max(c.current.Ballot.Round, c.current.HighestPromised.Round)}
	var requests []wire.PaxosMessage
	c.current, requests = NewProposal(base, c.proposed, c.self, c.bootID, highestSeen)
	s.send(wire.KindPrepare, requests)
}

func (s *modelState) send(kind string, requests []wire.PaxosMessage) {
	for _, request := range requests {
		key := fmt.Sprint(kind, request.To, request.From.ID, request.Ballot, shortName(request.Value))
		s.inflight = append(s.inflight, message{request.To, kind, key, request})
	}
}

// deliver delivers one message to its acceptor. The reply is delivered at once or lost.
func (s *modelState) deliver(index int, loseReply bool) {
	m := s.inflight[index]
	s.inflight = append(s.inflight[:index], s.inflight[index+1:]...)
	acceptor, reply, ok := s.acceptors[m.receiver].HandleRequest(member(m.receiver), m.kind, m.request)
	if !ok {
		return
	}
	s.acceptors[m.receiver] = acceptor
	if loseReply {
		return
	}
	replyKind := wire.KindPrepareReply
	if m.kind == wire.KindAccept {
		replyKind = wire.KindAcceptReply
	}
	for i := range s.candidates {
		c := &s.candidates[i]
		if c.self.ID != m.request.From.ID {
			continue
		}
		var requests []wire.PaxosMessage
		var decided wire.View
		c.current, requests, decided = c.current.HandleReply(c.self, replyKind, reply)
		s.send(wire.KindAccept, requests)
		if decided.Epoch > 0 {
			s.decided[viewName(decided)] = true
		}
	}
}

// explore visits all reachable states and counts those in which a view is decided. It fails
// the test if there are more states than the budget.
func explore(t *testing.T, start modelState, base wire.View, attempts, budget int) (states, decisions int) {
	t.Helper()
	seen := map[string]bool{}
	stack := []modelState{start}
	for len(stack) > 0 {
		s := stack[len(stack)-1]
		stack = stack[:len(stack)-1]
		key := s.key()
		if seen[key] {
			continue
		}
		seen[key] = true
		if len(seen) > budget {
			t.Fatalf("more than %d states", budget)
		}
		if len(s.decided) > 1 {
			t.Fatalf("epoch decided with two views: %v", s.decided)
		}
		decisions += len(s.decided)
		for i := range s.candidates {
			if s.candidates[i].attempts < attempts {
				next := s.clone()
				next.begin(i, base)
				stack = append(stack, next)
			}
		}
		for index := range s.inflight {
			for _, loseReply := range []bool{false, true} {
				next := s.clone()
				next.deliver(index, loseReply)
				stack = append(stack, next)
			}
		}
	}
	return len(seen), decisions
}

func TestNoEpochIsDecidedTwice(t *testing.T) {
	three := []wire.Member{member("A"), member("B"), member("C")}
	changed := []wire.Member{member("A"), member("B"), member("D")}
	base := wire.View{Epoch: 1, Primary: member("A"), Backups: []wire.Member{member("B")}, Voters: three}
	byA := wire.View{Epoch: 2, Primary: member("A"), Backups: []wire.Member{member("C")}, Voters: three}
	byB := wire.View{Epoch: 2, Primary: member("B"), Backups: []wire.Member{member("C")}, Voters: three}
	restartedA := wire.View{Epoch: 2, BootID: 2, Primary: member("A"), Backups: []wire.Member{member("B")}, Voters: three}
	replacedVoter := wire.View{Epoch: 2, Primary: member("A"), Backups: []wire.Member{member("B")}, Voters: changed}
	addedVoter := wire.View{
		Epoch: 2, Primary: member("A"), Backups: []wire.Member{member("B"), member("C")},
		Voters: append(slices.Clone(three), member("D")),
	}
	table := []struct {
		name      string
		a, b      wire.View
		proposerA wire.Member
		proposerB wire.Member
	}{
		{"two candidates", byA, byB, member("A"), member("B")},
		{"a candidate and its restarted process, in the same round", byA, restartedA, member("A"), member("A")},
		{"one of them replaces a voter by an empty one", replacedVoter, byB, member("A"), member("B")},
		{"one of them adds a voter and a backup", addedVoter, byB, member("A"), member("B")},
	}
	for _, row := range table {
		t.Run(row.name, func(t *testing.T) {
			w := newModelState(base)
			w.acceptors["D"] = Acceptor{}
			w.candidates = [2]candidate{
				{self: row.proposerA, bootID: "1", proposed: row.a},
				{self: row.proposerB, bootID: "2", proposed: row.b},
			}
			states, decisions := explore(t, w, base, 1, 3_000_000)
			if decisions == 0 {
				t.Fatal("no view was decided in any state, so the exploration proves nothing")
			}
			t.Logf("%d states, decided in %d", states, decisions)
		})
	}
}

// TestEmptyDiskNeverVotesAsPreviousMember sends prepare requests to a voter whose disk was
// wiped. It has the old address but a new identity and must not reply; otherwise one address
// could vote twice.
func TestEmptyDiskNeverVotesAsPreviousMember(t *testing.T) {
	base := wire.View{Epoch: 1, Primary: member("A"), Backups: membersOf("B"), Voters: membersOf("A", "B", "C")}
	_, requests := NewProposal(base, wire.View{Epoch: 2, Primary: member("B")}, member("B"), "1", wire.Ballot{})
	empty := wire.Member{ID: "fresh", Address: "C"}
	for _, request := range requests {
		if _, _, voted := (Acceptor{}).HandleRequest(empty, wire.KindPrepare, request); voted {
			t.Errorf("a replica with an empty disk replied for %s", request.To)
		}
	}
}

// TestForgottenVotesViolateSafety shows that the model can detect a violation: if acceptors
// forget their promises, one epoch must be decided with two views.
func TestForgottenVotesViolateSafety(t *testing.T) {
	three := []wire.Member{member("A"), member("B"), member("C")}
	base := wire.View{Epoch: 1, Primary: member("A"), Backups: []wire.Member{member("B")}, Voters: three}
	s := newModelState(base)
	s.candidates = [2]candidate{
		{self: member("A"), proposed: wire.View{Epoch: 2, Primary: member("A"), Voters: three}},
		{self: member("B"), proposed: wire.View{Epoch: 2, Primary: member("B"), Voters: three}},
	}
	for i := range s.candidates {
		s.begin(i, base)
		for len(s.inflight) > 0 {
			s.deliver(0, false)
			for id := range s.acceptors {
				s.acceptors[id] = Acceptor{KnownView: base}
			}
		}
	}
	if len(s.decided) != 2 {
		t.Errorf("decided %v, want two views", s.decided)
	}
}

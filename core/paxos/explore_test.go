// No epoch may ever be decided twice with different views. Small cases are explored in
// full: two candidates, three acceptors, each message to an acceptor delivered now, later
// or never; also with one voter exchanged by the new view, and with one added.

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

// world is one state of the exploration; it is copied before each step.
type world struct {
	acceptors  map[string]Acceptor
	candidates [2]candidate
	inflight   []message
	decided    map[string]bool
}

// newWorld is one in which the voters of a view know it and have not voted yet.
func newWorld(base wire.View) world {
	w := world{acceptors: map[string]Acceptor{}, decided: map[string]bool{}}
	for _, voter := range base.Voters {
		w.acceptors[voter.ID] = Acceptor{KnownView: base}
	}
	return w
}

func (w world) clone() world {
	return world{
		acceptors: maps.Clone(w.acceptors), candidates: w.candidates,
		inflight: slices.Clone(w.inflight), decided: maps.Clone(w.decided),
	}
}

// key names the state in short: the messages in flight are a set, so that the same state
// reached in two ways is explored once.
func (w world) key() string {
	var b strings.Builder
	ballot := func(x wire.Ballot) { b.WriteByte('0' + byte(x.Round)); b.WriteString(x.ProposerID) }
	for _, id := range []string{"A", "B", "C", "D"} {
		acceptor := w.acceptors[id]
		b.WriteByte('0' + byte(acceptor.KnownView.Epoch))
		ballot(acceptor.Promised)
		ballot(acceptor.Accepted)
		b.WriteString(shortName(acceptor.Value) + ";")
	}
	for _, c := range w.candidates {
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
	keys := make([]string, len(w.inflight))
	for i, m := range w.inflight {
		keys[i] = m.key
	}
	slices.Sort(keys)
	for _, key := range slices.Compact(keys) {
		b.WriteString(key)
	}
	for v := range w.decided {
		b.WriteString(v)
	}
	return b.String()
}

func shortName(v wire.View) string { return v.Primary.ID + string('0'+rune(v.BootID)) }

func viewName(v wire.View) string {
	return fmt.Sprintf("%d %d %s %v %v", v.Epoch, v.BootID, v.Primary.ID, v.Backups, v.Voters)
}

// begin has a candidate open a proposal above all ballots that it has seen.
func (w *world) begin(i int, base wire.View) {
	c := &w.candidates[i]
	c.attempts++
	highestSeen := wire.Ballot{Round: max(c.current.Ballot.Round, c.current.HighestPromised.Round)}
	var requests []wire.PaxosMessage
	c.current, requests = NewProposal(base, c.proposed, c.self, c.bootID, highestSeen)
	w.send(wire.KindPrepare, requests)
}

func (w *world) send(kind string, requests []wire.PaxosMessage) {
	for _, request := range requests {
		key := fmt.Sprint(kind, request.To, request.From.ID, request.Ballot, shortName(request.Value))
		w.inflight = append(w.inflight, message{request.To, kind, key, request})
	}
}

// deliver delivers one message; its reply arrives at once, or is lost.
func (w *world) deliver(index int, loseReply bool) {
	m := w.inflight[index]
	w.inflight = append(w.inflight[:index], w.inflight[index+1:]...)
	acceptor, reply, ok := w.acceptors[m.receiver].HandleRequest(member(m.receiver), m.kind, m.request)
	if !ok {
		return
	}
	w.acceptors[m.receiver] = acceptor
	if loseReply {
		return
	}
	replyKind := wire.KindPrepareReply
	if m.kind == wire.KindAccept {
		replyKind = wire.KindAcceptReply
	}
	for i := range w.candidates {
		c := &w.candidates[i]
		if c.self.ID != m.request.From.ID {
			continue
		}
		var requests []wire.PaxosMessage
		var decided wire.View
		c.current, requests, decided = c.current.HandleReply(c.self, replyKind, reply)
		w.send(wire.KindAccept, requests)
		if decided.Epoch > 0 {
			w.decided[viewName(decided)] = true
		}
	}
}

// explore visits all states that can be reached, up to a budget, and counts those in which
// a view was decided.
func explore(t *testing.T, start world, base wire.View, attempts, budget int) (states, decisions int) {
	t.Helper()
	seen := map[string]bool{}
	stack := []world{start}
	for len(stack) > 0 {
		w := stack[len(stack)-1]
		stack = stack[:len(stack)-1]
		key := w.key()
		if seen[key] {
			continue
		}
		seen[key] = true
		if len(seen) > budget {
			t.Fatalf("more than %d states", budget)
		}
		if len(w.decided) > 1 {
			t.Fatalf("one epoch decided twice: %v", w.decided)
		}
		decisions += len(w.decided)
		for i := range w.candidates {
			if w.candidates[i].attempts < attempts {
				next := w.clone()
				next.begin(i, base)
				stack = append(stack, next)
			}
		}
		for index := range w.inflight {
			for _, loseReply := range []bool{false, true} {
				next := w.clone()
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
	again := wire.View{Epoch: 2, BootID: 2, Primary: member("A"), Backups: []wire.Member{member("B")}, Voters: three}
	byNew := wire.View{Epoch: 2, Primary: member("A"), Backups: []wire.Member{member("B")}, Voters: changed}
	grown := wire.View{
		Epoch: 2, Primary: member("A"), Backups: []wire.Member{member("B"), member("C")},
		Voters: append(slices.Clone(three), member("D")),
	}
	table := []struct {
		name  string
		a, b  wire.View
		one   wire.Member
		other wire.Member
	}{
		{"two candidates", byA, byB, member("A"), member("B")},
		{"a candidate and its next process, with the same round", byA, again, member("A"), member("A")},
		{"one of them exchanges a voter for an empty one", byNew, byB, member("A"), member("B")},
		{"one of them adds a voter and a backup", grown, byB, member("A"), member("B")},
	}
	for _, row := range table {
		t.Run(row.name, func(t *testing.T) {
			w := newWorld(base)
			w.acceptors["D"] = Acceptor{}
			w.candidates = [2]candidate{
				{self: row.one, bootID: "1", proposed: row.a},
				{self: row.other, bootID: "2", proposed: row.b},
			}
			states, decisions := explore(t, w, base, 1, 3_000_000)
			if decisions == 0 {
				t.Fatal("nothing was ever decided: the exploration proves nothing")
			}
			t.Logf("%d states, decided in %d", states, decisions)
		})
	}
}

// TestEmptyDiskNeverVotesAsPreviousMember wipes a voter after its vote: its address
// replies, its identity does not, so its vote is not counted twice.
func TestEmptyDiskNeverVotesAsPreviousMember(t *testing.T) {
	base := wire.View{Epoch: 1, Primary: member("A"), Backups: membersOf("B"), Voters: membersOf("A", "B", "C")}
	_, requests := NewProposal(base, wire.View{Epoch: 2, Primary: member("B")}, member("B"), "1", wire.Ballot{})
	empty := wire.Member{ID: "fresh", Address: "C"}
	for _, request := range requests {
		if _, _, voted := (Acceptor{}).HandleRequest(empty, wire.KindPrepare, request); voted {
			t.Errorf("an empty disk replied for %s", request.To)
		}
	}
}

// TestForgottenVotesViolateSafety shows that the exploration can fail: with acceptors that
// forget what they promised, it must find two views.
func TestForgottenVotesViolateSafety(t *testing.T) {
	three := []wire.Member{member("A"), member("B"), member("C")}
	base := wire.View{Epoch: 1, Primary: member("A"), Backups: []wire.Member{member("B")}, Voters: three}
	w := newWorld(base)
	w.candidates = [2]candidate{
		{self: member("A"), proposed: wire.View{Epoch: 2, Primary: member("A"), Voters: three}},
		{self: member("B"), proposed: wire.View{Epoch: 2, Primary: member("B"), Voters: three}},
	}
	for i := range w.candidates {
		w.begin(i, base)
		for len(w.inflight) > 0 {
			w.deliver(0, false)
			for id := range w.acceptors {
				w.acceptors[id] = Acceptor{KnownView: base}
			}
		}
	}
	if len(w.decided) != 2 {
		t.Errorf("decided %v, want two views", w.decided)
	}
}

// The register's promise is that no epoch is ever decided twice with different
// views. A small case is explored in full: two candidates, three witnesses, a
// message to a witness delivered now, later or never, each candidate trying
// twice, and once with one witness exchanged by the new view, and
// once with one added.

package paxos

import (
	"fmt"
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
	self        wire.Member
	incarnation string
	proposed    wire.View
	current     Proposal
	attempts    int
}

// world is one point of the exploration; it is copied before each step.
type world struct {
	acceptors  map[string]Acceptor
	candidates [2]candidate
	inflight   []message
	decided    map[string]bool
}

func (w world) clone() world {
	c := world{acceptors: map[string]Acceptor{}, candidates: w.candidates, inflight: append([]message(nil), w.inflight...), decided: map[string]bool{}}
	for id, s := range w.acceptors {
		c.acceptors[id] = s
	}
	for v := range w.decided {
		c.decided[v] = true
	}
	return c
}

// key names the point in short: the pool of messages in flight is a set, so
// that the same point reached by two ways is explored once.
func (w world) key() string {
	var b strings.Builder
	ballot := func(x wire.Ballot) { b.WriteByte('0' + byte(x.Round)); b.WriteString(x.ProposerID) }
	for _, id := range []string{"A", "B", "C", "D"} {
		s := w.acceptors[id]
		b.WriteByte('0' + byte(s.KnownView.Epoch))
		ballot(s.Promised)
		ballot(s.Accepted)
		b.WriteString(shortName(s.Value) + ";")
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
	texts := make([]string, len(w.inflight))
	for i, m := range w.inflight {
		texts[i] = m.key
	}
	slices.Sort(texts)
	for _, text := range slices.Compact(texts) {
		b.WriteString(text)
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

func (w *world) begin(i int, base wire.View) {
	c := &w.candidates[i]
	c.attempts++
	var asks []wire.PaxosMessage
	c.current, asks = NewProposal(base, c.proposed, c.self, c.incarnation, wire.Ballot{Round: max(c.current.Ballot.Round, c.current.HighestPromised.Round)})
	w.send(wire.KindPrepare, asks)
}

func (w *world) send(kind string, asks []wire.PaxosMessage) {
	for _, b := range asks {
		text := fmt.Sprint(kind, b.To, b.From.ID, b.Ballot, shortName(b.Value))
		w.inflight = append(w.inflight, message{b.To, kind, text, b})
	}
}

// deliver hands one message over; the answer comes back at once, or is lost.
func (w *world) deliver(at int, lose bool) {
	m := w.inflight[at]
	w.inflight = append(w.inflight[:at], w.inflight[at+1:]...)
	state, reply, ok := w.acceptors[m.receiver].HandleRequest(member(m.receiver), m.kind, m.request)
	if !ok {
		return
	}
	w.acceptors[m.receiver] = state
	if lose {
		return
	}
	back := wire.KindPrepareReply
	if m.kind == wire.KindAccept {
		back = wire.KindAcceptReply
	}
	for i := range w.candidates {
		c := &w.candidates[i]
		if c.self.ID != m.request.From.ID {
			continue
		}
		var asks []wire.PaxosMessage
		var decided wire.View
		c.current, asks, decided = c.current.HandleReply(c.self, back, reply)
		w.send(wire.KindAccept, asks)
		if decided.Epoch > 0 {
			w.decided[viewName(decided)] = true
		}
	}
}

func explore(t *testing.T, start world, base wire.View, attempts, budget int) (states, decisions int) {
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
			t.Fatalf("more than %d points", budget)
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
		for at := range w.inflight {
			for _, lose := range []bool{false, true} {
				next := w.clone()
				next.deliver(at, lose)
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
	grown := wire.View{Epoch: 2, Primary: member("A"), Backups: []wire.Member{member("B"), member("C")}, Voters: append(slices.Clone(three), member("D"))}
	table := []struct {
		name  string
		a, b  wire.View
		one   wire.Member
		other wire.Member
	}{
		{"two candidates", byA, byB, member("A"), member("B")},
		{"a candidate and its next run, with the same round", byA, again, member("A"), member("A")},
		{"one of them exchanges a witness for an empty one", byNew, byB, member("A"), member("B")},
		{"one of them adds a witness and a backup", grown, byB, member("A"), member("B")},
	}
	for _, row := range table {
		t.Run(row.name, func(t *testing.T) {
			w := world{acceptors: map[string]Acceptor{"A": {KnownView: base}, "B": {KnownView: base}, "C": {KnownView: base}, "D": {}}, decided: map[string]bool{}}
			w.candidates = [2]candidate{{self: row.one, incarnation: "1", proposed: row.a}, {self: row.other, incarnation: "2", proposed: row.b}}
			points, decisions := explore(t, w, base, 1, 3_000_000)
			if decisions == 0 {
				t.Fatal("nothing was ever decided: the exploration proves nothing")
			}
			t.Logf("%d points, decided in %d", points, decisions)
		})
	}
}

// TestAnEmptyDiskNeverVotesAsTheOldOne wipes a witness after its vote: its
// address answers, its identity does not, so its voice is not counted twice.
func TestEmptyDiskNeverVotesAsPreviousMember(t *testing.T) {
	base := wire.View{Epoch: 1, Primary: member("A"), Backups: []wire.Member{member("B")}, Voters: []wire.Member{member("A"), member("B"), member("C")}}
	_, asks := NewProposal(base, wire.View{Epoch: 2, Primary: member("B")}, member("B"), "1", wire.Ballot{})
	empty := wire.Member{ID: "fresh", Address: "C"}
	for _, ask := range asks {
		if _, _, voted := (Acceptor{}).HandleRequest(empty, wire.KindPrepare, ask); voted {
			t.Errorf("an empty disk answered for %s", ask.To)
		}
	}
}

// TestAVoteThatIsForgottenBreaksThePromise shows that the exploration can
// fail: with witnesses that forget what they promised, it must find two views.
func TestForgottenVotesViolateSafety(t *testing.T) {
	three := []wire.Member{member("A"), member("B"), member("C")}
	base := wire.View{Epoch: 1, Primary: member("A"), Backups: []wire.Member{member("B")}, Voters: three}
	w := world{acceptors: map[string]Acceptor{"A": {KnownView: base}, "B": {KnownView: base}, "C": {KnownView: base}}, decided: map[string]bool{}}
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

// The register's promise is that no epoch is ever decided twice with different
// views. A small case is explored in full: two candidates, three witnesses, a
// message to a witness delivered now, later or never, each candidate trying
// twice, and once with one witness exchanged by the new view, and
// once with one added.
package register

import (
	"fmt"
	"slices"
	"strings"
	"testing"

	"sorrelloom/core/wire"
)

func seat(id string) wire.Seat { return wire.Seat{ID: id, Address: id} }

type message struct {
	to, kind, text string
	body           wire.RegisterBody
}

type candidate struct {
	me      wire.Seat
	run     string
	wanted  wire.View
	current Proposal
	tries   int
}

// world is one point of the exploration; it is copied before each step.
type world struct {
	witnesses  map[string]State
	candidates [2]candidate
	inflight   []message
	decided    map[string]bool
}

func (w world) clone() world {
	c := world{witnesses: map[string]State{}, candidates: w.candidates, inflight: append([]message(nil), w.inflight...), decided: map[string]bool{}}
	for id, s := range w.witnesses {
		c.witnesses[id] = s
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
	ballot := func(x wire.Ballot) { b.WriteByte('0' + byte(x.Round)); b.WriteString(x.ID) }
	for _, id := range []string{"A", "B", "C", "D"} {
		s := w.witnesses[id]
		b.WriteByte('0' + byte(s.Known.Epoch))
		ballot(s.Promised)
		ballot(s.Accepted)
		b.WriteString(short(s.Value) + ";")
	}
	for _, c := range w.candidates {
		p := c.current
		b.WriteByte('0' + byte(c.tries))
		ballot(p.Ballot)
		ballot(p.best)
		ballot(p.Highest)
		b.WriteString(short(p.Value))
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
		texts[i] = m.text
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

func short(v wire.View) string { return v.Primary.ID + string('0'+rune(v.Boot)) }

func viewName(v wire.View) string {
	return fmt.Sprintf("%d %d %s %v %v", v.Epoch, v.Boot, v.Primary.ID, v.Backups, v.Witnesses)
}

func (w *world) begin(i int, base wire.View) {
	c := &w.candidates[i]
	c.tries++
	var asks []wire.RegisterBody
	c.current, asks = Begin(base, c.wanted, c.me, c.run, wire.Ballot{Round: max(c.current.Ballot.Round, c.current.Highest.Round)})
	w.post(wire.Prepare, asks)
}

func (w *world) post(kind string, asks []wire.RegisterBody) {
	for _, b := range asks {
		text := fmt.Sprint(kind, b.To, b.From.ID, b.Ballot, short(b.Value))
		w.inflight = append(w.inflight, message{b.To, kind, text, b})
	}
}

// deliver hands one message over; the answer comes back at once, or is lost.
func (w *world) deliver(at int, lose bool) {
	m := w.inflight[at]
	w.inflight = append(w.inflight[:at], w.inflight[at+1:]...)
	state, reply, ok := w.witnesses[m.to].Witness(seat(m.to), m.kind, m.body)
	if !ok {
		return
	}
	w.witnesses[m.to] = state
	if lose {
		return
	}
	back := wire.PrepareBack
	if m.kind == wire.Accept {
		back = wire.AcceptBack
	}
	for i := range w.candidates {
		c := &w.candidates[i]
		if c.me.ID != m.body.From.ID {
			continue
		}
		var asks []wire.RegisterBody
		var decided wire.View
		c.current, asks, decided = c.current.Take(c.me, back, reply)
		w.post(wire.Accept, asks)
		if decided.Epoch > 0 {
			w.decided[viewName(decided)] = true
		}
	}
}

func explore(t *testing.T, start world, base wire.View, tries, budget int) (points, decisions int) {
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
			if w.candidates[i].tries < tries {
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
	three := []wire.Seat{seat("A"), seat("B"), seat("C")}
	changed := []wire.Seat{seat("A"), seat("B"), seat("D")}
	base := wire.View{Epoch: 1, Primary: seat("A"), Backups: []wire.Seat{seat("B")}, Witnesses: three}
	byA := wire.View{Epoch: 2, Primary: seat("A"), Backups: []wire.Seat{seat("C")}, Witnesses: three}
	byB := wire.View{Epoch: 2, Primary: seat("B"), Backups: []wire.Seat{seat("C")}, Witnesses: three}
	again := wire.View{Epoch: 2, Boot: 2, Primary: seat("A"), Backups: []wire.Seat{seat("B")}, Witnesses: three}
	byNew := wire.View{Epoch: 2, Primary: seat("A"), Backups: []wire.Seat{seat("B")}, Witnesses: changed}
	grown := wire.View{Epoch: 2, Primary: seat("A"), Backups: []wire.Seat{seat("B"), seat("C")}, Witnesses: append(slices.Clone(three), seat("D"))}
	table := []struct {
		name  string
		a, b  wire.View
		one   wire.Seat
		other wire.Seat
	}{
		{"two candidates", byA, byB, seat("A"), seat("B")},
		{"a candidate and its next run, with the same round", byA, again, seat("A"), seat("A")},
		{"one of them exchanges a witness for an empty one", byNew, byB, seat("A"), seat("B")},
		{"one of them adds a witness and a backup", grown, byB, seat("A"), seat("B")},
	}
	for _, row := range table {
		t.Run(row.name, func(t *testing.T) {
			w := world{witnesses: map[string]State{"A": {Known: base}, "B": {Known: base}, "C": {Known: base}, "D": {}}, decided: map[string]bool{}}
			w.candidates = [2]candidate{{me: row.one, run: "1", wanted: row.a}, {me: row.other, run: "2", wanted: row.b}}
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
func TestAnEmptyDiskNeverVotesAsTheOldOne(t *testing.T) {
	base := wire.View{Epoch: 1, Primary: seat("A"), Backups: []wire.Seat{seat("B")}, Witnesses: []wire.Seat{seat("A"), seat("B"), seat("C")}}
	_, asks := Begin(base, wire.View{Epoch: 2, Primary: seat("B")}, seat("B"), "1", wire.Ballot{})
	empty := wire.Seat{ID: "fresh", Address: "C"}
	for _, ask := range asks {
		if _, _, voted := (State{}).Witness(empty, wire.Prepare, ask); voted {
			t.Errorf("an empty disk answered for %s", ask.To)
		}
	}
}

// TestAVoteThatIsForgottenBreaksThePromise shows that the exploration can
// fail: with witnesses that forget what they promised, it must find two views.
func TestAVoteThatIsForgottenBreaksThePromise(t *testing.T) {
	three := []wire.Seat{seat("A"), seat("B"), seat("C")}
	base := wire.View{Epoch: 1, Primary: seat("A"), Backups: []wire.Seat{seat("B")}, Witnesses: three}
	w := world{witnesses: map[string]State{"A": {Known: base}, "B": {Known: base}, "C": {Known: base}}, decided: map[string]bool{}}
	w.candidates = [2]candidate{
		{me: seat("A"), wanted: wire.View{Epoch: 2, Primary: seat("A"), Witnesses: three}},
		{me: seat("B"), wanted: wire.View{Epoch: 2, Primary: seat("B"), Witnesses: three}},
	}
	for i := range w.candidates {
		w.begin(i, base)
		for len(w.inflight) > 0 {
			w.deliver(0, false)
			for id := range w.witnesses {
				w.witnesses[id] = State{Known: base}
			}
		}
	}
	if len(w.decided) != 2 {
		t.Errorf("decided %v, want two views", w.decided)
	}
}

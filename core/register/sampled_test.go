// What is too large to explore in full is sampled: five witnesses of which one or two are
// exchanged, two candidates that try several times, also by a next run, with messages that
// are lost, late or answered to nobody, under a fixed seed.
package register

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"

	"sorrelloom/core/wire"
)

const (
	paths     = 8_000
	pathSteps = 160
	pathTries = 4
)

func seatsOf(ids ...string) []wire.Seat {
	out := make([]wire.Seat, 0, len(ids))
	for _, id := range ids {
		out = append(out, seat(id))
	}
	return out
}

// fiveWitnesses is a point at which two members want different views after the first.
func fiveWitnesses(a, b wire.View) (world, wire.View) {
	five := seatsOf("A", "B", "C", "D", "E")
	base := wire.View{Epoch: 1, Primary: five[0], Backups: five[1:3], Witnesses: five}
	w := world{witnesses: map[string]State{"F": {}, "G": {}}, decided: map[string]bool{}}
	for _, s := range five {
		w.witnesses[s.ID] = State{Known: base}
	}
	w.candidates = [2]candidate{{me: a.Primary, run: "1", wanted: a}, {me: b.Primary, run: "2", wanted: b}}
	return w, base
}

// walk takes one path at random. A witness forgets with the chance given after each step.
func walk(w *world, base wire.View, chance *rand.Rand, forgets float64) {
	for range pathSteps {
		i := chance.IntN(2)
		c := &w.candidates[i]
		switch pick := chance.IntN(20); {
		case c.tries == 0 || pick == 0 && c.tries < pathTries:
			if chance.IntN(2) == 0 && c.tries > 0 {
				// The next run of the candidate knows nothing of its ballots.
				c.run, c.current = fmt.Sprintf("%s+", c.run), Proposal{}
			}
			w.begin(i, base)
		case len(w.inflight) == 0:
			continue
		case pick == 1:
			at := chance.IntN(len(w.inflight))
			w.inflight = slices.Delete(w.inflight, at, at+1)
		case pick == 2:
			w.inflight = append(w.inflight, w.inflight[chance.IntN(len(w.inflight))]) // twice
		default:
			w.deliver(chance.IntN(len(w.inflight)), chance.IntN(8) == 0)
		}
		if forgets > 0 && chance.Float64() < forgets {
			w.witnesses["C"] = State{Known: base}
		}
	}
}

// TestNoEpochIsDecidedTwiceByFive samples paths.
func TestNoEpochIsDecidedTwiceByFive(t *testing.T) {
	five := seatsOf("A", "B", "C", "D", "E")
	one, two := seatsOf("A", "B", "C", "D", "F"), seatsOf("A", "B", "C", "F", "G")
	byA := wire.View{Epoch: 2, Boot: 1, Primary: seat("A"), Backups: seatsOf("C", "D"), Witnesses: five}
	byB := wire.View{Epoch: 2, Boot: 2, Primary: seat("B"), Backups: seatsOf("C", "E"), Witnesses: five}
	exchanged := byA
	exchanged.Witnesses = one
	both := byB
	both.Witnesses = two
	for _, row := range []struct {
		name    string
		a, b    wire.View
		forgets float64
	}{
		{"two candidates", byA, byB, 0},
		{"one exchanges a witness", exchanged, byB, 0},
		{"one exchanges a witness, the other two", exchanged, both, 0},
		{"a witness forgets", byA, byB, 0.2},
	} {
		t.Run(row.name, func(t *testing.T) {
			t.Parallel()
			decided, twice := 0, 0
			for path := range uint64(paths) {
				w, base := fiveWitnesses(row.a, row.b)
				walk(&w, base, rand.New(rand.NewPCG(path, 17)), row.forgets)
				decided += min(len(w.decided), 1)
				if len(w.decided) < 2 {
					continue
				}
				if twice++; row.forgets == 0 {
					t.Fatalf("path %d decided one epoch twice: %v", path, w.decided)
				}
			}
			t.Logf("decided in %d of %d paths, twice in %d", decided, paths, twice)
			if decided < paths/10 {
				t.Errorf("decided in %d of %d paths only", decided, paths)
			}
			if row.forgets > 0 && twice == 0 {
				t.Error("a witness that forgets was not found")
			}
		})
	}
}

// What is too large to explore in full is sampled under fixed seeds: five acceptors of which
// one or two are exchanged, and two candidates that try several times, also in a next
// process, with messages that are lost, late or whose reply is lost.

package paxos

import (
	"math/rand/v2"
	"slices"
	"testing"

	"sorrelloom/core/wire"
)

const (
	sampledPaths    = 8_000
	stepsPerPath    = 160
	attemptsPerPath = 4
)

func membersOf(ids ...string) []wire.Member {
	out := make([]wire.Member, 0, len(ids))
	for _, id := range ids {
		out = append(out, member(id))
	}
	return out
}

// fiveAcceptors is a state in which two members want different views after the first.
func fiveAcceptors(a, b wire.View) (world, wire.View) {
	five := membersOf("A", "B", "C", "D", "E")
	base := wire.View{Epoch: 1, Primary: five[0], Backups: five[1:3], Voters: five}
	w := newWorld(base)
	w.acceptors["F"], w.acceptors["G"] = Acceptor{}, Acceptor{}
	w.candidates = [2]candidate{
		{self: a.Primary, bootID: "1", proposed: a},
		{self: b.Primary, bootID: "2", proposed: b},
	}
	return w, base
}

// walkRandomly takes one path at random. One acceptor forgets its votes with the given
// probability after each step.
func walkRandomly(w *world, base wire.View, random *rand.Rand, forgets float64) {
	for range stepsPerPath {
		i := random.IntN(2)
		c := &w.candidates[i]
		switch pick := random.IntN(20); {
		case c.attempts == 0 || pick == 0 && c.attempts < attemptsPerPath:
			if random.IntN(2) == 0 && c.attempts > 0 {
				// The candidate's next process knows nothing of its ballots.
				c.bootID, c.current = c.bootID+"+", Proposal{}
			}
			w.begin(i, base)
		case len(w.inflight) == 0:
			continue
		case pick == 1:
			at := random.IntN(len(w.inflight))
			w.inflight = slices.Delete(w.inflight, at, at+1)
		case pick == 2:
			w.inflight = append(w.inflight, w.inflight[random.IntN(len(w.inflight))]) // twice
		default:
			w.deliver(random.IntN(len(w.inflight)), random.IntN(8) == 0)
		}
		if forgets > 0 && random.Float64() < forgets {
			w.acceptors["C"] = Acceptor{KnownView: base}
		}
	}
}

// TestNoEpochIsDecidedTwiceByFive samples paths; with an acceptor that forgets, some of them
// must decide an epoch twice.
func TestNoEpochIsDecidedTwiceByFive(t *testing.T) {
	five := membersOf("A", "B", "C", "D", "E")
	one, two := membersOf("A", "B", "C", "D", "F"), membersOf("A", "B", "C", "F", "G")
	byA := wire.View{Epoch: 2, BootID: 1, Primary: member("A"), Backups: membersOf("C", "D"), Voters: five}
	byB := wire.View{Epoch: 2, BootID: 2, Primary: member("B"), Backups: membersOf("C", "E"), Voters: five}
	exchanged := byA
	exchanged.Voters = one
	both := byB
	both.Voters = two
	for _, row := range []struct {
		name    string
		a, b    wire.View
		forgets float64
	}{
		{"two candidates", byA, byB, 0},
		{"one exchanges a voter", exchanged, byB, 0},
		{"one exchanges a voter, the other two", exchanged, both, 0},
		{"an acceptor forgets", byA, byB, 0.2},
	} {
		t.Run(row.name, func(t *testing.T) {
			t.Parallel()
			decided, twice := 0, 0
			for path := range uint64(sampledPaths) {
				w, base := fiveAcceptors(row.a, row.b)
				walkRandomly(&w, base, rand.New(rand.NewPCG(path, 17)), row.forgets)
				decided += min(len(w.decided), 1)
				if len(w.decided) < 2 {
					continue
				}
				if twice++; row.forgets == 0 {
					t.Fatalf("path %d decided one epoch twice: %v", path, w.decided)
				}
			}
			t.Logf("decided in %d of %d paths, twice in %d", decided, sampledPaths, twice)
			if decided < sampledPaths/10 {
				t.Errorf("decided in %d of %d paths only", decided, sampledPaths)
			}
			if row.forgets > 0 && twice == 0 {
				t.Error("an acceptor that forgets was not found")
			}
		})
	}
}

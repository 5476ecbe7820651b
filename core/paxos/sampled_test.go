// Cases that are too large for exhaustive exploration are sampled under fixed seeds: five
// acceptors, one or two of which are replaced, and two candidates that make several attempts,
// also after a restart, while messages are lost, duplicated or delayed and replies are lost.

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

// fiveAcceptors returns a state with five voters in which two members propose different
// next views.
func fiveAcceptors(a, b wire.View) (modelState, wire.View) {
	five := membersOf("A", "B", "C", "D", "E")
	base := wire.View{Epoch: 1, Primary: five[0], Backups: five[1:3], Voters: five}
	s := newModelState(base)
	s.acceptors["F"], s.acceptors["G"] = Acceptor{}, Acceptor{}
	s.candidates = [2]candidate{
		{self: a.Primary, bootID: "1", proposed: a},
		{self: b.Primary, bootID: "2", proposed: b},
	}
	return s, base
}

// walkRandomly takes one random path. After each step acceptor C loses its votes with
// probability forgetProbability.
func walkRandomly(s *modelState, base wire.View, random *rand.Rand, forgetProbability float64) {
	for range stepsPerPath {
		i := random.IntN(2)
		c := &s.candidates[i]
		switch pick := random.IntN(20); {
		case c.attempts == 0 || pick == 0 && c.attempts < attemptsPerPath:
			if random.IntN(2) == 0 && c.attempts > 0 {
				// After a restart the candidate does not know its earlier ballots.
				c.bootID, c.current = c.bootID+"+", Proposal{}
			}
			s.begin(i, base)
		case len(s.inflight) == 0:
			continue
		case pick == 1:
			at := random.IntN(len(s.inflight))
			s.inflight = slices.Delete(s.inflight, at, at+1)
		case pick == 2:
			s.inflight = append(s.inflight, s.inflight[random.IntN(len(s.inflight))]) // duplicate
		default:
			s.deliver(random.IntN(len(s.inflight)), random.IntN(8) == 0)
		}
		if forgetProbability > 0 && random.Float64() < forgetProbability {
			s.acceptors["C"] = Acceptor{KnownView: base}
		}
	}
}

// TestNoEpochIsDecidedTwiceWithFiveAcceptors samples random paths. With an acceptor that
// loses its votes, some paths must decide the epoch with two views.
func TestNoEpochIsDecidedTwiceWithFiveAcceptors(t *testing.T) {
	five := membersOf("A", "B", "C", "D", "E")
	replacedOne, replacedTwo := membersOf("A", "B", "C", "D", "F"), membersOf("A", "B", "C", "F", "G")
	byA := wire.View{Epoch: 2, BootID: 1, Primary: member("A"), Backups: membersOf("C", "D"), Voters: five}
	byB := wire.View{Epoch: 2, BootID: 2, Primary: member("B"), Backups: membersOf("C", "E"), Voters: five}
	byAReplacingOne := byA
	byAReplacingOne.Voters = replacedOne
	byBReplacingTwo := byB
	byBReplacingTwo.Voters = replacedTwo
	for _, row := range []struct {
		name              string
		a, b              wire.View
		forgetProbability float64
	}{
		{"two candidates", byA, byB, 0},
		{"one candidate replaces a voter", byAReplacingOne, byB, 0},
		{"one candidate replaces a voter, the other two voters", byAReplacingOne, byBReplacingTwo, 0},
		{"an acceptor loses its votes", byA, byB, 0.2},
	} {
		t.Run(row.name, func(t *testing.T) {
			t.Parallel()
			decided, twice := 0, 0
			for path := range uint64(sampledPaths) {
				s, base := fiveAcceptors(row.a, row.b)
				walkRandomly(&s, base, rand.New(rand.NewPCG(path, 17)), row.forgetProbability)
				decided += min(len(s.decided), 1)
				if len(s.decided) < 2 {
					continue
				}
				if twice++; row.forgetProbability == 0 {
					t.Fatalf("path %d decided the epoch with two views: %v", path, s.decided)
				}
			}
			t.Logf("decided in %d of %d paths, with two views in %d", decided, sampledPaths, twice)
			if decided < sampledPaths/10 {
				t.Errorf("decided in only %d of %d paths", decided, sampledPaths)
			}
			if row.forgetProbability > 0 && twice == 0 {
				t.Error("no path with an acceptor that loses its votes decided two views")
			}
		})
	}
}

// Calm and reduced reports: which are calm, and that the ledger stands after a
// reduced report or a renewal as it would after the whole report.

package state_test

import (
	"fmt"
	"math/rand/v2"
	"reflect"
	"slices"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"sorrelloom/core/state"
	"sorrelloom/core/statetest"
)

func room(slots int) state.Resources { return state.Resources{Slots: slots, Cores: 64} }

func reportOf(number uint64, running ...state.Attempt) state.Heartbeat {
	return state.Heartbeat{Worker: "w", Incarnation: 1, Number: number, Zone: "a", Service: "tickets", Labels: []string{"ssd"},
		Free: room(8), Total: room(8), Running: running}
}

func TestReportsThatChangeNothingAreCalm(t *testing.T) {
	first, second := state.Attempt{Job: "j", Task: "a", Number: 1}, state.Attempt{Job: "j", Task: "b", Number: 1}
	table := []struct {
		name   string
		change func(*state.Heartbeat)
		calm   bool
	}{
		{"nothing", func(*state.Heartbeat) {}, true},
		{"the time it leaves in", func(b *state.Heartbeat) { b.LeavesIn = 0 }, true},
		{"a run has ended", func(b *state.Heartbeat) { b.Ended = []state.AttemptResult{{Attempt: first, Succeeded: true}} }, false},
		{"a run is not listed", func(b *state.Heartbeat) { b.Running = nil }, false},
		{"a granted run is listed", func(b *state.Heartbeat) { b.Running = append(b.Running, second) }, false},
		{"a granted run is not listed by the second report", func(b *state.Heartbeat) { b.Number++ }, false},
		{"an unknown run", func(b *state.Heartbeat) {
			b.Running = append(b.Running, state.Attempt{Job: "other", Task: "a", Number: 1})
		}, false},
		{"an older try", func(b *state.Heartbeat) { b.Running[0].Number = 9 }, false},
		{"room", func(b *state.Heartbeat) { b.Free.Slots-- }, false},
		{"total room", func(b *state.Heartbeat) { b.Total.Slots-- }, false},
		{"no total room", func(b *state.Heartbeat) { b.Total = state.Resources{} }, false},
		{"it leaves", func(b *state.Heartbeat) { b.Leaving = true }, false},
		{"progress", func(b *state.Heartbeat) { b.Progress = []state.Progress{{Attempt: first, Checkpoint: "x"}} }, false},
		{"site", func(b *state.Heartbeat) { b.Zone = "b" }, false},
		{"rack", func(b *state.Heartbeat) { b.Rack = "r" }, false},
		{"address", func(b *state.Heartbeat) { b.Address = "x" }, false},
		{"service", func(b *state.Heartbeat) { b.Service = "podcasts" }, false},
		{"labels", func(b *state.Heartbeat) { b.Labels = nil }, false},
		{"incarnation", func(b *state.Heartbeat) { b.Incarnation++ }, false},
		{"an earlier number", func(b *state.Heartbeat) { b.Number = 1 }, false},
		{"another worker", func(b *state.Heartbeat) { b.Worker = "v" }, false},
	}
	for _, row := range table {
		t.Run(row.name, func(t *testing.T) {
			w := statetest.New(t)
			w.MustApply(state.Command{Kind: state.KindHeartbeat, Heartbeat: reportOf(1)})
			w.AcceptJob("j", "quick", "a", "b")
			w.Grant("j/a@w")
			w.MustApply(state.Command{Kind: state.KindHeartbeat, Heartbeat: reportOf(2, first)})
			w.Grant("j/b@w")
			b := reportOf(3, first)
			row.change(&b)
			reduced, changes := w.Store.ReduceHeartbeat(b)
			if changes == row.calm {
				t.Errorf("changes is %v", changes)
			}
			if reduced.Delta && slices.Contains(reduced.Running, first) {
				t.Error("a reduced report lists a run that the ledger has")
			}
		})
	}
}

// TestMoreFreeRoomIsAChangeWhereItMakesADifference has a worker of 8 slots that
// runs one task say how much is free.
func TestMoreFreeRoomIsAChangeWhereItMakesADifference(t *testing.T) {
	for _, row := range []struct {
		name       string
		was, is    int
		wasUnheard bool
		changes    bool
	}{
		{"as before", 7, 7, false, false},
		{"less", 7, 6, false, true},
		{"less, and still more than its turns leave", 9, 8, false, true},
		{"more, where its turns leave no more", 7, 8, false, false},
		{"more, up to what its turns leave", 5, 6, false, true},
		{"more, where a turn that it had not listed takes it", 6, 7, true, true},
	} {
		t.Run(row.name, func(t *testing.T) {
			w := statetest.New(t)
			w.MustApply(state.Command{Kind: state.KindHeartbeat, Heartbeat: reportOf(1)})
			w.AcceptJob("j", "quick", "a", "b")
			w.Grant("j/a@w")
			running := state.Attempt{Job: "j", Task: "a", Number: 1}
			b := reportOf(2, running)
			b.Free = room(row.was)
			w.MustApply(state.Command{Kind: state.KindHeartbeat, Heartbeat: b})
			if row.wasUnheard {
				w.Grant("j/b@w")
			}
			b.Number, b.Free = 3, room(row.is)
			if _, changes := w.Store.ReduceHeartbeat(b); changes != row.changes {
				t.Errorf("changes is %v", changes)
			}
		})
	}
}

// TestAStrayThatEndsIsAChange has a worker list, and then no more, what it has no turn for.
func TestAStrayThatEndsIsAChange(t *testing.T) {
	w := statetest.New(t)
	w.MustApply(state.Command{Kind: state.KindHeartbeat, Heartbeat: reportOf(1)})
	w.AcceptJob("g", "batch", "x[g]")
	stray := state.Attempt{Job: "g", Task: "x", Number: 1}
	w.MustApply(state.Command{Kind: state.KindHeartbeat, Heartbeat: reportOf(2, stray)})
	if _, changes := w.Store.ReduceHeartbeat(reportOf(3)); !changes {
		t.Error("a stray that has ended is no change")
	}
}

// TestAReducedReportDoesAsTheWholeOne plays random reports, grants, cancels and
// ticks on two ledgers: one takes whole reports, the other reduced ones, and
// renewals in place of calm ones.
func TestAReducedReportDoesAsTheWholeOne(t *testing.T) {
	calm, reduced := 0, 0
	for seed := range uint64(30) {
		whole, brief := statetest.New(t), statetest.New(t)
		chance := rand.New(rand.NewPCG(seed, 1))
		var attempts []state.Attempt
		numbers := map[string]uint64{}
		both := func(cmd state.Command) {
			if a, b := whole.Apply(cmd), brief.Apply(cmd); a.Code != b.Code {
				t.Fatalf("seed %d: %s is answered %s and %s", seed, cmd.Kind, a.Code, b.Code)
			}
		}
		for step := range 80 {
			worker := fmt.Sprintf("w%d", chance.IntN(2))
			switch chance.IntN(9) {
			case 0:
				both(state.Command{
					Kind: state.KindAcceptJob,
					Job:  statetest.JobSpec(fmt.Sprintf("j%d", step), "quick", "a", "b<a", "x[g]", "y[g]"),
				})
			case 1, 2:
				job, task := fmt.Sprintf("j%d", chance.IntN(step+1)), []string{"a", "b"}[chance.IntN(2)]
				grant := state.Grant{Leadership: statetest.Leadership, Epoch: 1, Assignments: []state.Assignment{
					{Job: job, Task: task, Worker: worker, HeartbeatNumber: numbers[worker]},
				}}
				both(state.Command{Kind: state.KindGrantLeases, Grant: grant})
				attempts = append(attempts, state.Attempt{Job: job, Task: task, Number: 1 + chance.IntN(2)})
			case 3:
				whole.Now += time.Duration(chance.IntN(3)) * 700 * time.Millisecond
				brief.Now = whole.Now
				both(state.Command{Kind: state.KindTick})
			case 4:
				if chance.IntN(4) == 0 {
					both(state.Command{Kind: state.KindCancelJob, Name: fmt.Sprintf("j%d", chance.IntN(step+1))})
				}
			default:
				numbers[worker]++
				b := state.Heartbeat{
					Worker: worker, Incarnation: 1, Number: numbers[worker], Zone: "a", Service: "tickets",
					Free: room(8), Total: room(8),
				}
				for _, turn := range whole.Store.LeasesOn(worker) {
					if chance.IntN(8) > 0 {
						b.Running = append(b.Running, turn.Attempt)
					}
				}
				if len(attempts) > 0 && chance.IntN(6) == 0 {
					b.Running = append(b.Running, attempts[chance.IntN(len(attempts))])
				}
				if len(attempts) > 0 && chance.IntN(4) == 0 {
					b.Ended = []state.AttemptResult{{Attempt: attempts[chance.IntN(len(attempts))], Succeeded: chance.IntN(2) == 0}}
				}
				cmd := state.Command{Kind: state.KindHeartbeat, Heartbeat: b}
				var changes bool
				if cmd.Heartbeat, changes = brief.Store.ReduceHeartbeat(b); !changes {
					calm++
					cmd = state.Command{Kind: state.KindRenewWorkers, Renewals: []state.Renewal{
						{Worker: worker, Incarnation: 1, Number: b.Number},
					}}
				} else if cmd.Heartbeat.Delta {
					reduced++
				}
				want, got := whole.Apply(state.Command{Kind: state.KindHeartbeat, Heartbeat: b}), brief.Apply(cmd)
				if diff := cmp.Diff(want.Heartbeat.Acks, got.Heartbeat.Acks); changes && diff != "" {
					t.Fatalf("seed %d step %d: acks %s", seed, step, diff)
				}
			}
			if step%10 == 0 {
				same(t, whole.Store)
			}
			if want, got := whole.Store.Records(), brief.Store.Records(); !reflect.DeepEqual(want, got) {
				t.Fatalf("seed %d step %d: %s", seed, step, cmp.Diff(want, got))
			}
		}
		same(t, brief.Store)
	}
	if calm < 200 || reduced < 200 {
		t.Errorf("only %d calm and %d reduced reports were played", calm, reduced)
	}
}

func TestARenewalExtendsLeases(t *testing.T) {
	w := statetest.New(t)
	w.MustApply(state.Command{Kind: state.KindHeartbeat, Heartbeat: reportOf(1)})
	before, _ := w.Store.Worker("w")
	w.Advance(2 * time.Second)
	renewals := []state.Renewal{
		{Worker: "w", Incarnation: 1, Number: 5, Age: 300 * time.Millisecond},
		{Worker: "unknown", Incarnation: 1, Number: 1},
	}
	w.MustApply(state.Command{Kind: state.KindRenewWorkers, Renewals: renewals})
	after, _ := w.Store.Worker("w")
	if after.LastSeenAt != w.Now-300*time.Millisecond || after.LeaseExpiresAt != after.LastSeenAt+6*time.Second || after.Number != 5 {
		t.Errorf("was %+v, is %+v at %s", before, after, w.Now)
	}
	if _, known := w.Store.Worker("unknown"); known {
		t.Error("a renewal made a worker")
	}
	w.MustApply(state.Command{Kind: state.KindRenewWorkers, Renewals: []state.Renewal{
		{Worker: "w", Incarnation: 1, Number: 4, Age: 4 * time.Second},
	}})
	if again, _ := w.Store.Worker("w"); again.LastSeenAt != after.LastSeenAt || again.LeaseExpiresAt != after.LeaseExpiresAt ||
		again.Number != 5 {
		t.Errorf("a renewal that is late took back %+v to %+v", after, again)
	}
	same(t, w.Store)
}

// TestALeaseIsLoadedFromASnapshot loads the records of each state that a lease goes
// through, and finds no record of a worker that is forgotten.
func TestALeaseIsLoadedFromASnapshot(t *testing.T) {
	w := statetest.New(t)
	w.MustApply(state.Command{Kind: state.KindHeartbeat, Heartbeat: reportOf(1)})
	same(t, w.Store)
	w.MustApply(state.Command{Kind: state.KindRenewWorkers, Renewals: []state.Renewal{{Worker: "w", Incarnation: 1, Number: 7}}})
	same(t, w.Store)
	w.Advance(time.Second)
	w.MustApply(state.Command{Kind: state.KindHeartbeat, Heartbeat: reportOf(8)})
	same(t, w.Store)
	w.AcceptJob("j", "quick", "a")
	grant := state.Grant{Leadership: statetest.Leadership, Epoch: 1, Assignments: []state.Assignment{
		{Job: "j", Task: "a", Worker: "w", HeartbeatNumber: 12},
	}}
	w.MustApply(state.Command{Kind: state.KindGrantLeases, Grant: grant})
	if turn := w.Store.LeasesOn("w")[0].Lease; turn.HeartbeatNumber != 12 {
		t.Errorf("the turn was granted on report %d", turn.HeartbeatNumber)
	}
	same(t, w.Store)
	again := reportOf(1)
	again.Incarnation = 2
	w.MustApply(state.Command{Kind: state.KindHeartbeat, Heartbeat: again})
	same(t, w.Store)
	w.Advance(time.Hour)
	w.MustApply(state.Command{Kind: state.KindTick})
	same(t, w.Store)
	for _, r := range w.Store.Records() {
		if r.Bucket == "worker" {
			t.Errorf("the record of a forgotten worker is kept: %s", r.Key)
		}
	}
}

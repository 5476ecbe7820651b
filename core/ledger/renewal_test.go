// Calm and reduced reports: which are calm, and that the ledger stands after a
// reduced report or a renewal as it would after the whole report.
package ledger_test

import (
	"fmt"
	"math/rand/v2"
	"reflect"
	"slices"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"sorrelloom/core/ledger"
	"sorrelloom/core/ledgertest"
)

func room(slots int) ledger.Room { return ledger.Room{Slots: slots, Cores: 64} }

func reportOf(number uint64, running ...ledger.Attempt) ledger.Beat {
	return ledger.Beat{Worker: "w", Incarnation: 1, Number: number, Site: "a", Service: "tickets", Labels: []string{"ssd"},
		Free: room(8), Total: room(8), Running: running}
}

func TestReportsThatChangeNothingAreCalm(t *testing.T) {
	first, second := ledger.Attempt{Job: "j", Task: "a", Try: 1}, ledger.Attempt{Job: "j", Task: "b", Try: 1}
	table := []struct {
		name   string
		change func(*ledger.Beat)
		calm   bool
	}{
		{"nothing", func(*ledger.Beat) {}, true},
		{"the time it leaves in", func(b *ledger.Beat) { b.LeavesIn = 0 }, true},
		{"a run has ended", func(b *ledger.Beat) { b.Ended = []ledger.End{{Attempt: first, Good: true}} }, false},
		{"a run is not listed", func(b *ledger.Beat) { b.Running = nil }, false},
		{"a granted run is listed", func(b *ledger.Beat) { b.Running = append(b.Running, second) }, false},
		{"a granted run is not listed by the second report", func(b *ledger.Beat) { b.Number++ }, false},
		{"an unknown run", func(b *ledger.Beat) {
			b.Running = append(b.Running, ledger.Attempt{Job: "other", Task: "a", Try: 1})
		}, false},
		{"an older try", func(b *ledger.Beat) { b.Running[0].Try = 9 }, false},
		{"room", func(b *ledger.Beat) { b.Free.Slots-- }, false},
		{"total room", func(b *ledger.Beat) { b.Total.Slots-- }, false},
		{"no total room", func(b *ledger.Beat) { b.Total = ledger.Room{} }, false},
		{"it leaves", func(b *ledger.Beat) { b.Leaving = true }, false},
		{"progress", func(b *ledger.Beat) { b.Progress = []ledger.Progress{{Attempt: first, Saved: "x"}} }, false},
		{"site", func(b *ledger.Beat) { b.Site = "b" }, false},
		{"rack", func(b *ledger.Beat) { b.Rack = "r" }, false},
		{"address", func(b *ledger.Beat) { b.Address = "x" }, false},
		{"service", func(b *ledger.Beat) { b.Service = "podcasts" }, false},
		{"labels", func(b *ledger.Beat) { b.Labels = nil }, false},
		{"incarnation", func(b *ledger.Beat) { b.Incarnation++ }, false},
		{"an earlier number", func(b *ledger.Beat) { b.Number = 1 }, false},
		{"another worker", func(b *ledger.Beat) { b.Worker = "v" }, false},
	}
	for _, row := range table {
		t.Run(row.name, func(t *testing.T) {
			w := ledgertest.New(t)
			w.Must(ledger.Command{Kind: ledger.KindBeat, Beat: reportOf(1)})
			w.Job("j", "quick", "a", "b")
			w.Grant("j/a@w")
			w.Must(ledger.Command{Kind: ledger.KindBeat, Beat: reportOf(2, first)})
			w.Grant("j/b@w")
			b := reportOf(3, first)
			row.change(&b)
			reduced, changes := w.Ledger.Reduce(b)
			if changes == row.calm {
				t.Errorf("changes is %v", changes)
			}
			if reduced.Reduced && slices.Contains(reduced.Running, first) {
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
			w := ledgertest.New(t)
			w.Must(ledger.Command{Kind: ledger.KindBeat, Beat: reportOf(1)})
			w.Job("j", "quick", "a", "b")
			w.Grant("j/a@w")
			running := ledger.Attempt{Job: "j", Task: "a", Try: 1}
			b := reportOf(2, running)
			b.Free = room(row.was)
			w.Must(ledger.Command{Kind: ledger.KindBeat, Beat: b})
			if row.wasUnheard {
				w.Grant("j/b@w")
			}
			b.Number, b.Free = 3, room(row.is)
			if _, changes := w.Ledger.Reduce(b); changes != row.changes {
				t.Errorf("changes is %v", changes)
			}
		})
	}
}

// TestAStrayThatEndsIsAChange has a worker list, and then no more, what it has no turn for.
func TestAStrayThatEndsIsAChange(t *testing.T) {
	w := ledgertest.New(t)
	w.Must(ledger.Command{Kind: ledger.KindBeat, Beat: reportOf(1)})
	w.Job("g", "batch", "x[g]")
	stray := ledger.Attempt{Job: "g", Task: "x", Try: 1}
	w.Must(ledger.Command{Kind: ledger.KindBeat, Beat: reportOf(2, stray)})
	if _, changes := w.Ledger.Reduce(reportOf(3)); !changes {
		t.Error("a stray that has ended is no change")
	}
}

// TestAReducedReportDoesAsTheWholeOne plays random reports, grants, cancels and
// ticks on two ledgers: one takes whole reports, the other reduced ones, and
// renewals in place of calm ones.
func TestAReducedReportDoesAsTheWholeOne(t *testing.T) {
	calm, reduced := 0, 0
	for seed := range uint64(30) {
		whole, brief := ledgertest.New(t), ledgertest.New(t)
		chance := rand.New(rand.NewPCG(seed, 1))
		var attempts []ledger.Attempt
		numbers := map[string]uint64{}
		both := func(cmd ledger.Command) {
			if a, b := whole.Do(cmd), brief.Do(cmd); a.Code != b.Code {
				t.Fatalf("seed %d: %s is answered %s and %s", seed, cmd.Kind, a.Code, b.Code)
			}
		}
		for step := range 80 {
			worker := fmt.Sprintf("w%d", chance.IntN(2))
			switch chance.IntN(9) {
			case 0:
				both(ledger.Command{
					Kind:   ledger.KindAccept,
					Accept: ledgertest.Spec(fmt.Sprintf("j%d", step), "quick", "a", "b<a", "x[g]", "y[g]"),
				})
			case 1, 2:
				job, task := fmt.Sprintf("j%d", chance.IntN(step+1)), []string{"a", "b"}[chance.IntN(2)]
				grant := ledger.Grant{Duty: ledgertest.Duty, Epoch: 1, Picks: []ledger.Pick{
					{Job: job, Task: task, Worker: worker, Beat: numbers[worker]},
				}}
				both(ledger.Command{Kind: ledger.KindGrant, Grant: grant})
				attempts = append(attempts, ledger.Attempt{Job: job, Task: task, Try: 1 + chance.IntN(2)})
			case 3:
				whole.At += time.Duration(chance.IntN(3)) * 700 * time.Millisecond
				brief.At = whole.At
				both(ledger.Command{Kind: ledger.KindTick})
			case 4:
				if chance.IntN(4) == 0 {
					both(ledger.Command{Kind: ledger.KindCancel, Name: fmt.Sprintf("j%d", chance.IntN(step+1))})
				}
			default:
				numbers[worker]++
				b := ledger.Beat{
					Worker: worker, Incarnation: 1, Number: numbers[worker], Site: "a", Service: "tickets",
					Free: room(8), Total: room(8),
				}
				for _, turn := range whole.Ledger.TurnsOn(worker) {
					if chance.IntN(8) > 0 {
						b.Running = append(b.Running, turn.Attempt)
					}
				}
				if len(attempts) > 0 && chance.IntN(6) == 0 {
					b.Running = append(b.Running, attempts[chance.IntN(len(attempts))])
				}
				if len(attempts) > 0 && chance.IntN(4) == 0 {
					b.Ended = []ledger.End{{Attempt: attempts[chance.IntN(len(attempts))], Good: chance.IntN(2) == 0}}
				}
				cmd := ledger.Command{Kind: ledger.KindBeat, Beat: b}
				var changes bool
				if cmd.Beat, changes = brief.Ledger.Reduce(b); !changes {
					calm++
					cmd = ledger.Command{Kind: ledger.KindRenew, Renew: []ledger.Renewal{
						{Worker: worker, Incarnation: 1, Number: b.Number},
					}}
				} else if cmd.Beat.Reduced {
					reduced++
				}
				want, got := whole.Do(ledger.Command{Kind: ledger.KindBeat, Beat: b}), brief.Do(cmd)
				if diff := cmp.Diff(want.Orders.Acks, got.Orders.Acks); changes && diff != "" {
					t.Fatalf("seed %d step %d: acks %s", seed, step, diff)
				}
			}
			if step%10 == 0 {
				same(t, whole.Ledger)
			}
			if want, got := whole.Ledger.Records(), brief.Ledger.Records(); !reflect.DeepEqual(want, got) {
				t.Fatalf("seed %d step %d: %s", seed, step, cmp.Diff(want, got))
			}
		}
		same(t, brief.Ledger)
	}
	if calm < 200 || reduced < 200 {
		t.Errorf("only %d calm and %d reduced reports were played", calm, reduced)
	}
}

func TestARenewalExtendsLeases(t *testing.T) {
	w := ledgertest.New(t)
	w.Must(ledger.Command{Kind: ledger.KindBeat, Beat: reportOf(1)})
	before, _ := w.Ledger.Worker("w")
	w.Pass(2 * time.Second)
	renewals := []ledger.Renewal{
		{Worker: "w", Incarnation: 1, Number: 5, Ago: 300 * time.Millisecond},
		{Worker: "unknown", Incarnation: 1, Number: 1},
	}
	w.Must(ledger.Command{Kind: ledger.KindRenew, Renew: renewals})
	after, _ := w.Ledger.Worker("w")
	if after.SeenAt != w.At-300*time.Millisecond || after.CutoffAt != after.SeenAt+6*time.Second || after.Number != 5 {
		t.Errorf("was %+v, is %+v at %s", before, after, w.At)
	}
	if _, known := w.Ledger.Worker("unknown"); known {
		t.Error("a renewal made a worker")
	}
	w.Must(ledger.Command{Kind: ledger.KindRenew, Renew: []ledger.Renewal{
		{Worker: "w", Incarnation: 1, Number: 4, Ago: 4 * time.Second},
	}})
	if again, _ := w.Ledger.Worker("w"); again.SeenAt != after.SeenAt || again.CutoffAt != after.CutoffAt ||
		again.Number != 5 {
		t.Errorf("a renewal that is late took back %+v to %+v", after, again)
	}
	same(t, w.Ledger)
}

// TestALeaseIsLoadedFromASnapshot loads the records of each state that a lease goes
// through, and finds no record of a worker that is forgotten.
func TestALeaseIsLoadedFromASnapshot(t *testing.T) {
	w := ledgertest.New(t)
	w.Must(ledger.Command{Kind: ledger.KindBeat, Beat: reportOf(1)})
	same(t, w.Ledger)
	w.Must(ledger.Command{Kind: ledger.KindRenew, Renew: []ledger.Renewal{{Worker: "w", Incarnation: 1, Number: 7}}})
	same(t, w.Ledger)
	w.Pass(time.Second)
	w.Must(ledger.Command{Kind: ledger.KindBeat, Beat: reportOf(8)})
	same(t, w.Ledger)
	w.Job("j", "quick", "a")
	grant := ledger.Grant{Duty: ledgertest.Duty, Epoch: 1, Picks: []ledger.Pick{
		{Job: "j", Task: "a", Worker: "w", Beat: 12},
	}}
	w.Must(ledger.Command{Kind: ledger.KindGrant, Grant: grant})
	if turn := w.Ledger.TurnsOn("w")[0].Turn; turn.Beat != 12 {
		t.Errorf("the turn was granted on report %d", turn.Beat)
	}
	same(t, w.Ledger)
	again := reportOf(1)
	again.Incarnation = 2
	w.Must(ledger.Command{Kind: ledger.KindBeat, Beat: again})
	same(t, w.Ledger)
	w.Pass(time.Hour)
	w.Must(ledger.Command{Kind: ledger.KindTick})
	same(t, w.Ledger)
	for _, r := range w.Ledger.Records() {
		if r.Bucket == "worker" {
			t.Errorf("the record of a forgotten worker is kept: %s", r.Key)
		}
	}
}

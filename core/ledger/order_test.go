// Orders that come late, more than once, or at the wrong moment.
package ledger_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"sorrelloom/core/code"
	"sorrelloom/core/ledger"
	"sorrelloom/core/ledgertest"
)

const orderAge = 10 * time.Second

// order asks to empty site a, or takes that back, with what a leader proves now.
func order(w *ledgertest.World, token string, on bool) ledger.Command {
	return ledger.Command{
		Kind: ledger.KindSite, Name: "a", On: on, Token: token,
		Asked: w.Ledger.At(), MaxAge: orderAge, Proven: w.Ledger.Position().Sequence,
	}
}

func emptied(w *ledgertest.World) bool { return slices.Contains(w.Ledger.Emptied(), "a") }

// restart has the next primary load the ledger from its records.
func restart(t *testing.T, w *ledgertest.World) {
	t.Helper()
	next, err := ledger.Load(w.Ledger.Records())
	if err != nil {
		t.Fatal(err)
	}
	w.Ledger = next
}

// TestADelayedOrderUndoesNothing: a copy is held back, a later order is
// acknowledged, and then the copy comes.
func TestADelayedOrderUndoesNothing(t *testing.T) {
	table := []struct {
		name  string
		on    bool
		later []bool
		wait  time.Duration
		want  code.Code
	}{
		{"at once", true, nil, 0, code.OK},
		{"after the contrary", true, []bool{false}, 0, code.TooLate},
		{"taken back after the contrary", false, []bool{true}, 0, code.TooLate},
		{"after the contrary and the same again", true, []bool{false, true}, 0, code.Same},
		{"after the same", true, []bool{true}, 0, code.Same},
		{"just in time", true, nil, orderAge - 100*time.Millisecond, code.OK},
		{"too old", true, nil, orderAge + time.Second, code.TooLate},
		{"too old after the contrary", true, []bool{false}, orderAge + time.Second, code.TooLate},
	}
	for _, row := range table {
		for _, restarted := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s, restarted %v", row.name, restarted), func(t *testing.T) {
				w := ledgertest.New(t)
				w.Worker("w1", 4)
				w.Worker("w2", 4)
				w.Must(order(w, "before", !row.on))
				held := order(w, "held", row.on)
				for i, on := range row.later {
					w.Must(order(w, fmt.Sprint("later", i), on))
				}
				if restarted {
					restart(t, w)
				}
				w.At += row.wait
				before := emptied(w)
				a := w.Do(held)
				if a.Code != row.want {
					t.Fatalf("%v: %s", a.Code, a.Why)
				}
				if now := emptied(w); !a.Code.Good() && now != before || a.Code.Good() && now != row.on {
					t.Errorf("emptied: %v, before %v", now, before)
				}
				// Whoever asks now is served, whatever came late.
				w.Must(order(w, "next", !row.on))
				if emptied(w) == row.on {
					t.Error("the next order is not carried out")
				}
				same(t, w.Ledger)
			})
		}
	}
}

// TestAnOrderSentAgainIsAcknowledgedAgain: its answer was lost. The same command is
// known by its token, and the operator's next call is a new order to the same effect.
func TestAnOrderSentAgainIsAcknowledgedAgain(t *testing.T) {
	w := ledgertest.New(t)
	w.Worker("w1", 4)
	first := order(w, "first", true)
	w.Must(first)
	if a := w.Do(first); a.Code != code.Same {
		t.Errorf("the copy: %v", a.Code)
	}
	w.Must(order(w, "second", true))
	w.At += time.Minute
	if a := w.Do(first); a.Code != code.Same || !emptied(w) {
		t.Errorf("a copy after a minute: %v", a.Code)
	}
}

// TestARefusalThatPassesIsNotRemembered: a no that is true for a moment is looked at
// anew, one that stands is said again.
func TestARefusalThatPassesIsNotRemembered(t *testing.T) {
	w := &ledgertest.World{T: t, Ledger: ledger.New(), At: time.Second}
	empty := ledger.Command{Kind: ledger.KindSite, Name: "north", On: true, Token: "empty"}
	if a := w.Do(empty); a.Code != code.NoPlan {
		t.Fatalf("without a plan: %v", a.Code)
	}
	body := []byte(`{"sites":["north"],"services":{"s":{"classes":{"c":{"priority":1,"share":100}}}}}`)
	w.Must(ledger.Command{Kind: ledger.KindPlan, Plan: ledger.PlanChange{Body: body}})
	if a := w.Do(empty); a.Code != code.OK {
		t.Errorf("with a plan: %v %s", a.Code, a.Why)
	}
	stale := ledger.Command{Kind: ledger.KindPlan, Token: "stale", Plan: ledger.PlanChange{Base: 9, Body: body}}
	for range 2 {
		if a := w.Do(stale); a.Code != code.StalePlan {
			t.Errorf("on another base: %v", a.Code)
		}
	}
}

// replace is a whole plan that came through a process that follows no ledger.
func replace(base uint64, token, digest, keep string) ledger.Command {
	body := fmt.Appendf(nil, `{"services":{"s":{"classes":{"c":{"priority":1,"share":100}}}},"limits":{"keep":%q}}`, keep)
	return ledger.Command{
		Kind: ledger.KindPlan, Token: token, Digest: digest, Asked: ledger.AskedUnknown,
		Plan: ledger.PlanChange{Base: base, Sequence: base + 3, Body: body},
	}
}

// TestAPlanIsAcknowledgedAgainAllDay: hundreds of changes later, after hours and by
// another primary, each plan that was taken is acknowledged, and none is taken twice.
func TestAPlanIsAcknowledgedAgainAllDay(t *testing.T) {
	const changes = 500
	w := ledgertest.New(t)
	w.CheckEach = 256
	var taken []ledger.Command
	for range changes {
		base := w.Ledger.Plan().Sequence
		token := fmt.Sprint("plan", base)
		c := replace(base, token, token, fmt.Sprintf("%dm", 10+base))
		w.Must(c)
		if a := w.Do(replace(base, "rival", "rival", "1h")); a.Code != code.StalePlan {
			t.Fatalf("another one on %d: %v", base, a.Code)
		}
		taken = append(taken, c)
		w.At += 30 * time.Second
		w.Do(ledger.Command{Kind: ledger.KindTick})
	}
	restart(t, w)
	newest := w.Ledger.Plan().Sequence
	for _, c := range taken {
		if a := w.Do(c); a.Code != code.Same || w.Ledger.Plan().Sequence != newest {
			t.Fatalf("%s: %v %s", c.Token, a.Code, a.Why)
		}
		if a := w.Ledger.Read(ledger.Command{Kind: ledger.KindReadRequest, Name: c.Token}); !a.Code.Good() {
			t.Fatalf("asked for %s: %v", c.Token, a.Code)
		}
	}
	same(t, w.Ledger)
}

// TestPlansAreRememberedUpToANumber, the oldest going first, also from the disk.
func TestPlansAreRememberedUpToANumber(t *testing.T) {
	w := ledgertest.New(t)
	w.CheckEach = 256
	for i := range ledger.PlansMax + 10 {
		token := fmt.Sprint("plan", i)
		w.Must(replace(w.Ledger.Plan().Sequence, token, token, "10m"))
	}
	w.Do(ledger.Command{Kind: ledger.KindTick})
	restart(t, w)
	known := func(i int) bool {
		return w.Ledger.Read(ledger.Command{Kind: ledger.KindReadRequest, Name: fmt.Sprint("plan", i)}).Code.Good()
	}
	if known(0) || known(9) || !known(10) || !known(ledger.PlansMax+9) {
		t.Errorf("known: %v %v %v %v", known(0), known(9), known(10), known(ledger.PlansMax+9))
	}
}

// TestARepeatIsKnownByWhatWasSent: processes whose settings differ make two plans of
// one call. It is one request all the same; another call with its token is not.
func TestARepeatIsKnownByWhatWasSent(t *testing.T) {
	w := ledgertest.New(t)
	base := w.Ledger.Plan().Sequence
	w.Must(replace(base, "token", "call", "10m"))
	if a := w.Do(replace(base, "token", "call", "20m")); a.Code != code.Same {
		t.Errorf("made by other settings: %v %s", a.Code, a.Why)
	}
	if a := w.Do(replace(base, "token", "another call", "10m")); a.Code != code.OtherRequest {
		t.Errorf("another call: %v", a.Code)
	}
}

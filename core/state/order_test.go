// Orders that come late, more than once, or at the wrong moment.

package state_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"sorrelloom/core/state"
	"sorrelloom/core/statetest"
	"sorrelloom/core/status"
)

const orderAge = 10 * time.Second

// order asks to empty site a, or takes that back, with what a leader proves now.
func order(w *statetest.Fixture, token string, on bool) state.Command {
	return state.Command{
		Kind: state.KindDrainZone, Name: "a", Drain: on, IdempotencyKey: token,
		RequestedAt: w.Store.Now(), MaxAge: orderAge, ConfirmedIndex: w.Store.Position().Index,
	}
}

func emptied(w *statetest.Fixture) bool { return slices.Contains(w.Store.DrainedZones(), "a") }

// restart has the next primary load the ledger from its records.
func restart(t *testing.T, w *statetest.Fixture) {
	t.Helper()
	next, err := state.Load(w.Store.Records())
	if err != nil {
		t.Fatal(err)
	}
	w.Store = next
}

// TestADelayedOrderUndoesNothing: a copy is held back, a later order is
// acknowledged, and then the copy comes.
func TestADelayedOrderUndoesNothing(t *testing.T) {
	table := []struct {
		name  string
		on    bool
		later []bool
		wait  time.Duration
		want  status.Code
	}{
		{"at once", true, nil, 0, status.OK},
		{"after the contrary", true, []bool{false}, 0, status.RequestExpired},
		{"taken back after the contrary", false, []bool{true}, 0, status.RequestExpired},
		{"after the contrary and the same again", true, []bool{false, true}, 0, status.AlreadyDone},
		{"after the same", true, []bool{true}, 0, status.AlreadyDone},
		{"just in time", true, nil, orderAge - 100*time.Millisecond, status.OK},
		{"too old", true, nil, orderAge + time.Second, status.RequestExpired},
		{"too old after the contrary", true, []bool{false}, orderAge + time.Second, status.RequestExpired},
	}
	for _, row := range table {
		for _, restarted := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s, restarted %v", row.name, restarted), func(t *testing.T) {
				w := statetest.New(t)
				w.AddWorker("w1", 4)
				w.AddWorker("w2", 4)
				w.MustApply(order(w, "before", !row.on))
				held := order(w, "held", row.on)
				for i, on := range row.later {
					w.MustApply(order(w, fmt.Sprint("later", i), on))
				}
				if restarted {
					restart(t, w)
				}
				w.Now += row.wait
				before := emptied(w)
				a := w.Apply(held)
				if a.Code != row.want {
					t.Fatalf("%v: %s", a.Code, a.Reason)
				}
				if now := emptied(w); !a.Code.IsSuccess() && now != before || a.Code.IsSuccess() && now != row.on {
					t.Errorf("emptied: %v, before %v", now, before)
				}
				// Whoever asks now is served, whatever came late.
				w.MustApply(order(w, "next", !row.on))
				if emptied(w) == row.on {
					t.Error("the next order is not carried out")
				}
				same(t, w.Store)
			})
		}
	}
}

// TestAnOrderSentAgainIsAcknowledgedAgain: its answer was lost. The same command is
// known by its token, and the operator's next call is a new order to the same effect.
func TestAnOrderSentAgainIsAcknowledgedAgain(t *testing.T) {
	w := statetest.New(t)
	w.AddWorker("w1", 4)
	first := order(w, "first", true)
	w.MustApply(first)
	if a := w.Apply(first); a.Code != status.AlreadyDone {
		t.Errorf("the copy: %v", a.Code)
	}
	w.MustApply(order(w, "second", true))
	w.Now += time.Minute
	if a := w.Apply(first); a.Code != status.AlreadyDone || !emptied(w) {
		t.Errorf("a copy after a minute: %v", a.Code)
	}
}

// TestARefusalThatPassesIsNotRemembered: a no that is true for a moment is looked at
// anew, one that stands is said again.
func TestARefusalThatPassesIsNotRemembered(t *testing.T) {
	w := &statetest.Fixture{T: t, Store: state.New(), Now: time.Second}
	empty := state.Command{Kind: state.KindDrainZone, Name: "north", Drain: true, IdempotencyKey: "empty"}
	if a := w.Apply(empty); a.Code != status.NoConfig {
		t.Fatalf("without a plan: %v", a.Code)
	}
	body := []byte(`{"sites":["north"],"services":{"s":{"classes":{"c":{"priority":1,"share":100}}}}}`)
	w.MustApply(state.Command{Kind: state.KindChangeConfig, ConfigChange: state.ConfigChange{Body: body}})
	if a := w.Apply(empty); a.Code != status.OK {
		t.Errorf("with a plan: %v %s", a.Code, a.Reason)
	}
	stale := state.Command{Kind: state.KindChangeConfig, IdempotencyKey: "stale", ConfigChange: state.ConfigChange{BaseVersion: 9, Body: body}}
	for range 2 {
		if a := w.Apply(stale); a.Code != status.StaleConfig {
			t.Errorf("on another base: %v", a.Code)
		}
	}
}

// replace is a whole plan that came through a process that follows no ledger.
func replace(base uint64, token, digest, keep string) state.Command {
	body := fmt.Appendf(nil, `{"services":{"s":{"classes":{"c":{"priority":1,"share":100}}}},"limits":{"keep":%q}}`, keep)
	return state.Command{
		Kind: state.KindChangeConfig, IdempotencyKey: token, Digest: digest, RequestedAt: state.RequestTimeUnknown,
		ConfigChange: state.ConfigChange{BaseVersion: base, Version: base + 3, Body: body},
	}
}

// TestAPlanIsAcknowledgedAgainAllDay: hundreds of changes later, after hours and by
// another primary, each plan that was taken is acknowledged, and none is taken twice.
func TestAPlanIsAcknowledgedAgainAllDay(t *testing.T) {
	const changes = 500
	w := statetest.New(t)
	var taken []state.Command
	for range changes {
		base := w.Store.Config().Version
		token := fmt.Sprint("plan", base)
		c := replace(base, token, token, fmt.Sprintf("%dm", 10+base))
		w.MustApply(c)
		if a := w.Apply(replace(base, "rival", "rival", "1h")); a.Code != status.StaleConfig {
			t.Fatalf("another one on %d: %v", base, a.Code)
		}
		taken = append(taken, c)
		w.Now += 30 * time.Second
		w.Apply(state.Command{Kind: state.KindTick})
	}
	restart(t, w)
	newest := w.Store.Config().Version
	for _, c := range taken {
		if a := w.Apply(c); a.Code != status.AlreadyDone || w.Store.Config().Version != newest {
			t.Fatalf("%s: %v %s", c.IdempotencyKey, a.Code, a.Reason)
		}
		if a := w.Store.Read(state.Command{Kind: state.KindReadRequest, Name: c.IdempotencyKey}); !a.Code.IsSuccess() {
			t.Fatalf("asked for %s: %v", c.IdempotencyKey, a.Code)
		}
	}
	same(t, w.Store)
}

// TestPlansAreRememberedUpToANumber, the oldest going first, also from the disk.
func TestPlansAreRememberedUpToANumber(t *testing.T) {
	w := statetest.New(t)
	for i := range state.MaxConfigRequests + 10 {
		token := fmt.Sprint("plan", i)
		w.MustApply(replace(w.Store.Config().Version, token, token, "10m"))
	}
	w.Apply(state.Command{Kind: state.KindTick})
	restart(t, w)
	known := func(i int) bool {
		return w.Store.Read(state.Command{Kind: state.KindReadRequest, Name: fmt.Sprint("plan", i)}).Code.IsSuccess()
	}
	if known(0) || known(9) || !known(10) || !known(state.MaxConfigRequests+9) {
		t.Errorf("known: %v %v %v %v", known(0), known(9), known(10), known(state.MaxConfigRequests+9))
	}
}

// TestARepeatIsKnownByWhatWasSent: processes whose settings differ make two plans of
// one call. It is one request all the same; another call with its token is not.
func TestARepeatIsKnownByWhatWasSent(t *testing.T) {
	w := statetest.New(t)
	base := w.Store.Config().Version
	w.MustApply(replace(base, "token", "call", "10m"))
	if a := w.Apply(replace(base, "token", "call", "20m")); a.Code != status.AlreadyDone {
		t.Errorf("made by other settings: %v %s", a.Code, a.Reason)
	}
	if a := w.Apply(replace(base, "token", "another call", "10m")); a.Code != status.IdempotencyKeyReused {
		t.Errorf("another call: %v", a.Code)
	}
}

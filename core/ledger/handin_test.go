package ledger_test

import (
	"fmt"
	"testing"
	"time"

	"sorrelloom/core/code"
	"sorrelloom/core/ledger"
	"sorrelloom/core/ledgertest"
)

// withEntry is a plan with a service of one class, and an entry for it unless gone.
func withEntry(service string, gone bool) ledger.Command {
	entries := fmt.Sprintf(`{"name":"e","host":"h","prefix":"/q/","service":%q,"class":"c"}`, service)
	if gone {
		entries = ""
	}
	const ofOneClass = `{"classes":{"c":{"priority":1,"share":100}}}`
	body := fmt.Sprintf(`{"services":{"one":%s,"two":%s},"limits":{"keep":"1m","remember":"1h"},"entries":[%s]}`,
		ofOneClass, ofOneClass, entries)
	return ledger.Command{Kind: ledger.KindChangeConfig, ConfigChange: ledger.ConfigChange{Forced: true, Body: []byte(body)}}
}

// TestAJobHandedInAgainIsTheSame: its answer was lost, and it comes again, also after
// its entry was changed or dropped for a while, and after its record is gone. It is one job, with
// one clear answer; other content under its id is turned away.
func TestAJobHandedInAgainIsTheSame(t *testing.T) {
	job := func(payload string) ledger.Command {
		steps := []ledger.StepSpec{{Count: 2, Resources: ledger.Resources{Slots: 1}}}
		spec := ledger.JobSpec{ID: "j", Host: "h", Path: "/q/j", Payload: []byte(payload), Steps: steps}
		return ledger.Command{Kind: ledger.KindAcceptJob, Host: "h", Path: "/q/j", Summary: true, Job: spec}
	}
	between := []struct {
		name string
		do   func(w *ledgertest.Fixture)
	}{
		{"nothing", func(*ledgertest.Fixture) {}},
		{"its entry is dropped and comes back", func(w *ledgertest.Fixture) {
			w.MustApply(withEntry("one", true))
			if a := w.Apply(job(`"text"`)); a.Code != code.NoRoute {
				t.Errorf("without an entry: %v", a.Code)
			}
			w.MustApply(withEntry("one", false))
		}},
		{"its entry leads to another service", func(w *ledgertest.Fixture) { w.MustApply(withEntry("two", false)) }},
		{"it is cancelled and its record gone", func(w *ledgertest.Fixture) {
			w.MustApply(ledger.Command{Kind: ledger.KindCancelJob, Name: "j"})
			w.Advance(2 * time.Minute)
		}},
		{"its record is gone and its entry leads elsewhere", func(w *ledgertest.Fixture) {
			w.MustApply(ledger.Command{Kind: ledger.KindCancelJob, Name: "j"})
			w.Advance(2 * time.Minute)
			w.MustApply(withEntry("two", false))
		}},
	}
	for _, row := range between {
		t.Run(row.name, func(t *testing.T) {
			w := ledgertest.New(t)
			w.MustApply(withEntry("one", false))
			w.MustApply(job(`"text"`))
			row.do(w)
			if a := w.Apply(job(`"text"`)); a.Code != code.AlreadyDone {
				t.Errorf("the same again: %v %s", a.Code, a.Reason)
			}
			if a := w.Apply(job(`"other"`)); a.Code != code.JobConflict {
				t.Errorf("with other content: %v %s", a.Code, a.Reason)
			}
			same(t, w.Store)
		})
	}
}

package state_test

import (
	"fmt"
	"testing"
	"time"

	"sorrelloom/core/state"
	"sorrelloom/core/statetest"
	"sorrelloom/core/status"
)

// withEntry is a plan with a service of one class, and an entry for it unless gone.
func withEntry(service string, gone bool) state.Command {
	entries := fmt.Sprintf(`{"name":"e","host":"h","prefix":"/q/","service":%q,"class":"c"}`, service)
	if gone {
		entries = ""
	}
	const ofOneClass = `{"classes":{"c":{"priority":1,"share":100}}}`
	body := fmt.Sprintf(`{"services":{"one":%s,"two":%s},"limits":{"keep":"1m","remember":"1h"},"entries":[%s]}`,
		ofOneClass, ofOneClass, entries)
	return state.Command{Kind: state.KindChangeConfig, ConfigChange: state.ConfigChange{Forced: true, Body: []byte(body)}}
}

// TestAJobHandedInAgainIsTheSame: its answer was lost, and it comes again, also after
// its entry was changed or dropped for a while, and after its record is gone. It is one job, with
// one clear answer; other content under its id is turned away.
func TestAJobHandedInAgainIsTheSame(t *testing.T) {
	job := func(payload string) state.Command {
		steps := []state.StepSpec{{Count: 2, Resources: state.Resources{Slots: 1}}}
		spec := state.JobSpec{ID: "j", Host: "h", Path: "/q/j", Payload: []byte(payload), Steps: steps}
		return state.Command{Kind: state.KindAcceptJob, Host: "h", Path: "/q/j", Summary: true, Job: spec}
	}
	between := []struct {
		name string
		do   func(w *statetest.Fixture)
	}{
		{"nothing", func(*statetest.Fixture) {}},
		{"its entry is dropped and comes back", func(w *statetest.Fixture) {
			w.MustApply(withEntry("one", true))
			if a := w.Apply(job(`"text"`)); a.Code != status.NoRoute {
				t.Errorf("without an entry: %v", a.Code)
			}
			w.MustApply(withEntry("one", false))
		}},
		{"its entry leads to another service", func(w *statetest.Fixture) { w.MustApply(withEntry("two", false)) }},
		{"it is cancelled and its record gone", func(w *statetest.Fixture) {
			w.MustApply(state.Command{Kind: state.KindCancelJob, Name: "j"})
			w.Advance(2 * time.Minute)
		}},
		{"its record is gone and its entry leads elsewhere", func(w *statetest.Fixture) {
			w.MustApply(state.Command{Kind: state.KindCancelJob, Name: "j"})
			w.Advance(2 * time.Minute)
			w.MustApply(withEntry("two", false))
		}},
	}
	for _, row := range between {
		t.Run(row.name, func(t *testing.T) {
			w := statetest.New(t)
			w.MustApply(withEntry("one", false))
			w.MustApply(job(`"text"`))
			row.do(w)
			if a := w.Apply(job(`"text"`)); a.Code != status.AlreadyDone {
				t.Errorf("the same again: %v %s", a.Code, a.Reason)
			}
			if a := w.Apply(job(`"other"`)); a.Code != status.JobConflict {
				t.Errorf("with other content: %v %s", a.Code, a.Reason)
			}
			same(t, w.Store)
		})
	}
}

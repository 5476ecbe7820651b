package state_test

import (
	"fmt"
	"testing"
	"time"

	"sorrelloom/core/state"
	"sorrelloom/core/statetest"
	"sorrelloom/core/status"
)

// TestSubmitTwice submits the same job twice, which is accepted once, and then other content
// under its ID, which is rejected.
func TestSubmitTwice(t *testing.T) {
	f := statetest.New(t)
	first, again, other := f.AcceptJob("j", "quick", "a"), f.AcceptJob("j", "quick", "a"), f.AcceptJob("j", "quick", "b")
	if first.Code != status.OK || again.Code != status.AlreadyDone || other.Code != status.JobConflict {
		t.Errorf("got %v, %v, %v", first.Code, again.Code, other.Code)
	}
}

// withRoute returns a command that sets a configuration with two services of one class each,
// and a route to one of them unless gone is set.
func withRoute(service string, gone bool) state.Command {
	routes := fmt.Sprintf(`{"name":"e","host":"h","prefix":"/q/","service":%q,"class":"c"}`, service)
	if gone {
		routes = ""
	}
	const ofOneClass = `{"classes":{"c":{"priority":1,"share":100}}}`
	body := fmt.Sprintf(`{"services":{"one":%s,"two":%s},"limits":{"keep":"1m","remember":"1h"},"entries":[%s]}`,
		ofOneClass, ofOneClass, routes)
	return changeConfig(state.ConfigChange{Forced: true, Body: []byte(body)})
}

// TestSubmitAgain submits a job again, as a client does whose result was lost: also after the
// job's route was changed or temporarily removed, and after its record has been dropped. It
// is the same job, reported as accepted already; other content under its ID is rejected.
func TestSubmitAgain(t *testing.T) {
	job := func(payload string) state.Command {
		steps := []state.StepSpec{{Count: 2, Resources: state.Resources{Slots: 1}}}
		spec := state.JobSpec{ID: "j", Host: "h", Path: "/q/j", Payload: []byte(payload), Steps: steps}
		return state.Command{Kind: state.KindAcceptJob, Host: "h", Path: "/q/j", Summary: true, Job: spec}
	}
	events := []struct {
		name string
		do   func(f *statetest.Fixture)
	}{
		{"nothing", func(*statetest.Fixture) {}},
		{"its route is removed and added again", func(f *statetest.Fixture) {
			f.MustApply(withRoute("one", true))
			if a := f.Apply(job(`"text"`)); a.Code != status.NoRoute {
				t.Errorf("without a route: %v", a.Code)
			}
			f.MustApply(withRoute("one", false))
		}},
		{"its route leads to another service", func(f *statetest.Fixture) { f.MustApply(withRoute("two", false)) }},
		{"it is cancelled and its record dropped", func(f *statetest.Fixture) {
			f.MustApply(cancelJob("j"))
			f.Advance(2 * time.Minute)
		}},
		{"its record is dropped and its route leads to another service", func(f *statetest.Fixture) {
			f.MustApply(cancelJob("j"))
			f.Advance(2 * time.Minute)
			f.MustApply(withRoute("two", false))
		}},
	}
	for _, row := range events {
		t.Run(row.name, func(t *testing.T) {
			f := statetest.New(t)
			f.MustApply(withRoute("one", false))
			f.MustApply(job(`"text"`))
			row.do(f)
			if a := f.Apply(job(`"text"`)); a.Code != status.AlreadyDone {
				t.Errorf("the same job again: %v %s", a.Code, a.Reason)
			}
			if a := f.Apply(job(`"other"`)); a.Code != status.JobConflict {
				t.Errorf("other content under the same ID: %v %s", a.Code, a.Reason)
			}
			checkReload(t, f.Store)
		})
	}
}

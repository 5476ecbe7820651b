package state_test

import (
	"strings"
	"testing"
	"time"

	"sorrelloom/core/state"
	"sorrelloom/core/statetest"
	"sorrelloom/core/status"
)

// TestEndedJobNotStartedAgain submits jobs again after their records have been dropped: the
// remembered ones are not started again, those that are no longer remembered are.
func TestEndedJobNotStartedAgain(t *testing.T) {
	f := statetest.New(t)
	f.MustApply(patchConfig(1, `{"limits":{"keep":"1m","remember":"1h","rememberMax":2}}`))
	f.AddWorker("w1", 4)
	for _, id := range []string{"j", "k", "l"} {
		f.AcceptJob(id, "quick", "a")
		f.FinishTask(id + "/a@w1")
		f.Advance(2 * time.Minute)
		f.Advance(time.Second)
		f.Heartbeat("w1", nil)
	}
	submit := func(id, task string) (status.Code, string) {
		a := f.AcceptJob(id, "quick", task)
		checkReload(t, f.Store)
		return a.Code, a.Job.State
	}
	for _, row := range []struct {
		id, task string
		want     status.Code
		state    string
	}{
		{"l", "a", status.AlreadyDone, state.Done},
		{"l", "b", status.JobConflict, ""},
		{"k", "a", status.AlreadyDone, state.Done},
		{"j", "a", status.OK, state.Waiting}, // the oldest of three; only two are remembered
	} {
		if c, jobState := submit(row.id, row.task); c != row.want || jobState != row.state {
			t.Errorf("%s resubmitted with task %s: %v %s, want %v %s", row.id, row.task, c, jobState, row.want, row.state)
		}
	}
	if a := f.Apply(cancelJob("l")); a.Code != status.AlreadyDone || a.Job.State != state.Done {
		t.Errorf("cancel of a past job: %v %s", a.Code, a.Job.State)
	}
	if a := f.Store.RejectUnknownJob("x"); a.Code != status.UnknownJob || !strings.Contains(a.Reason, "ended over") {
		t.Errorf("unknown job: %v %s", a.Code, a.Reason)
	}
	f.Advance(2 * time.Hour)
	if c, _ := submit("l", "a"); c != status.OK {
		t.Errorf("resubmitted after the retention of past jobs: %v", c)
	}
}

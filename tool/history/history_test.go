package history

import (
	"testing"
	"time"

	"sorrelloom/core/config"
	"sorrelloom/core/state"
	"sorrelloom/core/status"
)

const ms = time.Millisecond

var (
	success    = state.Result{Code: status.OK}
	stale      = state.Result{Code: status.StaleConfig}
	rejected   = state.Result{Code: status.QueueFull}
	unknown    = state.Result{Code: status.UnknownJob}
	noResponse = state.Result{Code: status.NoResponse}
)

func change(key string, base uint64) state.Command {
	return state.Command{
		Kind: state.KindChangeConfig, IdempotencyKey: key, ConfigChange: state.ConfigChange{BaseVersion: base},
	}
}

func readConfig() state.Command { return state.Command{Kind: state.KindReadConfig} }

func version(v uint64) state.Result {
	return state.Result{Code: status.OK, Config: &config.Config{Version: v}}
}

func submit() state.Command {
	return state.Command{Kind: state.KindAcceptJob, Job: state.JobSpec{ID: "j"}}
}

func cancel() state.Command { return state.Command{Kind: state.KindCancelJob, Name: "j"} }

func read() state.Command { return state.Command{Kind: state.KindReadJob, Name: "j"} }

func jobView(jobState, ending string) state.Result {
	return state.Result{Code: status.OK, Job: state.Job{State: jobState, EndingState: ending}}
}

// timedCall is a call with its start and end in milliseconds.
type timedCall struct {
	begin, end int
	command    state.Command
	result     state.Result
}

var histories = []struct {
	name  string
	legal bool
	calls []timedCall
}{
	{"sequential changes and reads", true, []timedCall{
		{0, 1, change("a", 0), success}, {2, 3, readConfig(), version(1)}, {4, 5, change("b", 1), success},
		{6, 7, readConfig(), version(2)},
	}},
	{"an older configuration is read after a newer one was acknowledged", false, []timedCall{
		{0, 1, change("a", 0), success}, {2, 3, change("b", 1), success}, {4, 5, readConfig(), version(1)},
	}},
	{"a read concurrent with a change sees either version", true, []timedCall{
		{0, 1, change("a", 0), success}, {2, 9, change("b", 1), success},
		{3, 4, readConfig(), version(1)}, {5, 6, readConfig(), version(2)},
	}},
	{"after a concurrent read of the new version, a later read sees the old one", false, []timedCall{
		{0, 1, change("a", 0), success}, {2, 9, change("b", 1), success},
		{3, 4, readConfig(), version(2)}, {5, 6, readConfig(), version(1)},
	}},
	{"two changes with the same base version are acknowledged", false, []timedCall{
		{0, 1, change("a", 0), success}, {2, 5, change("b", 1), success}, {2, 5, change("c", 1), success},
	}},
	{"one of two concurrent changes is acknowledged", true, []timedCall{
		{0, 1, change("a", 0), success}, {2, 5, change("b", 1), success}, {2, 5, change("c", 1), stale},
	}},
	{"a change is rejected as stale without another change", false, []timedCall{
		{0, 1, change("a", 0), success}, {2, 5, change("b", 1), stale},
	}},
	{"a repeated change is acknowledged and has no effect", true, []timedCall{
		{0, 1, change("a", 0), success}, {2, 3, change("b", 1), success}, {4, 5, change("a", 0), success},
		{6, 7, readConfig(), version(2)},
	}},
	{"a repeat of an acknowledged change is rejected", false, []timedCall{
		{0, 1, change("a", 0), success}, {4, 5, change("a", 0), stale},
	}},
	{"a change without a reply takes effect late", true, []timedCall{
		{0, 1, change("a", 0), success}, {2, 3, change("b", 1), noResponse}, {4, 5, readConfig(), version(1)},
		{6, 7, readConfig(), version(2)},
	}},
	{"a rejected change took effect", false, []timedCall{
		{0, 1, change("a", 0), success}, {2, 3, change("b", 1), rejected}, {6, 7, readConfig(), version(2)},
	}},
	{"a job is accepted, runs and is done", true, []timedCall{
		{0, 1, submit(), success}, {2, 3, read(), jobView(state.Running, "")}, {4, 5, read(), jobView(state.Done, "")},
		{6, 7, submit(), success}, {8, 9, read(), jobView(state.Done, "")},
	}},
	{"an accepted job is unknown", false, []timedCall{{0, 1, submit(), success}, {2, 3, read(), unknown}}},
	{"a rejected job exists", false, []timedCall{
		{0, 1, submit(), rejected}, {2, 3, read(), jobView(state.Waiting, "")},
	}},
	{"a job submitted without a reply exists later", true, []timedCall{
		{0, 1, submit(), noResponse}, {2, 3, read(), unknown}, {4, 5, read(), jobView(state.Waiting, "")},
	}},
	{"a job runs after it was done", false, []timedCall{
		{0, 1, submit(), success}, {2, 3, read(), jobView(state.Done, "")}, {4, 5, read(), jobView(state.Running, "")},
	}},
	{"a cancelled job is not shown as cancelled", false, []timedCall{
		{0, 1, submit(), success}, {2, 3, cancel(), success}, {4, 5, read(), jobView(state.Running, "")},
	}},
	{"a cancelled job is shown as stopping, then cancelled", true, []timedCall{
		{0, 1, submit(), success}, {2, 3, cancel(), success}, {4, 5, read(), jobView(state.Running, state.Cancelled)},
		{6, 7, read(), jobView(state.Cancelled, state.Cancelled)},
	}},
	{"a job is cancelled without a call", false, []timedCall{
		{0, 1, submit(), success}, {2, 3, read(), jobView(state.Cancelled, state.Cancelled)},
	}},
	{"a job ends just before it is cancelled", true, []timedCall{
		{0, 1, submit(), success}, {2, 3, cancel(), success}, {4, 5, read(), jobView(state.Done, "")},
	}},
	{"a cancelled job succeeds before it can be stopped", true, []timedCall{
		{0, 1, submit(), success}, {2, 3, cancel(), success}, {4, 5, read(), jobView(state.Done, state.Cancelled)},
	}},
	{"a job shown as cancelled is done without being cancelled", false, []timedCall{
		{0, 1, submit(), success}, {2, 3, cancel(), success}, {4, 5, read(), jobView(state.Running, state.Cancelled)},
		{6, 7, read(), jobView(state.Done, "")},
	}},
}

// TestHistories checks small histories, linearizable and not.
func TestHistories(t *testing.T) {
	for _, row := range histories {
		t.Run(row.name, func(t *testing.T) {
			var h History
			for _, c := range row.calls {
				call := h.Begin(time.Duration(c.begin)*ms, c.command)
				call.Answer(time.Duration(c.end)*ms, c.result, c.result.Code != status.NoResponse)
			}
			violations, judged, undecided := h.Check()
			if legal := len(violations) == 0; legal != row.legal || judged != 1 || len(undecided) > 0 {
				t.Errorf("legal: %v, objects checked: %d, undecided: %v, violations: %v", legal, judged, undecided, violations)
			}
		})
	}
}

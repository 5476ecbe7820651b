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
	success  = state.Result{Code: status.OK}
	stale    = state.Result{Code: status.StaleConfig}
	rejected = state.Result{Code: status.QueueFull}
	unknown  = state.Result{Code: status.UnknownJob}
	silence  = state.Result{Code: status.NoResponse}
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

func shown(jobState, ending string) state.Result {
	return state.Result{Code: status.OK, Job: state.Job{State: jobState, EndingState: ending}}
}

// timedCall is a call from one time to another, in ms.
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
	{"changes and reads one after the other", true, []timedCall{
		{0, 1, change("a", 0), success}, {2, 3, readConfig(), version(1)}, {4, 5, change("b", 1), success},
		{6, 7, readConfig(), version(2)},
	}},
	{"an older configuration is read after an acknowledgement", false, []timedCall{
		{0, 1, change("a", 0), success}, {2, 3, change("b", 1), success}, {4, 5, readConfig(), version(1)},
	}},
	{"a read beside a change sees either", true, []timedCall{
		{0, 1, change("a", 0), success}, {2, 9, change("b", 1), success},
		{3, 4, readConfig(), version(1)}, {5, 6, readConfig(), version(2)},
	}},
	{"a read beside a change sees the new one, and a later one the old", false, []timedCall{
		{0, 1, change("a", 0), success}, {2, 9, change("b", 1), success},
		{3, 4, readConfig(), version(2)}, {5, 6, readConfig(), version(1)},
	}},
	{"two changes on one version are acknowledged", false, []timedCall{
		{0, 1, change("a", 0), success}, {2, 5, change("b", 1), success}, {2, 5, change("c", 1), success},
	}},
	{"one of two wins", true, []timedCall{
		{0, 1, change("a", 0), success}, {2, 5, change("b", 1), success}, {2, 5, change("c", 1), stale},
	}},
	{"a change is refused though nobody changed anything", false, []timedCall{
		{0, 1, change("a", 0), success}, {2, 5, change("b", 1), stale},
	}},
	{"a repeat is acknowledged again and changes nothing", true, []timedCall{
		{0, 1, change("a", 0), success}, {2, 3, change("b", 1), success}, {4, 5, change("a", 0), success},
		{6, 7, readConfig(), version(2)},
	}},
	{"a repeat of a change that was acknowledged is refused", false, []timedCall{
		{0, 1, change("a", 0), success}, {4, 5, change("a", 0), stale},
	}},
	{"a change without an answer may be in force, or not", true, []timedCall{
		{0, 1, change("a", 0), success}, {2, 3, change("b", 1), silence}, {4, 5, readConfig(), version(1)},
		{6, 7, readConfig(), version(2)},
	}},
	{"a rejected change is in force", false, []timedCall{
		{0, 1, change("a", 0), success}, {2, 3, change("b", 1), rejected}, {6, 7, readConfig(), version(2)},
	}},
	{"a job that is accepted, runs and is done", true, []timedCall{
		{0, 1, submit(), success}, {2, 3, read(), shown(state.Running, "")}, {4, 5, read(), shown(state.Done, "")},
		{6, 7, submit(), success}, {8, 9, read(), shown(state.Done, "")},
	}},
	{"an accepted job is unknown", false, []timedCall{{0, 1, submit(), success}, {2, 3, read(), unknown}}},
	{"a job that was rejected is there", false, []timedCall{
		{0, 1, submit(), rejected}, {2, 3, read(), shown(state.Waiting, "")},
	}},
	{"a job without an answer is there later", true, []timedCall{
		{0, 1, submit(), silence}, {2, 3, read(), unknown}, {4, 5, read(), shown(state.Waiting, "")},
	}},
	{"a job that was done runs", false, []timedCall{
		{0, 1, submit(), success}, {2, 3, read(), shown(state.Done, "")}, {4, 5, read(), shown(state.Running, "")},
	}},
	{"a cancelled job shows nothing of it", false, []timedCall{
		{0, 1, submit(), success}, {2, 3, cancel(), success}, {4, 5, read(), shown(state.Running, "")},
	}},
	{"a cancelled job is being stopped, then cancelled", true, []timedCall{
		{0, 1, submit(), success}, {2, 3, cancel(), success}, {4, 5, read(), shown(state.Running, state.Cancelled)},
		{6, 7, read(), shown(state.Cancelled, state.Cancelled)},
	}},
	{"a job that nobody cancelled is cancelled", false, []timedCall{
		{0, 1, submit(), success}, {2, 3, read(), shown(state.Cancelled, state.Cancelled)},
	}},
	{"a cancel that came after the end", true, []timedCall{
		{0, 1, submit(), success}, {2, 3, cancel(), success}, {4, 5, read(), shown(state.Done, "")},
	}},
	{"a cancelled job succeeds before it can be stopped", true, []timedCall{
		{0, 1, submit(), success}, {2, 3, cancel(), success}, {4, 5, read(), shown(state.Done, state.Cancelled)},
	}},
	{"a job that was read as cancelled is done", false, []timedCall{
		{0, 1, submit(), success}, {2, 3, cancel(), success}, {4, 5, read(), shown(state.Running, state.Cancelled)},
		{6, 7, read(), shown(state.Done, "")},
	}},
}

// TestHistories judges small histories, legal and not.
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
				t.Errorf("legal %v, %d judged, undecided %v: %v", legal, judged, undecided, violations)
			}
		})
	}
}

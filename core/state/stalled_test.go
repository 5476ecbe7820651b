package state_test

import (
	"encoding/json"
	"testing"
	"time"

	"sorrelloom/core/state"
	"sorrelloom/core/statetest"
)

// quickTask is a job with one task in a quick class.
const quickTask = `{"id":"j","service":"tickets","class":"quick","tasks":[{"id":"a"}]}`

// stalledTaskCases are situations in which tasks wait, and how many of the tasks are stalled.
var stalledTaskCases = []struct {
	name  string
	job   string
	do    step
	after time.Duration
	want  int
}{
	{"ready for longer than the threshold", quickTask, advance(0), 3100 * time.Millisecond, 1},
	{"ready for less than the threshold", quickTask, advance(0), 2900 * time.Millisecond, 0},
	{"leased", quickTask, func(f *statetest.Fixture) { f.Grant("j/a@w1") }, 4 * time.Second, 0},
	{"its job is cancelled", quickTask, func(f *statetest.Fixture) { f.Apply(cancelJob("j")) }, 4 * time.Second, 0},
	{"all workers are leaving", quickTask, func(f *statetest.Fixture) {
		for _, worker := range []string{"w1", "w2"} {
			f.Heartbeat(worker, func(hb *state.Heartbeat) { hb.Leaving = true })
		}
	}, 4 * time.Second, 0},
	{"the zone is drained", quickTask, func(f *statetest.Fixture) { f.Apply(drainZone("a", true)) }, 4 * time.Second, 0},
	{"half of the slots are used", quickTask, func(f *statetest.Fixture) {
		f.AcceptJob("other", "quick", "a:4")
		f.StartTask("other/a@w1")
	}, 4 * time.Second, 1},
	{"over half of the slots are used", quickTask, func(f *statetest.Fixture) {
		f.AcceptJob("other", "quick", "a:4", "b:1")
		f.StartTask("other/a@w1")
		f.StartTask("other/b@w2")
	}, 4 * time.Second, 0},
	{
		"free slots for the task once, not twice",
		`{"id":"j","service":"tickets","class":"quick","tasks":[{"id":"a","room":{"slots":3}}]}`,
		func(f *statetest.Fixture) {
			f.AcceptJob("other", "quick", "a:4")
			f.StartTask("other/a@w1")
		}, 4 * time.Second, 0,
	},
	{
		"a gang, reported once for all members",
		`{"id":"j","service":"tickets","class":"quick","steps":[{"count":2,"gang":true}]}`, advance(0), 4 * time.Second, 1,
	},
	{
		"a gang, free slots for it once, not twice",
		`{"id":"j","service":"tickets","class":"quick","steps":[{"count":5,"gang":true}]}`, advance(0), 4 * time.Second, 0,
	},
	{
		"a step that depends on another",
		`{"id":"j","service":"tickets","class":"quick","steps":[{"count":1},{"count":1,"after":[0]}]}`,
		advance(0), 4 * time.Second, 1,
	},
}

// TestStalledTasks leaves tasks ready without a lease, with and without a rule that prevents
// their lease, and counts those reported as stalled.
func TestStalledTasks(t *testing.T) {
	for _, row := range stalledTaskCases {
		t.Run(row.name, func(t *testing.T) {
			f := statetest.New(t)
			for _, worker := range []string{"w1", "w2"} {
				f.AddWorker(worker, 4)
				f.Heartbeat(worker, func(hb *state.Heartbeat) { hb.Total = hb.Free })
			}
			f.MustApply(acceptJob(jobSpec(t, row.job)))
			row.do(f)
			f.Advance(row.after)
			if got := f.Store.StalledTasks(9); len(got) != row.want {
				t.Errorf("stalled tasks are %+v, want %d", got, row.want)
			}
		})
	}
}

// TestStalledLongRunningTask ends an attempt of a long-running task: the task is ready again,
// and counts as stalled only 6 s later.
func TestStalledLongRunningTask(t *testing.T) {
	f := statetest.New(t)
	f.AddWorker("w1", 4)
	f.AddWorker("w2", 4)
	f.MustApply(acceptJob(jobSpec(t,
		`{"id":"j","service":"tickets","class":"quick","steps":[{"count":1,"lasting":true}]}`)))
	attempt := f.StartTask("j/0.0.0@w1")
	f.EndAttempt("w1", state.AttemptResult{Attempt: attempt})
	for _, row := range []struct {
		after time.Duration
		want  int
	}{{5 * time.Second, 0}, {1100 * time.Millisecond, 1}} {
		f.Advance(row.after)
		if got := f.Store.StalledTasks(9); len(got) != row.want {
			t.Errorf("stalled tasks are %+v, want %d", got, row.want)
		}
	}
}

// jobSpec decodes a job from JSON, as a client sends it.
func jobSpec(t *testing.T, text string) state.JobSpec {
	t.Helper()
	var spec state.JobSpec
	if err := json.Unmarshal([]byte(text), &spec); err != nil {
		t.Fatal(err)
	}
	return spec
}

package state_test

import (
	"testing"
	"time"

	"sorrelloom/core/state"
	"sorrelloom/core/statetest"
	"sorrelloom/core/status"
)

// leaseOutcome is how a task stands after what happened to its lease.
type leaseOutcome struct {
	state            string
	held             bool
	failures, losses int
}

// leaseReturns is what can happen to the lease of a task on worker w1.
var leaseReturns = []struct {
	name string
	do   step
	want leaseOutcome
}{
	{"success", func(f *statetest.Fixture) { f.FinishTask("j/a@w1") }, leaseOutcome{state.Done, false, 0, 0}},
	{"a failure counts once, though reported twice", func(f *statetest.Fixture) {
		a := f.StartTask("j/a@w1")
		f.EndAttempt("w1", state.AttemptResult{Attempt: a})
		f.Heartbeat("w1", func(hb *state.Heartbeat) { hb.Ended = []state.AttemptResult{{Attempt: a}} })
	}, leaseOutcome{state.Ready, false, 1, 0}},
	{"too many failures", func(f *statetest.Fixture) {
		for range 3 {
			f.EndAttempt("w1", state.AttemptResult{Attempt: f.StartTask("j/a@w1")})
		}
	}, leaseOutcome{state.Failed, false, 3, 0}},
	{"a start that never came is no failure", func(f *statetest.Fixture) {
		f.Grant("j/a@w1")
		f.Heartbeat("w1", nil)
		f.Heartbeat("w1", nil)
	}, leaseOutcome{state.Ready, false, 0, 0}},
	{"one heartbeat after the grant may still bring the start", func(f *statetest.Fixture) {
		f.Grant("j/a@w1")
		f.Heartbeat("w1", nil)
	}, leaseOutcome{state.Ready, true, 0, 0}},
	{"silent before the lease expiry and margin", func(f *statetest.Fixture) {
		f.StartTask("j/a@w1")
		f.Advance(6900 * time.Millisecond)
	}, leaseOutcome{state.Ready, true, 0, 0}},
	{"silent past the lease expiry and margin", func(f *statetest.Fixture) {
		f.StartTask("j/a@w1")
		f.Advance(7100 * time.Millisecond)
	}, leaseOutcome{state.Ready, false, 0, 1}},
	{"lost too often", func(f *statetest.Fixture) {
		for range 3 {
			f.StartTask("j/a@w1")
			f.Heartbeat("w1", func(hb *state.Heartbeat) { hb.Running = nil })
		}
	}, leaseOutcome{state.Failed, false, 0, 3}},
	{"a new incarnation does not free what the old one may run", func(f *statetest.Fixture) {
		f.StartTask("j/a@w1")
		f.Heartbeat("w1", func(hb *state.Heartbeat) { hb.Incarnation, hb.Number, hb.Running = 2, 1, nil })
		f.Advance(5 * time.Second)
	}, leaseOutcome{state.Ready, true, 0, 0}},
	{"it does once the old lease expiry and the margin have passed", func(f *statetest.Fixture) {
		f.StartTask("j/a@w1")
		f.Heartbeat("w1", func(hb *state.Heartbeat) { hb.Incarnation, hb.Number, hb.Running = 2, 1, nil })
		f.Advance(8 * time.Second)
	}, leaseOutcome{state.Ready, false, 0, 1}},
	{"a success of an older attempt counts", func(f *statetest.Fixture) {
		a := f.StartTask("j/a@w1")
		f.Advance(8 * time.Second)
		f.StartTask("j/a@w2")
		f.EndAttempt("w1", state.AttemptResult{Attempt: a, Succeeded: true})
	}, leaseOutcome{state.Done, true, 0, 1}},
	{"a worker that ran on has its lease again", func(f *statetest.Fixture) {
		f.StartTask("j/a@w1")
		f.Advance(8 * time.Second)
		f.Heartbeat("w1", nil)
	}, leaseOutcome{state.Ready, true, 0, 1}},
	{"run limit counts as a failure once the worker has stopped", func(f *statetest.Fixture) {
		f.MustApply(patchConfig(1, `{"services":{"tickets":{"classes":{"quick":{"runLimit":"2s"}}}}}`))
		a := f.StartTask("j/a@w1")
		f.Advance(3 * time.Second)
		f.Heartbeat("w1", nil)
		f.Advance(time.Second)
		f.EndAttempt("w1", state.AttemptResult{Attempt: a, Stopped: true})
	}, leaseOutcome{state.Ready, false, 1, 0}},
	{"a success while it was being stopped still counts", func(f *statetest.Fixture) {
		a := f.StartTask("j/a@w1")
		f.Apply(cancelJob("j"))
		f.EndAttempt("w1", state.AttemptResult{Attempt: a, Succeeded: true})
	}, leaseOutcome{state.Done, false, 0, 0}},
	{"cancelled while it runs", func(f *statetest.Fixture) {
		f.StartTask("j/a@w1")
		f.Apply(cancelJob("j"))
	}, leaseOutcome{state.Cancelled, true, 0, 0}},
	{"cancelled and stopped", func(f *statetest.Fixture) {
		a := f.StartTask("j/a@w1")
		f.Apply(cancelJob("j"))
		f.EndAttempt("w1", state.AttemptResult{Attempt: a, Stopped: true})
	}, leaseOutcome{state.Cancelled, false, 0, 0}},
}

// TestLeaseReturned follows one task through what can happen to it.
func TestLeaseReturned(t *testing.T) {
	for _, row := range leaseReturns {
		t.Run(row.name, func(t *testing.T) {
			f := statetest.New(t)
			f.AddWorker("w1", 4)
			f.AddWorker("w2", 4)
			f.AcceptJob("j", "quick", "a")
			row.do(f)
			task := f.Task("j/a")
			got := leaseOutcome{task.State, task.Lease.Held(), task.Failures, task.Losses}
			if got != row.want {
				t.Errorf("got %+v, want %+v", got, row.want)
			}
			job, _ := f.Store.Job("j")
			if finished := job.EndedAt > 0; finished != (task.Terminal() && !task.Lease.Held()) {
				t.Errorf("job %s shows as finished: %v, task %+v", job.State, finished, task)
			}
			same(t, f.Store)
		})
	}
}

// confirmDead has an operator say that worker w1 will not come back.
func confirmDead(f *statetest.Fixture) status.Code {
	return f.Apply(state.Command{Kind: state.KindConfirmWorkerDead, Name: "w1"}).Code
}

// restarted has worker w1 come back in another incarnation, with the ends that it knows of.
func restarted(f *statetest.Fixture, ends ...state.AttemptResult) {
	f.Heartbeat("w1", func(hb *state.Heartbeat) { hb.Incarnation, hb.Number, hb.Running, hb.Ended = 2, 1, nil, ends })
}

// firstAttempt is what worker w1 runs before it goes silent.
var firstAttempt = state.Attempt{Job: "j", Task: "a", Number: 1}

// lostWorkers is what can happen to a task whose worker w1 goes silent.
var lostWorkers = []struct {
	name, class, policy string
	runLimit            time.Duration
	do                  step
	held                bool
	state               string
}{
	{
		"restart: not while the run limit lasts, though the lease is over", "quick", "", 30 * time.Second,
		advance(30 * time.Second), true, state.Ready,
	},
	{
		"restart: once the run limit and the margin are over", "quick", "", 30 * time.Second,
		advance(32 * time.Second), false, state.Ready,
	},
	{
		"restart: not while the lease lasts, though the run limit is over", "quick", "", time.Second,
		advance(6 * time.Second), true, state.Ready,
	},
	{"hold: for a day", "batch", "", time.Second, advance(24 * time.Hour), true, state.Ready},
	{
		"hold by the task in a class that restarts", "quick", "hold", time.Second,
		advance(time.Hour), true, state.Ready,
	},
	{
		"restart by the task in a class that holds", "batch", "restart", time.Second,
		advance(time.Hour), false, state.Ready,
	},
	{"hold: heard again, it runs on", "batch", "", time.Minute, func(f *statetest.Fixture) {
		f.Advance(time.Hour)
		f.Heartbeat("w1", nil)
	}, true, state.Ready},
	{"hold: heard again, it succeeded meanwhile", "batch", "", time.Minute, func(f *statetest.Fixture) {
		f.Advance(time.Hour)
		f.EndAttempt("w1", state.AttemptResult{Attempt: firstAttempt, Succeeded: true})
	}, false, state.Done},
	{"hold: heard again, it does not run", "batch", "", time.Minute, func(f *statetest.Fixture) {
		f.Advance(time.Hour)
		f.Heartbeat("w1", func(hb *state.Heartbeat) { hb.Running = nil })
	}, false, state.Ready},
	{"hold: restarted with a note of the success", "batch", "", time.Second, func(f *statetest.Fixture) {
		f.Advance(time.Hour)
		restarted(f, state.AttemptResult{Attempt: firstAttempt, Succeeded: true})
	}, false, state.Done},
	{"hold: restarted without one, the old run may still last", "batch", "", time.Minute, func(f *statetest.Fixture) {
		f.Advance(20 * time.Second)
		restarted(f)
		f.Advance(20 * time.Second)
	}, true, state.Ready},
	{"hold: restarted without one, and the old run is over", "batch", "", time.Minute, func(f *statetest.Fixture) {
		f.Advance(50 * time.Second)
		restarted(f)
		f.Advance(12 * time.Second)
	}, false, state.Ready},
	{"an operator cannot say it of a worker that is heard", "batch", "", time.Second, func(f *statetest.Fixture) {
		if c := confirmDead(f); c != status.WorkerAlive {
			f.T.Errorf("confirmed dead: %v", c)
		}
		f.Advance(time.Hour)
	}, true, state.Ready},
	{"an operator says that it is gone", "batch", "", time.Second, func(f *statetest.Fixture) {
		f.Advance(time.Hour)
		if first, again := confirmDead(f), confirmDead(f); first != status.OK || again != status.AlreadyDone {
			f.T.Errorf("confirmed dead: %v, %v", first, again)
		}
		f.Advance(time.Second)
	}, false, state.Ready},
	{"an operator says so too early: the run limit still counts", "batch", "", 50 * time.Second,
		func(f *statetest.Fixture) {
			f.Advance(40 * time.Second)
			confirmDead(f)
			f.Advance(9 * time.Second)
		}, true, state.Ready},
	{"a cancelled task is held no longer than it can run", "batch", "", time.Second, func(f *statetest.Fixture) {
		f.Apply(cancelJob("j"))
		f.Advance(time.Hour)
	}, false, state.Cancelled},
}

// TestLostWorkerKeepsWhatMayRunOrHaveSucceeded follows one task whose worker goes
// silent: when, if ever, another may have it.
func TestLostWorkerKeepsWhatMayRunOrHaveSucceeded(t *testing.T) {
	for _, row := range lostWorkers {
		t.Run(row.name, func(t *testing.T) {
			f := statetest.New(t)
			f.AddWorker("w1", 4)
			spec := statetest.JobSpec("j", row.class, "a")
			spec.Tasks[0].RunLimit.Duration, spec.Tasks[0].LostWorkerPolicy = row.runLimit, row.policy
			f.MustApply(acceptJob(spec))
			f.StartTask("j/a@w1")
			row.do(f)
			if task := f.Task("j/a"); task.Lease.Held() != row.held || task.State != row.state {
				t.Errorf("held %v, state %s; want %v, %s", task.Lease.Held(), task.State, row.held, row.state)
			}
			same(t, f.Store)
		})
	}
}

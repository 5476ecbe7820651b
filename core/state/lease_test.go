package state_test

import (
	"testing"
	"time"

	"sorrelloom/core/state"
	"sorrelloom/core/statetest"
	"sorrelloom/core/status"
)

// leaseOutcome is the expected state of a task after an event on its lease.
type leaseOutcome struct {
	state            string
	held             bool
	failures, losses int
}

// leaseReturnCases are the events that can end the lease of a task on worker w1, or keep it.
var leaseReturnCases = []struct {
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
	{"a lost start order is not a failure", func(f *statetest.Fixture) {
		f.Grant("j/a@w1")
		f.Heartbeat("w1", nil)
		f.Heartbeat("w1", nil)
	}, leaseOutcome{state.Ready, false, 0, 0}},
	{"the start order may still arrive one heartbeat after the grant", func(f *statetest.Fixture) {
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
	{"a new incarnation keeps the lease while the old one may run", func(f *statetest.Fixture) {
		f.StartTask("j/a@w1")
		f.Heartbeat("w1", func(hb *state.Heartbeat) { hb.Incarnation, hb.Number, hb.Running = 2, 1, nil })
		f.Advance(5 * time.Second)
	}, leaseOutcome{state.Ready, true, 0, 0}},
	{"a new incarnation returns the lease after the old expiry and margin", func(f *statetest.Fixture) {
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
	{"a worker that kept running the attempt gets its lease back", func(f *statetest.Fixture) {
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

// TestLeaseReturned checks whether each event returns the lease, and what is counted.
func TestLeaseReturned(t *testing.T) {
	for _, row := range leaseReturnCases {
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
				t.Errorf("job %s is finished: %v, task %+v", job.State, finished, task)
			}
			checkReload(t, f.Store)
		})
	}
}

// confirmDead applies an operator's confirmation that worker w1 will not come back.
func confirmDead(f *statetest.Fixture) status.Code {
	return f.Apply(state.Command{Kind: state.KindConfirmWorkerDead, Name: "w1"}).Code
}

// restartWorker sends a heartbeat of worker w1 in another incarnation, which reports the given
// ends.
func restartWorker(f *statetest.Fixture, ends ...state.AttemptResult) {
	f.Heartbeat("w1", func(hb *state.Heartbeat) { hb.Incarnation, hb.Number, hb.Running, hb.Ended = 2, 1, nil, ends })
}

// firstAttempt is the attempt that worker w1 runs before it goes silent.
var firstAttempt = state.Attempt{Job: "j", Task: "a", Number: 1}

// lostWorkerCases are the events after which a task whose worker w1 went silent keeps its lease
// or loses it.
var lostWorkerCases = []struct {
	name, class, policy string
	runLimit            time.Duration
	do                  step
	held                bool
	state               string
}{
	{
		"restart: not before the run limit, although the worker's lease has expired", "quick", "", 30 * time.Second,
		advance(30 * time.Second), true, state.Ready,
	},
	{
		"restart: after the run limit and the margin", "quick", "", 30 * time.Second,
		advance(32 * time.Second), false, state.Ready,
	},
	{
		"restart: not before the worker's lease expires, although the run limit has passed", "quick", "", time.Second,
		advance(6 * time.Second), true, state.Ready,
	},
	{"hold: silent for a day", "batch", "", time.Second, advance(24 * time.Hour), true, state.Ready},
	{
		"policy hold of the task overrides restart of its class", "quick", "hold", time.Second,
		advance(time.Hour), true, state.Ready,
	},
	{
		"policy restart of the task overrides hold of its class", "batch", "restart", time.Second,
		advance(time.Hour), false, state.Ready,
	},
	{"hold: the worker reports again that it runs the attempt", "batch", "", time.Minute, func(f *statetest.Fixture) {
		f.Advance(time.Hour)
		f.Heartbeat("w1", nil)
	}, true, state.Ready},
	{"hold: the worker reports again, a success", "batch", "", time.Minute, func(f *statetest.Fixture) {
		f.Advance(time.Hour)
		f.EndAttempt("w1", state.AttemptResult{Attempt: firstAttempt, Succeeded: true})
	}, false, state.Done},
	{"hold: the worker reports again, not running the attempt", "batch", "", time.Minute, func(f *statetest.Fixture) {
		f.Advance(time.Hour)
		f.Heartbeat("w1", func(hb *state.Heartbeat) { hb.Running = nil })
	}, false, state.Ready},
	{"hold: the worker restarts and reports a success", "batch", "", time.Second, func(f *statetest.Fixture) {
		f.Advance(time.Hour)
		restartWorker(f, state.AttemptResult{Attempt: firstAttempt, Succeeded: true})
	}, false, state.Done},
	{"hold: the worker restarts, the old attempt may still run", "batch", "", time.Minute, func(f *statetest.Fixture) {
		f.Advance(20 * time.Second)
		restartWorker(f)
		f.Advance(20 * time.Second)
	}, true, state.Ready},
	{"hold: the worker restarts, the old attempt must have ended", "batch", "", time.Minute, func(f *statetest.Fixture) {
		f.Advance(50 * time.Second)
		restartWorker(f)
		f.Advance(12 * time.Second)
	}, false, state.Ready},
	{"an operator cannot confirm a live worker dead", "batch", "", time.Second, func(f *statetest.Fixture) {
		if c := confirmDead(f); c != status.WorkerAlive {
			f.T.Errorf("confirmed dead: %v", c)
		}
		f.Advance(time.Hour)
	}, true, state.Ready},
	{"an operator confirms the worker dead", "batch", "", time.Second, func(f *statetest.Fixture) {
		f.Advance(time.Hour)
		if first, again := confirmDead(f), confirmDead(f); first != status.OK || again != status.AlreadyDone {
			f.T.Errorf("confirmed dead: %v, %v", first, again)
		}
		f.Advance(time.Second)
	}, false, state.Ready},
	{"an operator confirms the worker dead before the run limit has passed", "batch", "", 50 * time.Second,
		func(f *statetest.Fixture) {
			f.Advance(40 * time.Second)
			confirmDead(f)
			f.Advance(9 * time.Second)
		}, true, state.Ready},
	{"a cancelled task is held only as long as it can run", "batch", "", time.Second, func(f *statetest.Fixture) {
		f.Apply(cancelJob("j"))
		f.Advance(time.Hour)
	}, false, state.Cancelled},
}

// TestLostWorkerLeaseHeldWhileAttemptMayRunOrHaveSucceeded checks whether a task whose worker
// goes silent keeps its lease, so that no other worker starts it while the attempt may still
// run or may have succeeded.
func TestLostWorkerLeaseHeldWhileAttemptMayRunOrHaveSucceeded(t *testing.T) {
	for _, row := range lostWorkerCases {
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
			checkReload(t, f.Store)
		})
	}
}

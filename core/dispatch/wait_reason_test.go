package dispatch

import (
	"testing"
	"time"

	"sorrelloom/core/state"
)

// TestWaitReasons creates one reason to wait in each row, and checks the reason and the holder
// by which the wait is explained.
func TestWaitReasons(t *testing.T) {
	for _, row := range []struct {
		name    string
		prepare func(f fixture)
		job     string
		want    WaitReason
		holder  string
	}{
		{"no worker", func(f fixture) { f.AcceptJob("j", "batch", "a") }, "j", WaitReason(state.NoWorker), ""},
		{"all workers are silent", func(f fixture) {
			f.AddWorker("w1", 4)
			f.AcceptJob("j", "batch", "a")
			f.Advance(31 * time.Second)
		}, "j", WaitReason(state.WorkersSilent), ""},
		{"no worker has the label", func(f fixture) {
			f.AddWorker("w1", 4)
			f.AcceptJob("j", "batch", "a+ssd")
		}, "j", WaitReason(state.WorkersUnfit), ""},
		{"leases use all slots", func(f fixture) {
			f.AddWorker("w1", 2)
			f.AcceptJob("first", "quick", "a:2")
			f.Grant("first/a@w1")
			f.AcceptJob("j", "batch", "a")
		}, "j", WaitReason(state.NoFreeResources), ""},
		{"a gang is too large", func(f fixture) {
			f.AddWorker("w1", 1)
			f.AcceptJob("j", "batch", "a[g]", "b[g]")
		}, "j", ReasonGangRoom, ""},
		{"the task has failed on the worker", func(f fixture) {
			f.AddWorker("w1", 4)
			f.AcceptJob("j", "batch", "a")
			attempt := f.StartTask("j/a@w1")
			f.EndAttempt("w1", state.AttemptResult{Attempt: attempt})
		}, "j", ReasonFailedThere, "w1"},
		{"no rule holds back the task", func(f fixture) {
			f.AddWorker("w1", 4)
			f.AcceptJob("j", "batch", "a")
		}, "j", ReasonNextScan, ""},
	} {
		t.Run(row.name, func(t *testing.T) {
			f := newFixture(t, nil)
			row.prepare(f)
			f.update()
			wait := f.dispatcher.ExplainWait(f.Store, TaskRef{row.job, 0})
			if wait.Reason != row.want || wait.Holder != row.holder {
				t.Errorf("got %s by %q, want %s by %q: %+v", wait.Reason, wait.Holder, row.want, row.holder, wait)
			}
		})
	}
}

// TestHeldForGangNamesTheGangsJob lets a gang reserve all workers, of which more than half is
// in use: the wait of a younger task is explained by the gang's job, and since when.
func TestHeldForGangNamesTheGangsJob(t *testing.T) {
	sim := newSimulation(t, 4, nil)
	sim.submit("work", "batch", "", 20*time.Second, slots(4, 40))
	sim.advance(time.Second)
	sim.submit("gang", "batch", "", time.Second, gangOf(slots(4, 60)))
	sim.advance(5 * time.Second)
	sim.submit("young", "batch", "", time.Second, slots(1, 10))
	sim.advance(time.Second)
	gang, _ := sim.Store.Job("gang")
	wait := sim.dispatcher.ExplainWait(sim.Store, TaskRef{"young", 0})
	if wait.Reason != ReasonHeldForGang || wait.Holder != "gang" {
		t.Errorf("the task waits for %s by %q", wait.Reason, wait.Holder)
	}
	if wait.Since < gang.Tasks[0].ReadyAt || wait.Since > sim.Now {
		t.Errorf("the task is held since %s", wait.Since)
	}
	if wait := sim.dispatcher.ExplainWait(sim.Store, TaskRef{"gang", 0}); wait.Reason !=
		WaitReason(state.NoFreeResources) {
		t.Errorf("the gang waits for %s", wait.Reason)
	}
}

package state_test

import (
	"testing"

	"sorrelloom/core/state"
	"sorrelloom/core/statetest"
	"sorrelloom/core/status"
)

func TestPreemptBorrowedLease(t *testing.T) {
	f := statetest.New(t)
	f.AddWorker("w1", 2)
	f.AcceptJob("s", "small", "a")
	a := f.StartTask("s/a@w1")
	if !f.Task("s/a").Lease.Borrowed {
		t.Fatal("a lease of a class without a share is not borrowed")
	}
	preempt := state.Command{Kind: state.KindPreempt, Grant: state.Grant{
		Leadership: statetest.Leadership, Epoch: 1,
		Assignments: []state.Assignment{{Job: "s", Task: "a", Worker: "w1"}},
	}}
	f.MustApply(preempt)
	if again := f.Apply(preempt); again.Code != status.TaskNotPending {
		t.Errorf("preempted twice: %v", again.Code)
	}
	if reply := f.Heartbeat("w1", nil).Heartbeat; len(reply.Stops) != 1 || reply.Stops[0] != a {
		t.Errorf("reply %+v", reply)
	}
	if task := f.Task("s/a"); !task.Lease.Held() {
		t.Error("the lease is returned before the worker has stopped the attempt")
	}
	f.EndAttempt("w1", state.AttemptResult{Attempt: a, Stopped: true})
	if task := f.Task("s/a"); task.Lease.Held() || task.State != state.Ready || task.Failures+task.Losses != 0 {
		t.Errorf("after the preemption: %+v", task)
	}
}

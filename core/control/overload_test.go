package control

import (
	"fmt"
	"testing"
	"time"

	"sorrelloom/core/machine"
	"sorrelloom/core/state"
	"sorrelloom/core/status"
	"sorrelloom/core/wire"
)

// submitLate submits a new job to the leader as if the request had waited in its input queue
// for the given time. It returns the ID of the command.
func (n *testNet) submitLate(job string, waited time.Duration) uint64 {
	n.lastID++
	request := wire.CommandRequest{ID: n.lastID, Command: state.Command{
		Kind: state.KindAcceptJob, Summary: true, Job: state.JobSpec{
			ID: job, Service: "s", Class: "c", Steps: []state.StepSpec{{Count: 2, Resources: state.Resources{Slots: 1}}},
		},
	}}
	n.step(n.leader(), machine.Input{Message: newMessage(wire.KindCommand, "gateway", request), Waited: waited})
	n.run(20 * time.Millisecond)
	return n.lastID
}

// TestNewJobsAreRejectedWhileRequestsWaitLong submits 50 new jobs per second, all of which have
// waited long in the input queue. After a while new jobs are rejected, without a command and
// with a time to retry, until a request arrives in time again. Jobs that were accepted are
// never rejected.
func TestNewJobsAreRejectedWhileRequestsWaitLong(t *testing.T) {
	const delayed, inTime = 250 * time.Millisecond, 20 * time.Millisecond
	n := newNet(t)
	n.configure()
	var accepted []string
	firstRejection := time.Duration(0)
	began, rejected := n.now, 0
	for i := range 60 {
		job, before := fmt.Sprintf("late%d", i), n.leaderStore().Position().Index
		result := n.commandReplies[n.submitLate(job, delayed)].Result
		if result.Code.IsSuccess() {
			accepted = append(accepted, job)
			continue
		}
		if rejected++; firstRejection == 0 {
			firstRejection = n.now - began
		}
		if result.Code != status.QueueFull || result.RetryAfter < time.Second || result.RetryAfter > 5*time.Second {
			t.Fatalf("job %s is answered with %+v", job, result)
		}
		if n.leaderStore().KnowsJob(job) || n.leaderStore().Position().Index > before+1 {
			t.Fatalf("the rejected job %s has changed the state", job)
		}
	}
	if firstRejection < 600*time.Millisecond || firstRejection > 700*time.Millisecond || rejected < 25 {
		t.Errorf("%d jobs were rejected, the first after %s", rejected, firstRejection)
	}
	if result := n.commandReplies[n.submitLate(accepted[0], delayed)].Result; result.Code != status.AlreadyDone {
		t.Errorf("the repeated submission of an accepted job is answered with %+v", result)
	}
	id := n.sendHeartbeat(n.leader(), 0, heartbeatOf(1))
	n.run(time.Second)
	if result := n.heartbeatReplies[id].Result; !result.Code.IsSuccess() {
		t.Errorf("a heartbeat is answered with %+v", result)
	}
	for _, job := range []string{"in-time", "after-it"} {
		if result := n.commandReplies[n.submitLate(job, inTime)].Result; !result.Code.IsSuccess() {
			t.Errorf("job %s is answered with %+v", job, result)
		}
	}
	for _, job := range accepted {
		if !n.leaderStore().KnowsJob(job) {
			t.Errorf("the accepted job %s is not in the state", job)
		}
	}
}

// TestShortOverloadRejectsNothing lets requests wait long only for the time that a process
// needs to catch up after a suspension. No job is rejected.
func TestShortOverloadRejectsNothing(t *testing.T) {
	n := newNet(t)
	n.configure()
	for i := range 100 {
		waited := time.Duration(0)
		if i%25 < 20 {
			waited = 390 * time.Millisecond
		}
		job := fmt.Sprintf("j%d", i)
		if result := n.commandReplies[n.submitLate(job, waited)].Result; !result.Code.IsSuccess() {
			t.Fatalf("job %s is answered with %+v", job, result)
		}
	}
}

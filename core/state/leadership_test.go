package state_test

import (
	"testing"
	"time"

	"sorrelloom/core/state"
	"sorrelloom/core/statetest"
	"sorrelloom/core/status"
)

func TestLeadershipMovesByLeaderOrMajority(t *testing.T) {
	f := statetest.New(t)
	send := func(hb state.SchedulerHeartbeat) status.Code {
		return f.Apply(schedulerHeartbeat(hb)).Code
	}
	vote := func(by, to string, epoch uint64) status.Code {
		return send(state.SchedulerHeartbeat{Scheduler: by, Leadership: statetest.Leadership, Candidate: to, Epoch: epoch})
	}
	transfer := func(by, to string, epoch uint64) status.Code {
		return send(state.SchedulerHeartbeat{
			Scheduler: by, Leadership: statetest.Leadership, Candidate: to, Epoch: epoch, Transfer: true,
		})
	}
	all := func() {
		for _, id := range []string{"s2", "s3", "s4", "s5"} {
			send(state.SchedulerHeartbeat{Scheduler: id})
		}
	}
	all()
	if c := vote("s2", "s2", 1); c != status.StaleEpoch {
		t.Errorf("vote while the leader is live: %v", c)
	}
	f.Advance(20 * time.Second)
	all()
	steps := []struct {
		by, to string
		epoch  uint64
		leader string
	}{
		{"s2", "s2", 1, "s1"},
		{"s3", "s3", 1, "s1"},
		{"s4", "s2", 1, "s1"},
		{"s5", "s2", 0, "s1"},
		{"s3", "s2", 1, "s2"},
		{"s4", "s4", 1, "s2"},
	}
	for i, step := range steps {
		vote(step.by, step.to, step.epoch)
		if d := f.Store.Leadership(statetest.Leadership); d.Leader != step.leader {
			t.Fatalf("step %d: leader is %s, want %s; %+v", i, d.Leader, step.leader, d)
		}
	}
	if c := transfer("s3", "s3", 2); c != status.StaleEpoch {
		t.Errorf("transfer by a scheduler that is not the leader: %v", c)
	}
	if c := transfer("s2", "s3", 2); c != status.OK || f.Store.Leadership(statetest.Leadership).Leader != "s3" {
		t.Errorf("transfer by the leader: %v", c)
	}
	checkReload(t, f.Store)
}

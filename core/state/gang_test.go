package state_test

import (
	"testing"
	"time"

	"sorrelloom/core/state"
	"sorrelloom/core/statetest"
	"sorrelloom/core/status"
)

// TestPartlyStartedGangStopped checks that a gang of which only one member has started by the
// start timeout is stopped and can be granted again, without a failure or a loss counted.
func TestPartlyStartedGangStopped(t *testing.T) {
	f := statetest.New(t)
	f.AddWorker("w1", 4)
	f.AddWorker("w2", 4)
	f.AcceptJob("g", "batch", "x[g]", "y[g]")
	if c := f.Grant("g/x@w1", "g/y@w2"); c != status.OK {
		t.Fatal(c)
	}
	x := state.Attempt{Job: "g", Task: "x", Number: 1}
	f.Heartbeat("w1", func(hb *state.Heartbeat) { hb.Running = []state.Attempt{x} })
	f.Advance(4100 * time.Millisecond)
	reply := f.Heartbeat("w1", nil).Heartbeat
	if len(reply.Stops) != 1 || reply.Stops[0] != x {
		t.Fatalf("the only started member must be stopped: %+v", reply)
	}
	f.EndAttempt("w1", state.AttemptResult{Attempt: x, Stopped: true})
	f.Heartbeat("w2", nil)
	f.Heartbeat("w2", nil)
	for _, at := range []string{"g/x", "g/y"} {
		if task := f.Task(at); task.State != state.Ready || task.Lease.Held() || task.Failures != 0 || task.Losses != 0 {
			t.Errorf("%s: %+v", at, task)
		}
	}
	if c := f.Grant("g/x@w1", "g/y@w2"); c != status.OK {
		t.Errorf("the complete gang is not granted again: %v", c)
	}
}

// TestGangStarted checks GangStarted while the members of a gang start one after the other.
func TestGangStarted(t *testing.T) {
	f := statetest.New(t)
	f.AddWorker("w1", 4)
	f.AddWorker("w2", 4)
	f.AcceptJob("g", "batch", "x[g]", "y[g]", "z")
	if c := f.Grant("g/x@w1", "g/y@w2"); c != status.OK {
		t.Fatal(c)
	}
	x, y := state.Attempt{Job: "g", Task: "x", Number: 1}, state.Attempt{Job: "g", Task: "y", Number: 1}
	check := func(when string, want bool) {
		t.Helper()
		if f.Store.GangStarted(x) != want || f.Store.GangStarted(y) != want {
			t.Errorf("%s: started: %v and %v, want %v", when, f.Store.GangStarted(x), f.Store.GangStarted(y), want)
		}
	}
	check("granted", false)
	f.Heartbeat("w1", func(hb *state.Heartbeat) { hb.Running = []state.Attempt{x} })
	check("one started", false)
	f.Heartbeat("w2", func(hb *state.Heartbeat) { hb.Running = []state.Attempt{y} })
	check("both started", true)
	if f.Store.GangStarted(state.Attempt{Job: "g", Task: "x", Number: 2}) {
		t.Error("an attempt that was not granted counts as started")
	}
	f.EndAttempt("w2", state.AttemptResult{Attempt: y, Lost: true})
	check("one lost, the other being stopped", false)
}

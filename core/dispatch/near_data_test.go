package dispatch

import (
	"testing"
	"time"

	"sorrelloom/core/state"
	"sorrelloom/core/statetest"
)

// acceptNear submits a job whose tasks prefer a rack and have the given expected run time.
func (s fixture) acceptNear(id, class, rack string, guess time.Duration, tasks ...string) {
	spec := statetest.JobSpec(id, class, tasks...)
	for i := range spec.Tasks {
		spec.Tasks[i].PreferredRack = rack
		spec.Tasks[i].ExpectedRunTime.Duration = guess
	}
	s.MustApply(state.Command{Kind: state.KindAcceptJob, Job: spec})
}

// setRack assigns a worker to a rack.
func (s fixture) setRack(worker, rack string) {
	s.Heartbeat(worker, func(hb *state.Heartbeat) { hb.Rack = rack })
	s.update()
}

// newTwoRacks returns a fixture with one worker in each of two racks; the worker in the first
// rack is full.
func newTwoRacks(t *testing.T) fixture {
	s := newFixture(t, map[string]int{"near": 2, "far": 8}, "near", "far")
	s.setRack("near", "r1")
	s.setRack("far", "r2")
	s.AcceptJob("b", "batch", "a", "b")
	s.StartTask("b/a@near")
	s.StartTask("b/b@near")
	s.update()
	return s
}

// TestTaskWaitsForItsRack checks that a task waits for the full rack of its data as long as its
// run is expected to take longer elsewhere, and that a worker elsewhere may then steal it.
func TestTaskWaitsForItsRack(t *testing.T) {
	s := newTwoRacks(t)
	s.acceptNear("q", "quick", "r1", time.Second, "x")
	if got, _ := s.pull("far", true); got != "" {
		t.Errorf("stolen at once: %s", got)
	}
	s.Now += 300 * time.Millisecond
	s.Heartbeat("far", nil)
	if got, _ := s.pull("far", true); got != "" {
		t.Errorf("stolen after 300 ms, before the expected additional run time elsewhere has passed: %s", got)
	}
	s.Now += 250 * time.Millisecond
	s.Heartbeat("far", nil)
	if got, from := s.pull("far", true); got != "q/x@far" || from != "near" {
		t.Errorf("after the wait: got %q from %q", got, from)
	}
}

// TestTaskWithoutWorkerInItsRackDoesNotWait checks that a task may run anywhere at once if no
// worker in the rack of its data fits.
func TestTaskWithoutWorkerInItsRackDoesNotWait(t *testing.T) {
	s := newTwoRacks(t)
	s.acceptNear("q", "quick", "r9", time.Second, "x")
	if got, _ := s.pull("far", true); got != "q/x@far" {
		t.Errorf("got %q", got)
	}
}

// TestRackWait checks the wait that is derived from run times near the data and away from
// it.
func TestRackWait(t *testing.T) {
	class := state.ClassKey{Service: "tickets", Class: "quick"}
	known := runTimes{}
	if got := known.rackWait(class, time.Second); got != 500*time.Millisecond {
		t.Errorf("without known run times it waits %s", got)
	}
	for range 200 {
		known.observe(class, 1, false)
		known.observe(class, 2, true)
	}
	if got := known.rackWait(class, 0); got < 950*time.Millisecond || got > time.Second {
		t.Errorf("runs elsewhere take twice as long, and it waits %s", got)
	}
	for range 200 {
		known.observe(class, 4, true)
	}
	if got := known.rackWait(class, 0); got != maxRackWait {
		t.Errorf("runs elsewhere take four times as long, and it waits %s", got)
	}
	for range 400 {
		known.observe(class, 1, true)
	}
	if got := known.rackWait(class, 0); got > 50*time.Millisecond {
		t.Errorf("runs elsewhere take no longer, and it waits %s", got)
	}
}

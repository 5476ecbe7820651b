package dispatch

import (
	"math"
	"testing"
	"time"

	"sorrelloom/core/state"
	"sorrelloom/core/statetest"
)

// TestRackDemand follows what quick work takes.
func TestRackDemand(t *testing.T) {
	var demand rackDemand
	for i := range 400 {
		demand.observe(time.Duration(i+1)*100*time.Millisecond, float64(10+10*(i%2)))
	}
	if demand.mean < 13 || demand.mean > 17 || demand.deviation < 3 || demand.deviation > 7 {
		t.Errorf("between 10 and 20: %+v", demand)
	}
}

// TestHeadroom lets quick work use half of a rack and end. Other work leaves a part of the
// room alone while it has slack, and takes it once its slack is used up.
func TestHeadroom(t *testing.T) {
	s := newFixture(t, map[string]int{"w1": 8}, "w1")
	s.AcceptJob("q", "quick", "a", "b", "c", "d")
	for _, task := range []string{"a", "b", "c", "d"} {
		s.StartTask("q/" + task + "@w1")
	}
	for range 100 {
		s.Now += 100 * time.Millisecond
		s.Heartbeat("w1", nil)
		s.update()
		s.dispatcher.updateHeadroom(s.Store)
	}
	for _, task := range []string{"a", "b", "c", "d"} {
		attempt := state.Attempt{Job: "q", Task: task, Number: 1}
		s.EndAttempt("w1", state.AttemptResult{Attempt: attempt, Succeeded: true})
	}
	s.Now += headroomInterval
	s.Heartbeat("w1", nil)
	spec := statetest.JobSpec("b", "batch", "a", "b", "c", "d", "e", "f", "g", "h")
	s.MustApply(state.Command{Kind: state.KindAcceptJob, Job: spec})
	withSlack := func(slack time.Duration) {
		s.dispatcher.chains["b"] = jobChain{remaining: []time.Duration{-slack}}
		s.Now += headroomInterval
		s.Heartbeat("w1", nil)
	}
	withSlack(time.Hour)
	taken := s.startAll(t, "w1")
	if want := 8 - int(math.Floor(maxHeadroom*8)); taken != want {
		t.Errorf("%d of 8 slots taken at once, want %d", taken, want)
	}
	withSlack(-time.Hour)
	if more := s.startAll(t, "w1"); taken+more != 8 {
		t.Errorf("without slack %d more are taken, want %d", more, 8-taken)
	}
}

// startAll has a worker pull and start all that it gets, and counts that.
func (s fixture) startAll(t *testing.T, worker string) (count int) {
	t.Helper()
	for {
		assignment, _ := s.pull(worker, true)
		if assignment == "" {
			return count
		}
		s.StartTask(assignment)
		count++
	}
}

// TestHeadroomOfIdleService keeps nothing in a rack while much of the service is free, so that a
// task that fits in this rack only does not wait there.
func TestHeadroomOfIdleService(t *testing.T) {
	busy, idle := rackUse{capacity: 100, free: 10}, rackUse{capacity: 100, free: 95}
	for _, row := range []struct {
		name string
		uses map[rackKey]rackUse
		want int
	}{
		{"half of it is free", map[rackKey]rackUse{{"s", "r1"}: busy, {"s", "r2"}: idle}, 15},
		{"all of it is busy", map[rackKey]rackUse{{"s", "r1"}: busy, {"s", "r2"}: busy}, -70},
		{"another one is free", map[rackKey]rackUse{{"s", "r1"}: busy, {"t", "r2"}: idle}, -35},
	} {
		if got := spareOfServices(row.uses)["s"]; got != row.want {
			t.Errorf("%s: %d slots to spare, want %d", row.name, got, row.want)
		}
	}
}

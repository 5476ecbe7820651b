package machine

import (
	"testing"
	"time"
)

// TestPhaseMeterReturnsToInterruptedPhase enters a phase within another one, and checks that
// the time after it counts for the interrupted phase.
func TestPhaseMeterReturnsToInterruptedPhase(t *testing.T) {
	now := time.Hour
	meter := NewPhaseMeter(func() time.Duration { return now })
	for range 2 {
		meter.BeginStep()
		now += time.Millisecond
		outer := meter.Enter(PhaseSchedule)
		now += 2 * time.Millisecond
		inner := meter.Enter(PhaseApply)
		now += 4 * time.Millisecond
		meter.Enter(inner)
		now += 8 * time.Millisecond
		meter.Enter(outer)
		now += 16 * time.Millisecond
		times := meter.EndStep()
		want := PhaseTimes{
			PhaseReceive: 17 * time.Millisecond, PhaseSchedule: 10 * time.Millisecond, PhaseApply: 4 * time.Millisecond,
		}
		if times != want || times.Total() != 31*time.Millisecond {
			t.Errorf("measured %v, want %v", times, want)
		}
	}
}

func TestNilPhaseMeterMeasuresNothing(t *testing.T) {
	var meter *PhaseMeter
	if got := meter.Enter(PhaseApply); got != PhaseApply {
		t.Errorf("Enter(PhaseApply) of a nil meter returns %v", got)
	}
}

func TestPhasesHaveNames(t *testing.T) {
	for phase := range PhaseCount {
		if phase.String() == "" {
			t.Errorf("phase %d has no name", phase)
		}
	}
}

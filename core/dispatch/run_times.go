package dispatch

import (
	"time"

	"sorrelloom/core/state"
)

const (
	// typicalWeight is the weight of the last run in a class's typical run time, a moving
	// average. A single run counts for at most maxTypicalRatio times the average.
	typicalWeight   = 0.02
	maxTypicalRatio = 2
	// farWeight is the weight of the last run away from its data in a class's far ratio, a
	// moving average. initialFarRatio applies until there has been such a run, and maxFarRatio
	// bounds what a single run counts.
	farWeight       = 0.05
	initialFarRatio = 1.5
	maxFarRatio     = 5
	// maxRackWait bounds how long a task waits for the rack of its data. It is well below
	// the time after which a task that could run counts as stalled (state.StalledTasks).
	maxRackWait = 1500 * time.Millisecond
)

// classRunTimes holds statistics of the run times of a class.
type classRunTimes struct {
	// typical is a moving average of the run times near the data, in seconds; 0 is unknown.
	typical float64
	// farRatio is the ratio of the run times away from the data to those near it; 0 is unknown.
	farRatio float64
}

// runTimes holds the statistics of all classes.
type runTimes map[state.ClassKey]classRunTimes

// observe adds the run of a task that has succeeded.
func (r runTimes) observe(class state.ClassKey, runSeconds float64, far bool) {
	known := r[class]
	if known.farRatio == 0 {
		known.farRatio = initialFarRatio
	}
	switch {
	case far && known.typical > 0:
		ratio := min(runSeconds/known.typical, maxFarRatio)
		known.farRatio = max(1, known.farRatio+farWeight*(ratio-known.farRatio))
	case known.typical == 0:
		known.typical = runSeconds
		if far {
			known.typical /= known.farRatio
		}
	default:
		known.typical += typicalWeight * (min(runSeconds, maxTypicalRatio*known.typical) - known.typical)
	}
	r[class] = known
}

// shortestTypical returns the smallest known typical run time in seconds; 0 if none is known.
func (r runTimes) shortestTypical() (shortest float64) {
	for _, known := range r {
		if known.typical > 0 && (shortest == 0 || known.typical < shortest) {
			shortest = known.typical
		}
	}
	return shortest
}

// rackWait returns how long a task of a class waits for the rack of its data before it may
// run elsewhere: the expected additional run time elsewhere. guess is the run time that is
// assumed while none is known.
func (r runTimes) rackWait(class state.ClassKey, guess time.Duration) time.Duration {
	known := r[class]
	ratio := known.farRatio
	if ratio == 0 {
		ratio = initialFarRatio
	}
	typical := time.Duration(known.typical * float64(time.Second))
	if typical == 0 {
		typical = guess
	}
	return min(maxRackWait, time.Duration((ratio-1)*float64(typical)))
}

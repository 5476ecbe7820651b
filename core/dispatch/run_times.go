package dispatch

import (
	"time"

	"sorrelloom/core/state"
)

const (
	// typicalWeight is the weight of the last run in a class's typical run time, which a
	// single run can raise at most by maxTypicalRatio.
	typicalWeight   = 0.02
	maxTypicalRatio = 2
	// farWeight is the weight of the last run away from its data in a class's far ratio;
	// initialFarRatio stands until there was one, and maxFarRatio bounds a single run.
	farWeight       = 0.05
	initialFarRatio = 1.5
	maxFarRatio     = 5
	// maxNearPatience bounds how long a task waits for the rack of its data. It is well below
	// the time after which a task that could run counts as stalled (state.StalledTasks).
	maxNearPatience = 1500 * time.Millisecond
)

// classRunTimes is what the runs of a class have shown.
type classRunTimes struct {
	// typical is a moving average of the run times near the data, in seconds; 0 is unknown.
	typical float64
	// farRatio is how much longer runs away from their data take.
	farRatio float64
}

// runTimes are those of all classes.
type runTimes map[state.ClassKey]classRunTimes

// observe takes the run of a task that has succeeded.
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

// shortestTypical returns the smallest typical run time that is known, in seconds; 0 if none is.
func (r runTimes) shortestTypical() (shortest float64) {
	for _, known := range r {
		if known.typical > 0 && (shortest == 0 || known.typical < shortest) {
			shortest = known.typical
		}
	}
	return shortest
}

// nearPatience returns how long a task of a class waits for the rack of its data before it
// may run elsewhere: as long as running elsewhere takes more than running there.
func (r runTimes) nearPatience(class state.ClassKey, guess time.Duration) time.Duration {
	known := r[class]
	ratio := known.farRatio
	if ratio == 0 {
		ratio = initialFarRatio
	}
	typical := time.Duration(known.typical * float64(time.Second))
	if typical == 0 {
		typical = guess
	}
	return min(maxNearPatience, time.Duration((ratio-1)*float64(typical)))
}

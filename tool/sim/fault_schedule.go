package sim

import (
	"fmt"
	"slices"
	"strings"
	"time"
)

// Timing of random faults.
const (
	firstFaultAt     = 12 * time.Second
	lastFaultBefore  = 5 * time.Second // before the end of the run
	minFaultInterval = 1500            // in milliseconds
	faultJitter      = 5000            // in milliseconds
)

// scheduleRandomFaults schedules random faults from Options.Faults at random times.
func (w *World) scheduleRandomFaults(options Options, play func(name string)) {
	at := firstFaultAt
	for len(options.Faults) > 0 && at < options.Duration-lastFaultBefore {
		name := options.Faults[w.rng.IntN(len(options.Faults))]
		w.At(at, func() { play(name) })
		at += time.Duration(minFaultInterval+w.rng.IntN(faultJitter)) * time.Millisecond
	}
}

// isolateFor blocks all links from and to a node for a while.
func (w *World) isolateFor(n *node, duration time.Duration) {
	w.logf("isolate %s", n.name)
	w.Isolate(n.address)
	w.After(duration, func() {
		w.logf("reconnect %s", n.name)
		w.Reconnect(n.address)
	})
}

// randomSeconds draws a whole number of seconds in the range [least, least+jitter).
func (w *World) randomSeconds(least, jitter int) time.Duration {
	return time.Duration(least+w.rng.IntN(jitter)) * time.Second
}

// randomMillis draws a whole number of milliseconds in the range [least, least+jitter).
func (w *World) randomMillis(least, jitter int) time.Duration {
	return time.Duration(least+w.rng.IntN(jitter)) * time.Millisecond
}

// coin returns true or false with equal probability.
func (w *World) coin() bool { return w.rng.IntN(2) == 0 }

// parseFaultNames parses a comma-separated list of faults, "all" or "none".
func parseFaultNames(text string, names []string) ([]string, error) {
	switch text {
	case "all":
		return names, nil
	case "none":
		return nil, nil
	}
	chosen := strings.Split(text, ",")
	for _, name := range chosen {
		if !slices.Contains(names, name) {
			return nil, fmt.Errorf("no fault %q; there are %s", name, strings.Join(names, " "))
		}
	}
	return chosen, nil
}

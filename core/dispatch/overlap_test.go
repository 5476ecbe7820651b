package dispatch

import (
	"fmt"
	"testing"
	"time"

	"sorrelloom/core/config"
	"sorrelloom/core/state"
)

// twoTenants returns a patch that gives the tenant "one" a limit in slots, and "two" one that
// never binds.
func twoTenants(limit int) string {
	return fmt.Sprintf(`{"tenants":{"one":{"keys":[%q],"limit":{"slots":%d}},"two":{"keys":[%q],"limit":{"slots":5000}}}}`,
		config.DigestKey("one"), limit, config.DigestKey("two"))
}

// overlappingGangs lists pairs of a tenant's gang that waits at the tenant's limit and another
// gang that waits for workers, both behind long tasks.
var overlappingGangs = []struct {
	name string
	// workers is the number of workers, and limit that of the first tenant in slots.
	workers, limit int
	// longOfOne and longOfTwo are steps of long tasks that start before the gangs are
	// submitted.
	longOfOne, longOfTwo state.StepSpec
	atLimit, forWorkers  state.StepSpec
	// between is the time between the submissions of the two gangs; if it is negative, the one
	// that waits for workers comes first.
	between time.Duration
	small   state.StepSpec
}{
	{
		name: "at the same time", workers: 8, limit: 100,
		longOfOne: slots(2, 10), longOfTwo: slots(2, 50), atLimit: slots(9, 10), forWorkers: slots(8, 60), small: slots(1, 3),
	},
	{
		name: "the one for workers later", workers: 8, limit: 100, between: 1300 * time.Millisecond,
		longOfOne: slots(2, 10), longOfTwo: slots(2, 50), atLimit: slots(9, 10), forWorkers: slots(8, 60), small: slots(1, 3),
	},
	{
		name: "the one at the limit later", workers: 8, limit: 100, between: -7 * time.Second,
		longOfOne: slots(2, 10), longOfTwo: slots(2, 50), atLimit: slots(9, 10), forWorkers: slots(8, 60), small: slots(1, 3),
	},
	{
		name: "the one for workers needs memory", workers: 8, limit: 100, between: time.Second,
		longOfOne: slots(2, 10), longOfTwo: megabytes(2, 100), atLimit: slots(9, 10), forWorkers: megabytes(8, 128),
		small: state.StepSpec{Count: 1, Resources: state.Resources{Slots: 3, MemoryMB: 4}},
	},
}

// TestOverlappingHoldsAreReleasedTogether guards against starvation: two gangs alternately held
// back the small jobs of one tenant, each within its own bound, and the jobs never started. The
// test also requires that both gangs start beside the small jobs once the long tasks have
// ended.
func TestOverlappingHoldsAreReleasedTogether(t *testing.T) {
	const longTime, streamTime = 2 * time.Minute, 60 * time.Second
	for _, row := range overlappingGangs {
		t.Run(row.name, func(t *testing.T) {
			sim := newSimulation(t, row.workers, nil)
			sim.configure(twoTenants(row.limit))
			one, two := config.DigestKey("one"), config.DigestKey("two")
			sim.submit("long-one", "batch", one, longTime, row.longOfOne)
			sim.submit("long-two", "batch", two, longTime, row.longOfTwo)
			sim.advance(time.Second)
			atLimit := func() { sim.submit("at-limit", "batch", one, time.Second, gangOf(row.atLimit)) }
			forWorkers := func() { sim.submit("for-workers", "batch", two, time.Second, gangOf(row.forWorkers)) }
			first, second := atLimit, forWorkers
			if row.between < 0 {
				first, second = forWorkers, atLimit
			}
			first()
			sim.advance(row.between.Abs())
			second()
			sim.advance(12 * time.Second)
			streamBound, lastBound := maxStreamingHold+stalledAfter, arrivalGap+stalledAfter
			waited := sim.stream(streamTime, 500*time.Millisecond, "batch", one, time.Second, row.small)
			if waited > streamBound {
				t.Errorf("small jobs waited for up to %s while more arrived", waited)
			}
			for _, id := range []string{"last", "later"} {
				sim.submit(id, "batch", one, time.Second, row.small)
				sim.advance(1200 * time.Millisecond)
				sim.submit(id+"-of-two", "batch", two, time.Second, row.small)
				sim.advance(lastBound)
				if sim.startOf(id) == 0 {
					t.Errorf("the %s small job has not started %s after the arrivals stopped", id, lastBound)
				}
			}
			if sim.startOf("at-limit") != 0 || sim.startOf("for-workers") != 0 {
				t.Fatal("a gang has started that should wait")
			}
			sim.cancel("long-one")
			sim.cancel("long-two")
			longest := sim.stream(gangBound+15*time.Second, 500*time.Millisecond, "batch", one, time.Second, row.small)
			if longest > maxStreamingHold+stalledAfter {
				t.Errorf("small jobs waited for up to %s beside gangs that could start", longest)
			}
			if sim.startOf("at-limit") == 0 || sim.startOf("for-workers") == 0 {
				t.Errorf("the gangs started at %s and %s; now it is %s",
					sim.startOf("at-limit"), sim.startOf("for-workers"), sim.Now)
			}
		})
	}
}

// TestOverlapWindow lets two gangs hold work back alternately, with some time between their
// holds. Where that time is short, the work must be released within the bound of the holds.
func TestOverlapWindow(t *testing.T) {
	const step = 10 * time.Millisecond
	for _, row := range []struct {
		name string
		// between is the time between two holds, which last for a second each.
		between    time.Duration
		conditions holdConditions
		bound      time.Duration // 0: nothing is released
	}{
		{"no time between", 0, holdConditions{idle: true}, maxIdleHold},
		{"a short time between", minSharedPause - step, holdConditions{idle: true}, maxIdleHold + minSharedPause},
		{
			"a short time between, streaming", minSharedPause - step, holdConditions{idle: true, streaming: true},
			maxStreamingHold + minSharedPause,
		},
		{"a pause between", minSharedPause + step, holdConditions{idle: true}, 0},
	} {
		t.Run(row.name, func(t *testing.T) {
			window, heldSince, released := &overlapWindow{}, time.Duration(0), 0
			for now := time.Duration(0); now < 2*maxBusyHold; now += step {
				held := now%(time.Second+row.between) < time.Second
				switch {
				case window.releases(now, held, row.conditions):
					heldSince = now
					released++
				case window.isOver(now):
					window, heldSince = &overlapWindow{}, now
				}
				if wait := now - heldSince; row.bound > 0 && wait > row.bound {
					t.Fatalf("at %s the work has been held back for %s", now, wait)
				}
			}
			if row.bound == 0 && released > 0 {
				t.Error("the work was released although the holds have a pause")
			}
		})
	}
}

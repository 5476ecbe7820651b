package dispatch

import (
	"fmt"
	"testing"
	"time"

	"sorrelloom/core/config"
	"sorrelloom/core/state"
)

const (
	// stalledAfter is the time after which work that could run counts as stalled.
	stalledAfter = 3 * time.Second
	// gangBound is the maximum time that a gang may wait if the present workers could run it.
	gangBound = 20 * time.Second
)

// withLabel returns the step with a label that its tasks need.
func withLabel(label string, step state.StepSpec) state.StepSpec {
	step.Labels = []string{label}
	return step
}

// perWorker returns the step with a limit of tasks per worker.
func perWorker(limit int, step state.StepSpec) state.StepSpec {
	step.MaxPerWorker = limit
	return step
}

// megabytes returns a step of tasks with one slot and the given megabytes each.
func megabytes(count, each int) state.StepSpec {
	return state.StepSpec{Count: count, Resources: state.Resources{Slots: 1, MemoryMB: each}}
}

// tenantLimit returns a patch that gives the tenant "one" a limit in slots.
func tenantLimit(limit int) string {
	return fmt.Sprintf(`{"tenants":{"one":{"keys":[%q],"limit":{"slots":%d}}}}`, config.DigestKey("one"), limit)
}

// blockedGang describes a gang that can't start as long as it is blocked.
type blockedGang struct {
	name    string
	workers int
	labels  map[int]string
	// block creates the obstacle, and unblock removes it.
	block, unblock func(sim *simulation)
	gang           state.StepSpec
	// key is the key of the gang's tenant and of the small jobs' tenant.
	key string
	// small is the step of the small jobs that arrive all the time, class is their class, and
	// bound the maximum time that they may wait.
	small state.StepSpec
	class string
	bound time.Duration
}

func noChange(*simulation) {}

var blockedGangs = []blockedGang{
	{
		name: "a lost worker, and long-running tasks on others", workers: 11, gang: slots(8, 60), small: slots(2, 3),
		block: func(sim *simulation) {
			sim.submit("lasting", "batch", "", 0, longRunning(slots(3, 60)))
			sim.advance(time.Second)
			sim.workers[10].lost = true
			sim.advance(4 * time.Second)
		},
		unblock: func(sim *simulation) { sim.cancel("lasting") },
	},
	{
		name: "long-running tasks only", workers: 10, gang: slots(8, 60), small: slots(2, 3),
		block:   func(sim *simulation) { sim.submit("lasting", "batch", "", 0, longRunning(slots(3, 60))) },
		unblock: func(sim *simulation) { sim.cancel("lasting") },
	},
	{
		name: "long-running tasks use the memory", workers: 10, gang: megabytes(8, 120), small: megabytes(2, 6),
		block:   func(sim *simulation) { sim.submit("lasting", "batch", "", 0, longRunning(megabytes(3, 120))) },
		unblock: func(sim *simulation) { sim.cancel("lasting") },
	},
	{
		name: "the small jobs are of another class", workers: 10, gang: slots(8, 60), small: slots(2, 3), class: "small",
		block:   func(sim *simulation) { sim.submit("lasting", "batch", "", 0, longRunning(slots(3, 60))) },
		unblock: func(sim *simulation) { sim.cancel("lasting") },
	},
	{
		name: "the long-running tasks are younger", workers: 10, gang: slots(8, 60), small: slots(2, 3),
		block: func(sim *simulation) {
			sim.submit("work", "batch", "", 4*time.Second, slots(10, 20))
			sim.advance(time.Second)
			sim.submit("lasting", "batch", "", 0, longRunning(slots(10, 5)))
		},
		unblock: func(sim *simulation) { sim.cancel("lasting") }, bound: maxStreamingHold + stalledAfter,
	},
	{
		name: "one member per worker, and one worker is lost", workers: 11,
		gang: perWorker(1, slots(11, 30)), small: slots(2, 40),
		block: func(sim *simulation) {
			sim.workers[10].lost = true
			sim.advance(4 * time.Second)
		},
		unblock: func(sim *simulation) { sim.workers[10].lost = false },
	},
	{
		name: "one of the workers with the label is lost", workers: 6, labels: map[int]string{0: "ssd", 1: "ssd"},
		gang: withLabel("ssd", slots(2, 60)), small: withLabel("ssd", slots(1, 10)),
		block: func(sim *simulation) {
			sim.workers[1].lost = true
			sim.advance(4 * time.Second)
		},
		unblock: func(sim *simulation) { sim.workers[1].lost = false },
	},
	{
		name: "tasks of a minute", workers: 8, gang: slots(8, 60), small: slots(2, 10),
		block:   func(sim *simulation) { sim.submit("minute", "batch", "", time.Minute, slots(2, 60)) },
		unblock: func(sim *simulation) { sim.advance(50 * time.Second) }, bound: maxStreamingHold + stalledAfter,
	},
	{
		name: "its tenant's limit, beside long-running tasks", workers: 11,
		gang: slots(9, 10), small: slots(2, 3), key: "one",
		block: func(sim *simulation) {
			sim.configure(tenantLimit(120))
			sim.submit("lasting", "batch", config.DigestKey("one"), 0, longRunning(slots(2, 10)))
			sim.advance(time.Second)
			sim.configure(tenantLimit(100))
		},
		unblock: func(sim *simulation) { sim.configure(tenantLimit(120)) },
	},
	{
		name: "its tenant's limit, and the long-running tasks end", workers: 11,
		gang: slots(9, 10), small: slots(2, 3), key: "one",
		block: func(sim *simulation) {
			sim.configure(tenantLimit(100))
			sim.submit("lasting", "batch", config.DigestKey("one"), 0, longRunning(slots(2, 10)))
		},
		unblock: func(sim *simulation) { sim.cancel("lasting") },
	},
	{
		name: "too few workers for a tenant's gang that waits for its limit", workers: 4, gang: slots(5, 60),
		small: slots(2, 3), key: "one",
		block:   func(sim *simulation) { sim.configure(tenantLimit(302)) },
		unblock: func(sim *simulation) { sim.workers = append(sim.workers, &simulatedWorker{name: "w99"}) },
	},
	{
		name: "no obstacle", workers: 8, gang: slots(8, 60), small: slots(2, 3), block: noChange, unblock: noChange,
		bound: maxStreamingHold + stalledAfter,
	},
	{
		name: "no obstacle, of a tenant", workers: 8, gang: slots(8, 10), small: slots(2, 3), key: "one",
		block: func(sim *simulation) { sim.configure(tenantLimit(85)) }, unblock: noChange,
		bound: maxStreamingHold + stalledAfter,
	},
}

// TestBlockedGangHoldsWorkForBoundedTime guards against starvation: a gang that could not start
// because of long-running tasks or a lost worker held back all younger work of its service or
// its tenant. The test also requires that the gang starts beside a steady stream of that work
// once it is unblocked.
func TestBlockedGangHoldsWorkForBoundedTime(t *testing.T) {
	for _, row := range blockedGangs {
		t.Run(row.name, func(t *testing.T) {
			sim := newSimulation(t, row.workers, row.labels)
			key, class, bound := "", "batch", stalledAfter
			if row.key != "" {
				key = config.DigestKey(row.key)
			}
			if row.class != "" {
				class = row.class
			}
			if row.bound > 0 {
				bound = row.bound
			}
			row.block(sim)
			sim.advance(time.Second)
			sim.submit("gang", "batch", key, time.Second, gangOf(row.gang))
			if longest := sim.stream(20*time.Second, 500*time.Millisecond, class, key, time.Second, row.small); longest > bound {
				t.Errorf("small jobs waited for up to %s", longest)
			}
			before := sim.startOf("gang")
			row.unblock(sim)
			unblockedAt := sim.Now
			longest := sim.stream(30*time.Second, 500*time.Millisecond, class, key, time.Second, row.small)
			if longest > maxStreamingHold+stalledAfter {
				t.Errorf("small jobs waited for up to %s beside a gang that could start", longest)
			}
			switch startedAt := sim.startOf("gang"); {
			case startedAt == 0:
				t.Error("the gang has not started beside small jobs")
			case before == 0 && startedAt-unblockedAt > gangBound:
				t.Errorf("the gang started %s after it was unblocked", startedAt-unblockedAt)
			}
		})
	}
}

// TestHeldWorkStartsAfterArrivalsStop lets a gang wait for tasks of a minute: the work that it
// holds back starts soon after no more work arrives, and so does a job submitted later.
func TestHeldWorkStartsAfterArrivalsStop(t *testing.T) {
	for _, key := range []string{"", config.DigestKey("one")} {
		sim := newSimulation(t, 8, nil)
		sim.configure(tenantLimit(500))
		sim.submit("minute", "batch", key, time.Minute, slots(2, 60))
		sim.advance(time.Second)
		sim.submit("gang", "batch", key, time.Second, gangOf(slots(8, 60)))
		sim.advance(15 * time.Second)
		sim.submit("last", "batch", key, time.Second, slots(1, 10))
		sim.advance(arrivalGap + stalledAfter)
		if sim.startOf("last") == 0 {
			t.Errorf("key %q: the last job has not started %s after its submission", key, arrivalGap+stalledAfter)
		}
		before := sim.startOf("last")
		sim.submit("later", "batch", key, time.Second, slots(1, 10))
		sim.advance(arrivalGap + stalledAfter)
		if sim.startOf("later") == 0 || before == 0 {
			t.Errorf("key %q: a later job has not started", key)
		}
	}
}

// TestLongRunningTaskIsHeldBriefly submits a long-running task after a gang that reserves all
// workers, of which more than half is in use.
func TestLongRunningTaskIsHeldBriefly(t *testing.T) {
	sim := newSimulation(t, 4, nil)
	sim.submit("work", "batch", "", 20*time.Second, slots(4, 40))
	sim.advance(time.Second)
	sim.submit("gang", "batch", "", time.Second, gangOf(slots(4, 60)))
	sim.advance(5 * time.Second)
	sim.submit("young", "batch", "", time.Second, slots(1, 10))
	sim.submit("lasting", "batch", "", 0, longRunning(slots(1, 10)))
	sim.advance(maxIdleHold - simulationStep)
	if sim.startOf("young") != 0 {
		t.Error("other work does not wait for the gang although more than half of the slots is in use")
	}
	sim.advance(stalledAfter - maxIdleHold)
	if sim.startOf("lasting") == 0 {
		t.Error("the long-running task waits for the gang")
	}
	if _, reserved := sim.dispatcher.reservation(sim.Store, "tickets"); reserved {
		t.Error("the gang still has a reservation although the long-running task uses its resources")
	}
}

// TestHoldWindow checks the bounds of a hold in isolation.
func TestHoldWindow(t *testing.T) {
	for _, row := range []struct {
		name       string
		conditions holdConditions
		want       time.Duration
	}{
		{"idle", holdConditions{idle: true}, maxIdleHold},
		{"idle, streaming", holdConditions{idle: true, streaming: true}, maxStreamingHold},
		{"busy", holdConditions{}, maxBusyHold},
		{"busy, streaming", holdConditions{streaming: true}, maxBusyHold},
	} {
		t.Run(row.name, func(t *testing.T) {
			var window holdWindow
			start := 7 * time.Second
			for round := range 3 {
				now := start
				for ; window.holds(now, row.conditions); now += 10 * time.Millisecond {
					if now-start > 2*maxBusyHold {
						t.Fatal("the hold does not end")
					}
				}
				if now-start != row.want {
					t.Errorf("round %d: the hold lasted for %s, want %s", round, now-start, row.want)
				}
				if window.holds(now+holdPause-1, row.conditions) {
					t.Error("the window holds during its pause")
				}
				start = now + holdPause
			}
		})
	}
}

// TestGangStartsBesideSteadyWork submits a gang during a steady stream of work that uses little
// or much at a time. The gang must start beside it, whether it needs all workers, leaves some,
// or is held back by its tenant's limit.
func TestGangStartsBesideSteadyWork(t *testing.T) {
	for _, row := range []struct {
		name        string
		runTime     time.Duration
		small, gang state.StepSpec
		tenant      bool
	}{
		{"short tasks, little in use", time.Second, slots(2, 10), slots(8, 60), false},
		{"short tasks, much in use", time.Second, slots(8, 20), slots(8, 60), false},
		{"short tasks, more than fit", time.Second, slots(40, 10), slots(8, 60), false},
		{"longer tasks, little in use", 5 * time.Second, slots(2, 5), slots(8, 60), false},
		{"longer tasks, much in use", 5 * time.Second, slots(4, 10), slots(8, 60), false},
		{"longer tasks, and the gang leaves workers", 9 * time.Second, slots(2, 10), slots(5, 60), false},
		{"long tasks, much in use", 15 * time.Second, slots(4, 5), slots(8, 60), false},
		{"a tenant's, little in use", time.Second, slots(1, 10), slots(8, 10), true},
		{"a tenant's, much in use", time.Second, slots(4, 10), slots(8, 10), true},
		{"a tenant's, longer tasks", 5 * time.Second, slots(1, 4), slots(8, 10), true},
	} {
		t.Run(row.name, func(t *testing.T) {
			sim, key := newSimulation(t, 8, nil), ""
			if row.tenant {
				key = config.DigestKey("one")
				sim.configure(tenantLimit(85))
			}
			sim.stream(3*time.Second, 500*time.Millisecond, "batch", key, row.runTime, row.small)
			sim.submit("gang", "batch", key, time.Second, gangOf(row.gang))
			acceptedAt := sim.Now
			sim.stream(40*time.Second, 500*time.Millisecond, "batch", key, row.runTime, row.small)
			if startedAt := sim.startOf("gang"); startedAt == 0 || startedAt-acceptedAt > gangBound+row.runTime {
				t.Errorf("the gang was submitted at %s and started at %s", acceptedAt, startedAt)
			} else {
				t.Logf("the gang waited for %s", startedAt-acceptedAt)
			}
		})
	}
}

package dispatch

import (
	"fmt"
	"testing"
	"time"

	"sorrelloom/core/state"
)

// withMaxFailures returns the step with a limit of failures per task.
func withMaxFailures(limit int, step state.StepSpec) state.StepSpec {
	step.MaxFailures = limit
	return step
}

// longestIdle simulates the given time and returns the longest time for which no task of a job
// ran.
func (sim *simulation) longestIdle(d time.Duration, id string) (longest time.Duration) {
	idleSince := sim.Now
	for end := sim.Now + d; sim.Now < end; sim.advance(simulationStep) {
		job, _ := sim.Store.Job(id)
		running := job.EndingState != "" || job.EndedAt > 0
		for _, task := range job.Tasks {
			running = running || task.Lease.Held()
		}
		if running {
			idleSince = sim.Now
		}
		longest = max(longest, sim.Now-idleSince)
	}
	return longest
}

// onlyB are the labels of workers of which only the first has "b".
var onlyB = map[int]string{0: "b"}

// throttledWorkers lists situations in which the first worker is throttled, with a job that no
// other worker could take.
var throttledWorkers = []struct {
	name   string
	labels map[int]string
	step   state.StepSpec
	// before prepares the simulation before the job is submitted.
	before func(sim *simulation)
	// failsFor is how long all runs that end on the first worker fail.
	failsFor time.Duration
}{
	{
		"the only worker with a label, tasks in parallel", onlyB, withLabel("b", withMaxFailures(4, slots(12, 3))),
		noChange, 5 * time.Second,
	},
	{
		"the only worker with a label, tasks in sequence", onlyB, withLabel("b", withMaxFailures(9, slots(12, 40))),
		noChange, 8 * time.Second,
	},
	{
		"it also runs a long-running task", onlyB, withLabel("b", withMaxFailures(4, slots(12, 3))),
		func(sim *simulation) { sim.submit("lasting", "batch", "", 0, withLabel("b", longRunning(slots(1, 5)))) },
		5 * time.Second,
	},
	{
		"the other worker with the label is full", map[int]string{0: "b", 1: "b"},
		withLabel("b", withMaxFailures(9, slots(3, 10))), func(sim *simulation) {
			sim.workers[0].lost = true
			sim.submit("lasting", "batch", "", 0, withLabel("b", longRunning(slots(1, 60))))
			sim.advance(4 * time.Second)
			sim.workers[0].lost = false
		}, 4 * time.Second,
	},
	{
		"only it has enough free slots for the tasks", nil, withMaxFailures(9, slots(2, 32)), func(sim *simulation) {
			sim.workers[0].lost = true
			sim.advance(4 * time.Second)
			sim.submit("lasting", "batch", "", 0, longRunning(perWorker(1, slots(5, 33))))
			sim.advance(time.Second)
			sim.workers[0].lost = false
			sim.advance(time.Second)
		}, 4 * time.Second,
	},
	{
		"it is slow, and a long-running task uses what it may use", onlyB, withLabel("b", slots(3, 3)),
		func(sim *simulation) {
			sim.submit("lasting", "batch", "", 0, withLabel("b", longRunning(slots(1, 30))))
			sim.stream(3*time.Second, 100*time.Millisecond, "batch", "", 300*time.Millisecond, slots(1, 1))
			sim.dispatcher.health.raiseSlowdown(sim.workers[0].name, maxSlowdown)
		}, 0,
	},
}

// TestImpairedOnlyWorkerStillGetsWork guards against starvation: a worker that had failed or was
// slow got nothing for up to 30 s, not even the work that no other worker could take.
func TestImpairedOnlyWorkerStillGetsWork(t *testing.T) {
	for _, row := range throttledWorkers {
		t.Run(row.name, func(t *testing.T) {
			sim := newSimulation(t, 6, row.labels)
			row.before(sim)
			sim.workers[0].failing = row.failsFor > 0
			sim.submit("job", "batch", "", time.Second, row.step)
			longest := sim.longestIdle(row.failsFor, "job")
			sim.workers[0].failing = false
			longest = max(longest, sim.longestIdle(40*time.Second, "job"))
			if longest > stalledAfter {
				t.Errorf("nothing of the job ran for %s", longest)
			}
			if job, _ := sim.Store.Job("job"); job.State != state.Done {
				t.Errorf("the job is %s", job.State)
			}
		})
	}
}

// TestFailingWorkerGetsOnlyProbesBesideOthers checks the opposite case: a worker that fails all
// its runs gets only single tasks as probes, while other workers could take the rest.
func TestFailingWorkerGetsOnlyProbesBesideOthers(t *testing.T) {
	sim := newSimulation(t, 6, nil)
	sim.workers[0].failing = true
	sim.stream(20*time.Second, 200*time.Millisecond, "batch", "", 400*time.Millisecond, withMaxFailures(9, slots(2, 20)))
	failures := 0
	for _, job := range sim.Store.ActiveJobs() {
		for _, task := range job.Tasks {
			failures += task.Failures
		}
	}
	for n := range sim.jobs {
		if job, ok := sim.Store.Job(fmt.Sprintf("small-%d", n)); ok && job.EndedAt > 0 {
			for _, task := range job.Tasks {
				failures += task.Failures
			}
		}
	}
	if failures < 3 || failures > 12 {
		t.Errorf("%d runs of %d jobs have failed on the worker", failures, sim.jobs)
	}
}

// TestTaskReturnsToWorkerWhereItFailed lets a task fail on a worker, while the only other
// worker that could run it is full of long-running tasks.
func TestTaskReturnsToWorkerWhereItFailed(t *testing.T) {
	sim := newSimulation(t, 5, map[int]string{0: "b", 1: "b"})
	sim.workers[0].lost = true
	sim.submit("lasting", "batch", "", 0, withLabel("b", longRunning(slots(1, 60))))
	sim.advance(4 * time.Second)
	sim.workers[0].lost, sim.workers[0].failing = false, true
	sim.submit("job", "batch", "", 500*time.Millisecond, withLabel("b", withMaxFailures(9, slots(1, 10))))
	sim.advance(time.Second)
	sim.workers[0].failing = false
	if longest := sim.longestIdle(6*time.Second, "job"); longest > stalledAfter {
		t.Errorf("the task did not run for %s", longest)
	}
	if job, _ := sim.Store.Job("job"); job.State != state.Done {
		t.Errorf("the job is %s", job.State)
	}
}

package dispatch

import (
	"fmt"
	"testing"
	"time"

	"sorrelloom/core/state"
)

// withMaxFailures is a step whose tasks may fail so often.
func withMaxFailures(limit int, step state.StepSpec) state.StepSpec {
	step.MaxFailures = limit
	return step
}

// longestIdle plays so much time and returns the longest time for which nothing of a job ran.
func (p *simulation) longestIdle(d time.Duration, id string) (longest time.Duration) {
	idleSince := p.Now
	for end := p.Now + d; p.Now < end; p.advance(simulationStep) {
		job, _ := p.Store.Job(id)
		running := job.EndingState != "" || job.EndedAt > 0
		for _, task := range job.Tasks {
			running = running || task.Lease.Held()
		}
		if running {
			idleSince = p.Now
		}
		longest = max(longest, p.Now-idleSince)
	}
	return longest
}

// onlyB are the labels of workers of which only the first has "b".
var onlyB = map[int]string{0: "b"}

// throttledWorkers are workers that are avoided, with a job that no other one could take.
var throttledWorkers = []struct {
	name   string
	labels map[int]string
	step   state.StepSpec
	// before is played before the job comes.
	before func(p *simulation)
	// failsFor is how long the first worker fails what ends on it.
	failsFor time.Duration
}{
	{
		"side by side on the only worker with a label", onlyB, withLabel("b", withMaxFailures(4, slots(12, 3))),
		noChange, 5 * time.Second,
	},
	{
		"one after the other", onlyB, withLabel("b", withMaxFailures(9, slots(12, 40))), noChange, 8 * time.Second,
	},
	{
		"it runs a lasting task as well", onlyB, withLabel("b", withMaxFailures(4, slots(12, 3))),
		func(p *simulation) { p.submit("lasting", "batch", "", 0, withLabel("b", longRunning(slots(1, 5)))) },
		5 * time.Second,
	},
	{
		"the other worker with the label is full", map[int]string{0: "b", 1: "b"},
		withLabel("b", withMaxFailures(9, slots(3, 10))), func(p *simulation) {
			p.workers[0].lost = true
			p.submit("lasting", "batch", "", 0, withLabel("b", longRunning(slots(1, 60))))
			p.advance(4 * time.Second)
			p.workers[0].lost = false
		}, 4 * time.Second,
	},
	{
		"only it has room for tasks of that size", nil, withMaxFailures(9, slots(2, 32)), func(p *simulation) {
			p.workers[0].lost = true
			p.advance(4 * time.Second)
			p.submit("lasting", "batch", "", 0, longRunning(perWorker(1, slots(5, 33))))
			p.advance(time.Second)
			p.workers[0].lost = false
			p.advance(time.Second)
		}, 4 * time.Second,
	},
	{
		"it is slow, and a lasting task takes what it may use", onlyB, withLabel("b", slots(3, 3)), func(p *simulation) {
			p.submit("lasting", "batch", "", 0, withLabel("b", longRunning(slots(1, 30))))
			p.stream(3*time.Second, 100*time.Millisecond, "batch", "", 300*time.Millisecond, slots(1, 1))
			p.dispatcher.health.raiseSlowdown(p.workers[0].name, maxSlowdown)
		}, 0,
	},
}

// TestImpairedOnlyWorkerStillGetsWork guards against LOST: a worker that had failed, or that was
// slow, got nothing for up to 30 s, also of the work that no other worker could take.
func TestImpairedOnlyWorkerStillGetsWork(t *testing.T) {
	for _, row := range throttledWorkers {
		t.Run(row.name, func(t *testing.T) {
			p := newSimulation(t, 6, row.labels)
			row.before(p)
			p.workers[0].failing = row.failsFor > 0
			p.submit("job", "batch", "", time.Second, row.step)
			longest := p.longestIdle(row.failsFor, "job")
			p.workers[0].failing = false
			longest = max(longest, p.longestIdle(40*time.Second, "job"))
			if longest > stalledAfter {
				t.Errorf("nothing of the job ran for %s", longest)
			}
			if job, _ := p.Store.Job("job"); job.State != state.Done {
				t.Errorf("the job is %s", job.State)
			}
		})
	}
}

// TestFailingWorkerGetsOnlyProbesBesideOthers is the other side: a worker that fails all that it
// starts gets no more than single tasks to be tried again, while other workers could take the rest.
func TestFailingWorkerGetsOnlyProbesBesideOthers(t *testing.T) {
	p := newSimulation(t, 6, nil)
	p.workers[0].failing = true
	p.stream(20*time.Second, 200*time.Millisecond, "batch", "", 400*time.Millisecond, withMaxFailures(9, slots(2, 20)))
	failures := 0
	for _, job := range p.Store.ActiveJobs() {
		for _, task := range job.Tasks {
			failures += task.Failures
		}
	}
	for n := range p.jobs {
		if job, ok := p.Store.Job(fmt.Sprintf("small-%d", n)); ok && job.EndedAt > 0 {
			for _, task := range job.Tasks {
				failures += task.Failures
			}
		}
	}
	if failures < 3 || failures > 12 {
		t.Errorf("%d runs of %d jobs have failed on the worker", failures, p.jobs)
	}
}

// TestTaskReturnsToWorkerWhereItFailed has a task fail on a worker, and the other that could run
// it be full with what lasts.
func TestTaskReturnsToWorkerWhereItFailed(t *testing.T) {
	p := newSimulation(t, 5, map[int]string{0: "b", 1: "b"})
	p.workers[0].lost = true
	p.submit("lasting", "batch", "", 0, withLabel("b", longRunning(slots(1, 60))))
	p.advance(4 * time.Second)
	p.workers[0].lost, p.workers[0].failing = false, true
	p.submit("job", "batch", "", 500*time.Millisecond, withLabel("b", withMaxFailures(9, slots(1, 10))))
	p.advance(time.Second)
	p.workers[0].failing = false
	if longest := p.longestIdle(6*time.Second, "job"); longest > stalledAfter {
		t.Errorf("the task did not run for %s", longest)
	}
	if job, _ := p.Store.Job("job"); job.State != state.Done {
		t.Errorf("the job is %s", job.State)
	}
}

package dispatch

import (
	"fmt"
	"testing"
	"time"

	"sorrelloom/core/state"
)

// failFor lets all runs that end on the first worker fail for some time.
func (sim *simulation) failFor(d time.Duration) {
	sim.workers[0].failing = true
	sim.advance(d)
	sim.workers[0].failing = false
}

// failuresOf returns the number of failed runs of a job, and the largest number among its
// tasks.
func (sim *simulation) failuresOf(id string) (sum, most int) {
	job, _ := sim.Store.Job(id)
	for _, task := range job.Tasks {
		sum, most = sum+task.Failures, max(most, task.Failures)
	}
	return sum, most
}

// TestFailingWorkerGetsOneTrialAtATime guards against failed jobs: the only worker with a label
// failed all its runs for 6.5 s and was given all waiting tasks again and again, until they had
// used up their attempts. The test also requires that all of them start soon after the worker
// has recovered.
func TestFailingWorkerGetsOneTrialAtATime(t *testing.T) {
	const failingTime = 6500 * time.Millisecond
	for _, row := range []struct {
		name string
		// jobs is the number of jobs that are submitted at the same time, each with the step.
		jobs    int
		step    state.StepSpec
		runTime time.Duration
		before  func(sim *simulation)
	}{
		{"one job", 1, slots(12, 3), 300 * time.Millisecond, noChange},
		{"a job for each task", 12, slots(1, 3), 300 * time.Millisecond, noChange},
		{"longer tasks", 1, slots(12, 3), time.Second, noChange},
		{"it also runs a long-running task", 1, slots(12, 3), 300 * time.Millisecond, func(sim *simulation) {
			sim.submit("lasting", "batch", "", 0, withLabel("b", longRunning(slots(1, 5))))
		}},
		{"its earlier runs succeed meanwhile", 1, slots(12, 3), 300 * time.Millisecond, func(sim *simulation) {
			for n := range 5 {
				id := fmt.Sprintf("earlier-%d", n)
				sim.submit(id, "batch", "", time.Duration(2*n+3)*500*time.Millisecond, withLabel("b", slots(1, 2)))
			}
			sim.advance(200 * time.Millisecond)
			for n := range sim.workers[0].runs {
				sim.workers[0].runs[n].succeeds = true
			}
		}},
	} {
		t.Run(row.name, func(t *testing.T) {
			sim := newSimulation(t, 6, onlyB)
			row.before(sim)
			for n := range row.jobs {
				sim.submit(fmt.Sprintf("job-%d", n), "batch", "", row.runTime, withLabel("b", withMaxFailures(3, row.step)))
			}
			sim.failFor(failingTime)
			failed := 0
			for n := range row.jobs {
				sum, most := sim.failuresOf(fmt.Sprintf("job-%d", n))
				if failed += sum; most > 2 {
					t.Errorf("a task of job %d failed %d times", n, most)
				}
			}
			const firstWave, trials = 12, 4
			if failed <= firstWave || failed > firstWave+trials {
				t.Errorf("%d runs failed, of which %d before the worker was known to be failing", failed, firstWave)
			}
			sim.advance(maxIdleHold + 3*row.runTime + time.Second)
			for n := range row.jobs {
				if job, _ := sim.Store.Job(fmt.Sprintf("job-%d", n)); job.State != state.Done {
					t.Errorf("job %d is %s soon after the worker has recovered", n, job.State)
				}
			}
		})
	}
}

// TestEachTrialUsesAnotherTask lets a worker fail long enough for about one trial of each task:
// no task may have two.
func TestEachTrialUsesAnotherTask(t *testing.T) {
	sim := newSimulation(t, 6, onlyB)
	sim.submit("job", "batch", "", 300*time.Millisecond, withLabel("b", withMaxFailures(9, slots(6, 3))))
	sim.failFor(14 * time.Second)
	if sum, most := sim.failuresOf("job"); most > 2 || sum < 10 {
		t.Errorf("%d runs failed, at most %d of one task", sum, most)
	}
}

// TestJobDoesNotWaitForTrialOfAnotherJob checks the bound of a trial: once no more work
// arrives, each job has a running task, although the worker keeps failing and a trial takes
// long.
func TestJobDoesNotWaitForTrialOfAnotherJob(t *testing.T) {
	sim := newSimulation(t, 6, onlyB)
	sim.workers[0].failing = true
	for n, runTime := range []time.Duration{300 * time.Millisecond, 300 * time.Millisecond, 8 * time.Second} {
		sim.submit(fmt.Sprintf("job-%d", n), "batch", "", runTime, withLabel("b", withMaxFailures(99, slots(3, 3))))
	}
	sim.advance(maxStreamingHold + stalledAfter)
	for n := range 3 {
		if longest := sim.longestIdle(20*time.Second, fmt.Sprintf("job-%d", n)); longest > stalledAfter {
			t.Errorf("nothing of job %d ran for %s", n, longest)
		}
	}
}

// TestMostlyHealthyWorkerIsNotLimitedToTrials lets a worker fail briefly, then succeed: it gets
// all waiting tasks.
func TestMostlyHealthyWorkerIsNotLimitedToTrials(t *testing.T) {
	sim := newSimulation(t, 6, onlyB)
	sim.submit("first", "batch", "", 300*time.Millisecond, withLabel("b", withMaxFailures(9, slots(1, 3))))
	sim.workers[0].failing = true
	sim.advance(400 * time.Millisecond)
	sim.workers[0].failing = false
	sim.submit("job", "batch", "", time.Second, withLabel("b", slots(12, 3)))
	sim.advance(2 * time.Second)
	if job, _ := sim.Store.Job("job"); job.State != state.Done {
		t.Errorf("the job is %s", job.State)
	}
}

// TestGangAvoidsFailingWorker submits gangs while one worker fails all its runs and is empty,
// since it gets no normal work, and other workers have enough free resources.
func TestGangAvoidsFailingWorker(t *testing.T) {
	sim := newSimulation(t, 6, nil)
	small := withMaxFailures(9, slots(4, 6))
	sim.workers[0].failing = true
	sim.stream(5*time.Second, 200*time.Millisecond, "batch", "", 300*time.Millisecond, small)
	for n := range 5 {
		id := fmt.Sprintf("gang-%d", n)
		sim.submit(id, "batch", "", 500*time.Millisecond, gangOf(withMaxFailures(3, slots(4, 30))))
		sim.stream(4*time.Second, 200*time.Millisecond, "batch", "", 300*time.Millisecond, small)
		if sum, _ := sim.failuresOf(id); sum > 0 || sim.startOf(id) == 0 {
			t.Errorf("gang %d started at %s, and %d of its runs failed", n, sim.startOf(id), sum)
		}
	}
}

// TestGangReservationAvoidsFailingWorker submits a gang that needs all workers except the
// failing one, during a stream of work that leaves no other worker empty.
func TestGangReservationAvoidsFailingWorker(t *testing.T) {
	sim := newSimulation(t, 6, nil)
	small := withMaxFailures(9, slots(6, 20))
	sim.workers[0].failing = true
	sim.stream(5*time.Second, 200*time.Millisecond, "batch", "", 600*time.Millisecond, small)
	sim.submit("gang", "batch", "", 500*time.Millisecond, gangOf(withMaxFailures(3, slots(5, 60))))
	sim.stream(gangBound, 200*time.Millisecond, "batch", "", 600*time.Millisecond, small)
	if sum, _ := sim.failuresOf("gang"); sum > 0 || sim.startOf("gang") == 0 {
		t.Errorf("the gang started at %s, and %d of its runs failed", sim.startOf("gang"), sum)
	}
}

// TestGangOnFailingWorkerKeepsAttempts submits a gang that needs all workers, one of which
// fails: the gang does not use up its attempts at once, and starts soon after the worker has
// recovered.
func TestGangOnFailingWorkerKeepsAttempts(t *testing.T) {
	sim := newSimulation(t, 6, nil)
	sim.submit("gang", "batch", "", 300*time.Millisecond, gangOf(withMaxFailures(6, slots(6, 60))))
	sim.failFor(6500 * time.Millisecond)
	if sum, most := sim.failuresOf("gang"); sum == 0 || most > 5 {
		t.Errorf("%d runs failed, at most %d of one member", sum, most)
	}
	sim.advance(maxIdleHold + time.Second)
	if job, _ := sim.Store.Job("gang"); job.State != state.Done {
		t.Errorf("the gang is %s", job.State)
	}
}

package experiment

import (
	"time"
)

// Causes of a job being late or lost.
const (
	causeNoPrimary      = "no primary"
	causeWaited         = "waited for room"
	causeRemoteData     = "ran away from its rack"
	causeSlow           = "ran on a slow worker"
	causeFailed         = "failed and ran again"
	causeLost           = "lost with a worker"
	causeStopped        = "stopped for others"
	causeGangIncomplete = "gang not whole"
	causeLatency        = "dispatch"
	// causeNotRunning applies to the windows of long-running jobs only.
	causeNotRunning = "not at work"
)

// startLatency is the longest start delay that is attributed to dispatch; the rest of a delay is
// attributed to the cause that waitCause returns.
const startLatency = 250 * time.Millisecond

// simulatedJob is a job during a simulation, with its outcome.
type simulatedJob struct {
	simulation *simulation
	plan       *plannedJob
	acceptedAt time.Duration
	firstStart time.Duration
	endedAt    time.Duration
	succeeded  bool
	cancelled  bool
	failures   int
	tasks      map[string]*simulatedTask
	// causes is not used: the delays are recorded in the causes of each task.
	causes map[string]time.Duration

	// running is the number of tasks running now. For a long-running job, windowStart, samples
	// and runningShareSum accumulate the current window; windows are the completed ones.
	running         int
	windowStart     time.Duration
	samples         int
	runningShareSum float64
	windows         []window
}

// window is the mean share of a long-running job's tasks that ran during a window.
type window struct {
	from  time.Duration
	share float64
}

// simulatedTask tracks the delays of one task by cause.
type simulatedTask struct {
	readyAt time.Duration
	endedAt time.Duration
	outcome string // outcome of the last run
	causes  map[string]time.Duration
}

func (j *simulatedJob) task(r *run) *simulatedTask {
	task := j.tasks[r.attempt.Task]
	if task == nil {
		task = &simulatedTask{readyAt: j.stepReadyAt(r.step), causes: map[string]time.Duration{}}
		j.tasks[r.attempt.Task] = task
	}
	return task
}

// stepReadyAt returns when the tasks of a step became ready to start.
func (j *simulatedJob) stepReadyAt(step int) time.Duration {
	ready := j.acceptedAt
	if step > 0 {
		for _, task := range j.tasks {
			ready = max(ready, task.endedAt)
		}
	}
	return ready
}

// recordStart attributes the wait before a run to its causes.
func (j *simulatedJob) recordStart(r *run, now time.Duration) {
	task := j.task(r)
	if j.firstStart == 0 {
		j.firstStart = now
	}
	noPrimary := j.simulation.outageWithin(task.readyAt, now)
	wait := now - task.readyAt - noPrimary
	task.causes[causeNoPrimary] += noPrimary
	task.causes[causeLatency] += min(wait, startLatency)
	task.causes[task.waitCause()] += max(0, wait-startLatency)
	j.running++
}

// waitCause returns the cause of the wait before the next run. After the loss of a worker it is
// causeLost, because its lease must expire first.
func (t *simulatedTask) waitCause() string {
	if t.outcome == outcomeWorkerLost || t.outcome == outcomeLeaseExpired {
		return causeLost
	}
	return causeWaited
}

// recordEnd attributes the duration of a run to causes, according to its outcome.
func (j *simulatedJob) recordEnd(w *worker, r *run) {
	now, task := j.simulation.queue.Now, j.task(r)
	took := now - r.startedAt
	j.running--
	switch r.outcome {
	case outcomeSucceeded:
		usual := time.Duration(float64(took) / w.slowdown)
		task.causes[causeSlow] += took - usual
		if r.remote {
			task.causes[causeRemoteData] += usual - time.Duration(float64(usual)/j.simulation.deployment.FarFactor)
		}
	case outcomeFailed:
		j.failures++
		task.causes[causeFailed] += took
	case outcomeStopped:
		task.causes[causeStopped] += took
	case outcomeGangBroken:
		task.causes[causeGangIncomplete] += took
	default:
		task.causes[causeLost] += took
	}
	task.readyAt, task.endedAt, task.outcome = now, now, r.outcome
	j.simulation.observed.add(r, took)
}

// outageWithin returns how long there was no primary between two times.
func (s *simulation) outageWithin(from, to time.Duration) (total time.Duration) {
	for _, outage := range s.outages {
		total += max(0, min(to, outage.to)-max(from, outage.from))
	}
	return min(total, to-from)
}

// sampleWindow samples the share of a long-running job's tasks that are running, and completes
// the current window once windowLength has passed.
func (j *simulatedJob) sampleWindow(now time.Duration) {
	if j.windowStart == 0 {
		j.windowStart = j.plan.at
	}
	count := 0
	for _, step := range j.plan.spec.Steps {
		count += step.Count
	}
	j.samples++
	j.runningShareSum += float64(j.running) / float64(count)
	if now < j.windowStart+windowLength {
		return
	}
	j.windows = append(j.windows, window{j.windowStart, j.runningShareSum / float64(j.samples)})
	j.windowStart, j.samples, j.runningShareSum = now, 0, 0
}

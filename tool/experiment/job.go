package experiment

import (
	"time"
)

// Causes for which a job is late or lost.
const (
	causeNoPrimary = "no primary"
	causeWaited    = "waited for room"
	causeFar       = "ran away from its rack"
	causeSlow      = "ran on a slow worker"
	causeFailed    = "failed and ran again"
	causeLost      = "lost with a worker"
	causeStopped   = "stopped for others"
	causeGang      = "gang not whole"
	causeLatency   = "dispatch"
	// causeNotAtWork is that of the windows of long-running jobs.
	causeNotAtWork = "not at work"
)

// startLatency is what a start takes without any wait for room.
const startLatency = 250 * time.Millisecond

// playedJob is a job on a day that is played, and what came of it.
type playedJob struct {
	day        *simulation
	plan       *plannedJob
	acceptedAt time.Duration
	firstStart time.Duration
	endedAt    time.Duration
	succeeded  bool
	cancelled  bool
	failures   int
	tasks      map[string]*playedTask
	// causes are what held up the last task of each step.
	causes map[string]time.Duration

	// Of a long-running job: its tasks at work now, the sum of samples of the window that
	// began last, and the shares of the windows before it.
	running     int
	windowStart time.Duration
	samples     int
	atWork      float64
	windows     []window
}

// window is the share of a long-running job's tasks that were at work for a while.
type window struct {
	from  time.Duration
	share float64
}

// playedTask is what held up one task.
type playedTask struct {
	readyAt time.Duration
	endedAt time.Duration
	outcome string // of its last run
	causes  map[string]time.Duration
}

func (j *playedJob) task(r *run) *playedTask {
	task := j.tasks[r.attempt.Task]
	if task == nil {
		task = &playedTask{readyAt: j.stepReadyAt(r.step), causes: map[string]time.Duration{}}
		j.tasks[r.attempt.Task] = task
	}
	return task
}

// stepReadyAt is when the tasks of a step could start.
func (j *playedJob) stepReadyAt(step int) time.Duration {
	ready := j.acceptedAt
	if step > 0 {
		for _, task := range j.tasks {
			ready = max(ready, task.endedAt)
		}
	}
	return ready
}

// noteStart takes note of the wait before a run.
func (j *playedJob) noteStart(r *run, now time.Duration) {
	task := j.task(r)
	if j.firstStart == 0 {
		j.firstStart = now
	}
	noPrimary := j.day.outageWithin(task.readyAt, now)
	wait := now - task.readyAt - noPrimary
	task.causes[causeNoPrimary] += noPrimary
	task.causes[causeLatency] += min(wait, startLatency)
	task.causes[task.waitCause()] += max(0, wait-startLatency)
	j.running++
}

// waitCause is what a wait for the next run is put down to: after the loss of a worker it is
// its lease that must expire first.
func (t *playedTask) waitCause() string {
	if t.outcome == outcomeDied || t.outcome == outcomeLapsed {
		return causeLost
	}
	return causeWaited
}

// noteEnd takes note of what a run cost.
func (j *playedJob) noteEnd(w *worker, r *run) {
	now, task := j.day.queue.Now, j.task(r)
	took := now - r.startedAt
	j.running--
	switch r.outcome {
	case outcomeSucceeded:
		usual := time.Duration(float64(took) / w.slow)
		task.causes[causeSlow] += took - usual
		if r.far {
			task.causes[causeFar] += usual - time.Duration(float64(usual)/j.day.deployment.FarFactor)
		}
	case outcomeFailed:
		j.failures++
		task.causes[causeFailed] += took
	case outcomeStopped:
		task.causes[causeStopped] += took
	case outcomeGang:
		task.causes[causeGang] += took
	default:
		task.causes[causeLost] += took
	}
	task.readyAt, task.endedAt, task.outcome = now, now, r.outcome
	j.day.observed.add(r, took)
}

// outageWithin is how long nobody served in a span.
func (s *simulation) outageWithin(from, to time.Duration) (total time.Duration) {
	for _, outage := range s.outages {
		total += max(0, min(to, outage.to)-max(from, outage.from))
	}
	return min(total, to-from)
}

// sampleWindow notes how many tasks of a long-running job are at work.
func (j *playedJob) sampleWindow(now time.Duration) {
	if j.windowStart == 0 {
		j.windowStart = j.plan.at
	}
	count := 0
	for _, step := range j.plan.spec.Steps {
		count += step.Count
	}
	j.samples++
	j.atWork += float64(j.running) / float64(count)
	if now < j.windowStart+windowLength {
		return
	}
	j.windows = append(j.windows, window{j.windowStart, j.atWork / float64(j.samples)})
	j.windowStart, j.samples, j.atWork = now, 0, 0
}

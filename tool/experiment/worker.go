package experiment

import (
	"cmp"
	"fmt"
	"slices"
	"strconv"
	"time"

	"sorrelloom/core/state"
	"sorrelloom/core/status"
	"sorrelloom/core/wire"
)

const (
	// reportWait is how long the primary may keep an agent's report, reportTimeout after
	// what time without a reply another one is sent.
	reportWait    = 500 * time.Millisecond
	reportTimeout = 1100 * time.Millisecond
	minReportGap  = 10 * time.Millisecond
	// stopTime is how long a worker takes to stop a run.
	stopTime = 30 * time.Millisecond
	// drainTime is how long a worker that leaves runs on.
	drainTime = 4 * time.Second
)

// Outcomes of runs.
const (
	outcomeSucceeded = "succeeded"
	outcomeFailed    = "failed"
	outcomeStopped   = "stopped"
	outcomeLapsed    = "lapsed"
	outcomeGang      = "gang broken"
	outcomeDied      = "lost with its worker"
)

// worker is a machine that runs tasks, with its agent. One process follows another on it.
type worker struct {
	day        *simulation
	index      int
	life       int
	zone, rack string
	label      string
	capacity   state.Resources
	runFactor  float64

	up, cut, leaving bool
	slow             float64 // how much slower it is than usual; 1 is usual
	failing          float64 // the part of its runs that fail

	runs    map[state.Attempt]*run
	starts  []state.StartOrder // which the agent has and the worker has not
	stops   []state.Attempt
	ends    []state.AttemptResult
	started map[state.Attempt]bool

	number       uint64
	lastReport   uint64 // the ID of the report that is out
	reportOut    bool
	dirty        bool
	sentAt       time.Duration
	backoffUntil time.Duration
	leaseExpiry  time.Duration
}

// run is one run of a task.
type run struct {
	attempt   state.Attempt
	job       *playedJob
	step      int
	task      int
	startedAt time.Duration
	// work is what is left, as if it ran at a factor of 1, when it was looked at last.
	work      time.Duration
	updatedAt time.Duration
	saved     float64 // the part that is saved
	total     time.Duration
	factor    float64
	far       bool
	fails     bool
	ended     bool
	outcome   string
	gang      *gang
	version   int // of the end that is scheduled
}

// gang is one attempt of the tasks that run at the same time.
type gang struct {
	size    int
	members []*run
	workers []*worker
}

func (w *worker) id() string { return fmt.Sprintf("w%02d.%d", w.index, w.life) }

// boot starts a worker process, unless one runs.
func (w *worker) boot() {
	if w.up {
		return
	}
	w.life++
	w.up, w.leaving, w.reportOut, w.number, w.leaseExpiry = true, false, false, 0, 0
	w.runs, w.started = map[state.Attempt]*run{}, map[state.Attempt]bool{}
	w.starts, w.stops, w.ends, w.backoffUntil = nil, nil, nil, 0
	life := w.life
	phase := time.Duration(w.day.rng.Int64N(int64(w.day.policy.CallInterval)))
	w.day.queue.After(phase, func() { w.call(life) })
}

// die ends the worker's process with all that it runs.
func (w *worker) die() {
	if !w.up {
		return
	}
	w.up = false
	for _, r := range w.sortedRuns() {
		w.finishRun(r, outcomeDied)
	}
}

// call is one call of the worker to its agent, which hands the orders over.
func (w *worker) call(life int) {
	if !w.up || w.life != life {
		return
	}
	w.day.queue.After(w.day.policy.CallInterval, func() { w.call(life) })
	for _, r := range w.sortedRuns() {
		if !r.ended {
			continue
		}
		delete(w.runs, r.attempt)
		w.ends, w.dirty = append(w.ends, endOf(r)), true
	}
	for _, attempt := range w.stops {
		if r := w.runs[attempt]; r != nil {
			w.day.queue.After(stopTime, func() { w.finishRun(r, outcomeStopped) })
		}
	}
	w.stops = nil
	for _, order := range w.starts {
		w.startRun(order)
	}
	w.starts = nil
	w.report()
}

func endOf(r *run) state.AttemptResult {
	end := state.AttemptResult{Attempt: r.attempt, Reason: r.outcome, Checkpoint: r.checkpoint()}
	switch r.outcome {
	case outcomeSucceeded:
		end.Succeeded = true
	case outcomeStopped:
		end.Stopped = true
	case outcomeLapsed, outcomeGang:
		end.Lost = true
	}
	return end
}

// checkpoint is what a run has saved.
func (r *run) checkpoint() string {
	if r.saved == 0 {
		return ""
	}
	return strconv.FormatFloat(r.saved, 'g', 6, 64)
}

func (w *worker) sortedRuns() []*run {
	runs := make([]*run, 0, len(w.runs))
	for _, r := range w.runs {
		runs = append(runs, r)
	}
	slices.SortFunc(runs, func(a, b *run) int {
		return cmp.Or(cmp.Compare(a.attempt.Job, b.attempt.Job), cmp.Compare(a.attempt.Task, b.attempt.Task))
	})
	return runs
}

// report has the agent send a heartbeat, if there is something new or no other one is out.
func (w *worker) report() {
	now := w.day.queue.Now
	if now < w.backoffUntil || now < w.sentAt+minReportGap && w.number > 0 {
		return
	}
	if w.reportOut && !w.dirty && now < w.sentAt+reportTimeout {
		return
	}
	w.number++
	w.dirty, w.reportOut, w.sentAt = false, true, now
	w.lastReport = uint64(w.index)<<40 | uint64(w.life)<<32 | w.number
	if w.cut {
		return
	}
	request := wire.HeartbeatRequest{ID: w.lastReport, MaxWait: reportWait, Heartbeat: w.heartbeat()}
	id := w.id()
	w.day.queue.After(messageDelay, func() { w.day.control.receive(id, request) })
}

func (w *worker) heartbeat() state.Heartbeat {
	heartbeat := state.Heartbeat{
		Worker: w.id(), Incarnation: 1, Number: w.number, Zone: w.zone, Rack: w.rack, Service: service,
		Labels: []string{w.label, w.rack}, Address: fmt.Sprintf("10.0.0.%d", w.index), Leaving: w.leaving,
		Ended: slices.Clone(w.ends), Free: w.capacity, Total: w.capacity,
	}
	for _, r := range w.sortedRuns() {
		heartbeat.Running = append(heartbeat.Running, r.attempt)
		heartbeat.Free = heartbeat.Free.Sub(r.job.plan.spec.Steps[r.step].Resources)
		if checkpoint := r.checkpoint(); checkpoint != "" && !r.ended {
			heartbeat.Progress = append(heartbeat.Progress, state.Progress{Attempt: r.attempt, Checkpoint: checkpoint})
		}
	}
	for _, order := range w.starts {
		heartbeat.Running = append(heartbeat.Running, order.Attempt)
		heartbeat.Free = heartbeat.Free.Sub(order.Resources)
	}
	return heartbeat
}

// takeReply has the agent take the reply to a report.
func (w *worker) takeReply(reply wire.HeartbeatReply) {
	if !w.up || w.cut || !w.reportOut || reply.ID != w.lastReport {
		return
	}
	w.reportOut = false
	now, orders := w.day.queue.Now, reply.Result.Heartbeat
	switch code := reply.Result.Code; {
	case code == status.QueueFull:
		w.backoffUntil, w.dirty = now+reply.Result.RetryAfter, true
	case code == status.StaleHeartbeat:
		w.number, w.dirty = max(w.number, orders.HeartbeatNumber), true
		return
	case !code.IsSuccess():
		w.backoffUntil, w.dirty = now+w.day.policy.CallInterval, true
		return
	}
	w.extendLease(orders.LeaseDuration)
	w.ends = slices.DeleteFunc(w.ends, func(end state.AttemptResult) bool {
		return slices.Contains(orders.Acks, end.Attempt)
	})
	w.stops = append(w.stops, orders.Stops...)
	for _, order := range orders.Starts {
		if !w.started[order.Attempt] {
			w.started[order.Attempt], w.dirty = true, true
			w.starts = append(w.starts, order)
		}
	}
	if len(w.ends) > 0 || w.dirty {
		w.dirty = true
	}
	w.report()
}

// extendLease extends the lease, and ends all runs once it has expired.
func (w *worker) extendLease(duration time.Duration) {
	expiry := w.sentAt + duration
	if duration <= 0 || expiry <= w.leaseExpiry {
		return
	}
	w.leaseExpiry = expiry
	life := w.life
	w.day.queue.At(expiry, func() {
		if !w.up || w.life != life || w.day.queue.Now < w.leaseExpiry {
			return
		}
		for _, r := range w.sortedRuns() {
			w.finishRun(r, outcomeLapsed)
		}
		w.starts = nil
	})
}

// startRun starts a run, or has it wait for its gang.
func (w *worker) startRun(order state.StartOrder) {
	job := w.day.jobs[order.Job]
	var step, task int
	if _, err := fmt.Sscanf(order.Task, "0.%d.%d", &step, &task); err != nil {
		panic(err)
	}
	spec, now := &job.plan.spec.Steps[step], w.day.queue.Now
	r := &run{
		attempt: order.Attempt, job: job, step: step, task: task, startedAt: now, updatedAt: now,
		total: job.plan.steps[step].runTimes[task], factor: w.runFactor * w.slow,
		far: spec.PreferredRack != "" && spec.PreferredRack != w.rack,
	}
	if r.far {
		r.factor *= w.day.deployment.FarFactor
	}
	r.work = r.total
	if saved, err := strconv.ParseFloat(order.Checkpoint, 64); err == nil && saved > 0 {
		r.saved = saved
		r.work = time.Duration((1-saved)*float64(r.total)) + millis(w.day.deployment.RestoreMs)
	}
	r.fails = job.plan.steps[step].failOnce == task && job.failures == 0 ||
		luck(w.day.seed, order.Job+order.Task, order.Number) < w.failing
	w.runs[r.attempt] = r
	job.noteStart(r, now)
	if spec.Gang {
		w.joinGang(r, spec.Count)
		return
	}
	w.proceed(r)
}

// proceed schedules the end of a run.
func (w *worker) proceed(r *run) {
	if r.job.plan.class.LongRunning && !r.fails {
		return
	}
	r.version++
	version := r.version
	w.day.queue.After(time.Duration(float64(r.work)*r.factor), func() {
		if r.ended || r.version != version {
			return
		}
		outcome := outcomeSucceeded
		if r.fails {
			outcome = outcomeFailed
		}
		w.finishRun(r, outcome)
	})
}

// advance brings what is left of a run up to date.
func (w *worker) advance(r *run) {
	now := w.day.queue.Now
	if r.gang == nil || len(r.gang.members) == r.gang.size {
		r.work -= time.Duration(float64(now-r.updatedAt) / r.factor)
	}
	r.updatedAt = now
	if r.job.plan.spec.Steps[r.step].Checkpointed && !r.job.plan.class.LongRunning {
		interval := w.day.deployment.SaveEveryS / r.total.Seconds()
		done := 1 - float64(max(0, r.work))/float64(max(1, r.total))
		if saved := float64(int(done/interval)) * interval; saved > r.saved {
			r.saved = saved
		}
	}
}

// setSlow changes how slow the worker is.
func (w *worker) setSlow(slow float64) {
	for _, r := range w.sortedRuns() {
		if r.ended {
			continue
		}
		w.advance(r)
		r.factor *= slow / w.slow
		if r.gang == nil || len(r.gang.members) == r.gang.size {
			w.proceed(r)
		}
	}
	w.slow = slow
}

// finishRun ends a run, with its gang.
func (w *worker) finishRun(r *run, outcome string) {
	if r.ended {
		return
	}
	w.advance(r)
	r.ended, r.outcome = true, outcome
	r.job.noteEnd(w, r)
	if r.gang == nil {
		return
	}
	rest := outcomeGang
	if outcome == outcomeSucceeded || outcome == outcomeFailed {
		rest = outcome
	}
	for i, member := range r.gang.members {
		r.gang.workers[i].finishRun(member, rest)
	}
}

// joinGang has a run wait for the others of its gang, for so long only.
func (w *worker) joinGang(r *run, size int) {
	key := fmt.Sprintf("%s/%d/%d", r.attempt.Job, r.step, r.attempt.Number)
	group := w.day.gangs[key]
	if group == nil {
		group = &gang{size: size}
		w.day.gangs[key] = group
	}
	r.gang = group
	group.members, group.workers = append(group.members, r), append(group.workers, w)
	if len(group.members) < size {
		w.day.queue.After(seconds(w.day.deployment.GangWaitS), func() {
			if len(group.members) < size {
				w.finishRun(r, outcomeGang)
			}
		})
		return
	}
	slowest := time.Duration(0)
	for _, member := range group.members {
		slowest = max(slowest, time.Duration(float64(member.work)*member.factor))
	}
	for i, member := range group.members {
		member.updatedAt = w.day.queue.Now
		member.work = time.Duration(float64(slowest) / member.factor)
		group.workers[i].proceed(member)
	}
}

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
	// reportWait is how long the primary may hold an agent's report before it replies. The
	// agent sends another report if there is no reply within reportTimeout.
	reportWait    = 500 * time.Millisecond
	reportTimeout = 1100 * time.Millisecond
	minReportGap  = 10 * time.Millisecond
	// stopTime is how long a worker takes to stop a run.
	stopTime = 30 * time.Millisecond
	// drainTime is how long a worker continues to run after it has announced that it leaves.
	drainTime = 4 * time.Second
)

// Outcomes of runs.
const (
	outcomeSucceeded    = "succeeded"
	outcomeFailed       = "failed"
	outcomeStopped      = "stopped"
	outcomeLeaseExpired = "lapsed"
	outcomeGangBroken   = "gang broken"
	outcomeWorkerLost   = "lost with its worker"
)

// worker is a machine that runs tasks, with its agent. Each restart of its worker process
// increments generation.
type worker struct {
	simulation *simulation
	index      int
	generation int
	zone, rack string
	label      string
	capacity   state.Resources
	runFactor  float64

	up, isolated, leaving bool
	slowdown              float64 // factor on the run times, 1 without a fault
	failureShare          float64 // share of the runs that fail

	runs          map[state.Attempt]*run
	pendingStarts []state.StartOrder // received by the agent, not yet by the worker
	pendingStops  []state.Attempt
	unackedEnds   []state.AttemptResult
	started       map[state.Attempt]bool

	heartbeatNumber uint64
	lastReportID    uint64 // ID of the last report sent
	awaitingReply   bool
	dirty           bool // there is something new to report
	sentAt          time.Duration
	backoffUntil    time.Duration
	leaseExpiry     time.Duration
}

// run is the execution of one attempt of a task.
type run struct {
	attempt   state.Attempt
	job       *simulatedJob
	step      int
	task      int
	startedAt time.Duration
	// remaining is the remaining run time as of updatedAt, at a factor of 1.
	remaining  time.Duration
	updatedAt  time.Duration
	savedShare float64 // share of the work saved in checkpoints
	runTime    time.Duration
	factor     float64
	remote     bool
	willFail   bool
	ended      bool
	outcome    string
	gang       *gang
	endVersion int // invalidates ends scheduled earlier
}

// gang is an attempt of tasks that must run simultaneously; members[i] runs on workers[i].
type gang struct {
	size    int
	members []*run
	workers []*worker
}

func (w *worker) id() string { return fmt.Sprintf("w%02d.%d", w.index, w.generation) }

// boot starts a worker process unless one is running.
func (w *worker) boot() {
	if w.up {
		return
	}
	w.generation++
	w.up, w.leaving, w.awaitingReply, w.heartbeatNumber, w.leaseExpiry = true, false, false, 0, 0
	w.runs, w.started = map[state.Attempt]*run{}, map[state.Attempt]bool{}
	w.pendingStarts, w.pendingStops, w.unackedEnds, w.backoffUntil = nil, nil, nil, 0
	generation := w.generation
	phase := time.Duration(w.simulation.rng.Int64N(int64(w.simulation.policy.CallInterval)))
	w.simulation.queue.After(phase, func() { w.callAgent(generation) })
}

// crash ends the worker process and all its runs.
func (w *worker) crash() {
	if !w.up {
		return
	}
	w.up = false
	for _, r := range w.sortedRuns() {
		w.finishRun(r, outcomeWorkerLost)
	}
}

// callAgent performs one call of the worker to its agent: it reports ended runs and receives the
// pending orders. It schedules the next call.
func (w *worker) callAgent(generation int) {
	if !w.up || w.generation != generation {
		return
	}
	w.simulation.queue.After(w.simulation.policy.CallInterval, func() { w.callAgent(generation) })
	for _, r := range w.sortedRuns() {
		if !r.ended {
			continue
		}
		delete(w.runs, r.attempt)
		w.unackedEnds, w.dirty = append(w.unackedEnds, resultOf(r)), true
	}
	for _, attempt := range w.pendingStops {
		if r := w.runs[attempt]; r != nil {
			w.simulation.queue.After(stopTime, func() { w.finishRun(r, outcomeStopped) })
		}
	}
	w.pendingStops = nil
	for _, order := range w.pendingStarts {
		w.startRun(order)
	}
	w.pendingStarts = nil
	w.report()
}

func resultOf(r *run) state.AttemptResult {
	end := state.AttemptResult{Attempt: r.attempt, Reason: r.outcome, Checkpoint: r.checkpoint()}
	switch r.outcome {
	case outcomeSucceeded:
		end.Succeeded = true
	case outcomeStopped:
		end.Stopped = true
	case outcomeLeaseExpired, outcomeGangBroken:
		end.Lost = true
	}
	return end
}

// checkpoint returns the checkpoint of a run, empty if it has none.
func (r *run) checkpoint() string {
	if r.savedShare == 0 {
		return ""
	}
	return strconv.FormatFloat(r.savedShare, 'g', 6, 64)
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

// report makes the agent send a heartbeat if there is something new, if none is in flight, or if
// the one in flight has timed out. It sends none within minReportGap of the last one, or
// during a backoff.
func (w *worker) report() {
	now := w.simulation.queue.Now
	if now < w.backoffUntil || now < w.sentAt+minReportGap && w.heartbeatNumber > 0 {
		return
	}
	if w.awaitingReply && !w.dirty && now < w.sentAt+reportTimeout {
		return
	}
	w.heartbeatNumber++
	w.dirty, w.awaitingReply, w.sentAt = false, true, now
	w.lastReportID = uint64(w.index)<<40 | uint64(w.generation)<<32 | w.heartbeatNumber
	if w.isolated {
		return
	}
	request := wire.HeartbeatRequest{ID: w.lastReportID, MaxWait: reportWait, Heartbeat: w.heartbeat()}
	id := w.id()
	w.simulation.queue.After(messageDelay, func() { w.simulation.control.receive(id, request) })
}

func (w *worker) heartbeat() state.Heartbeat {
	heartbeat := state.Heartbeat{
		Worker: w.id(), Incarnation: 1, Number: w.heartbeatNumber, Zone: w.zone, Rack: w.rack, Service: service,
		Labels: []string{w.label, w.rack}, Address: fmt.Sprintf("10.0.0.%d", w.index), Leaving: w.leaving,
		Ended: slices.Clone(w.unackedEnds), Free: w.capacity, Total: w.capacity,
	}
	for _, r := range w.sortedRuns() {
		heartbeat.Running = append(heartbeat.Running, r.attempt)
		heartbeat.Free = heartbeat.Free.Sub(r.job.plan.spec.Steps[r.step].Resources)
		if checkpoint := r.checkpoint(); checkpoint != "" && !r.ended {
			heartbeat.Progress = append(heartbeat.Progress, state.Progress{Attempt: r.attempt, Checkpoint: checkpoint})
		}
	}
	for _, order := range w.pendingStarts {
		heartbeat.Running = append(heartbeat.Running, order.Attempt)
		heartbeat.Free = heartbeat.Free.Sub(order.Resources)
	}
	return heartbeat
}

// handleReply processes the reply to the agent's last report and ignores other replies.
func (w *worker) handleReply(reply wire.HeartbeatReply) {
	if !w.up || w.isolated || !w.awaitingReply || reply.ID != w.lastReportID {
		return
	}
	w.awaitingReply = false
	now, orders := w.simulation.queue.Now, reply.Result.Heartbeat
	switch code := reply.Result.Code; {
	case code == status.QueueFull:
		w.backoffUntil, w.dirty = now+reply.Result.RetryAfter, true
	case code == status.StaleHeartbeat:
		w.heartbeatNumber, w.dirty = max(w.heartbeatNumber, orders.HeartbeatNumber), true
		return
	case !code.IsSuccess():
		w.backoffUntil, w.dirty = now+w.simulation.policy.CallInterval, true
		return
	}
	w.extendLease(orders.LeaseDuration)
	w.unackedEnds = slices.DeleteFunc(w.unackedEnds, func(end state.AttemptResult) bool {
		return slices.Contains(orders.Acks, end.Attempt)
	})
	w.pendingStops = append(w.pendingStops, orders.Stops...)
	for _, order := range orders.Starts {
		if !w.started[order.Attempt] {
			w.started[order.Attempt], w.dirty = true, true
			w.pendingStarts = append(w.pendingStarts, order)
		}
	}
	if len(w.unackedEnds) > 0 || w.dirty {
		w.dirty = true
	}
	w.report()
}

// extendLease extends the lease, which counts from when the report was sent, and schedules the
// end of all runs at its expiry.
func (w *worker) extendLease(duration time.Duration) {
	expiry := w.sentAt + duration
	if duration <= 0 || expiry <= w.leaseExpiry {
		return
	}
	w.leaseExpiry = expiry
	generation := w.generation
	w.simulation.queue.At(expiry, func() {
		if !w.up || w.generation != generation || w.simulation.queue.Now < w.leaseExpiry {
			return
		}
		for _, r := range w.sortedRuns() {
			w.finishRun(r, outcomeLeaseExpired)
		}
		w.pendingStarts = nil
	})
}

// startRun starts a run. The member of a gang waits for the other members.
func (w *worker) startRun(order state.StartOrder) {
	job := w.simulation.jobs[order.Job]
	var step, task int
	if _, err := fmt.Sscanf(order.Task, "0.%d.%d", &step, &task); err != nil {
		panic(err)
	}
	spec, now := &job.plan.spec.Steps[step], w.simulation.queue.Now
	r := &run{
		attempt: order.Attempt, job: job, step: step, task: task, startedAt: now, updatedAt: now,
		runTime: job.plan.steps[step].runTimes[task], factor: w.runFactor * w.slowdown,
		remote: spec.PreferredRack != "" && spec.PreferredRack != w.rack,
	}
	if r.remote {
		r.factor *= w.simulation.deployment.FarFactor
	}
	r.remaining = r.runTime
	if saved, err := strconv.ParseFloat(order.Checkpoint, 64); err == nil && saved > 0 {
		r.savedShare = saved
		r.remaining = time.Duration((1-saved)*float64(r.runTime)) + millis(w.simulation.deployment.RestoreMs)
	}
	r.willFail = job.plan.steps[step].failOnce == task && job.failures == 0 ||
		hashFraction(w.simulation.seed, order.Job+order.Task, order.Number) < w.failureShare
	w.runs[r.attempt] = r
	job.recordStart(r, now)
	if spec.Gang {
		w.joinGang(r, spec.Count)
		return
	}
	w.scheduleEnd(r)
}

// scheduleEnd schedules the end of a run, in place of any scheduled before. A long-running run
// ends by itself only if it fails.
func (w *worker) scheduleEnd(r *run) {
	if r.job.plan.class.LongRunning && !r.willFail {
		return
	}
	r.endVersion++
	version := r.endVersion
	w.simulation.queue.After(time.Duration(float64(r.remaining)*r.factor), func() {
		if r.ended || r.endVersion != version {
			return
		}
		outcome := outcomeSucceeded
		if r.willFail {
			outcome = outcomeFailed
		}
		w.finishRun(r, outcome)
	})
}

// updateProgress updates the remaining time and the checkpoint of a run.
func (w *worker) updateProgress(r *run) {
	now := w.simulation.queue.Now
	if r.gang == nil || len(r.gang.members) == r.gang.size {
		r.remaining -= time.Duration(float64(now-r.updatedAt) / r.factor)
	}
	r.updatedAt = now
	if r.job.plan.spec.Steps[r.step].Checkpointed && !r.job.plan.class.LongRunning {
		interval := w.simulation.deployment.SaveEveryS / r.runTime.Seconds()
		done := 1 - float64(max(0, r.remaining))/float64(max(1, r.runTime))
		if saved := float64(int(done/interval)) * interval; saved > r.savedShare {
			r.savedShare = saved
		}
	}
}

// setSlowdown changes the factor on run times and reschedules the ends of the current runs.
func (w *worker) setSlowdown(slowdown float64) {
	for _, r := range w.sortedRuns() {
		if r.ended {
			continue
		}
		w.updateProgress(r)
		r.factor *= slowdown / w.slowdown
		if r.gang == nil || len(r.gang.members) == r.gang.size {
			w.scheduleEnd(r)
		}
	}
	w.slowdown = slowdown
}

// finishRun ends a run and the other members of its gang. They get the same outcome if it
// succeeded or failed, and outcomeGangBroken otherwise.
func (w *worker) finishRun(r *run, outcome string) {
	if r.ended {
		return
	}
	w.updateProgress(r)
	r.ended, r.outcome = true, outcome
	r.job.recordEnd(w, r)
	if r.gang == nil {
		return
	}
	rest := outcomeGangBroken
	if outcome == outcomeSucceeded || outcome == outcomeFailed {
		rest = outcome
	}
	for i, member := range r.gang.members {
		r.gang.workers[i].finishRun(member, rest)
	}
}

// joinGang adds a run to its gang. The runs start once the gang is complete; a run that has
// waited for GangWaitS ends with outcomeGangBroken.
func (w *worker) joinGang(r *run, size int) {
	key := fmt.Sprintf("%s/%d/%d", r.attempt.Job, r.step, r.attempt.Number)
	group := w.simulation.gangs[key]
	if group == nil {
		group = &gang{size: size}
		w.simulation.gangs[key] = group
	}
	r.gang = group
	group.members, group.workers = append(group.members, r), append(group.workers, w)
	if len(group.members) < size {
		w.simulation.queue.After(seconds(w.simulation.deployment.GangWaitS), func() {
			if len(group.members) < size {
				w.finishRun(r, outcomeGangBroken)
			}
		})
		return
	}
	slowest := time.Duration(0)
	for _, member := range group.members {
		slowest = max(slowest, time.Duration(float64(member.remaining)*member.factor))
	}
	for i, member := range group.members {
		member.updatedAt = w.simulation.queue.Now
		member.remaining = time.Duration(float64(slowest) / member.factor)
		group.workers[i].scheduleEnd(member)
	}
}

package fakeworker

import (
	"encoding/json"
	"slices"
	"strings"
	"time"

	"sorrelloom/core/state"
)

const (
	stopDuration = 20 * time.Millisecond
	// hungStopDuration is how long a hung run takes to stop.
	hungStopDuration = 10 * stopDuration
	// defaultRunMillis is the run time of a task whose payload contains none.
	defaultRunMillis = 50
)

// activeRun is a run that has not ended.
type activeRun struct {
	order      state.StartOrder
	startedAt  time.Duration
	endsAt     time.Duration
	fails      bool
	hung       bool
	stopAt     time.Duration // 0 unless the run is being stopped
	runLimitAt time.Duration
}

// nextTimer returns the next time at which the run may have to be ended.
func (r activeRun) nextTimer() time.Duration {
	at := r.runLimitAt
	if !r.hung {
		at = min(at, r.endsAt)
	}
	if r.stopAt > 0 {
		at = min(at, r.stopAt)
	}
	return at
}

// startRun starts a run.
func (w *Worker) startRun(now time.Duration, order state.StartOrder) {
	var payload Payload
	if json.Unmarshal(order.Payload, &payload) != nil || payload.RunMillis <= 0 {
		payload.RunMillis = defaultRunMillis
	}
	w.startCount++
	duration := time.Duration(payload.RunMillis) * time.Millisecond
	for _, holder := range order.DependencyWorkers {
		if holder != w.config.ID {
			duration += time.Duration(payload.FetchMillis) * time.Millisecond
		}
	}
	if w.faults.SlowFactor > 1 {
		duration = time.Duration(float64(duration) * w.faults.SlowFactor)
	}
	nthFails := w.faults.FailEvery > 0 && w.startCount%w.faults.FailEvery == 0
	classFails := w.faults.FailClass == order.Class && order.Class != ""
	w.active[order.Attempt] = activeRun{
		order: order, startedAt: now, endsAt: now + duration, runLimitAt: now + order.RunLimit.Duration,
		fails: payload.Fail || nthFails || classFails, hung: w.faults.Hang,
	}
}

// stopRun starts to stop a run, which ends after stopDuration, or hungStopDuration if it hangs.
func (w *Worker) stopRun(now time.Duration, attempt state.Attempt) {
	r, ok := w.active[attempt]
	if !ok || r.stopAt > 0 {
		return
	}
	r.stopAt = now + stopDuration
	if r.hung {
		r.stopAt = now + hungStopDuration
	}
	w.active[attempt] = r
}

// endDueRuns ends the runs that have completed, are due to stop, or have exceeded the lease or
// their run limit.
func (w *Worker) endDueRuns(now time.Duration) {
	for _, attempt := range w.activeAttempts() {
		r := w.active[attempt]
		leaseExpired := w.leaseExpiry > 0 && now >= w.leaseExpiry && !w.faults.IgnoreLeaseExpiry
		limited := !w.faults.IgnoreRunLimit && (r.hung || r.runLimitAt < r.endsAt)
		switch {
		case r.stopAt > 0 && now >= r.stopAt, leaseExpired:
			w.endRun(attempt, now, OutcomeStopped, "")
		case now >= r.runLimitAt && limited:
			w.endRun(attempt, now, OutcomeFailed, "the run limit passed")
		case r.hung || now < r.endsAt:
		case r.fails:
			w.endRun(attempt, now, OutcomeFailed, "the task failed")
		default:
			w.endRun(attempt, now, OutcomeSucceeded, "")
		}
	}
}

// endRun ends a run and queues its result for the next heartbeat.
func (w *Worker) endRun(attempt state.Attempt, now time.Duration, outcome, reason string) {
	ended := w.record(attempt)
	ended.End, ended.Outcome = now, outcome
	delete(w.active, attempt)
	w.Finished = append(w.Finished, ended)
	w.unackedEnds = append(w.unackedEnds, state.AttemptResult{
		Attempt: attempt, Succeeded: outcome == OutcomeSucceeded, Stopped: outcome == OutcomeStopped, Reason: reason,
	})
	w.changed = true
}

// record returns the record of an active run.
func (w *Worker) record(attempt state.Attempt) Run {
	r := w.active[attempt]
	return Run{
		Attempt: attempt, Worker: w.config.ID, Class: r.order.Class, Service: r.order.Service,
		Resources: r.order.Resources, Gang: r.order.Gang, Start: r.startedAt,
	}
}

// activeAttempts returns the attempts of the active runs in sorted order.
func (w *Worker) activeAttempts() []state.Attempt {
	attempts := make([]state.Attempt, 0, len(w.active))
	for attempt := range w.active {
		attempts = append(attempts, attempt)
	}
	slices.SortFunc(attempts, func(a, b state.Attempt) int { return strings.Compare(a.String(), b.String()) })
	return attempts
}

// Active returns the records of the active runs, sorted by attempt.
func (w *Worker) Active() []Run {
	var runs []Run
	for _, attempt := range w.activeAttempts() {
		runs = append(runs, w.record(attempt))
	}
	return runs
}

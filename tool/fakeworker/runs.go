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
	// hungStopDuration is how long a run takes to stop that hangs.
	hungStopDuration = 10 * stopDuration
	// defaultRunMillis is how long a task runs whose payload names no time.
	defaultRunMillis = 50
)

// activeRun is one run that goes on.
type activeRun struct {
	order      state.StartOrder
	startedAt  time.Duration
	endsAt     time.Duration
	fails      bool
	hung       bool
	stopAt     time.Duration // zero if it is not to stop
	runLimitAt time.Duration
}

// nextTimer is when the run is to be looked at next.
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

// stopRun has a run stop after a moment.
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

// endDueRuns ends the runs whose time is over, or that must stop.
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

// endRun ends a run, and has its end reported.
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

// record returns the record of a run that goes on.
func (w *Worker) record(attempt state.Attempt) Run {
	r := w.active[attempt]
	return Run{
		Attempt: attempt, Worker: w.config.ID, Class: r.order.Class, Service: r.order.Service,
		Resources: r.order.Resources, Gang: r.order.Gang, Start: r.startedAt,
	}
}

// activeAttempts lists the attempts that go on, in order.
func (w *Worker) activeAttempts() []state.Attempt {
	attempts := make([]state.Attempt, 0, len(w.active))
	for attempt := range w.active {
		attempts = append(attempts, attempt)
	}
	slices.SortFunc(attempts, func(a, b state.Attempt) int { return strings.Compare(a.String(), b.String()) })
	return attempts
}

// Active returns the records of the runs that go on, in order.
func (w *Worker) Active() []Run {
	var runs []Run
	for _, attempt := range w.activeAttempts() {
		runs = append(runs, w.record(attempt))
	}
	return runs
}

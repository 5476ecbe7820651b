package agent

import (
	"slices"
	"time"

	"sorrelloom/core/state"
)

const (
	// clockDriftPercent and clockDriftMargin bound how much later a lease may expire by the
	// worker's clock than by the agent's.
	clockDriftPercent = 3
	clockDriftMargin  = 100 * time.Millisecond
)

// worker is the state of one worker incarnation, from its calls and from the replies to its
// reports.
type worker struct {
	lastCall Call
	// capacity is the most that the worker ever reported as free.
	capacity    state.Resources
	firstCallAt time.Duration
	lastCallAt  time.Duration

	// leaseExpiry is when the lease that the primary granted expires, by the agent's clock.
	leaseExpiry time.Duration
	// workerLeaseExpiry is an upper bound of when the lease that the worker was told expires
	// by the worker's clock. The worker may run attempts until then.
	workerLeaseExpiry time.Duration
	// inheritedRuns says that the worker may run attempts that a previous incarnation of the
	// agent started.
	inheritedRuns bool

	// confirmed says that one of its calls was sent after a reply of this agent, so that its
	// calls are newer than those that a previous incarnation of the agent received. Until then
	// its reports are marked as unconfirmed.
	confirmed bool

	// leaving says that the worker has signed off, or that another worker has replaced it.
	leaving bool
	// replaced says that another worker has its address, so that it must have terminated.
	replaced bool
	// noRunsAcknowledged says that the primary has acknowledged that the worker runs nothing
	// any more.
	noRunsAcknowledged bool
	lossLogged         bool

	pendingStarts []*pendingStart
	gangMembers   []*gangMember
	stops         []state.Attempt
	results       resultLog
	// checkpoints are the last checkpoints that the primary knows, by attempt.
	checkpoints map[state.Attempt]string

	reports reportState
}

// newWorker returns the state of a worker before its first call is recorded.
func newWorker(now time.Duration, call Call) *worker {
	return &worker{
		firstCallAt:   now,
		inheritedRuns: len(call.Running) > 0,
		results:       newResultLog(),
		checkpoints:   map[state.Attempt]string{},
		reports:       reportState{dirty: true},
	}
}

// confirm marks the worker as confirmed by its first confirmed call. The runs that the call
// lists, other than pending starts, were started by a previous incarnation of the agent.
func (w *worker) confirm(call Call) {
	w.confirmed, w.reports.dirty = true, true
	for _, run := range call.Running {
		w.inheritedRuns = w.inheritedRuns || w.pendingIndex(run.Attempt) < 0
	}
}

// reportedCallNumber returns the number of the call that a report is based on. It is 0 for a
// worker that was never confirmed and whose runs must all have ended by now: that report
// follows from the time that has passed, not from any call.
func (w *worker) reportedCallNumber(noRuns bool) uint64 {
	if noRuns && !w.confirmed {
		return 0
	}
	return w.lastCall.Number
}

// withClockDrift returns the latest time, by the agent's clock, at which a duration that
// begins now ends by the worker's clock.
func withClockDrift(now, duration time.Duration) time.Duration {
	return now + duration + duration*clockDriftPercent/100 + clockDriftMargin
}

// propertiesChanged reports whether a call differs from the last one in the worker's
// properties. Such changes are reported at once.
func (w *worker) propertiesChanged(call Call) bool {
	previous := &w.lastCall
	return previous.Leaving != call.Leaving ||
		previous.LeavesIn == 0 && call.LeavesIn != 0 ||
		previous.Service != call.Service ||
		previous.Zone != call.Zone ||
		previous.Rack != call.Rack ||
		previous.Address != call.Address ||
		!slices.Equal(previous.Labels, call.Labels)
}

// lists reports whether the last call lists an attempt as running or ended.
func (w *worker) lists(attempt state.Attempt) bool {
	isRunning := slices.ContainsFunc(w.lastCall.Running, func(r Run) bool { return r.Attempt == attempt })
	return isRunning || w.hasEnded(attempt)
}

// hasEnded reports whether the last call lists an attempt as ended.
func (w *worker) hasEnded(attempt state.Attempt) bool {
	return slices.ContainsFunc(w.lastCall.Ended, func(e EndedRun) bool { return e.Attempt == attempt })
}

// knows reports whether the start of an attempt was received before.
func (w *worker) knows(attempt state.Attempt) bool {
	return w.lists(attempt) || w.pendingIndex(attempt) >= 0 || w.results.hasAgentResult(attempt)
}

// running returns the attempts that the worker runs, and those of pending starts.
func (w *worker) running() []state.Attempt {
	var attempts []state.Attempt
	for _, run := range w.lastCall.Running {
		if !w.hasEnded(run.Attempt) {
			attempts = append(attempts, run.Attempt)
		}
	}
	for _, start := range w.pendingStarts {
		attempts = append(attempts, start.Attempt)
	}
	return attempts
}

// progress returns the checkpoints that the primary doesn't know yet.
func (w *worker) progress() []state.Progress {
	var progress []state.Progress
	for _, run := range w.lastCall.Running {
		if !w.hasEnded(run.Attempt) && run.Checkpoint != w.checkpoints[run.Attempt] {
			progress = append(progress, state.Progress{
				Attempt: run.Attempt, Checkpoint: run.Checkpoint, Percent: run.Percent,
			})
		}
	}
	return progress
}

// freeResources returns what the worker reports as free, less the resources of pending
// starts, and never less than 0.
func (w *worker) freeResources() state.Resources {
	free := w.lastCall.Free
	for _, start := range w.pendingStarts {
		free = free.Sub(start.Resources)
	}
	return state.Resources{
		Slots:        max(0, free.Slots),
		Cores:        max(0, free.Cores),
		MemoryMB:     max(0, free.MemoryMB),
		Accelerators: max(0, free.Accelerators),
	}
}

// forgetEndedRuns drops the stops and checkpoints of attempts that no longer run.
func (w *worker) forgetEndedRuns() {
	running := w.running()
	w.stops = slices.DeleteFunc(w.stops, func(attempt state.Attempt) bool {
		return !slices.Contains(running, attempt)
	})
	for attempt := range w.checkpoints {
		if !slices.Contains(running, attempt) {
			delete(w.checkpoints, attempt)
		}
	}
}

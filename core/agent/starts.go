package agent

import (
	"slices"
	"time"

	"sorrelloom/core/machine"
	"sorrelloom/core/state"
)

const (
	// handOverTimeout is how long after its reply a start may be handed over; the
	// primary counts on a start soon after the report.
	handOverTimeout = 1500 * time.Millisecond
	// callsUntilListed is after how many calls a start that was handed over must be
	// listed. The call after the hand-over may have been on its way at the time.
	callsUntilListed = 2
)

// pendingStart is a start that the worker has not listed yet.
type pendingStart struct {
	state.StartOrder
	// handOverBy is until when it may be handed over.
	handOverBy time.Duration
	// gangGiveUpAt is until when it may wait for the others of its gang, 0 without a bound.
	gangGiveUpAt time.Duration
	handedOver   bool
	// lastCallNumber is the call whose reply handed it over last.
	lastCallNumber uint64
	// withdrawn says that it is not handed over any more.
	withdrawn bool
}

// pendingIndex returns the index of the pending start of an attempt, or -1.
func (w *worker) pendingIndex(attempt state.Attempt) int {
	return slices.IndexFunc(w.pendingStarts, func(start *pendingStart) bool { return start.Attempt == attempt })
}

// refusalReason says why a start may not be handed over now; "" is that it may.
func (w *worker) refusalReason(now time.Duration, start *pendingStart) string {
	switch {
	case w.replaced:
		return "another worker stands in its place"
	case w.leaving || w.lastCall.Leaving:
		return "the worker leaves"
	case now >= w.leaseExpiry:
		return "the lease is over"
	case start.gangGiveUpAt > 0 && now >= start.gangGiveUpAt:
		return reasonGangNotStarted
	case now >= start.handOverBy:
		return "it was not taken up in time"
	}
	return ""
}

// settleListedStarts removes the pending starts that the last call lists, and drops
// those that were withdrawn and that the worker never took up.
func (a *Agent) settleListedStarts(now time.Duration, w *worker, out *machine.Output) {
	w.pendingStarts = slices.DeleteFunc(w.pendingStarts, func(start *pendingStart) bool {
		if w.lists(start.Attempt) {
			return true
		}
		if w.refusalReason(now, start) != "" {
			start.withdrawn = true
		}
		if !start.withdrawn || !start.handedOver || w.lastCall.Number < start.lastCallNumber+callsUntilListed {
			return false
		}
		a.dropStart(w, start.Attempt, "the worker did not take it up", out)
		return true
	})
}

// withdrawExpiredStarts withdraws starts that may not be handed over any more, and
// drops those that never were.
func (a *Agent) withdrawExpiredStarts(now time.Duration, w *worker, out *machine.Output) {
	w.pendingStarts = slices.DeleteFunc(w.pendingStarts, func(start *pendingStart) bool {
		reason := w.refusalReason(now, start)
		start.withdrawn = start.withdrawn || reason != ""
		if reason == "" || start.handedOver {
			return false
		}
		a.dropStart(w, start.Attempt, reason, out)
		return true
	})
	for _, start := range w.pendingStarts {
		if !start.withdrawn {
			a.scheduleTimer(now, min(start.handOverBy, w.leaseExpiry))
			if start.gangGiveUpAt > 0 {
				a.scheduleTimer(now, start.gangGiveUpAt)
			}
		}
	}
}

// dropStart reports a start that never became a run as lost.
func (a *Agent) dropStart(w *worker, attempt state.Attempt, reason string, out *machine.Output) {
	w.ends.addLost(attempt, reason)
	w.reports.dirty = true
	a.counters.DroppedStarts++
	out.Log("start_dropped", "worker", w.lastCall.Worker, "attempt", attempt.String(), "reason", reason)
}

// takeStarts adds the starts of a reply, and drops those that the worker can't take
// any more. It reports whether it dropped one.
func (a *Agent) takeStarts(
	now time.Duration, w *worker, sent *report, starts []state.StartOrder, out *machine.Output,
) (dropped bool) {
	for _, start := range starts {
		switch {
		case w.knows(start.Attempt):
		case sent.noRuns || w.lastCall.Leaving || w.leaving:
			a.dropStart(w, start.Attempt, "the worker leaves or is silent", out)
			dropped = true
		default:
			handOverBy := min(now+handOverTimeout, sent.sentAt+replyTimeout)
			w.pendingStarts = append(w.pendingStarts, &pendingStart{
				StartOrder: start, handOverBy: handOverBy, gangGiveUpAt: gangGiveUpAt(now, &start),
			})
			w.checkpoints[start.Attempt] = start.Checkpoint
		}
	}
	return dropped
}

// handleStop has the worker stop an attempt. A start that was not handed over is
// dropped instead.
func (a *Agent) handleStop(w *worker, attempt state.Attempt, out *machine.Output) {
	if i := w.pendingIndex(attempt); i >= 0 {
		start := w.pendingStarts[i]
		start.withdrawn = true
		if !start.handedOver {
			w.pendingStarts = slices.Delete(w.pendingStarts, i, i+1)
			a.dropStart(w, attempt, "stopped before it was handed over", out)
			return
		}
	} else if !slices.Contains(w.running(), attempt) {
		return
	}
	if !slices.Contains(w.stops, attempt) {
		w.stops = append(w.stops, attempt)
		a.counters.Stops++
	}
}

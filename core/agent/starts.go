package agent

import (
	"slices"
	"time"

	"sorrelloom/core/machine"
	"sorrelloom/core/state"
)

const (
	// handOverTimeout is how long after the primary's reply a start may be handed over; the
	// primary expects a start soon after the report.
	handOverTimeout = 1500 * time.Millisecond
	// callsUntilListed is the number of calls after the hand-over within which the worker must
	// list a start. The first call may already have been in flight at the hand-over.
	callsUntilListed = 2
)

// pendingStart is a start that the worker has not listed yet.
type pendingStart struct {
	state.StartOrder
	// handOverDeadline is the time by which the start must be handed over.
	handOverDeadline time.Duration
	// gangGiveUpAt is when the agent gives up waiting for the rest of the gang, 0 for never.
	gangGiveUpAt time.Duration
	handedOver   bool
	// lastCallNumber is the number of the last call whose reply carried the start.
	lastCallNumber uint64
	// withdrawn says that the start must not be handed over any more.
	withdrawn bool
}

// pendingIndex returns the index of the pending start of an attempt, or -1.
func (w *worker) pendingIndex(attempt state.Attempt) int {
	return slices.IndexFunc(w.pendingStarts, func(start *pendingStart) bool { return start.Attempt == attempt })
}

// refusalReason returns why a start may not be handed over now, "" if it may.
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
	case now >= start.handOverDeadline:
		return "it was not taken up in time"
	}
	return ""
}

// removeListedStarts removes the pending starts that the last call lists, and drops those
// that were withdrawn and that the worker has not listed within callsUntilListed calls.
func (a *Agent) removeListedStarts(now time.Duration, w *worker, out *machine.Output) {
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

// withdrawExpiredStarts withdraws the starts that may not be handed over any more, and drops
// those among them that never were handed over.
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
			a.scheduleTimer(now, min(start.handOverDeadline, w.leaseExpiry))
			if start.gangGiveUpAt > 0 {
				a.scheduleTimer(now, start.gangGiveUpAt)
			}
		}
	}
}

// dropStart reports a start that never became a run as lost.
func (a *Agent) dropStart(w *worker, attempt state.Attempt, reason string, out *machine.Output) {
	w.results.addLost(attempt, reason)
	w.reports.dirty = true
	a.counters.DroppedStarts++
	out.Log("start_dropped", "worker", w.lastCall.Worker, "attempt", attempt.String(), "reason", reason)
}

// acceptStarts adds the starts of a reply to the pending ones, and drops those that the worker
// can't accept any more. It reports whether it dropped one.
func (a *Agent) acceptStarts(
	now time.Duration, w *worker, sent *report, starts []state.StartOrder, out *machine.Output,
) (dropped bool) {
	for _, start := range starts {
		switch {
		case w.knows(start.Attempt):
		case sent.noRuns || w.lastCall.Leaving || w.leaving:
			a.dropStart(w, start.Attempt, "the worker leaves or is silent", out)
			dropped = true
		default:
			handOverDeadline := min(now+handOverTimeout, sent.sentAt+replyTimeout)
			w.pendingStarts = append(w.pendingStarts, &pendingStart{
				StartOrder: start, handOverDeadline: handOverDeadline, gangGiveUpAt: gangGiveUpAt(now, &start),
			})
			w.checkpoints[start.Attempt] = start.Checkpoint
		}
	}
	return dropped
}

// handleStop orders the worker to stop an attempt. A start that was not handed over is
// dropped instead, and a stop of an attempt that the worker does not run is ignored.
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

// Calls: what the worker says, and what it is told at once.

package agent

import (
	"maps"
	"slices"
	"time"

	"sorrelloom/core/machine"
	"sorrelloom/core/state"
)

// taken is a start from a reply that the worker has not listed yet. Last is the
// call whose answer carried it last. A withdrawn one is carried no more, as none
// is after until: the core counts on a start soon after the report.
type pendingStart struct {
	state.StartOrder
	handOverBy     time.Duration
	handedOver     bool
	lastCallNumber uint64
	withdrawn      bool
}

// worker is one life of the worker. Dead means that another name stands at its
// address, leaving that it said so or that another name came from elsewhere. What
// it ran at its first call here is inherited from the agent before.
type worker struct {
	lastCall        Call
	capacity        state.Resources
	firstCallAt     time.Duration
	lastCallAt      time.Duration
	grantedUntil    time.Duration
	leaseExpiry     time.Duration
	inheritedRuns   bool
	leaving         bool
	replaced        bool
	endAcknowledged bool
	lossLogged      bool

	pendingStarts           []*pendingStart
	stops                   []state.Attempt
	unacknowledgedEnds      map[uint64]state.AttemptResult
	acknowledgedListed      map[uint64]bool // acknowledged, and listed still
	agentEnds               []state.AttemptResult
	lastEndNumber           uint64
	acknowledgedCheckpoints map[state.Attempt]string

	reportNumber uint64
	inFlight     *report
	dirty        bool
	lastReportAt time.Duration
	waitSince    time.Duration
	backoffUntil time.Duration
}

func (a *Agent) handleRequest(now time.Duration, request machine.Request, out *machine.Output) {
	reply := CallReply{NextCallIn: a.config.CallInterval, FencingEpoch: a.fencingEpoch}
	switch request.Kind {
	case RequestCall:
		if c, ok := request.Decoded.(Call); ok && c.Worker != "" {
			reply = a.handleCall(now, c, out)
		}
	case RequestLeave:
		name := request.Name
		if name == "" {
			name, _ = request.Decoded.(string)
		}
		if w := a.worker; w != nil && w.lastCall.Worker == name {
			w.leaving, w.dirty, w.lastCallAt = true, true, now
			a.withdrawExpiredStarts(now, w, out)
			reply = a.replyToCall(now, w, 0)
		}
	}
	out.Respond(request.ID, reply)
}

// take learns from a call and answers it.
func (a *Agent) handleCall(now time.Duration, call Call, out *machine.Output) CallReply {
	a.counters.Calls++
	if slices.Contains(a.departedNames, call.Worker) || call.Worker == a.lastDeparted.Worker && call.Number <= a.lastDeparted.Number {
		return CallReply{NextCallIn: a.config.CallInterval, FencingEpoch: a.fencingEpoch}
	}
	w := a.worker
	if w == nil || w.lastCall.Worker != call.Worker {
		w = a.replaceWorker(now, call, out)
	} else if call.Number <= w.lastCall.Number {
		return a.replyToCall(now, w, 0)
	}
	before := w.urgentState()
	propertiesChanged := w.propertiesChanged(call)
	freeChanged := w.lastCall.Free != call.Free
	w.lastCall, w.lastCallAt, w.endAcknowledged, w.lossLogged = call, now, false, false
	w.capacity = w.capacity.Max(call.Free)
	w.recordEnds()
	w.pendingStarts = slices.DeleteFunc(w.pendingStarts, func(start *pendingStart) bool {
		if w.lists(start.Attempt) {
			return true
		}
		if reason := w.refusalReason(now, start); reason != "" {
			start.withdrawn = true
		}
		// The call before this one may have been on its way when the answer was.
		if start.withdrawn && start.handedOver && call.Number >= start.lastCallNumber+2 {
			a.dropStart(w, start.Attempt, "the worker did not take it up", out)
			return true
		}
		return false
	})
	w.agentEnds = slices.DeleteFunc(w.agentEnds, func(e state.AttemptResult) bool { return w.lists(e.Attempt) })
	after := w.urgentState()
	w.dirty = w.dirty || propertiesChanged || !maps.Equal(before.running, after.running) || freeChanged && before.free != after.free
	a.withdrawExpiredStarts(now, w, out)
	w.stops = slices.DeleteFunc(w.stops, func(attempt state.Attempt) bool { return !slices.Contains(w.running(), attempt) })
	for attempt := range w.acknowledgedCheckpoints {
		if !slices.Contains(w.running(), attempt) {
			delete(w.acknowledgedCheckpoints, attempt)
		}
	}
	return a.replyToCall(now, w, call.Number)
}

// newcomer begins a life. One before it at the same address is dead; one
// elsewhere has its hold to run out.
func (a *Agent) replaceWorker(now time.Duration, call Call, out *machine.Output) *worker {
	if old := a.worker; old != nil {
		old.leaving, old.dirty = true, true
		old.replaced = old.lastCall.Address == call.Address
		a.withdrawExpiredStarts(now, old, out)
		a.rememberDeparted(old.lastCall.Worker)
		if a.departing = append(a.departing, old); old.reportNumber == 0 && len(old.unacknowledgedEnds)+len(old.agentEnds) == 0 {
			a.removeWorker(old)
		}
	}
	if a.lastDeparted.Worker != "" && a.lastDeparted.Worker != call.Worker {
		a.rememberDeparted(a.lastDeparted.Worker)
	}
	a.lastDeparted = Call{}
	out.Log("worker_new", "worker", call.Worker, "address", call.Address)
	a.worker = &worker{firstCallAt: now, dirty: true, inheritedRuns: len(call.Running) > 0, unacknowledgedEnds: map[uint64]state.AttemptResult{}, acknowledgedListed: map[uint64]bool{}, acknowledgedCheckpoints: map[state.Attempt]string{}}
	return a.worker
}

// told is the answer to a call; the number 0 is that of one without orders.
func (a *Agent) replyToCall(now time.Duration, w *worker, callNumber uint64) CallReply {
	reply := CallReply{LeaseRemaining: max(0, w.leaseExpiry-now), AcknowledgedEnds: w.acknowledgedEnds(), FencingEpoch: a.fencingEpoch, NextCallIn: a.config.CallInterval}
	w.grantedUntil = max(w.grantedUntil, withClockDrift(now, reply.LeaseRemaining))
	if callNumber == 0 {
		return reply
	}
	reply.Stops = slices.Clone(w.stops)
	for _, start := range w.pendingStarts {
		if start.withdrawn {
			continue
		}
		if !start.handedOver {
			a.counters.Starts++
		}
		start.handedOver, start.lastCallNumber = true, callNumber
		reply.Starts = append(reply.Starts, StartOrder{start.Attempt, start.Payload, start.Checkpoint})
	}
	return reply
}

// refuses says why a start may not be handed over now.
func (w *worker) refusalReason(now time.Duration, start *pendingStart) string {
	switch {
	case w.replaced:
		return "another worker stands in its place"
	case w.leaving || w.lastCall.Leaving:
		return "the worker leaves"
	case now >= w.leaseExpiry:
		return "the lease is over"
	case now >= start.handOverBy:
		return "it was not taken up in time"
	}
	return ""
}

// changed says whether a call differs from the last in the worker's standing
// properties, which are reported at once.
func (w *worker) propertiesChanged(call Call) bool {
	previous := w.lastCall
	return previous.Leaving != call.Leaving || previous.LeavesIn == 0 && call.LeavesIn != 0 || previous.Service != call.Service ||
		previous.Zone != call.Zone || previous.Rack != call.Rack || previous.Address != call.Address ||
		!slices.Equal(previous.Labels, call.Labels)
}

// reportable is what of a worker's state a report carries that must not wait. A
// start that was reported as taken stays the same when the worker lists it.
type urgentState struct {
	running map[state.Attempt]bool
	free    state.Resources
}

func (w *worker) urgentState() urgentState {
	r := urgentState{map[state.Attempt]bool{}, w.freeResources()}
	for _, at := range w.running() {
		r.running[at] = true
	}
	return r
}

// learnEnds takes the ends of a call that are new.
func (w *worker) recordEnds() {
	stillListed := map[uint64]bool{}
	for _, end := range w.lastCall.Ended {
		if w.acknowledgedListed[end.Number] {
			stillListed[end.Number] = true
		}
		if _, known := w.unacknowledgedEnds[end.Number]; known || w.acknowledgedListed[end.Number] || end.Number == 0 {
			continue
		}
		w.unacknowledgedEnds[end.Number] = state.AttemptResult{Attempt: end.Attempt, Succeeded: end.Outcome == OutcomeSucceeded, Stopped: end.Outcome == OutcomeStopped, Lost: end.Outcome == OutcomeLost, Reason: end.Reason, Checkpoint: end.Checkpoint, Percent: end.Percent}
		w.dirty = true
		w.lastEndNumber = max(w.lastEndNumber, end.Number)
	}
	w.acknowledgedListed = stillListed
}

// seen is the count up to which the core has acknowledged every end. What the
// worker no longer lists was acknowledged before.
func (w *worker) acknowledgedEnds() uint64 {
	acknowledged := w.lastEndNumber
	for number := range w.unacknowledgedEnds {
		acknowledged = min(acknowledged, number-1)
	}
	return acknowledged
}

// acked takes the core's acknowledgement of what a report carried.
func (w *worker) acknowledge(sent report, acks []state.Attempt) {
	for _, number := range sent.endNumbers {
		if slices.Contains(acks, w.unacknowledgedEnds[number].Attempt) {
			delete(w.unacknowledgedEnds, number)
			w.acknowledgedListed[number] = true
		}
	}
	w.agentEnds = slices.DeleteFunc(w.agentEnds, func(e state.AttemptResult) bool {
		return slices.Contains(acks, e.Attempt) && slices.Contains(sent.heartbeat.Ended, e)
	})
	for _, p := range sent.heartbeat.Progress {
		w.acknowledgedCheckpoints[p.Attempt] = p.Checkpoint
	}
}

// lists says whether the last call lists an attempt as running or ended.
func (w *worker) lists(attempt state.Attempt) bool {
	return slices.ContainsFunc(w.lastCall.Running, func(r Run) bool { return r.Attempt == attempt }) || w.hasEnded(attempt)
}

func (w *worker) hasEnded(attempt state.Attempt) bool {
	return slices.ContainsFunc(w.lastCall.Ended, func(e EndedRun) bool { return e.Attempt == attempt })
}

func (w *worker) knows(attempt state.Attempt) bool {
	return w.lists(attempt) || slices.ContainsFunc(w.pendingStarts, func(t *pendingStart) bool { return t.Attempt == attempt }) ||
		slices.ContainsFunc(w.agentEnds, func(e state.AttemptResult) bool { return e.Attempt == attempt })
}

// running is what the worker runs or may run.
func (w *worker) running() []state.Attempt {
	var out []state.Attempt
	for _, run := range w.lastCall.Running {
		if !w.hasEnded(run.Attempt) {
			out = append(out, run.Attempt)
		}
	}
	for _, start := range w.pendingStarts {
		out = append(out, start.Attempt)
	}
	return out
}

func (w *worker) progress() []state.Progress {
	var out []state.Progress
	for _, run := range w.lastCall.Running {
		if !w.hasEnded(run.Attempt) && run.Checkpoint != w.acknowledgedCheckpoints[run.Attempt] {
			out = append(out, state.Progress{Attempt: run.Attempt, Checkpoint: run.Checkpoint, Percent: run.Percent})
		}
	}
	return out
}

// savedNew says whether something was saved that the report out does not carry.
func (w *worker) hasNewCheckpoint() bool {
	return !slices.Equal(w.progress(), w.inFlight.heartbeat.Progress)
}

// free is the worker's word less what it has not yet counted.
func (w *worker) freeResources() state.Resources {
	free := w.lastCall.Free
	for _, start := range w.pendingStarts {
		free = free.Sub(start.Resources)
	}
	return state.Resources{Slots: max(0, free.Slots), Cores: max(0, free.Cores), MemoryMB: max(0, free.MemoryMB), Accelerators: max(0, free.Accelerators)}
}

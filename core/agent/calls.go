package agent

import (
	"maps"
	"slices"
	"time"

	"sorrelloom/core/machine"
	"sorrelloom/core/state"
)

const (
	// maxAnsweredGap is shorter than a worker's contractual reply timeout, by more than its
	// clock may run slow. If a worker sends two calls closer together than this, it received
	// the reply to the first before it sent the second.
	maxAnsweredGap = 900 * time.Millisecond
	// maxCallDelay bounds the delivery delay of a call. It is used to identify recent calls
	// of a worker that does not report its send times.
	maxCallDelay = 10 * time.Second
)

const (
	// noOrders is passed as the call number for a reply that carries no orders.
	noOrders = 0
	// maxWorkerNames bounds the length of workerNames.
	maxWorkerNames = 64
)

// workerNames is a bounded list of worker names, the most recently added last.
type workerNames []string

// add appends a name unless it is present; the oldest is dropped beyond maxWorkerNames.
func (n *workerNames) add(name string) {
	if n.contains(name) {
		return
	}
	if *n = append(*n, name); len(*n) > maxWorkerNames {
		*n = (*n)[1:]
	}
}

func (n *workerNames) contains(name string) bool { return slices.Contains(*n, name) }

// departedWorkers remembers removed workers. Their late calls are answered without
// orders, so that they do not replace the current worker.
type departedWorkers struct {
	names workerNames
	// last is the last call of the most recently removed worker. It is cleared when another
	// worker takes its place.
	last Call
}

// isLate reports whether a call comes from a departed worker.
func (d *departedWorkers) isLate(call Call) bool {
	return d.names.contains(call.Worker) || call.Worker == d.last.Worker && call.Number <= d.last.Number
}

// callSequence is a series of calls from one worker with ascending numbers, uninterrupted
// by calls of another worker.
type callSequence struct {
	worker     string
	lastNumber uint64
	lastSentAt time.Duration
	// since is when the first call of the sequence arrived.
	since time.Duration
}

// add appends a call, and reports whether it is confirmed: the worker sent it after it had
// received a reply from this agent, so it is newer than any call that a previous incarnation
// of the agent received. Several calls of a worker may arrive seconds late and out of order,
// and their numbers only give the order in which they were sent, so ascending numbers alone
// don't confirm a call.
func (c *callSequence) add(now time.Duration, call Call) (confirmed bool) {
	previous := *c
	if previous.worker != call.Worker || call.Number <= previous.lastNumber {
		previous = callSequence{since: now}
	}
	*c = callSequence{call.Worker, call.Number, call.SentAt, previous.since}
	if call.SentAt == 0 || previous.lastSentAt == 0 {
		return now-previous.since > maxCallDelay
	}
	return previous.wasAnsweredBefore(call)
}

// wasAnsweredBefore reports whether the worker sent a call after it had received the reply to
// the last call of the sequence. A worker has one call in flight at a time and waits for its
// reply for longer than maxAnsweredGap, so a call that was not answered is followed by the
// next one only after that time. The reply came from this agent, since the call was delivered
// to it.
func (c *callSequence) wasAnsweredBefore(call Call) bool {
	sinceLast := call.SentAt - c.lastSentAt
	return sinceLast >= 0 && sinceLast < maxAnsweredGap
}

// handleRequest answers a call or a sign-off request.
func (a *Agent) handleRequest(now time.Duration, request machine.Request, out *machine.Output) {
	reply := a.emptyReply()
	switch request.Kind {
	case RequestCall:
		if call, ok := request.Decoded.(Call); ok && call.Worker != "" {
			reply = a.handleCall(now, call, out)
		}
	case RequestSignOff:
		name := request.Name
		if name == "" {
			name, _ = request.Decoded.(string)
		}
		a.signedOff.add(name)
		if w := a.worker; w != nil && w.lastCall.Worker == name {
			w.leaving, w.reports.dirty, w.lastCallAt = true, true, now
			a.withdrawExpiredStarts(now, w, out)
			reply = a.replyToCall(now, w, noOrders)
		}
	}
	out.Respond(request.ID, reply)
}

// handleCall records a call and answers it. A call that arrives after a later one, or from a
// departed worker, changes nothing and gets no orders. The same holds for an unconfirmed call
// of any worker other than the current one: it may be a delayed call of an earlier worker that
// only a previous incarnation of the agent knew.
func (a *Agent) handleCall(now time.Duration, call Call, out *machine.Output) CallReply {
	a.counters.Calls++
	if a.departed.isLate(call) {
		return a.emptyReply()
	}
	w := a.worker
	if w != nil && w.lastCall.Worker == call.Worker && call.Number <= w.lastCall.Number {
		return a.replyToCall(now, w, noOrders)
	}
	confirmed := a.calls.add(now, call)
	if w != nil && w.lastCall.Worker != call.Worker && !confirmed {
		return a.emptyReply()
	}
	if w == nil || w.lastCall.Worker != call.Worker {
		w = a.replaceWorker(now, call, out)
	}
	if confirmed && !w.confirmed {
		w.confirm(call)
	}
	a.recordCall(now, w, call, out)
	return a.replyToCall(now, w, call.Number)
}

// recordCall updates a worker's state from its call, and marks the worker as dirty if
// something changed that must be reported at once.
func (a *Agent) recordCall(now time.Duration, w *worker, call Call, out *machine.Output) {
	before := w.urgentState()
	propertiesChanged := w.propertiesChanged(call)
	freeChanged := w.lastCall.Free != call.Free
	if propertiesChanged {
		// For a report with changed properties, the primary decides by the report's number which
		// starts the worker has received, so none may be accepted from a late reply any more.
		w.reports.refuseLateReplies()
	}
	w.lastCall, w.lastCallAt, w.noRunsAcknowledged, w.lossLogged = call, now, false, false
	w.capacity = w.capacity.Max(call.Free)
	endsChanged := w.results.record(call.Ended)
	a.removeListedStarts(now, w, out)
	w.results.dropAgentResults(w.lists)
	w.removeStartedMembers()
	after := w.urgentState()
	runningChanged := !maps.Equal(before.running, after.running)
	if propertiesChanged || endsChanged || runningChanged || freeChanged && before.free != after.free {
		w.reports.dirty = true
	}
	a.withdrawExpiredStarts(now, w, out)
	w.forgetEndedRuns()
}

// replaceWorker makes a worker that calls for the first time the current one. The previous
// worker departs: if it had the same address it has terminated, since two workers can't share
// an address; otherwise it may run until the last lease that it was told has expired. A
// previous worker that was never confirmed is no longer reported: it may have terminated
// before the new one started. Its runs end at the primary when the new worker reports the same
// address, or when its lease expires.
func (a *Agent) replaceWorker(now time.Duration, call Call, out *machine.Output) *worker {
	if previous := a.worker; previous != nil {
		previous.leaving, previous.reports.dirty = true, true
		previous.replaced = previous.lastCall.Address == call.Address
		a.withdrawExpiredStarts(now, previous, out)
		a.departed.names.add(previous.lastCall.Worker)
		a.departing = append(a.departing, previous)
		if !previous.confirmed || previous.reports.number == 0 && previous.results.unacknowledgedCount() == 0 {
			a.removeWorker(previous)
		}
	}
	if last := a.departed.last.Worker; last != "" && last != call.Worker {
		a.departed.names.add(last)
	}
	a.departed.last = Call{}
	out.Log("worker_new", "worker", call.Worker, "address", call.Address)
	a.worker = newWorker(now, call)
	a.worker.leaving = a.signedOff.contains(call.Worker)
	return a.worker
}

// removeWorker drops a worker that no longer has to be reported.
func (a *Agent) removeWorker(w *worker) {
	a.departing = slices.DeleteFunc(a.departing, func(other *worker) bool { return other == w })
	if a.worker == w {
		a.worker, a.departed.last = nil, w.lastCall
	}
}

// emptyReply returns a reply without a lease and without orders.
func (a *Agent) emptyReply() CallReply {
	return CallReply{NextCallIn: a.config.CallInterval, FencingEpoch: a.fencingEpoch}
}

// replyToCall returns a reply with the remaining lease time and, unless the call number is
// noOrders, the pending starts and stops.
func (a *Agent) replyToCall(now time.Duration, w *worker, callNumber uint64) CallReply {
	reply := a.emptyReply()
	reply.LeaseRemaining = max(0, w.leaseExpiry-now)
	reply.AcknowledgedUpTo = w.results.acknowledgedUpTo()
	w.workerLeaseExpiry = max(w.workerLeaseExpiry, withClockDrift(now, reply.LeaseRemaining))
	if callNumber == noOrders {
		return reply
	}
	reply.Stops = slices.Clone(w.stops)
	for _, start := range w.pendingStarts {
		if start.withdrawn {
			continue
		}
		if !start.handedOver {
			a.counters.Starts++
			w.awaitGang(now, start)
		}
		start.handedOver, start.lastCallNumber = true, callNumber
		reply.Starts = append(reply.Starts, StartOrder{start.Attempt, start.Payload, start.Checkpoint})
	}
	return reply
}

// urgentState is the part of a worker's state whose changes are reported at once. A pending
// start already counts as running, so the worker listing it is no change.
type urgentState struct {
	running map[state.Attempt]bool
	free    state.Resources
}

func (w *worker) urgentState() urgentState {
	running := w.running()
	urgent := urgentState{make(map[state.Attempt]bool, len(running)), w.freeResources()}
	for _, attempt := range running {
		urgent.running[attempt] = true
	}
	return urgent
}

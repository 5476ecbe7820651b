package agent

import (
	"slices"
	"time"

	"sorrelloom/core/machine"
	"sorrelloom/core/state"
	"sorrelloom/core/wire"
)

const (
	// replyGrace is how much longer than ReportWait a report waits for its reply.
	replyGrace = 600 * time.Millisecond
	// minReportInterval is the minimum time between two reports.
	minReportInterval = 10 * time.Millisecond
	// progressInterval is the minimum time between two reports with progress, counted from
	// the last one whose progress was accepted, since the primary has to replicate progress.
	// Progress alone triggers no report: the result of a run carries its last checkpoint, so
	// only the loss of a worker loses the work done in between.
	progressInterval = time.Second
)

// report is a heartbeat that was sent and has not been answered.
type report struct {
	id     uint64
	target string
	sentAt time.Duration
	// noRuns says that the heartbeat reports that the worker runs nothing any more.
	noRuns bool
	// resultNumbers are the numbers of the ended runs whose results the heartbeat carries.
	resultNumbers []uint64
	heartbeat     state.Heartbeat
	// refusesLateReply says that the reply is ignored once the report has been replaced.
	refusesLateReply bool
}

// reportState is the reporting state of a worker.
type reportState struct {
	// number is the number of the last report; the primary accepts each number once.
	number   uint64
	inFlight *report
	// replaced are earlier reports whose late replies are still accepted, in the order in
	// which they were sent. They are dropped when a later report is answered or the
	// worker's properties change.
	replaced []*report
	// lastReply is the number of the newest report whose reply was accepted.
	lastReply uint64
	// dirty says that something changed that the last report does not carry.
	dirty  bool
	sentAt time.Duration
	// progressAcceptedAt is when the last report whose progress was accepted was sent.
	progressAcceptedAt time.Duration
	// waitSince is when the wait for a reply began: when the report in flight was sent, or
	// the first of those that it replaced without a reply in between.
	waitSince    time.Duration
	backoffUntil time.Duration
}

// find returns the report with an ID whose reply is still accepted, or nil.
func (r *reportState) find(reportID uint64) *report {
	if r.inFlight != nil && r.inFlight.id == reportID {
		return r.inFlight
	}
	if i := slices.IndexFunc(r.replaced, func(sent *report) bool { return sent.id == reportID }); i >= 0 {
		return r.replaced[i]
	}
	return nil
}

// replace moves the report in flight to the replaced ones, and drops those that are too old.
func (r *reportState) replace(now time.Duration) {
	r.replaced = slices.DeleteFunc(r.replaced, func(sent *report) bool { return now-sent.sentAt > replyTimeout })
	if r.inFlight != nil && !r.inFlight.refusesLateReply {
		r.replaced = append(r.replaced, r.inFlight)
	}
}

// refuseLateReplies makes the worker ignore late replies to the reports sent so far: to those
// already replaced, and to the report in flight once it is replaced.
func (r *reportState) refuseLateReplies() {
	r.replaced = nil
	if r.inFlight != nil {
		r.inFlight.refusesLateReply = true
	}
}

// abandon drops all unanswered reports, so that their replies are ignored.
func (r *reportState) abandon() { r.inFlight, r.replaced = nil, nil }

// allRunsEnded reports whether all runs of a worker have certainly ended: it has been
// replaced, or it leaves and runs nothing, or the last lease that it was told has expired
// and it leaves or is silent.
func (a *Agent) allRunsEnded(now time.Duration, w *worker) bool {
	if w.replaced || w.leaving && w.confirmed && len(w.running()) == 0 {
		return true
	}
	deadline, known := a.runDeadline(w)
	return known && now > deadline && (w.leaving || a.callsTimedOut(now, w))
}

// callsTimedOut reports whether a worker is silent: it has not called for CallTimeout.
func (a *Agent) callsTimedOut(now time.Duration, w *worker) bool {
	return now-w.lastCallAt > a.config.CallTimeout
}

// runDeadline returns the time by which a worker must have ended all its runs by itself.
// Runs from before its first call to this agent may hold a lease passed on by an earlier
// incarnation of the agent, for up to a full lease duration, which is unknown until the
// first reply.
func (a *Agent) runDeadline(w *worker) (deadline time.Duration, known bool) {
	if w.confirmed && !w.inheritedRuns {
		return w.workerLeaseExpiry, true
	}
	return max(w.workerLeaseExpiry, withClockDrift(w.firstCallAt, a.leaseDuration)), a.leaseDuration > 0
}

// reportIfDue sends the next report of a worker if it is due, and sets a timer for it
// otherwise.
func (a *Agent) reportIfDue(now time.Duration, w *worker, out *machine.Output) {
	noRuns := a.allRunsEnded(now, w)
	if noRuns && w.noRunsAcknowledged || a.waitsForReplaced(w) {
		w.reports.abandon()
		return
	}
	switch {
	case noRuns:
		a.clearOrders(w, out)
	case a.callsTimedOut(now, w):
		a.suspendReports(now, w, out)
		return
	default:
		a.scheduleTimeouts(now, w)
	}
	if sent := w.reports.inFlight; sent != nil && sent.noRuns != noRuns {
		w.reports.abandon()
	}
	dueAt, replyLost := a.reportDueAt(now, w)
	if now < dueAt {
		a.scheduleTimer(now, dueAt)
		return
	}
	if replyLost && w.reports.inFlight.target == a.replicas.target {
		a.replicas.selectNext()
	}
	if a.replicas.target == "" {
		return
	}
	a.sendReport(now, w, noRuns, replyLost, out)
	a.scheduleTimer(now, w.reports.waitSince+a.config.ReportWait+replyGrace)
}

// waitsForReplaced reports whether a worker can't be reported yet because the primary
// must first learn that the previous worker at its address has terminated.
func (a *Agent) waitsForReplaced(w *worker) bool {
	return w == a.worker && slices.ContainsFunc(a.departing, func(other *worker) bool { return other.replaced })
}

// suspendReports stops the reports of a silent worker until it calls or the last lease that
// it was told has expired. Without reports, the primary lets the worker's lease expire.
func (a *Agent) suspendReports(now time.Duration, w *worker, out *machine.Output) {
	if w.reports.inFlight != nil {
		out.Log("worker_silent", "worker", w.lastCall.Worker)
	}
	w.reports.abandon()
	a.outage = primaryOutage{}
	if deadline, known := a.runDeadline(w); known {
		a.scheduleTimer(now, deadline+time.Millisecond)
	}
}

// scheduleTimeouts sets the timers for when a worker counts as silent, and for when all runs
// of a leaving worker have ended.
func (a *Agent) scheduleTimeouts(now time.Duration, w *worker) {
	a.scheduleTimer(now, w.lastCallAt+a.config.CallTimeout+time.Millisecond)
	if deadline, known := a.runDeadline(w); w.leaving && known {
		a.scheduleTimer(now, deadline+time.Millisecond)
	}
}

// reportDueAt returns when the next report of a worker is due, and whether the reply to the
// report in flight is overdue. A new report replaces the one in flight when there are
// changes, but not once ReportWait has passed, when the reply is due: replies renew the
// lease, so a worker that changes all the time must not replace its reports forever. A
// series of reports that replace one another waits for a reply no longer than the first
// would have.
func (a *Agent) reportDueAt(now time.Duration, w *worker) (dueAt time.Duration, replyLost bool) {
	r := &w.reports
	dueAt = r.backoffUntil
	if r.number > 0 {
		dueAt = max(dueAt, r.sentAt+max(minReportInterval, a.reportInterval))
	}
	if r.inFlight == nil {
		return dueAt, false
	}
	deadline := r.waitSince + a.config.ReportWait + replyGrace
	replaceAt := deadline
	if r.dirty {
		replaceAt = dueAt
	}
	if max(replaceAt, now) >= r.waitSince+a.config.ReportWait {
		replaceAt = deadline
	}
	return max(dueAt, min(replaceAt, deadline)), now >= deadline
}

// clearOrders clears the pending orders of a worker that runs nothing any more. Starts that
// were never handed over are reported as lost; those that were handed over have ended with
// the worker's runs.
func (a *Agent) clearOrders(w *worker, out *machine.Output) {
	if !w.lossLogged {
		w.lossLogged = true
		out.Log("worker_lost", "worker", w.lastCall.Worker, "running", len(w.running()))
	}
	for _, start := range w.pendingStarts {
		if !start.handedOver {
			a.dropStart(w, start.Attempt, "the worker is silent", out)
		}
	}
	w.pendingStarts, w.gangMembers, w.stops = nil, nil, nil
}

// sendReport sends the next report of a worker, which replaces the one in flight.
func (a *Agent) sendReport(now time.Duration, w *worker, noRuns, replyLost bool, out *machine.Output) {
	r := &w.reports
	if r.inFlight == nil || replyLost {
		r.waitSince = now
	}
	r.replace(now)
	a.lastReportID++
	r.number++
	a.counters.Reports++
	r.sentAt, r.dirty = now, false
	resultNumbers := w.results.unacknowledgedNumbers()
	r.inFlight = &report{
		id:            a.lastReportID,
		target:        a.replicas.target,
		sentAt:        now,
		noRuns:        noRuns,
		resultNumbers: resultNumbers,
		heartbeat:     a.heartbeat(now, w, noRuns, w.results.results(resultNumbers)),
	}
	a.outage.noteSent(now, a.replicas.target, out)
	out.Send(a.replicas.target, wire.KindHeartbeat, wire.HeartbeatRequest{
		ID:        a.lastReportID,
		MaxWait:   max(0, r.waitSince+a.config.ReportWait-now),
		Heartbeat: r.inFlight.heartbeat, ReplicasEpoch: a.replicas.known.Epoch,
	})
}

// progressDue reports whether a report may carry progress.
func (r *reportState) progressDue(now time.Duration) bool {
	return r.progressAcceptedAt == 0 || now >= r.progressAcceptedAt+progressInterval
}

// heartbeat returns the contents of the next report of a worker.
func (a *Agent) heartbeat(now time.Duration, w *worker, noRuns bool, ended []state.AttemptResult) state.Heartbeat {
	call := &w.lastCall
	heartbeat := state.Heartbeat{
		Worker:      call.Worker,
		Incarnation: 1, // each incarnation of a worker has a name of its own
		Number:      w.reports.number,
		Zone:        call.Zone,
		Rack:        call.Rack,
		Service:     call.Service,
		Labels:      call.Labels,
		Address:     call.Address,
		CallNumber:  w.reportedCallNumber(noRuns),
		Leaving:     call.Leaving || w.leaving,
		LeavesIn:    call.LeavesIn,
		Ended:       ended,
	}
	if heartbeat.Zone == "" {
		heartbeat.Zone = a.config.Zone
	}
	if noRuns {
		return heartbeat
	}
	heartbeat.Unconfirmed = !w.confirmed
	heartbeat.LastReply = w.reports.lastReply
	heartbeat.Running = w.running()
	if w.reports.progressDue(now) {
		heartbeat.Progress = w.progress()
	}
	heartbeat.AwaitingGang = w.awaitingGang(now)
	heartbeat.Free, heartbeat.Total = w.freeResources(), w.capacity
	return heartbeat
}

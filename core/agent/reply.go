package agent

import (
	"slices"
	"time"

	"sorrelloom/core/machine"
	"sorrelloom/core/state"
	"sorrelloom/core/status"
	"sorrelloom/core/wire"
)

const (
	// replyTimeout is the time after sending a report after which its reply is ignored.
	replyTimeout = 2 * time.Second
	// retryDelay is the delay before a report is retried at a replica that could not accept it.
	retryDelay = 100 * time.Millisecond
	// minRedirectDelay and maxRedirectDelay bound the delay before another replica is
	// asked; it doubles with every rejection, at most maxDoublings times.
	minRedirectDelay = 60 * time.Millisecond
	maxRedirectDelay = 300 * time.Millisecond
	maxDoublings     = 4
	// rejectionsPerReplica is the number of rejections after which the agent no longer retries
	// at an unavailable replica but tries another.
	rejectionsPerReplica = 5
	// maxReportInterval bounds the interval that the primary may request.
	maxReportInterval = 200 * time.Millisecond
	// maxDeferral bounds the delay that an overloaded replica may request.
	maxDeferral = time.Second
)

// handleReply processes the reply to the report in flight, or to one that it has replaced. Any
// other reply is ignored.
func (a *Agent) handleReply(now time.Duration, reply wire.HeartbeatReply, out *machine.Output) {
	w, sent := a.findReport(reply.ID)
	if w == nil || now-sent.sentAt > replyTimeout {
		return
	}
	if sent != w.reports.inFlight {
		a.handleLateReply(now, w, sent, reply, out)
		return
	}
	w.reports.abandon()
	a.replicas.known.Update(reply.ReplicaList())
	if !reply.Result.Code.IsSuccess() {
		a.handleRejection(now, w, sent, reply, out)
		return
	}
	if a.primary != sent.target {
		out.Log("primary_changed", "to", sent.target, "from", a.primary)
		a.primary = sent.target
	}
	a.applyOrders(now, w, sent, reply.Result, out)
}

// handleLateReply processes the primary's reply to a report that a later one has replaced. A
// start is accepted only if the primary cannot conclude from a report sent since, which does
// not list the start, that it does not run. Replies to reports without LastReply are ignored:
// the primary then draws that conclusion from the numbers of the reports.
func (a *Agent) handleLateReply(
	now time.Duration, w *worker, sent *report, reply wire.HeartbeatReply, out *machine.Output,
) {
	if !reply.Result.Code.IsSuccess() || sent.heartbeat.LastReply == 0 || sent.target != a.replicas.target {
		return
	}
	a.replicas.known.Update(reply.ReplicaList())
	r := &w.reports
	r.replaced = slices.DeleteFunc(r.replaced, func(other *report) bool { return other.id <= sent.id })
	result, latest := reply.Result, &r.inFlight.heartbeat
	result.Heartbeat.Starts = slices.DeleteFunc(slices.Clone(result.Heartbeat.Starts), func(start state.StartOrder) bool {
		lease := state.Lease{HeartbeatNumber: start.GrantedOnHeartbeat}
		return start.GrantedOnHeartbeat == 0 || latest.HasReceivedStart(&lease)
	})
	r.waitSince = r.inFlight.sentAt
	a.applyOrders(now, w, sent, result, out)
}

// findReport returns the unanswered report with an ID and its worker, or nil.
func (a *Agent) findReport(reportID uint64) (*worker, *report) {
	for _, w := range a.workers() {
		if sent := w.reports.find(reportID); sent != nil {
			return w, sent
		}
	}
	return nil, nil
}

// applyOrders applies the lease, acknowledgements and orders of a reply. A worker that
// runs nothing any more, as the primary now knows, is removed, unless it only fell silent
// and may call again.
func (a *Agent) applyOrders(
	now time.Duration, w *worker, sent *report, result state.Result, out *machine.Output,
) {
	a.replied, a.lastReplyAt, a.rejections = true, now, 0
	a.outage.noteAnswered(now, sent.target, out)
	a.reportInterval = min(result.RetryAfter, maxReportInterval)
	w.reports.lastReply = sent.heartbeat.Number
	orders := &result.Heartbeat
	a.fencingEpoch = max(a.fencingEpoch, orders.Epoch)
	a.leaseDuration = max(a.leaseDuration, orders.LeaseDuration)
	w.leaseExpiry = max(w.leaseExpiry, sent.sentAt+orders.LeaseDuration)
	w.results.acknowledge(sent, orders.Acks)
	if len(sent.heartbeat.Progress) > 0 {
		w.reports.progressAcceptedAt = sent.sentAt
	}
	for _, progress := range sent.heartbeat.Progress {
		w.checkpoints[progress.Attempt] = progress.Checkpoint
	}
	w.confirmStartedGangs(orders.StartedGangs)
	for _, attempt := range orders.Stops {
		a.handleStop(w, attempt, out)
	}
	dropped := a.acceptStarts(now, w, sent, orders.Starts, out)
	if !sent.noRuns || dropped || !a.allRunsEnded(now, w) {
		return
	}
	w.noRunsAcknowledged = true
	if w.replaced || w.leaving {
		a.removeWorker(w)
	}
}

// handleRejection switches to another replica, adopts the report number that the primary
// expects, or waits as an overloaded replica requests.
func (a *Agent) handleRejection(
	now time.Duration, w *worker, sent *report, reply wire.HeartbeatReply, out *machine.Output,
) {
	code, orders := reply.Result.Code, reply.Result.Heartbeat
	if code == status.QueueFull && reply.Result.RetryAfter > 0 {
		a.replied, a.lastReplyAt = true, now
		a.outage.noteAnswered(now, sent.target, out)
		w.leaseExpiry = max(w.leaseExpiry, sent.sentAt+orders.LeaseDuration)
		w.reports.backoffUntil, w.reports.dirty = now+min(reply.Result.RetryAfter, maxDeferral), true
		return
	}
	a.rejections++
	a.outage.rejections++
	unavailable := code == status.StaleEpoch || code == status.ReplicasUnavailable
	switch {
	case code == status.StaleHeartbeat && orders.HeartbeatNumber > 0:
		w.reports.number = max(w.reports.number, orders.HeartbeatNumber)
	case code == status.StaleHeartbeat, unavailable && a.rejections%rejectionsPerReplica > 0:
		w.reports.backoffUntil = now + a.withJitter(retryDelay)
	case code == status.Malformed && sent.noRuns && (w.replaced || w.leaving):
		out.Log("worker_forgotten", "worker", w.lastCall.Worker, "reason", reply.Result.Reason)
		a.removeWorker(w)
	default:
		a.redirect(now, w, sent, &reply)
	}
}

// redirect switches to the primary that a rejection names, or else to the next replica,
// unless the target has changed since the report was sent. The primary named by a replica
// whose view is older than the agent's is ignored, as it no longer leads.
func (a *Agent) redirect(now time.Duration, w *worker, sent *report, reply *wire.HeartbeatReply) {
	primary := reply.Primary
	delay := min(minRedirectDelay<<min(a.rejections-1, maxDoublings), maxRedirectDelay)
	w.reports.backoffUntil = now + a.withJitter(delay)
	switch {
	case sent.target != a.replicas.target:
	case primary != "" && primary != sent.target && !a.replicas.known.IsNewerThan(reply.ReplicasEpoch):
		a.replicas.target = primary
		if a.rejections == 1 {
			w.reports.backoffUntil = now
		}
	default:
		a.replicas.selectNext()
	}
}

// withJitter lengthens a pause by up to half, from the second consecutive rejection on, so
// that agents that lose the primary at the same time don't retry at the same time.
func (a *Agent) withJitter(pause time.Duration) time.Duration {
	if a.rejections <= 1 {
		return pause
	}
	return pause + time.Duration(a.rng.Int64N(int64(pause/2)))
}

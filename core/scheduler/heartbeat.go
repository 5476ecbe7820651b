package scheduler

import (
	"time"

	"sorrelloom/core/machine"
	"sorrelloom/core/state"
	"sorrelloom/core/status"
	"sorrelloom/core/wire"
)

// redirectDelay is how long a node agent waits before it retries a heartbeat that it sent to
// a scheduler that doesn't lead its zone.
const redirectDelay = 200 * time.Millisecond

// replyAddress identifies the request that a heartbeat reply answers.
type replyAddress struct {
	agent     string
	requestID uint64
	// knownEpoch is the epoch of the newest view that the agent knows.
	knownEpoch uint64
}

// pendingHeartbeat is a heartbeat that has not been answered yet.
type pendingHeartbeat struct {
	replyTo   replyAddress
	heartbeat state.Heartbeat
	// replyBy is when the heartbeat is answered even if there are no orders.
	replyBy   time.Duration
	commandID uint64
	// recorded is set once the heartbeat is committed; orders is the result of its command.
	recorded bool
	orders   state.HeartbeatReply

	// The following fields are used on the primary's own state only.

	// receivedAt is the arrival time on the state machine's clock.
	receivedAt time.Duration
	// applied is set once the heartbeat has been applied to the state.
	applied bool
	// unchanged means that the heartbeat changes nothing and needs no command.
	unchanged bool
	// awaitsRenewal means that the reply is sent as soon as the worker's lease is renewed.
	awaitsRenewal bool
}

// handleHeartbeat answers a heartbeat at once if it is stale, meant for another scheduler, or
// unconfirmed and from an unknown worker. Any other heartbeat replaces the pending one of its
// worker and is submitted as a command or, on the primary's own state, given to admitHeartbeat.
func (s *Scheduler) handleHeartbeat(
	now time.Duration, from string, request wire.HeartbeatRequest, out *machine.Output,
) {
	heartbeat := request.Heartbeat
	replyTo := replyAddress{agent: from, requestID: request.ID, knownEpoch: request.ReplicasEpoch}
	if s.access.IsLocal() && !s.stopping {
		s.takeLeadership(now, heartbeat.Zone, out)
	}
	if !s.leads(heartbeat.Zone) || s.stopping {
		s.recordLeaderlessZone(now, heartbeat.Zone)
		s.sendResult(replyTo, state.Result{
			Code: status.StaleEpoch, Reason: "another scheduler leads this zone", RetryAfter: redirectDelay,
		}, out)
		return
	}
	if result, stale := s.leases.rejectStale(heartbeat); stale {
		s.sendResult(replyTo, result, out)
		return
	}
	if heartbeat.Unconfirmed && !s.access.State().KnowsWorker(&heartbeat) {
		// The worker may have been replaced in the meantime. Its next report registers it.
		s.sendResult(replyTo, state.Result{Code: status.OK}, out)
		return
	}
	if earlier, ok := s.heartbeats[heartbeat.Worker]; ok {
		s.replaceHeartbeat(&earlier, out)
	}
	if !s.access.IsLocal() {
		// The log position of the command is not known yet, so that the state must use the
		// heartbeat's number instead of LastReply to decide which starts the worker received.
		heartbeat.AwaitingGang, heartbeat.LastReply = nil, 0
	}
	pending := pendingHeartbeat{
		replyTo: replyTo, heartbeat: heartbeat, replyBy: now + request.MaxWait,
	}
	if s.access.IsLocal() {
		s.admitHeartbeat(now, &pending, out)
		return
	}
	command := state.Command{Kind: state.KindHeartbeat, Heartbeat: heartbeat}
	pending.commandID = s.access.Submit(now, command, commandTimeout, out)
	s.heartbeats[heartbeat.Worker] = pending
	s.heartbeatCommands[pending.commandID] = heartbeat.Worker
}

// replaceHeartbeat answers a heartbeat that a later one of the same worker has replaced. On
// the primary's own state, a heartbeat whose command is not committed yet is answered after
// the commit instead: its agent accepts late replies, and without them a worker that sends
// heartbeats faster than commands commit would never get a reply.
func (s *Scheduler) replaceHeartbeat(earlier *pendingHeartbeat, out *machine.Output) {
	if _, submitted := s.heartbeatCommands[earlier.commandID]; submitted && s.access.IsLocal() {
		s.replacedHeartbeats[earlier.commandID] = *earlier
		return
	}
	s.reply(earlier, state.Result{Code: status.StaleHeartbeat, Reason: "a later heartbeat replaced this one"}, out)
}

// recordLeaderlessZone registers the scheduler again immediately, with a vote on the leadership
// of a zone that has no leader.
func (s *Scheduler) recordLeaderlessZone(now time.Duration, zone string) {
	leader := s.access.State().Leadership(LeadershipName(zone)).Leader
	if leader == "" && !s.stopping && !s.leaderlessZones[zone] {
		s.leaderlessZones[zone], s.nextRegistration = true, now
	}
}

// admitHeartbeat handles a heartbeat on the primary's own state. A heartbeat with changes
// is submitted as a command that contains only these changes, or is deferred. A heartbeat
// without changes needs no command: the next lease renewal covers it. While leadership is
// not confirmed, every heartbeat is submitted as a command.
func (s *Scheduler) admitHeartbeat(now time.Duration, pending *pendingHeartbeat, out *machine.Output) {
	store, heartbeat := s.access.State(), pending.heartbeat
	delta, changes := store.ReduceHeartbeat(heartbeat)
	s.takeover.recordReport(heartbeat.Worker, changes)
	worker, known := store.Worker(heartbeat.Worker)
	last := s.leases.workers[heartbeat.Worker]
	if !known {
		last.leaseExpiry = 0
	}
	last.incarnation = heartbeat.Incarnation
	last.number = heartbeat.Number
	last.receivedAt = s.access.Time(now)
	pending.receivedAt = last.receivedAt
	if !s.access.LeadershipConfirmed(now) {
		s.submitHeartbeat(now, pending, last, delta, out)
		return
	}
	if changes {
		retryAfter, admitted := s.admission.admit(now)
		if admitted {
			s.submitHeartbeat(now, pending, last, delta, out)
			return
		}
		s.takeover.deferred++
		last.renewalDue = known && worker.Incarnation == heartbeat.Incarnation
		if last.renewalDue {
			s.leases.workers[heartbeat.Worker] = last
		}
		s.reply(pending, s.deferral(pending, retryAfter), out)
		return
	}
	last.renewalDue = true
	s.leases.workers[heartbeat.Worker] = last
	s.awaitRenewal(pending, store.Live(worker))
}

// awaitRenewal stores a heartbeat that needs no command. If less than half of the worker's
// lease is left, or the worker counted as silent, the next renewal is moved forward.
func (s *Scheduler) awaitRenewal(pending *pendingHeartbeat, live bool) {
	pending.applied, pending.recorded, pending.unchanged = true, true, true
	leaseDuration := s.access.State().Config().Limits.LeaseDuration.Duration
	pending.awaitsRenewal = s.leaseLeft(pending) < leaseDuration/2
	if pending.awaitsRenewal || !live {
		s.leases.requestRenewal()
	}
	s.storeHeartbeat(pending)
}

// submitHeartbeat submits the changes of a heartbeat as a command.
func (s *Scheduler) submitHeartbeat(
	now time.Duration, pending *pendingHeartbeat, last lastHeartbeat, delta state.Heartbeat, out *machine.Output,
) {
	id := pending.heartbeat.Worker
	command := state.Command{Kind: state.KindHeartbeat, Heartbeat: delta}
	pending.commandID = s.access.Submit(now, command, commandTimeout, out)
	s.latency.recordSent(now, pending.commandID)
	s.heartbeatCommands[pending.commandID] = id
	worker, known := s.access.State().Worker(id)
	pending.applied = known && worker.Incarnation == pending.heartbeat.Incarnation &&
		worker.Number == pending.heartbeat.Number
	if pending.applied {
		last.renewalDue = false
		s.leases.workers[id] = last
		s.leases.pending[pending.commandID] = []pendingLease{{id, worker.LeaseExpiresAt}}
	}
	s.storeHeartbeat(pending)
}

// storeHeartbeat stores a pending heartbeat and includes its worker in the next scan.
func (s *Scheduler) storeHeartbeat(pending *pendingHeartbeat) {
	worker := pending.heartbeat.Worker
	s.heartbeats[worker], s.scans.changedWorkers[worker] = *pending, true
}

// handleHeartbeatResult handles the result of a heartbeat's command. The heartbeat is answered
// at once if the command was rejected, or if a later heartbeat has replaced it; otherwise the
// next scan answers it.
func (s *Scheduler) handleHeartbeatResult(
	now time.Duration, commandID uint64, result *state.Result, out *machine.Output,
) {
	worker := s.heartbeatCommands[commandID]
	delete(s.heartbeatCommands, commandID)
	if replaced, ok := s.replacedHeartbeats[commandID]; ok {
		delete(s.replacedHeartbeats, commandID)
		s.answerReplaced(now, &replaced, *result, out)
		return
	}
	pending, ok := s.heartbeats[worker]
	if !ok || pending.commandID != commandID {
		return
	}
	if !result.Code.IsSuccess() {
		s.reply(&pending, *result, out)
		return
	}
	pending.recorded = true
	pending.orders = result.Heartbeat
	// sendOrders takes the starts from the state, which may contain newer ones.
	pending.orders.Starts = nil
	s.storeHeartbeat(&pending)
}

// answerReplaced answers a heartbeat that was replaced by a later one. The reply contains the
// result of the heartbeat's command and the worker's pending orders.
func (s *Scheduler) answerReplaced(
	now time.Duration, replaced *pendingHeartbeat, result state.Result, out *machine.Output,
) {
	if result.Code.IsSuccess() {
		result.Heartbeat.Starts = nil
		if s.access.State().HasPendingOrders(replaced.heartbeat.Worker) {
			s.addOrders(now, &result.Heartbeat, &replaced.heartbeat, s.uncommittedAttempts())
		}
		result.RetryAfter, result.Heartbeat.Epoch = s.reportInterval(now), s.access.State().Position().Epoch
	}
	s.sendResult(replaced.replyTo, result, out)
}

// notYetApplied reports whether the state doesn't correspond to this heartbeat, because the
// heartbeat has not been applied or a later one has. On the primary's own state, heartbeats
// without changes are never applied, so the state's number may be smaller than this one's.
func (s *Scheduler) notYetApplied(pending *pendingHeartbeat) bool {
	worker, ok := s.access.State().Worker(pending.heartbeat.Worker)
	if !ok || worker.Incarnation != pending.heartbeat.Incarnation {
		return true
	}
	if s.access.IsLocal() {
		return !pending.applied || worker.Number > pending.heartbeat.Number
	}
	return worker.Number != pending.heartbeat.Number
}

func (s *Scheduler) reply(pending *pendingHeartbeat, result state.Result, out *machine.Output) {
	s.sendResult(pending.replyTo, result, out)
	delete(s.heartbeats, pending.heartbeat.Worker)
}

// sendResult answers a heartbeat. If the agent knows only an older view, the reply also lists
// the replicas of the current one, so that the agent can find the next primary among them.
func (s *Scheduler) sendResult(to replyAddress, result state.Result, out *machine.Output) {
	replicas := s.access.ReplicasAfter(to.knownEpoch)
	out.Send(to.agent, wire.KindHeartbeatReply, wire.HeartbeatReply{
		ID: to.requestID, Result: result, Replicas: replicas.Addresses, ReplicasEpoch: replicas.Epoch,
	})
}

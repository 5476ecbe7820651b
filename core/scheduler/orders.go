package scheduler

import (
	"maps"
	"slices"
	"time"

	"sorrelloom/core/machine"
	"sorrelloom/core/state"
	"sorrelloom/core/status"
)

const (
	// stopResendInterval is the time after which a stop order is sent again.
	stopResendInterval = 500 * time.Millisecond
	// sentStopRetention is how long the time of a sent stop order is kept.
	sentStopRetention = 10 * stopResendInterval
)

// sendOrders answers a heartbeat if there are urgent orders for its worker or if its maximum
// wait is over. The reply contains the acknowledgements and stops from the heartbeat's own
// result, and the starts and stops from the state.
func (s *Scheduler) sendOrders(
	now time.Duration, pending *pendingHeartbeat, uncommitted map[state.Attempt]bool, out *machine.Output,
) {
	orders := pending.orders
	if !s.notYetApplied(pending) && s.access.State().HasPendingOrders(pending.heartbeat.Worker) {
		s.addOrders(now, &orders, &pending.heartbeat, uncommitted)
	}
	for _, attempt := range pending.heartbeat.AwaitingGang {
		if s.access.State().GangStarted(attempt) {
			orders.StartedGangs = append(orders.StartedGangs, attempt)
		}
	}
	if !s.isUrgent(now, &orders) && now < pending.replyBy {
		return
	}
	for _, attempt := range orders.Stops {
		s.stopsSentAt[attempt] = now
	}
	if pending.unchanged {
		orders.LeaseDuration = s.leaseLeft(pending)
	}
	orders.Epoch = s.access.State().Position().Epoch
	s.reply(pending, state.Result{Code: status.OK, RetryAfter: s.reportInterval(now), Heartbeat: orders}, out)
}

// addOrders adds the pending starts and stops from the state for a heartbeat's worker.
func (s *Scheduler) addOrders(
	now time.Duration, orders *state.HeartbeatReply, heartbeat *state.Heartbeat, uncommitted map[state.Attempt]bool,
) {
	store := s.access.State()
	for pending := range store.PendingOrders(heartbeat.Worker) {
		lease := pending.Lease
		if lease.Incarnation != heartbeat.Incarnation || uncommitted[state.Attempt{Job: pending.Job, Task: pending.Task}] {
			continue
		}
		runs := slices.Contains(heartbeat.Running, pending.Attempt)
		stopping := lease.StopReason != ""
		switch {
		case stopping && runs && !slices.Contains(orders.Stops, pending.Attempt):
			orders.Stops = append(orders.Stops, pending.Attempt)
		case !stopping && lease.StartedAt == 0 && !runs && !heartbeat.HasReceivedStart(lease):
			if start, inTime := s.startOrder(now, heartbeat, pending); inTime {
				orders.Starts = append(orders.Starts, start)
			}
		}
	}
}

// startOrder returns the order to start a leased attempt. For a member of a gang it contains
// how long the member may wait for the others; inTime is false if that time is over, when the
// gang is about to be stopped.
//
// GrantedOnHeartbeat is set only if the heartbeat has LastReply and Total; without it, an agent ignores
// the start in a late reply. For a worker without these fields, the primary may conclude from
// the number of a later heartbeat that the start was lost, and grant the task again.
func (s *Scheduler) startOrder(
	now time.Duration, heartbeat *state.Heartbeat, pending state.PendingOrder,
) (start state.StartOrder, inTime bool) {
	start = s.access.State().StartOrder(pending)
	if s.access.IsLocal() && heartbeat.LastReply > 0 && heartbeat.Total != (state.Resources{}) {
		start.GrantedOnHeartbeat = pending.Lease.HeartbeatNumber
	}
	if start.Gang == "" {
		return start, true
	}
	startTimeout := s.access.State().Config().Limits.GangStartTimeout.Duration
	start.GangWait = pending.Lease.GrantedAt + startTimeout - s.access.Time(now)
	return start, start.GangWait > 0
}

// isUrgent reports whether orders must be sent at once. A stop that was sent within the last
// stopResendInterval is not urgent.
func (s *Scheduler) isUrgent(now time.Duration, orders *state.HeartbeatReply) bool {
	if len(orders.Acks) > 0 || len(orders.Starts) > 0 {
		return true
	}
	return slices.ContainsFunc(orders.Stops, func(attempt state.Attempt) bool {
		sentAt, sent := s.stopsSentAt[attempt]
		return !sent || now-sentAt > stopResendInterval
	})
}

func (s *Scheduler) forgetSentStops(now time.Duration) {
	maps.DeleteFunc(s.stopsSentAt, func(_ state.Attempt, sentAt time.Duration) bool {
		return now-sentAt > sentStopRetention
	})
}

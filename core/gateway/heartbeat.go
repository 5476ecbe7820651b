package gateway

import (
	"time"

	"sorrelloom/core/machine"
	"sorrelloom/core/scheduler"
	"sorrelloom/core/state"
	"sorrelloom/core/status"
	"sorrelloom/core/wire"
)

const (
	// heartbeatTimeout is how long a heartbeat waits for its answer.
	heartbeatTimeout = 1800 * time.Millisecond
	// maxHeartbeatWait bounds how long a scheduler may wait for orders.
	maxHeartbeatWait = time.Second
	// rerouteDelay is the delay before a heartbeat that a scheduler could not accept is sent
	// again, and noSchedulerDelay the delay before the next attempt if no scheduler is known.
	rerouteDelay     = 100 * time.Millisecond
	noSchedulerDelay = 200 * time.Millisecond
)

// heartbeatDelivery is the delivery state of a heartbeat to a scheduler.
type heartbeatDelivery struct {
	heartbeat state.Heartbeat
	// wait is how long the scheduler may wait for orders before it answers.
	wait     time.Duration
	retryAt  time.Duration
	attempts int
}

// handleHeartbeat validates a worker's heartbeat and sends it to a scheduler.
func (g *Gateway) handleHeartbeat(now time.Duration, pending pendingRequest, out *machine.Output) {
	heartbeat := &pending.delivery.heartbeat
	if err := decodeStrict(pending.request.Body, heartbeat); err != nil {
		g.respondResult(pending.request.ID, rejection(status.Malformed, "%s", err), out)
		return
	}
	if heartbeat.Worker == "" || heartbeat.Zone == "" || heartbeat.Service == "" || heartbeat.Number == 0 ||
		heartbeat.Incarnation <= 0 {
		incomplete := rejection(status.Malformed, "/: worker, incarnation, number, site and service are needed")
		g.respondResult(pending.request.ID, incomplete, out)
		return
	}
	pending.deadline = now + heartbeatTimeout
	pending.delivery.wait = min(pending.request.Wait, maxHeartbeatWait)
	g.routeHeartbeat(now, pending, out)
}

// scanHeartbeat rejects a heartbeat whose deadline has passed, or sends it again when due.
func (g *Gateway) scanHeartbeat(now time.Duration, pending pendingRequest, out *machine.Output) {
	if now >= pending.deadline {
		late := rejection(status.ReplicasUnavailable, "heartbeat not answered by deadline")
		g.respondResult(pending.request.ID, late, out)
	} else if now >= pending.delivery.retryAt {
		g.routeHeartbeat(now, pending, out)
	}
}

// routeHeartbeat sends a heartbeat to the scheduler that leads the worker's zone, or to any
// scheduler while the zone has no leader: that scheduler will then request the leadership.
func (g *Gateway) routeHeartbeat(now time.Duration, pending pendingRequest, out *machine.Output) {
	delivery := &pending.delivery
	zone := delivery.heartbeat.Zone
	target := g.replica.Store.Leadership(scheduler.LeadershipName(zone)).Leader
	if target == "" {
		target = g.anyScheduler(zone, delivery.attempts)
	}
	if target == "" {
		delivery.retryAt = now + noSchedulerDelay
	} else {
		delivery.attempts++
		delivery.retryAt = pending.deadline
		out.Send(target, wire.KindHeartbeat, wire.HeartbeatRequest{
			ID:        pending.request.ID,
			MaxWait:   min(delivery.wait, pending.deadline-now),
			Heartbeat: delivery.heartbeat,
		})
	}
	g.requests[pending.request.ID] = pending
}

// anyScheduler returns the next scheduler in turn with each attempt, starting with those in
// the zone, or "" if none is known.
func (g *Gateway) anyScheduler(zone string, attempt int) string {
	var near, far []string
	for _, node := range g.nodes {
		switch {
		case node.Role != wire.RoleScheduler:
		case node.Zone == zone:
			near = append(near, node.Address)
		default:
			far = append(far, node.Address)
		}
	}
	all := append(near, far...)
	if len(all) == 0 {
		return ""
	}
	return all[attempt%len(all)]
}

// handleHeartbeatReply answers a heartbeat, or schedules it to be sent again if the scheduler
// does not lead the zone or can't reach a primary.
func (g *Gateway) handleHeartbeatReply(now time.Duration, reply wire.HeartbeatReply, out *machine.Output) {
	pending, ok := g.requests[reply.ID]
	if !ok || pending.request.Kind != RequestHeartbeat {
		return
	}
	result := reply.Result
	if result.Code == status.StaleEpoch || result.Code == status.ReplicasUnavailable {
		pending.delivery.retryAt = now + rerouteDelay
		g.requests[reply.ID] = pending
		return
	}
	g.respond(reply.ID, Reply{
		StatusCode: result.Code.HTTPStatus(),
		RetryAfter: result.RetryAfter,
		Body: HeartbeatView{
			Outcome:     outcomeOf(result),
			Reply:       result.Heartbeat,
			LeaseMillis: result.Heartbeat.LeaseDuration.Milliseconds(),
		},
	}, out)
}

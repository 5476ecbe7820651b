package feed

import (
	"maps"
	"slices"
	"time"

	"sorrelloom/core/machine"
	"sorrelloom/core/state"
	"sorrelloom/core/wire"
)

// subscriptionTTL is how long a subscription lasts that is not renewed.
const subscriptionTTL = 3 * time.Second

// relay holds the processes of the zone that subscribe to this one.
type relay struct {
	subscribers map[string]subscriber
	// stopping says that subscribers are sent to the primary, as the process stops.
	stopping bool
}

type subscriber struct {
	position  state.LogPosition
	expiresAt time.Duration
}

// handleSubscribe starts or renews the subscription of another process.
func (r *ReadReplica) handleSubscribe(
	now time.Duration, from string, request wire.SubscribeRequest, out *machine.Output,
) {
	if r.relay.stopping {
		rejectSubscriber(from, request.Position, out)
		return
	}
	r.relay.subscribers[from] = subscriber{request.Position, now + subscriptionTTL}
	r.publish(now, from, out)
}

// publishToAll publishes to every subscriber, in the order of their addresses.
func (r *ReadReplica) publishToAll(now time.Duration, out *machine.Output) {
	for _, to := range slices.Sorted(maps.Keys(r.relay.subscribers)) {
		r.publish(now, to, out)
	}
}

// publish sends a subscriber what it lacks: the commands after its position, or a
// snapshot if these are not held any more. A replica that is not fresh rejects it.
func (r *ReadReplica) publish(now time.Duration, to string, out *machine.Output) {
	s := r.relay.subscribers[to]
	if now > s.expiresAt {
		delete(r.relay.subscribers, to)
		return
	}
	if !r.Fresh(now) {
		rejectSubscriber(to, s.position, out)
		return
	}
	position := r.Store.Position()
	update := wire.FeedUpdate{
		Relayed:  true,
		Age:      now - r.confirmedAt,
		Primary:  r.primary,
		Epoch:    position.Epoch,
		Previous: s.position,
		Position: position,
	}
	if commands, ok := r.logTail.CommandsAfter(s.position); ok {
		update.Commands = commands
	} else {
		update.Records = r.Store.Records()
	}
	r.relay.subscribers[to] = subscriber{position, s.expiresAt}
	out.Send(to, wire.KindFeedUpdate, update)
}

// rejectSubscriber tells a subscriber to subscribe at the primary for a while.
func rejectSubscriber(to string, position state.LogPosition, out *machine.Output) {
	update := wire.FeedUpdate{Relayed: true, Rejected: true, Position: position, Previous: position}
	out.Send(to, wire.KindFeedUpdate, update)
}

// Stop ends the relaying of the feed before the process stops, so that subscribers
// turn to the primary at once rather than after a timeout.
func (r *ReadReplica) Stop(out *machine.Output) {
	r.relay.stopping = true
	for _, to := range slices.Sorted(maps.Keys(r.relay.subscribers)) {
		rejectSubscriber(to, r.relay.subscribers[to].position, out)
	}
	clear(r.relay.subscribers)
}

package feed

import (
	"maps"
	"slices"
	"time"

	"sorrelloom/core/machine"
	"sorrelloom/core/state"
	"sorrelloom/core/wire"
)

// subscriptionTTL is how long a subscription lasts after it was last renewed.
const subscriptionTTL = 3 * time.Second

// relay holds the subscriptions of other processes in the zone to this one.
type relay struct {
	subscribers map[string]subscriber // by address
	// stopping is set once the process is being stopped. From then on subscriptions are
	// rejected.
	stopping bool
}

// subscriber has all commands up to a position, unless messages to it were lost.
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

// publish sends a subscriber the commands after its position, or a snapshot if logTail
// no longer holds them all. If this replica is not fresh, it rejects the subscriber
// instead. A subscription that has expired is removed.
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

// rejectSubscriber tells a subscriber to bypass this relay and subscribe to the primary.
func rejectSubscriber(to string, position state.LogPosition, out *machine.Output) {
	update := wire.FeedUpdate{Relayed: true, Rejected: true, Position: position, Previous: position}
	out.Send(to, wire.KindFeedUpdate, update)
}

// Stop stops relaying the feed before the process stops. It rejects all subscribers, so
// that they switch to the primary at once rather than after a timeout.
func (r *ReadReplica) Stop(out *machine.Output) {
	r.relay.stopping = true
	for _, to := range slices.Sorted(maps.Keys(r.relay.subscribers)) {
		rejectSubscriber(to, r.relay.subscribers[to].position, out)
	}
	clear(r.relay.subscribers)
}

package feed

import (
	"encoding/json"
	"errors"
	"fmt"
	"hash/fnv"
	"time"

	"sorrelloom/core/machine"
	"sorrelloom/core/state"
	"sorrelloom/core/wire"
)

const (
	// subscribeInterval is the time between two renewals of the subscription.
	subscribeInterval = 500 * time.Millisecond
	// directSubscriptionTime is how long the replica subscribes to the primary directly
	// after the zone relay has rejected it or stopped sending updates.
	directSubscriptionTime = 5 * time.Second
)

// errCommandGap is returned for an update that begins after the command that the
// replica needs next.
var errCommandGap = errors.New("feed: commands are missing before the update")

// upstream is the replica's own subscription, through which it receives updates.
type upstream struct {
	// zoneRelay is the address of the process that relays the feed within the zone.
	zoneRelay string
	// directUntil is the time until which the replica bypasses the zone relay.
	directUntil time.Duration
	// renewedAt is when the subscription was last renewed.
	renewedAt time.Duration
	// responded is set if the replica selected as primary has sent an update since the
	// last renewal, even if only a rejection with the address of the primary.
	responded bool
}

// usesRelay reports whether the subscription goes to the zone relay rather than to
// the primary.
func (r *ReadReplica) usesRelay(now time.Duration) bool {
	relay := r.upstream.zoneRelay
	return relay != "" && relay != r.address && now >= r.upstream.directUntil
}

// updateNodes derives the replicas and the zone relay from the membership list. The relay is
// the process of the zone with the highest rendezvous hash, so that all processes with
// the same list choose the same relay, and it only changes when the relay itself leaves
// or the joining process becomes the relay.
func (r *ReadReplica) updateNodes(nodes []wire.Node) {
	r.Replicas, r.upstream.zoneRelay = nil, ""
	var highest uint64
	for _, node := range nodes {
		if node.Role == wire.RoleReplica {
			r.Replicas = append(r.Replicas, node.Address)
			continue
		}
		if node.Zone != r.zone {
			continue
		}
		if rank := rendezvousRank(node.Address); r.upstream.zoneRelay == "" || rank > highest {
			r.upstream.zoneRelay, highest = node.Address, rank
		}
	}
}

// rendezvousRank returns the weight of an address in the choice of the zone relay. It
// must be the same in all releases.
func rendezvousRank(address string) uint64 {
	hash := fnv.New64a()
	hash.Write([]byte("ledger\x00" + address))
	return hash.Sum64()
}

// renewSubscription subscribes again once subscribeInterval has passed. It selects the
// next replica if the current one has not responded and this replica is not loaded yet,
// or is stale and does not use the relay.
func (r *ReadReplica) renewSubscription(now time.Duration, out *machine.Output) {
	if now-r.upstream.renewedAt < subscribeInterval {
		return
	}
	stale := now-r.confirmedAt > freshnessBound
	if !r.upstream.responded && (!r.loaded || stale && !r.usesRelay(now)) {
		r.selectNextReplica()
	}
	r.subscribe(now, out)
}

// subscribe requests the updates after the replica's position from the zone relay, or
// from the primary if this process is the relay or no update has confirmed the replica
// lately. Before the first confirmation it requests them from both.
func (r *ReadReplica) subscribe(now time.Duration, out *machine.Output) {
	r.upstream.renewedAt, r.upstream.responded = now, false
	request := wire.SubscribeRequest{Position: r.Store.Position()}
	if r.usesRelay(now) {
		if now-r.confirmedAt <= 2*subscribeInterval+redirectDelay || !r.loaded {
			out.Send(r.upstream.zoneRelay, wire.KindSubscribe, request)
			if r.loaded {
				return
			}
		} else {
			r.upstream.directUntil = now + directSubscriptionTime
		}
	}
	if r.primary == "" {
		r.selectNextReplica()
	}
	if r.primary != "" {
		out.Send(r.primary, wire.KindSubscribe, request)
	}
}

// handleUpdate applies an update of the feed and publishes it to the subscribers.
// An update older than the replica's position is ignored: a replica never moves back.
func (r *ReadReplica) handleUpdate(now time.Duration, from string, update wire.FeedUpdate, out *machine.Output) {
	r.upstream.responded = r.upstream.responded || from == r.primary
	if update.Rejected {
		r.handleRejectedSubscription(now, from, update)
		return
	}
	position := r.Store.Position()
	if update.Epoch < position.Epoch || update.Position.Index < position.Index {
		return
	}
	switch err := r.apply(update); {
	case errors.Is(err, errCommandGap):
		r.subscribe(now, out)
		return
	case err != nil:
		out.Warn("feed_update_malformed", "from", from, "error", err.Error())
		return
	}
	r.Store.DiscardAuditEntries()
	if update.Position == r.Store.Position() {
		r.confirm(now, from, update)
	} else if update.Position.Index > r.Store.Position().Index {
		r.subscribe(now, out)
	}
	if len(update.Commands) > 0 || len(update.Records) > 0 {
		r.publishToAll(now, out)
	}
}

// handleRejectedSubscription switches to the primary after a relay has rejected the
// subscription, or to another replica after one that is not the primary has. The next
// renewal is due after redirectDelay at the latest.
func (r *ReadReplica) handleRejectedSubscription(now time.Duration, from string, update wire.FeedUpdate) {
	switch {
	case update.Relayed:
		r.upstream.directUntil = now + directSubscriptionTime
	case update.Primary != "" && update.Epoch > r.Store.Position().Epoch:
		r.setPrimary(now, update.Primary)
	default:
		r.redirect(from, update.Primary)
	}
	r.upstream.renewedAt = min(r.upstream.renewedAt, now-subscribeInterval+redirectDelay)
}

// apply loads the snapshot of an update, if it has one, and applies its commands.
func (r *ReadReplica) apply(update wire.FeedUpdate) error {
	if len(update.Records) > 0 {
		store, err := state.Load(update.Records)
		if err != nil {
			return fmt.Errorf("load snapshot: %w", err)
		}
		r.Store, r.logTail = store, state.NewLogSuffix(store.Position())
	}
	for _, encoded := range update.Commands {
		if err := r.applyCommand(encoded); err != nil {
			return err
		}
	}
	return nil
}

// applyCommand applies the command that follows the replica's position. It skips one
// that was applied before, since updates overlap, and returns errCommandGap if commands
// are missing in between.
func (r *ReadReplica) applyCommand(encoded json.RawMessage) error {
	command, err := state.Decode(encoded)
	if err != nil {
		return fmt.Errorf("decode command: %w", err)
	}
	next := r.Store.Position().Index + 1
	if command.Index > next {
		return errCommandGap
	}
	if command.Index == next {
		r.Store.Apply(command.Command)
		r.logTail.Append(command)
	}
	return nil
}

// confirm records that the replica is at the position of an update: it holds everything
// that the primary had published Age ago, when the primary was last heard from.
func (r *ReadReplica) confirm(now time.Duration, from string, update wire.FeedUpdate) {
	r.confirmedAt, r.loaded = max(r.confirmedAt, now-update.Age), true
	primary := from
	if update.Relayed {
		primary = update.Primary
	}
	r.setPrimary(now, primary)
}

package replica

import (
	"slices"
	"time"

	"sorrelloom/core/machine"
	"sorrelloom/core/state"
	"sorrelloom/core/wire"
)

// feedPublisher sends committed commands to the subscribers of the change feed.
type feedPublisher struct {
	subscribers map[string]subscriber // by address
	// pendingSnapshots are updates with the whole state whose position is not committed yet,
	// by the subscriber's address.
	pendingSnapshots map[string]wire.FeedUpdate
	// publishedIndex is the commit index that was last published.
	publishedIndex uint64
}

// subscriber was sent all commands up to a position; messages to it may have been lost.
type subscriber struct {
	position  state.LogPosition
	expiresAt time.Duration
}

// clear ends all subscriptions.
func (f *feedPublisher) clear() {
	f.subscribers, f.pendingSnapshots = map[string]subscriber{}, map[string]wire.FeedUpdate{}
}

// expire ends the subscriptions that were not renewed.
func (f *feedPublisher) expire(now time.Duration) {
	for address, s := range f.subscribers {
		if now > s.expiresAt {
			delete(f.subscribers, address)
			delete(f.pendingSnapshots, address)
		}
	}
}

// addresses returns the subscribers' addresses in sorted order.
func (f *feedPublisher) addresses() []string {
	addresses := make([]string, 0, len(f.subscribers))
	for address := range f.subscribers {
		addresses = append(addresses, address)
	}
	slices.Sort(addresses)
	return addresses
}

// publish sends newly committed commands to all subscribers.
func (f *feedPublisher) publish(epoch uint64, log *replicatedLog, out *machine.Output) {
	if log.commitIndex <= f.publishedIndex {
		return
	}
	f.publishedIndex = log.commitIndex
	for _, address := range f.addresses() {
		f.publishTo(address, f.subscribers[address], epoch, log, out)
	}
}

// publishTo sends a subscriber the committed commands after its position. If the log's tail
// does not reach back to that position, it sends a snapshot of the whole state instead, once
// everything in the snapshot is committed. Until then nothing is sent, since an empty update
// would tell the subscriber that it is up to date.
func (f *feedPublisher) publishTo(address string, s subscriber, epoch uint64, log *replicatedLog, out *machine.Output) {
	update := wire.FeedUpdate{Epoch: epoch, Previous: s.position, Position: s.position}
	if commands, ok := log.tail.CommandsAfter(s.position); ok {
		update.Commands, update.Position = log.committedPrefix(s.position, commands)
	} else {
		snapshot, waits := f.pendingSnapshots[address]
		if !waits {
			snapshot = update
			snapshot.Position, snapshot.Records = log.position(), log.store.Records()
		}
		if snapshot.Position.Index > log.commitIndex {
			f.pendingSnapshots[address], f.subscribers[address] = snapshot, s
			return
		}
		delete(f.pendingSnapshots, address)
		update = snapshot
	}
	f.subscribers[address] = subscriber{update.Position, s.expiresAt}
	out.Send(address, wire.KindFeedUpdate, update)
}

// handleSubscribe starts or renews a subscription. Only a confirmed primary accepts it, since
// updates must not contradict those of a later primary.
func (r *Replica) handleSubscribe(now time.Duration, from string, b wire.SubscribeRequest, out *machine.Output) {
	if !r.LeadershipConfirmed(now) {
		r.rejectSubscriber(from, b, out)
		return
	}
	expiresAt := now + subscriptionTTL
	if s, ok := r.feed.subscribers[from]; ok && s.position == b.Position {
		r.feed.subscribers[from] = subscriber{s.position, expiresAt}
		if b.Position.Index >= r.log.commitIndex {
			upToDate := wire.FeedUpdate{Epoch: r.view().Epoch, Position: b.Position, Previous: b.Position}
			out.Send(from, wire.KindFeedUpdate, upToDate)
			return
		}
	}
	r.feed.publishTo(from, subscriber{b.Position, expiresAt}, r.view().Epoch, &r.log, out)
}

func (r *Replica) rejectSubscriber(to string, b wire.SubscribeRequest, out *machine.Output) {
	update := wire.FeedUpdate{Rejected: true, Position: b.Position, Previous: b.Position}
	if !r.isPrimary() {
		update.Primary = r.view().Primary.Address
	}
	out.Send(to, wire.KindFeedUpdate, update)
}

// announcePrimary announces the primary's address, so that other processes need not find it
// by trying all replicas. A replica that is not the primary tells its subscribers; the
// primary also tells every process in the membership list that is not a replica.
func (r *Replica) announcePrimary(out *machine.Output) {
	to := r.feed.addresses()
	if r.isPrimary() {
		for _, node := range r.discovery.nodes {
			if node.Role != wire.RoleReplica {
				to = append(to, node.Address)
			}
		}
	}
	slices.Sort(to)
	update := wire.FeedUpdate{Rejected: true, Epoch: r.view().Epoch, Primary: r.view().Primary.Address}
	for _, address := range slices.Compact(to) {
		out.Send(address, wire.KindFeedUpdate, update)
	}
}

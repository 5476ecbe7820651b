// Package feed is a daemon's side of the keepers: a copy of the ledger that
// the primary's news keeps up to date, and commands that are sent again until
// they are answered or their cutoff passes. Every command is safe to repeat.
// The copy holds only what both disks have; it is for reading and choosing, and
// decides nothing.
package feed

import (
	"hash/fnv"
	"maps"
	"slices"
	"time"

	"sorrelloom/core/machine"
	"sorrelloom/core/state"
	"sorrelloom/core/status"
	"sorrelloom/core/wire"
)

const (
	subscriptionTTL        = 3 * time.Second
	directSubscriptionTime = 5 * time.Second
	subscribeInterval      = 500 * time.Millisecond
	retryInterval          = 800 * time.Millisecond
	redirectDelay          = 60 * time.Millisecond
	freshnessBound         = 2 * time.Second
	primaryTimeout         = 4 * time.Second
)

type pendingCommand struct {
	body     wire.CommandRequest
	sentAt   time.Duration
	retryAt  time.Duration
	deadline time.Duration
}

// Result is a command's end.
type CommandResult struct {
	ID           uint64
	AppliedIndex uint64
	Result       state.Result
}

type subscriber struct {
	position  state.LogPosition
	expiresAt time.Duration
}

type ReadReplica struct {
	Store           *state.Store
	Replicas        []string
	self            string
	zone            string
	zoneRelay       string
	directUntil     time.Duration
	logTail         state.LogSuffix
	subscribers     map[string]subscriber
	primary         string
	rotation        int
	lastCommandID   uint64
	pending         map[uint64]pendingCommand
	subscribedAt    time.Duration
	confirmedAt     time.Duration
	loaded          bool
	leaving         bool
	targetResponded bool // whether the keeper asked last has said anything, if only who leads
}

// New takes the daemon's address and site, and the first command number, which
// should differ between two runs of one process.
func NewReadReplica(self, zone string, firstCommandID uint64) *ReadReplica {
	return &ReadReplica{Store: state.New(), self: self, zone: zone, lastCommandID: firstCommandID, pending: map[uint64]pendingCommand{}, subscribers: map[string]subscriber{}}
}

// Fresh says whether the copy was confirmed a moment ago by a proven primary.
func (r *ReadReplica) Fresh(now time.Duration) bool {
	return r.loaded && now-r.confirmedAt < freshnessBound
}

// Lost says whether no proven primary has been heard of for so long that asking
// for a write now would only make the caller wait.
func (r *ReadReplica) PrimaryLost(now time.Duration) bool { return now-r.confirmedAt > primaryTimeout }

func (r *ReadReplica) Loaded() bool { return r.loaded }

// View is the copy's ledger; Own says that it is not the primary's own.
func (r *ReadReplica) State() *state.Store { return r.Store }
func (r *ReadReplica) IsLocal() bool       { return false }

// Proven says no more of a copy than that it is fresh.
func (r *ReadReplica) LeadershipConfirmed(now time.Duration) bool { return r.Fresh(now) }

// Time is that of the last command the copy has.
func (r *ReadReplica) Time(time.Duration) time.Duration { return r.Store.Now() }

// Submit sends a command and gives the number its result will carry.
func (r *ReadReplica) Submit(now time.Duration, command state.Command, timeout time.Duration, out *machine.Output) uint64 {
	r.lastCommandID++
	pending := pendingCommand{body: wire.CommandRequest{ID: r.lastCommandID, Command: command}, deadline: now + timeout}
	r.pending[r.lastCommandID] = r.sendCommand(now, pending, out)
	return r.lastCommandID
}

func (r *ReadReplica) sendCommand(now time.Duration, pending pendingCommand, out *machine.Output) pendingCommand {
	if r.primary == "" {
		r.selectNextReplica()
	}
	if r.primary != "" {
		out.Send(r.primary, wire.KindCommand, pending.body)
	}
	pending.sentAt, pending.retryAt = now, now+retryInterval
	if r.primary == "" {
		pending.retryAt = now + redirectDelay
	}
	return pending
}

func (r *ReadReplica) selectNextReplica() {
	if len(r.Replicas) > 0 {
		r.rotation++
		r.primary = r.Replicas[r.rotation%len(r.Replicas)]
	}
}

// Line takes a line meant for the copy.
func (r *ReadReplica) Receive(now time.Duration, line machine.Message, out *machine.Output) (results []CommandResult, handled bool) {
	var err error
	switch line.Kind {
	case wire.KindNodeList:
		var body wire.Gossip
		if err = machine.Unmarshal(line.Body, &body); err == nil {
			r.updateNodes(body.Nodes)
		}
	case wire.KindCommandReply:
		var body wire.CommandReply
		if err = machine.Unmarshal(line.Body, &body); err == nil {
			results = r.handleCommandReply(now, line.From, body)
		}
	case wire.KindFeedUpdate:
		var body wire.FeedUpdate
		if err = machine.Unmarshal(line.Body, &body); err == nil {
			r.handleUpdate(now, line.From, body, out)
		}
	case wire.KindSubscribe:
		var body wire.SubscribeRequest
		switch err = machine.Unmarshal(line.Body, &body); {
		case err != nil:
		case r.leaving:
			r.rejectSubscriber(line.From, body.Position, out)
		default:
			r.subscribers[line.From] = subscriber{body.Position, now + subscriptionTTL}
			r.publish(now, line.From, out)
		}
	default:
		return nil, false
	}
	if err != nil {
		out.Log("line_damaged", "kind", line.Kind, "from", line.From, "why", err.Error())
	}
	return results, true
}

func (r *ReadReplica) redirect(from, primary string) {
	switch {
	case primary != "" && from == r.primary:
		r.primary = primary
	case from == r.primary:
		r.selectNextReplica()
	}
}

func (r *ReadReplica) handleCommandReply(now time.Duration, from string, reply wire.CommandReply) []CommandResult {
	pending, ok := r.pending[reply.ID]
	if !ok {
		return nil
	}
	if reply.Result.Code == status.NotPrimary {
		r.redirect(from, reply.Primary)
		pending.retryAt = now + redirectDelay
		r.pending[reply.ID] = pending
		return nil
	}
	delete(r.pending, reply.ID)
	return []CommandResult{{reply.ID, reply.AppliedIndex, reply.Result}}
}

func (r *ReadReplica) handleUpdate(now time.Duration, from string, update wire.FeedUpdate, out *machine.Output) {
	r.targetResponded = r.targetResponded || from == r.primary
	if update.Rejected {
		switch {
		case update.Relayed:
			r.directUntil = now + directSubscriptionTime
		case update.Primary != "" && update.Epoch > r.Store.Position().Epoch:
			r.setPrimary(now, update.Primary)
		default:
			r.redirect(from, update.Primary)
		}
		r.subscribedAt = min(r.subscribedAt, now-subscribeInterval+redirectDelay)
		return
	}
	position := r.Store.Position()
	if update.Epoch < position.Epoch || update.Position.Index < position.Index {
		return
	}
	if len(update.Records) > 0 {
		store, err := state.Load(update.Records)
		if err != nil {
			out.Log("news_damaged", "from", from, "why", err.Error())
			return
		}
		r.Store, r.logTail = store, state.NewLogSuffix(store.Position())
	}
	for _, encoded := range update.Commands {
		cmd, err := state.Decode(encoded)
		if err != nil {
			out.Log("news_damaged", "from", from, "why", err.Error())
			return
		}
		switch {
		case cmd.Index <= r.Store.Position().Index:
		case cmd.Index == r.Store.Position().Index+1:
			r.Store.Apply(cmd.Command)
			r.logTail.Append(cmd)
		default:
			r.subscribe(now, out)
			return
		}
	}
	r.Store.DiscardAuditEntries()
	if update.Position == r.Store.Position() {
		r.confirmedAt, r.loaded = max(r.confirmedAt, now-update.Age), true
		if !update.Relayed {
			update.Primary = from
		}
		r.setPrimary(now, update.Primary)
	} else if update.Position.Index > r.Store.Position().Index {
		r.subscribe(now, out)
	}
	if len(update.Commands) > 0 || len(update.Records) > 0 {
		for _, to := range slices.Sorted(maps.Keys(r.subscribers)) {
			r.publish(now, to, out)
		}
	}
}

// lead takes word of the primary that serves; what waits for an answer from
// another is sent again at once.
func (r *ReadReplica) setPrimary(now time.Duration, primary string) {
	if primary == "" || primary == r.primary {
		return
	}
	r.primary = primary
	for id, pending := range r.pending {
		pending.retryAt = now
		r.pending[id] = pending
	}
}

// know takes the nodes: the keepers, and the home of the site's news, which is
// the daemon of the site that ranks highest by a hash of its address.
func (r *ReadReplica) updateNodes(nodes []wire.Node) {
	r.Replicas, r.zoneRelay = nil, ""
	var highest uint64
	for _, node := range nodes {
		if node.Role == "keeper" {
			r.Replicas = append(r.Replicas, node.Address)
		} else if node.Zone == r.zone {
			hash := fnv.New64a()
			hash.Write([]byte("ledger\x00" + node.Address))
			if rank := hash.Sum64(); r.zoneRelay == "" || rank > highest {
				r.zoneRelay, highest = node.Address, rank
			}
		}
	}
}

// pass hands news on to one subscriber, from where it stands.
func (r *ReadReplica) publish(now time.Duration, to string, out *machine.Output) {
	s := r.subscribers[to]
	if now > s.expiresAt {
		delete(r.subscribers, to)
		return
	}
	if !r.Fresh(now) {
		r.rejectSubscriber(to, s.position, out)
		return
	}
	update := wire.FeedUpdate{Relayed: true, Age: now - r.confirmedAt, Primary: r.primary, Epoch: r.Store.Position().Epoch, Previous: s.position, Position: r.Store.Position()}
	if commands, ok := r.logTail.CommandsAfter(s.position); ok {
		update.Commands = commands
	} else {
		update.Records = r.Store.Records()
	}
	r.subscribers[to] = subscriber{update.Position, s.expiresAt}
	out.Send(to, wire.KindFeedUpdate, update)
}

// sendOff tells a subscriber to ask the primary itself for a while.
func (r *ReadReplica) rejectSubscriber(to string, position state.LogPosition, out *machine.Output) {
	out.Send(to, wire.KindFeedUpdate, wire.FeedUpdate{Relayed: true, Rejected: true, Position: position, Previous: position})
}

// Leave ends the passing on of news before the process goes, so that subscribers
// ask the primary at once, not only when they have noticed the silence.
func (r *ReadReplica) Stop(out *machine.Output) {
	r.leaving = true
	for _, to := range slices.Sorted(maps.Keys(r.subscribers)) {
		r.rejectSubscriber(to, r.subscribers[to].position, out)
	}
	clear(r.subscribers)
}

// ask renews the subscription: at the site's home, or at the primary itself if
// this is the home or the home has had no news lately.
func (r *ReadReplica) subscribe(now time.Duration, out *machine.Output) {
	r.subscribedAt, r.targetResponded = now, false
	if r.zoneRelay != "" && r.zoneRelay != r.self && now >= r.directUntil {
		if now-r.confirmedAt <= 2*subscribeInterval+redirectDelay || !r.loaded {
			out.Send(r.zoneRelay, wire.KindSubscribe, wire.SubscribeRequest{Position: r.Store.Position()})
			if r.loaded {
				return
			}
		} else {
			r.directUntil = now + directSubscriptionTime
		}
	}
	if r.primary == "" {
		r.selectNextReplica()
	}
	if r.primary != "" {
		out.Send(r.primary, wire.KindSubscribe, wire.SubscribeRequest{Position: r.Store.Position()})
	}
}

// Wake sends again what was not answered and renews the subscription.
func (r *ReadReplica) HandleTimers(now time.Duration, out *machine.Output) []CommandResult {
	var results []CommandResult
	if now-r.subscribedAt >= subscribeInterval {
		if !r.targetResponded && (!r.loaded || now-r.confirmedAt > freshnessBound && (r.zoneRelay == "" || r.zoneRelay == r.self || now < r.directUntil)) {
			r.selectNextReplica()
		}
		r.subscribe(now, out)
	}
	ids := make([]uint64, 0, len(r.pending))
	for id := range r.pending {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	for _, id := range ids {
		pending := r.pending[id]
		switch {
		case now >= pending.deadline:
			delete(r.pending, id)
			results = append(results, CommandResult{ID: id, Result: state.Result{
				Code: status.ReplicasUnavailable, Reason: "no keeper answered in time; the request may still take effect", RetryAfter: time.Second,
			}})
		case now >= pending.retryAt:
			if now-pending.sentAt >= retryInterval && now-r.confirmedAt > retryInterval {
				r.selectNextReplica()
			}
			r.pending[id] = r.sendCommand(now, pending, out)
		}
	}
	return results
}

// Package feed keeps an asynchronous read replica of the replicated state. The
// primary publishes a change feed; within a zone one process, the zone relay,
// subscribes to it and relays it to the others. The replica also forwards commands
// to the primary and sends them again until they are answered or their deadline
// passes, so every command must be idempotent.
//
// The replica lags behind the primary. It applies only what the primary has
// published, which is committed, and derives from the age of the newest update how
// stale it may be. It may be used for reads and heuristic choices, but not for
// decisions.
package feed

import (
	"time"

	"sorrelloom/core/machine"
	"sorrelloom/core/state"
	"sorrelloom/core/wire"
)

const (
	// freshnessBound is how long the replica counts as fresh after the primary has
	// confirmed its position.
	freshnessBound = 2 * time.Second
	// primaryTimeout is how long after the last confirmation the primary counts as lost.
	primaryTimeout = 4 * time.Second
)

// ReadReplica is a read-only copy of the replicated state. It also submits the commands
// of its process to the primary. It does no I/O: methods add the messages to send to a
// machine.Output.
type ReadReplica struct {
	// Store is the replicated state as of the last update.
	Store *state.Store
	// Replicas are the addresses of the replicas, one of which is the primary.
	Replicas []string

	address string
	zone    string
	// logTail holds the most recently applied commands, for subscribers that lag a little.
	logTail state.LogSuffix

	// primary is the replica that commands and direct subscriptions go to, since it is
	// assumed to be the primary. It is empty until a replica is known.
	primary string
	// rotation counts the selections of a replica by selectNextReplica.
	rotation int
	// confirmedAt is when the primary last confirmed the replica's position.
	confirmedAt time.Duration
	// loaded is set once the position was confirmed for the first time.
	loaded bool

	upstream upstream
	relay    relay
	commands commandTable
}

// NewReadReplica returns an empty read replica for the process at an address in a
// zone. Command IDs count up from firstCommandID, which must differ between two
// incarnations of a process: a late reply to one incarnation must not match a command
// of the next.
func NewReadReplica(address, zone string, firstCommandID uint64) *ReadReplica {
	return &ReadReplica{
		Store:    state.New(),
		address:  address,
		zone:     zone,
		commands: commandTable{lastID: firstCommandID, pending: map[uint64]pendingCommand{}},
		relay:    relay{subscribers: map[string]subscriber{}},
	}
}

// Fresh reports whether the primary has confirmed the replica's position in the last
// freshnessBound.
func (r *ReadReplica) Fresh(now time.Duration) bool {
	return r.loaded && now-r.confirmedAt < freshnessBound
}

// PrimaryLost reports whether no primary has confirmed the replica for so long
// that submitting a write would only make its caller wait.
func (r *ReadReplica) PrimaryLost(now time.Duration) bool { return now-r.confirmedAt > primaryTimeout }

// Loaded reports whether the replica has ever been confirmed by a primary.
func (r *ReadReplica) Loaded() bool { return r.loaded }

// ReplicasAfter returns an empty list, since workers that report to a subscriber of the feed don't
// report to replicas.
func (r *ReadReplica) ReplicasAfter(uint64) wire.ReplicaList { return wire.ReplicaList{} }

// State returns the copy of the replicated state.
func (r *ReadReplica) State() *state.Store { return r.Store }

// IsLocal returns false: the state is a copy, not the primary's own.
func (r *ReadReplica) IsLocal() bool { return false }

// LeadershipConfirmed reports whether the primary's leadership was confirmed recently.
// The most that a read replica can tell is whether it is fresh.
func (r *ReadReplica) LeadershipConfirmed(now time.Duration) bool { return r.Fresh(now) }

// Time returns the time of the last applied command.
func (r *ReadReplica) Time(time.Duration) time.Duration { return r.Store.Now() }

// Receive handles a message addressed to the replica and returns the results of the
// commands that it completes. handled is false if the replica doesn't handle messages
// of this kind.
func (r *ReadReplica) Receive(
	now time.Duration, message machine.Message, out *machine.Output,
) (results []CommandResult, handled bool) {
	switch message.Kind {
	case wire.KindNodeList:
		machine.HandleBody(message, out, func(list wire.Gossip) { r.updateNodes(list.Nodes) })
	case wire.KindCommandReply:
		machine.HandleBody(message, out, func(reply wire.CommandReply) {
			results = r.handleCommandReply(now, message.From, reply)
		})
	case wire.KindFeedUpdate:
		machine.HandleBody(message, out, func(update wire.FeedUpdate) { r.handleUpdate(now, message.From, update, out) })
	case wire.KindSubscribe:
		machine.HandleBody(message, out, func(request wire.SubscribeRequest) {
			r.handleSubscribe(now, message.From, request, out)
		})
	default:
		return nil, false
	}
	return results, true
}

// HandleTimers renews the subscription and sends unanswered commands again when that is
// due. It returns the results of the commands whose deadline has passed.
func (r *ReadReplica) HandleTimers(now time.Duration, out *machine.Output) []CommandResult {
	r.renewSubscription(now, out)
	return r.retryCommands(now, out)
}

// selectNextReplica assumes that the next replica, in round-robin order, is the primary.
func (r *ReadReplica) selectNextReplica() {
	if len(r.Replicas) > 0 {
		r.rotation++
		r.primary = r.Replicas[r.rotation%len(r.Replicas)]
	}
}

// redirect handles the answer of a replica that is not the primary: it selects the
// primary that the answer names, or else the next replica. Answers from other replicas
// than the selected one are ignored.
func (r *ReadReplica) redirect(from, primary string) {
	switch {
	case primary != "" && from == r.primary:
		r.primary = primary
	case from == r.primary:
		r.selectNextReplica()
	}
}

// setPrimary sets the address of the serving primary. If it has changed, all pending
// commands are due to be sent again at once.
func (r *ReadReplica) setPrimary(now time.Duration, primary string) {
	if primary == "" || primary == r.primary {
		return
	}
	r.primary = primary
	r.commands.retryAllAt(now)
}

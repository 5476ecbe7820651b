package wire

import (
	"encoding/json"
	"strconv"
	"time"

	"sorrelloom/core/machine"
	"sorrelloom/core/state"
)

// MaxCommandWait is how long a command may wait in the receiving process before it is dropped
// unread. Senders rely on this limit to decide whether a command is lost.
const MaxCommandWait = 400 * time.Millisecond

// CommandRequest asks the primary to apply a command.
type CommandRequest struct {
	ID       uint64 `json:"id"`
	ReadOnly bool   `json:"read,omitempty"`
	// Timeout is how long after sending the request the sender has use for the reply;
	// 0 means no limit.
	Timeout time.Duration `json:"left,omitempty"`
	// Deadline is the end of Timeout in the time of the replicated state. It is the
	// sender's estimate, which is never too early; 0 means none.
	Deadline time.Duration `json:"deadline,omitempty"`
	// Retry is set if the command was sent before.
	Retry bool `json:"resent,omitempty"`
	// Urgent requests are handled before those of callers and workers.
	Urgent bool `json:"urgent,omitempty"`
	// Query is set if the command changes nothing. Queries are handled before commands that
	// change the state.
	Query   bool          `json:"question,omitempty"`
	Command state.Command `json:"command"`
}

// CoalescingKey returns a key for urgent requests and queries, and none for others. The key
// contains the request's ID, so that a waiting request is only replaced by a copy of itself.
func (r CommandRequest) CoalescingKey() string {
	id := strconv.FormatUint(r.ID, 36)
	switch {
	case r.Urgent:
		return machine.UrgentKeyPrefix + id
	case r.Query:
		return machine.QueryKeyPrefix + id
	}
	return ""
}

// CommandReply answers a CommandRequest.
type CommandReply struct {
	ID uint64 `json:"id"`
	// AppliedIndex is the log index up to which commands were applied for this result.
	AppliedIndex uint64 `json:"at,omitempty"`
	// Received marks a preliminary reply, by which the primary acknowledges at once that
	// a request to confirm its leadership has arrived.
	Received bool         `json:"received,omitempty"`
	Result   state.Result `json:"answer"`
	// Primary is the address of the primary, if the sender knows it and is not the primary.
	Primary string `json:"primary,omitempty"`
	// Replicas are the addresses of the view's members, for clients that don't
	// subscribe to the feed. ReplicasEpoch is the epoch of that view, 0 if it is unknown.
	Replicas      []string `json:"keepers,omitempty"`
	ReplicasEpoch uint64   `json:"replicasEpoch,omitempty"`
}

// ReplicaList returns the replicas that the reply names.
func (r *CommandReply) ReplicaList() ReplicaList { return ReplicaList{r.ReplicasEpoch, r.Replicas} }

// HeartbeatRequest carries a worker's heartbeat to the scheduler of its zone.
type HeartbeatRequest struct {
	ID uint64 `json:"id"`
	// MaxWait is the longest time that the reply may be delayed until there is work for the worker.
	MaxWait   time.Duration   `json:"hold"`
	Heartbeat state.Heartbeat `json:"beat"`
	// ReplicasEpoch is the epoch of the view whose replicas the sender knows; 0 means none. The
	// reply names the replicas if the receiver knows a later view.
	ReplicasEpoch uint64 `json:"replicasEpoch,omitempty"`
}

// CoalescingKey returns the worker's ID, since its latest heartbeat includes everything that the
// earlier ones report.
func (r HeartbeatRequest) CoalescingKey() string { return r.Heartbeat.Worker }

// HeartbeatReply answers a HeartbeatRequest; its fields are those of a CommandReply.
type HeartbeatReply struct {
	ID            uint64       `json:"id"`
	Result        state.Result `json:"answer"`
	Primary       string       `json:"primary,omitempty"`
	Replicas      []string     `json:"keepers,omitempty"`
	ReplicasEpoch uint64       `json:"replicasEpoch,omitempty"`
}

// ReplicaList returns the replicas that the reply names.
func (r *HeartbeatReply) ReplicaList() ReplicaList { return ReplicaList{r.ReplicasEpoch, r.Replicas} }

// SubscribeRequest asks for the committed commands after a log position, or renews
// such a subscription.
type SubscribeRequest struct {
	Position state.LogPosition `json:"at"`
}

// FeedUpdate carries committed commands to a subscriber, or a complete snapshot if
// Records is set.
type FeedUpdate struct {
	// Relayed is set if the sender is a subscriber itself, which relays the feed in its zone.
	Relayed bool `json:"relayed,omitempty"`
	// Age is the time since the sender last heard from a confirmed primary, if Relayed is set.
	Age   time.Duration `json:"age,omitempty"`
	Epoch uint64        `json:"epoch"`
	// Previous is the log position that the commands follow, and Position that of the last
	// command or of the snapshot.
	Previous state.LogPosition `json:"after"`
	Position state.LogPosition `json:"at"`
	Commands []json.RawMessage `json:"commands,omitempty"`
	Records  []machine.Record  `json:"records,omitempty"`
	// Rejected is set if the sender does not publish the feed to the receiver: it does not
	// lead, or is a relay that is stopping or not fresh. A new primary sets it as well to
	// announce itself. Primary may name the process that leads.
	Rejected bool   `json:"bounced,omitempty"`
	Primary  string `json:"primary,omitempty"`
}

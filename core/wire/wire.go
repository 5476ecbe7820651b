// Package wire names the kinds of lines that processes send one another and
// the bodies they carry. Unknown fields are passed over, so that two versions
// can run side by side; an unknown kind is logged and dropped by the receiver.
package wire

import (
	"encoding/json"
	"time"

	"sorrelloom/core/machine"
	"sorrelloom/core/state"
)

const (
	KindShuffle         = "shuffle"
	KindShuffleReply    = "shuffle-back"
	KindBootstrapProbe  = "found"
	KindBootstrapReply  = "found-back"
	KindBootstrapView   = "found-view"
	KindPrepare         = "prepare"
	KindPrepareReply    = "prepare-back"
	KindAccept          = "accept"
	KindAcceptReply     = "accept-back"
	KindDecided         = "decided"
	KindReplicate       = "replicate"
	KindReplicateAck    = "replicate-ack"
	KindSnapshotChunk   = "snapshot"
	KindSnapshotRequest = "snapshot-ask"
	KindCommand         = "command"
	KindCommandReply    = "command-back"
	KindSubscribe       = "follow"
	KindFeedUpdate      = "news"
	KindHeartbeat       = "beat"
	KindHeartbeatReply  = "beat-back"
	KindNodeList        = "nodes"
)

// Node is what one daemon knows of another.
type Node struct {
	ID          string `json:"id"`
	Role        string `json:"role"`
	Zone        string `json:"site"`
	Address     string `json:"address"`
	HTTPAddress string `json:"http,omitempty"`
	Incarnation int64  `json:"incarnation"`
	Version     uint64 `json:"sequence"`
}

type Gossip struct {
	Nodes []Node `json:"nodes"`
}

// Seat is a keeper's place in a view: the identity is that of its disk.
type Member struct {
	ID      string `json:"id"`
	Address string `json:"address"`
	Zone    string `json:"site"`
}

// View says who leads an epoch, and whose disks must have all that it answers.
// Boot names the process that may serve in it: another run of the same keeper asks
// for an epoch of its own first.
type View struct {
	Epoch   uint64   `json:"epoch"`
	BootID  uint64   `json:"boot"`
	Primary Member   `json:"primary"`
	Backups []Member `json:"backups"`
	Voters  []Member `json:"witnesses"`
}

type BootstrapStatus struct {
	Member Member `json:"seat"`
	Empty  bool   `json:"empty"`
	// Proxy says that the process has no disk and never takes a seat.
	Proxy bool `json:"proxy,omitempty"`
	View  View `json:"view"`
}

// Ballot orders attempts to decide one epoch; ties go to the larger identity.
type Ballot struct {
	Round      uint64 `json:"round"`
	ProposerID string `json:"id"`
}

func (b Ballot) Less(o Ballot) bool {
	if b.Round != o.Round {
		return b.Round < o.Round
	}
	return b.ProposerID < o.ProposerID
}

// RegisterBody serves all lines of the view register.
type PaxosMessage struct {
	Epoch     uint64 `json:"epoch"`
	From      Member `json:"from"`
	To        string `json:"to"`
	Ballot    Ballot `json:"ballot"`
	Promised  Ballot `json:"promised"`
	Accepted  Ballot `json:"accepted"`
	Value     View   `json:"value"`
	KnownView View   `json:"known"`
	OK        bool   `json:"good"`
}

// ReplicateBody carries encoded commands from the primary. Token is echoed, so that an
// empty body serves as a check that the backup still follows this epoch.
// Boot names the process, so that an ack never reaches the next run of the same
// keeper as its own.
type ReplicateRequest struct {
	BootID   uint64            `json:"boot"`
	View     View              `json:"view"`
	From     Member            `json:"from"`
	SendID   uint64            `json:"token"`
	Previous state.LogPosition `json:"after"`
	Commands []json.RawMessage `json:"commands,omitempty"`
	// Diverged is where the receiver stands, in another history than the sender's:
	// it is to drop what it has after After.
	DivergedAt state.LogPosition `json:"diverged,omitzero"`
}

type ReplicateAck struct {
	BootID   uint64            `json:"boot"`
	Epoch    uint64            `json:"epoch"`
	From     Member            `json:"from"`
	SendID   uint64            `json:"token"`
	Position state.LogPosition `json:"at"`
	OK       bool              `json:"good"`
	// Whole says that the sender cannot go back to where its history diverged.
	NeedsSnapshot bool `json:"whole,omitempty"`
	// Stands says that the sender wants to lead the next epoch itself, so that in
	// this one nothing more is committed by its ack.
	Candidate bool `json:"stands,omitempty"`
	// Leaves says that the sender is being stopped and waits for another in its place.
	Leaving   bool `json:"leaves,omitempty"`
	KnownView View `json:"known"`
}

// SnapshotBody is one chunk of the sender's ledger as it stood At a position. It is
// for a replica that stands at For, which is not in the sender's tail: one that has
// moved on since then must not go back.
type SnapshotChunk struct {
	BootID           uint64            `json:"boot"`
	View             View              `json:"view"`
	From             Member            `json:"from"`
	SendID           uint64            `json:"token"`
	ReceiverPosition state.LogPosition `json:"for"`
	Position         state.LogPosition `json:"at"`
	ChunkIndex       int               `json:"index"`
	Records          json.RawMessage   `json:"records"`
	// Last is the last chunk's, and Digest that of all chunks and the position.
	Last   bool   `json:"last,omitempty"`
	Digest string `json:"digest,omitempty"`
}

// SnapshotAskBody asks for a chunk, which says that those before it are there.
type SnapshotRequest struct {
	BootID     uint64            `json:"boot"`
	Epoch      uint64            `json:"epoch"`
	From       Member            `json:"from"`
	Position   state.LogPosition `json:"at"`
	ChunkIndex int               `json:"index"`
}

// CommandBody asks a keeper for a command. An answer is of use to the sender for
// Left from the sending on; Deadline is the ledger's time at the end of that span,
// as the sender reckons it, never too early. Zero stands for no bound. Resent says
// that a copy of the command was sent before.
type CommandRequest struct {
	ID       uint64        `json:"id"`
	ReadOnly bool          `json:"read,omitempty"`
	Timeout  time.Duration `json:"left,omitempty"`
	Deadline time.Duration `json:"deadline,omitempty"`
	Retry    bool          `json:"resent,omitempty"`
	Command  state.Command `json:"command"`
}

// CommandBackBody is a keeper's answer to a command. With Received set it is no
// answer yet: a leader says at once that a question for its proof has arrived.
type CommandReply struct {
	ID           uint64       `json:"id"`
	AppliedIndex uint64       `json:"at,omitempty"`
	Received     bool         `json:"received,omitempty"`
	Result       state.Result `json:"answer"`
	Primary      string       `json:"primary,omitempty"`
	// Keepers are the addresses of the view's keepers, for those who follow nothing.
	Replicas []string `json:"keepers,omitempty"`
}

type SubscribeRequest struct {
	Position state.LogPosition `json:"at"`
}

// NewsBody carries committed commands, encoded, or a whole copy when Records is set. A
// site's home daemon passes it on with Relayed set and the age of the last word
// that it had from a proven primary.
type FeedUpdate struct {
	Relayed  bool              `json:"relayed,omitempty"`
	Age      time.Duration     `json:"age,omitempty"`
	Epoch    uint64            `json:"epoch"`
	Previous state.LogPosition `json:"after"`
	Position state.LogPosition `json:"at"`
	Commands []json.RawMessage `json:"commands,omitempty"`
	Records  []machine.Record  `json:"records,omitempty"`
	Rejected bool              `json:"bounced,omitempty"`
	Primary  string            `json:"primary,omitempty"`
}

type HeartbeatRequest struct {
	ID        uint64          `json:"id"`
	MaxWait   time.Duration   `json:"hold"`
	Heartbeat state.Heartbeat `json:"beat"`
}

// Key names the worker: a later report of it holds all that an earlier one does.
func (b HeartbeatRequest) CoalescingKey() string { return b.Heartbeat.Worker }

type HeartbeatReply struct {
	ID       uint64       `json:"id"`
	Result   state.Result `json:"answer"`
	Primary  string       `json:"primary,omitempty"`
	Replicas []string     `json:"keepers,omitempty"`
}

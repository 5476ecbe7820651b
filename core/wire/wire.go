// Package wire names the kinds of lines that processes send one another and
// the bodies they carry. Unknown fields are passed over, so that two versions
// can run side by side; an unknown kind is logged and dropped by the receiver.
package wire

import (
	"encoding/json"
	"time"

	"sorrelloom/core/ledger"
	"sorrelloom/core/machine"
)

const (
	Shuffle      = "shuffle"
	ShuffleBack  = "shuffle-back"
	Found        = "found"
	FoundBack    = "found-back"
	FoundView    = "found-view"
	Prepare      = "prepare"
	PrepareBack  = "prepare-back"
	Accept       = "accept"
	AcceptBack   = "accept-back"
	Decided      = "decided"
	Replicate    = "replicate"
	ReplicateAck = "replicate-ack"
	Snapshot     = "snapshot"
	SnapshotAsk  = "snapshot-ask"
	Command      = "command"
	CommandBack  = "command-back"
	Follow       = "follow"
	News         = "news"
	Beat         = "beat"
	BeatBack     = "beat-back"
	Nodes        = "nodes"
)

// Node is what one daemon knows of another.
type Node struct {
	ID          string `json:"id"`
	Role        string `json:"role"`
	Site        string `json:"site"`
	Address     string `json:"address"`
	HTTP        string `json:"http,omitempty"`
	Incarnation int64  `json:"incarnation"`
	Sequence    uint64 `json:"sequence"`
}

type Gossip struct {
	Nodes []Node `json:"nodes"`
}

// Seat is a keeper's place in a view: the identity is that of its disk.
type Seat struct {
	ID      string `json:"id"`
	Address string `json:"address"`
	Site    string `json:"site"`
}

// View says who leads an epoch, and whose disks must have all that it answers.
// Boot names the process that may serve in it: another run of the same keeper asks
// for an epoch of its own first.
type View struct {
	Epoch     uint64 `json:"epoch"`
	Boot      uint64 `json:"boot"`
	Primary   Seat   `json:"primary"`
	Backups   []Seat `json:"backups"`
	Witnesses []Seat `json:"witnesses"`
}

type FoundBody struct {
	Seat  Seat `json:"seat"`
	Empty bool `json:"empty"`
	// Proxy says that the process has no disk and never takes a seat.
	Proxy bool `json:"proxy,omitempty"`
	View  View `json:"view"`
}

// Ballot orders attempts to decide one epoch; ties go to the larger identity.
type Ballot struct {
	Round uint64 `json:"round"`
	ID    string `json:"id"`
}

func (b Ballot) Less(o Ballot) bool {
	if b.Round != o.Round {
		return b.Round < o.Round
	}
	return b.ID < o.ID
}

// RegisterBody serves all lines of the view register.
type RegisterBody struct {
	Epoch    uint64 `json:"epoch"`
	From     Seat   `json:"from"`
	To       string `json:"to"`
	Ballot   Ballot `json:"ballot"`
	Promised Ballot `json:"promised"`
	Accepted Ballot `json:"accepted"`
	Value    View   `json:"value"`
	Known    View   `json:"known"`
	Good     bool   `json:"good"`
}

// ReplicateBody carries encoded commands from the primary. Token is echoed, so that an
// empty body serves as a check that the backup still follows this epoch.
// Boot names the process, so that an ack never reaches the next run of the same
// keeper as its own.
type ReplicateBody struct {
	Boot     uint64            `json:"boot"`
	View     View              `json:"view"`
	From     Seat              `json:"from"`
	Token    uint64            `json:"token"`
	After    ledger.Position   `json:"after"`
	Commands []json.RawMessage `json:"commands,omitempty"`
	// Diverged is where the receiver stands, in another history than the sender's:
	// it is to drop what it has after After.
	Diverged ledger.Position `json:"diverged,omitzero"`
}

type ReplicateAckBody struct {
	Boot  uint64          `json:"boot"`
	Epoch uint64          `json:"epoch"`
	From  Seat            `json:"from"`
	Token uint64          `json:"token"`
	At    ledger.Position `json:"at"`
	Good  bool            `json:"good"`
	// Whole says that the sender cannot go back to where its history diverged.
	Whole bool `json:"whole,omitempty"`
	// Stands says that the sender wants to lead the next epoch itself, so that in
	// this one nothing more is committed by its ack.
	Stands bool `json:"stands,omitempty"`
	Known  View `json:"known"`
}

// SnapshotBody is one chunk of the sender's ledger as it stood At a position. It is
// for a replica that stands at For, which is not in the sender's tail: one that has
// moved on since then must not go back.
type SnapshotBody struct {
	Boot    uint64          `json:"boot"`
	View    View            `json:"view"`
	From    Seat            `json:"from"`
	Token   uint64          `json:"token"`
	For     ledger.Position `json:"for"`
	At      ledger.Position `json:"at"`
	Index   int             `json:"index"`
	Records json.RawMessage `json:"records"`
	// Last is the last chunk's, and Digest that of all chunks and the position.
	Last   bool   `json:"last,omitempty"`
	Digest string `json:"digest,omitempty"`
}

// SnapshotAskBody asks for a chunk, which says that those before it are there.
type SnapshotAskBody struct {
	Boot  uint64          `json:"boot"`
	Epoch uint64          `json:"epoch"`
	From  Seat            `json:"from"`
	At    ledger.Position `json:"at"`
	Index int             `json:"index"`
}

// CommandBody asks a keeper for a command. An answer is of use to the sender for
// Left from the sending on; Deadline is the ledger's time at the end of that span,
// as the sender reckons it, never too early. Zero stands for no bound. Resent says
// that a copy of the command was sent before.
type CommandBody struct {
	ID       uint64         `json:"id"`
	Read     bool           `json:"read,omitempty"`
	Left     time.Duration  `json:"left,omitempty"`
	Deadline time.Duration  `json:"deadline,omitempty"`
	Resent   bool           `json:"resent,omitempty"`
	Command  ledger.Command `json:"command"`
}

// CommandBackBody is a keeper's answer to a command. With Received set it is no
// answer yet: a leader says at once that a question for its proof has arrived.
type CommandBackBody struct {
	ID       uint64        `json:"id"`
	At       uint64        `json:"at,omitempty"`
	Received bool          `json:"received,omitempty"`
	Answer   ledger.Answer `json:"answer"`
	Primary  string        `json:"primary,omitempty"`
	// Keepers are the addresses of the view's keepers, for those who follow nothing.
	Keepers []string `json:"keepers,omitempty"`
}

type FollowBody struct {
	At ledger.Position `json:"at"`
}

// NewsBody carries committed commands, encoded, or a whole copy when Records is set. A
// site's home daemon passes it on with Relayed set and the age of the last word
// that it had from a proven primary.
type NewsBody struct {
	Relayed  bool              `json:"relayed,omitempty"`
	Age      time.Duration     `json:"age,omitempty"`
	Epoch    uint64            `json:"epoch"`
	After    ledger.Position   `json:"after"`
	At       ledger.Position   `json:"at"`
	Commands []json.RawMessage `json:"commands,omitempty"`
	Records  []machine.Record  `json:"records,omitempty"`
	Bounced  bool              `json:"bounced,omitempty"`
	Primary  string            `json:"primary,omitempty"`
}

type BeatBody struct {
	ID   uint64        `json:"id"`
	Hold time.Duration `json:"hold"`
	Beat ledger.Beat   `json:"beat"`
}

// Key names the worker: a later report of it holds all that an earlier one does.
func (b BeatBody) Key() string { return b.Beat.Worker }

type BeatBackBody struct {
	ID      uint64        `json:"id"`
	Answer  ledger.Answer `json:"answer"`
	Primary string        `json:"primary,omitempty"`
	Keepers []string      `json:"keepers,omitempty"`
}

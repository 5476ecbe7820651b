package wire

import (
	"encoding/json"

	"sorrelloom/core/state"
)

// ReplicateRequest carries encoded commands from the primary to a backup. Without
// commands it is a heartbeat: the reply proves that the backup is still in this epoch.
type ReplicateRequest struct {
	// BootID identifies the run of the sender's process, so that an acknowledgement never
	// counts for the next run of the same replica.
	BootID uint64 `json:"boot"`
	View   View   `json:"view"`
	From   Member `json:"from"`
	// SendID increases with every request and is returned in the acknowledgement.
	SendID uint64 `json:"token"`
	// Previous is the log position that the commands follow.
	Previous state.LogPosition `json:"after"`
	Commands []json.RawMessage `json:"commands,omitempty"`
	// DivergedAt, if set, is the receiver's log position, which is in a history that
	// differs from the sender's. The receiver truncates its log to Previous.
	DivergedAt state.LogPosition `json:"diverged,omitzero"`
}

// ReplicateAck is the answer to a ReplicateRequest.
type ReplicateAck struct {
	// BootID, Epoch and SendID are those of the request.
	BootID uint64 `json:"boot"`
	Epoch  uint64 `json:"epoch"`
	From   Member `json:"from"`
	SendID uint64 `json:"token"`
	// Position is the last position of the sender's durable log.
	Position state.LogPosition `json:"at"`
	// OK is set if the sender acknowledges the commands up to Position, and not if it
	// rejects the request.
	OK bool `json:"good"`
	// NeedsSnapshot is set if the sender cannot truncate its log to the position where
	// the histories diverged.
	NeedsSnapshot bool `json:"whole,omitempty"`
	// Candidate is set if the sender wants to lead the next epoch. From then on its
	// acknowledgements commit nothing in this epoch.
	Candidate bool `json:"stands,omitempty"`
	// Leaving is set if the sender is being stopped and waits for its replacement.
	Leaving bool `json:"leaves,omitempty"`
	// KnownView is the newest view that the sender knows. It is empty if OK is set: the
	// epoch of that view is then Epoch.
	KnownView View `json:"known"`
}

// SnapshotChunk is one chunk of the sender's state as of a log position. A replica whose
// log is no longer at ReceiverPosition ignores it: it must not give up commands that it
// has acknowledged since.
type SnapshotChunk struct {
	BootID uint64 `json:"boot"`
	View   View   `json:"view"`
	From   Member `json:"from"`
	SendID uint64 `json:"token"`
	// ReceiverPosition is the receiver's log position, which the sender's log does not
	// contain.
	ReceiverPosition state.LogPosition `json:"for"`
	// Position is the log position of the state.
	Position   state.LogPosition `json:"at"`
	ChunkIndex int               `json:"index"`
	Records    json.RawMessage   `json:"records"`
	// Last marks the last chunk. It alone carries Digest, which covers all chunks and
	// Position.
	Last   bool   `json:"last,omitempty"`
	Digest string `json:"digest,omitempty"`
}

// SnapshotRequest asks for a chunk, and acknowledges all chunks before it.
type SnapshotRequest struct {
	BootID     uint64            `json:"boot"`
	Epoch      uint64            `json:"epoch"`
	From       Member            `json:"from"`
	Position   state.LogPosition `json:"at"`
	ChunkIndex int               `json:"index"`
}

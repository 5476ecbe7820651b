package machine

import (
	"encoding/json"
	"iter"
)

// Record is a value in durable storage, named by its bucket and key.
type Record struct {
	Bucket string          `json:"bucket"`
	Key    string          `json:"key"`
	Value  json.RawMessage `json:"value,omitempty"`
}

// Write is one batch that becomes durable as a whole. Writes are done in order.
type Write struct {
	// ID is returned in Input.CompletedWrite once the batch is durable.
	ID uint64
	// Records are the replica's own, such as its promises. The newest of a key counts.
	Records []Record
	// TruncateCount is how many commands are removed from the end of the log before
	// Commands are appended. All of them were logged after the last snapshot.
	TruncateCount int
	Commands      []json.RawMessage
	// Snapshot, where set, is the state after these commands. The log up to here is not
	// needed any more once the snapshot is durable.
	Snapshot iter.Seq[Record]
	// ReplaceLog marks a snapshot of another history than that of the log before it.
	// It must be durable before the batch is completed.
	ReplaceLog bool
}

// StoredState is what a replica finds in durable storage when it starts.
type StoredState struct {
	// Records are the replica's own, and those of the state as of the last snapshot.
	Records []Record
	// Commands are the log after the last snapshot.
	Commands []json.RawMessage
	// CommandsBeforeSnapshot are the commands that led up to the snapshot, as far as
	// they are still there. They only serve to bring other replicas up to date.
	CommandsBeforeSnapshot []json.RawMessage
}

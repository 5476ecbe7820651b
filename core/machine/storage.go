package machine

import (
	"encoding/json"
	"iter"
)

// Record is a value in durable storage, identified by its bucket and key.
type Record struct {
	Bucket string          `json:"bucket"`
	Key    string          `json:"key"`
	Value  json.RawMessage `json:"value,omitempty"`
}

// Write is one batch that becomes durable as a whole. Batches are written in order.
type Write struct {
	// ID is returned in Input.CompletedWrite once the batch is durable.
	ID uint64
	// Records are the replica's own, such as its promises. A record replaces an earlier one
	// with the same bucket and key.
	Records []Record
	// TruncateCount is the number of commands to remove from the end of the log before
	// Commands are appended. All of them were logged after the last snapshot.
	TruncateCount int
	Commands      []json.RawMessage
	// Snapshot, if set, is the state after these commands. Once it is durable, the log up to
	// here is no longer needed.
	Snapshot iter.Seq[Record]
	// ReplaceLog marks a snapshot whose history differs from that of the log before it. Such
	// a snapshot must be durable before the batch is reported as completed.
	ReplaceLog bool
}

// StoredState is what a replica finds in durable storage when it starts.
type StoredState struct {
	// Records are the replica's own, and those of the state as of the last snapshot.
	Records []Record
	// Commands are the log after the last snapshot.
	Commands []json.RawMessage
	// CommandsBeforeSnapshot are the commands that led up to the snapshot, as far as they are
	// still stored. They are only used to bring other replicas up to date.
	CommandsBeforeSnapshot []json.RawMessage
}

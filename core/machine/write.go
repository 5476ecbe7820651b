// What a keeper writes to its disk and finds there again.

package machine

import (
	"encoding/json"
	"iter"
)

// Write is one synced batch of a keeper: Records are its own, of which the newest
// of a key stands; Commands are appended to its log, after Drop commands at its end
// were dropped, all of which came after the last snapshot. Done comes back as
// Input.Wrote once the batch is on the disk.
type Write struct {
	ID            uint64
	Records       []Record
	TruncateCount int
	Commands      []json.RawMessage
	// Snapshot, where set, is the ledger after these commands. What the log held
	// so far is not needed any more once the snapshot is on the disk.
	Snapshot iter.Seq[Record]
	// Replace says that the snapshot is of another history than the log before
	// it: it must be on the disk before the batch is done.
	ReplaceLog bool
}

// Stored is what a keeper finds on its disk when it starts.
type StoredState struct {
	// Records are its own, and the ledger's as of the last snapshot.
	Records []Record
	// Commands were logged after the snapshot, History before it.
	Commands               []json.RawMessage
	CommandsBeforeSnapshot []json.RawMessage
}

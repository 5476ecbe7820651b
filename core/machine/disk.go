// A keeper's disk in memory.

package machine

import (
	"encoding/json"
	"slices"
)

// Disk is a keeper's disk in memory, for the simulator and for tests: it keeps
// what the store of a daemon would find again. Its zero value is an empty disk.
type MemoryDisk struct {
	// SnapshotEach is how many bytes of log make a snapshot due; 0 is never.
	SnapshotThreshold int

	replicaRecords         []Record
	stateRecords           []Record
	commands               []json.RawMessage
	commandsBeforeSnapshot []json.RawMessage
	loggedBytes            int
}

// Apply makes one batch last.
func (d *MemoryDisk) Apply(write Write) {
	for _, r := range write.Records {
		d.replicaRecords = slices.DeleteFunc(d.replicaRecords, func(o Record) bool { return o.Bucket == r.Bucket && o.Key == r.Key })
		d.replicaRecords = append(d.replicaRecords, r)
	}
	d.commands = d.commands[:len(d.commands)-write.TruncateCount]
	for _, c := range write.Commands {
		d.commands = append(d.commands, c)
		d.loggedBytes += len(c)
	}
	if write.Snapshot == nil {
		return
	}
	if d.commandsBeforeSnapshot = d.commands; write.ReplaceLog {
		d.commandsBeforeSnapshot = nil
	}
	d.stateRecords, d.commands, d.loggedBytes = slices.Collect(write.Snapshot), nil, 0
}

// SnapshotDue says whether the log has grown long.
func (d *MemoryDisk) SnapshotDue() bool {
	return d.SnapshotThreshold > 0 && d.loggedBytes > d.SnapshotThreshold
}

// Stored is what a keeper that starts finds.
func (d *MemoryDisk) Load() StoredState {
	return StoredState{
		Records:                slices.Concat(d.replicaRecords, d.stateRecords),
		Commands:               slices.Clone(d.commands),
		CommandsBeforeSnapshot: slices.Clone(d.commandsBeforeSnapshot),
	}
}

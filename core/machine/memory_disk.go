package machine

import (
	"encoding/json"
	"slices"
)

// MemoryDisk stands in for durable storage in the simulator and in tests. It keeps all
// data in memory. Its zero value is an empty disk.
type MemoryDisk struct {
	// SnapshotThreshold is the size of the log in bytes above which a snapshot is due;
	// 0 means that none ever is.
	SnapshotThreshold int

	replicaRecords         []Record
	stateRecords           []Record
	commands               []json.RawMessage
	commandsBeforeSnapshot []json.RawMessage
	loggedBytes            int
}

// Apply stores one batch.
func (d *MemoryDisk) Apply(write Write) {
	for _, record := range write.Records {
		d.replicaRecords = slices.DeleteFunc(d.replicaRecords, func(other Record) bool {
			return other.Bucket == record.Bucket && other.Key == record.Key
		})
		d.replicaRecords = append(d.replicaRecords, record)
	}
	d.commands = d.commands[:len(d.commands)-write.TruncateCount]
	for _, command := range write.Commands {
		d.commands = append(d.commands, command)
		d.loggedBytes += len(command)
	}
	if write.Snapshot != nil {
		d.applySnapshot(write)
	}
}

func (d *MemoryDisk) applySnapshot(write Write) {
	d.commandsBeforeSnapshot = d.commands
	if write.ReplaceLog {
		d.commandsBeforeSnapshot = nil
	}
	d.stateRecords = slices.Collect(write.Snapshot)
	d.commands = nil
	d.loggedBytes = 0
}

// SnapshotDue reports whether the log has grown beyond the threshold.
func (d *MemoryDisk) SnapshotDue() bool {
	return d.SnapshotThreshold > 0 && d.loggedBytes > d.SnapshotThreshold
}

// Load returns the stored data, as a replica reads it when it starts.
func (d *MemoryDisk) Load() StoredState {
	return StoredState{
		Records:                slices.Concat(d.replicaRecords, d.stateRecords),
		Commands:               slices.Clone(d.commands),
		CommandsBeforeSnapshot: slices.Clone(d.commandsBeforeSnapshot),
	}
}

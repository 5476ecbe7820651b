package machine

import (
	"encoding/json"
	"slices"
)

// Disk is a keeper's disk in memory, for the simulator and for tests: it keeps
// what the store of a daemon would find again. Its zero value is an empty disk.
type Disk struct {
	// SnapshotEach is how many bytes of log make a snapshot due; 0 is never.
	SnapshotEach int

	own      []Record
	ledger   []Record
	commands []json.RawMessage
	history  []json.RawMessage
	logged   int
}

// Apply makes one batch last.
func (d *Disk) Apply(w Write) {
	for _, r := range w.Records {
		d.own = slices.DeleteFunc(d.own, func(o Record) bool { return o.Bucket == r.Bucket && o.Key == r.Key })
		d.own = append(d.own, r)
	}
	d.commands = d.commands[:len(d.commands)-w.Drop]
	for _, c := range w.Commands {
		d.commands = append(d.commands, c)
		d.logged += len(c)
	}
	if w.Snapshot == nil {
		return
	}
	if d.history = d.commands; w.Replace {
		d.history = nil
	}
	d.ledger, d.commands, d.logged = slices.Collect(w.Snapshot), nil, 0
}

// SnapshotDue says whether the log has grown long.
func (d *Disk) SnapshotDue() bool { return d.SnapshotEach > 0 && d.logged > d.SnapshotEach }

// Stored is what a keeper that starts finds.
func (d *Disk) Stored() Stored {
	return Stored{
		Records:  slices.Concat(d.own, d.ledger),
		Commands: slices.Clone(d.commands),
		History:  slices.Clone(d.history),
	}
}

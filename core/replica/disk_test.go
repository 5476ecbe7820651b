package replica

import (
	"encoding/json"
	"fmt"
	"testing"

	"sorrelloom/core/state"
)

// newTestWriter returns a writer with a snapshot at index 5, commands 6 to 8 in flight and 9 to
// 10 in the next batch, and the ID of the write in flight.
func newTestWriter(t *testing.T) (*diskWriter, uint64) {
	t.Helper()
	store, err := state.Load(nil)
	if err != nil {
		t.Fatal(err)
	}
	d := &diskWriter{snapshotPosition: at(5)}
	for range 3 {
		d.appendCommand(json.RawMessage(`{}`))
	}
	id := d.begin(0, store, 4).ID
	d.inFlight.index = 8
	for range 2 {
		d.appendCommand(json.RawMessage(`{}`))
	}
	return d, id
}

// TestDiskWriterTruncate drops commands that are not written yet, that are in flight and that
// a snapshot contains.
func TestDiskWriterTruncate(t *testing.T) {
	for _, row := range []struct {
		to       uint64
		commands int
		truncate int
		replace  bool
		synced   uint64
	}{
		{9, 1, 0, false, 8},
		{8, 0, 0, false, 8},
		{7, 0, 1, false, 7},
		{5, 0, 3, false, 5},
		{4, 0, 0, true, 4},
	} {
		t.Run(fmt.Sprint(row.to), func(t *testing.T) {
			d, id := newTestWriter(t)
			d.truncate(int(10-row.to), at(row.to))
			if len(d.commands) != row.commands || d.truncateCount != row.truncate || d.replaceLog != row.replace {
				t.Errorf("%d commands, %d to truncate, replaced %v", len(d.commands), d.truncateCount, d.replaceLog)
			}
			write, ok := d.complete(id)
			if !ok || write.index != row.synced || write.candidateEpoch != 4 {
				t.Errorf("synced %+v, %v", write, ok)
			}
		})
	}
}

// TestDiskWriterComplete reports the write in flight twice, and one that was never issued: only
// the first report counts.
func TestDiskWriterComplete(t *testing.T) {
	d, id := newTestWriter(t)
	for _, row := range []struct {
		name string
		id   uint64
		ok   bool
	}{{"never issued", id + 1, false}, {"in flight", id, true}, {"twice", id, false}, {"zero", 0, false}} {
		if _, ok := d.complete(row.id); ok != row.ok {
			t.Errorf("%s: complete returned %v", row.name, ok)
		}
	}
	if d.busy() || d.nothingToWrite() {
		t.Errorf("busy %v, nothing to write %v", d.busy(), d.nothingToWrite())
	}
}

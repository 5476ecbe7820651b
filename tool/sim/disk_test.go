package sim

import (
	"testing"
	"time"

	"sorrelloom/core/machine"
)

// TestStalledDiskWaitsAndFullDiskEndsProcess checks that a stalled disk delays a write until it
// recovers, and that a failed write on a full disk ends the process.
func TestStalledDiskWaitsAndFullDiskEndsProcess(t *testing.T) {
	w, _, to, _ := newPair(nil)
	to.disk = emptyDisk()
	to.diskStalled = true
	w.write(to, machine.Write{ID: 1, Records: []machine.Record{{Bucket: "b", Key: "k", Value: []byte("1")}}})
	w.RunUntil(time.Second)
	if to.storedRecords() != 0 {
		t.Error("a stalled disk stored a batch")
	}
	to.diskStalled = false
	w.RunUntil(2 * time.Second)
	if to.storedRecords() != 1 {
		t.Error("a disk that recovered did not store its delayed batch")
	}
	to.diskFull = true
	w.write(to, machine.Write{ID: 2})
	if to.state != down {
		t.Error("a process is up after its write failed")
	}
}

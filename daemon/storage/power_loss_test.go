package storage

import (
	"encoding/json"
	"fmt"
	"iter"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"sorrelloom/core/machine"
)

// describe formats the stored state as one line.
func describe(s machine.StoredState) string {
	out := ""
	for _, r := range s.Records {
		out += fmt.Sprintf("%s/%s=%s ", r.Bucket, r.Key, r.Value)
	}
	out += "+"
	for _, c := range s.Commands {
		out += " " + string(c)
	}
	return out
}

// snapshotOf returns a snapshot with one record.
func snapshotOf(value string) iter.Seq[machine.Record] {
	return slices.Values([]machine.Record{record("job", "a", value)})
}

// testWrites returns writes of an identity, commands, a snapshot in the background, commands,
// replica records, another snapshot, truncations, and a snapshot of another history.
func testWrites() []machine.Write {
	return []machine.Write{
		{ID: 1, Records: []machine.Record{record("keeper", "identity", `"k"`)}},
		{ID: 2, Commands: commands(1, 2)},
		{ID: 3, Commands: commands(3), Snapshot: snapshotOf(`3`)},
		{ID: 4, Commands: commands(4), Records: []machine.Record{record("keeper", "stands", `1`)}},
		{
			ID: 5, Commands: commands(5), Records: []machine.Record{record("keeper", "stands", `2`)},
			Snapshot: snapshotOf(`5`),
		},
		{ID: 6, Commands: commands(6, 66, 67)},
		{ID: 6, TruncateCount: 2, Commands: commands(7)},
		{ID: 6, TruncateCount: 1},
		{ID: 7, Records: []machine.Record{record("keeper", "stands", `3`)}, Snapshot: snapshotOf(`90`), ReplaceLog: true},
		{ID: 8, Commands: commands(91)},
	}
}

func commands(numbers ...int) (out []json.RawMessage) {
	for _, n := range numbers {
		out = append(out, json.RawMessage(fmt.Sprint(n)))
	}
	return out
}

// modelStates returns the states that recovery may find after the writes. If a background
// snapshot was started, either the snapshot or the commands before it may be found.
func modelStates(writes []machine.Write) map[string]bool {
	var replicaRecords []machine.Record
	type variant struct {
		snapshot []machine.Record
		commands []json.RawMessage
	}
	variants := []variant{{}}
	for _, w := range writes {
		for _, r := range w.Records {
			replicaRecords = slices.DeleteFunc(replicaRecords, func(o machine.Record) bool { return o.Key == r.Key })
			replicaRecords = append(replicaRecords, r)
		}
		if w.ReplaceLog {
			variants = []variant{{snapshot: slices.Collect(w.Snapshot)}}
			continue
		}
		for i := range variants {
			kept := variants[i].commands[:len(variants[i].commands)-w.TruncateCount]
			variants[i].commands = append(slices.Clone(kept), w.Commands...)
		}
		if w.Snapshot != nil {
			variants = append(variants, variant{snapshot: slices.Collect(w.Snapshot)})
		}
	}
	slices.SortFunc(replicaRecords, func(a, b machine.Record) int { return strings.Compare(a.Key, b.Key) })
	out := map[string]bool{}
	for _, f := range variants {
		out[describe(machine.StoredState{Records: slices.Concat(replicaRecords, f.snapshot), Commands: f.commands})] = true
	}
	return out
}

// runUntilPowerLoss executes the writes and returns the number of those that were reported as
// written.
func runUntilPowerLoss(files *faultyFileSystem, writes []machine.Write) (reported int) {
	s, _, err := open(files, "d")
	if err != nil {
		return 0
	}
	s.pause = func(time.Duration) bool { return true }
	for _, w := range writes {
		if s.Write(w) != nil {
			break
		}
		reported++
		s.background.Wait()
	}
	s.background.Wait()
	return reported
}

// TestPowerLossAtEveryCall loses power at every call to the file system and checks every disk
// that this may leave. All batches that were reported as written must be recovered; the batch
// in progress may be.
func TestPowerLossAtEveryCall(t *testing.T) {
	writes := testWrites()
	disks := 0
	for limit := 1; ; limit++ {
		files := newFaultyFileSystem()
		files.failAtCall = limit
		reported := runUntilPowerLoss(files, writes)
		files.forEachPossibleDisk(func(name string, disk *faultyFileSystem) {
			disks++
			checkDisk(t, fmt.Sprintf("call %d, %d reported, %s", limit, reported, name), disk, writes, reported)
		})
		if t.Failed() || reported == len(writes) && files.calls < limit {
			break
		}
	}
	t.Logf("%d disks", disks)
}

// checkDisk opens a disk, checks that the reported batches are recovered, and writes more.
func checkDisk(t *testing.T, name string, disk *faultyFileSystem, writes []machine.Write, reported int) {
	t.Helper()
	want := modelStates(writes[:reported])
	if reported < len(writes) {
		for state := range modelStates(writes[:reported+1]) {
			want[state] = true
		}
	}
	s, stored, err := open(disk, "d")
	if err != nil {
		t.Errorf("%s: %v", name, err)
		return
	}
	if got := describe(stored); !want[got] {
		t.Errorf("%s: found %s, want one of %v", name, got, want)
	}
	// The replica relies on the recovered state, so neither this state nor later batches may
	// be lost in another power loss. The snapshot that is started here is never completed.
	checkAllDisks(t, name, disk, stored)
	s.pause = func(time.Duration) bool { return false }
	for i, w := range []machine.Write{
		{Commands: commands(1000), Snapshot: snapshotOf(`1000`)},
		{Commands: commands(1001)},
	} {
		if err := s.Write(w); err != nil {
			t.Errorf("%s: %v", name, err)
		}
		s.background.Wait()
		stored.Commands = append(stored.Commands, commands(1000+i)...)
		checkAllDisks(t, name, disk, stored)
	}
}

// checkAllDisks checks that every disk that a power loss may leave has the same state.
func checkAllDisks(t *testing.T, name string, disk *faultyFileSystem, want machine.StoredState) {
	t.Helper()
	disk.forEachPossibleDisk(func(again string, lost *faultyFileSystem) {
		_, found, err := open(lost, "d")
		if err != nil {
			t.Errorf("%s, then %s: %v", name, again, err)
			return
		}
		if diff := cmp.Diff(describe(want), describe(found)); diff != "" {
			t.Errorf("%s, then %s: %s", name, again, diff)
		}
	})
}

// TestPowerLossAfterProcessRestart restarts the process, which continues from data that is
// only in the page cache, and then loses power.
func TestPowerLossAfterProcessRestart(t *testing.T) {
	writes := testWrites()
	for limit := 1; ; limit++ {
		files := newFaultyFileSystem()
		files.failAtCall = limit
		reported := runUntilPowerLoss(files, writes)
		done := reported == len(writes) && files.calls < limit
		files.failAtCall = 0
		checkDisk(t, fmt.Sprintf("call %d, %d reported", limit, reported), files, writes, reported)
		if t.Failed() || done {
			break
		}
	}
}

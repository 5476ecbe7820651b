package storage

import (
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/joomcode/errorx"

	"sorrelloom/core/machine"
	"sorrelloom/core/replica"
)

func record(bucket, key, value string) machine.Record {
	return machine.Record{Bucket: bucket, Key: key, Value: json.RawMessage(value)}
}

func mustOpen(t *testing.T, dir string) (*Store, machine.StoredState) {
	t.Helper()
	s, stored, err := Open(dir)
	if err != nil {
		t.Fatal(err)
	}
	return s, stored
}

func mustWrite(t *testing.T, s *Store, writes ...machine.Write) {
	t.Helper()
	for _, w := range writes {
		if err := s.Write(w); err != nil {
			t.Fatal(err)
		}
		s.background.Wait()
	}
}

func TestABatchIsWholeAndLasts(t *testing.T) {
	dir := t.TempDir()
	s, stored := mustOpen(t, dir)
	if describe(stored) != "+" {
		t.Fatalf("a new folder has %v", stored)
	}
	writes := script()
	for i, w := range writes {
		mustWrite(t, s, w)
		if err := s.Close(); err != nil {
			t.Fatal(err)
		}
		s, stored = mustOpen(t, dir)
		if want := modelStates(writes[:i+1]); !want[describe(stored)] {
			t.Errorf("after batch %d: found %s, want one of %v", w.ID, describe(stored), want)
		}
	}
	if err := s.Close(); err != nil {
		t.Fatal(err)
	}
	if err := s.Write(writes[1]); err == nil {
		t.Error("a closed store took a batch")
	}
}

func TestTwoProcessesDoNotShareAFolder(t *testing.T) {
	dir := t.TempDir()
	s, _ := mustOpen(t, dir)
	if _, _, err := Open(dir); !errorx.IsOfType(err, ErrUnusable) {
		t.Errorf("a second process opened the folder: %v", err)
	}
	s.Close()
	s, _ = mustOpen(t, dir)
	s.Close()
}

// TestHistoryLeadsUpToTheSnapshot wants the commands before the snapshot back, too.
func TestHistoryLeadsUpToTheSnapshot(t *testing.T) {
	dir := t.TempDir()
	s, _ := mustOpen(t, dir)
	mustWrite(t, s, machine.Write{Commands: commands(1, 2, 3), Snapshot: snapshotOf(`3`)})
	mustWrite(t, s, machine.Write{Commands: commands(4)})
	s.Close()
	s, stored := mustOpen(t, dir)
	defer s.Close()
	if diff := cmp.Diff(commands(1, 2, 3), stored.CommandsBeforeSnapshot); diff != "" {
		t.Error(diff)
	}
	if diff := cmp.Diff(commands(4), stored.Commands); diff != "" {
		t.Error(diff)
	}
}

// TestTheFolderStaysSmall writes many times the log's length and counts what is there.
func TestTheFolderStaysSmall(t *testing.T) {
	files := newFaultyFileSystem()
	s, _, err := open(files, "d")
	if err != nil {
		t.Fatal(err)
	}
	s.minSnapshotInterval, s.pause = 1000, func(time.Duration) bool { return true }
	var most, taken int
	for n := range 5000 {
		w := machine.Write{Commands: commands(n)}
		if s.SnapshotDue() {
			w.Snapshot = snapshotOf(fmt.Sprint(n))
			taken++
		}
		mustWrite(t, s, w)
		size := 0
		for _, node := range files.names {
			size += len(node.current)
		}
		most = max(most, size)
	}
	if most > 4000 || taken < 50 {
		t.Errorf("%d bytes, %d snapshots", most, taken)
	}
	if names, _ := files.List("d"); len(names) != 3 {
		t.Errorf("left are %v", names)
	}
}

// TestAFullDiskIsWaitedFor gives room back after a while: the batch lasts, and nothing
// of the tries before is found.
func TestAFullDiskIsWaitedFor(t *testing.T) {
	for room := range int64(120) {
		files := newFaultyFileSystem()
		s, _, err := open(files, "d")
		if err != nil {
			t.Fatal(err)
		}
		files.freeBytes = room
		var waits []time.Duration
		s.pause = func(d time.Duration) bool {
			if end := len(files.names[s.path(segmentName(s.segmentNumber))].current); int64(end) != s.segmentEnd {
				t.Errorf("room for %d bytes: while waiting the log ends at byte %d, not %d", room, end, s.segmentEnd)
			}
			if waits = append(waits, d); len(waits) == 8 {
				files.freeBytes = 1 << 20
			}
			return true
		}
		writes := script()
		mustWrite(t, s, writes...)
		if len(waits) < 8 || waits[0] != minDiskFullDelay || slices.Max(waits) > maxDiskFullDelay {
			t.Errorf("room for %d bytes: waited %v", room, waits)
		}
		files.forEachPossibleDisk(func(name string, disk *faultyFileSystem) {
			_, stored, err := open(disk, "d")
			if want := modelStates(writes); err != nil || !want[describe(stored)] {
				t.Errorf("room for %d bytes, %s: found %s, %v, want one of %v", room, name, describe(stored), err, want)
			}
		})
	}
}

// TestNoRoomForASnapshot fills the disk in the middle of a snapshot: the log goes on.
func TestNoRoomForASnapshot(t *testing.T) {
	for room := int64(0); room < 200; room += 3 {
		files := newFaultyFileSystem()
		s, _, err := open(files, "d")
		if err != nil {
			t.Fatal(err)
		}
		s.pause = func(time.Duration) bool { return true }
		mustWrite(t, s, machine.Write{Commands: commands(1)})
		if err := s.rotateWithRoom(files, room); err != nil {
			t.Fatal(err)
		}
		files.freeBytes = -1
		mustWrite(t, s, machine.Write{Commands: commands(2)})
		// Power is lost in the middle of the next batch.
		files.failAtCall = files.calls + 1
		if s.Write(machine.Write{Commands: commands(3)}) == nil {
			t.Error("a batch lasted without power")
		}
		files.forEachPossibleDisk(func(name string, disk *faultyFileSystem) {
			_, stored, err := open(disk, "d")
			want := map[string]bool{"+ 1 2": true, "job/a=1 + 2": true, "+ 1 2 3": true, "job/a=1 + 2 3": true}
			if err != nil || !want[describe(stored)] {
				t.Errorf("room for %d bytes, %s: found %s, %v", room, name, describe(stored), err)
			}
		})
	}
}

// TestAFullDiskCostsTheHistoryFirst gives room for a snapshot only once the segment
// before the last one is gone.
func TestAFullDiskCostsTheHistoryFirst(t *testing.T) {
	files := newFaultyFileSystem()
	s, _, err := open(files, "d")
	if err != nil {
		t.Fatal(err)
	}
	tries := 0
	s.pause = func(time.Duration) bool {
		tries++
		return tries < 100
	}
	mustWrite(t, s, machine.Write{Commands: commands(1, 2, 3, 4, 5, 6, 7, 8), Snapshot: snapshotOf(`8`)})
	history := len(files.names[s.path(segmentName(1))].current)
	files.freeBytes = 10
	mustWrite(t, s, machine.Write{Commands: commands(9)})
	if files.names[s.path(segmentName(1))] != nil || files.freeBytes <= 0 || files.freeBytes > int64(history) {
		t.Errorf("the history of %d bytes is still there, with room for %d", history, files.freeBytes)
	}
	files.forEachPossibleDisk(func(name string, disk *faultyFileSystem) {
		if _, stored, err := open(disk, "d"); err != nil || describe(stored) != "job/a=8 + 9" {
			t.Errorf("%s: found %s, %v", name, describe(stored), err)
		}
	})
}

func (s *Store) rotateWithRoom(files *faultyFileSystem, room int64) error {
	files.freeBytes = room
	defer s.background.Wait()
	return s.Write(machine.Write{Snapshot: snapshotOf(`1`)})
}

func TestAFailedSyncEndsTheStore(t *testing.T) {
	for _, broken := range []error{syscall.EIO, syscall.ENOSPC} {
		files := newFaultyFileSystem()
		s, _, err := open(files, "d")
		if err != nil {
			t.Fatal(err)
		}
		s.pause = func(time.Duration) bool { t.Fatal("a failed sync was tried again"); return false }
		files.syncErr = broken
		if err := s.Write(machine.Write{Commands: commands(1)}); !errorx.IsOfType(err, ErrUnusable) {
			t.Errorf("%v: %v", broken, err)
		}
	}
}

func TestADamagedFileIsRefusedByName(t *testing.T) {
	whole := func(t *testing.T) string {
		dir := t.TempDir()
		s, _ := mustOpen(t, dir)
		mustWrite(t, s, script()[:6]...)
		s.Close()
		return dir
	}
	flip := func(at int) func([]byte) []byte {
		return func(b []byte) []byte {
			b[(at+len(b))%len(b)] ^= 0x10
			return b
		}
	}
	snapshot, segment := snapshotName(3), segmentName(3)
	for _, row := range []struct {
		name, file string
		spoil      func([]byte) []byte
	}{
		{"no snapshot", snapshot, func([]byte) []byte { return []byte(strings.Repeat("not a snapshot ", 1000)) }},
		{"an empty snapshot", snapshot, func([]byte) []byte { return nil }},
		{"a snapshot cut short", snapshot, func(b []byte) []byte { return b[:len(b)-1] }},
		{"a snapshot with more behind it", snapshot, func(b []byte) []byte { return append(b, 1) }},
		{"a bit in a snapshot", snapshot, flip(40)},
		{"a snapshot without its foot", snapshot, func(b []byte) []byte { return b[:len(b)-frameHeaderSize-1] }},
		{"a segment's first bit", segment, flip(0)},
		{"a bit in a batch that others follow", segment, flip(frameHeaderSize + 4)},
		{"no segment", segment, nil},
	} {
		dir := whole(t)
		path := filepath.Join(dir, row.file)
		s, _ := mustOpen(t, dir)
		mustWrite(t, s, machine.Write{Commands: commands(7)})
		s.Close()
		data, err := os.ReadFile(path)
		if err != nil {
			t.Fatal(err)
		}
		if row.spoil == nil {
			err = os.Remove(path)
		} else {
			err = os.WriteFile(path, row.spoil(data), 0o600)
		}
		if err != nil {
			t.Fatal(err)
		}
		if _, _, err := Open(dir); !errorx.IsOfType(err, ErrCorrupted) || !strings.Contains(err.Error(), path) {
			t.Errorf("%s: %v", row.name, err)
		}
	}
}

// TestAFolderThatPromisedIsNeverEmpty takes the snapshot away.
func TestAFolderThatPromisedIsNeverEmpty(t *testing.T) {
	dir := t.TempDir()
	s, _ := mustOpen(t, dir)
	mustWrite(t, s, script()[:2]...)
	s.Close()
	if err := os.Remove(filepath.Join(dir, snapshotName(1))); err != nil {
		t.Fatal(err)
	}
	if _, _, err := Open(dir); !errorx.IsOfType(err, ErrCorrupted) {
		t.Errorf("taken for empty: %v", err)
	}
}

func TestAnEarlierReleasesFileIsNamed(t *testing.T) {
	dir := t.TempDir()
	path := filepath.Join(dir, legacyFileName)
	if err := os.WriteFile(path, nil, 0o600); err != nil {
		t.Fatal(err)
	}
	if _, _, err := Open(dir); !errorx.IsOfType(err, ErrUnusable) || !strings.Contains(err.Error(), path) {
		t.Errorf("got %v", err)
	}
}

func TestAKeeperRefusesADamagedRecord(t *testing.T) {
	identity := record("keeper", "identity", `"k"`)
	for _, stored := range []machine.StoredState{
		{Records: []machine.Record{identity, record("job", "a", `{"spec":`)}},
		{Records: []machine.Record{record("keeper", "identity", `7`)}},
		{Records: []machine.Record{record("job", "a", `{}`)}},
		{Commands: []json.RawMessage{[]byte(`{"sequence":1}`)}},
		{Records: []machine.Record{identity}, Commands: []json.RawMessage{[]byte(`{"sequence":`)}},
		{Records: []machine.Record{identity}, Commands: []json.RawMessage{[]byte(`{"sequence":2}`)}},
	} {
		if _, err := replica.New(replica.Config{Address: "1.1.1.1:1", NewID: "f"}, stored); err == nil {
			t.Errorf("%v was taken", stored)
		}
	}
}

func TestErrorsOfAFullDisk(t *testing.T) {
	if !diskFull(&os.PathError{Err: syscall.ENOSPC}) || diskFull(syscall.EIO) || diskFull(errors.New("other")) {
		t.Error("a full disk is not told from others")
	}
}

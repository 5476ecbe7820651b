package storage

import (
	"errors"
	"os"
	"slices"
	"syscall"
	"testing"
	"time"

	"sorrelloom/core/machine"
)

// TestWriteWaitsWhileDiskIsFull frees disk space after several attempts. The batch must then
// be durable, and the log must contain no data of the failed attempts.
func TestWriteWaitsWhileDiskIsFull(t *testing.T) {
	for free := range int64(120) {
		files := newFaultyFileSystem()
		s, _, err := open(files, "d")
		if err != nil {
			t.Fatal(err)
		}
		files.freeBytes = free
		var waits []time.Duration
		s.pause = func(d time.Duration) bool {
			if end := len(files.names[s.path(segmentName(s.segment.number))].current); int64(end) != s.segment.end {
				t.Errorf("%d free bytes: while waiting the log ends at byte %d, not %d", free, end, s.segment.end)
			}
			if waits = append(waits, d); len(waits) == 8 {
				files.freeBytes = 1 << 20
			}
			return true
		}
		writes := testWrites()
		mustWrite(t, s, writes...)
		if len(waits) < 8 || waits[0] != minDiskFullDelay || slices.Max(waits) > maxDiskFullDelay {
			t.Errorf("%d free bytes: waited %v", free, waits)
		}
		files.forEachPossibleDisk(func(name string, disk *faultyFileSystem) {
			_, stored, err := open(disk, "d")
			if want := modelStates(writes); err != nil || !want[describe(stored)] {
				t.Errorf("%d free bytes, %s: found %s, %v, want one of %v", free, name, describe(stored), err, want)
			}
		})
	}
}

// TestSnapshotIsPostponedOnFullDisk fills the disk during a snapshot. Writes to the log must
// continue.
func TestSnapshotIsPostponedOnFullDisk(t *testing.T) {
	for free := int64(0); free < 200; free += 3 {
		files := newFaultyFileSystem()
		s, _, err := open(files, "d")
		if err != nil {
			t.Fatal(err)
		}
		s.pause = func(time.Duration) bool { return true }
		mustWrite(t, s, machine.Write{Commands: commands(1)})
		if err := s.rotateWithFreeBytes(files, free); err != nil {
			t.Fatal(err)
		}
		files.freeBytes = -1
		mustWrite(t, s, machine.Write{Commands: commands(2)})
		// Power is lost in the middle of the next batch.
		files.failAtCall = files.calls + 1
		if s.Write(machine.Write{Commands: commands(3)}) == nil {
			t.Error("a batch was written without power")
		}
		files.forEachPossibleDisk(func(name string, disk *faultyFileSystem) {
			_, stored, err := open(disk, "d")
			want := map[string]bool{"+ 1 2": true, "job/a=1 + 2": true, "+ 1 2 3": true, "job/a=1 + 2 3": true}
			if err != nil || !want[describe(stored)] {
				t.Errorf("%d free bytes, %s: found %s, %v", free, name, describe(stored), err)
			}
		})
	}
}

// TestFullDiskRemovesOldSegments leaves space for a batch only if the segment before the last
// snapshot is removed.
func TestFullDiskRemovesOldSegments(t *testing.T) {
	files := newFaultyFileSystem()
	s, _, err := open(files, "d")
	if err != nil {
		t.Fatal(err)
	}
	attempts := 0
	s.pause = func(time.Duration) bool {
		attempts++
		return attempts < 100
	}
	mustWrite(t, s, machine.Write{Commands: commands(1, 2, 3, 4, 5, 6, 7, 8), Snapshot: snapshotOf(`8`)})
	oldSegmentSize := len(files.names[s.path(segmentName(1))].current)
	files.freeBytes = 10
	mustWrite(t, s, machine.Write{Commands: commands(9)})
	if files.names[s.path(segmentName(1))] != nil || files.freeBytes <= 0 || files.freeBytes > int64(oldSegmentSize) {
		t.Errorf("the old segment of %d bytes is still there, with %d free bytes", oldSegmentSize, files.freeBytes)
	}
	files.forEachPossibleDisk(func(name string, disk *faultyFileSystem) {
		if _, stored, err := open(disk, "d"); err != nil || describe(stored) != "job/a=8 + 9" {
			t.Errorf("%s: found %s, %v", name, describe(stored), err)
		}
	})
}

func (s *Store) rotateWithFreeBytes(files *faultyFileSystem, free int64) error {
	files.freeBytes = free
	defer s.background.Wait()
	return s.Write(machine.Write{Snapshot: snapshotOf(`1`)})
}

func TestFailedSyncIsNotRetried(t *testing.T) {
	for _, broken := range []error{syscall.EIO, syscall.ENOSPC} {
		files := newFaultyFileSystem()
		s, _, err := open(files, "d")
		if err != nil {
			t.Fatal(err)
		}
		s.pause = func(time.Duration) bool { t.Fatal("a failed sync was repeated"); return false }
		files.syncErr = broken
		if err := s.Write(machine.Write{Commands: commands(1)}); !errors.Is(err, ErrUnusable) {
			t.Errorf("%v: %v", broken, err)
		}
	}
}

func TestIsDiskFull(t *testing.T) {
	if !isDiskFull(&os.PathError{Err: syscall.ENOSPC}) || isDiskFull(syscall.EIO) || isDiskFull(errors.New("other")) {
		t.Error("a full disk is not distinguished from other errors")
	}
}

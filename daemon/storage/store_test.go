package storage

import (
	"encoding/json"
	"errors"
	"fmt"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"sorrelloom/core/machine"
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

func TestBatchIsAtomicAndDurable(t *testing.T) {
	dir := t.TempDir()
	s, stored := mustOpen(t, dir)
	if describe(stored) != "+" {
		t.Fatalf("a new directory contains %v", stored)
	}
	writes := testWrites()
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
		t.Error("a closed store accepted a batch")
	}
}

func TestDirectoryIsLocked(t *testing.T) {
	dir := t.TempDir()
	s, _ := mustOpen(t, dir)
	if _, _, err := Open(dir); !errors.Is(err, ErrUnusable) {
		t.Errorf("a second process opened the directory: %v", err)
	}
	s.Close()
	s, _ = mustOpen(t, dir)
	s.Close()
}

// TestCommandsBeforeSnapshotAreLoaded checks that the commands before the snapshot are loaded
// separately from those after it.
func TestCommandsBeforeSnapshotAreLoaded(t *testing.T) {
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

// TestObsoleteFilesAreRemoved writes many times the snapshot interval and checks the size of
// the directory.
func TestObsoleteFilesAreRemoved(t *testing.T) {
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
		t.Errorf("the files are %v", names)
	}
}

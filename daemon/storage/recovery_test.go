package storage

import (
	"encoding/json"
	"errors"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"sorrelloom/core/machine"
	"sorrelloom/core/replica"
)

func TestCorruptedFileIsReportedByName(t *testing.T) {
	newDir := func(t *testing.T) string {
		dir := t.TempDir()
		s, _ := mustOpen(t, dir)
		mustWrite(t, s, testWrites()[:6]...)
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
		corrupt    func([]byte) []byte
	}{
		{"not a snapshot", snapshot, func([]byte) []byte { return []byte(strings.Repeat("not a snapshot ", 1000)) }},
		{"an empty snapshot", snapshot, func([]byte) []byte { return nil }},
		{"a snapshot cut short", snapshot, func(b []byte) []byte { return b[:len(b)-1] }},
		{"a snapshot with data after its footer", snapshot, func(b []byte) []byte { return append(b, 1) }},
		{"a flipped bit in a snapshot", snapshot, flip(40)},
		{"a snapshot without its footer", snapshot, func(b []byte) []byte { return b[:len(b)-frameHeaderSize-1] }},
		{"a flipped bit in a segment's first byte", segment, flip(0)},
		{"a flipped bit in a segment's salt", segment, flip(frameHeaderSize + 4)},
		{"a flipped bit in a batch that others follow", segment, flip(len(segmentHeader(3, 1)) + frameHeaderSize + 4)},
		{"no segment", segment, nil},
	} {
		dir := newDir(t)
		path := filepath.Join(dir, row.file)
		s, _ := mustOpen(t, dir)
		mustWrite(t, s, machine.Write{Commands: commands(7)})
		s.Close()
		data, err := os.ReadFile(path)
		if err != nil {
			t.Fatal(err)
		}
		if row.corrupt == nil {
			err = os.Remove(path)
		} else {
			err = os.WriteFile(path, row.corrupt(data), 0o600)
		}
		if err != nil {
			t.Fatal(err)
		}
		if _, _, err := Open(dir); !errors.Is(err, ErrCorrupted) || !strings.Contains(err.Error(), path) {
			t.Errorf("%s: %v", row.name, err)
		}
	}
}

// TestMissingSnapshotIsNotAnEmptyDirectory removes the snapshot of a replica that has made
// promises. Starting with an empty state would break them.
func TestMissingSnapshotIsNotAnEmptyDirectory(t *testing.T) {
	dir := t.TempDir()
	s, _ := mustOpen(t, dir)
	mustWrite(t, s, testWrites()[:2]...)
	s.Close()
	if err := os.Remove(filepath.Join(dir, snapshotName(1))); err != nil {
		t.Fatal(err)
	}
	if _, _, err := Open(dir); !errors.Is(err, ErrCorrupted) {
		t.Errorf("treated as empty: %v", err)
	}
}

func TestLegacyFileIsRejected(t *testing.T) {
	dir := t.TempDir()
	path := filepath.Join(dir, legacyFileName)
	if err := os.WriteFile(path, nil, 0o600); err != nil {
		t.Fatal(err)
	}
	if _, _, err := Open(dir); !errors.Is(err, ErrUnusable) || !strings.Contains(err.Error(), path) {
		t.Errorf("got %v", err)
	}
}

func TestReplicaRejectsCorruptedRecords(t *testing.T) {
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
			t.Errorf("%v was accepted", stored)
		}
	}
}

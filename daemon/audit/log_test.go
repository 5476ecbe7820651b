package audit

import (
	"bytes"
	"encoding/json"
	"os"
	"path/filepath"
	"testing"

	"sorrelloom/core/machine"
	"sorrelloom/core/state"
)

func entry(index, previous uint64) machine.AuditEntry {
	e := state.AuditEntry{
		LogPosition:   state.LogPosition{Epoch: 1, Index: index},
		PreviousIndex: previous,
		Decisions:     []state.Decision{{Kind: "accept", Job: "j"}},
	}
	return machine.AuditEntry{Index: index, Data: machine.MustJSON(e)}
}

// writeSignedLog writes a log with entries at the indexes from, from+10, … up to to, and
// signs it.
func writeSignedLog(t *testing.T, from, to uint64) string {
	t.Helper()
	dir := t.TempDir()
	l, err := Open(dir, "k1")
	if err != nil {
		t.Fatal(err)
	}
	for s := from; s <= to; s += 10 {
		if err := l.write(entry(s, s-10)); err != nil {
			t.Fatal(err)
		}
	}
	if err := l.sign(); err != nil {
		t.Fatal(err)
	}
	return dir
}

// corruptFile replaces the content of a file by the result of f.
func corruptFile(t *testing.T, dir, name string, f func([]byte) []byte) {
	t.Helper()
	path := filepath.Join(dir, name)
	data, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	if err := os.WriteFile(path, f(data), 0o600); err != nil {
		t.Fatal(err)
	}
}

func TestOpenCutsOffPartialEntry(t *testing.T) {
	dir := writeSignedLog(t, 10, 50)
	corruptFile(t, dir, entriesName, func(b []byte) []byte { return append(b, `{"epoch":1,"sequ`...) })
	l, err := Open(dir, "k1")
	if err != nil {
		t.Fatal(err)
	}
	for _, s := range []uint64{50, 60} {
		if err := l.write(entry(s, s-10)); err != nil {
			t.Fatal(err)
		}
	}
	if err := l.sign(); err != nil {
		t.Fatal(err)
	}
	r, err := Verify([]string{dir}, nil)
	if err != nil || len(r.Findings) > 0 || r.EntryCount != 6 {
		t.Errorf("%+v %v", r, err)
	}
	data, err := os.ReadFile(filepath.Join(dir, entriesName))
	if err != nil || !json.Valid(bytes.Split(data, []byte("\n"))[5]) {
		t.Errorf("%v %s", err, data)
	}
}

package audit

import (
	"bytes"
	"encoding/json"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"sorrelloom/core/machine"
	"sorrelloom/core/state"
)

func entry(sequence, previous uint64) machine.AuditEntry {
	e := state.AuditEntry{
		LogPosition:   state.LogPosition{Epoch: 1, Index: sequence},
		PreviousIndex: previous,
		Decisions:     []state.Decision{{Kind: "accept", Job: "j"}},
	}
	return machine.AuditEntry{Index: sequence, Data: machine.MustJSON(e)}
}

// written makes a log of entries with sequences 10, 20, … and signs it.
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

func TestVerifyNamesWhatIsWrong(t *testing.T) {
	lines := func(f func([][]byte) [][]byte) func([]byte) []byte {
		return func(data []byte) []byte {
			return append(bytes.Join(f(bytes.Split(bytes.TrimSuffix(data, []byte("\n")), []byte("\n"))), []byte("\n")), '\n')
		}
	}
	swap := func(old, with string) func([]byte) []byte {
		return func(data []byte) []byte { return bytes.Replace(data, []byte(old), []byte(with), 1) }
	}
	table := []struct {
		name  string
		file  string
		do    func([]byte) []byte
		entry int64
		why   string
	}{
		{"whole", entriesName, func(b []byte) []byte { return b }, 0, ""},
		{"altered", entriesName, swap(`"sequence":50`, `"sequence":51`), 4, "altered"},
		{"one taken out", entriesName,
			lines(func(l [][]byte) [][]byte { return append(l[:3:3], l[4:]...) }), -1, "sequence 40 is missing"},
		{"a half written end after the checkpoint", entriesName,
			func(b []byte) []byte { return append(b, `{"ep`...) }, 0, ""},
		{"the end cut off", entriesName,
			lines(func(l [][]byte) [][]byte { return l[:5] }), 5, "covers 9 entries, 5 are there"},
		{"two exchanged", entriesName, lines(func(l [][]byte) [][]byte { l[1], l[2] = l[2], l[1]; return l }), 1, "altered"},
		{"checkpoint altered", checkpointName, swap("\n9\n", "\n8\n"), -1, "signature"},
		{"another key", publicName, func(b []byte) []byte {
			return bytes.Replace(b, []byte("sorrelloom/k1"), []byte("sorrelloom/k2"), 1)
		}, -1, ""},
	}
	for _, row := range table {
		dir := writeSignedLog(t, 10, 90)
		corruptFile(t, dir, row.file, row.do)
		r, err := Verify([]string{dir}, nil)
		if row.name == "another key" {
			if err == nil && len(r.Findings) == 0 {
				t.Errorf("%s: taken", row.name)
			}
			continue
		}
		if err != nil {
			t.Errorf("%s: %v", row.name, err)
			continue
		}
		found := row.why == "" && len(r.Findings) == 0
		for _, f := range r.Findings {
			found = found || row.why != "" && f.EntryIndex == row.entry && strings.Contains(f.Reason, row.why)
		}
		if !found {
			t.Errorf("%s: %+v", row.name, r.Findings)
		}
	}
}

func TestSeveralLogsAreOneChain(t *testing.T) {
	first, second, later := writeSignedLog(t, 10, 50), writeSignedLog(t, 40, 90), writeSignedLog(t, 70, 90)
	if r, err := Verify([]string{first, second}, nil); err != nil || len(r.Findings) > 0 || r.EntryCount != 9 {
		t.Errorf("overlapping: %+v %v", r, err)
	}
	r, err := Verify([]string{first, later}, nil)
	if err != nil || len(r.Findings) != 1 || !strings.Contains(r.Findings[0].Reason, "sequence 60 is missing") {
		t.Errorf("with a gap: %+v %v", r, err)
	}
	corruptFile(t, second, entriesName, func(b []byte) []byte { return bytes.Replace(b, []byte("accept"), []byte("cancel"), 1) })
	if r, _ = Verify([]string{first, second}, nil); len(r.Findings) < 2 {
		t.Errorf("two logs that differ: %+v", r.Findings)
	}
}

func TestALogGoesOnAfterAHalfWrittenEnd(t *testing.T) {
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

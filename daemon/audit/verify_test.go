package audit

import (
	"bytes"
	"strings"
	"testing"
)

func TestVerifyFindsDamage(t *testing.T) {
	lines := func(f func([][]byte) [][]byte) func([]byte) []byte {
		return func(data []byte) []byte {
			return append(bytes.Join(f(bytes.Split(bytes.TrimSuffix(data, []byte("\n")), []byte("\n"))), []byte("\n")), '\n')
		}
	}
	replace := func(old, with string) func([]byte) []byte {
		return func(data []byte) []byte { return bytes.Replace(data, []byte(old), []byte(with), 1) }
	}
	table := []struct {
		name  string
		file  string
		do    func([]byte) []byte
		entry int64
		why   string
	}{
		{"intact", entriesName, func(b []byte) []byte { return b }, 0, ""},
		{"one altered", entriesName, replace(`"sequence":50`, `"sequence":51`), 4, "altered"},
		{"one removed", entriesName,
			lines(func(l [][]byte) [][]byte { return append(l[:3:3], l[4:]...) }), -1, "sequence 40 is missing"},
		{"partial entry after the checkpoint", entriesName,
			func(b []byte) []byte { return append(b, `{"ep`...) }, 0, ""},
		{"truncated", entriesName,
			lines(func(l [][]byte) [][]byte { return l[:5] }), 5, "covers 9 entries, 5 are there"},
		{"two swapped", entriesName, lines(func(l [][]byte) [][]byte { l[1], l[2] = l[2], l[1]; return l }), 1, "altered"},
		{"checkpoint altered", checkpointName, replace("\n9\n", "\n8\n"), -1, "signature"},
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
				t.Errorf("%s: accepted", row.name)
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

func TestVerifyMergesLogs(t *testing.T) {
	first, second, later := writeSignedLog(t, 10, 50), writeSignedLog(t, 40, 90), writeSignedLog(t, 70, 90)
	if r, err := Verify([]string{first, second}, nil); err != nil || len(r.Findings) > 0 || r.EntryCount != 9 {
		t.Errorf("overlapping: %+v %v", r, err)
	}
	r, err := Verify([]string{first, later}, nil)
	if err != nil || len(r.Findings) != 1 || !strings.Contains(r.Findings[0].Reason, "sequence 60 is missing") {
		t.Errorf("with a gap: %+v %v", r, err)
	}
	corruptFile(t, second, entriesName, func(b []byte) []byte {
		return bytes.Replace(b, []byte("accept"), []byte("cancel"), 1)
	})
	if r, _ = Verify([]string{first, second}, nil); len(r.Findings) < 2 {
		t.Errorf("different entries: %+v", r.Findings)
	}
}

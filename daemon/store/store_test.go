package store

import (
	"encoding/json"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"
	"github.com/joomcode/errorx"

	"sorrelloom/core/keeper"
	"sorrelloom/core/machine"
)

func record(bucket, key, value string) machine.Record {
	r := machine.Record{Bucket: bucket, Key: key}
	if value != "" {
		r.Value = json.RawMessage(value)
	}
	return r
}

func mustOpen(t *testing.T, folder string) (*Store, []machine.Record) {
	t.Helper()
	s, records, err := Open(folder, keeper.Buckets)
	if err != nil {
		t.Fatal(err)
	}
	return s, records
}

func TestABatchIsWholeAndLasts(t *testing.T) {
	folder := t.TempDir()
	s, records := mustOpen(t, folder)
	if len(records) != 0 {
		t.Fatalf("a new file has %v", records)
	}
	writes := []machine.Write{
		{Done: 1, Records: []machine.Record{record("job", "a", `1`), record("job", "b", `2`)}},
		{Done: 2, Records: []machine.Record{record("job", "a", ""), record("worker", "w", `3`)}},
		{Done: 3, Wipe: []string{"job"}, Records: []machine.Record{record("job", "c", `4`)}},
	}
	for _, w := range writes {
		if err := s.Write(w); err != nil {
			t.Fatal(err)
		}
	}
	if err := s.Close(); err != nil {
		t.Fatal(err)
	}
	s, records = mustOpen(t, folder)
	defer s.Close()
	want := []machine.Record{record("job", "c", `4`), record("worker", "w", `3`)}
	if diff := cmp.Diff(want, records); diff != "" {
		t.Error(diff)
	}
}

// TestPowerLostAtAnyWrite cuts the file back to what it was before the last
// synced batch, and to the bytes of half of it: the first must open as it was,
// the second must open as before or after the batch, never in between.
func TestPowerLostAtAnyWrite(t *testing.T) {
	folder := t.TempDir()
	path := filepath.Join(folder, fileName)
	s, _ := mustOpen(t, folder)
	if err := s.Write(machine.Write{Records: []machine.Record{record("job", "a", `1`), record("worker", "a", `1`)}}); err != nil {
		t.Fatal(err)
	}
	before, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	if err := s.Write(machine.Write{Records: []machine.Record{record("job", "a", `2`), record("worker", "a", `2`)}}); err != nil {
		t.Fatal(err)
	}
	after, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	s.Close()
	const page = 4096
	var changed []int
	for at := 0; at < len(after); at += page {
		if at >= len(before) || string(before[at:at+page]) != string(after[at:at+page]) {
			changed = append(changed, at)
		}
	}
	if len(changed) < 2 {
		t.Fatalf("only %d pages changed", len(changed))
	}
	// The data pages reach the disk before the meta page does: any set of them
	// may be there while the meta page is still the old one.
	meta := changed[0]
	for set := range 1 << (len(changed) - 1) {
		torn := append([]byte(nil), before...)
		for i, at := range changed[1:] {
			if set&(1<<i) != 0 {
				if at+page > len(torn) {
					torn = append(torn, make([]byte, at+page-len(torn))...)
				}
				copy(torn[at:at+page], after[at:at+page])
			}
		}
		if meta >= 2*page {
			t.Fatalf("the first changed page is no meta page: %d", meta)
		}
		if err := os.WriteFile(path, torn, 0o600); err != nil {
			t.Fatal(err)
		}
		s, records := mustOpen(t, folder)
		for _, r := range records {
			if string(r.Value) != `1` {
				t.Errorf("set %b: %s/%s is %s", set, r.Bucket, r.Key, r.Value)
			}
		}
		if len(records) != 2 {
			t.Errorf("set %b: %d records", set, len(records))
		}
		s.Close()
	}
}

func TestADamagedFileIsRefusedByName(t *testing.T) {
	for name, spoil := range map[string]func([]byte) []byte{
		"no bbolt file":   func([]byte) []byte { return []byte(strings.Repeat("not a database ", 1000)) },
		"both metas gone": func(b []byte) []byte { return append(make([]byte, 8192), b[8192:]...) },
		"cut short":       func(b []byte) []byte { return b[:6000] },
	} {
		folder := t.TempDir()
		path := filepath.Join(folder, fileName)
		s, _ := mustOpen(t, folder)
		if err := s.Write(machine.Write{Records: []machine.Record{record("job", "a", `{"x":1}`)}}); err != nil {
			t.Fatal(err)
		}
		s.Close()
		data, err := os.ReadFile(path)
		if err != nil {
			t.Fatal(err)
		}
		if err := os.WriteFile(path, spoil(data), 0o600); err != nil {
			t.Fatal(err)
		}
		if _, _, err := Open(folder, keeper.Buckets); !errorx.IsOfType(err, Damaged) || !strings.Contains(err.Error(), path) {
			t.Errorf("%s: %v", name, err)
		}
	}
}

func TestAKeeperRefusesADamagedRecord(t *testing.T) {
	for _, records := range [][]machine.Record{
		{record("keeper", "identity", `"k"`), record("job", "a", `{"spec":`)},
		{record("keeper", "identity", `7`)},
		{record("job", "a", `{}`)},
	} {
		if _, err := keeper.New(keeper.Env{Address: "1.1.1.1:1", FreshID: "f"}, records); err == nil {
			t.Errorf("%v was taken", records)
		}
	}
}

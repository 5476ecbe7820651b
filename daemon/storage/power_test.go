// Power is lost at every call to the file system, with every disk that may then be
// there. What was reported must be found again, and what was not may be.

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

// told says what is stored, in one line.
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

// ledgerOf is a snapshot with one record.
func snapshotOf(value string) iter.Seq[machine.Record] {
	return slices.Values([]machine.Record{record("job", "a", value)})
}

// script has an identity, commands, a snapshot beside the log, commands, the keeper's
// own records, another snapshot, and the state of another history.
func script() []machine.Write {
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

// model is the same script on a disk in memory that never fails. Of a snapshot beside
// the log either may be found: the snapshot, or the commands that led up to it.
func modelStates(writes []machine.Write) map[string]bool {
	var own []machine.Record
	type form struct {
		ledger   []machine.Record
		commands []json.RawMessage
	}
	forms := []form{{}}
	for _, w := range writes {
		for _, r := range w.Records {
			own = slices.DeleteFunc(own, func(o machine.Record) bool { return o.Key == r.Key })
			own = append(own, r)
		}
		if w.ReplaceLog {
			forms = []form{{ledger: slices.Collect(w.Snapshot)}}
			continue
		}
		for i := range forms {
			kept := forms[i].commands[:len(forms[i].commands)-w.TruncateCount]
			forms[i].commands = append(slices.Clone(kept), w.Commands...)
		}
		if w.Snapshot != nil {
			forms = append(forms, form{ledger: slices.Collect(w.Snapshot)})
		}
	}
	slices.SortFunc(own, func(a, b machine.Record) int { return strings.Compare(a.Key, b.Key) })
	out := map[string]bool{}
	for _, f := range forms {
		out[describe(machine.StoredState{Records: slices.Concat(own, f.ledger), Commands: f.commands})] = true
	}
	return out
}

// runUntilPowerIsLost plays the script and gives how many batches were reported.
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

func TestPowerIsLostAtAnyCall(t *testing.T) {
	writes := script()
	tried := 0
	for limit := 1; ; limit++ {
		files := newFaultyFileSystem()
		files.failAtCall = limit
		reported := runUntilPowerLoss(files, writes)
		files.forEachPossibleDisk(func(name string, disk *faultyFileSystem) {
			tried++
			checkDisk(t, fmt.Sprintf("call %d, %d reported, %s", limit, reported, name), disk, writes, reported)
		})
		if t.Failed() || reported == len(writes) && files.calls < limit {
			break
		}
	}
	t.Logf("%d disks", tried)
}

// checkDisk opens a disk, wants what was reported, and writes on.
func checkDisk(t *testing.T, name string, disk *faultyFileSystem, writes []machine.Write, reported int) {
	t.Helper()
	want := modelStates(writes[:reported])
	if reported < len(writes) {
		for form := range modelStates(writes[:reported+1]) {
			want[form] = true
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
	// What was found is promised, so power lost again at once must not take it, nor what
	// is reported from now on. The snapshot that is begun never comes to its end.
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

// wantEverywhere wants the same on every disk that may be there after a loss of power.
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

// TestAProcessEndsThenPowerIsLost has another process go on with what the ended one
// has left in the memory of the machine, and only then loses power.
func TestAProcessEndsThenPowerIsLost(t *testing.T) {
	writes := script()
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

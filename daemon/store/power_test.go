// Power is lost at every call to the file system, with every disk that may then be
// there. What was reported must be found again, and what was not may be.
package store

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
func told(s machine.Stored) string {
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
func ledgerOf(value string) iter.Seq[machine.Record] {
	return slices.Values([]machine.Record{record("job", "a", value)})
}

// script has an identity, commands, a snapshot beside the log, commands, the keeper's
// own records, another snapshot, and the state of another history.
func script() []machine.Write {
	return []machine.Write{
		{Done: 1, Records: []machine.Record{record("keeper", "identity", `"k"`)}},
		{Done: 2, Commands: commands(1, 2)},
		{Done: 3, Commands: commands(3), Snapshot: ledgerOf(`3`)},
		{Done: 4, Commands: commands(4), Records: []machine.Record{record("keeper", "stands", `1`)}},
		{Done: 5, Commands: commands(5), Records: []machine.Record{record("keeper", "stands", `2`)}, Snapshot: ledgerOf(`5`)},
		{Done: 6, Commands: commands(6, 66, 67)},
		{Done: 6, Drop: 2, Commands: commands(7)},
		{Done: 6, Drop: 1},
		{Done: 7, Records: []machine.Record{record("keeper", "stands", `3`)}, Snapshot: ledgerOf(`90`), Replace: true},
		{Done: 8, Commands: commands(91)},
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
func model(writes []machine.Write) map[string]bool {
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
		if w.Replace {
			forms = []form{{ledger: slices.Collect(w.Snapshot)}}
			continue
		}
		for i := range forms {
			kept := forms[i].commands[:len(forms[i].commands)-w.Drop]
			forms[i].commands = append(slices.Clone(kept), w.Commands...)
		}
		if w.Snapshot != nil {
			forms = append(forms, form{ledger: slices.Collect(w.Snapshot)})
		}
	}
	slices.SortFunc(own, func(a, b machine.Record) int { return strings.Compare(a.Key, b.Key) })
	out := map[string]bool{}
	for _, f := range forms {
		out[told(machine.Stored{Records: slices.Concat(own, f.ledger), Commands: f.commands})] = true
	}
	return out
}

// runUntilPowerIsLost plays the script and gives how many batches were reported.
func runUntilPowerIsLost(files *faultyFiles, writes []machine.Write) (reported int) {
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
		files := newFiles()
		files.limit = limit
		reported := runUntilPowerIsLost(files, writes)
		files.disks(func(name string, disk *faultyFiles) {
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
func checkDisk(t *testing.T, name string, disk *faultyFiles, writes []machine.Write, reported int) {
	t.Helper()
	want := model(writes[:reported])
	if reported < len(writes) {
		for form := range model(writes[:reported+1]) {
			want[form] = true
		}
	}
	s, stored, err := open(disk, "d")
	if err != nil {
		t.Errorf("%s: %v", name, err)
		return
	}
	if got := told(stored); !want[got] {
		t.Errorf("%s: found %s, want one of %v", name, got, want)
	}
	// What was found is promised, so power lost again at once must not take it, nor what
	// is reported from now on. The snapshot that is begun never comes to its end.
	wantEverywhere(t, name, disk, stored)
	s.pause = func(time.Duration) bool { return false }
	for i, w := range []machine.Write{
		{Commands: commands(1000), Snapshot: ledgerOf(`1000`)},
		{Commands: commands(1001)},
	} {
		if err := s.Write(w); err != nil {
			t.Errorf("%s: %v", name, err)
		}
		s.background.Wait()
		stored.Commands = append(stored.Commands, commands(1000+i)...)
		wantEverywhere(t, name, disk, stored)
	}
}

// wantEverywhere wants the same on every disk that may be there after a loss of power.
func wantEverywhere(t *testing.T, name string, disk *faultyFiles, want machine.Stored) {
	t.Helper()
	disk.disks(func(again string, lost *faultyFiles) {
		_, found, err := open(lost, "d")
		if err != nil {
			t.Errorf("%s, then %s: %v", name, again, err)
			return
		}
		if diff := cmp.Diff(told(want), told(found)); diff != "" {
			t.Errorf("%s, then %s: %s", name, again, diff)
		}
	})
}

// TestAProcessEndsThenPowerIsLost has another process go on with what the ended one
// has left in the memory of the machine, and only then loses power.
func TestAProcessEndsThenPowerIsLost(t *testing.T) {
	writes := script()
	for limit := 1; ; limit++ {
		files := newFiles()
		files.limit = limit
		reported := runUntilPowerIsLost(files, writes)
		done := reported == len(writes) && files.calls < limit
		files.limit = 0
		checkDisk(t, fmt.Sprintf("call %d, %d reported", limit, reported), files, writes, reported)
		if t.Failed() || done {
			break
		}
	}
}

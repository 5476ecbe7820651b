// What earlier commits wrote is read as it was recorded then.

package compatibility

import (
	"bytes"
	"encoding/json"
	"flag"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"testing"

	"sorrelloom/core/machine"
	"sorrelloom/core/state"
	"sorrelloom/daemon/audit"
)

// update writes the fixture of the present code to a folder of its own. Fixtures of
// earlier commits are never written again.
var update = flag.String("update", "", "write the fixture of the commit with this short hash")

const (
	testdata     = "testdata"
	stateFile    = "ledger.json"
	replicasFile = "replicas.json"
	auditFolder  = "audit"
	diskFolder   = "disks"
)

// commits are those that fixtures are of.
var commits = []string{"40d3d2c", "f9b545f"}

var clusters = []struct {
	name   string
	copies int
}{{"f1", 1}, {"f2", 2}}

// eachFixture runs a test for every cluster of every commit.
func eachFixture(t *testing.T, test func(t *testing.T, folder string, copies int)) {
	for _, commit := range commits {
		for _, c := range clusters {
			t.Run(commit+"/"+c.name, func(t *testing.T) { test(t, filepath.Join(testdata, commit, c.name), c.copies) })
		}
	}
}

// addresses are those of the replicas of a fixture.
func addresses(t *testing.T, folder string, copies int) []string {
	t.Helper()
	entries, err := os.ReadDir(filepath.Join(folder, diskFolder))
	if err != nil {
		t.Fatal(err)
	}
	var out []string
	for _, e := range entries {
		out = append(out, e.Name())
	}
	if len(out) != 2*copies+1 {
		t.Fatalf("%s has the replicas %v, want %d", folder, out, 2*copies+1)
	}
	return out
}

// openAll opens every data folder of a fixture.
func openAll(t *testing.T, folder string, copies int) map[string]opened {
	t.Helper()
	out := map[string]opened{}
	for _, address := range addresses(t, folder, copies) {
		out[address] = open(t, filepath.Join(folder, diskFolder, address))
	}
	return out
}

func golden(t *testing.T, path string) []byte {
	t.Helper()
	data, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	return data
}

// compare says where two texts begin to differ.
func compare(t *testing.T, what string, want, got []byte) {
	t.Helper()
	if bytes.Equal(want, got) {
		return
	}
	wanted, gotten := bytes.Split(want, []byte("\n")), bytes.Split(got, []byte("\n"))
	for i := range min(len(wanted), len(gotten)) {
		if !bytes.Equal(wanted[i], gotten[i]) {
			t.Errorf("%s differs at line %d:\n want %s\n  got %s", what, i+1, wanted[i], gotten[i])
			return
		}
	}
	t.Errorf("%s has %d lines, want %d", what, len(gotten), len(wanted))
}

// TestLedgerIsReadAsRecorded starts every replica and compares its whole state.
func TestStateIsReadAsRecorded(t *testing.T) {
	eachFixture(t, func(t *testing.T, folder string, copies int) {
		want := golden(t, filepath.Join(folder, stateFile))
		for address, o := range openAll(t, folder, copies) {
			compare(t, "the state of "+address, want, canonical(t, o.replica.Store().Records()))
		}
	})
}

// TestReplicaIsReadAsRecorded compares what each replica knows of itself and of views.
func TestReplicaIsReadAsRecorded(t *testing.T) {
	eachFixture(t, func(t *testing.T, folder string, copies int) {
		want := golden(t, filepath.Join(folder, replicasFile))
		compare(t, "what the replicas know", want, canonical(t, statesOf(t, openAll(t, folder, copies))))
	})
}

func statesOf(t *testing.T, replicas map[string]opened) map[string]replicaState {
	t.Helper()
	states := map[string]replicaState{}
	for address, o := range replicas {
		states[address] = o.state(t)
	}
	return states
}

// TestCommandsAreEncodedAsLogged decodes each logged command and encodes it again,
// which gives the same bytes only if no name and no form has changed.
func TestCommandsAreEncodedAsLogged(t *testing.T) {
	eachFixture(t, func(t *testing.T, folder string, copies int) {
		for address, o := range openAll(t, folder, copies) {
			for i, encoded := range slices.Concat(o.stored.CommandsBeforeSnapshot, o.stored.Commands) {
				cmd, err := state.Decode(encoded)
				if err != nil {
					t.Fatalf("%s, command %d: %v", address, i, err)
				}
				if again := state.Encode(cmd.Command).Encoded; !bytes.Equal(again, encoded) {
					t.Errorf("%s, command %d (%s) is encoded as\n %q, was\n %q", address, i, cmd.Kind, again, encoded)
				}
			}
		}
	})
}

// TestSnapshotIsEncodedAsStored loads the records of each snapshot and encodes the
// state again, without the log after it.
func TestSnapshotIsEncodedAsStored(t *testing.T) {
	eachFixture(t, func(t *testing.T, folder string, copies int) {
		for address, o := range openAll(t, folder, copies) {
			var stored []machine.Record
			for _, r := range o.stored.Records {
				if r.Bucket != ownBucket {
					stored = append(stored, r)
				}
			}
			l, err := state.Load(stored)
			if err != nil {
				t.Fatal(err)
			}
			compare(t, "the snapshot of "+address, canonical(t, stored), canonical(t, l.Records()))
		}
	})
}

// TestAuditLogsAreVerified checks the audit logs of all replicas that have led, and that
// their entries keep their names.
func TestAuditLogsAreVerified(t *testing.T) {
	eachFixture(t, func(t *testing.T, folder string, _ int) {
		logs := auditLogs(t, folder)
		report, err := audit.Verify(logs, nil)
		if err != nil || len(report.Findings) > 0 {
			t.Errorf("%+v, %v", report, err)
		}
		distinct := map[string]bool{}
		for _, log := range logs {
			entries := auditEntries(t, log)
			checkpoint := bytes.Split(golden(t, filepath.Join(log, "checkpoint")), []byte("\n"))
			if signed := string(checkpoint[1]); signed != strconv.Itoa(len(entries)) {
				t.Errorf("%s has %d entries, %s are signed", log, len(entries), signed)
			}
			for _, line := range entries {
				var e state.AuditEntry
				if err := json.Unmarshal(line, &e); err != nil {
					t.Fatal(err)
				}
				distinct[string(line)] = true
				compare(t, "an entry of "+log, line, machine.MustJSON(e))
			}
		}
		if report.EntryCount != len(distinct) {
			t.Errorf("%d entries are verified, want %d", report.EntryCount, len(distinct))
		}
	})
}

// TestAuditLogsAreContinued opens copies of the audit logs to write on.
func TestAuditLogsAreContinued(t *testing.T) {
	eachFixture(t, func(t *testing.T, folder string, _ int) {
		for _, log := range auditLogs(t, folder) {
			scratch := t.TempDir()
			if err := os.CopyFS(scratch, os.DirFS(log)); err != nil {
				t.Fatal(err)
			}
			if _, err := audit.Open(scratch, "again"); err != nil {
				t.Errorf("%s: %v", log, err)
			}
		}
	})
}

// auditLogs gives the folders of a fixture's audit logs.
func auditLogs(t *testing.T, folder string) []string {
	t.Helper()
	logs, err := filepath.Glob(filepath.Join(folder, diskFolder, "*", auditFolder))
	if err != nil || len(logs) < 2 {
		t.Fatalf("the audit logs %v, %v", logs, err)
	}
	return logs
}

func auditEntries(t *testing.T, log string) [][]byte {
	t.Helper()
	return bytes.Split(bytes.TrimSpace(golden(t, filepath.Join(log, "entries.jsonl"))), []byte("\n"))
}

// These tests check that data written by earlier commits is read as it was recorded then.

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

// update is the flag for writing the fixture of the current commit to a new directory.
// Fixtures of earlier commits are never rewritten.
var update = flag.String("update", "", "write the fixture of the commit with this short hash")

const (
	testdata     = "testdata"
	stateFile    = "ledger.json"
	replicasFile = "replicas.json"
	auditFolder  = "audit"
	diskFolder   = "disks"
)

// commits are the commits that have fixtures.
var commits = []string{"40d3d2c", "f9b545f"}

var clusters = []struct {
	name    string
	backups int
}{{"f1", 1}, {"f2", 2}}

// forEachFixture runs a test for every cluster of every commit.
func forEachFixture(t *testing.T, test func(t *testing.T, folder string, backups int)) {
	for _, commit := range commits {
		for _, c := range clusters {
			t.Run(commit+"/"+c.name, func(t *testing.T) { test(t, filepath.Join(testdata, commit, c.name), c.backups) })
		}
	}
}

// addresses returns the addresses of a fixture's replicas.
func addresses(t *testing.T, folder string, backups int) []string {
	t.Helper()
	entries, err := os.ReadDir(filepath.Join(folder, diskFolder))
	if err != nil {
		t.Fatal(err)
	}
	var out []string
	for _, e := range entries {
		out = append(out, e.Name())
	}
	if len(out) != 2*backups+1 {
		t.Fatalf("%s contains the replicas %v, want %d of them", folder, out, 2*backups+1)
	}
	return out
}

// openAll opens every data directory of a fixture.
func openAll(t *testing.T, folder string, backups int) map[string]opened {
	t.Helper()
	out := map[string]opened{}
	for _, address := range addresses(t, folder, backups) {
		out[address] = open(t, filepath.Join(folder, diskFolder, address))
	}
	return out
}

func readGolden(t *testing.T, path string) []byte {
	t.Helper()
	data, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	return data
}

// compare reports the first line in which two texts differ.
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

// TestStateIsReadAsRecorded starts every replica and compares its complete state.
func TestStateIsReadAsRecorded(t *testing.T) {
	forEachFixture(t, func(t *testing.T, folder string, backups int) {
		want := readGolden(t, filepath.Join(folder, stateFile))
		for address, o := range openAll(t, folder, backups) {
			compare(t, "the state of "+address, want, canonical(t, o.replica.Store().Records()))
		}
	})
}

// TestReplicaIsReadAsRecorded compares each replica's identity, Paxos acceptor, candidacy and
// founders.
func TestReplicaIsReadAsRecorded(t *testing.T) {
	forEachFixture(t, func(t *testing.T, folder string, backups int) {
		want := readGolden(t, filepath.Join(folder, replicasFile))
		compare(t, "the replicas' own records", want, canonical(t, statesOf(t, openAll(t, folder, backups))))
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

// TestCommandsAreEncodedAsLogged decodes each logged command and encodes it again. The bytes
// are the same only if no field name and no format has changed.
func TestCommandsAreEncodedAsLogged(t *testing.T) {
	forEachFixture(t, func(t *testing.T, folder string, backups int) {
		for address, o := range openAll(t, folder, backups) {
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

// TestSnapshotIsEncodedAsStored loads the records of each snapshot without the log after it,
// and encodes the state again.
func TestSnapshotIsEncodedAsStored(t *testing.T) {
	forEachFixture(t, func(t *testing.T, folder string, backups int) {
		for address, o := range openAll(t, folder, backups) {
			var stored []machine.Record
			for _, r := range o.stored.Records {
				if r.Bucket != replicaBucket {
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

// TestAuditLogsAreVerified verifies the audit logs of all replicas that were primary, and
// checks that the field names of their entries are unchanged.
func TestAuditLogsAreVerified(t *testing.T) {
	forEachFixture(t, func(t *testing.T, folder string, _ int) {
		logs := auditLogs(t, folder)
		report, err := audit.Verify(logs, nil)
		if err != nil || len(report.Findings) > 0 {
			t.Errorf("%+v, %v", report, err)
		}
		distinct := map[string]bool{}
		for _, log := range logs {
			entries := auditEntries(t, log)
			checkpoint := bytes.Split(readGolden(t, filepath.Join(log, "checkpoint")), []byte("\n"))
			if signed := string(checkpoint[1]); signed != strconv.Itoa(len(entries)) {
				t.Errorf("%s has %d entries, but its checkpoint covers %s", log, len(entries), signed)
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
			t.Errorf("%d entries were verified, want %d", report.EntryCount, len(distinct))
		}
	})
}

// TestAuditLogsAreContinued opens copies of the audit logs for appending.
func TestAuditLogsAreContinued(t *testing.T) {
	forEachFixture(t, func(t *testing.T, folder string, _ int) {
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

// auditLogs returns the directories of a fixture's audit logs.
func auditLogs(t *testing.T, folder string) []string {
	t.Helper()
	logs, err := filepath.Glob(filepath.Join(folder, diskFolder, "*", auditFolder))
	if err != nil || len(logs) < 2 {
		t.Fatalf("found the audit logs %v, %v", logs, err)
	}
	return logs
}

func auditEntries(t *testing.T, log string) [][]byte {
	t.Helper()
	return bytes.Split(bytes.TrimSpace(readGolden(t, filepath.Join(log, "entries.jsonl"))), []byte("\n"))
}

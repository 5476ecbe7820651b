// This file writes the fixture of the current commit.

package compatibility

import (
	"encoding/json"
	"os"
	"path/filepath"
	"testing"

	"sorrelloom/core/machine"
	"sorrelloom/daemon/audit"
)

// TestWriteFixture writes the fixture of the current commit if -update is set:
//
//	go test ./compatibility -run TestWriteFixture -update "$(git rev-parse --short HEAD)"
func TestWriteFixture(t *testing.T) {
	if *update == "" {
		return // Nothing to check: the fixture is only written on demand.
	}
	if _, err := os.Stat(filepath.Join(testdata, *update)); err == nil {
		t.Fatalf("the fixture of %s already exists", *update)
	}
	for _, c := range clusters {
		writeFixture(t, filepath.Join(testdata, *update, c.name), c.backups)
	}
}

func writeFixture(t *testing.T, folder string, backups int) {
	disks := filepath.Join(folder, diskFolder)
	c := newCluster(t, disks, backups)
	s := &script{cluster: c}
	s.forgetJob()
	s.round("r1-")
	c.snapshot(disks)
	c.diverge()
	s.round("r2-")
	s.suppressTimers()
	c.advance(2 * gossipInterval)
	c.leaveUndecidedView()
	c.close()
	for _, r := range c.replicas {
		if len(r.auditEntries) > 0 {
			writeAudit(t, filepath.Join(disks, r.address, auditFolder), r.replica.ID(), r.auditEntries)
		}
	}
	writeGolden(t, folder, backups)
}

// writeAudit writes all entries to a signed audit log. The secret key is not kept.
func writeAudit(t *testing.T, folder, identity string, entries []machine.AuditEntry) {
	log, err := audit.Open(folder, identity)
	if err != nil {
		t.Fatal(err)
	}
	log.Run()
	for _, e := range entries {
		if !log.TryAppend(e) {
			t.Fatal("an audit entry was dropped")
		}
	}
	waitFor(t, "the checkpoint", func() bool {
		_, err := os.Stat(filepath.Join(folder, "checkpoint"))
		return err == nil
	})
	if err := os.Remove(filepath.Join(folder, "secret.key")); err != nil {
		t.Fatal(err)
	}
}

func writeGolden(t *testing.T, folder string, backups int) {
	replicas := openAll(t, folder, backups)
	for address, o := range replicas {
		path := filepath.Join(folder, stateFile)
		state := canonical(t, o.replica.Store().Records())
		if recorded, err := os.ReadFile(path); err == nil {
			compare(t, "the state of "+address, recorded, state)
		}
		writeFile(t, path, state)
	}
	writeFile(t, filepath.Join(folder, replicasFile), canonical(t, statesOf(t, replicas)))
}

func writeFile(t *testing.T, path string, data json.RawMessage) {
	if err := os.WriteFile(path, data, 0o644); err != nil {
		t.Fatal(err)
	}
}

// Writing the fixture of the present code.

package compatibility

import (
	"encoding/json"
	"os"
	"path/filepath"
	"testing"

	"sorrelloom/core/machine"
	"sorrelloom/daemon/audit"
)

// TestWriteFixture writes the fixture, if asked to:
//
//	go test ./compatibility -run TestWriteFixture -update "$(git rev-parse --short HEAD)"
func TestWriteFixture(t *testing.T) {
	if *update == "" {
		return // Nothing is checked here; the fixture is written on demand only.
	}
	if _, err := os.Stat(filepath.Join(testdata, *update)); err == nil {
		t.Fatalf("there is a fixture of %s already", *update)
	}
	for _, c := range clusters {
		writeFixture(t, filepath.Join(testdata, *update, c.name), c.copies)
	}
}

func writeFixture(t *testing.T, folder string, copies int) {
	disks := filepath.Join(folder, diskFolder)
	c := newCluster(t, disks, copies)
	s := &script{cluster: c}
	s.history()
	s.round("r1-")
	c.snapshot(disks)
	c.diverge()
	s.round("r2-")
	s.still()
	c.pass(2 * gossipEach)
	c.leaveVotes()
	c.close()
	for _, r := range c.replicas {
		if len(r.audits) > 0 {
			writeAudit(t, filepath.Join(disks, r.address, auditFolder), r.replica.ID(), r.audits)
		}
	}
	writeGolden(t, folder, copies)
}

// writeAudit has the audit log of a replica write and sign all entries. The key that signed them
// is not kept.
func writeAudit(t *testing.T, folder, identity string, entries []machine.AuditEntry) {
	log, err := audit.Open(folder, identity)
	if err != nil {
		t.Fatal(err)
	}
	log.Run()
	for _, e := range entries {
		if !log.TryAppend(e) {
			t.Fatal("an entry was dropped")
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

func writeGolden(t *testing.T, folder string, copies int) {
	replicas := openAll(t, folder, copies)
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

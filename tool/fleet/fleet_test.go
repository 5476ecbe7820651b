package fleet

import (
	"os"
	"path/filepath"
	"testing"
	"time"
)

// TestRestartOfExitedProcess checks that a process that exited by itself, as a replica with a
// full disk does, can be restarted and wiped but not killed.
func TestRestartOfExitedProcess(t *testing.T) {
	directory := t.TempDir()
	program := filepath.Join(directory, programs[RoleReplica])
	if err := os.WriteFile(program, []byte("#!/bin/sh\nexit 4\n"), 0o700); err != nil {
		t.Fatal(err)
	}
	replica := &Process{Name: "keeper-1", Role: RoleReplica}
	f := &Fleet{
		config:    Config{BinaryDir: directory, Directory: directory},
		processes: map[string]*Process{replica.Name: replica},
	}
	for range 2 {
		if err := f.StartProcess(replica.Name); err != nil {
			t.Fatal(err)
		}
		select {
		case <-replica.exited:
		case <-time.After(10 * time.Second):
			t.Fatal("the process did not exit")
		}
	}
	if err := f.Kill(replica.Name); err == nil {
		t.Error("killing an exited process succeeded")
	}
	if err := f.WipeData(replica.Name); err != nil {
		t.Errorf("wiping an exited replica failed: %v", err)
	}
}

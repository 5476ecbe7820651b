package fleet

import (
	"os"
	"path/filepath"
	"testing"
	"time"
)

// TestRestartOfExitedProcess starts a program that ends by itself, as a replica does whose
// disk is full, and starts it again.
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
			t.Fatal("it does not end")
		}
	}
	if err := f.Kill(replica.Name); err == nil {
		t.Error("a process that ended was killed")
	}
	if err := f.WipeData(replica.Name); err != nil {
		t.Errorf("a replica that ended cannot be wiped: %v", err)
	}
}

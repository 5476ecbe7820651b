package fleet

import (
	"os"
	"path/filepath"
	"testing"
	"time"
)

// TestAMemberThatEndedIsRunAgain starts a program that ends by itself, as a keeper
// does whose disk is full, and starts it again.
func TestRestartOfExitedProcess(t *testing.T) {
	folder := t.TempDir()
	program := filepath.Join(folder, "keeper")
	if err := os.WriteFile(program, []byte("#!/bin/sh\nexit 4\n"), 0o700); err != nil {
		t.Fatal(err)
	}
	member := &Process{Name: "keeper-1", Role: "keeper"}
	f := &Fleet{config: Config{BinaryDir: folder, Directory: folder}, processes: map[string]*Process{member.Name: member}}
	for range 2 {
		if err := f.StartProcess(member.Name); err != nil {
			t.Fatal(err)
		}
		select {
		case <-member.exited:
		case <-time.After(10 * time.Second):
			t.Fatal("it does not end")
		}
	}
	if err := f.Kill(member.Name); err == nil {
		t.Error("a member that ended was killed")
	}
	if err := f.WipeData(member.Name); err != nil {
		t.Errorf("a keeper that ended cannot be emptied: %v", err)
	}
}

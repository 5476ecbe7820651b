// Package run contains the main function of all daemons. It reads the settings, opens the
// storage, runs the daemon's state machine and the gossip membership, and serves HTTP. On a
// signal, it hands over leadership before it exits.
package run

import (
	"errors"
	"fmt"
	"os"

	"sorrelloom/core/machine"
	"sorrelloom/daemon/host"
	"sorrelloom/daemon/logging"
	"sorrelloom/daemon/settings"
	"sorrelloom/daemon/storage"
	"sorrelloom/daemon/web"
)

// Exit codes of a daemon.
const (
	exitOK = iota
	// exitListen: an address cannot be listened on.
	exitListen
	// exitUsage: the settings are invalid.
	exitUsage
	// exitStorage: the data directory cannot be used.
	exitStorage
	// exitWriteFailed: a write to the data directory has failed.
	exitWriteFailed
)

// Daemon is what a program builds from its settings.
type Daemon struct {
	// ID identifies the daemon in the membership.
	ID      string
	Machine machine.Machine
	// Diagnostics returns the health, status and metrics that the daemon serves over HTTP.
	Diagnostics func(h *host.Host, r *host.Runner) web.Diagnostics
	// API says whether the daemon serves the HTTP API.
	API bool
}

// BuildFunc builds a daemon from its settings and, for a replica, its stored state.
type BuildFunc func(settings.Settings, machine.StoredState) (Daemon, error)

// Main runs a daemon until it is stopped, and returns the exit code.
func Main(role string, isReplica bool, build BuildFunc) int {
	s, err := settings.Parse(role, isReplica, os.Args[1:])
	if errors.Is(err, settings.ErrInfoPrinted) {
		return exitOK
	}
	if err != nil {
		return fail(exitUsage, err)
	}
	logging.Init(role + "@" + s.Address)
	var store *storage.Store
	var stored machine.StoredState
	if isReplica {
		if store, stored, err = storage.Open(s.DataDir); err != nil {
			return fail(exitStorage, err)
		}
	}
	daemon, err := build(s, stored)
	if err != nil {
		return fail(exitStorage, fmt.Errorf("data directory %s: %w", s.DataDir, err))
	}
	p := newProcess(role, s, daemon, store)
	if err := p.start(); err != nil {
		return fail(exitListen, err)
	}
	return p.serve()
}

func fail(exitCode int, err error) int {
	fmt.Fprintln(os.Stderr, err)
	return exitCode
}

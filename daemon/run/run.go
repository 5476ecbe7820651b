// Package run is the frame of every daemon: settings, the member machine beside
// the daemon's own, HTTP, signals, and a stop that hands over first.
package run

import (
	"context"
	"crypto/rand"
	"encoding/binary"
	"encoding/hex"
	"errors"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"time"

	"sorrelloom/core/machine"
	"sorrelloom/core/membership"
	"sorrelloom/core/wire"
	"sorrelloom/daemon/audit"
	"sorrelloom/daemon/host"
	"sorrelloom/daemon/logging"
	"sorrelloom/daemon/settings"
	"sorrelloom/daemon/storage"
	"sorrelloom/daemon/web"
)

const stopTimeout = 5 * time.Second

// Built is what a program makes of its settings.
type Daemon struct {
	ID          string
	Machine     machine.Machine
	Diagnostics func(h *host.Host, s *host.Runner) web.Diagnostics
	API         bool
}

// Chance draws numbers for identities; the machines themselves draw none.
func RandomID() uint64 {
	var b [8]byte
	if _, err := rand.Read(b[:]); err != nil {
		panic(err)
	}
	return binary.LittleEndian.Uint64(b[:]) >> 1
}

func RandomHexID() string {
	var b [8]byte
	binary.BigEndian.PutUint64(b[:], RandomID())
	return hex.EncodeToString(b[:])
}

// Main runs one daemon to its end and gives the exit code.
func Main(role string, keeper bool, build func(settings.Settings, machine.StoredState) (Daemon, error)) int {
	e, err := settings.Parse(role, keeper, os.Args[1:])
	if errors.Is(err, settings.ErrInfoPrinted) {
		return 0
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	logging.Init(role + "@" + e.Address)
	var data *storage.Store
	var stored machine.StoredState
	if keeper {
		if data, stored, err = storage.Open(e.DataDir); err != nil {
			fmt.Fprintln(os.Stderr, err)
			return 3
		}
	}
	built, err := build(e, stored)
	if err != nil {
		fmt.Fprintf(os.Stderr, "data folder %s: %v\n", e.DataDir, err)
		return 3
	}
	failed := make(chan error, 1)
	h := host.New(e.Address, e.ListenAddress, data, func(err error) {
		select {
		case failed <- err:
		default:
		}
	})
	main := h.Add(built.Machine)
	if e.AuditEnabled {
		// The audit must never stop scheduling: without it the keeper goes on.
		if log, err := audit.Open(filepath.Join(e.DataDir, "audit"), built.ID); err != nil {
			logging.Info("audit_failed", "why", err.Error())
		} else {
			h.OnAuditEntry = func(a machine.AuditEntry) {
				if !log.TryAppend(a) {
					logging.Info("audit_dropped", "sequence", a.Index)
				}
			}
			log.Run()
		}
	}
	h.Add(membership.New(membership.Config{
		Self:  wire.Node{ID: built.ID, Role: role, Zone: e.Zone, Address: e.Address, HTTPAddress: e.HTTPAddress, Incarnation: time.Now().UnixMilli()},
		Seeds: e.Seeds, Seed: RandomID(),
	}), wire.KindShuffle, wire.KindShuffleReply)
	server := web.New(settings.MustListen(e.HTTPAddress), built.Diagnostics(h, main))
	if built.API {
		server.ServeAPI(main)
	}
	if err := h.Run(); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	server.Run()
	logging.Info("started", "version", settings.Release, "site", e.Zone, "http", e.HTTPAddress, "id", built.ID)
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	select {
	case err := <-failed:
		logging.Info("store_failed", "why", err.Error())
		return 4
	case <-signals:
	}
	logging.Info("stopping")
	main.Step(machine.Input{Stop: true})
	select {
	case <-h.Stopped():
	case <-time.After(stopTimeout):
		logging.Info("stop_hurried", "why", "the hand-over took too long")
	case err := <-failed:
		logging.Info("store_failed", "why", err.Error())
	}
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	server.Close(ctx)
	h.Close()
	logging.Info("stopped")
	return 0
}

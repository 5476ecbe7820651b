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
	"sorrelloom/core/member"
	"sorrelloom/core/wire"
	"sorrelloom/daemon/audit"
	"sorrelloom/daemon/env"
	"sorrelloom/daemon/host"
	"sorrelloom/daemon/logline"
	"sorrelloom/daemon/store"
	"sorrelloom/daemon/web"
)

const stopWait = 5 * time.Second

// Built is what a program makes of its settings.
type Built struct {
	ID      string
	Machine machine.Machine
	Page    func(h *host.Host, s *host.Shard) web.Page
	API     bool
}

// Chance draws numbers for identities; the machines themselves draw none.
func Chance() uint64 {
	var b [8]byte
	if _, err := rand.Read(b[:]); err != nil {
		panic(err)
	}
	return binary.LittleEndian.Uint64(b[:]) >> 1
}

func ChanceID() string {
	var b [8]byte
	binary.BigEndian.PutUint64(b[:], Chance())
	return hex.EncodeToString(b[:])
}

// Main runs one daemon to its end and gives the exit code.
func Main(role string, keeper bool, build func(env.Env, machine.Stored) (Built, error)) int {
	e, err := env.Parse(role, keeper, os.Args[1:])
	if errors.Is(err, env.ErrShown) {
		return 0
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	logline.Init(role + "@" + e.Address)
	defer logline.Flush()
	var data *store.Store
	var stored machine.Stored
	if keeper {
		if data, stored, err = store.Open(e.Data); err != nil {
			fmt.Fprintln(os.Stderr, err)
			return 3
		}
	}
	built, err := build(e, stored)
	if err != nil {
		fmt.Fprintf(os.Stderr, "data folder %s: %v\n", e.Data, err)
		return 3
	}
	failed := make(chan error, 1)
	h := host.New(e.Address, e.Listen, data, func(err error) {
		select {
		case failed <- err:
		default:
		}
	})
	main := h.Add(built.Machine)
	if e.Audit {
		// The audit must never stop scheduling: without it the keeper goes on.
		if log, err := audit.Open(filepath.Join(e.Data, "audit"), built.ID); err != nil {
			logline.Event("audit_failed", "why", err.Error())
		} else {
			h.Audit = func(a machine.Audit) {
				if !log.Put(a) {
					logline.Event("audit_dropped", "sequence", a.Sequence)
				}
			}
			log.Run()
		}
	}
	h.Add(member.New(member.Env{
		Self:  wire.Node{ID: built.ID, Role: role, Site: e.Site, Address: e.Address, HTTP: e.HTTP, Incarnation: time.Now().UnixMilli()},
		Seeds: e.Seeds, Seed: Chance(),
	}), wire.Shuffle, wire.ShuffleBack)
	server := web.New(env.MustListen(e.HTTP), built.Page(h, main))
	if built.API {
		server.API(main)
	}
	if err := h.Run(); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	server.Run()
	logline.Event("started", "version", env.Release, "site", e.Site, "http", e.HTTP, "id", built.ID)
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	select {
	case err := <-failed:
		logline.Event("store_failed", "why", err.Error())
		return 4
	case <-signals:
	}
	logline.Event("stopping")
	main.Step(machine.Input{Stop: true})
	select {
	case <-h.Stopped():
	case <-time.After(stopWait):
		logline.Event("stop_hurried", "why", "the hand-over took too long")
	case err := <-failed:
		logline.Event("store_failed", "why", err.Error())
	}
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	server.Close(ctx)
	h.Close()
	logline.Event("stopped")
	return 0
}

// Package scale plays the daemons at sizes that no machine here has: real core
// processes, each a keeper with the dispatcher and its own disk, and hollow
// daemons and workers, many to a process, that speak the real lines. It reports
// what each cost.
package scale

import (
	"encoding/json"
	"fmt"
	"os"
	"os/signal"
	"runtime/pprof"
	"strings"
	"syscall"
	"time"

	"sorrelloom/core/control"
	"sorrelloom/core/membership"
	"sorrelloom/core/wire"
	"sorrelloom/daemon/host"
	"sorrelloom/daemon/logging"
	"sorrelloom/daemon/run"
	"sorrelloom/daemon/storage"
)

// Core is what one core process is started with.
type CoreConfig struct {
	Address          string
	Zone             string
	DataDir          string
	BootstrapMembers string
	ProfilePath      string
}

// RunCore is a core process until it is told to end.
func RunCore(c CoreConfig) error {
	logging.Init("core@" + c.Address)
	data, stored, err := storage.Open(c.DataDir)
	if err != nil {
		return err
	}
	founders := strings.Split(c.BootstrapMembers, ",")
	main, err := control.New(control.Config{
		Address: c.Address, Zone: c.Zone, Founders: founders, NewID: run.RandomHexID(), BootID: run.RandomID(),
	}, stored)
	if err != nil {
		return err
	}
	failed := make(chan error, 1)
	h := host.New(c.Address, c.Address, data, func(err error) { failed <- err })
	shard := h.Add(main)
	h.Add(membership.New(membership.Config{
		Self:  wire.Node{ID: main.ID(), Role: "keeper", Zone: c.Zone, Address: c.Address, Incarnation: time.Now().UnixMilli()},
		Seeds: founders, Seed: run.RandomID(),
	}), wire.KindShuffle, wire.KindShuffleReply)
	if c.ProfilePath != "" {
		f, err := os.Create(c.ProfilePath)
		if err != nil {
			return err
		}
		if err := pprof.StartCPUProfile(f); err != nil {
			return err
		}
		defer pprof.StopCPUProfile()
	}
	if err := h.Run(); err != nil {
		return err
	}
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	select {
	case err = <-failed:
	case <-signals:
	}
	shard.Inspect(func() {
		counters, _ := json.Marshal(main.Scheduler().Counters())
		k := main.Replica()
		fmt.Fprintf(os.Stderr, "batches=%d serving=%v counters=%s\n", k.WritesIssued(), k.Serving(), counters)
	})
	h.Close()
	return err
}

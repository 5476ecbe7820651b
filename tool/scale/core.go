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

	"sorrelloom/core/center"
	"sorrelloom/core/member"
	"sorrelloom/core/wire"
	"sorrelloom/daemon/host"
	"sorrelloom/daemon/logline"
	"sorrelloom/daemon/run"
	"sorrelloom/daemon/store"
)

// Core is what one core process is started with.
type Core struct {
	Address  string
	Site     string
	Data     string
	Founders string
	Profile  string
}

// RunCore is a core process until it is told to end.
func RunCore(c Core) error {
	logline.Init("core@" + c.Address)
	defer logline.Flush()
	data, stored, err := store.Open(c.Data)
	if err != nil {
		return err
	}
	founders := strings.Split(c.Founders, ",")
	main, err := center.New(center.Env{Address: c.Address, Site: c.Site, Founders: founders, FreshID: run.ChanceID(), Boot: run.Chance()}, stored)
	if err != nil {
		return err
	}
	failed := make(chan error, 1)
	h := host.New(c.Address, c.Address, data, func(err error) { failed <- err })
	shard := h.Add(main)
	h.Add(member.New(member.Env{
		Self:  wire.Node{ID: main.ID(), Role: "keeper", Site: c.Site, Address: c.Address, Incarnation: time.Now().UnixMilli()},
		Seeds: founders, Seed: run.Chance(),
	}), wire.Shuffle, wire.ShuffleBack)
	if c.Profile != "" {
		f, err := os.Create(c.Profile)
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
	shard.Look(func() {
		counters, _ := json.Marshal(main.Scheduler().Counters())
		fmt.Fprintf(os.Stderr, "batches=%d serving=%v counters=%s\n", main.Keeper().Batches(), main.Keeper().Serving(), counters)
	})
	h.Close()
	return err
}

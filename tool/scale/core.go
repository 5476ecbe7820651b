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

// CoreConfig is the configuration of one core process.
type CoreConfig struct {
	Address string
	Zone    string
	DataDir string
	// BootstrapMembers are the comma-separated addresses of the bootstrap members.
	BootstrapMembers string
	// ProfilePath is the file to write a CPU profile to; empty disables profiling.
	ProfilePath string
}

// RunCore runs a core process until it fails or receives SIGTERM or SIGINT, then prints its
// counters to standard error.
func RunCore(config CoreConfig) error {
	logging.Init("core@" + config.Address)
	data, stored, err := storage.Open(config.DataDir)
	if err != nil {
		return err
	}
	members := strings.Split(config.BootstrapMembers, ",")
	process, err := control.New(control.Config{
		Address: config.Address, Zone: config.Zone, Founders: members,
		NewID: run.RandomHexID(), BootID: run.RandomID(),
	}, stored)
	if err != nil {
		return err
	}
	failed := make(chan error, 1)
	h := host.New(config.Address, config.Address, data, func(err error) { failed <- err })
	runner := h.Add(process)
	h.Add(newMembership(config, process.ID(), members), wire.KindShuffle, wire.KindShuffleReply)
	if config.ProfilePath != "" {
		if err := startProfile(config.ProfilePath); err != nil {
			return err
		}
		defer pprof.StopCPUProfile()
	}
	if err := h.Run(); err != nil {
		return err
	}
	err = waitForShutdown(failed)
	runner.Inspect(func() { printCounters(process) })
	h.Close()
	return err
}

func newMembership(config CoreConfig, id string, seeds []string) *membership.Gossiper {
	return membership.New(membership.Config{
		Self: wire.Node{
			ID: id, Role: wire.RoleReplica, Zone: config.Zone, Address: config.Address,
			Incarnation: time.Now().UnixMilli(),
		},
		Seeds: seeds, RandomSeed: run.RandomID(),
	})
}

func startProfile(path string) error {
	file, err := os.Create(path)
	if err != nil {
		return err
	}
	return pprof.StartCPUProfile(file)
}

// waitForShutdown waits until the process fails or receives SIGTERM or SIGINT. It returns the
// error of a failure.
func waitForShutdown(failed <-chan error) error {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	select {
	case err := <-failed:
		return err
	case <-signals:
		return nil
	}
}

func printCounters(process *control.Control) {
	counters, err := json.Marshal(process.Scheduler().Counters())
	if err != nil {
		panic(err)
	}
	r := process.Replica()
	fmt.Fprintf(os.Stderr, "batches=%d serving=%v counters=%s\n", r.WritesIssued(), r.Serving(), counters)
}

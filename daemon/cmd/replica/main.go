// Command replica stores the replicated state. It runs on machines with a disk.
package main

import (
	"os"

	"sorrelloom/core/machine"
	"sorrelloom/core/replica"
	"sorrelloom/core/wire"
	"sorrelloom/daemon/host"
	"sorrelloom/daemon/run"
	"sorrelloom/daemon/settings"
	"sorrelloom/daemon/web"
)

func main() {
	os.Exit(run.Main(wire.RoleReplica, true, build))
}

func build(s settings.Settings, stored machine.StoredState) (run.Daemon, error) {
	built, err := replica.New(replica.Config{
		Address: s.Address, Zone: s.Zone, Founders: s.Founders, NewID: run.RandomHexID(), BootID: run.RandomID(),
	}, stored)
	if err != nil {
		return run.Daemon{}, err
	}
	diagnostics := func(h *host.Host, r *host.Runner) web.Diagnostics { return diagnosticsOf(built, h, r) }
	return run.Daemon{ID: built.ID(), Machine: built, Diagnostics: diagnostics}, nil
}

func diagnosticsOf(built *replica.Replica, h *host.Host, r *host.Runner) web.Diagnostics {
	gauge := func(name, help string, read func() float64) web.Gauge {
		return web.Gauge{Name: name, Help: help, Read: func() float64 { return host.Read(r, read) }}
	}
	return web.Diagnostics{
		Ready:  func() bool { return host.Read(r, func() bool { return built.View().Epoch > 0 }) },
		Status: func() any { return host.Read(r, func() any { return built.Report(h.Now()) }) },
		Gauges: []web.Gauge{
			gauge("view_epoch", "epoch of the known view", func() float64 { return float64(built.View().Epoch) }),
			gauge("serving", "1 on the primary that serves", func() float64 { return boolValue(built.Serving()) }),
			gauge("ledger_sequence", "commands applied",
				func() float64 { return float64(built.Status().Position.Index) }),
			gauge("committed_sequence", "commands committed",
				func() float64 { return float64(built.Status().CommitIndex) }),
			gauge("batches", "synced batches", func() float64 { return float64(built.WritesIssued()) }),
			gauge("plan_sequence", "version of the configuration",
				func() float64 { return float64(built.Status().ConfigVersion) }),
		},
	}
}

func boolValue(value bool) float64 {
	if value {
		return 1
	}
	return 0
}

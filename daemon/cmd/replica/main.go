// Program keeper holds the ledger on one of the machines with a disk.
package main

import (
	"os"

	"sorrelloom/core/machine"
	"sorrelloom/core/replica"
	"sorrelloom/daemon/host"
	"sorrelloom/daemon/run"
	"sorrelloom/daemon/settings"
	"sorrelloom/daemon/web"
)

func main() {
	os.Exit(run.Main("keeper", true, build))
}

func build(e settings.Settings, stored machine.StoredState) (run.Daemon, error) {
	k, err := replica.New(replica.Config{
		Address: e.Address, Zone: e.Zone, Founders: e.Founders, NewID: run.RandomHexID(), BootID: run.RandomID(),
	}, stored)
	if err != nil {
		return run.Daemon{}, err
	}
	page := func(h *host.Host, s *host.Runner) web.Diagnostics {
		look := func(f func() float64) func() float64 {
			return func() (v float64) {
				s.Inspect(func() { v = f() })
				return v
			}
		}
		return web.Diagnostics{
			Ready: func() (ready bool) {
				s.Inspect(func() { ready = k.View().Epoch > 0 })
				return ready
			},
			Status: func() (status any) {
				s.Inspect(func() { status = k.Report(h.Now()) })
				return status
			},
			Gauges: []web.Gauge{
				{Name: "view_epoch", Help: "epoch of the known view", Read: look(func() float64 { return float64(k.View().Epoch) })},
				{Name: "serving", Help: "1 on the primary that serves", Read: look(func() float64 {
					if k.Serving() {
						return 1
					}
					return 0
				})},
				{Name: "ledger_sequence", Help: "commands applied", Read: look(func() float64 { return float64(k.Status().Position.Index) })},
				{Name: "committed_sequence", Help: "commands that two disks have", Read: look(func() float64 { return float64(k.Status().CommitIndex) })},
				{Name: "batches", Help: "synced batches", Read: look(func() float64 { return float64(k.WritesIssued()) })},
				{Name: "plan_sequence", Help: "plan in force", Read: look(func() float64 { return float64(k.Status().ConfigVersion) })},
			},
		}
	}
	return run.Daemon{ID: k.ID(), Machine: k, Diagnostics: page}, nil
}

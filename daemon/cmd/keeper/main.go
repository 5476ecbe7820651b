// Program keeper holds the ledger on one of the machines with a disk.
package main

import (
	"os"

	"sorrelloom/core/keeper"
	"sorrelloom/core/machine"
	"sorrelloom/daemon/env"
	"sorrelloom/daemon/host"
	"sorrelloom/daemon/run"
	"sorrelloom/daemon/web"
)

func main() {
	os.Exit(run.Main("keeper", true, build))
}

func build(e env.Env, stored machine.Stored) (run.Built, error) {
	k, err := keeper.New(keeper.Env{Address: e.Address, Site: e.Site, Founders: e.Founders, FreshID: run.ChanceID(), Boot: run.Chance()}, stored)
	if err != nil {
		return run.Built{}, err
	}
	page := func(h *host.Host, s *host.Shard) web.Page {
		look := func(f func() float64) func() float64 {
			return func() (v float64) {
				s.Look(func() { v = f() })
				return v
			}
		}
		return web.Page{
			Ready: func() (ready bool) {
				s.Look(func() { ready = k.View().Epoch > 0 })
				return ready
			},
			Status: func() (status any) {
				s.Look(func() { status = k.Report(h.Now()) })
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
				{Name: "ledger_sequence", Help: "commands applied", Read: look(func() float64 { return float64(k.Status().At.Sequence) })},
				{Name: "committed_sequence", Help: "commands that two disks have", Read: look(func() float64 { return float64(k.Status().Committed) })},
				{Name: "batches", Help: "synced batches", Read: look(func() float64 { return float64(k.Batches()) })},
				{Name: "plan_sequence", Help: "plan in force", Read: look(func() float64 { return float64(k.Status().Plan) })},
			},
		}
	}
	return run.Built{ID: k.ID(), Machine: k, Page: page}, nil
}

// Command scheduler dispatches tasks in the zones whose leadership it holds. It stores
// nothing on disk.
package main

import (
	"os"

	"sorrelloom/core/dispatch"
	"sorrelloom/core/machine"
	"sorrelloom/core/scheduler"
	"sorrelloom/core/wire"
	"sorrelloom/daemon/host"
	"sorrelloom/daemon/run"
	"sorrelloom/daemon/settings"
	"sorrelloom/daemon/web"
)

func main() {
	os.Exit(run.Main(wire.RoleScheduler, false, build))
}

// status is the content of the status page.
type status struct {
	LedZones      []string          `json:"duties"`
	ConfigVersion uint64            `json:"planSequence"`
	QueueLengths  map[string]int    `json:"inboxes"`
	Counters      dispatch.Counters `json:"counters"`
}

func build(s settings.Settings, _ machine.StoredState) (run.Daemon, error) {
	sched := scheduler.New(scheduler.Config{Address: s.Address, Zone: s.Zone, FirstCommandID: run.RandomID()})
	diagnostics := func(h *host.Host, r *host.Runner) web.Diagnostics { return diagnosticsOf(sched, h, r) }
	return run.Daemon{ID: s.Address, Machine: sched, Diagnostics: diagnostics}, nil
}

func diagnosticsOf(sched *scheduler.Scheduler, h *host.Host, r *host.Runner) web.Diagnostics {
	return web.Diagnostics{
		Ready: func() bool { return host.Read(r, func() bool { return sched.Ready(h.Now()) }) },
		Status: func() any {
			return host.Read(r, func() any {
				return status{sched.LedZones(), sched.ConfigVersion(), sched.QueueLengths(), sched.Counters()}
			})
		},
		Gauges: dispatchGauges(func() dispatch.Counters { return host.Read(r, sched.Counters) }),
	}
}

// dispatchGauges returns gauges of the dispatcher's counters. Each gauge reads all counters
// again.
func dispatchGauges(read func() dispatch.Counters) []web.Gauge {
	type counters = dispatch.Counters
	gauge := func(name, help string, value func(counters) uint64) web.Gauge {
		return web.Gauge{Name: "dispatch_" + name, Help: help, Read: func() float64 { return float64(value(read())) }}
	}
	return []web.Gauge{
		gauge("releases", "tasks put into a worker's queue", func(c counters) uint64 { return c.Runnable }),
		gauge("own", "pulls served from the worker's own queue", func(c counters) uint64 { return c.OwnQueue }),
		gauge("helped", "pulls served from a straggler's queue", func(c counters) uint64 { return c.Stolen }),
		gauge("deepest", "choices decided by the deepest step", func(c counters) uint64 { return c.DecidedByLevel }),
		gauge("locality", "choices decided by locality_score", func(c counters) uint64 { return c.DecidedByLocality }),
		gauge("smallest", "choices decided by the smallest number", func(c counters) uint64 { return c.DecidedByNumber }),
		gauge("gangs", "gangs started whole", func(c counters) uint64 { return c.Gangs }),
		gauge("push_outs", "preempted borrowed leases", func(c counters) uint64 { return c.Preemptions }),
		gauge("reserved", "lost contentions, served again", func(c counters) uint64 { return c.LostRaces }),
	}
}

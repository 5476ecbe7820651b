// Program scheduler runs dispatch duties; it keeps nothing on a disk.
package main

import (
	"os"

	"sorrelloom/core/dispatch"
	"sorrelloom/core/machine"
	"sorrelloom/core/scheduler"
	"sorrelloom/daemon/host"
	"sorrelloom/daemon/run"
	"sorrelloom/daemon/settings"
	"sorrelloom/daemon/web"
)

func main() {
	os.Exit(run.Main("scheduler", false, build))
}

type status struct {
	Duties   []string          `json:"duties"`
	Plan     uint64            `json:"planSequence"`
	Inboxes  map[string]int    `json:"inboxes"`
	Counters dispatch.Counters `json:"counters"`
}

func build(e settings.Settings, _ machine.StoredState) (run.Daemon, error) {
	sched := scheduler.New(scheduler.Config{Address: e.Address, Zone: e.Zone, FirstCommandID: run.RandomID()})
	page := func(h *host.Host, s *host.Runner) web.Diagnostics {
		counter := func(name, help string, f func(dispatch.Counters) uint64) web.Gauge {
			return web.Gauge{Name: "dispatch_" + name, Help: help, Read: func() (v float64) {
				s.Inspect(func() { v = float64(f(sched.Counters())) })
				return v
			}}
		}
		return web.Diagnostics{
			Ready: func() (ready bool) {
				s.Inspect(func() { ready = sched.Ready(h.Now()) })
				return ready
			},
			Status: func() (v any) {
				s.Inspect(func() { v = status{sched.LedZones(), sched.ConfigVersion(), sched.QueueLengths(), sched.Counters()} })
				return v
			},
			Gauges: []web.Gauge{
				counter("releases", "tasks put into an inbox", func(c dispatch.Counters) uint64 { return c.Runnable }),
				counter("own", "pulls answered from the own inbox", func(c dispatch.Counters) uint64 { return c.OwnQueue }),
				counter("helped", "pulls answered from a straggler's inbox", func(c dispatch.Counters) uint64 { return c.Stolen }),
				counter("deepest", "choices decided by the deepest step", func(c dispatch.Counters) uint64 { return c.DecidedByLevel }),
				counter("locality", "choices decided by locality_score", func(c dispatch.Counters) uint64 { return c.DecidedByLocality }),
				counter("smallest", "choices decided by the smallest number", func(c dispatch.Counters) uint64 { return c.DecidedByNumber }),
				counter("gangs", "gangs started whole", func(c dispatch.Counters) uint64 { return c.Gangs }),
				counter("push_outs", "borrowed turns asked back", func(c dispatch.Counters) uint64 { return c.Preemptions }),
				counter("reserved", "lost contentions, served again", func(c dispatch.Counters) uint64 { return c.LostRaces }),
			},
		}
	}
	return run.Daemon{ID: e.Address, Machine: sched, Diagnostics: page}, nil
}

// Program front serves callers, operators and workers over HTTP.
package main

import (
	"os"

	"sorrelloom/core/gateway"
	"sorrelloom/core/machine"
	"sorrelloom/daemon/host"
	"sorrelloom/daemon/run"
	"sorrelloom/daemon/settings"
	"sorrelloom/daemon/web"
)

func main() {
	os.Exit(run.Main("front", false, build))
}

func build(e settings.Settings, _ machine.StoredState) (run.Daemon, error) {
	f := gateway.New(gateway.Config{Address: e.Address, Zone: e.Zone, FirstCommandID: run.RandomID()})
	page := func(h *host.Host, s *host.Runner) web.Diagnostics {
		return web.Diagnostics{
			Ready: func() (ready bool) {
				s.Inspect(func() { ready = f.Ready(h.Now()) })
				return ready
			},
			Status: func() (v any) {
				s.Inspect(func() { v = map[string]any{"planSequence": f.ConfigVersion(), "open": f.PendingCount()} })
				return v
			},
			Gauges: []web.Gauge{
				{Name: "requests_open", Help: "records in the table", Read: func() (v float64) {
					s.Inspect(func() { v = float64(f.PendingCount()) })
					return v
				}},
				{Name: "plan_sequence", Help: "plan in force here", Read: func() (v float64) {
					s.Inspect(func() { v = float64(f.ConfigVersion()) })
					return v
				}},
			},
		}
	}
	return run.Daemon{ID: e.Address, Machine: f, Diagnostics: page, API: true}, nil
}

// Command gateway serves the HTTP API of clients, operators and workers.
package main

import (
	"os"

	"sorrelloom/core/gateway"
	"sorrelloom/core/machine"
	"sorrelloom/core/wire"
	"sorrelloom/daemon/host"
	"sorrelloom/daemon/run"
	"sorrelloom/daemon/settings"
	"sorrelloom/daemon/web"
)

func main() {
	os.Exit(run.Main(wire.RoleGateway, false, build))
}

func build(s settings.Settings, _ machine.StoredState) (run.Daemon, error) {
	g := gateway.New(gateway.Config{Address: s.Address, Zone: s.Zone, FirstCommandID: run.RandomID()})
	diagnostics := func(h *host.Host, r *host.Runner) web.Diagnostics { return diagnosticsOf(g, h, r) }
	return run.Daemon{ID: s.Address, Machine: g, Diagnostics: diagnostics, API: true}, nil
}

func diagnosticsOf(g *gateway.Gateway, h *host.Host, r *host.Runner) web.Diagnostics {
	gauge := func(name, help string, read func() float64) web.Gauge {
		return web.Gauge{Name: name, Help: help, Read: func() float64 { return host.Read(r, read) }}
	}
	return web.Diagnostics{
		Ready: func() bool { return host.Read(r, func() bool { return g.Ready(h.Now()) }) },
		Status: func() any {
			return host.Read(r, func() any {
				return map[string]any{"planSequence": g.ConfigVersion(), "open": g.PendingCount()}
			})
		},
		Gauges: []web.Gauge{
			gauge("requests_open", "requests that wait for a result", func() float64 { return float64(g.PendingCount()) }),
			gauge("plan_sequence", "version of the configuration here", func() float64 { return float64(g.ConfigVersion()) }),
		},
	}
}

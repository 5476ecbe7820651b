// Program front serves callers, operators and workers over HTTP.
package main

import (
	"os"

	"sorrelloom/core/front"
	"sorrelloom/core/machine"
	"sorrelloom/daemon/env"
	"sorrelloom/daemon/host"
	"sorrelloom/daemon/run"
	"sorrelloom/daemon/web"
)

func main() {
	os.Exit(run.Main("front", false, build))
}

func build(e env.Env, _ machine.Stored) (run.Built, error) {
	f := front.New(front.Env{Address: e.Address, Site: e.Site, First: run.Chance()})
	page := func(h *host.Host, s *host.Shard) web.Page {
		return web.Page{
			Ready: func() (ready bool) {
				s.Look(func() { ready = f.Ready(h.Now()) })
				return ready
			},
			Status: func() (v any) {
				s.Look(func() { v = map[string]any{"planSequence": f.Sequence(), "open": f.Open()} })
				return v
			},
			Gauges: []web.Gauge{
				{Name: "requests_open", Help: "records in the table", Read: func() (v float64) {
					s.Look(func() { v = float64(f.Open()) })
					return v
				}},
				{Name: "plan_sequence", Help: "plan in force here", Read: func() (v float64) {
					s.Look(func() { v = float64(f.Sequence()) })
					return v
				}},
			},
		}
	}
	return run.Built{ID: e.Address, Machine: f, Page: page, API: true}, nil
}

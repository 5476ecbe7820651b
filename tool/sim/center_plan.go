// The plan of the composition of centers, as a translator makes it.

package sim

import (
	"time"

	"sorrelloom/core/config"
	"sorrelloom/core/machine"
)

func millis(ms int64) config.Duration {
	return config.Duration{Duration: time.Duration(ms) * time.Millisecond}
}

// centerPlan is a plan as an outside system's translator makes it.
func centerPlan(priority int) []byte {
	p := config.Default()
	p.Zones = []string{"a", "b", "c"}
	p.Policies = config.Policies{Order: "priority", Borrow: "true"}
	p.Services = map[string]config.Service{
		centerMain: {AllowAnyLabel: true, Classes: map[string]config.Class{
			"lookup": {Priority: 1000, Quick: true, Share: 33, MaxFailures: 3, LostWorkerPolicy: config.RestartOnLostWorker},
			"batch":  {Priority: 990, Share: 33, MaxFailures: 3, LostWorkerPolicy: config.RestartOnLostWorker},
			"long":   {Priority: priority, Share: 33, MaxFailures: 5, LostWorkerPolicy: config.RestartOnLostWorker},
		}},
		centerOther: {AllowAnyLabel: true, Classes: map[string]config.Class{
			"print": {Priority: 990, Share: 100, MaxFailures: 3, LostWorkerPolicy: config.RestartOnLostWorker},
		}},
	}
	for _, class := range []string{"lookup", "batch", "long", "print"} {
		service := centerMain
		if class == "print" {
			service = centerOther
		}
		p.Routes = append(p.Routes, config.Route{
			Name: class, Host: centerHost, Prefix: "/" + class, Service: service, Class: class,
		})
	}
	p.Limits.KilledAtLeaseExpiry = true
	p.Limits.LeaseDuration, p.Limits.ExpiryMargin, p.Limits.StartTimeout, p.Limits.HeartbeatTimeout =
		millis(6000), millis(480), millis(3800), millis(1500)
	p.Limits.RunLimit, p.Limits.MaxLostAttempts, p.Limits.MaxTasks = millis(24*3600*1000), 1_000_000, 10_000
	return machine.MustJSON(p)
}

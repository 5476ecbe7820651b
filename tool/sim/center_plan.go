// The plan of the composition of centers, as a translator makes it.
package sim

import (
	"time"

	"sorrelloom/core/machine"
	"sorrelloom/core/plan"
)

func millis(ms int64) plan.Duration {
	return plan.Duration{Duration: time.Duration(ms) * time.Millisecond}
}

// centerPlan is a plan as an outside system's translator makes it.
func centerPlan(priority int) []byte {
	p := plan.Default()
	p.Zones = []string{"a", "b", "c"}
	p.Policies = plan.Policies{Order: "priority", Borrow: "true"}
	p.Services = map[string]plan.Service{
		centerMain: {AllowAnyLabel: true, Classes: map[string]plan.Class{
			"lookup": {Priority: 1000, Quick: true, Share: 33, MaxFailures: 3, LostWorkerPolicy: plan.RestartOnLostWorker},
			"batch":  {Priority: 990, Share: 33, MaxFailures: 3, LostWorkerPolicy: plan.RestartOnLostWorker},
			"long":   {Priority: priority, Share: 33, MaxFailures: 5, LostWorkerPolicy: plan.RestartOnLostWorker},
		}},
		centerOther: {AllowAnyLabel: true, Classes: map[string]plan.Class{
			"print": {Priority: 990, Share: 100, MaxFailures: 3, LostWorkerPolicy: plan.RestartOnLostWorker},
		}},
	}
	for _, class := range []string{"lookup", "batch", "long", "print"} {
		service := centerMain
		if class == "print" {
			service = centerOther
		}
		p.Routes = append(p.Routes, plan.Route{
			Name: class, Host: centerHost, Prefix: "/" + class, Service: service, Class: class,
		})
	}
	p.Limits.KilledAtLeaseExpiry = true
	p.Limits.LeaseDuration, p.Limits.ExpiryMargin, p.Limits.StartTimeout, p.Limits.HeartbeatTimeout =
		millis(6000), millis(480), millis(3800), millis(1500)
	p.Limits.RunLimit, p.Limits.MaxLostAttempts, p.Limits.MaxTasks = millis(24*3600*1000), 1_000_000, 10_000
	return machine.MustJSON(p)
}

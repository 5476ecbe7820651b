package sim

import (
	"time"

	"sorrelloom/core/config"
	"sorrelloom/core/machine"
)

func millis(ms int64) config.Duration {
	return config.Duration{Duration: time.Duration(ms) * time.Millisecond}
}

// controlConfig returns a configuration like those that the translator of an external system
// generates. If tenants is nil, no class requires a key.
func controlConfig(longPriority int, tenants map[string]config.Tenant) []byte {
	c := config.Default()
	c.Zones = []string{"a", "b", "c"}
	c.Policies = config.Policies{Order: "priority", Borrow: "true"}
	class := func(priority, share, maxFailures int) config.Class {
		return config.Class{
			Priority: priority, Share: share, MaxFailures: maxFailures, LostWorkerPolicy: config.RestartOnLostWorker,
			RequiresKey: tenants != nil,
		}
	}
	lookup := class(1000, 33, 3)
	lookup.Quick = true
	c.Services = map[string]config.Service{
		mainService: {AllowAnyLabel: true, Classes: map[string]config.Class{
			classLookup: lookup,
			classBatch:  class(990, 33, 3),
			classLong:   class(longPriority, 33, 5),
		}},
		otherService: {AllowAnyLabel: true, Classes: map[string]config.Class{
			classPrint: class(990, 100, 3),
		}},
	}
	for _, name := range []string{classLookup, classBatch, classLong, classPrint} {
		service := mainService
		if name == classPrint {
			service = otherService
		}
		c.Routes = append(c.Routes, config.Route{
			Name: name, Host: controlHost, Prefix: "/" + name, Service: service, Class: name,
		})
	}
	c.Tenants = tenants
	limits := &c.Limits
	limits.KilledAtLeaseExpiry = true
	limits.LeaseDuration, limits.ExpiryMargin = millis(6000), millis(480)
	limits.GangStartTimeout, limits.HeartbeatTimeout = millis(3800), millis(1500)
	limits.RunLimit = millis((24 * time.Hour).Milliseconds())
	limits.MaxLostAttempts, limits.MaxTasks = 1_000_000, 10_000
	return machine.MustJSON(c)
}

package scheduler

import (
	"time"

	"sorrelloom/core/machine"
)

// tenantLogInterval is the minimum time between two log events about one tenant's limit.
const tenantLogInterval = 10 * time.Second

// tenantLimitLog holds the time of the last log event about each tenant's limit.
type tenantLimitLog struct {
	loggedAt map[string]time.Duration
}

// logTenantLimits logs the tenants whose tasks wait because of their limit, with usage and
// limit.
func (s *Scheduler) logTenantLimits(now time.Duration, out *machine.Output) {
	for _, tenant := range s.dispatcher.TakeTenantsAtLimit() {
		last, logged := s.tenantLimits.loggedAt[tenant]
		if logged && now-last < tenantLogInterval {
			continue
		}
		s.tenantLimits.loggedAt[tenant] = now
		store := s.access.State()
		used, limit := store.TenantUsage(tenant), store.TenantLimit(tenant)
		out.Log("tenant_at_limit", "tenant", tenant, "configVersion", store.Config().Version,
			"slots", used.Slots, "slotsLimit", limit.Slots, "memoryMB", used.MemoryMB, "memoryMBLimit", limit.MemoryMB,
			"accelerators", used.Accelerators, "acceleratorsLimit", limit.Accelerators)
	}
}

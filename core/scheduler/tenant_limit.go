package scheduler

import (
	"time"

	"sorrelloom/core/machine"
)

// tenantLogInterval is the least time between two log events on one tenant's limit.
const tenantLogInterval = 10 * time.Second

// tenantLimitWatch knows when it was last logged that a tenant's work waits for its limit.
type tenantLimitWatch struct {
	loggedAt map[string]time.Duration
}

// logTenantLimits logs which tenants have work that waits for their limits, with what they
// use.
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

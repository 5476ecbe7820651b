package dispatch

import (
	"maps"
	"slices"
	"time"

	"sorrelloom/core/quota"
	"sorrelloom/core/state"
)

// The tasks of a tenant that is at its limit stay in their queues and hold back no other
// tenant: each group of a queue is of one tenant, and pulls skip it. The state machine checks
// the limit again when it grants the leases.
//
// A gang needs resources within the limit for all its members at the same time, which smaller
// tasks of the same tenant would never leave. A gang that has waited for reserveAfter therefore
// holds back the younger tasks of its tenant that are not quick, as long as half of the limit
// is in use, and after tenantGangHoldAfter whatever is in use. A gang that can't start beside
// long-running tasks, within the limit or on the present workers, holds nothing back, and how
// long a gang holds back work is bounded (holdWindow).

// tenantGangHoldAfter is how long a gang waits for its tenant's limit before all younger tasks
// of the tenant wait for it.
const tenantGangHoldAfter = 10 * time.Second

// waitingGang is a tenant's oldest gang that waits for the tenant's limit.
type waitingGang struct {
	number uint64
	// readyAt is the time since which it has waited.
	readyAt time.Duration
	// holds is set if the gang holds back younger tasks of its tenant now; conditions are those
	// under which that was decided.
	holds      bool
	conditions holdConditions
}

// tenantAllows reports whether a tenant may use the needed resources in addition to those that
// are used and in flight. It records a tenant that may not (TakeTenantsAtLimit).
func (d *Dispatcher) tenantAllows(
	store *state.Store, inFlight *InFlight, tenant string, needed state.Resources,
) bool {
	if tenant == "" {
		return true
	}
	if !inFlight.AtLimit[tenant] && store.TenantAllows(tenant, needed.Add(inFlight.ByTenant[tenant])) {
		return true
	}
	d.tenantsAtLimit[tenant] = true
	return false
}

// TakeTenantsAtLimit returns the tenants whose tasks were held back by their limits since the
// last call, sorted by name.
func (d *Dispatcher) TakeTenantsAtLimit() []string {
	if len(d.tenantsAtLimit) == 0 {
		return nil
	}
	tenants := slices.Sorted(maps.Keys(d.tenantsAtLimit))
	clear(d.tenantsAtLimit)
	return tenants
}

// heldForTenantsGang reports whether an older gang of its tenant holds back a task with the
// given key and number.
func (d *Dispatcher) heldForTenantsGang(store *state.Store, key *groupKey, number uint64) bool {
	if key.tenant == "" {
		return false
	}
	d.refreshReservations(store)
	gang, waits := d.reservations.byTenant[key.tenant]
	return waits && gang.holds && number > gang.number
}

// updateTenantHolds decides which gangs that wait for the limits of their tenants hold back
// younger tasks now.
func (d *Dispatcher) updateTenantHolds(store *state.Store) {
	dropWindows(d.tenantWindows, d.reservations.byTenant)
	for tenant, gang := range d.reservations.byTenant {
		belowHalf := quota.BelowHalf(store.TenantLimit(tenant), store.TenantUsage(tenant))
		gang.conditions = holdConditions{
			idle:      belowHalf,
			streaming: d.tenantArrivals.areStreaming(store.Now(), tenant),
		}
		gang.holds = (!belowHalf || store.Now()-gang.readyAt >= tenantGangHoldAfter) &&
			windowOf(d.tenantWindows, tenant).holds(store.Now(), gang.conditions)
		d.reservations.byTenant[tenant] = gang
	}
}

// recordWaitingGang reports whether a gang waits for its tenant's limit. It records the
// tenant's oldest such gang that could run beside long-running tasks, within the limit and on
// the present workers.
func (c *reservationCache) recordWaitingGang(store *state.Store, job *state.Job, task queuedTask) bool {
	i := task.ref.Index
	needed := memberResources(job, openMembers(job, job.Spec.Tasks[i].Gang))
	if store.TenantAllows(job.Tenant, needed) {
		return false
	}
	if oldest, known := c.byTenant[job.Tenant]; known && oldest.number < task.number {
		return true
	}
	if !quota.Allows(store.TenantLimit(job.Tenant), c.longRunningUsageOf(store, job.Tenant), needed) {
		return true
	}
	if _, fits := c.search.find(store, job, i); fits {
		c.byTenant[job.Tenant] = waitingGang{number: task.number, readyAt: job.Tasks[i].ReadyAt}
	}
	return true
}

// longRunningUsageOf returns what a tenant's long-running tasks use.
func (c *reservationCache) longRunningUsageOf(store *state.Store, tenant string) state.Resources {
	if c.longRunning == nil {
		c.longRunning = store.LongRunningUsage()
	}
	return c.longRunning.Of(tenant)
}

// openMembers returns the members of a gang that are not complete.
func openMembers(job *state.Job, gang string) []int {
	var members []int
	for i := range job.Spec.Tasks {
		if job.Spec.Tasks[i].Gang == gang && job.Tasks[i].State != state.Done {
			members = append(members, i)
		}
	}
	return members
}

// memberResources returns the sum of what the given tasks of a job need.
func memberResources(job *state.Job, members []int) (sum state.Resources) {
	for _, i := range members {
		sum = sum.Add(job.Spec.Tasks[i].Resources)
	}
	return sum
}

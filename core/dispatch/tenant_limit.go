package dispatch

import (
	"maps"
	"slices"
	"time"

	"sorrelloom/core/quota"
	"sorrelloom/core/state"
)

// The tasks of a tenant that is at its limit wait in their queues and hold back nobody else:
// each group of a queue is of one tenant, and is passed over. The state machine checks the
// limit again in the command that grants.
//
// A gang needs room within the limit for all its members at one moment, which smaller tasks
// of the same tenant would never leave. A gang that has waited for reserveAfter therefore
// holds back the younger tasks of its tenant that are not quick, as long as half of the
// limit is used, and after tenantGangPatience whatever is used. A gang that can't start, within
// the limit or on the present workers, beside what lasts until a job is cancelled holds nothing
// back, and how long one does is bounded (holdWindow).

// tenantGangPatience is how long a gang waits for its tenant's limit before all younger
// tasks of the tenant wait for it.
const tenantGangPatience = 10 * time.Second

// waitingGang is the oldest gang that waits for its tenant's limit.
type waitingGang struct {
	number uint64
	// readyAt is since when it waits.
	readyAt time.Duration
	// holds says that it holds younger tasks of its tenant back now, under these conditions.
	holds      bool
	conditions holdConditions
}

// tenantAllows reports whether a tenant may have so much more running, with what is under
// way. A tenant that may not is noted.
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

// TakeTenantsAtLimit returns the tenants for which tasks were held back since the last
// call, by name.
func (d *Dispatcher) TakeTenantsAtLimit() []string {
	if len(d.tenantsAtLimit) == 0 {
		return nil
	}
	tenants := slices.Sorted(maps.Keys(d.tenantsAtLimit))
	clear(d.tenantsAtLimit)
	return tenants
}

// keptForTenantsGang reports whether a task waits for an older gang of its tenant.
func (d *Dispatcher) keptForTenantsGang(store *state.Store, key *groupKey, number uint64) bool {
	if key.tenant == "" {
		return false
	}
	d.refreshReservations(store)
	gang, waits := d.reservations.byTenant[key.tenant]
	return waits && gang.holds && number > gang.number
}

// boundTenantHolds decides which gangs that wait for the limits of their tenants hold younger
// tasks back now.
func (d *Dispatcher) boundTenantHolds(store *state.Store) {
	forgetWindows(d.tenantWindows, d.reservations.byTenant)
	for tenant, gang := range d.reservations.byTenant {
		belowHalf := quota.BelowHalf(store.TenantLimit(tenant), store.TenantUsage(tenant))
		gang.conditions = holdConditions{
			idle:      belowHalf,
			streaming: d.tenantArrivals.keepComing(store.Now(), tenant),
		}
		gang.holds = (!belowHalf || store.Now()-gang.readyAt >= tenantGangPatience) &&
			windowOf(d.tenantWindows, tenant).holds(store.Now(), gang.conditions)
		d.reservations.byTenant[tenant] = gang
	}
}

// noteWaitingGang notes a gang of a group that waits for its tenant's limit, if it could run
// within that, and on the present workers, beside what lasts. It reports whether the gang waits
// for the limit.
func (c *reservationCache) noteWaitingGang(store *state.Store, job *state.Job, task queuedTask) bool {
	i := task.ref.Index
	needed := memberResources(job, openMembers(job, job.Spec.Tasks[i].Gang))
	if store.TenantAllows(job.Tenant, needed) {
		return false
	}
	if oldest, known := c.byTenant[job.Tenant]; known && oldest.number < task.number {
		return true
	}
	if !quota.Allows(store.TenantLimit(job.Tenant), c.lastingOf(store, job.Tenant), needed) {
		return true
	}
	if _, fits := c.room.find(store, job, i); fits {
		c.byTenant[job.Tenant] = waitingGang{number: task.number, readyAt: job.Tasks[i].ReadyAt}
	}
	return true
}

// lastingOf returns what a tenant runs that lasts until a job is cancelled.
func (c *reservationCache) lastingOf(store *state.Store, tenant string) state.Resources {
	if c.lasting == nil {
		c.lasting = store.LastingUsage()
	}
	return c.lasting.Of(tenant)
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

// memberResources returns what some tasks of a job need together.
func memberResources(job *state.Job, members []int) (sum state.Resources) {
	for _, i := range members {
		sum = sum.Add(job.Spec.Tasks[i].Resources)
	}
	return sum
}

// Package quota counts what each tenant has running and compares it with the tenant's limit.
//
// It follows the quota controller of Karmada's FederatedResourceQuota (docs/design/quota.md):
// one undivided limit for each tenant, every increase checked by its delta, one after the
// other, and a count that can be made anew from the placements at any time. The package is
// pure: the replicated state machine adds and removes in the order of its commands.
package quota

import (
	"maps"
	"slices"

	"sorrelloom/core/config"
)

// Resources is what a task needs or a tenant may have running. In a limit, a resource of 0
// is not limited.
type Resources = config.Resources

// Usage is what each tenant has running. The zero name stands for no tenant and is not
// counted. A Usage is not safe for concurrent use.
type Usage struct {
	byTenant map[string]Resources
}

// NewUsage returns a usage in which nothing runs.
func NewUsage() *Usage { return &Usage{byTenant: map[string]Resources{}} }

// Of returns what a tenant has running.
func (u *Usage) Of(tenant string) Resources { return u.byTenant[tenant] }

// Add counts resources that a tenant uses from now on.
func (u *Usage) Add(tenant string, resources Resources) {
	u.set(tenant, u.byTenant[tenant].Add(resources))
}

// Remove counts resources that a tenant uses no longer.
func (u *Usage) Remove(tenant string, resources Resources) {
	u.set(tenant, u.byTenant[tenant].Sub(resources))
}

func (u *Usage) set(tenant string, resources Resources) {
	switch {
	case tenant == "":
	case resources == Resources{}:
		delete(u.byTenant, tenant)
	default:
		u.byTenant[tenant] = resources
	}
}

// Tenants returns the tenants that have anything running, by name.
func (u *Usage) Tenants() []string { return slices.Sorted(maps.Keys(u.byTenant)) }

// Allows reports whether usage is within a limit after an increase, in every limited
// resource. Usage that is above a lowered limit allows nothing.
func Allows(limit, used, increase Resources) bool {
	return within(limit.Slots, used.Slots, increase.Slots) &&
		within(limit.Cores, used.Cores, increase.Cores) &&
		within(limit.MemoryMB, used.MemoryMB, increase.MemoryMB) &&
		within(limit.Accelerators, used.Accelerators, increase.Accelerators)
}

func within(limit, used, increase int) bool {
	return limit == 0 || used+increase <= limit
}

// BelowHalf reports whether under half of a limit is used, in every limited resource.
func BelowHalf(limit, used Resources) bool {
	one := Resources{Slots: 1, Cores: 1, MemoryMB: 1, Accelerators: 1}
	return Allows(limit, used.Add(used), one)
}

// Difference is a tenant for which two counts differ.
type Difference struct {
	Tenant    string
	Kept      Resources
	Recounted Resources
}

// Compare returns the tenants for which a usage that was kept up to date differs from one
// that was counted anew, by name.
func Compare(kept, recounted *Usage) []Difference {
	tenants := map[string]bool{}
	for tenant := range kept.byTenant {
		tenants[tenant] = true
	}
	for tenant := range recounted.byTenant {
		tenants[tenant] = true
	}
	var differences []Difference
	for _, tenant := range slices.Sorted(maps.Keys(tenants)) {
		if a, b := kept.Of(tenant), recounted.Of(tenant); a != b {
			differences = append(differences, Difference{tenant, a, b})
		}
	}
	return differences
}

// Package quota counts the resources that each tenant's running tasks use and compares them
// with the tenant's limit.
//
// The design follows the quota controller of Karmada's FederatedResourceQuota
// (docs/design/quota.md): one undivided limit per tenant, increases that are checked one at a
// time by their delta, and a usage that can be recounted from the placements at any time. The
// package has no side effects: the replicated state machine calls it in the order of its
// commands.
package quota

import (
	"maps"
	"slices"

	"sorrelloom/core/config"
)

// Resources holds the resources that a task uses, or the limit of a tenant. In a limit, a
// resource of 0 is not limited.
type Resources = config.Resources

// Usage holds the resources that each tenant uses. The empty name means no tenant and is not
// counted. A Usage is not safe for concurrent use.
type Usage struct {
	byTenant map[string]Resources
}

// NewUsage returns an empty usage.
func NewUsage() *Usage { return &Usage{byTenant: map[string]Resources{}} }

// Of returns the resources that a tenant uses.
func (u *Usage) Of(tenant string) Resources { return u.byTenant[tenant] }

// Add adds resources to a tenant's usage.
func (u *Usage) Add(tenant string, resources Resources) {
	u.set(tenant, u.byTenant[tenant].Add(resources))
}

// Remove subtracts resources from a tenant's usage.
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

// Tenants returns the tenants whose usage is not zero, sorted by name.
func (u *Usage) Tenants() []string { return slices.Sorted(maps.Keys(u.byTenant)) }

// Allows reports whether every limited resource is within its limit after an increase. If the
// limit was lowered below the usage of a resource, it allows nothing.
func Allows(limit, used, increase Resources) bool {
	return within(limit.Slots, used.Slots, increase.Slots) &&
		within(limit.Cores, used.Cores, increase.Cores) &&
		within(limit.MemoryMB, used.MemoryMB, increase.MemoryMB) &&
		within(limit.Accelerators, used.Accelerators, increase.Accelerators)
}

func within(limit, used, increase int) bool {
	return limit == 0 || used+increase <= limit
}

// BelowHalf reports whether less than half of every limited resource is used.
func BelowHalf(limit, used Resources) bool {
	one := Resources{Slots: 1, Cores: 1, MemoryMB: 1, Accelerators: 1}
	return Allows(limit, used.Add(used), one)
}

// Difference describes a tenant for which two usages differ.
type Difference struct {
	Tenant    string
	Kept      Resources
	Recounted Resources
}

// Compare returns the tenants for which a usage that was maintained by Add and Remove differs
// from a recounted one, sorted by name.
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

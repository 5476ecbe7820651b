package replica

import "sorrelloom/core/machine"

// recountTenants recomputes each tenant's usage from the placements in the state. A count that
// differs is corrected and logged.
func (r *Replica) recountTenants(out *machine.Output) {
	for _, difference := range r.log.store.RecountTenants() {
		r.recountDifferences++
		out.Warn("tenant_recounted", "tenant", difference.Tenant, "kept", difference.Kept,
			"recounted", difference.Recounted)
	}
}

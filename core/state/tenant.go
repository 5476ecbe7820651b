package state

import (
	"fmt"
	"maps"
	"slices"

	"sorrelloom/core/config"
	"sorrelloom/core/quota"
	"sorrelloom/core/status"
)

// A tenant's usage is the sum of the resources of its leases, from the command that grants a
// lease until the one that returns it, and of the attempts that run for it on workers without
// a lease. It is updated with the leases (countLease) and with the workers' records
// (countUnleased). It is not stored: loading a state recomputes it.

// checkKey rejects a call if its class requires a key and the call did not present the key
// of a tenant.
func (s *Store) checkKey(service, class, keyDigest string) Result {
	if s.config.RequiresKey(service, class) && s.tenantsByKey[keyDigest] == "" {
		return reject(status.UnknownKey, "class %s needs the key of a tenant", class)
	}
	return Result{Code: status.OK}
}

// CheckAccess rejects a call that may not read or cancel a job. A job of a tenant is reported
// as unknown to other tenants, unless its class requires no key.
func (s *Store) CheckAccess(job *Job, keyDigest string) Result {
	class, known := s.config.Services[job.Spec.Service].Classes[job.Spec.Class]
	tenant := s.tenantsByKey[keyDigest]
	switch {
	case known && !class.RequiresKey, job.Tenant == "" && !known:
		return Result{Code: status.OK}
	case tenant == "":
		return reject(status.UnknownKey, "the job needs the key of its tenant")
	case job.Tenant != "" && job.Tenant != tenant:
		return s.RejectUnknownJob(job.Spec.ID)
	}
	return Result{Code: status.OK}
}

// TenantLimit returns the resource limit of a tenant; a resource of 0 is not limited.
func (s *Store) TenantLimit(tenant string) Resources {
	if known, ok := s.config.Tenants[tenant]; ok {
		return known.Limit
	}
	return s.formerLimits[tenant]
}

// TenantUsage returns the resources that a tenant uses.
func (s *Store) TenantUsage(tenant string) Resources { return s.tenantUsage.Of(tenant) }

// LongRunningUsage returns the resources that each tenant uses for long-running tasks that are
// not being stopped.
func (s *Store) LongRunningUsage() *quota.Usage {
	lasting := quota.NewUsage()
	for _, usage := range s.usage {
		if usage.longRunning == (Resources{}) {
			continue
		}
		for i := range usage.leases {
			leased := &usage.leases[i]
			tenant := s.jobs[leased.ref.job].Tenant
			if leased.spec.LongRunning && leased.task.Lease.StopReason == "" && tenant != "" {
				lasting.Add(tenant, leased.spec.Resources)
			}
		}
	}
	return lasting
}

// TenantAllows reports whether a tenant may use the needed resources in addition to its
// present usage. No tenant, the empty name, has no limit.
func (s *Store) TenantAllows(tenant string, needed Resources) bool {
	return tenant == "" || quota.Allows(s.TenantLimit(tenant), s.tenantUsage.Of(tenant), needed)
}

// checkTenantLimit rejects a grant that would take a tenant above its limit.
func (s *Store) checkTenantLimit(tenant string, needed Resources) rejection {
	if s.TenantAllows(tenant, needed) {
		return rejection{}
	}
	return newRejection(status.TenantLimitReached, "tenant %s uses %+v of %+v, %+v more is needed",
		tenant, s.tenantUsage.Of(tenant), s.TenantLimit(tenant), needed)
}

// explainTenantLimit returns a text that says how a ready task exceeds the limit of its
// tenant; empty if it does not.
func (s *Store) explainTenantLimit(job *Job, i int) string {
	needed := job.Spec.Tasks[i].Resources.Times(max(1, unleasedMembers(job, i)))
	if s.TenantAllows(job.Tenant, needed) {
		return ""
	}
	return fmt.Sprintf("its tenant %s has %s running and may have %s; it needs %s", job.Tenant,
		describe(s.tenantUsage.Of(job.Tenant)), describe(s.TenantLimit(job.Tenant)), describe(needed))
}

// describe formats resources for a reader.
func describe(r Resources) string {
	return fmt.Sprintf("%d slots, %d cores, %d MB and %d accelerators", r.Slots, r.Cores, r.MemoryMB, r.Accelerators)
}

// countForTenant adds resources to a tenant's usage if by is 1 and subtracts them if by is
// -1.
func (s *Store) countForTenant(tenant string, resources Resources, by int) {
	if by > 0 {
		s.tenantUsage.Add(tenant, resources)
	} else {
		s.tenantUsage.Remove(tenant, resources)
	}
}

// addUnleased adds the resources of an attempt that the worker runs without a lease.
func (w *Worker) addUnleased(tenant string, resources Resources) {
	w.Unleased = w.Unleased.Add(resources)
	if tenant == "" {
		return
	}
	if w.UnleasedByTenant == nil {
		w.UnleasedByTenant = map[string]Resources{}
	}
	w.UnleasedByTenant[tenant] = w.UnleasedByTenant[tenant].Add(resources)
}

// countUnleased adds the resources of the attempts that a worker runs without a lease to the
// usage of their tenants if by is 1 and subtracts them if by is -1.
func (s *Store) countUnleased(worker *Worker, by int) {
	for tenant, resources := range worker.UnleasedByTenant {
		s.countForTenant(tenant, resources, by)
	}
}

// keepFormerLimits keeps the limits of tenants that the next configuration removes while they
// have active jobs: the last limit of such a tenant still applies to these jobs.
func (s *Store) keepFormerLimits(next config.Config) {
	former := map[string]Resources{}
	for id := range s.activeJobs {
		tenant := s.jobs[id].Tenant
		if _, stays := next.Tenants[tenant]; tenant != "" && !stays {
			former[tenant] = s.TenantLimit(tenant)
		}
	}
	s.formerLimits = former
}

// RecountTenants recomputes the usage of all tenants from the jobs and workers, and returns
// the differences from the usage that was updated incrementally. The recomputed usage replaces
// it.
func (s *Store) RecountTenants() []quota.Difference {
	recounted := quota.NewUsage()
	for id := range s.activeJobs {
		job := s.jobs[id]
		for i := range job.Tasks {
			if job.Tasks[i].Lease.Held() {
				recounted.Add(job.Tenant, job.Spec.Tasks[i].Resources)
			}
		}
	}
	for _, worker := range s.workers {
		for tenant, resources := range worker.UnleasedByTenant {
			recounted.Add(tenant, resources)
		}
	}
	differences := quota.Compare(s.tenantUsage, recounted)
	s.tenantUsage = recounted
	return differences
}

// TenantLoad is the usage of a tenant, its limit, and the number of its ready tasks.
type TenantLoad struct {
	Tenant      string
	Used, Limit Resources
	ReadyTasks  int
	AtLimit     bool
}

// TenantLoads returns the loads of all tenants that are configured or have ready tasks without
// a lease, sorted by name. A tenant is at its limit if any of these tasks would exceed it.
func (s *Store) TenantLoads() []TenantLoad {
	loads := map[string]*TenantLoad{}
	of := func(tenant string) *TenantLoad {
		if loads[tenant] == nil {
			loads[tenant] = &TenantLoad{Tenant: tenant, Used: s.tenantUsage.Of(tenant), Limit: s.TenantLimit(tenant)}
		}
		return loads[tenant]
	}
	for tenant := range s.config.Tenants {
		of(tenant)
	}
	for wanted, count := range s.waiting {
		if wanted.tenant == "" {
			continue
		}
		load := of(wanted.tenant)
		load.ReadyTasks += count
		load.AtLimit = load.AtLimit || !s.TenantAllows(wanted.tenant, wanted.resources)
	}
	list := make([]TenantLoad, 0, len(loads))
	for _, name := range slices.Sorted(maps.Keys(loads)) {
		list = append(list, *loads[name])
	}
	return list
}

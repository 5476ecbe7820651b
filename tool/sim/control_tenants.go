package sim

import (
	"fmt"
	"hash/fnv"
	"time"

	"sorrelloom/core/config"
	"sorrelloom/core/state"
	"sorrelloom/core/status"
)

const (
	tenantCount = 3
	// minTenantSlots is enough for every job of the traffic to run next to the long-running ones.
	minTenantSlots  = 8
	tenantSlotRange = 10
	// guestTenant has a single key, which every configuration change replaces.
	guestTenant      = "guest"
	keyProbeInterval = 250 * time.Millisecond
)

// tenantVersion is the tenant settings of one configuration, and the times that bound when it
// may be in effect. acknowledgedAt stays 0 if the change was rejected or never acknowledged.
type tenantVersion struct {
	configVersion  uint64
	limits         map[string]int // in slots
	sentAt         time.Duration
	acknowledgedAt time.Duration
}

// tenantHistory lists the versions in the order in which they were sent.
type tenantHistory struct {
	versions []*tenantVersion
	// alterConfig, if set, modifies the tenants that the daemons get, to test the checks.
	alterConfig func(map[string]config.Tenant)
}

func tenantName(i int) string { return fmt.Sprintf("tenant-%d", i) }

// tenantOf assigns a job to a tenant by a hash of its ID.
func tenantOf(jobID string) string {
	hash := fnv.New32a()
	hash.Write([]byte(jobID))
	return tenantName(int(hash.Sum32() % tenantCount))
}

// tenantKeyDigest returns the digest of a tenant's key, which is the tenant's name. It is empty
// without a tenant.
func tenantKeyDigest(tenant string) string {
	if tenant == "" {
		return ""
	}
	return config.DigestKey(tenant)
}

// guestKeyDigest returns the digest of the guest's key in a configuration version.
func guestKeyDigest(version uint64) string { return config.DigestKey(fmt.Sprint(guestTenant, version)) }

// configTenants returns the version's tenants in the form of the configuration.
func (v *tenantVersion) configTenants() map[string]config.Tenant {
	tenants := map[string]config.Tenant{guestTenant: {Keys: []string{guestKeyDigest(v.configVersion)}}}
	for name, slots := range v.limits {
		tenants[name] = config.Tenant{Keys: []string{tenantKeyDigest(name)}, Limit: state.Resources{Slots: slots}}
	}
	return tenants
}

// configuredTenants returns the tenants of a version as the daemons get them. It is nil in a
// scenario without tenants.
func (s *ControlScenario) configuredTenants(version *tenantVersion) map[string]config.Tenant {
	if version == nil {
		return nil
	}
	tenants := version.configTenants()
	if s.tenants.alterConfig != nil {
		s.tenants.alterConfig(tenants)
	}
	return tenants
}

// newTenantVersion draws the limits of a new version. It returns nil in a scenario without
// tenants.
func (s *ControlScenario) newTenantVersion(number uint64) *tenantVersion {
	if !s.options.Tenants {
		return nil
	}
	version := &tenantVersion{configVersion: number, limits: map[string]int{}, sentAt: s.world.Now}
	for i := range tenantCount {
		version.limits[tenantName(i)] = minTenantSlots + s.world.rng.IntN(tenantSlotRange)
	}
	s.tenants.versions = append(s.tenants.versions, version)
	return version
}

// acknowledgeTenantVersion records that a version was acknowledged.
func (s *ControlScenario) acknowledgeTenantVersion(version *tenantVersion) {
	if version != nil {
		version.acknowledgedAt = s.world.Now
	}
}

// highestLimit returns the highest limit of a tenant that may be in effect at a time. A version
// may be in effect until configBound after a newer one was acknowledged.
func (h *tenantHistory) highestLimit(tenant string, at time.Duration) (slots int) {
	for i, version := range h.versions {
		superseded := false
		for _, newer := range h.versions[i+1:] {
			superseded = superseded || newer.acknowledgedAt > 0 && newer.acknowledgedAt+configBound < at
		}
		if version.sentAt <= at && !superseded {
			slots = max(slots, version.limits[tenant])
		}
	}
	return slots
}

// checkTenantLimits checks at each start that the tenant's runs use no more slots than the
// highest limit that may be in effect.
func (s *ControlScenario) checkTenantLimits() {
	if !s.options.Tenants {
		return
	}
	index := s.indexRuns()
	byTenant := map[string][]run{}
	for _, r := range s.runs {
		if job := index.jobs[r.Job]; job != nil {
			byTenant[job.tenant] = append(byTenant[job.tenant], r)
		}
	}
	for tenant, runs := range byTenant {
		for _, started := range runs {
			s.countCheck(checkTenantLimit)
			used := 0
			for _, r := range runs {
				if r.startedAt <= started.startedAt && r.endOr(s.end) > started.startedAt {
					used += s.slotsOf(index, r)
				}
			}
			if limit := s.tenants.highestLimit(tenant, started.startedAt); used > limit {
				s.violate(checkTenantLimit, "%s/%s brings %s to %d slots of %d at %s",
					started.Job, started.Task, tenant, used, limit, seconds(started.startedAt))
			}
		}
	}
}

// slotsOf returns the number of slots that a run needs.
func (s *ControlScenario) slotsOf(index *runIndex, r run) int {
	for _, spec := range index.jobs[r.Job].spec.Tasks {
		if spec.ID == r.Task {
			return spec.Resources.Slots
		}
	}
	return 0
}

// probeKeys reads the number of waiting jobs with the guest's key of the latest acknowledged
// version, and with that of the version before. A key must be rejected once its removal has
// been acknowledged, and a valid key must be accepted.
func (s *ControlScenario) probeKeys() {
	if s.world.Now >= s.end {
		return
	}
	s.world.After(keyProbeInterval, s.probeKeys)
	acknowledged := s.configVersion
	if acknowledged < 2 {
		return
	}
	s.probeKey(acknowledged-1, func(code status.Code, _ uint64) {
		if code.IsSuccess() {
			s.violate(checkTenantKey, "at %s the key of version %d is served, version %d was acknowledged before",
				seconds(s.world.Now), acknowledged-1, acknowledged)
		}
	})
	s.probeKey(acknowledged, func(code status.Code, newest uint64) {
		if code == status.UnknownKey && newest == acknowledged {
			s.violate(checkTenantKey, "at %s the key of version %d is refused although none is newer",
				seconds(s.world.Now), acknowledged)
		}
	})
}

// probeKey sends a request with the guest's key of a version. check gets the status code and
// the newest version that had been sent when the reply arrived.
func (s *ControlScenario) probeKey(version uint64, check func(code status.Code, newest uint64)) {
	command := state.Command{
		Kind: state.KindReadWaitingCount, Host: controlHost, Path: "/" + classLookup, KeyDigest: guestKeyDigest(version),
	}
	s.sendCommand(callerName, s.randomGatewayIndex(), command, func(result state.Result, ok bool) {
		if !ok {
			return
		}
		s.countCheck(checkTenantKey)
		newest := uint64(0)
		for _, sent := range s.tenants.versions {
			newest = max(newest, sent.configVersion)
		}
		check(result.Code, newest)
	})
}

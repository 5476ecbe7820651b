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
	// minTenantSlots lets every job of the traffic run beside those that last.
	minTenantSlots  = 8
	tenantSlotRange = 10
	// guestTenant is one whose only key each configuration replaces.
	guestTenant      = "guest"
	keyProbeInterval = 250 * time.Millisecond
)

// tenantVersion is what one configuration says of tenants, and when it may be in force. An
// acknowledgement that never came, or a rejection, leaves acknowledgedAt at 0.
type tenantVersion struct {
	number         uint64
	limits         map[string]int // in slots
	sentAt         time.Duration
	acknowledgedAt time.Duration
}

// tenantHistory are the versions in the order in which they were sent.
type tenantHistory struct {
	versions []*tenantVersion
	// alter, if set, changes what the fleet is told, for tests of the checks.
	alter func(map[string]config.Tenant)
}

func tenantName(i int) string { return fmt.Sprintf("tenant-%d", i) }

// tenantOf spreads the jobs over the tenants.
func tenantOf(jobID string) string {
	hash := fnv.New32a()
	hash.Write([]byte(jobID))
	return tenantName(int(hash.Sum32() % tenantCount))
}

// tenantKeyDigest is that of a tenant's key, which is its name; no tenant has none.
func tenantKeyDigest(tenant string) string {
	if tenant == "" {
		return ""
	}
	return config.DigestKey(tenant)
}

// guestKeyDigest is that of the guest's key in a version.
func guestKeyDigest(version uint64) string { return config.DigestKey(fmt.Sprint(guestTenant, version)) }

// configured are the tenants of the version.
func (v *tenantVersion) configured() map[string]config.Tenant {
	tenants := map[string]config.Tenant{guestTenant: {Keys: []string{guestKeyDigest(v.number)}}}
	for name, slots := range v.limits {
		tenants[name] = config.Tenant{Keys: []string{tenantKeyDigest(name)}, Limit: state.Resources{Slots: slots}}
	}
	return tenants
}

// configuredTenants are the tenants of a version as the fleet is told; nil without tenants.
func (s *ControlScenario) configuredTenants(version *tenantVersion) map[string]config.Tenant {
	if version == nil {
		return nil
	}
	tenants := version.configured()
	if s.tenants.alter != nil {
		s.tenants.alter(tenants)
	}
	return tenants
}

// newTenantVersion draws the limits of the next version; nil without tenants.
func (s *ControlScenario) newTenantVersion(number uint64) *tenantVersion {
	if !s.options.Tenants {
		return nil
	}
	version := &tenantVersion{number: number, limits: map[string]int{}, sentAt: s.world.Now}
	for i := range tenantCount {
		version.limits[tenantName(i)] = minTenantSlots + s.world.rng.IntN(tenantSlotRange)
	}
	s.tenants.versions = append(s.tenants.versions, version)
	return version
}

// noteTenantVersion notes that a version was acknowledged.
func (s *ControlScenario) noteTenantVersion(version *tenantVersion) {
	if version != nil {
		version.acknowledgedAt = s.world.Now
	}
}

// highestLimit is the highest limit of a tenant that may be in force at a time.
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

// checkTenantLimits checks at each start that the tenant has no more running than the
// highest limit that may be in force.
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

// slotsOf is what a run needs.
func (s *ControlScenario) slotsOf(index *runIndex, r run) int {
	for _, spec := range index.jobs[r.Job].spec.Tasks {
		if spec.ID == r.Task {
			return spec.Resources.Slots
		}
	}
	return 0
}

// probeKeys asks for a count with the guest's key of the version that was acknowledged last,
// and with the one before. A withdrawn key must be refused from its withdrawal's
// acknowledgement on, and a key that is held must not be.
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

// probeKey asks with the guest's key of a version, and hands over the answer and the newest
// version that was sent by then.
func (s *ControlScenario) probeKey(version uint64, judge func(code status.Code, newest uint64)) {
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
			newest = max(newest, sent.number)
		}
		judge(result.Code, newest)
	})
}

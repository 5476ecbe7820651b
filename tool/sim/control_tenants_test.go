package sim

import (
	"slices"
	"testing"
	"time"

	"sorrelloom/core/config"
)

// tenantOptions returns options for a control scenario of 35 s with tenants and the given
// faults.
func tenantOptions(t *testing.T, seed uint64, faults string) Options {
	t.Helper()
	options := controlOptions(t, seed, faults)
	options.Tenants, options.Duration = true, 35*time.Second
	return options
}

// TestTenantSeeds runs scenarios in which all jobs belong to tenants whose limits and keys
// change, with all faults.
func TestTenantSeeds(t *testing.T) {
	var runs []Options
	for seed := range uint64(8) {
		runs = append(runs, tenantOptions(t, 900+seed, "all"))
	}
	checkSeeds(t, runs, TenantChecks, "simulate -composition center -tenants -faults all")
}

// TestBrokenTenantsAreDetected checks that each check of tenants can fail: with daemons that get
// twice the limits, and with configurations that keep removed keys.
func TestBrokenTenantsAreDetected(t *testing.T) {
	for _, row := range []struct {
		check   string
		prepare func(*ControlScenario)
	}{
		{checkTenantLimit, func(s *ControlScenario) {
			s.tenants.alterConfig = func(tenants map[string]config.Tenant) {
				for name, tenant := range tenants {
					tenant.Limit.Slots *= 2
					tenants[name] = tenant
				}
			}
		}},
		{checkTenantKey, func(s *ControlScenario) {
			s.tenants.alterConfig = func(tenants map[string]config.Tenant) {
				guest := tenants[guestTenant]
				for version := range uint64(100) {
					guest.Keys = append(guest.Keys, guestKeyDigest(version))
				}
				tenants[guestTenant] = guest
			}
		}},
	} {
		t.Run(row.check, func(t *testing.T) {
			options := tenantOptions(t, 950, "none")
			options.PrepareControl = row.prepare
			found := slices.ContainsFunc(PlayControl(options).Violations, func(violation Violation) bool {
				return violation.Check == row.check
			})
			if !found {
				t.Error("the check found no violation")
			}
		})
	}
}

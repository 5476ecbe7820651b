package experiment

import (
	"maps"
	"slices"
	"time"

	"sorrelloom/core/dispatch"
)

// deployedMaxLease bounds the leases of workers where the platform's translator sets them.
const deployedMaxLease = 6 * time.Second

// deployedCallInterval is the time between two calls of a worker, as agents ask for it.
const deployedCallInterval = 50 * time.Millisecond

// BasePolicy is the name of the policy that is deployed.
const BasePolicy = "base"

// variants are the policies by name: what each changes in the one that is deployed.
var variants = map[string]func(*Policy){
	BasePolicy:           func(*Policy) {},
	"single-queue":       without(func(o *dispatch.Options) { o.SingleQueue = true }),
	"no-locality":        without(func(o *dispatch.Options) { o.WithoutLocality = true }),
	"no-step-peers":      without(func(o *dispatch.Options) { o.WithoutStepPeers = true }),
	"no-near-data":       without(func(o *dispatch.Options) { o.WithoutNearData = true }),
	"no-near-patience":   without(func(o *dispatch.Options) { o.WithoutRackWait = true }),
	"no-rack-preemption": without(func(o *dispatch.Options) { o.WithoutRackPreemption = true }),
	"no-victim-cost":     without(func(o *dispatch.Options) { o.WithoutVictimCost = true }),
	"no-overdue-runs":    without(func(o *dispatch.Options) { o.WithoutOverdueRuns = true }),
	"no-trust":           without(func(o *dispatch.Options) { o.WithoutTrust = true }),
	"before":             before,
	"no-helper-order":    without(func(o *dispatch.Options) { o.WithoutHelperOrder = true }),
	"no-steal-delay":     without(func(o *dispatch.Options) { o.WithoutStealDelay = true }),
	"no-preemption":      without(func(o *dispatch.Options) { o.WithoutPreemption = true }),
	"no-reservation":     without(func(o *dispatch.Options) { o.WithoutReservation = true }),
	"no-failure-health":  without(func(o *dispatch.Options) { o.WithoutFailureHealth = true }),
	"no-slowness-health": without(func(o *dispatch.Options) { o.WithoutSlownessHealth = true }),
	"no-failed-on":       without(func(o *dispatch.Options) { o.WithoutFailedOn = true }),
	"call-100ms":         func(p *Policy) { p.CallInterval = 100 * time.Millisecond },
	"lease-4s":           func(p *Policy) { p.MaxLease = 4 * time.Second },
	"lease-2s":           func(p *Policy) { p.MaxLease = 2 * time.Second },
	"lease-3s":           func(p *Policy) { p.MaxLease = 3 * time.Second },
	"lease-5s":           func(p *Policy) { p.MaxLease = 5 * time.Second },
}

func without(change func(*dispatch.Options)) func(*Policy) {
	return func(p *Policy) { change(&p.Dispatch) }
}

// PolicyNames lists the policies.
func PolicyNames() []string { return slices.Sorted(maps.Keys(variants)) }

// FindPolicy returns the policy with a name.
func FindPolicy(name string) (policy Policy, found bool) {
	change, found := variants[name]
	if !found {
		return Policy{}, false
	}
	policy = Policy{Name: name, MaxLease: deployedMaxLease, CallInterval: deployedCallInterval}
	change(&policy)
	return policy, true
}

// before is what was deployed when this was first measured.
func before(p *Policy) {
	p.MaxLease, p.CallInterval = 6*time.Second, 100*time.Millisecond
	o := &p.Dispatch
	o.WithoutRackWait = true
	o.WithoutRackPreemption, o.WithoutVictimCost = true, true
	o.WithoutOverdueRuns, o.WithoutTrust = true, true
}

package experiment

import (
	"maps"
	"slices"
	"time"

	"sorrelloom/core/dispatch"
)

// deployedMaxLease is the upper bound that the platform's translator sets on worker leases.
const deployedMaxLease = 6 * time.Second

// deployedCallInterval is the interval that agents request between a worker's calls.
const deployedCallInterval = 50 * time.Millisecond

// BasePolicy is the name of the deployed policy.
const BasePolicy = "base"

// variants maps the name of each policy to its changes to the deployed policy.
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
	"before":             applyOriginalPolicy,
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

// PolicyNames lists the names of all policies in alphabetical order.
func PolicyNames() []string { return slices.Sorted(maps.Keys(variants)) }

// FindPolicy returns the policy with the given name.
func FindPolicy(name string) (policy Policy, found bool) {
	change, found := variants[name]
	if !found {
		return Policy{}, false
	}
	policy = Policy{Name: name, MaxLease: deployedMaxLease, CallInterval: deployedCallInterval}
	change(&policy)
	return policy, true
}

// applyOriginalPolicy restores the policy that was deployed when the experiments were first run.
func applyOriginalPolicy(p *Policy) {
	p.MaxLease, p.CallInterval = 6*time.Second, 100*time.Millisecond
	o := &p.Dispatch
	o.WithoutRackWait = true
	o.WithoutRackPreemption, o.WithoutVictimCost = true, true
	o.WithoutOverdueRuns, o.WithoutTrust = true, true
}

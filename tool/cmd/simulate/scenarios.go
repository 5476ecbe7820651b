package main

import (
	"fmt"
	"maps"
	"slices"

	"sorrelloom/tool/load"
	"sorrelloom/tool/sim"
)

// maxPrintedViolations is the maximum number of violations printed for a run.
const maxPrintedViolations = 12

// runScenarios runs the scenario with each seed and reports whether all checks passed.
func runScenarios(s settings) bool {
	play, checks := sim.PlayFleet, sim.FleetChecks
	if s.composition == compositionControl {
		play, checks = sim.PlayControl, sim.ControlChecks
		if s.tenants {
			checks = slices.Concat(checks, sim.TenantChecks)
		}
	}
	failed := 0
	checked, excused, played := map[string]int{}, map[string]int{}, map[string]int{}
	for seed := s.fromSeed; seed <= s.toSeed; seed++ {
		options := s.options
		options.Seed = seed
		result := play(options)
		printResult(result)
		addCounts(checked, result.Judged)
		addCounts(excused, result.Excused)
		addCounts(played, result.FaultsInjected)
		if len(result.Violations) > 0 {
			failed++
			printViolations(s, result)
		}
	}
	for _, check := range checks {
		fmt.Printf("judged check=%s times=%d\n", check, checked[check])
	}
	for _, reason := range slices.Sorted(maps.Keys(excused)) {
		fmt.Printf("excused %s times=%d\n", reason, excused[reason])
	}
	for _, name := range slices.Sorted(maps.Keys(played)) {
		fmt.Printf("played fault=%s times=%d\n", name, played[name])
	}
	fmt.Printf("seeds=%d failed=%d\n", s.toSeed-s.fromSeed+1, failed)
	return failed == 0
}

func addCounts(sum, counts map[string]int) {
	for name, count := range counts {
		sum[name] += count
	}
}

func printResult(r sim.Result) {
	fmt.Printf("seed=%d trace=%016x jobs=%d accepted=%d done=%d runs=%d views=%d races=%d",
		r.Seed, r.Trace, r.Jobs, r.Accepted, r.Done, r.Runs, r.Views, r.ConfigConflicts)
	fmt.Printf(" quickMs_p50=%.1f quickMs_p99=%.1f broken=%d\n",
		load.Percentile(r.QuickStartMillis, 50), load.Percentile(r.QuickStartMillis, 99), len(r.Violations))
}

// printViolations prints the violations of a run and the command that reproduces it.
func printViolations(s settings, r sim.Result) {
	for i, violation := range r.Violations {
		if i == maxPrintedViolations {
			fmt.Printf("  and %d more\n", len(r.Violations)-i)
			break
		}
		fmt.Printf("  %s: %s\n", violation.Check, violation.Reason)
	}
	fmt.Printf("  again: simulate -composition %s -tenants=%v -site %s -bounded=%v -share %g -rate %d -deployment %s",
		s.composition, s.tenants, s.site, s.options.Hardware != nil, s.share, s.rate, s.deployment)
	fmt.Printf(" -faults %s -for %s -from %d -to %d\n", s.faults, s.duration, r.Seed, r.Seed)
}

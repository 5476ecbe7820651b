package main

import (
	"fmt"

	"sorrelloom/tool/sim"
)

// runLargeSite runs the large site with each seed and each selected fault. It reports whether
// all runs recovered in time without safety violations.
func runLargeSite(s settings) bool {
	failed := 0
	for seed := s.fromSeed; seed <= s.toSeed; seed++ {
		for _, fault := range s.largeSiteFaults {
			result := sim.PlayLargeSite(sim.Options{
				Seed: seed, Hardware: s.options.Hardware, Log: s.options.Log,
			}, s.scale, fault)
			printLargeSite(seed, s.scale, result)
			if !result.RecoveredInTime() || len(result.SafetyViolations) > 0 {
				failed++
			}
		}
	}
	fmt.Printf("days=%d failed=%d\n", len(s.largeSiteFaults)*int(s.toSeed-s.fromSeed+1), failed)
	return failed == 0
}

func printLargeSite(seed uint64, scale float64, r sim.LargeSiteResult) {
	leader := r.LeaderUsage.Total().Seconds() / sim.LargeSiteWindow.Seconds()
	fmt.Printf("seed=%d scale=%.2f fault=%s before=%.0f/s leader=%.3f records=%d views=%d copied=%d",
		seed, scale, r.Fault, r.StartsBefore, leader, r.Records, r.Views, r.SnapshotTransfers)
	fmt.Printf(" away=%s in_time=%v unsafe=%v\n", r.RecoveredAfter, r.RecoveredInTime(), r.SafetyViolations)
	fmt.Printf("  starts each second: %v\n", r.StartsEachSecond)
}

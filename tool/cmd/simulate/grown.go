package main

import (
	"fmt"
	"maps"
	"slices"

	"sorrelloom/tool/sim"
)

// grown plays grown days with one fault, or each, and ends with 1 if one of them is not
// served again in time.
func grown(
	fault string, scale float64, hardware *sim.Hardware, from, to uint64, verbose bool,
	bad func(string, ...any) int,
) int {
	faults := slices.Sorted(maps.Keys(sim.GrownFaults))
	switch {
	case fault == "none" || slices.Contains(faults, fault):
		faults = []string{fault}
	case fault != "all":
		return bad("no fault %q of a grown day; there are none, all and %v", fault, faults)
	}
	failed := 0
	for seed := from; seed <= to; seed++ {
		for _, fault := range faults {
			e := sim.Env{Seed: seed, Hardware: hardware}
			if verbose {
				e.Verbose = func(text string) { fmt.Println(text) }
			}
			g := sim.PlayGrown(e, scale, fault)
			leader := g.LeaderShare.Total().Seconds() / sim.GrownLook.Seconds()
			fmt.Printf("seed=%d scale=%.2f fault=%s before=%.0f/s leader=%.3f records=%d views=%d copied=%d",
				seed, scale, fault, g.Before, leader, g.Records, g.Views, g.Logs["copied"])
			fmt.Printf(" away=%s in_time=%v unsafe=%v\n", g.Away, g.InTime(), g.Unsafe)
			fmt.Printf("  starts each second: %v\n", g.Seconds)
			if !g.InTime() || len(g.Unsafe) > 0 {
				failed++
			}
		}
	}
	fmt.Printf("days=%d failed=%d\n", len(faults)*int(to-from+1), failed)
	return min(failed, 1)
}

package sim

import (
	"slices"
	"testing"
	"time"
)

// coreFaultRuns returns options for scenarios of 45 s with all core faults, on processors of
// limited speed.
func coreFaultRuns(size Size, seeds ...uint64) []Options {
	var runs []Options
	for _, seed := range seeds {
		runs = append(runs, Options{
			Seed: seed, Faults: CoreFaultNames(), Duration: 45 * time.Second,
			Size: size, Hardware: LargeSiteHardware(),
		})
	}
	return runs
}

// TestCoreFaultSeeds runs fixed seeds with core faults at two sizes, and checks that each fault
// was injected in at least one run.
func TestCoreFaultSeeds(t *testing.T) {
	runs := slices.Concat(
		coreFaultRuns(SmallSize, 1, 2, 3, 4, 5, 6, 7, 8, 10),
		coreFaultRuns(MediumSize, 1, 2, 3, 4, 5, 6))
	played := map[string]int{}
	for i, r := range playParallel(runs, PlayControl) {
		for name, count := range r.FaultsInjected {
			played[name] += count
		}
		site := "small"
		if runs[i].Size == MediumSize {
			site = "middle"
		}
		for _, violation := range r.Violations {
			t.Errorf("%s: %s\n  reproduce: simulate -composition center -site %s -faults control -for %s -from %d -to %d",
				violation.Check, violation.Reason, site, runs[i].Duration, r.Seed, r.Seed)
		}
	}
	for _, name := range CoreFaultNames() {
		if played[name] == 0 {
			t.Errorf("%s was not injected in any of these runs", name)
		}
	}
	t.Logf("faults injected: %v", played)
}

// TestCoreFaultsAreDeterministic runs a seed twice with processors of limited speed, and wants
// identical traces.
func TestCoreFaultsAreDeterministic(t *testing.T) {
	options := coreFaultRuns(MediumSize, 3)[0]
	options.Duration = 25 * time.Second
	results := playParallel([]Options{options, options}, PlayControl)
	first, second := results[0], results[1]
	if first.Trace != second.Trace || first.MessageCount != second.MessageCount {
		t.Errorf("two runs of one seed differ: %x %d, %x %d",
			first.Trace, first.MessageCount, second.Trace, second.MessageCount)
	}
}

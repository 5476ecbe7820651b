package sim

import (
	"sync"
	"testing"
	"time"
)

// playLargeSites plays one run per fault, in parallel.
func playLargeSites(faults []string, seed uint64) []LargeSiteResult {
	results := make([]LargeSiteResult, len(faults))
	var all sync.WaitGroup
	for i, fault := range faults {
		all.Go(func() { results[i] = PlayLargeSite(Options{Seed: seed}, fullScale, fault) })
	}
	all.Wait()
	return results
}

// TestLargeSiteWithoutFaults checks the processor model against real processes. With 74
// workers and 200 starts per second, the real leader used 0.168 of a core when the costs were
// set. By now it uses 0.735 times as much (0.159 instead of 0.216 on another machine).
func TestLargeSiteWithoutFaults(t *testing.T) {
	const measured, tolerance = 0.123, 0.02
	r := PlayLargeSite(Options{Seed: 1}, measuredScale, "")
	used := r.LeaderUsage.Total().Seconds() / LargeSiteWindow.Seconds()
	t.Logf("starts %v", r.StartsEachSecond)
	t.Logf("leader: %.3f of a core: %+v; %.0f starts per second, %d records",
		used, r.LeaderUsage, r.StartsBefore, r.Records)
	if used < measured-tolerance || used > measured+tolerance {
		t.Errorf("the leader uses %.3f of a core, want about %.3f", used, measured)
	}
	if r.RecoveredAfter > 0 || r.Views != 1 || len(r.SafetyViolations) > 0 {
		t.Errorf("without faults: start rate too low until %s, %d views, %v, starts %v",
			r.RecoveredAfter, r.Views, r.SafetyViolations, r.StartsEachSecond)
	}
}

// TestLargeSiteRecovers checks that the start rate is back within 15 s of each fault of the
// leader or of all control processes at once, and stays there.
func TestLargeSiteRecovers(t *testing.T) {
	for _, r := range playLargeSites(LargeSiteFaultNames(), 1) {
		t.Logf("%s: %.0f starts per second before, %d records, %d views, starts from the fault on %v, %v",
			r.Fault, r.StartsBefore, r.Records, r.Views, r.StartsEachSecond[faultAt/time.Second:], r.LogCounts)
		if !r.RecoveredInTime() {
			t.Errorf("%s: less than %.0f starts per second until %s after the fault, want %s at most",
				r.Fault, minRateFraction*r.StartsBefore, r.RecoveredAfter, recoverWithin)
		}
		for _, violation := range r.SafetyViolations {
			t.Errorf("%s: %s: %s", r.Fault, violation.Check, violation.Reason)
		}
	}
}

// The grown day with processors that can be too busy.

package sim

import (
	"maps"
	"slices"
	"sync"
	"testing"
	"time"
)

// grownDays plays a day for each fault, side by side.
func grownDays(faults []string, seed uint64) []Grown {
	days := make([]Grown, len(faults))
	var all sync.WaitGroup
	for i, fault := range faults {
		all.Go(func() { days[i] = PlayGrown(Env{Seed: seed}, grownScale, fault) })
	}
	all.Wait()
	return days
}

// TestGrownDayIsCalmWithoutFaults checks the model against what real processes took:
// the leader of 74 workers and 200 starts a second used 0.168 of a core.
func TestGrownDayIsCalmWithoutFaults(t *testing.T) {
	const measured, near = 0.168, 0.02
	g := PlayGrown(Env{Seed: 1}, measuredScale, "")
	used := g.LeaderShare.Total().Seconds() / GrownLook.Seconds()
	t.Logf("starts %v", g.Seconds)
	t.Logf("leader: %.3f of a core: %+v; %.0f starts a second, %d records", used, g.LeaderShare, g.Before, g.Records)
	if used < measured-near || used > measured+near {
		t.Errorf("the leader uses %.3f of a core, want about %.3f", used, measured)
	}
	if g.Away > 0 || g.Views != 1 || len(g.Unsafe) > 0 {
		t.Errorf("a day without faults: away until %s, %d views, %v, starts %v", g.Away, g.Views, g.Unsafe, g.Seconds)
	}
}

// TestGrownDayIsServedAgain wants the level from before a fault back within 15 s, and
// kept, whatever becomes of the leader or of all core processes at once.
func TestGrownDayIsServedAgain(t *testing.T) {
	for _, g := range grownDays(slices.Sorted(maps.Keys(GrownFaults)), 1) {
		t.Logf("%s: %.0f starts a second before, %d records, %d views, starts from the fault on %v, %v",
			g.Fault, g.Before, g.Records, g.Views, g.Seconds[grownFault/time.Second:], g.Logs)
		if !g.InTime() {
			t.Errorf("%s: less than %.0f starts a second until %s after the fault, want %s at most",
				g.Fault, grownLevel*g.Before, g.Away, grownAgainBy)
		}
		for _, b := range g.Unsafe {
			t.Errorf("%s: %s: %s", g.Fault, b.Check, b.Why)
		}
	}
}

package sim

import (
	"testing"
	"time"
)

// countOver counts the values that exceed a bound.
func countOver(values []float64, bound float64) int {
	count := 0
	for _, value := range values {
		if value > bound {
			count++
		}
	}
	return count
}

// TestSlowDiskCostsReplicaItsRole guards against replicas that slow down all commits while
// they keep their role on a slow disk. It makes the disk of the primary, and in another run
// that of the backup, permanently slow. The primary must hand over to a successor, and the
// backup must be replaced.
func TestSlowDiskCostsReplicaItsRole(t *testing.T) {
	for _, role := range []string{"primary", "backup"} {
		options := fleetOptions(t, "reseller", 21, "none")
		options.Duration = 24 * time.Second
		slow := ""
		options.Prepare = func(s *FleetScenario) {
			s.world.At(12*time.Second, func() {
				s.expectDegradedByDaemons(2 * time.Second)
				for _, n := range s.replicas {
					if (role == "primary") == (n == s.primary()) && n.address != s.replicas[2].address {
						n.diskSlowFactor, slow = 600, n.name
					}
				}
			})
		}
		r := PlayFleet(options)
		if len(r.Violations) > 0 || slow == "" || r.Views < 2 {
			t.Errorf("%s %s slow: views %d, %v", role, slow, r.Views, r.Violations)
		}
		if late := countOver(r.QuickStartMillis, 500); late > 20 {
			t.Errorf("%s: %d of %d quick jobs waited over 500 ms", role, late, len(r.QuickStartMillis))
		}
	}
}

// restartInTurn stops and starts daemons one after another, and counts the restarts. Each
// daemon must have shut down 1.5 s after the request to stop.
func restartInTurn(t *testing.T, w *World, daemons []*node, interval time.Duration, restarts *int) {
	for i, n := range daemons {
		at := 9*time.Second + time.Duration(i)*interval
		w.At(at, func() { w.Stop(n) })
		w.At(at+1500*time.Millisecond, func() {
			if n.state != down {
				t.Errorf("%s still runs 1.5 s after the request to stop", n.name)
				w.Kill(n)
			}
			*restarts++
			w.Boot(n)
		})
	}
}

// checkUnnoticed checks that a run had as many restarts as wanted, no violations, and at most
// 5 quick jobs that waited for more than a second.
func checkUnnoticed(t *testing.T, r Result, restarts, want int) {
	t.Helper()
	slow := countOver(r.QuickStartMillis, 1000)
	if len(r.Violations) > 0 || restarts != want || slow > 5 {
		t.Errorf("%d restarts, %d of %d quick jobs over 1 s, %v", restarts, slow, len(r.QuickStartMillis), r.Violations)
	}
	t.Logf("views %d, quick jobs p99 %.1f ms, %d over 1 s", r.Views, percentile(r.QuickStartMillis, .99), slow)
}

// TestRollingFleetRestart restarts all daemons one after another, as for a new release.
// Latency is checked all the time; clients must not notice the restarts.
func TestRollingFleetRestart(t *testing.T) {
	options := fleetOptions(t, "reseller", 71, "none")
	options.Duration = 60 * time.Second
	restarts := 0
	options.Prepare = func(s *FleetScenario) {
		restartInTurn(t, s.world, s.daemons, 3*time.Second, &restarts)
	}
	r := PlayFleet(options)
	checkUnnoticed(t, r, restarts, 17)
}

package sim

import (
	"testing"
	"time"
)

// TestOverlappingReturnsOfWorker has two faults bring one worker back: the second finds it
// running, and must not put another process in its place, whose runs nobody would know of.
func TestOverlappingReturnsOfWorker(t *testing.T) {
	options := fleetOptions(t, "podcast", 41, "none")
	options.Duration, options.SettleTime = 20*time.Second, 20*time.Second
	checked := false
	options.Prepare = func(s *FleetScenario) {
		s.world.At(12*time.Second, func() {
			worker := s.workerAt(0)
			s.crashWorker(worker)
			s.world.After(time.Second, func() { s.bootWorker(worker) })
			s.world.After(1500*time.Millisecond, func() {
				process, incarnation := worker.worker, worker.incarnation
				s.bootWorker(worker)
				checked = worker.worker == process && worker.incarnation == incarnation
			})
		})
	}
	if result := PlayFleet(options); !checked || len(result.Violations) > 0 {
		t.Errorf("its process was kept: %v; %v", checked, result.Violations)
	}
}

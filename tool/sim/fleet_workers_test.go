package sim

import (
	"testing"
	"time"
)

// TestOverlappingRestartsOfWorker guards against a loss of runs in the simulator when two
// faults restart the same worker. The second restart finds the worker running, and must not
// replace its process, since the runs of the first process would not be collected.
func TestOverlappingRestartsOfWorker(t *testing.T) {
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
		t.Errorf("worker process kept: %v; violations: %v", checked, result.Violations)
	}
}

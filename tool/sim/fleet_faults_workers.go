package sim

import (
	"time"

	"sorrelloom/tool/fakeworker"
)

// crashRandomWorker crashes a random worker. Later the worker restarts, or an operator
// confirms it dead.
func (s *FleetScenario) crashRandomWorker() {
	worker := s.randomWorker()
	s.expectDegraded(9 * time.Second)
	s.crashWorker(worker)
	if s.world.coin() {
		s.world.After(s.world.randomSeconds(1, 9), func() { s.bootWorker(worker) })
	} else {
		s.world.After(4*time.Second, func() { s.confirmDead(worker) })
	}
}

// isolateDisobedientWorker isolates a random worker for a while, and makes it continue its
// runs after its lease has expired.
func (s *FleetScenario) isolateDisobedientWorker() {
	worker := s.randomWorker()
	if !worker.up || worker.isolated {
		return
	}
	worker.setFaults(s.world.Now, fakeworker.Faults{IgnoreLeaseExpiry: true, SlowFactor: 4})
	s.world.After(3*time.Second, func() {
		s.world.logf("isolate %s, which runs on", worker.name())
		s.setIsolated(worker, true)
		s.expectDegraded(9 * time.Second)
		s.world.After(s.world.randomSeconds(9, 20), func() {
			s.world.logf("reconnect %s", worker.name())
			s.setIsolated(worker, false)
			worker.setFaults(s.world.Now, fakeworker.Faults{})
		})
	})
}

// isolateWorker isolates a random worker for a while.
func (s *FleetScenario) isolateWorker() {
	worker := s.randomWorker()
	s.world.logf("isolate %s", worker.name())
	s.setIsolated(worker, true)
	s.expectDegraded(9 * time.Second)
	s.world.After(s.world.randomSeconds(2, 14), func() {
		s.world.logf("reconnect %s", worker.name())
		s.setIsolated(worker, false)
	})
}

// slowWorker makes a random worker four times slower for a while.
func (s *FleetScenario) slowWorker() {
	s.injectWorkerFaults(fakeworker.Faults{SlowFactor: 4}, 15*time.Second)
}

// failOnWorker makes every third run on a random worker fail for a while.
func (s *FleetScenario) failOnWorker() {
	s.injectWorkerFaults(fakeworker.Faults{FailEvery: 3}, 10*time.Second)
}

// failClassOnWorker makes all runs of a random class on a random worker fail for a while.
func (s *FleetScenario) failClassOnWorker() {
	class := s.options.Deployment.Traffic[s.world.rng.IntN(3)].Class
	s.injectWorkerFaults(fakeworker.Faults{FailClass: class}, 12*time.Second)
}

// hangWorker makes runs that start on a random worker hang for a while.
func (s *FleetScenario) hangWorker() {
	s.injectWorkerFaults(fakeworker.Faults{Hang: true}, 2*time.Second)
	s.expectDegraded(2 * time.Second)
}

// withdrawRandomWorker makes a random worker leave, and come back later.
func (s *FleetScenario) withdrawRandomWorker() { s.withdrawWorker(s.randomWorker(), 5*time.Second) }

// withdrawWorkers makes four workers leave, 300 ms apart, and come back later.
func (s *FleetScenario) withdrawWorkers() {
	first := s.randomWorkerNumber()
	for i := range 4 {
		s.world.After(time.Duration(i*300)*time.Millisecond, func() {
			s.withdrawWorker(s.workerAt(first+i), 2500*time.Millisecond)
		})
	}
}

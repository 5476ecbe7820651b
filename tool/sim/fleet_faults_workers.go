package sim

import (
	"time"

	"sorrelloom/tool/fakeworker"
)

// crashRandomWorker ends a worker, which comes back, or is confirmed dead.
func (s *FleetScenario) crashRandomWorker() {
	worker := s.randomWorker()
	s.degrade(9 * time.Second)
	s.crashWorker(worker)
	if s.world.coin() {
		s.world.After(s.world.secondsFrom(1, 9), func() { s.bootWorker(worker) })
	} else {
		s.world.After(4*time.Second, func() { s.confirmDead(worker) })
	}
}

// isolateDisobedientWorker isolates a worker that runs on after its lease has expired.
func (s *FleetScenario) isolateDisobedientWorker() {
	worker := s.randomWorker()
	if !worker.up || worker.isolated {
		return
	}
	worker.setFaults(s.world.Now, fakeworker.Faults{IgnoreLeaseExpiry: true, SlowFactor: 4})
	s.world.After(3*time.Second, func() {
		s.world.logf("isolate %s, which runs on", worker.name())
		s.setIsolated(worker, true)
		s.degrade(9 * time.Second)
		s.world.After(s.world.secondsFrom(9, 20), func() {
			s.world.logf("reconnect %s", worker.name())
			s.setIsolated(worker, false)
			worker.setFaults(s.world.Now, fakeworker.Faults{})
		})
	})
}

// isolateWorker isolates a worker for a while.
func (s *FleetScenario) isolateWorker() {
	worker := s.randomWorker()
	s.world.logf("isolate %s", worker.name())
	s.setIsolated(worker, true)
	s.degrade(9 * time.Second)
	s.world.After(s.world.secondsFrom(2, 14), func() {
		s.world.logf("reconnect %s", worker.name())
		s.setIsolated(worker, false)
	})
}

// slowWorker makes a worker four times slower.
func (s *FleetScenario) slowWorker() {
	s.injectWorkerFaults(fakeworker.Faults{SlowFactor: 4}, 15*time.Second)
}

// failOnWorker has each third run on a worker fail.
func (s *FleetScenario) failOnWorker() {
	s.injectWorkerFaults(fakeworker.Faults{FailEvery: 3}, 10*time.Second)
}

// failClassOnWorker has all runs of a class on a worker fail.
func (s *FleetScenario) failClassOnWorker() {
	class := s.options.Deployment.Traffic[s.world.rng.IntN(3)].Class
	s.injectWorkerFaults(fakeworker.Faults{FailClass: class}, 12*time.Second)
}

// hangWorker has what starts on a worker hang.
func (s *FleetScenario) hangWorker() {
	s.injectWorkerFaults(fakeworker.Faults{Hang: true}, 2*time.Second)
	s.degrade(2 * time.Second)
}

// withdrawRandomWorker has a worker leave and come back.
func (s *FleetScenario) withdrawRandomWorker() { s.withdrawWorker(s.randomWorker(), 5*time.Second) }

// withdrawWorkers has four workers leave, one shortly after the other.
func (s *FleetScenario) withdrawWorkers() {
	first := s.randomWorkerNumber()
	for i := range 4 {
		s.world.After(time.Duration(i*300)*time.Millisecond, func() {
			s.withdrawWorker(s.workerAt(first+i), 2500*time.Millisecond)
		})
	}
}

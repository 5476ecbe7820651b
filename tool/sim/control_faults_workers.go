package sim

import "time"

// randomWorker draws a worker that is up, nil if 20 draws find none.
func (s *ControlScenario) randomWorker() *simAgentWorker {
	for range 20 {
		machine := s.machines[s.world.rng.IntN(len(s.machines))]
		if machine.worker != nil && machine.worker.up {
			return machine.worker
		}
	}
	return nil
}

// crashRandomWorker crashes a worker, which restarts later.
func (s *ControlScenario) crashRandomWorker() {
	worker := s.randomWorker()
	if worker == nil {
		return
	}
	worker.terminate()
	s.expectDegraded(9 * time.Second)
	s.world.After(s.world.randomMillis(300, 9000), func() { s.bootWorker(worker.machine) })
}

// loseWorkerPermanently crashes a worker, which does not restart. Only workers of the main
// service without special labels are lost, and at most maxPermanentLosses of them.
func (s *ControlScenario) loseWorkerPermanently() {
	worker := s.randomWorker()
	if worker == nil || s.permanentLosses >= maxPermanentLosses {
		return
	}
	if len(worker.machine.labels) != 1 || worker.machine.service != mainService {
		return
	}
	s.permanentLosses++
	worker.terminate()
	s.expectDegraded(9 * time.Second)
}

// blockWorkerLink blocks the link from a worker to its agent, in one direction or both.
func (s *ControlScenario) blockWorkerLink() {
	worker := s.randomWorker()
	if worker == nil {
		return
	}
	oneWay := s.world.coin()
	duration := s.world.randomMillis(1000, 14000)
	s.blockLinkFor(worker.machine.address, worker.machine.agent.address, oneWay, duration)
	s.expectDegraded(16 * time.Second)
}

// failOnWorker makes some of the runs on a worker fail for 10 s.
func (s *ControlScenario) failOnWorker() {
	worker := s.randomWorker()
	if worker == nil {
		return
	}
	worker.failing = true
	s.expectDegraded(12 * time.Second)
	s.world.After(10*time.Second, func() { worker.failing = false })
}

// withdrawRandomWorker makes a worker announce a shutdown, shut down and restart.
func (s *ControlScenario) withdrawRandomWorker() {
	if worker := s.randomWorker(); worker != nil {
		worker.leave(s.world.randomMillis(2000, 6000), 3*time.Second)
	}
}

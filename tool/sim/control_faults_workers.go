package sim

import "time"

// randomWorker draws a worker that runs, nil if none is found.
func (s *ControlScenario) randomWorker() *simAgentWorker {
	for range 20 {
		machine := s.machines[s.world.rng.IntN(len(s.machines))]
		if machine.worker != nil && machine.worker.up {
			return machine.worker
		}
	}
	return nil
}

// crashRandomWorker ends a worker, which comes back.
func (s *ControlScenario) crashRandomWorker() {
	worker := s.randomWorker()
	if worker == nil {
		return
	}
	worker.die()
	s.degrade(9 * time.Second)
	s.world.After(s.world.millisFrom(300, 9000), func() { s.bootWorker(worker.machine) })
}

// loseWorkerForGood ends a worker of the main service without special labels for good,
// if not too many are lost.
func (s *ControlScenario) loseWorkerForGood() {
	worker := s.randomWorker()
	if worker == nil || s.lostForGood >= maxLostForGood {
		return
	}
	if len(worker.machine.labels) != 1 || worker.machine.service != mainService {
		return
	}
	s.lostForGood++
	worker.die()
	s.degrade(9 * time.Second)
}

// blockWorkerLink blocks a worker's link to its agent, both ways or one.
func (s *ControlScenario) blockWorkerLink() {
	worker := s.randomWorker()
	if worker == nil {
		return
	}
	oneWay := s.world.coin()
	duration := s.world.millisFrom(1000, 14000)
	s.blockLinkFor(worker.machine.address, worker.machine.agent.address, oneWay, duration)
	s.degrade(16 * time.Second)
}

// failOnWorker has some runs on a worker fail.
func (s *ControlScenario) failOnWorker() {
	worker := s.randomWorker()
	if worker == nil {
		return
	}
	worker.failing = true
	s.degrade(12 * time.Second)
	s.world.After(10*time.Second, func() { worker.failing = false })
}

// withdrawRandomWorker has a worker leave and come back.
func (s *ControlScenario) withdrawRandomWorker() {
	if worker := s.randomWorker(); worker != nil {
		worker.leave(s.world.millisFrom(2000, 6000), 3*time.Second)
	}
}

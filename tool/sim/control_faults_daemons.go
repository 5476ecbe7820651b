package sim

import (
	"fmt"
	"time"

	"sorrelloom/core/state"
)

// bootAfter boots a node after a random delay between two numbers of milliseconds.
func (s *ControlScenario) bootAfter(n *node, least, most int) {
	s.world.After(s.millisBetween(least, most), func() { s.world.Boot(n) })
}

// millisBetween draws a duration between two numbers of milliseconds.
func (s *ControlScenario) millisBetween(least, most int) time.Duration {
	return s.world.randomMillis(least, most-least)
}

// kill ends a process, or half of the time cuts the power of its host, which also loses
// writes that were not synced.
func (s *ControlScenario) kill(n *node) {
	if s.world.coin() {
		s.world.Kill(n)
	} else {
		s.world.KillProcess(n)
	}
}

// killDaemon kills a daemon, which restarts later.
func (s *ControlScenario) killDaemon() {
	n := s.randomDaemon()
	s.kill(n)
	s.bootAfter(n, 300, 6000)
	s.expectDegradedByDaemons(9 * time.Second)
}

// killLeader kills the leader, which restarts later.
func (s *ControlScenario) killLeader() {
	n := s.leaderOrRandom()
	s.kill(n)
	s.bootAfter(n, 300, 6000)
	s.expectDegradedByDaemons(9 * time.Second)
}

// killTwoLeaders kills the leader, and its successor as soon as that serves.
func (s *ControlScenario) killTwoLeaders() {
	const pollInterval = 20 * time.Millisecond
	first := s.leaderOrRandom()
	s.kill(first)
	s.bootAfter(first, 300, 1500)
	var killNext func()
	killNext = func() {
		if n := s.primary(); n != nil && n != first {
			s.kill(n)
			s.bootAfter(n, 300, 3000)
			s.expectDegradedByDaemons(10 * time.Second)
		} else if s.world.Now < s.end {
			s.world.After(pollInterval, killNext)
		}
	}
	s.world.After(100*time.Millisecond, killNext)
	s.expectDegradedByDaemons(14 * time.Second)
}

// killControls kills all control processes, which restart later.
func (s *ControlScenario) killControls() {
	for _, n := range s.replicas {
		s.kill(n)
		s.bootAfter(n, 300, 2500)
	}
	s.expectDegradedByDaemons(10 * time.Second)
}

// powerOff cuts the power of all hosts at once.
func (s *ControlScenario) powerOff() {
	for _, machine := range s.machines {
		if machine.worker != nil && machine.worker.up {
			machine.worker.terminate()
			s.world.After(s.world.randomMillis(500, 2000), func() { s.bootWorker(machine) })
		}
	}
	for _, n := range s.daemons {
		s.world.Kill(n)
		s.bootAfter(n, 300, 2500)
	}
	s.expectDegradedByDaemons(12 * time.Second)
}

// freezeDaemon freezes a random daemon for a while, half of the time the leader.
func (s *ControlScenario) freezeDaemon() {
	n := s.randomDaemon()
	if s.world.coin() {
		n = s.leaderOrRandom()
	}
	s.world.Freeze(n)
	s.world.After(s.world.randomMillis(500, 9000), func() { s.world.Unfreeze(n) })
	s.expectDegradedByDaemons(15 * time.Second)
}

// slowControlDisk slows down the disk of a control process for 8 s.
func (s *ControlScenario) slowControlDisk() {
	s.world.slowDisk(s.randomReplica(), 8*time.Second)
	s.expectDegradedByDaemons(14 * time.Second)
}

// blockRandomLink blocks the link from a daemon to a control process, in one direction or both.
func (s *ControlScenario) blockRandomLink() {
	from, to := s.randomDaemon(), s.randomReplica()
	if from == to {
		return
	}
	oneWay := s.world.coin()
	s.blockLinkFor(from.address, to.address, oneWay, s.world.randomSeconds(1, 8))
	s.expectDegradedByDaemons(13 * time.Second)
}

// blockLinkFor blocks the link from one address to another for a while, and unless oneWay also
// the reverse direction.
func (s *ControlScenario) blockLinkFor(from, to string, oneWay bool, duration time.Duration) {
	s.world.logf("block link %s to %s, one way %v", from, to, oneWay)
	s.world.BlockLink(from, to)
	if !oneWay {
		s.world.BlockLink(to, from)
	}
	s.world.After(duration, func() {
		s.world.UnblockLink(from, to)
		s.world.UnblockLink(to, from)
	})
}

// isolateDaemon isolates a random daemon for 8 s, half of the time a control process.
func (s *ControlScenario) isolateDaemon() {
	n := s.randomDaemon()
	if s.world.coin() {
		n = s.randomReplica()
	}
	s.world.isolateFor(n, 8*time.Second)
	s.expectDegradedByDaemons(15 * time.Second)
}

// wipeControl wipes the disk of a control process, if reserveDiskLoss allows it.
func (s *ControlScenario) wipeControl() {
	if !s.reserveDiskLoss() {
		return
	}
	s.wipeAndBoot()
	s.expectDegradedByDaemons(14 * time.Second)
}

// wipeAndBoot wipes the disk of a control process, which restarts without data.
func (s *ControlScenario) wipeAndBoot() {
	n := s.randomReplica()
	s.world.Wipe(n)
	s.bootAfter(n, 100, 4000)
}

// wipeControlOnAccept wipes the disk of a control process when the next job is accepted.
func (s *ControlScenario) wipeControlOnAccept() { s.onNextAccept(s.wipeAndBoot) }

// powerOffAndWipeOnAccept cuts the power of all control processes and wipes the disk of one
// when the next job is accepted.
func (s *ControlScenario) powerOffAndWipeOnAccept() {
	s.onNextAccept(func() {
		wiped := s.world.rng.IntN(len(s.replicas))
		for i, n := range s.replicas {
			if i == wiped {
				s.world.Wipe(n)
			} else {
				s.world.Kill(n)
			}
			s.bootAfter(n, 200, 2500)
		}
	})
}

// onNextAccept submits a job, and injects a fault at the moment at which a client next learns
// that its job is accepted. It does nothing unless reserveDiskLoss allows another lost disk.
func (s *ControlScenario) onNextAccept(inject func()) {
	if !s.reserveDiskLoss() {
		return
	}
	s.onAccept = func() {
		inject()
		s.expectDegradedByDaemons(14 * time.Second)
	}
	id := fmt.Sprintf("armed-%d", s.world.Now/time.Millisecond)
	s.submit(s.newJob(classBatch, id, []state.StepSpec{{Count: 1}}, []int64{100}, state.Repeat{}))
	s.expectDegradedByDaemons(14 * time.Second)
}

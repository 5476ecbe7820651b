package sim

import (
	"fmt"
	"time"

	"sorrelloom/tool/deploy"
)

// killDaemon kills a random daemon, and restarts it later.
func (s *FleetScenario) killDaemon() {
	n := s.randomDaemon()
	s.world.Kill(n)
	s.world.After(s.world.randomSeconds(1, 6), func() { s.world.Boot(n) })
	s.expectDegradedByDaemons(8 * time.Second)
}

// killPrimary kills the primary, and restarts it later.
func (s *FleetScenario) killPrimary() {
	if n := s.primary(); n != nil {
		s.world.Kill(n)
		s.world.After(s.world.randomSeconds(1, 6), func() { s.world.Boot(n) })
	}
	s.expectDegradedByDaemons(9 * time.Second)
}

// stopDaemon asks a random daemon to hand over and shut down, and restarts it 6 s later.
func (s *FleetScenario) stopDaemon() {
	n := s.randomDaemon()
	s.world.Stop(n)
	s.world.After(6*time.Second, func() {
		s.world.Kill(n)
		s.world.Boot(n)
	})
	s.expectDegradedByDaemons(10 * time.Second)
}

// freezeDaemon freezes a random daemon for a while, half of the time the primary.
func (s *FleetScenario) freezeDaemon() {
	n := s.randomDaemon()
	if s.world.coin() {
		if primary := s.primary(); primary != nil {
			n = primary
		}
	}
	s.world.Freeze(n)
	s.world.After(s.world.randomMillis(500, 9000), func() { s.world.Unfreeze(n) })
	s.expectDegradedByDaemons(14 * time.Second)
}

// jumpClock moves the wall clocks of all nodes by up to 1000 hours.
func (s *FleetScenario) jumpClock() {
	s.world.wallSkew += time.Duration(s.world.rng.IntN(2000)-1000) * time.Hour
}

// restartWithOtherClock moves the wall clocks of all nodes by up to 100 hours, and restarts a
// random daemon.
func (s *FleetScenario) restartWithOtherClock() {
	s.world.wallSkew += time.Duration(s.world.rng.IntN(200)-100) * time.Hour
	n := s.randomDaemon()
	s.world.Kill(n)
	s.world.After(time.Second, func() { s.world.Boot(n) })
	s.expectDegradedByDaemons(9 * time.Second)
}

// blockOneWay blocks the link from one random daemon to another for a while, in one
// direction. Half of the time both are replicas.
func (s *FleetScenario) blockOneWay() {
	from, to := s.randomDaemon(), s.randomDaemon()
	if s.world.coin() {
		from, to = s.randomReplica(), s.randomReplica()
	}
	s.world.logf("block link %s to %s", from.name, to.name)
	s.world.BlockLink(from.address, to.address)
	s.world.After(7*time.Second, func() { s.world.UnblockLink(from.address, to.address) })
	s.expectDegradedByDaemons(12 * time.Second)
}

// isolateReplica isolates a random replica for a while.
func (s *FleetScenario) isolateReplica() {
	s.world.isolateFor(s.randomReplica(), 8*time.Second)
	s.expectDegradedByDaemons(14 * time.Second)
}

// slowReplicaDisk makes the disk of a random replica slow for a while.
func (s *FleetScenario) slowReplicaDisk() {
	s.world.slowDisk(s.randomReplica(), 8*time.Second)
	s.expectDegradedByDaemons(14 * time.Second)
}

// wipeReplica kills a random replica and wipes its disk, if reserveDiskLoss allows it.
func (s *FleetScenario) wipeReplica() {
	if !s.reserveDiskLoss() {
		return
	}
	n := s.randomReplica()
	s.world.Wipe(n)
	s.world.After(s.world.randomSeconds(0, 4), func() { s.world.Boot(n) })
	s.expectDegradedByDaemons(14 * time.Second)
}

// wipePrimaryOnAccept makes the primary lose its disk when the next job is accepted, if
// reserveDiskLoss allows it.
func (s *FleetScenario) wipePrimaryOnAccept() {
	if !s.reserveDiskLoss() {
		return
	}
	s.wipeOnAccept = true
}

// replaceReplica kills a random replica permanently, and adds one at a new address, whose
// seeds are three gateways. It does nothing unless reserveDiskLoss allows another lost disk.
func (s *FleetScenario) replaceReplica() {
	if !s.reserveDiskLoss() {
		return
	}
	i := s.world.rng.IntN(len(s.replicas))
	old := s.replicas[i]
	s.world.Kill(old)
	s.replacements++
	address := fmt.Sprintf("10.9.%d.1:7000", s.replacements)
	seeds := addressesOf(s.daemons[len(s.daemons)-3:])
	s.world.After(2*time.Second, func() {
		name := fmt.Sprintf("%s-new-%d", roleReplica, s.replacements)
		n := s.world.AddNode(roleReplica, name, old.zone, address, seeds, nil)
		s.replicas[i] = n
		s.replaceDaemon(old, n)
	})
	s.expectDegradedByDaemons(14 * time.Second)
}

// addressesOf returns the addresses of nodes, in the same order.
func addressesOf(nodes []*node) []string {
	addresses := make([]string, len(nodes))
	for i, n := range nodes {
		addresses[i] = n.address
	}
	return addresses
}

// loseZone kills all daemons and workers of a random zone, and restarts them nine seconds
// later. It does nothing unless reserveDiskLoss allows another lost disk.
func (s *FleetScenario) loseZone() {
	if !s.reserveDiskLoss() {
		return
	}
	zone := s.zones[s.world.rng.IntN(len(s.zones))]
	s.world.logf("lose zone %s", zone)
	for _, n := range s.daemons {
		if n.zone == zone {
			s.world.Kill(n)
			s.world.After(9*time.Second, func() { s.world.Boot(n) })
		}
	}
	for i := range deploy.Workers {
		if worker := s.workerAt(i); worker.config.Zone == zone {
			s.crashWorker(worker)
			s.world.After(9*time.Second, func() { s.bootWorker(worker) })
		}
	}
	s.expectDegradedByDaemons(18 * time.Second)
}

// loseZoneUnderLoad is loseZone while many quick jobs are submitted.
func (s *FleetScenario) loseZoneUnderLoad() {
	s.loseZone()
	for i := range 150 {
		s.world.After(time.Duration(i*10)*time.Millisecond, func() {
			s.submit(s.newJob(s.options.Deployment.Traffic[quickTraffic], s.world.idNow("urgent", i)))
		})
	}
}

// loseZoneAndDisk is loseZone, followed by the loss of a replica's disk two seconds after the
// zone is back, if all members of the view are up by then.
func (s *FleetScenario) loseZoneAndDisk() {
	s.loseZone()
	s.world.After(11*time.Second, func() {
		if allMembersUp(s.replicas) {
			s.nextDiskLossAt = 0
			s.wipeReplica()
		}
	})
}

// schedulers returns the part of the daemons that are schedulers.
func (s *FleetScenario) schedulers() []*node {
	return s.daemons[deploy.Replicas : deploy.Replicas+deploy.Schedulers]
}

// replaceScheduler kills a random scheduler permanently, and adds one at a new address.
// All daemons get that one and two gateways as seeds for their next start.
func (s *FleetScenario) replaceScheduler() {
	i := deploy.Replicas + s.world.rng.IntN(deploy.Schedulers)
	old := s.daemons[i]
	s.world.Kill(old)
	s.replacements++
	address := fmt.Sprintf("10.8.%d.1:7000", s.replacements)
	seeds := append([]string{address}, s.lastTwoAddresses()...)
	for _, n := range s.daemons {
		n.seeds = seeds
	}
	s.world.After(time.Second, func() {
		name := fmt.Sprintf("%s-new-%d", old.role, s.replacements)
		s.daemons[i] = s.world.AddNode(old.role, name, old.zone, address, seeds, nil)
	})
	s.expectDegradedByDaemons(9 * time.Second)
}

// restartWithOtherSeeds kills three schedulers, gives all daemons two gateways as seeds for
// their next start, and restarts the schedulers.
func (s *FleetScenario) restartWithOtherSeeds() {
	restarted := func() []*node { return s.schedulers()[:3] }
	for _, n := range restarted() {
		s.world.Kill(n)
	}
	for _, n := range s.daemons {
		n.seeds = s.lastTwoAddresses()
	}
	s.world.After(3*time.Second, func() {
		for _, n := range restarted() {
			s.world.Boot(n)
		}
	})
	s.expectDegradedByDaemons(10 * time.Second)
}

// lastTwoAddresses returns the addresses of the last two gateways, the last one first.
func (s *FleetScenario) lastTwoAddresses() []string {
	last := len(s.daemons) - 1
	return []string{s.daemons[last].address, s.daemons[last-1].address}
}

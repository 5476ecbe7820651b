package sim

import (
	"fmt"
	"maps"
	"slices"
	"time"
)

// CoreFaultSet is the name that selects all faults of CoreFaultNames.
const CoreFaultSet = "control"

// replacementPollInterval is the interval at which replaceRemaining checks whether the next
// process may be replaced.
const replacementPollInterval = 500 * time.Millisecond

// maxClockStep is the maximum error of a node's wall clock after a step, in either direction.
const maxClockStep = 5 * time.Second

// CoreFaults maps the names of faults of the control processes, their disks, clocks and
// connections to the functions that inject them. "all" faults of control scenarios do not
// include them, so that earlier seeds still give the same runs. Each function reports whether
// it injected the fault: it skips one that would exceed what the site is built to tolerate.
var CoreFaults = map[string]func(*ControlScenario) bool{
	"reset-connections":  (*ControlScenario).resetConnections,
	"lost-answers":       (*ControlScenario).loseReplies,
	"held-answers":       (*ControlScenario).holdReplies,
	"cut-one-way":        (*ControlScenario).blockOneWay,
	"full-disk":          (*ControlScenario).fillDisk,
	"stalled-disk":       (*ControlScenario).stallDisk,
	"wiped-disk":         (*ControlScenario).wipeDisk,
	"clock-step":         (*ControlScenario).stepClock,
	"two-centers-lost":   (*ControlScenario).loseTwoControls,
	"restart-while-cut":  (*ControlScenario).restartWhileIsolated,
	"new-seeds":          (*ControlScenario).restartWithOtherSeeds,
	"replaced-elsewhere": (*ControlScenario).replaceControl,
	"planned-leave":      (*ControlScenario).stopControl,
}

// TurnoverFault replaces all control processes in turn. It takes most of a run, so no set of
// faults includes it.
const TurnoverFault = "replaced-in-turn"

// sharedCoreFaults are the faults of ControlFaults that CoreFaultSet includes.
var sharedCoreFaults = []string{
	"kill-leader", "kill-leader-twice", "kill-centers", "power-off", "freeze", "isolate", "slow-disk",
	"wipe-after-yes-power-off", "worker-cut", "worker-crash",
}

// CoreFaultNames lists the faults of CoreFaultSet in alphabetical order.
func CoreFaultNames() []string {
	names := slices.AppendSeq(slices.Clone(sharedCoreFaults), maps.Keys(CoreFaults))
	slices.Sort(names)
	return names
}

// resetConnections closes all connections of a control process.
func (s *ControlScenario) resetConnections() bool {
	s.world.ResetConnections(s.randomReplica())
	s.expectDegradedByDaemons(6 * time.Second)
	return true
}

// loseReplies drops the replies to operators for a while, and starts a configuration change
// meanwhile.
func (s *ControlScenario) loseReplies() bool {
	for _, n := range s.gateways {
		s.world.BlockLink(n.address, operatorName)
	}
	s.world.After(s.millisBetween(1000, 5000), func() {
		for _, n := range s.gateways {
			s.world.UnblockLink(n.address, operatorName)
		}
	})
	s.changeConfig()
	return true
}

// holdReplies delays all messages from the leader to a daemon for a while. Afterwards they are
// delivered in order.
func (s *ControlScenario) holdReplies() bool {
	from, to := s.leaderOrRandom(), s.randomDaemon()
	if from == to {
		return false
	}
	s.world.HoldLink(from.address, to.address)
	s.world.After(s.millisBetween(300, 6000), func() { s.world.ReleaseLink(from.address, to.address) })
	s.expectDegradedByDaemons(12 * time.Second)
	return true
}

// blockOneWay blocks the link from one control process to another for a while, but not the
// reverse direction.
func (s *ControlScenario) blockOneWay() bool {
	from, to := s.randomReplica(), s.randomReplica()
	if from == to {
		return false
	}
	s.blockLinkFor(from.address, to.address, true, s.millisBetween(1000, 7000))
	s.expectDegradedByDaemons(13 * time.Second)
	return true
}

// fillDisk makes the disk of a control process full for a while. The first write ends the
// process, which boots once the disk has space again.
func (s *ControlScenario) fillDisk() bool {
	n := s.randomReplica()
	s.world.logf("full disk %s", n.name)
	n.diskFull = true
	s.world.After(s.millisBetween(2000, 7000), func() {
		n.diskFull = false
		s.world.Boot(n)
	})
	s.expectDegradedByDaemons(15 * time.Second)
	return true
}

// stallDisk delays all writes of a control process until its disk recovers.
func (s *ControlScenario) stallDisk() bool {
	n := s.randomReplica()
	s.world.logf("stalled disk %s", n.name)
	n.diskStalled = true
	s.world.After(s.millisBetween(500, 7000), func() { n.diskStalled = false })
	s.expectDegradedByDaemons(14 * time.Second)
	return true
}

// wipeDisk wipes the disk of a control process, which restarts without data.
func (s *ControlScenario) wipeDisk() bool {
	if !s.reserveDiskLoss() {
		return false
	}
	s.wipeAndBoot()
	s.expectDegradedByDaemons(14 * time.Second)
	return true
}

// stepClock sets the wall clock of a control process off by up to maxClockStep.
func (s *ControlScenario) stepClock() bool {
	n := s.randomReplica()
	n.wallSkew = time.Duration(s.world.rng.Int64N(int64(2*maxClockStep))) - maxClockStep
	s.clockSlack = maxClockStep
	s.world.logf("clock of %s is off by %s", n.name, n.wallSkew)
	return true
}

// loseTwoControls kills the leader and another control process, and wipes each one's disk half
// of the time. It needs two backups in a view.
func (s *ControlScenario) loseTwoControls() bool {
	if s.size.BackupCount < 2 || !s.reserveDiskLoss() {
		return false
	}
	leader := s.leaderOrRandom()
	others := slices.DeleteFunc(slices.Clone(s.replicas), func(n *node) bool { return n == leader })
	for _, n := range []*node{leader, others[s.world.rng.IntN(len(others))]} {
		if s.world.coin() {
			s.world.Wipe(n)
		} else {
			s.world.Kill(n)
		}
		s.bootAfter(n, 300, 4000)
	}
	s.expectDegradedByDaemons(14 * time.Second)
	return true
}

// restartWhileIsolated isolates a control process and restarts it before it is reconnected.
func (s *ControlScenario) restartWhileIsolated() bool {
	n := s.randomReplica()
	s.world.logf("isolate %s, which restarts", n.name)
	s.world.Isolate(n.address)
	s.kill(n)
	s.bootAfter(n, 300, 3000)
	s.world.After(s.millisBetween(3500, 8000), func() { s.world.Reconnect(n.address) })
	s.expectDegradedByDaemons(15 * time.Second)
	return true
}

// restartWithOtherSeeds restarts a daemon with two random control processes as its seeds.
func (s *ControlScenario) restartWithOtherSeeds() bool {
	n := s.randomDaemon()
	s.kill(n)
	n.seeds = []string{s.randomReplica().address, s.randomReplica().address}
	s.bootAfter(n, 300, 2000)
	s.expectDegradedByDaemons(10 * time.Second)
	return true
}

// replaceControl replaces a random control process by one at a new address.
func (s *ControlScenario) replaceControl() bool {
	if !s.reserveDiskLoss() {
		return false
	}
	s.replaceAtNewAddress(s.world.rng.IntN(len(s.replicas)))
	return true
}

// replaceControls replaces all control processes one after the other, the leader last, by ones at
// new addresses. Only TurnoverFault does this.
func (s *ControlScenario) replaceControls() bool {
	if s.replacingAll {
		return false
	}
	s.replacingAll = true
	s.replaceRemaining(slices.Clone(s.replicas))
	return true
}

// replaceRemaining replaces the given control processes, each as soon as reserveDiskLoss allows
// another lost disk.
func (s *ControlScenario) replaceRemaining(remaining []*node) {
	isGone := func(n *node) bool { return !slices.Contains(s.replicas, n) }
	if remaining = slices.DeleteFunc(remaining, isGone); len(remaining) == 0 {
		s.replacingAll = false
		return
	}
	if s.reserveDiskLoss() {
		next := max(0, slices.IndexFunc(remaining, func(n *node) bool { return n != s.primary() }))
		s.replaceAtNewAddress(slices.Index(s.replicas, remaining[next]))
		remaining = slices.Delete(remaining, next, next+1)
	}
	s.world.After(replacementPollInterval, func() { s.replaceRemaining(remaining) })
}

// replaceAtNewAddress kills a control process permanently, and adds a new one with an empty disk
// at a new address a little later.
func (s *ControlScenario) replaceAtNewAddress(i int) {
	old := s.replicas[i]
	s.world.Kill(old)
	s.replacements++
	name := fmt.Sprintf("%s-new-%d", roleControl, s.replacements)
	address := fmt.Sprintf("10.9.1.%d:7000", s.replacements)
	others := slices.DeleteFunc(slices.Concat(s.replicas, s.proxies), func(n *node) bool { return n == old })
	seeds := addressesOf(others)
	s.world.After(s.millisBetween(500, 3000), func() {
		n := s.world.AddNode(roleControl, name, old.zone, address, seeds, nil)
		s.replicas[i] = n
		s.replaceDaemon(old, n)
		s.replaceSeed(old.address, address)
	})
	s.expectDegradedByDaemons(14 * time.Second)
}

// replaceSeed replaces a seed address in the settings of all daemons. It takes effect when they
// next start.
func (s *ControlScenario) replaceSeed(old, address string) {
	for _, n := range s.daemons {
		if i := slices.Index(n.seeds, old); i >= 0 {
			n.seeds = slices.Clone(n.seeds)
			n.seeds[i] = address
		}
	}
}

// stopControl asks a random control process, half of the time the leader, to hand over and
// end, and restarts it after 4 to 6 s.
func (s *ControlScenario) stopControl() bool {
	n := s.randomReplica()
	if s.world.coin() {
		n = s.leaderOrRandom()
	}
	s.world.logf("stop %s", n.name)
	s.world.Stop(n)
	s.world.After(s.millisBetween(4000, 6000), func() {
		s.world.Kill(n)
		s.world.Boot(n)
	})
	s.expectDegradedByDaemons(10 * time.Second)
	return true
}

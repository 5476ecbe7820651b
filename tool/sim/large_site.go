package sim

import (
	"maps"
	"slices"
	"time"
)

// Parts of the large site's traffic that are played. The leader was measured at 200 starts
// a second. All of the traffic, 270 a second, would take more than its share of a core.
const (
	measuredScale = 0.74
	fullScale     = 0.9
)

// Times of a run at the large site.
const (
	trafficStart = 10 * time.Second
	faultAt      = 22 * time.Second
	// recoverWithin is by when after a fault the level from before must be back.
	recoverWithin = 15 * time.Second
	// recoveredSpan is how long it must stay.
	recoveredSpan = 6 * time.Second
	largeSiteEnd  = faultAt + recoverWithin + recoveredSpan
	// largeSitePollInterval is how often clients ask after their jobs.
	largeSitePollInterval = time.Second
	// LargeSiteWindow is the span before the fault in which starts and the leader's usage
	// are measured.
	LargeSiteWindow = 10 * time.Second
	// levelWindow is the span over which starts are counted, levelFraction the part of the
	// starts from before that must be reached in each from the recovery on.
	levelWindow   = 2 * time.Second
	levelFraction = 0.8
)

// LargeSiteFaults are the faults at the large site, all on the leader or on all core
// processes.
var LargeSiteFaults = map[string]func(*ControlScenario){
	"leader-killed": func(s *ControlScenario) {
		n := s.leaderOrRandom()
		s.world.KillProcess(n)
		s.world.After(2*time.Second, func() { s.world.Boot(n) })
	},
	"leader-wiped": func(s *ControlScenario) {
		n := s.leaderOrRandom()
		s.world.Wipe(n)
		s.world.After(2*time.Second, func() { s.world.Boot(n) })
	},
	"leader-frozen": func(s *ControlScenario) {
		n := s.leaderOrRandom()
		s.world.Freeze(n)
		s.world.After(4*time.Second, func() { s.world.Unfreeze(n) })
	},
	"all-killed": func(s *ControlScenario) {
		for _, n := range slices.Concat(s.replicas, s.proxies) {
			s.world.KillProcess(n)
			s.bootAfter(n, 300, 2500)
		}
	},
}

// LargeSiteFaultNames lists the faults at the large site in order.
func LargeSiteFaultNames() []string { return slices.Sorted(maps.Keys(LargeSiteFaults)) }

// LargeSiteResult is what a run at the large site measured.
type LargeSiteResult struct {
	Fault string
	// StartsBefore is how many runs a second began in LargeSiteWindow before the fault.
	StartsBefore float64
	// StartsEachSecond are the runs that began in each second, from the first on.
	StartsEachSecond []int
	// RecoveredAfter is how long after the fault the last window below the level ended.
	RecoveredAfter time.Duration
	// LeaderUsage is the processor time that the leader used in LargeSiteWindow.
	LeaderUsage Usage
	Records     int // on the leader's disk at the fault
	Views       uint64
	// SnapshotTransfers is how many snapshots replicas were sent and installed.
	SnapshotTransfers int
	LogCounts         map[string]int
	SafetyViolations  []Violation
}

// snapshotInstalledEvent is the log event of a replica that has installed a snapshot.
const snapshotInstalledEvent = "snapshot_installed"

// RecoveredInTime reports whether the level from before came back in time, and stayed.
func (r LargeSiteResult) RecoveredInTime() bool { return r.RecoveredAfter <= recoverWithin }

// PlayLargeSite plays a run at the large site with a part of its traffic and a fault, or
// none. What is open at its end is not waited for, so that only what must never happen is
// judged. Without Options.Hardware the computers are those of LargeSiteHardware.
func PlayLargeSite(options Options, scale float64, fault string) LargeSiteResult {
	options.Size, options.Duration = LargeSize, largeSiteEnd
	if options.Hardware == nil {
		options.Hardware = LargeSiteHardware()
	}
	s := newControlScenario(options)
	s.pollInterval = largeSitePollInterval
	s.world.At(configAt, s.changeConfig)
	s.scheduleFinishedJobs()
	s.scheduleStreams(largeSiteTraffic, scale, trafficStart, largeSiteEnd)
	s.watchLeader(s.world, s.primary)
	result := LargeSiteResult{Fault: fault}
	s.world.At(faultAt-LargeSiteWindow, func() { result.LeaderUsage = s.leaderOrRandom().usage() })
	s.world.At(faultAt, func() {
		leader := s.leaderOrRandom()
		result.LeaderUsage, result.Records = leader.usage().since(result.LeaderUsage), leader.storedRecords()
		if play := LargeSiteFaults[fault]; play != nil {
			s.degradeDaemons(recoverWithin)
			play(s)
		}
	})
	s.world.RunUntil(largeSiteEnd)
	s.end = largeSiteEnd
	judged := s.finish()
	result.Views, result.LogCounts = judged.Views, judged.LogCounts
	result.SnapshotTransfers = judged.LogCounts[snapshotInstalledEvent]
	for _, violation := range judged.Violations {
		if slices.Contains(safetyChecks, violation.Check) {
			result.SafetyViolations = append(result.SafetyViolations, violation)
		}
	}
	result.countStarts(s)
	return result
}

// countStarts fills in the levels before and after the fault.
func (r *LargeSiteResult) countStarts(s *ControlScenario) {
	for at := time.Duration(0); at < largeSiteEnd; at += time.Second {
		r.StartsEachSecond = append(r.StartsEachSecond, s.countStarts(at, at+time.Second))
	}
	r.StartsBefore = float64(s.countStarts(faultAt-LargeSiteWindow, faultAt)) / LargeSiteWindow.Seconds()
	level := levelFraction * r.StartsBefore * levelWindow.Seconds()
	for at := faultAt; at+levelWindow <= largeSiteEnd; at += time.Second / 2 {
		if float64(s.countStarts(at, at+levelWindow)) < level {
			r.RecoveredAfter = at + levelWindow - faultAt
		}
	}
}

// countStarts counts the runs that began between two moments.
func (s *ControlScenario) countStarts(from, to time.Duration) (count int) {
	for _, r := range s.runs {
		if r.startedAt >= from && r.startedAt < to {
			count++
		}
	}
	return count
}

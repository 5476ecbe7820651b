package sim

import (
	"maps"
	"slices"
	"time"
)

// Scales of the large site's traffic. The leader was measured at 200 starts per second. At a
// scale of 1, 270 starts per second, it would use more than its share of a core.
const (
	measuredScale = 0.74
	fullScale     = 0.9
)

// Times of a run at the large site.
const (
	trafficStart = 10 * time.Second
	faultAt      = 22 * time.Second
	// recoverWithin is the time after a fault within which the start rate must be back at
	// the required level.
	recoverWithin = 15 * time.Second
	// sustainDuration is the time for which the rate must stay there.
	sustainDuration = 6 * time.Second
	largeSiteEnd    = faultAt + recoverWithin + sustainDuration
	// largeSitePollInterval is the interval at which clients poll the status of their jobs.
	largeSitePollInterval = time.Second
	// LargeSiteWindow is the time before the fault over which the start rate and the
	// leader's usage are measured.
	LargeSiteWindow = 10 * time.Second
	// rateWindow is the window over which starts are counted after the fault.
	// minRateFraction is the required level: the fraction of the start rate before the fault
	// that each window after the recovery must reach.
	rateWindow      = 2 * time.Second
	minRateFraction = 0.8
)

// LargeSiteFaults are the faults at the large site, by name. They hit the leader, or all
// control processes and proxies.
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

// LargeSiteFaultNames returns the names of LargeSiteFaults, sorted.
func LargeSiteFaultNames() []string { return slices.Sorted(maps.Keys(LargeSiteFaults)) }

// LargeSiteResult holds the measurements of a run at the large site.
type LargeSiteResult struct {
	Fault string
	// StartsBefore is the start rate, in runs per second, over LargeSiteWindow before the
	// fault.
	StartsBefore float64
	// StartsEachSecond counts the runs that started in each second of the simulation.
	StartsEachSecond []int
	// RecoveredAfter is the time from the fault to the end of the last window with too few
	// starts, 0 if there was none.
	RecoveredAfter time.Duration
	// LeaderUsage is what the leader used in LargeSiteWindow before the fault.
	LeaderUsage Usage
	Records     int // on the leader's disk at the fault
	Views       uint64
	// SnapshotTransfers is the number of snapshots that replicas received and installed.
	SnapshotTransfers int
	LogCounts         map[string]int
	SafetyViolations  []Violation
}

// snapshotInstalledEvent is the name of the event that a replica logs after it has installed
// a snapshot.
const snapshotInstalledEvent = "snapshot_installed"

// RecoveredInTime reports whether the start rate was back at the required level within
// recoverWithin of the fault, and stayed there.
func (r LargeSiteResult) RecoveredInTime() bool { return r.RecoveredAfter <= recoverWithin }

// PlayLargeSite plays a run at the large site, with its traffic multiplied by scale, and a
// fault from LargeSiteFaults, or none if the name is empty. It does not wait for jobs that
// are open at the end, so of the violations only those of safety checks count. If
// Options.Hardware is nil, the hardware is that of LargeSiteHardware.
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
			s.expectDegradedByDaemons(recoverWithin)
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

// countStarts sets the start rates before and after the fault, and RecoveredAfter.
func (r *LargeSiteResult) countStarts(s *ControlScenario) {
	for at := time.Duration(0); at < largeSiteEnd; at += time.Second {
		r.StartsEachSecond = append(r.StartsEachSecond, s.countStarts(at, at+time.Second))
	}
	r.StartsBefore = float64(s.countStarts(faultAt-LargeSiteWindow, faultAt)) / LargeSiteWindow.Seconds()
	level := minRateFraction * r.StartsBefore * rateWindow.Seconds()
	for at := faultAt; at+rateWindow <= largeSiteEnd; at += time.Second / 2 {
		if float64(s.countStarts(at, at+rateWindow)) < level {
			r.RecoveredAfter = at + rateWindow - faultAt
		}
	}
}

// countStarts counts the runs that started in the interval [from, to).
func (s *ControlScenario) countStarts(from, to time.Duration) (count int) {
	for _, r := range s.runs {
		if r.startedAt >= from && r.startedAt < to {
			count++
		}
	}
	return count
}

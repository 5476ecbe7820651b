package sim

import (
	"fmt"
	"slices"
	"time"
)

// diskRepairTime is how long after a lost disk no other one is taken.
const diskRepairTime = 20 * time.Second

// scenario is what the scenarios of both compositions have: a world with its daemons, and
// an oracle that notes what happens in it.
type scenario struct {
	oracle
	options  Options
	world    *World
	zones    []string
	replicas []*node // or the control processes, each of which is a replica too

	requestCount int // operators' requests, which numbers their idempotency keys
	replacements int // daemons that were replaced, which numbers their addresses
	lastFaultAt  time.Duration
	// nextDiskLossAt is when another disk may be lost.
	nextDiskLossAt time.Duration
}

// newScenario returns a scenario in an empty world.
func newScenario(options Options, zones []string) scenario {
	s := scenario{oracle: newOracle(), options: options, world: NewWorld(options.Seed), zones: zones}
	s.world.Log = options.Log
	return s
}

// runToEnd runs a prepared world until all jobs have ended, or the time for that is over.
func (s *scenario) runToEnd() {
	s.world.RunUntil(s.options.Duration + recoveryBound + probesRun)
	for s.world.Now < s.end && s.hasOpenJobs() {
		s.world.RunUntil(s.world.Now + time.Second)
	}
	s.end = s.world.Now
}

// hasOpenJobs reports whether a job that can end has not ended yet.
func (s *scenario) hasOpenJobs() bool {
	return slices.ContainsFunc(s.jobs, func(job *clientJob) bool {
		return job.endedAt == 0 && job.rejection == 0 && !job.impossible
	})
}

func (s *scenario) zoneOf(i int) string { return s.zones[i%len(s.zones)] }

// idempotencyKey makes a key for an operator's request.
func (s *scenario) idempotencyKey() string {
	s.requestCount++
	return fmt.Sprintf("ask-%d", s.requestCount)
}

// primary returns the replica that serves, nil if none does.
func (s *scenario) primary() *node { return primaryOf(s.replicas) }

// randomReplica draws a replica.
func (s *scenario) randomReplica() *node { return s.replicas[s.world.rng.IntN(len(s.replicas))] }

// randomDaemon draws a daemon.
func (s *scenario) randomDaemon() *node { return s.daemons[s.world.rng.IntN(len(s.daemons))] }

// replaceDaemon puts a daemon in the place of another one.
func (s *scenario) replaceDaemon(old, replacement *node) {
	if i := slices.Index(s.daemons, old); i >= 0 {
		s.daemons[i] = replacement
	}
}

// takeDisk reports whether a disk may be lost now, and if so, has none other be lost until
// it is repaired: every voter of the newest view must be up, since no more than one disk
// may be missing.
func (s *scenario) takeDisk() bool {
	if s.world.Now < s.nextDiskLossAt || !allMembersUp(s.replicas) {
		return false
	}
	s.nextDiskLossAt = s.world.Now + diskRepairTime
	return true
}

// degrade notes that speed is not judged for a while.
func (s *scenario) degrade(duration time.Duration) { s.markDegraded(s.world.Now, duration) }

// degradeDaemons is degrade for a fault of the daemons themselves.
func (s *scenario) degradeDaemons(duration time.Duration) {
	s.degrade(duration)
	s.lastFaultAt = max(s.lastFaultAt, s.world.Now)
}

// newResult sums a run up, after the oracle has judged it.
func (s *scenario) newResult() Result {
	result := Result{
		Seed: s.world.Seed, Trace: s.world.Trace, MessageCount: s.world.MessageCount, LogCounts: s.world.LogCounts,
		Jobs: len(s.jobs), Runs: len(s.runs), LastFault: s.lastFaultAt,
		FirstStarts: map[string]time.Duration{}, RestartMillis: map[string][]float64{},
		RunsByWorker: map[string]int{}, FailedRunsByWorker: map[string]int{},
	}
	result.countRuns(s.runs)
	result.countJobs(s.jobs)
	for _, n := range s.replicas {
		if r := n.replica(); r != nil {
			result.Views = max(result.Views, r.View().Epoch)
		}
	}
	return result
}

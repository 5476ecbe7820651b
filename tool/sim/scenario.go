package sim

import (
	"fmt"
	"slices"
	"time"
)

// diskRepairTime is the least time between two losses of a disk.
const diskRepairTime = 20 * time.Second

// scenario is the common part of the scenarios of both compositions: a world with its
// daemons, and an oracle that records what happens in it.
type scenario struct {
	oracle
	options  Options
	world    *World
	zones    []string
	replicas []*node // in the control composition, the control processes

	requestCount int // operators' requests so far; numbers their idempotency keys
	replacements int // daemons replaced so far; numbers the addresses of the new ones
	lastFaultAt  time.Duration
	// nextDiskLossAt is the earliest time at which another disk may be lost.
	nextDiskLossAt time.Duration
}

// newScenario returns a scenario in an empty world.
func newScenario(options Options, zones []string) scenario {
	s := scenario{oracle: newOracle(), options: options, world: NewWorld(options.Seed), zones: zones}
	s.world.Log = options.Log
	return s
}

// runToEnd runs the prepared world until probeDuration after the probes are submitted, and
// then until all jobs that can end have ended, but no longer than s.end. It sets s.end to
// the time at which the run stopped.
func (s *scenario) runToEnd() {
	s.world.RunUntil(s.options.Duration + recoveryBound + probeDuration)
	for s.world.Now < s.end && s.hasOpenJobs() {
		s.world.RunUntil(s.world.Now + time.Second)
	}
	s.end = s.world.Now
}

// hasOpenJobs reports whether any job that can end has not ended yet. Jobs that were
// rejected, or that no worker can run, don't count.
func (s *scenario) hasOpenJobs() bool {
	return slices.ContainsFunc(s.jobs, func(job *clientJob) bool {
		return job.endedAt == 0 && job.rejection == 0 && !job.impossible
	})
}

func (s *scenario) zoneOf(i int) string { return s.zones[i%len(s.zones)] }

// idempotencyKey returns a new key for an operator's request.
func (s *scenario) idempotencyKey() string {
	s.requestCount++
	return fmt.Sprintf("ask-%d", s.requestCount)
}

// primary returns the replica that serves as primary, nil if none does.
func (s *scenario) primary() *node { return primaryOf(s.replicas) }

// randomReplica returns a replica chosen at random.
func (s *scenario) randomReplica() *node { return s.replicas[s.world.rng.IntN(len(s.replicas))] }

// randomDaemon returns a daemon chosen at random.
func (s *scenario) randomDaemon() *node { return s.daemons[s.world.rng.IntN(len(s.daemons))] }

// replaceDaemon replaces one daemon by another in the list of daemons.
func (s *scenario) replaceDaemon(old, replacement *node) {
	if i := slices.Index(s.daemons, old); i >= 0 {
		s.daemons[i] = replacement
	}
}

// reserveDiskLoss reports whether a fault may destroy a disk now. If so, it lets no other
// fault do so for diskRepairTime. No more than one disk may be missing at a time, so every
// voter of the newest view must be up.
func (s *scenario) reserveDiskLoss() bool {
	if s.world.Now < s.nextDiskLossAt || !allMembersUp(s.replicas) {
		return false
	}
	s.nextDiskLossAt = s.world.Now + diskRepairTime
	return true
}

// expectDegraded excludes the time from now-degradedBefore to now+duration from the latency
// checks.
func (s *scenario) expectDegraded(duration time.Duration) { s.markDegraded(s.world.Now, duration) }

// expectDegradedByDaemons is expectDegraded for a fault of the daemons themselves. It also
// records now as the time of the last such fault.
func (s *scenario) expectDegradedByDaemons(duration time.Duration) {
	s.expectDegraded(duration)
	s.lastFaultAt = max(s.lastFaultAt, s.world.Now)
}

// newResult returns the summary of a run that the oracle has judged.
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

package scheduler

import (
	"time"

	"sorrelloom/core/dispatch"
	"sorrelloom/core/machine"
	"sorrelloom/core/state"
)

const (
	// maxGrantsPerScan bounds the grants that one scan proposes on the primary's own state.
	maxGrantsPerScan = 64
	// maxLooksPerScan bounds what the pulls of one scan look at there, also in vain: a pull that
	// finds nothing may look through all queues.
	maxLooksPerScan = 16384
)

// quickRounds are those of dispatch.PullRounds for quick classes.
var quickRounds = dispatch.PullRounds[:2]

// grantPass is a look at workers in all rounds: quick work before all other, and their own
// queues before stealing. A scan that has done its part leaves the rest to the next one.
type grantPass struct {
	workers []string
	// round and next are where the next scan goes on.
	round, next int
}

func (p *grantPass) active() bool { return len(p.workers) > 0 }

// grantBudget is what a scan may still do.
type grantBudget struct{ grants, looks int }

// proposeGrants lets the workers with free resources pull. While an earlier pass has not come
// to its end, these workers pull quick work only, and the others go on where they were.
func (s *Scheduler) proposeGrants(now time.Duration, workers []string, out *machine.Output) {
	inFlight := s.inFlight(now)
	pulling := s.pullingWorkers(now, workers)
	budget := grantBudget{maxGrantsPerScan, maxLooksPerScan}
	pass := &s.scans.pass
	if pass.active() {
		budget.looks /= 2
		quick := grantPass{workers: pulling}
		s.runPass(now, &quick, quickRounds, &budget, inFlight, out)
		budget.looks = maxLooksPerScan / 2
		for _, worker := range pulling {
			s.scans.changedWorkers[worker] = true
		}
	} else {
		*pass = grantPass{workers: pulling}
	}
	done := s.runPass(now, pass, dispatch.PullRounds, &budget, inFlight, out)
	if !done && budget.grants <= 0 {
		// There is work for these workers. The next scan begins with what is quick again.
		for _, worker := range pass.workers {
			s.scans.changedWorkers[worker] = true
		}
	}
	if done || budget.grants <= 0 {
		*pass = grantPass{}
	}
	if pass.active() || len(s.scans.changedWorkers) > 0 {
		s.scans.next = min(s.scans.next, now+minScanGap)
	}
}

// runPass goes on with a pass as far as the budget reaches, and reports whether it has come to
// its end.
func (s *Scheduler) runPass(
	now time.Duration, pass *grantPass, rounds []dispatch.PullRound, budget *grantBudget,
	inFlight dispatch.InFlight, out *machine.Output,
) (done bool) {
	for ; pass.round < len(rounds); pass.round, pass.next = pass.round+1, 0 {
		for ; pass.next < len(pass.workers); pass.next++ {
			worker := pass.workers[pass.next]
			if !s.pullAll(now, worker, rounds[pass.round], budget, &inFlight, out) {
				return false
			}
			if pass.round == len(dispatch.PullRounds)-1 {
				s.markIdle(now, worker)
			}
		}
	}
	return true
}

// pullAll lets a worker pull in one round until it finds nothing, and reports whether the
// budget has reached for that.
func (s *Scheduler) pullAll(
	now time.Duration, worker string, round dispatch.PullRound, budget *grantBudget,
	inFlight *dispatch.InFlight, out *machine.Output,
) bool {
	for {
		if s.access.IsLocal() && (budget.grants <= 0 || budget.looks <= 0) {
			return false
		}
		pending, waits := s.heartbeats[worker]
		if !waits || !s.mayPull(&pending) {
			return true
		}
		before := s.dispatcher.Looks()
		proposal, ok := s.dispatcher.Pull(s.access.State(), worker, *inFlight, round)
		budget.looks -= int(s.dispatcher.Looks() - before)
		if !ok {
			return true
		}
		budget.grants--
		s.propose(now, pending.heartbeat.Zone, state.KindGrantLeases, proposal, out)
		if !s.access.IsLocal() {
			*inFlight = s.inFlight(now)
			continue
		}
		for _, ref := range proposal.Tasks {
			inFlight.Tasks[ref] = true
		}
	}
}

// mayPull reports whether the worker of a heartbeat may be given work for it.
func (s *Scheduler) mayPull(pending *pendingHeartbeat) bool {
	return (pending.recorded || s.access.IsLocal()) && !pending.heartbeat.Leaving &&
		s.leads(pending.heartbeat.Zone) && !s.notYetApplied(pending)
}

// markIdle notes that a worker has found nothing.
func (s *Scheduler) markIdle(now time.Duration, worker string) {
	s.idle[worker] = idleMark{
		queueVersion: s.dispatcher.QueueVersion(worker),
		free:         s.access.State().FreeResources(worker),
		until:        now + fullScanInterval,
	}
}

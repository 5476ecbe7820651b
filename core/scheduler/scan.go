package scheduler

import (
	"maps"
	"slices"
	"time"

	"sorrelloom/core/dispatch"
	"sorrelloom/core/machine"
	"sorrelloom/core/state"
)

// A scan looks at the workers whose heartbeats wait for a reply. On the primary's own
// state it looks only at those for which something has changed: a heartbeat, a
// committed command, a lease, or a task that came into their queue. All workers are
// looked at in each fullScanInterval.
//
// A scan takes the longer the more tasks wait. While inputs wait, they are given as much
// time after each scan as the scan took: ends, questions and acknowledgements must not wait
// for a dispatcher that is short of processor.

const (
	fullScanInterval = 50 * time.Millisecond
	// minScanGap is the least time between two scans on the primary's own state.
	minScanGap = 8 * time.Millisecond
	// maxGrantsPerScan bounds the grants that one scan proposes on the primary's own state.
	maxGrantsPerScan = 64
	// maxPullingWorkers bounds the workers for which one scan looks for tasks there. To find
	// nothing for one costs the more, the more tasks wait: where inputs had to wait for a scan
	// for longer than longScan, the next one looks for half as many, for minPullingWorkers at
	// least, and for twice as many after a scan of less than a quarter of that.
	maxPullingWorkers = 48
	minPullingWorkers = 3
	longScan          = 40 * time.Millisecond
	// maxYield is for how long inputs go before a scan at most, also after a scan during
	// which the process was suspended.
	maxYield = 250 * time.Millisecond
	// preemptionInterval is the time between two looks for a lease to preempt.
	preemptionInterval = 50 * time.Millisecond
)

// scanSchedule says when the next scans come and what they look at.
type scanSchedule struct {
	next     time.Duration
	last     time.Duration
	nextFull time.Duration
	// running says that no step came after the last scan, which tells when that was over;
	// until yieldUntil inputs that wait go before the next one.
	running    bool
	yieldUntil time.Duration
	// changedWorkers are those that the next scan looks at, unless it is a full one.
	changedWorkers map[string]bool
	// lastPulling is the last worker for which a scan looked for tasks.
	lastPulling string
	// adaptedTurn is for how many workers the next scan looks for tasks; 0 is
	// maxPullingWorkers.
	adaptedTurn int
}

// turnSize is for how many workers the next scan looks for tasks.
func (t *scanSchedule) turnSize() int {
	if t.adaptedTurn == 0 {
		return maxPullingWorkers
	}
	return t.adaptedTurn
}

// adaptTurn has the next scan look for tasks for as many workers as the last one allows.
func (t *scanSchedule) adaptTurn(took time.Duration, backlog int) {
	switch {
	case took > longScan && backlog > 0:
		t.adaptedTurn = max(minPullingWorkers, t.turnSize()/2)
	case took < longScan/2:
		t.adaptedTurn = min(maxPullingWorkers, 2*t.turnSize())
	}
}

// takeTurn returns the workers whose turn it is to have tasks looked for, of those that may
// pull, by name, and the rest. It goes on after those of the last scan.
func (t *scanSchedule) takeTurn(pulling []string) (turn, rest []string) {
	next, found := slices.BinarySearch(pulling, t.lastPulling)
	if found {
		next++
	}
	turn = slices.Concat(pulling[next:], pulling[:next])
	if size := t.turnSize(); len(turn) > size {
		turn, rest = turn[:size], turn[size:]
	}
	if len(turn) > 0 {
		t.lastPulling = turn[len(turn)-1]
	}
	return turn, rest
}

// requestSoon has the next scan come as soon as it may.
func (t *scanSchedule) requestSoon(now time.Duration) {
	t.next = min(t.next, max(now, t.last+minScanGap))
}

// noteStep notes when the last scan was over: by the time of the first step after it, behind
// which inputs wait.
func (t *scanSchedule) noteStep(now time.Duration, backlog int) {
	if t.running && now > t.last {
		t.running, t.yieldUntil = false, now+min(now-t.last, maxYield)
		t.adaptTurn(now-t.last, backlog)
	}
}

// isDue reports whether to scan in a step behind which inputs wait.
func (t *scanSchedule) isDue(now time.Duration, backlog int) bool {
	return now >= t.next && (backlog == 0 || !t.running && now >= t.yieldUntil)
}

// idleMark is the state in which a worker found nothing to pull.
type idleMark struct {
	queueVersion uint64
	free         state.Resources
	until        time.Duration
}

// markChangedWorkers has the next scan look at the workers that changes of the state
// concern.
func (s *Scheduler) markChangedWorkers(changes []state.Change) {
	if !s.access.IsLocal() {
		return
	}
	changed := s.scans.changedWorkers
	maps.Copy(changed, s.dispatcher.TakeChangedWorkers())
	for _, change := range changes {
		switch {
		case change.All:
			s.scans.nextFull = 0
		case change.Worker != "":
			changed[change.Worker] = true
		case change.Task >= 0:
			if job, ok := s.access.State().Job(change.Job); ok && job.Tasks[change.Task].Lease.Held() {
				changed[job.Tasks[change.Task].Lease.Worker] = true
			}
		}
	}
}

// workersToScan returns the workers, by name, that wait for a reply and that the
// scan looks at.
func (s *Scheduler) workersToScan(full bool) []string {
	if full {
		return slices.Sorted(maps.Keys(s.heartbeats))
	}
	workers := make([]string, 0, len(s.scans.changedWorkers))
	for worker := range s.scans.changedWorkers {
		if _, waits := s.heartbeats[worker]; waits {
			workers = append(workers, worker)
		}
	}
	slices.Sort(workers)
	return workers
}

// scan proposes grants for the workers with free resources, and preemptions, then
// answers the heartbeats for which there are orders or that have waited long enough.
func (s *Scheduler) scan(now time.Duration, out *machine.Output) {
	interrupted := s.config.Phases.Enter(machine.PhaseSchedule)
	defer s.config.Phases.Enter(interrupted)
	s.scans.next, s.scans.last, s.scans.running = now+fullScanInterval, now, true
	full := !s.access.IsLocal() || now >= s.scans.nextFull
	workers := s.workersToScan(full)
	s.scans.changedWorkers = map[string]bool{}
	if full {
		s.scans.nextFull = now + fullScanInterval
	}
	if !s.stopping && s.access.Fresh(now) {
		s.proposeGrants(now, workers, out)
		if now >= s.nextPreemption || !s.access.IsLocal() {
			s.config.Phases.Enter(machine.PhasePreempt)
			s.proposePreemptions(now, out)
		}
	}
	s.config.Phases.Enter(machine.PhaseOrders)
	uncommitted := s.uncommittedAttempts()
	for _, worker := range workers {
		if pending := s.heartbeats[worker]; pending.recorded {
			s.sendOrders(now, &pending, uncommitted, out)
		}
	}
	if full {
		s.forgetSentStops(now)
	}
}

// proposeGrants lets the workers with free resources pull: quick work before all
// other, and their own queues before stealing.
func (s *Scheduler) proposeGrants(now time.Duration, workers []string, out *machine.Output) {
	inFlight := s.inFlight(now)
	pulling := s.pullingWorkers(now, workers)
	if s.access.IsLocal() && len(pulling) > s.scans.turnSize() {
		turn, rest := s.scans.takeTurn(pulling)
		s.deferGrants(now, rest)
		pulling = turn
	}
	proposed := 0
	for _, round := range dispatch.PullRounds {
		for _, worker := range pulling {
			for {
				if proposed >= maxGrantsPerScan && s.access.IsLocal() {
					s.deferGrants(now, pulling)
					return
				}
				proposal, ok := s.dispatcher.Pull(s.access.State(), worker, inFlight, round)
				if !ok {
					break
				}
				proposed++
				zone := s.heartbeats[worker].heartbeat.Zone
				s.propose(now, zone, state.KindGrantLeases, proposal, out)
				if !s.access.IsLocal() {
					inFlight = s.inFlight(now)
					continue
				}
				for _, ref := range proposal.Tasks {
					inFlight.Tasks[ref] = true
				}
			}
		}
	}
	s.markIdle(now, pulling)
}

// pullingWorkers returns those workers that may pull now. On the primary's own state,
// where a proposal takes effect at once, a worker that found nothing is left alone
// until something has changed for it.
func (s *Scheduler) pullingWorkers(now time.Duration, workers []string) []string {
	var pulling []string
	for _, worker := range workers {
		pending := s.heartbeats[worker]
		if !pending.recorded && !s.access.IsLocal() || pending.heartbeat.Leaving ||
			!s.leads(pending.heartbeat.Zone) || s.notYetApplied(&pending) {
			continue
		}
		if s.access.IsLocal() && s.isIdle(now, worker) {
			continue
		}
		pulling = append(pulling, worker)
	}
	return pulling
}

func (s *Scheduler) isIdle(now time.Duration, worker string) bool {
	mark, ok := s.idle[worker]
	return ok && mark.free == s.access.State().FreeResources(worker) &&
		mark.queueVersion == s.dispatcher.QueueVersion(worker) && now < mark.until
}

func (s *Scheduler) markIdle(now time.Duration, workers []string) {
	for _, worker := range workers {
		s.idle[worker] = idleMark{
			queueVersion: s.dispatcher.QueueVersion(worker),
			free:         s.access.State().FreeResources(worker),
			until:        now + fullScanInterval,
		}
	}
}

// deferGrants leaves the rest of a scan's grants to the next scan.
func (s *Scheduler) deferGrants(now time.Duration, workers []string) {
	for _, worker := range workers {
		s.scans.changedWorkers[worker] = true
	}
	s.scans.next = min(s.scans.next, now+minScanGap)
}

// proposePreemptions proposes one preemption in each zone at most. Where there was one, or
// the dispatcher has more tasks to look at, the next scan goes on.
func (s *Scheduler) proposePreemptions(now time.Duration, out *machine.Output) {
	s.nextPreemption = now + preemptionInterval
	propose := func(zone string, proposal dispatch.Proposal) {
		s.propose(now, zone, state.KindPreempt, proposal, out)
		s.nextPreemption = now
	}
	if s.dispatcher.Preempt(s.access.State(), s.LedZones(), s.inFlight(now), propose) {
		s.nextPreemption = now
	}
}

// uncommittedAttempts returns the tasks, with attempt number 0, of the grants that
// the primary's own state shows before they are committed. No worker may get
// them yet.
func (s *Scheduler) uncommittedAttempts() map[state.Attempt]bool {
	uncommitted := map[state.Attempt]bool{}
	if !s.access.IsLocal() {
		return uncommitted
	}
	for _, pending := range s.proposals {
		if pending.committedAt > 0 || pending.rejected {
			continue
		}
		for i := range pending.tasks {
			assignment := &pending.assignments[i]
			uncommitted[state.Attempt{Job: assignment.Job, Task: assignment.Task}] = true
		}
	}
	return uncommitted
}

package scheduler

import (
	"maps"
	"slices"
	"time"

	"sorrelloom/core/dispatch"
	"sorrelloom/core/machine"
	"sorrelloom/core/state"
)

// A scan visits workers with a pending heartbeat. On the primary's own state it visits only
// the workers for which something has changed: a heartbeat, a committed command, a lease, or
// a task added to their queue. A full scan, every fullScanInterval, visits all of them.
//
// The duration of a scan grows with the number of queued tasks. While inputs are waiting,
// they get as much time after each scan as the scan took: results, queries and
// acknowledgements must not be delayed by a dispatcher that lacks CPU time.

const (
	fullScanInterval = 50 * time.Millisecond
	// minScanGap is the minimum time between two scans on the primary's own state.
	minScanGap = 8 * time.Millisecond
	// maxGrantsPerScan limits the grants that one scan proposes on the primary's own state.
	maxGrantsPerScan = 64
	// maxPullingWorkers limits the workers that may pull in one scan on the primary's own
	// state. A pull that finds nothing takes longer the more tasks are queued. Therefore the
	// limit is halved, down to minPullingWorkers, when a scan has made inputs wait for longer
	// than longScan, and doubled again after a scan shorter than half of longScan.
	maxPullingWorkers = 48
	minPullingWorkers = 3
	longScan          = 40 * time.Millisecond
	// maxYield limits how long inputs take precedence over a scan. It matters when the process
	// was suspended during the last scan, whose duration then appears too long.
	maxYield = 250 * time.Millisecond
	// preemptionInterval is the time between two searches for a lease to preempt.
	preemptionInterval = 50 * time.Millisecond
)

// scanSchedule decides when the next scans start and which workers they visit.
type scanSchedule struct {
	nextStart time.Duration
	lastStart time.Duration
	nextFull  time.Duration
	// lastUnmeasured is set from a scan until the next step, whose time shows how long the
	// scan took. yieldUntil is derived from it: until then, waiting inputs take precedence.
	lastUnmeasured bool
	yieldUntil     time.Duration
	// changedWorkers are the workers that the next scan visits, unless it is a full scan.
	changedWorkers map[string]bool
	// lastPulling is the last worker of the previous batch.
	lastPulling string
	// adaptedBatchSize is the number of workers that may pull in the next scan; 0 means
	// maxPullingWorkers.
	adaptedBatchSize int
}

// batchSize returns the number of workers that may pull in the next scan.
func (t *scanSchedule) batchSize() int {
	if t.adaptedBatchSize == 0 {
		return maxPullingWorkers
	}
	return t.adaptedBatchSize
}

// adaptBatchSize adapts the batch size to the duration of the last scan and to the number of
// inputs that waited for it.
func (t *scanSchedule) adaptBatchSize(took time.Duration, backlog int) {
	switch {
	case took > longScan && backlog > 0:
		t.adaptedBatchSize = max(minPullingWorkers, t.batchSize()/2)
	case took < longScan/2:
		t.adaptedBatchSize = min(maxPullingWorkers, 2*t.batchSize())
	}
}

// nextBatch splits pulling, which is sorted by name, into the workers that pull in this scan
// and the rest. It continues round-robin after the last worker of the previous batch.
func (t *scanSchedule) nextBatch(pulling []string) (batch, rest []string) {
	next, found := slices.BinarySearch(pulling, t.lastPulling)
	if found {
		next++
	}
	batch = slices.Concat(pulling[next:], pulling[:next])
	if size := t.batchSize(); len(batch) > size {
		batch, rest = batch[:size], batch[size:]
	}
	if len(batch) > 0 {
		t.lastPulling = batch[len(batch)-1]
	}
	return batch, rest
}

// requestScan schedules the next scan for the earliest time that minScanGap allows.
func (t *scanSchedule) requestScan(now time.Duration) {
	t.nextStart = min(t.nextStart, max(now, t.lastStart+minScanGap))
}

// measureLastScan is called in every step. The first step after a scan determines the scan's
// duration, and with it yieldUntil and the next batch size; backlog is the number of queued
// inputs.
func (t *scanSchedule) measureLastScan(now time.Duration, backlog int) {
	if t.lastUnmeasured && now > t.lastStart {
		t.lastUnmeasured, t.yieldUntil = false, now+min(now-t.lastStart, maxYield)
		t.adaptBatchSize(now-t.lastStart, backlog)
	}
}

// isDue reports whether the step at now is to scan; backlog is the number of queued inputs.
func (t *scanSchedule) isDue(now time.Duration, backlog int) bool {
	return now >= t.nextStart && (backlog == 0 || !t.lastUnmeasured && now >= t.yieldUntil)
}

// emptyPull records that a worker found nothing to pull. The worker pulls again only after its
// queue or its free resources have changed, or at the time until.
type emptyPull struct {
	queueVersion uint64
	free         state.Resources
	until        time.Duration
}

// markChangedWorkers includes the workers that are affected by changes of the state, or whose
// queues have changed, in the next scan.
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

// workersToScan returns the workers that the scan visits, sorted by name: all with a pending
// heartbeat in a full scan, otherwise those among them for which something has changed.
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

// scan proposes grants for workers with free resources, and preemptions. It then answers the
// heartbeats for which there are orders or whose maximum wait is over.
func (s *Scheduler) scan(now time.Duration, out *machine.Output) {
	interrupted := s.config.Phases.Enter(machine.PhaseSchedule)
	defer s.config.Phases.Enter(interrupted)
	s.scans.nextStart, s.scans.lastStart, s.scans.lastUnmeasured = now+fullScanInterval, now, true
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

// proposeGrants lets the workers with free resources pull tasks, in the order of
// dispatch.PullRounds: tasks of quick classes first, and a worker's own queue before stealing.
func (s *Scheduler) proposeGrants(now time.Duration, workers []string, out *machine.Output) {
	inFlight := s.inFlight(now)
	pulling := s.pullingWorkers(now, workers)
	if s.access.IsLocal() && len(pulling) > s.scans.batchSize() {
		batch, rest := s.scans.nextBatch(pulling)
		s.deferGrants(now, rest)
		pulling = batch
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
	s.recordEmptyPulls(now, pulling)
}

// pullingWorkers returns those of the workers that may pull now. On the primary's own state,
// where a proposal takes effect at once, a worker whose last pull was empty is skipped until
// something has changed for it.
func (s *Scheduler) pullingWorkers(now time.Duration, workers []string) []string {
	var pulling []string
	for _, worker := range workers {
		pending := s.heartbeats[worker]
		if !pending.recorded && !s.access.IsLocal() || pending.heartbeat.Leaving ||
			!s.leads(pending.heartbeat.Zone) || s.notYetApplied(&pending) {
			continue
		}
		if s.access.IsLocal() && s.hasNothingToPull(now, worker) {
			continue
		}
		pulling = append(pulling, worker)
	}
	return pulling
}

// hasNothingToPull reports whether the last pull of a worker was empty and nothing has changed
// since.
func (s *Scheduler) hasNothingToPull(now time.Duration, worker string) bool {
	last, ok := s.emptyPulls[worker]
	return ok && last.free == s.access.State().FreeResources(worker) &&
		last.queueVersion == s.dispatcher.QueueVersion(worker) && now < last.until
}

func (s *Scheduler) recordEmptyPulls(now time.Duration, workers []string) {
	for _, worker := range workers {
		s.emptyPulls[worker] = emptyPull{
			queueVersion: s.dispatcher.QueueVersion(worker),
			free:         s.access.State().FreeResources(worker),
			until:        now + fullScanInterval,
		}
	}
}

// deferGrants schedules another scan of the given workers as soon as minScanGap allows.
func (s *Scheduler) deferGrants(now time.Duration, workers []string) {
	for _, worker := range workers {
		s.scans.changedWorkers[worker] = true
	}
	s.scans.nextStart = min(s.scans.nextStart, now+minScanGap)
}

// proposePreemptions proposes at most one preemption for each zone. If it proposed one, or the
// dispatcher has more tasks to examine, the next scan continues without waiting for
// preemptionInterval.
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

// uncommittedAttempts returns the tasks, with attempt number 0, of the grants that the
// primary's own state contains before they are committed. Their starts must not be sent yet.
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

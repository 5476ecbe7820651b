package dispatch

import (
	"cmp"
	"slices"
	"time"

	"sorrelloom/core/state"
	"sorrelloom/core/status"
)

const (
	// preemptAfter is how long a task waits before a lease is preempted for it.
	preemptAfter = 20 * time.Millisecond
	// heartbeatFreshness is the age of the last heartbeat up to which a worker is expected to
	// pull.
	heartbeatFreshness = 1500 * time.Millisecond
	// preemptionRoundInterval is the minimum time between the starts of two rounds over the
	// groups of a class.
	preemptionRoundInterval = 25 * time.Millisecond
	// In each class, one call scans at most maxGroupsScanned groups, and compares at most
	// maxGroupsCompared of them with the resources of the workers.
	maxGroupsScanned  = 256
	maxGroupsCompared = 16
	// maxHeadsExamined bounds how many tasks of a group are examined to find one in each zone.
	maxHeadsExamined = 64
)

// unavailable stands for the available resources of a worker that is not expected to take a
// task soon.
var unavailable = state.Resources{Slots: -1}

// ProposePreemption submits a proposal for a zone. On the primary's own state it takes effect
// before the function returns.
type ProposePreemption func(zone string, proposal Proposal)

// preemptionScan is one scan for leases to preempt.
type preemptionScan struct {
	dispatcher *Dispatcher
	store      *state.Store
	inFlight   *InFlight
	propose    ProposePreemption
	// openZones are the zones for which nothing has been proposed yet.
	openZones []string
	// untried are the open zones in which no task of the present group has been examined yet.
	untried []string
	// available holds what each worker has free or is about to free, in the order of the
	// workers; it is empty until it is computed.
	available []state.Resources
	// compared counts the groups of the present class that were compared with the resources of
	// the workers.
	compared int
	// unfinished is set if a class has groups left to scan.
	unfinished bool
}

// Preempt proposes leases to be preempted, in each of the zones for at most one queued task.
// The task is within its class's share, and the workers that fit it don't have enough free
// resources for all tasks of its group, even with those of the leases that are being stopped.
// Classes come in the order of their tiers, and the groups of each class in rounds, oldest
// first. Preempt reports whether groups are left that the next call should scan soon.
func (d *Dispatcher) Preempt(
	store *state.Store, zones []string, inFlight InFlight, propose ProposePreemption,
) (unfinished bool) {
	if d.options.WithoutPreemption {
		return false
	}
	scan := preemptionScan{
		dispatcher: d, store: store, inFlight: &inFlight, propose: propose,
		openZones: zonesWithWorkers(store, zones), available: d.availableBuffer[:0],
	}
	for _, class := range scan.classesByTier() {
		if len(scan.openZones) > 0 {
			scan.continueRound(class)
		}
	}
	d.availableBuffer = scan.available
	return scan.unfinished
}

// zonesWithWorkers returns those of the zones that have workers.
func zonesWithWorkers(store *state.Store, zones []string) (found []string) {
	for _, zone := range zones {
		if slices.ContainsFunc(store.WorkerEntries(), func(worker *state.WorkerEntry) bool {
			return worker.Record().Zone == zone
		}) {
			found = append(found, zone)
		}
	}
	return found
}

// classesByTier returns the classes that have queued tasks, highest tier first. The tier of a
// class is that of the oldest task of its oldest group.
func (p *preemptionScan) classesByTier() []*waitingClass {
	tiers := map[*waitingClass]tier{}
	var classes []*waitingClass
	for _, class := range p.dispatcher.queues.waiting.byClass {
		if len(class.groups) == 0 {
			continue
		}
		oldest := class.groups[0]
		head := oldest.tasks[0].ref
		if job, ok := p.store.Job(head.Job); ok {
			classes = append(classes, class)
			tiers[class] = tierOf(p.store, &oldest.key, job, head.Index)
		}
	}
	slices.SortFunc(classes, func(a, b *waitingClass) int {
		switch {
		case tiers[b].less(tiers[a]):
			return -1
		case tiers[a].less(tiers[b]):
			return 1
		}
		return cmp.Or(cmp.Compare(a.key.Service, b.key.Service), cmp.Compare(a.key.Class, b.key.Class))
	})
	return classes
}

// continueRound scans the next groups of a class, and begins a new round if the last one is
// complete. The next call continues with the first group for which leases were proposed, since
// it may need more, or with the first that was not scanned.
func (p *preemptionScan) continueRound(class *waitingClass) {
	usedSlots, shareSlots := p.store.ClassUse(class.key.Service, class.key.Class)
	if usedSlots >= shareSlots {
		return
	}
	round, now := &class.round, p.store.Now()
	if round.complete && now >= round.startedAt+preemptionRoundInterval {
		*round = preemptionRound{startedAt: now}
	}
	first, _ := class.search(round.nextNumber)
	p.compared = 0
	served := false
	for scanned, group := range class.groups[first:] {
		if scanned == maxGroupsScanned || p.compared >= maxGroupsCompared || len(p.openZones) == 0 {
			round.complete, p.unfinished = false, true
			return
		}
		proposed := p.scanGroup(group)
		if served = served || proposed; !served {
			round.nextNumber = group.firstNumber + 1
		}
	}
	round.complete = !served
}

// scanGroup proposes leases to be preempted for the tasks of a group, in each open zone for one
// of the tasks that are queued there. It reports whether it has proposed any.
func (p *preemptionScan) scanGroup(group *waitingGroup) (proposed bool) {
	d, key := p.dispatcher, &group.key
	p.untried = append(p.untried[:0], p.openZones...)
	for _, task := range group.tasks[:min(len(group.tasks), maxHeadsExamined)] {
		job, ok := p.store.Job(task.ref.Job)
		if !ok || p.inFlight.Tasks[task.ref] ||
			p.store.Now()-job.Tasks[task.ref.Index].ReadyAt < preemptAfter {
			continue
		}
		zone, untried := p.takeUntriedZone(task.ref)
		if !untried {
			continue
		}
		if !d.tenantAllows(p.store, p.inFlight, key.tenant, key.resources) ||
			!p.lacksResources(group, job, task) {
			return proposed
		}
		if victims := d.preemptionVictims(p.store, job, task, zone); len(victims) > 0 {
			p.proposeVictims(zone, job, task, victims)
			proposed = true
		}
		if len(p.untried) == 0 {
			break
		}
	}
	return proposed
}

// proposeVictims proposes leases to be preempted for a task, and closes the zone.
func (p *preemptionScan) proposeVictims(zone string, job *state.Job, task queuedTask, victims []state.Assignment) {
	p.dispatcher.Counters.Preemptions += uint64(len(victims))
	beneficiary := state.Assignment{Job: task.ref.Job, Task: job.Spec.Tasks[task.ref.Index].ID}
	p.propose(zone, Proposal{Assignments: victims, PreemptFor: beneficiary})
	p.openZones = slices.DeleteFunc(p.openZones, func(other string) bool { return other == zone })
	p.refreshAvailable(victims[0].Worker)
}

// takeUntriedZone returns the zone in whose queues a task is, and whether that zone is open and
// the task the first of its group that is examined there. The zone then counts as tried.
func (p *preemptionScan) takeUntriedZone(ref TaskRef) (zone string, untried bool) {
	queue, _ := p.dispatcher.queues.workerOf(ref)
	worker, known := p.store.Worker(queue)
	i := slices.Index(p.untried, worker.Zone)
	if i < 0 || !known {
		return "", false
	}
	p.untried = slices.Delete(p.untried, i, i+1)
	return worker.Zone, true
}

// lacksResources reports whether fewer tasks of a group can start soon than are queued and
// within the share of their class.
func (p *preemptionScan) lacksResources(group *waitingGroup, job *state.Job, head queuedTask) bool {
	usedSlots, shareSlots := p.store.ClassUse(job.Spec.Service, job.Spec.Class)
	wanted := min(len(group.tasks), (shareSlots-usedSlots)/group.key.resources.Slots)
	if wanted <= 0 {
		return false
	}
	p.compared++
	return !p.canStartSoon(job, head, wanted)
}

// canStartSoon reports whether the wanted number of tasks like the given one fits into what the
// workers have free or are about to free. If the task waits for the rack of its data, it counts
// only workers there.
func (p *preemptionScan) canStartSoon(job *state.Job, task queuedTask, wanted int) bool {
	i := task.ref.Index
	need, available := job.Spec.Tasks[i].Resources, p.availableResources()
	for n, entry := range p.store.WorkerEntries() {
		worker := entry.Record()
		if !available[n].Covers(need) || !p.dispatcher.mayPreemptOn(job, task, worker) ||
			p.store.Fits(job, i, worker) != status.OK {
			continue
		}
		for left := available[n]; left.Covers(need); left = left.Sub(need) {
			if wanted--; wanted == 0 {
				return true
			}
		}
	}
	return false
}

// availableResources returns what each worker has free or is about to free: unavailable for
// workers whose heartbeat is late or that may not pull.
func (p *preemptionScan) availableResources() []state.Resources {
	if len(p.available) > 0 {
		return p.available
	}
	for _, entry := range p.store.WorkerEntries() {
		worker, available := entry.Record(), unavailable
		if p.store.Now()-worker.LastSeenAt <= heartbeatFreshness && p.dispatcher.health.mayPull(p.store, worker, 0) {
			available = availableSoon(entry)
		}
		p.available = append(p.available, available)
	}
	return p.available
}

// refreshAvailable updates the available resources of one worker, whose leases may have been
// stopped.
func (p *preemptionScan) refreshAvailable(worker string) {
	workers := p.store.WorkerEntries()
	n, known := slices.BinarySearchFunc(workers, worker, func(entry *state.WorkerEntry, id string) int {
		return cmp.Compare(entry.ID(), id)
	})
	if known && n < len(p.available) && p.available[n] != unavailable {
		p.available[n] = availableSoon(workers[n])
	}
}

// availableSoon returns what a worker has free or is about to free.
func availableSoon(worker *state.WorkerEntry) state.Resources {
	return worker.FreeResources().Add(worker.StoppingResources())
}

// mayPreemptOn reports whether leases on a worker may be preempted for a task. For a task that
// waits for the rack of its data, only those in that rack may.
func (d *Dispatcher) mayPreemptOn(job *state.Job, task queuedTask, worker *state.Worker) bool {
	return d.options.WithoutRackPreemption || task.anyRack || isNearData(job, task.ref.Index, worker)
}

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
	// heartbeatFreshness is the age of the last heartbeat up to which a worker is
	// expected to pull.
	heartbeatFreshness = 1500 * time.Millisecond
	// preemptionRoundInterval is the least time between the beginnings of two rounds over
	// the groups of a class.
	preemptionRoundInterval = 25 * time.Millisecond
	// Of each class, one call passes over maxGroupsPassed groups at most, and compares
	// maxGroupsCompared of them with what the workers have.
	maxGroupsPassed   = 256
	maxGroupsCompared = 16
	// maxHeadsExamined bounds the tasks of a group that are looked at for one in each zone.
	maxHeadsExamined = 64
)

// noRoom is the room of a worker that is not expected to take a task soon.
var noRoom = state.Resources{Slots: -1}

// ProposePreemption submits a proposal for a zone. On the primary's own state it takes effect
// before the function returns.
type ProposePreemption func(zone string, proposal Proposal)

// preemption is one look for leases to preempt.
type preemption struct {
	dispatcher *Dispatcher
	store      *state.Store
	inFlight   *InFlight
	propose    ProposePreemption
	// openZones are those in which nothing was proposed yet.
	openZones []string
	// untried are those of the open zones in which no task of the present group was looked at.
	untried []string
	// room is what each worker has free or is about to have, in the order of the workers;
	// it is empty while it is unknown.
	room []state.Resources
	// compared counts the groups of the present class that were compared with the workers.
	compared int
	// unfinished says that a class has groups left to look at.
	unfinished bool
}

// Preempt proposes leases to be stopped, in each of the zones for one queued task at most:
// one that is within its class's share, if the workers that fit have too few free resources
// for all tasks like it, even with those of the leases being stopped. Classes come in the
// order of their tiers, and the groups of each in rounds, the oldest first. It reports whether
// groups are left that the next call should look at soon.
func (d *Dispatcher) Preempt(
	store *state.Store, zones []string, inFlight InFlight, propose ProposePreemption,
) (unfinished bool) {
	if d.options.WithoutPreemption {
		return false
	}
	look := preemption{
		dispatcher: d, store: store, inFlight: &inFlight, propose: propose,
		openZones: zonesWithWorkers(store, zones), room: d.preemptionRoom[:0],
	}
	for _, class := range look.classesByTier() {
		if len(look.openZones) > 0 {
			look.continueRound(class)
		}
	}
	d.preemptionRoom = look.room
	return look.unfinished
}

// zonesWithWorkers returns those of some zones that have workers.
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

// classesByTier returns the classes of which tasks wait, those of the highest tier first. The
// oldest task of the oldest group speaks for its class.
func (p *preemption) classesByTier() []*waitingClass {
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

// continueRound looks at the next groups of a class, and begins a new round if the last one
// is complete. The next call goes on with the first group for which leases were proposed,
// since it may need more, or with the first that was not looked at.
func (p *preemption) continueRound(class *waitingClass) {
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
	for passed, group := range class.groups[first:] {
		if passed == maxGroupsPassed || p.compared >= maxGroupsCompared || len(p.openZones) == 0 {
			round.complete, p.unfinished = false, true
			return
		}
		proposed := p.lookAtGroup(group)
		if served = served || proposed; !served {
			round.nextNumber = group.firstNumber + 1
		}
	}
	round.complete = !served
}

// lookAtGroup proposes leases to be stopped for the tasks of a group, in each open zone for
// one of those in the queues there. It reports whether it has proposed any.
func (p *preemption) lookAtGroup(group *waitingGroup) (proposed bool) {
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

// proposeVictims proposes leases to be stopped for a task, and closes their zone.
func (p *preemption) proposeVictims(zone string, job *state.Job, task queuedTask, victims []state.Assignment) {
	p.dispatcher.Counters.Preemptions += uint64(len(victims))
	beneficiary := state.Assignment{Job: task.ref.Job, Task: job.Spec.Tasks[task.ref.Index].ID}
	p.propose(zone, Proposal{Assignments: victims, PreemptFor: beneficiary})
	p.openZones = slices.DeleteFunc(p.openZones, func(other string) bool { return other == zone })
	p.refreshRoom(victims[0].Worker)
}

// takeUntriedZone returns the zone in whose queues a task is, if it is the first one of its
// group there that is looked at, and nothing was proposed there yet.
func (p *preemption) takeUntriedZone(ref TaskRef) (zone string, untried bool) {
	queue, _ := p.dispatcher.queues.workerOf(ref)
	worker, known := p.store.Worker(queue)
	i := slices.Index(p.untried, worker.Zone)
	if i < 0 || !known {
		return "", false
	}
	p.untried = slices.Delete(p.untried, i, i+1)
	return worker.Zone, true
}

// lacksResources reports whether fewer tasks of a group can start soon than are both
// queued and within the share of their class.
func (p *preemption) lacksResources(group *waitingGroup, job *state.Job, head queuedTask) bool {
	usedSlots, shareSlots := p.store.ClassUse(job.Spec.Service, job.Spec.Class)
	wanted := min(len(group.tasks), (shareSlots-usedSlots)/group.key.resources.Slots)
	if wanted <= 0 {
		return false
	}
	p.compared++
	return !p.canStartSoon(job, head, wanted)
}

// canStartSoon reports whether so many tasks like this one fit into what the workers have
// free or are about to have. For a task that is kept for the rack of its data, workers
// elsewhere don't count.
func (p *preemption) canStartSoon(job *state.Job, task queuedTask, wanted int) bool {
	i := task.ref.Index
	need, room := job.Spec.Tasks[i].Resources, p.workerRoom()
	for n, entry := range p.store.WorkerEntries() {
		worker := entry.Record()
		if !room[n].Covers(need) || !p.dispatcher.mayPreemptOn(job, task, worker) ||
			p.store.Fits(job, i, worker) != status.OK {
			continue
		}
		for left := room[n]; left.Covers(need); left = left.Sub(need) {
			if wanted--; wanted == 0 {
				return true
			}
		}
	}
	return false
}

// workerRoom returns what each worker has free or is about to have. It leaves out workers
// whose heartbeat is late, and those that may not pull.
func (p *preemption) workerRoom() []state.Resources {
	if len(p.room) > 0 {
		return p.room
	}
	for _, entry := range p.store.WorkerEntries() {
		worker, room := entry.Record(), noRoom
		if p.store.Now()-worker.LastSeenAt <= heartbeatFreshness && p.dispatcher.health.mayPull(p.store, worker, 0) {
			room = roomOn(entry)
		}
		p.room = append(p.room, room)
	}
	return p.room
}

// refreshRoom takes the room of one worker anew, whose leases may have been stopped.
func (p *preemption) refreshRoom(worker string) {
	workers := p.store.WorkerEntries()
	n, known := slices.BinarySearchFunc(workers, worker, func(entry *state.WorkerEntry, id string) int {
		return cmp.Compare(entry.ID(), id)
	})
	if known && n < len(p.room) && p.room[n] != noRoom {
		p.room[n] = roomOn(workers[n])
	}
}

// roomOn returns what a worker has free or is about to have.
func roomOn(worker *state.WorkerEntry) state.Resources {
	return worker.FreeResources().Add(worker.StoppingResources())
}

// mayPreemptOn reports whether room for a task may be made on a worker: a task that is kept
// for the rack of its data wants it there.
func (d *Dispatcher) mayPreemptOn(job *state.Job, task queuedTask, worker *state.Worker) bool {
	return d.options.WithoutRackPreemption || task.anyRack || isNearData(job, task.ref.Index, worker)
}

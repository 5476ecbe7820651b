package dispatch

import (
	"math"
	"time"

	"sorrelloom/core/state"
)

// Quick work comes unevenly, and a worker that is full of other work when it comes has to stop
// some of it first. In each rack, room is therefore kept free for what quick work usually takes
// there beyond what it takes now. Work that has slack leaves that room alone; once its slack
// is nearly used up it may have it.

const (
	// headroomInterval is the time between two looks at what quick work takes.
	headroomInterval = 50 * time.Millisecond
	// headroomHalfLife is that of the moving averages of what quick work takes.
	headroomHalfLife = 5 * time.Second
	// headroomDeviations is how many mean deviations above the mean room is kept for.
	headroomDeviations = 3
	// maxHeadroom bounds what is kept, as a part of the rack's slots.
	maxHeadroom = 0.3
	// roomyService is the part of a service's slots that are free from which on nothing is
	// kept: there is room elsewhere, and a task that only fits in one rack must not wait for
	// long while most of its service is idle.
	roomyService = 0.45
	// slackRuns is how many typical runs of its class a task's slack must cover for it to
	// leave the headroom alone: in that time the room that it waits for comes free.
	slackRuns = 2
)

// rackKey names the workers of a service in one rack.
type rackKey struct{ service, rack string }

// rackDemand is what quick work takes in a rack: moving averages, in slots, of its use and of
// how far that is off the average.
type rackDemand struct {
	mean, deviation float64
	observedAt      time.Duration
}

// headroomTracker knows the demand of quick work by rack, and how many slots work with slack
// may still take in each.
type headroomTracker struct {
	demand     map[rackKey]rackDemand
	spareSlots map[rackKey]int
	updatedAt  time.Duration
}

func newHeadroomTracker() headroomTracker { return headroomTracker{demand: map[rackKey]rackDemand{}} }

// rackUse is what is known of a rack at one moment.
type rackUse struct{ capacity, free, quick int }

// updateHeadroom takes a look at all racks, if one is due.
func (d *Dispatcher) updateHeadroom(store *state.Store) {
	tracker := &d.headroom
	now := store.Now()
	if tracker.spareSlots != nil && now < tracker.updatedAt+headroomInterval {
		return
	}
	tracker.updatedAt = now
	tracker.spareSlots = map[rackKey]int{}
	uses := d.rackUses(store)
	spare := spareOfServices(uses)
	for key, use := range uses {
		demand := tracker.demand[key]
		demand.observe(now, float64(use.quick))
		tracker.demand[key] = demand
		wanted := demand.mean + headroomDeviations*demand.deviation - float64(use.quick)
		kept := math.Min(math.Max(0, wanted), maxHeadroom*float64(use.capacity))
		tracker.spareSlots[key] = max(use.free-int(kept), min(use.free, spare[key.service]))
	}
}

// spareOfServices is how many slots of each service are free beyond the part from which on
// nothing is kept.
func spareOfServices(uses map[rackKey]rackUse) map[string]int {
	totals := map[string]rackUse{}
	for key, use := range uses {
		total := totals[key.service]
		total.capacity, total.free = total.capacity+use.capacity, total.free+use.free
		totals[key.service] = total
	}
	spare := map[string]int{}
	for service, total := range totals {
		spare[service] = total.free - int(roomyService*float64(total.capacity))
	}
	return spare
}

// observe takes what quick work takes now.
func (r *rackDemand) observe(now time.Duration, quick float64) {
	if r.observedAt == 0 {
		*r = rackDemand{mean: quick, observedAt: now}
		return
	}
	weight := 1 - math.Exp2(-float64(now-r.observedAt)/float64(headroomHalfLife))
	r.observedAt = now
	r.deviation += weight * (math.Abs(quick-r.mean) - r.deviation)
	r.mean += weight * (quick - r.mean)
}

// rackUses sums up the workers of each rack that take work.
func (d *Dispatcher) rackUses(store *state.Store) map[rackKey]rackUse {
	uses := map[rackKey]rackUse{}
	workers := store.Workers()
	for i := range workers {
		worker := &workers[i]
		if worker.Leaving || worker.Drained || !store.Live(*worker) {
			continue
		}
		id, key := worker.ID(), rackKey{worker.Service, worker.Rack}
		use := uses[key]
		use.capacity += worker.Capacity.Slots
		use.free += max(0, store.FreeResources(id).Slots)
		use.quick += store.QuickSlotsOn(id)
		for g := range d.queues.groups[id] {
			group := &d.queues.groups[id][g]
			if isQuick(store, group.key.service, group.key.class) {
				use.quick += len(group.tasks) * group.key.resources.Slots
			}
		}
		uses[key] = use
	}
	return uses
}

// keepsHeadroom reports whether a group's tasks must leave a worker's free slots to quick work.
// Its oldest task, which has the least slack, speaks for all.
func (d *Dispatcher) keepsHeadroom(pull *pullRequest, group *taskGroup, job state.Job) bool {
	key := &group.key
	if d.options.WithoutHeadroom || key.isGang() || isQuick(pull.store, key.service, key.class) {
		return false
	}
	d.updateHeadroom(pull.store)
	if d.headroom.spareSlots[rackKey{key.service, pull.worker.Rack}] >= key.resources.Slots {
		return false
	}
	i := group.head().Index
	if job.Spec.Tasks[i].LongRunning {
		return false
	}
	typical := d.runTimes[state.ClassKey{Service: key.service, Class: key.class}].typical
	return d.slack(pull.store, job, i) > time.Duration(slackRuns*typical*float64(time.Second))
}

// takeHeadroom counts the slots of a task that is about to be leased.
func (t *headroomTracker) take(service, rack string, slots int) {
	if t.spareSlots != nil {
		t.spareSlots[rackKey{service, rack}] -= slots
	}
}

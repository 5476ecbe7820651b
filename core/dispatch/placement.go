package dispatch

import (
	"math"

	"sorrelloom/core/state"
	"sorrelloom/core/status"
)

// loadTolerance is how much more loaded than the least loaded worker, as a fraction
// of its slots, a worker may be and still be chosen for the outputs that it holds.
const loadTolerance = 0.5

// queueCandidate is a worker that may take a task into its queue.
type queueCandidate struct {
	worker        string
	deprioritized bool
	nearData      bool
	locality      float64
	load          float64
	stepPeers     int
}

// chooseQueue puts a runnable task into the queue of a worker that fits. Workers
// that are deprioritized are taken only if there are no others, and those away from the
// task's data only if none near it fits. Among those about as loaded as the least loaded
// one, it is the one that holds most of its inputs, then the one that has most tasks of its
// step, whose outputs are likely to be needed together; then the least loaded, then
// the one with the smallest name.
func (d *Dispatcher) chooseQueue(store *state.Store, job *state.Job, ref TaskRef) {
	if d.options.SingleQueue {
		d.enqueue(job, ref, "", true)
		return
	}
	candidates := d.collectCandidates(store, job, ref)
	best, anyRack := d.bestQueue(candidates)
	if best < 0 {
		d.unplaced[ref] = true
		d.retrySilentWorkers(store)
		return
	}
	d.enqueue(job, ref, candidates[best].worker, anyRack)
}

// bestQueue returns the index of the best candidate, or -1, and whether none of them is a
// sound worker near the task's data.
func (d *Dispatcher) bestQueue(candidates []queueCandidate) (best int, anyRack bool) {
	soundest := 0
	for i := range candidates {
		soundest = max(soundest, d.soundness(&candidates[i]))
	}
	anyRack = soundest < nearAndSound
	leastLoad := math.Inf(1)
	for i := range candidates {
		if d.soundness(&candidates[i]) == soundest {
			leastLoad = math.Min(leastLoad, candidates[i].load)
		}
	}
	best = -1
	for i := range candidates {
		candidate := &candidates[i]
		eligible := d.soundness(candidate) == soundest && candidate.load <= leastLoad+loadTolerance
		if eligible && (best < 0 || candidate.precedes(&candidates[best])) {
			best = i
		}
	}
	return best, anyRack
}

// nearAndSound is the soundness of a worker near a task's data that is not deprioritized.
const nearAndSound = 2

// soundness ranks candidates before all else.
func (d *Dispatcher) soundness(candidate *queueCandidate) int {
	switch {
	case candidate.deprioritized:
		return 0
	case candidate.nearData || d.options.WithoutNearPatience:
		return nearAndSound
	}
	return 1
}

// collectCandidates returns the workers that fit a task, by name, in memory that
// the next call uses again.
func (d *Dispatcher) collectCandidates(store *state.Store, job *state.Job, ref TaskRef) []queueCandidate {
	candidates := d.candidates[:0]
	resources, level := job.Spec.Tasks[ref.Index].Resources, job.Tasks[ref.Index].Level
	for _, entry := range store.WorkerEntries() {
		worker := entry.Record()
		if !worker.Capacity.Covers(resources) {
			continue
		}
		if store.Fits(job, ref.Index, worker) != status.OK || d.failedOnWorker(store, job, ref.Index, worker) {
			continue
		}
		id := worker.ID()
		candidates = append(candidates, queueCandidate{
			worker:        id,
			deprioritized: d.health.deprioritized(store, worker) && !d.mayProbe(store, job, worker),
			nearData:      d.options.WithoutNearData || isNearData(job, ref.Index, worker),
			locality:      d.LocalityScore(job, ref, id),
			load:          d.load(store, worker),
			stepPeers:     d.stepPeers(ref, level, id),
		})
	}
	d.candidates = candidates
	return candidates
}

func (c *queueCandidate) precedes(other *queueCandidate) bool {
	switch {
	case c.nearData != other.nearData:
		return c.nearData
	case c.locality != other.locality:
		return c.locality > other.locality
	case c.stepPeers != other.stepPeers:
		return c.stepPeers > other.stepPeers
	}
	return c.load < other.load
}

// stepPeers counts the other tasks of a task's step at a worker.
func (d *Dispatcher) stepPeers(ref TaskRef, level int, worker string) int {
	if d.options.WithoutStepPeers {
		return 0
	}
	return d.locations.stepPeers(ref, level, worker)
}

// load is the part of a worker's slots that are used or queued for. It may be over 1.
func (d *Dispatcher) load(store *state.Store, worker *state.Worker) float64 {
	id := worker.ID()
	slots := d.queues.slots[id] + worker.Capacity.Slots - store.FreeResources(id).Slots
	return float64(slots) / math.Max(1, float64(worker.Capacity.Slots))
}

// mayProbe reports whether a deprioritized worker is to be tried again with this
// task: not with a quick one, and only when its pause is over and it has nothing.
func (d *Dispatcher) mayProbe(store *state.Store, job *state.Job, worker *state.Worker) bool {
	id := worker.ID()
	return !isQuick(store, job.Spec.Service, job.Spec.Class) && store.Now() >= d.health.workers[id].pausedUntil &&
		d.queues.slots[id] == 0 && store.LeaseCount(id) == 0
}

func isQuick(store *state.Store, service, class string) bool {
	return store.Config().Services[service].Classes[class].Quick
}

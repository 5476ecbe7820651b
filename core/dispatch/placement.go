package dispatch

import (
	"math"

	"sorrelloom/core/state"
	"sorrelloom/core/status"
)

// loadTolerance is by how much, as a fraction of its slots, a worker may be more loaded than
// the least loaded worker and still be chosen for the outputs that it holds.
const loadTolerance = 0.5

// queueCandidate is a worker that may take a task into its queue.
type queueCandidate struct {
	entry *state.WorkerEntry
	queue *workerQueue
	// rank orders candidates before all other criteria.
	rank     int
	nearData bool
	load     float64
	// locality and stepPeers are computed only for candidates that pass the other criteria.
	locality  float64
	stepPeers int
}

// Ranks of a worker as candidate for a task's queue. rankNearData is that of a worker near the
// task's data, and rankAwayFromData that of any other one, unless the worker is deprioritized
// for its health and may not be probed.
const (
	rankDeprioritized = iota
	rankAwayFromData
	rankNearData
)

// listedWorker is a worker of the store with its queue.
type listedWorker struct {
	entry *state.WorkerEntry
	queue *workerQueue
}

// workerListCache holds the workers of one version of a store's list, by name.
type workerListCache struct {
	store   *state.Store
	version uint64
	workers []listedWorker
}

// listedWorkers returns all workers with their queues, by name.
func (d *Dispatcher) listedWorkers(store *state.Store) []listedWorker {
	entries := store.WorkerEntries()
	cached := &d.workerList
	if cached.store == store && cached.version == store.WorkerListVersion() {
		return cached.workers
	}
	cached.store, cached.version, cached.workers = store, store.WorkerListVersion(), cached.workers[:0]
	for _, entry := range entries {
		cached.workers = append(cached.workers, listedWorker{entry, d.queues.of(entry.ID())})
	}
	return cached.workers
}

// chooseQueue adds a runnable task to the queue of a worker that fits. Deprioritized workers
// that may not be probed (mayProbe) are chosen only if there are no others, and workers away
// from the task's data only if none near it fits. Among the workers whose load is within
// loadTolerance of the least loaded one, it chooses the one that is near the data, then the one
// that holds most of the task's inputs, then the one with most tasks of the same step, whose
// outputs are likely to be needed together, then the least loaded, then the one with the
// smallest name.
func (d *Dispatcher) chooseQueue(store *state.Store, job *state.Job, ref TaskRef) {
	if d.options.SingleQueue {
		d.enqueue(store, job, ref, "", true)
		return
	}
	candidates := d.candidatesFor(store, job, ref)
	best, anyRack := d.bestQueue(candidates, job, ref)
	if best < 0 {
		d.unplaced[ref] = true
		d.retrySilentWorkers(store)
		return
	}
	d.enqueue(store, job, ref, candidates[best].queue.worker, anyRack)
	d.placement = d.placementOf(job, ref, best)
}

// lastPlacement describes the last task for which a queue was chosen. The next task of its step
// has the same candidates, of which only the chosen one has changed.
type lastPlacement struct {
	valid            bool
	job              string
	step, repetition int
	// chosen is the index of the chosen candidate.
	chosen int
}

// placementOf returns the placement of a task at a candidate. It also applies to the other
// tasks of the step, which differ only in the workers on which they have failed.
func (d *Dispatcher) placementOf(job *state.Job, ref TaskRef, chosen int) lastPlacement {
	spec := &job.Spec.Tasks[ref.Index]
	return lastPlacement{
		valid:      len(job.Spec.Steps) > 0 && len(job.Tasks[ref.Index].FailedOn) == 0,
		job:        ref.Job,
		step:       spec.Step,
		repetition: spec.Repetition,
		chosen:     chosen,
	}
}

// candidatesFor returns the workers that fit a task, by name, in a buffer that the next call
// reuses.
func (d *Dispatcher) candidatesFor(store *state.Store, job *state.Job, ref TaskRef) []queueCandidate {
	last := &d.placement
	if !last.valid || *last != d.placementOf(job, ref, last.chosen) {
		return d.collectCandidates(store, job, ref)
	}
	changed := &d.candidates[last.chosen]
	listed := listedWorker{changed.entry, changed.queue}
	changed.rank, changed.load = d.rankOf(store, job, listed, changed.nearData), d.load(listed)
	return d.candidates
}

// bestQueue returns the index of the best candidate, or -1. anyRack reports that no candidate
// is both near the task's data and not deprioritized.
func (d *Dispatcher) bestQueue(candidates []queueCandidate, job *state.Job, ref TaskRef) (best int, anyRack bool) {
	bestRank := rankDeprioritized
	for i := range candidates {
		bestRank = max(bestRank, candidates[i].rank)
	}
	anyRack = bestRank < rankNearData
	leastLoad := math.Inf(1)
	for i := range candidates {
		if candidates[i].rank == bestRank {
			leastLoad = math.Min(leastLoad, candidates[i].load)
		}
	}
	localities, peers := d.localityScores(job, ref), d.peersOf(job, ref)
	best = -1
	for i := range candidates {
		candidate := &candidates[i]
		if candidate.rank != bestRank || candidate.load > leastLoad+loadTolerance {
			continue
		}
		candidate.locality = localities.of(candidate.queue.worker)
		candidate.stepPeers = peers.at(candidate.queue.worker)
		if best < 0 || candidate.precedes(&candidates[best]) {
			best = i
		}
	}
	return best, anyRack
}

// collectCandidates returns the workers that fit a task, in a buffer that the next call reuses.
func (d *Dispatcher) collectCandidates(store *state.Store, job *state.Job, ref TaskRef) []queueCandidate {
	candidates := d.candidates[:0]
	resources := &job.Spec.Tasks[ref.Index].Resources
	for _, listed := range d.listedWorkers(store) {
		worker := listed.entry.Record()
		if !worker.Capacity.Covers(*resources) || store.Fits(job, ref.Index, worker) != status.OK ||
			d.failedOnWorker(store, job, ref.Index, worker) {
			continue
		}
		nearData := d.options.WithoutNearData || isNearData(job, ref.Index, worker)
		candidates = append(candidates, queueCandidate{
			entry:    listed.entry,
			queue:    listed.queue,
			rank:     d.rankOf(store, job, listed, nearData),
			nearData: nearData,
			load:     d.load(listed),
		})
	}
	d.candidates = candidates
	return candidates
}

// rankOf ranks a worker for a task by its health and its distance from the data.
func (d *Dispatcher) rankOf(store *state.Store, job *state.Job, listed listedWorker, nearData bool) int {
	worker := listed.entry.Record()
	switch {
	case d.health.deprioritized(store, worker) && !d.mayProbe(store, job, worker):
		return rankDeprioritized
	case nearData || d.options.WithoutRackWait:
		return rankNearData
	}
	return rankAwayFromData
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

// load returns the fraction of a worker's slots that are in use or needed by queued tasks. It
// may exceed 1.
func (d *Dispatcher) load(listed listedWorker) float64 {
	capacity := listed.entry.Record().Capacity.Slots
	slots := listed.queue.slots + capacity - listed.entry.FreeResources().Slots
	return float64(slots) / math.Max(1, float64(capacity))
}

// mayProbe reports whether a deprioritized worker may be probed with a task of this job: only
// with a task that is not quick, after the worker's pause, and while the worker has neither
// queued tasks nor leases.
func (d *Dispatcher) mayProbe(store *state.Store, job *state.Job, worker *state.Worker) bool {
	id := worker.ID()
	return !isQuick(store, job.Spec.Service, job.Spec.Class) && store.Now() >= d.health.workers[id].pausedUntil &&
		d.queues.of(id).slots == 0 && store.LeaseCount(id) == 0
}

func isQuick(store *state.Store, service, class string) bool {
	return store.Class(service, class).Quick
}

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
	entry *state.WorkerEntry
	queue *workerQueue
	// soundness ranks candidates before all else.
	soundness int
	nearData  bool
	load      float64
	// locality and stepPeers are found only for candidates that are eligible by the rest.
	locality  float64
	stepPeers int
}

// nearAndSound is the soundness of a worker near a task's data that is not deprioritized, and
// deprioritized that of one that is.
const (
	deprioritized = iota
	awayFromData
	nearAndSound
)

// workerRow is a worker with its queue.
type workerRow struct {
	entry *state.WorkerEntry
	queue *workerQueue
}

// workerRows are the rows of all workers by name, of one version of a store's list.
type workerRows struct {
	store   *state.Store
	version uint64
	rows    []workerRow
}

// currentRows returns the rows of all workers, by name.
func (d *Dispatcher) currentRows(store *state.Store) []workerRow {
	entries := store.WorkerEntries()
	cached := &d.rows
	if cached.store == store && cached.version == store.WorkerListVersion() {
		return cached.rows
	}
	cached.store, cached.version, cached.rows = store, store.WorkerListVersion(), cached.rows[:0]
	for _, entry := range entries {
		cached.rows = append(cached.rows, workerRow{entry, d.queues.of(entry.ID())})
	}
	return cached.rows
}

// chooseQueue puts a runnable task into the queue of a worker that fits. Workers
// that are deprioritized are taken only if there are no others, and those away from the
// task's data only if none near it fits. Among those about as loaded as the least loaded
// one, it is the one that holds most of its inputs, then the one that has most tasks of its
// step, whose outputs are likely to be needed together; then the least loaded, then
// the one with the smallest name.
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

// lastPlacement is that of the last task for which a queue was chosen. The next one of its
// step has the same candidates, of which only the one chosen has changed.
type lastPlacement struct {
	valid            bool
	job              string
	step, repetition int
	// chosen is the index of the candidate chosen.
	chosen int
}

// placementOf returns the placement of a task at a candidate. It stands for the other tasks
// of its step, which are alike but for the workers that they have failed on.
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

// candidatesFor returns the workers that fit a task, by name, in memory that the next call
// uses again.
func (d *Dispatcher) candidatesFor(store *state.Store, job *state.Job, ref TaskRef) []queueCandidate {
	last := &d.placement
	if !last.valid || *last != d.placementOf(job, ref, last.chosen) {
		return d.collectCandidates(store, job, ref)
	}
	changed := &d.candidates[last.chosen]
	row := workerRow{changed.entry, changed.queue}
	changed.soundness, changed.load = d.soundness(store, job, row, changed.nearData), d.load(row)
	return d.candidates
}

// bestQueue returns the index of the best candidate, or -1, and whether none of them is a
// sound worker near the task's data.
func (d *Dispatcher) bestQueue(candidates []queueCandidate, job *state.Job, ref TaskRef) (best int, anyRack bool) {
	soundest := deprioritized
	for i := range candidates {
		soundest = max(soundest, candidates[i].soundness)
	}
	anyRack = soundest < nearAndSound
	leastLoad := math.Inf(1)
	for i := range candidates {
		if candidates[i].soundness == soundest {
			leastLoad = math.Min(leastLoad, candidates[i].load)
		}
	}
	localities, peers := d.localityScores(job, ref), d.peersOf(job, ref)
	best = -1
	for i := range candidates {
		candidate := &candidates[i]
		if candidate.soundness != soundest || candidate.load > leastLoad+loadTolerance {
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

// collectCandidates finds the workers that fit a task.
func (d *Dispatcher) collectCandidates(store *state.Store, job *state.Job, ref TaskRef) []queueCandidate {
	candidates := d.candidates[:0]
	resources := &job.Spec.Tasks[ref.Index].Resources
	for _, row := range d.currentRows(store) {
		worker := row.entry.Record()
		if !worker.Capacity.Covers(*resources) || store.Fits(job, ref.Index, worker) != status.OK ||
			d.failedOnWorker(store, job, ref.Index, worker) {
			continue
		}
		nearData := d.options.WithoutNearData || isNearData(job, ref.Index, worker)
		candidates = append(candidates, queueCandidate{
			entry:     row.entry,
			queue:     row.queue,
			soundness: d.soundness(store, job, row, nearData),
			nearData:  nearData,
			load:      d.load(row),
		})
	}
	d.candidates = candidates
	return candidates
}

// soundness ranks a worker for a task by its health and its distance from the data.
func (d *Dispatcher) soundness(store *state.Store, job *state.Job, row workerRow, nearData bool) int {
	worker := row.entry.Record()
	switch {
	case d.health.deprioritized(store, worker) && !d.mayProbe(store, job, worker):
		return deprioritized
	case nearData || d.options.WithoutNearPatience:
		return nearAndSound
	}
	return awayFromData
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

// load is the part of a worker's slots that are used or queued for. It may be over 1.
func (d *Dispatcher) load(row workerRow) float64 {
	capacity := row.entry.Record().Capacity.Slots
	slots := row.queue.slots + capacity - row.entry.FreeResources().Slots
	return float64(slots) / math.Max(1, float64(capacity))
}

// mayProbe reports whether a deprioritized worker is to be tried again with this
// task: not with a quick one, and only when its pause is over and it has nothing.
func (d *Dispatcher) mayProbe(store *state.Store, job *state.Job, worker *state.Worker) bool {
	id := worker.ID()
	return !isQuick(store, job.Spec.Service, job.Spec.Class) && store.Now() >= d.health.workers[id].pausedUntil &&
		d.queues.of(id).slots == 0 && store.LeaseCount(id) == 0
}

func isQuick(store *state.Store, service, class string) bool {
	return store.Class(service, class).Quick
}

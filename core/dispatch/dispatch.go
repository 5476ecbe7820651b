// Package dispatch is Fela's fetching, in our words: one inbox of released
// tasks per worker and a map of entries that says which worker runs a task and
// which holds its output. A worker whose end report or free room comes in pulls
// its next task: from its own inbox first, the deepest released step first,
// then by locality_score, then the smallest number; with its own inbox empty it
// helps the straggler with the fewest helpers and the slowest progress. All of
// it is built from a copy of the ledger, decides nothing that the ledger does
// not check again, and is lost without harm.
package dispatch

import (
	"cmp"
	"fmt"
	"math"
	"slices"
	"sort"
	"strings"
	"time"

	"sorrelloom/core/state"
	"sorrelloom/core/status"
)

// Ref is a task by job and place in it.
type TaskRef struct {
	Job   string
	Index int
}

// Counters show which rules the ordinary path used.
type Counters struct {
	Releases, Own, Helped, Deepest, Locality, Smallest, Gangs, PushOuts, Reserved, Looked uint64
}

const (
	taskRuns   = "runs"
	outputHeld = "holds"
)

// kind is what tasks of one inbox may have in common: all that decides whether
// a worker may take them now. Only the first of a kind is looked at, unless the
// tasks depend on others and differ in locality.
type groupKey struct {
	service, class, labels string
	resources              state.Resources
	gangSlots, level       int
	hasInputs              bool
	nearRack               string
	// only is set where tasks of another step are judged apart.
	spreadKey string
}

type queuedTask struct {
	ref    TaskRef
	number uint64
}

type taskGroup struct {
	key   groupKey
	tasks []queuedTask
}

type queuePosition struct {
	worker string
	key    groupKey
	number uint64
}

type Dispatcher struct {
	queues         map[string][]taskGroup
	queuedSlots    map[string]int
	positions      map[TaskRef]queuePosition
	unplaced       map[TaskRef]bool
	workerTasks    map[string]map[TaskRef]string
	stolenFrom     map[TaskRef]string
	helpers        map[string]int
	pendingRebuild rebuildQueue
	changedWorkers map[string]bool
	// standings are those of the workers when unplaced tasks were last tried on
	// them, moving the workers whose inboxes are being emptied.
	triedEligibility map[string]eligibility
	redistributing   map[string]bool
	running          map[TaskRef]runningAttempt
	completedCount   map[string]int
	health           map[string]health
	typicalSeconds   map[[2]string]float64
	reservations     reservationCache
	Counters         Counters
	singleQueue      bool
	queueVersions    map[string]uint64
	filled           []string
	locations        map[TaskRef]location
	stepPeers        map[stepKey]map[string]int
	inputHolders     map[inputKey]map[string]int
	runningCount     map[string]int
	gangTriedAt      map[string]time.Duration
	majorities       map[string]healthMajority
	jobSizes         map[string]int
	// choices are what the last seeding chose from, kept for its memory.
	candidates []queueCandidate
}

// spot is where a task lies, runs or has ended; step and input name what the
// counts of such spots are kept for.
type location struct {
	worker string
	level  int
	state  string
}

type stepKey struct {
	jobID string
	level int
}

type inputKey struct {
	jobID         string
	first, length int
}

// put a task at another spot, or at none.
func (d *Dispatcher) relocate(ref TaskRef, to location) {
	was := d.locations[ref]
	if was == to {
		return
	}
	count := func(s location, by int) {
		if s.worker == "" {
			return
		}
		if s.state == taskRuns {
			d.runningCount[s.worker] += by
		}
		key := stepKey{ref.Job, s.level}
		if d.stepPeers[key] == nil {
			d.stepPeers[key] = map[string]int{}
		}
		if d.stepPeers[key][s.worker] += by; d.stepPeers[key][s.worker] == 0 {
			delete(d.stepPeers[key], s.worker)
		}
		if len(d.stepPeers[key]) == 0 {
			delete(d.stepPeers, key)
		}
	}
	count(was, -1)
	count(to, 1)
	if d.locations[ref] = to; to.worker == "" {
		delete(d.locations, ref)
	}
}

// TakeFresh gives the workers into whose inboxes something has come, or whose turns
// have ended, since it was last called.
func (d *Dispatcher) TakeChangedWorkers() map[string]bool {
	out := d.changedWorkers
	d.changedWorkers = map[string]bool{}
	return out
}

// helps notes that a task is run for the worker in whose inbox it lay, helped
// that this is over.
func (d *Dispatcher) beginSteal(ref TaskRef, from string) {
	d.endSteal(ref)
	d.stolenFrom[ref] = from
	d.helpers[from]++
}

func (d *Dispatcher) endSteal(ref TaskRef) {
	from, known := d.stolenFrom[ref]
	if !known {
		return
	}
	delete(d.stolenFrom, ref)
	if d.helpers[from]--; d.helpers[from] == 0 {
		delete(d.helpers, from)
	}
}

// News changes whenever a task has come into a worker's inbox.
func (d *Dispatcher) QueueVersion(worker string) uint64 { return d.queueVersions[worker] }

// filled gives the workers whose inboxes are not empty, by name.
func (d *Dispatcher) nonEmptyQueues() []string {
	if d.filled == nil {
		d.filled = make([]string, 0, len(d.queues))
		for id, groups := range d.queues {
			if len(groups) > 0 {
				d.filled = append(d.filled, id)
			}
		}
		slices.Sort(d.filled)
	}
	return d.filled
}

// Patience is how long a task may wait in the inbox of a worker that has room
// for it before others may take it: its scheduler may be gone.
const StealDelay = 300 * time.Millisecond

// NewCentral is the variant that measurements compare with: one inbox for all
// workers, in the same order otherwise.
func NewSingleQueue() *Dispatcher {
	d := New()
	d.singleQueue = true
	return d
}

func New() *Dispatcher {
	d := &Dispatcher{changedWorkers: map[string]bool{}, health: map[string]health{}, typicalSeconds: map[[2]string]float64{}, queueVersions: map[string]uint64{}, majorities: map[string]healthMajority{}}
	d.reset()
	return d
}

func (d *Dispatcher) reset() {
	d.filled = nil
	d.locations, d.stepPeers, d.inputHolders = map[TaskRef]location{}, map[stepKey]map[string]int{}, map[inputKey]map[string]int{}
	d.runningCount, d.gangTriedAt, d.jobSizes = map[string]int{}, map[string]time.Duration{}, map[string]int{}
	d.queues, d.queuedSlots, d.positions, d.unplaced = map[string][]taskGroup{}, map[string]int{}, map[TaskRef]queuePosition{}, map[TaskRef]bool{}
	d.helpers, d.pendingRebuild = map[string]int{}, rebuildQueue{}
	d.triedEligibility, d.redistributing = map[string]eligibility{}, map[string]bool{}
	d.workerTasks, d.stolenFrom, d.running, d.completedCount = map[string]map[TaskRef]string{}, map[TaskRef]string{}, map[TaskRef]runningAttempt{}, map[string]int{}
}

// Update takes what changed in the ledger, and goes on with a rebuild that is under way.
func (d *Dispatcher) Update(store *state.Store, changes []state.Change) {
	for _, c := range changes {
		switch {
		case c.All:
			d.reservations = reservationCache{}
			d.beginRebuild(store)
		case c.Worker != "":
			d.updateWorker(store, c.Worker)
		case c.Task < 0:
			if _, ok := store.Job(c.Job); !ok {
				d.forgetJob(c.Job)
			}
		default:
			d.updateTask(store, TaskRef{c.Job, c.Task})
		}
	}
	d.continueRebuild(store)
}

func (d *Dispatcher) forgetJob(job string) {
	for i := range d.jobSizes[job] {
		ref := TaskRef{job, i}
		delete(d.workerTasks[d.locations[ref].worker], ref)
		d.dequeue(ref)
		d.relocate(ref, location{})
	}
	delete(d.jobSizes, job)
	for key := range d.inputHolders {
		if key.jobID == job {
			delete(d.inputHolders, key)
		}
	}
}

func (d *Dispatcher) dequeue(ref TaskRef) {
	delete(d.unplaced, ref)
	p, ok := d.positions[ref]
	if !ok {
		return
	}
	delete(d.positions, ref)
	d.relocate(ref, location{})
	d.filled = nil
	d.queuedSlots[p.worker] -= p.key.resources.Slots
	groups := d.queues[p.worker]
	for i := range groups {
		if groups[i].key == p.key {
			if j, found := searchTask(groups[i].tasks, p.number); found {
				groups[i].tasks = slices.Delete(groups[i].tasks, j, j+1)
			}
			if len(groups[i].tasks) == 0 {
				groups = slices.Delete(groups, i, i+1)
			}
			break
		}
	}
	d.queues[p.worker] = groups
}

func searchTask(tasks []queuedTask, number uint64) (int, bool) {
	return slices.BinarySearchFunc(tasks, number, func(w queuedTask, n uint64) int { return cmp.Compare(w.number, n) })
}

func groupKeyOf(job state.Job, i int) groupKey {
	spec := job.Spec.Tasks[i]
	k := groupKey{job.Spec.Service, job.Spec.Class, strings.Join(spec.Labels, ","), spec.Resources, 0, job.Tasks[i].Level, len(spec.Dependencies) > 0, spec.PreferredRack, ""}
	if spec.MaxPerWorker > 0 {
		k.spreadKey = fmt.Sprintf("%s/%d/%d", job.Spec.ID, spec.Repetition, job.Tasks[i].Level)
	}
	if spec.Gang != "" {
		k.gangSlots = gangSlots(job, i)
	}
	return k
}

func (d *Dispatcher) setWorkerTask(worker string, ref TaskRef, what string) {
	if d.workerTasks[worker] == nil {
		d.workerTasks[worker] = map[TaskRef]string{}
	}
	d.workerTasks[worker][ref] = what
}

func (d *Dispatcher) updateTask(store *state.Store, ref TaskRef) {
	job, ok := store.Job(ref.Job)
	if !ok {
		return
	}
	t := job.Tasks[ref.Index]
	d.jobSizes[ref.Job] = len(job.Tasks)
	if was, ok := d.running[ref]; ok && (!t.Lease.Held() || t.Lease.Worker != was.worker) {
		d.observeAttemptEnd(store, job, ref.Index, was)
		delete(d.workerTasks[was.worker], ref)
		delete(d.running, ref)
		d.endSteal(ref)
		d.changedWorkers[was.worker] = true
	}
	switch {
	case t.State == state.Done:
		if d.workerTasks[t.CompletedOn][ref] != outputHeld {
			d.completedCount[t.CompletedOn]++
		}
		d.dequeue(ref)
		d.setWorkerTask(t.CompletedOn, ref, outputHeld)
		d.relocate(ref, location{t.CompletedOn, t.Level, outputHeld})
	case t.Lease.Held():
		if from := d.positions[ref].worker; from != "" && from != t.Lease.Worker {
			d.beginSteal(ref, from)
		}
		d.dequeue(ref)
		d.setWorkerTask(t.Lease.Worker, ref, taskRuns)
		d.relocate(ref, location{t.Lease.Worker, t.Level, taskRuns})
		d.running[ref] = runningAttempt{t.Lease.Worker, t.Lease.StartedAt, t.Failures, t.Losses}
	case t.State == state.Ready:
		if _, placed := d.positions[ref]; !placed && isGangHead(job, ref.Index) {
			d.Counters.Releases++
			d.assignQueue(store, job, ref)
		}
	default:
		d.dequeue(ref)
		d.relocate(ref, location{})
	}
}

// leads says whether a task stands in an inbox for itself, or for its gang, of
// which only the first member does.
func isGangHead(job state.Job, i int) bool {
	gang := job.Spec.Tasks[i].Gang
	if gang == "" {
		return true
	}
	if len(job.Spec.Steps) > 0 {
		return i == 0 || job.Spec.Tasks[i-1].Gang != gang
	}
	return slices.IndexFunc(job.Spec.Tasks, func(t state.TaskSpec) bool { return t.Gang == gang }) == i
}

// worker moves tasks away from a worker that can no longer take them, and
// tries those for whom no worker was found before.
func (d *Dispatcher) updateWorker(store *state.Store, id string) {
	d.updateWorkerUpTo(store, id, rebuildBatch)
}

// settle does the same with so many tasks at most, and gives how many of those are
// left. What is not done waits for the next Update.
func (d *Dispatcher) updateWorkerUpTo(store *state.Store, id string, most int) int {
	most = d.requeueUnfit(store, id, most)
	d.placeUnplaced(store, id)
	return most
}

// tryUnplaced puts the tasks for whom no worker was found into a worker's inbox if
// it is not as it was when they were last tried.
func (d *Dispatcher) placeUnplaced(store *state.Store, id string) {
	w, known := store.Worker(id)
	standing := eligibilityOf(store, w, known)
	if d.triedEligibility[id] == standing {
		return
	}
	d.triedEligibility[id] = standing
	if len(d.unplaced) == 0 {
		return
	}
	left := unplacedBatch
	for _, ref := range d.sortedByNumber(store, d.unplaced) {
		if job, ok := store.Job(ref.Job); ok && store.Fits(job, ref.Index, w) == status.OK && w.Capacity.Covers(job.Spec.Tasks[ref.Index].Resources) {
			if left--; left < 0 {
				delete(d.triedEligibility, id)
				d.redistributing[id] = true
				return
			}
			d.enqueue(job, ref, id)
		}
	}
}

// standing is all of a worker that decides which tasks it may ever take. While it
// stays the same, a task for which no worker was found finds none in this one.
type eligibility struct {
	service, zone, labels   string
	capacity                state.Resources
	leaving, drained, alive bool
}

func eligibilityOf(store *state.Store, w state.Worker, known bool) eligibility {
	if !known {
		return eligibility{}
	}
	return eligibility{w.Service, w.Zone, strings.Join(w.Labels, ","), w.Capacity, w.Leaving, w.Drained, store.Live(w)}
}

// forgetSilent has unplaced tasks tried on the workers that are silent now as soon as
// they are heard: a worker falls silent without a change of the ledger.
func (d *Dispatcher) retrySilentWorkers(store *state.Store) {
	for _, w := range store.Workers() {
		if !store.Live(w) {
			delete(d.triedEligibility, w.ID())
		}
	}
}

// moveAway seeds anew what lies in a worker's inbox and does not fit it, so many
// tasks at most; it gives how many of those are left. The rest waits for the next
// Update.
func (d *Dispatcher) requeueUnfit(store *state.Store, id string, most int) int {
	w, known := store.Worker(id)
	delete(d.redistributing, id)
	for _, g := range slices.Clone(d.queues[id]) {
		if job, ok := store.Job(g.tasks[0].ref.Job); known && ok && store.Fits(job, g.tasks[0].ref.Index, w) == status.OK {
			continue
		}
		for _, t := range slices.Backward(slices.Clone(g.tasks)) {
			if most == 0 {
				d.redistributing[id] = true
				return 0
			}
			most--
			d.dequeue(t.ref)
			if job, ok := store.Job(t.ref.Job); ok {
				d.assignQueue(store, job, t.ref)
			}
		}
	}
	return most
}

// Sweep moves tasks out of the inboxes of workers that have gone silent.
func (d *Dispatcher) RequeueFromLostWorkers(store *state.Store) {
	ids := make([]string, 0, len(d.queues))
	for id, inbox := range d.queues {
		if w, ok := store.Worker(id); len(inbox) > 0 && id != "" && (!ok || !store.Live(w)) {
			ids = append(ids, id)
		}
	}
	slices.Sort(ids)
	for _, id := range ids {
		d.updateWorker(store, id)
	}
}

func (d *Dispatcher) enqueue(job state.Job, ref TaskRef, worker string) {
	d.queueVersions[worker]++
	d.changedWorkers[worker] = true
	d.filled = nil
	delete(d.unplaced, ref)
	k, number := groupKeyOf(job, ref.Index), job.Tasks[ref.Index].Number
	d.positions[ref] = queuePosition{worker, k, number}
	d.relocate(ref, location{worker, job.Tasks[ref.Index].Level, "waits"})
	d.queuedSlots[worker] += k.resources.Slots
	groups := d.queues[worker]
	i := slices.IndexFunc(groups, func(g taskGroup) bool { return g.key == k })
	if i < 0 {
		groups = append(groups, taskGroup{key: k})
		i = len(groups) - 1
	}
	j, _ := searchTask(groups[i].tasks, number)
	groups[i].tasks = slices.Insert(groups[i].tasks, j, queuedTask{ref, number})
	d.queues[worker] = groups
}

// window is how much busier than the least busy worker, in parts of its slots,
// a worker may be and still be chosen for what it holds.
const loadTolerance = 0.5

type queueCandidate struct {
	worker                  string
	deprioritized, nearData bool
	locality, load          float64
	stepPeers               int
}

// seed puts a released task into the inbox of a fitting worker, one that is not
// spared if there is any. Among those that are about as busy as the least busy
// one, it is the worker that holds most of its inputs, then the one that has
// most tasks of the same job and step, whose outputs are likely to be wanted
// together; then the least busy, then the smallest identity.
func (d *Dispatcher) assignQueue(store *state.Store, job state.Job, ref TaskRef) {
	if d.singleQueue {
		d.enqueue(job, ref, "")
		return
	}
	seats := d.candidates[:0]
	least, allSpared := math.Inf(1), true
	workers := store.Workers()
	for i := range workers {
		if workers[i].Service != job.Spec.Service || !workers[i].Capacity.Covers(job.Spec.Tasks[ref.Index].Resources) {
			continue
		}
		w := workers[i]
		if store.Fits(job, ref.Index, w) != status.OK || d.failedHere(store, job, ref.Index, w) {
			continue
		}
		s := queueCandidate{w.ID(), d.deprioritized(store, w) && !d.mayProbe(store, job, w), isNearData(job, ref.Index, w), d.LocalityScore(job, ref, w.ID()), d.load(store, w), d.stepPeersOn(job, ref, w.ID())}
		if allSpared && !s.deprioritized {
			least, allSpared = s.load, false
		} else if s.deprioritized == allSpared {
			least = math.Min(least, s.load)
		}
		seats = append(seats, s)
	}
	d.candidates = seats
	best := -1
	for i, s := range seats {
		if s.deprioritized == allSpared && s.load <= least+loadTolerance && (best < 0 || s.precedes(seats[best])) {
			best = i
		}
	}
	if best < 0 {
		d.unplaced[ref] = true
		d.retrySilentWorkers(store)
		return
	}
	d.enqueue(job, ref, seats[best].worker)
}

// near says whether a worker stands at the rack that holds a task's data.
func isNearData(job state.Job, i int, w state.Worker) bool {
	rack := job.Spec.Tasks[i].PreferredRack
	return rack == "" || rack == w.Rack
}

func (s queueCandidate) precedes(o queueCandidate) bool {
	switch {
	case s.nearData != o.nearData:
		return s.nearData
	case s.locality != o.locality:
		return s.locality > o.locality
	case s.stepPeers != o.stepPeers:
		return s.stepPeers > o.stepPeers
	}
	return s.load < o.load
}

// siblings counts tasks of the same job and step that a worker has.
func (d *Dispatcher) stepPeersOn(job state.Job, ref TaskRef, worker string) int {
	count := d.stepPeers[stepKey{ref.Job, job.Tasks[ref.Index].Level}][worker]
	if d.locations[ref].worker == worker {
		count--
	}
	return count
}

func (d *Dispatcher) load(store *state.Store, w state.Worker) float64 {
	slots := d.queuedSlots[w.ID()] + w.Capacity.Slots - store.FreeResources(w.ID()).Slots
	return float64(slots) / math.Max(1, float64(w.Capacity.Slots))
}

// Locality is |H ∩ D| / |D|: of what the task depends on, the part that the
// worker has completed. Without dependencies it is 0 for every worker.
func (d *Dispatcher) LocalityScore(job state.Job, ref TaskRef, worker string) float64 {
	needs := job.Spec.Tasks[ref.Index].Dependencies
	if len(needs) == 0 {
		return 0
	}
	key := inputKey{ref.Job, needs[0], len(needs)}
	held, known := d.inputHolders[key]
	if !known {
		held = map[string]int{}
		all := true
		for _, i := range needs {
			if all = all && job.Tasks[i].State == state.Done; job.Tasks[i].State == state.Done {
				held[job.Tasks[i].CompletedOn]++
			}
		}
		if consecutive := needs[len(needs)-1]-needs[0] == len(needs)-1; all && consecutive {
			d.inputHolders[key] = held
		}
	}
	return float64(held[worker]) / float64(len(needs))
}

func (d *Dispatcher) sortedByNumber(store *state.Store, set map[TaskRef]bool) []TaskRef {
	out := make([]TaskRef, 0, len(set))
	for ref := range set {
		out = append(out, ref)
	}
	sort.Slice(out, func(i, j int) bool { return taskNumber(store, out[i]) < taskNumber(store, out[j]) })
	return out
}

func taskNumber(store *state.Store, ref TaskRef) uint64 {
	if job, ok := store.Job(ref.Job); ok {
		return job.Tasks[ref.Index].Number
	}
	return math.MaxUint64
}

// Inboxes counts, per worker, what waits in its inbox.
func (d *Dispatcher) QueueLengths() map[string]int {
	out := map[string]int{}
	for _, p := range d.positions {
		out[p.worker]++
	}
	return out
}

// Unplaced gives the tasks that no present worker could take.
func (d *Dispatcher) UnplacedTasks(store *state.Store) []TaskRef {
	return d.sortedByNumber(store, d.unplaced)
}

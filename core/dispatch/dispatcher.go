// Package dispatch chooses which worker runs which task.
//
// It follows the decentralized task fetching of Fela (see docs/fela.md). Each worker has a
// queue of runnable tasks. A worker that has free resources pulls its next task from its own
// queue first: the task of the deepest runnable step, then the one with the largest locality
// score, then the one with the smallest number. A worker whose own queue is empty steals from
// the straggler with the fewest helpers and, among equals, the slowest progress.
//
// A Dispatcher is built from the replicated state and holds nothing that can't be rebuilt from
// it. The state machine checks its proposals, so a stale or lost dispatcher costs time only.
package dispatch

import "sorrelloom/core/state"

// TaskRef identifies a task by its job and its index in the job.
type TaskRef struct {
	Job   string
	Index int
}

// Counters counts how often each rule of the dispatcher decided. The JSON names predate the
// names of the fields.
type Counters struct {
	// Runnable counts the runnable tasks for which a queue was to be chosen.
	Runnable uint64 `json:"Releases"`
	// OwnQueue counts pulls answered from the worker's own queue, Stolen those
	// answered from another worker's.
	OwnQueue uint64 `json:"Own"`
	Stolen   uint64 `json:"Helped"`
	// DecidedByLevel, DecidedByLocality and DecidedByNumber count pulls by the first rule of
	// the order that ranked the chosen task above another candidate.
	DecidedByLevel    uint64 `json:"Deepest"`
	DecidedByLocality uint64 `json:"Locality"`
	DecidedByNumber   uint64 `json:"Smallest"`
	// Gangs counts the gangs whose members were all placed in one proposal.
	Gangs uint64 `json:"Gangs"`
	// Preemptions counts the leases proposed for preemption.
	Preemptions uint64 `json:"PushOuts"`
	// LostRaces counts the proposals that were rejected because another scheduler's proposal
	// for the same task was accepted first.
	LostRaces uint64 `json:"Reserved"`
	// Examined counts the tasks that were compared as candidates.
	Examined uint64 `json:"Looked"`
}

// Dispatcher holds the queues of all workers. It is not safe for concurrent use.
type Dispatcher struct {
	Counters Counters
	options  Options

	queues    workerQueues
	locations taskLocations
	inputs    inputIndex
	steals    steals
	health    healthTracker
	trust     trustTracker
	runTimes  runTimes

	// running holds the attempts whose leases are in force.
	running map[TaskRef]runningAttempt
	// completed counts the tasks that each worker has completed.
	completed map[string]int
	// jobSizes holds the number of tasks of each known job.
	jobSizes map[string]int

	// unplaced holds the runnable tasks for which no worker was found.
	unplaced map[TaskRef]bool
	// triedEligibility holds each worker's eligibility at the time when the unplaced tasks were
	// last tried on it.
	triedEligibility map[string]eligibility
	// redistributing holds the workers for which the next Update continues to move queued
	// tasks to other queues, or to place unplaced tasks.
	redistributing map[string]bool
	rebuild        rebuildProgress

	reservations reservationCache
	// serviceWindows, tenantWindows and overlapWindows bound how long gangs hold back younger
	// work. serviceArrivals and tenantArrivals tell whether such work keeps arriving.
	serviceWindows, tenantWindows   map[string]*holdWindow
	overlapWindows                  map[heldWork]*overlapWindow
	serviceArrivals, tenantArrivals arrivals
	// usages caches whether services are at most half used.
	usages map[string]serviceUsage
	// tenantsAtLimit holds the tenants whose tasks were held back by their limits since the
	// last call of TakeTenantsAtLimit.
	tenantsAtLimit map[string]bool
	// gangSearches holds the last search for workers for each gang, by the gang's first member.
	gangSearches   map[TaskRef]gangSearchResult
	unmetGangNeeds unmetGangNeeds
	// gangSearch and gangMembers are buffers reused by each search for a gang's workers.
	gangSearch  gangSearch
	gangMembers []int

	// changedWorkers holds the workers that had a task added to their queue or a lease ended
	// since the last call of TakeChangedWorkers.
	changedWorkers map[string]bool
	// candidates are those of the last chooseQueue, and placement is its choice. The placement
	// is valid until anything changes that the candidates depend on.
	candidates []queueCandidate
	placement  lastPlacement
	// pullCount numbers the pulls.
	pullCount uint64
	// workerList caches the workers of the store with their queues.
	workerList workerListCache
	// availableBuffer and victims are buffers reused by each Preempt.
	availableBuffer []state.Resources
	victims         []victim
}

// New returns a dispatcher without any tasks and with all mechanisms enabled.
func New() *Dispatcher { return NewWith(Options{}) }

// NewWith returns a dispatcher without any tasks, with the mechanisms disabled that the options
// name.
func NewWith(options Options) *Dispatcher {
	d := &Dispatcher{
		options:        options,
		changedWorkers: map[string]bool{},
		tenantsAtLimit: map[string]bool{},
		completed:      map[string]int{},
		health:         newHealthTracker(options),
		trust:          newTrustTracker(),
		runTimes:       runTimes{},
		queues:         newWorkerQueues(),
		serviceWindows: map[string]*holdWindow{}, tenantWindows: map[string]*holdWindow{},
		overlapWindows:  map[heldWork]*overlapWindow{},
		serviceArrivals: arrivals{}, tenantArrivals: arrivals{},
		usages: map[string]serviceUsage{},
	}
	d.reset()
	return d
}

// reset discards all tasks, but keeps what is known of the workers.
func (d *Dispatcher) reset() {
	d.queues.reset()
	d.locations = newTaskLocations()
	d.inputs = inputIndex{}
	d.steals = newSteals()
	d.running = map[TaskRef]runningAttempt{}
	d.jobSizes = map[string]int{}
	d.unplaced = map[TaskRef]bool{}
	d.triedEligibility = map[string]eligibility{}
	d.redistributing = map[string]bool{}
	d.rebuild = rebuildProgress{}
	d.gangSearches, d.unmetGangNeeds = map[TaskRef]gangSearchResult{}, nil
}

// Update applies changes of the state, and continues a rebuild that is under way.
func (d *Dispatcher) Update(store *state.Store, changes []state.Change) {
	d.ApplyChanges(store, changes)
	d.ContinueRebuild(store)
}

// ApplyChanges applies changes of the state, without continuing a rebuild.
func (d *Dispatcher) ApplyChanges(store *state.Store, changes []state.Change) {
	d.placement = lastPlacement{}
	left := rebuildBatch(store)
	for _, change := range changes {
		switch {
		case change.All:
			d.reservations = reservationCache{}
			d.beginRebuild(store)
		case change.Worker != "":
			d.trust.observeWorker(store, change.Worker)
			left = d.updateWorker(store, change.Worker, left)
		case change.Task < 0:
			if _, ok := store.Job(change.Job); !ok {
				d.forgetJob(change.Job)
			}
		default:
			d.updateTask(store, TaskRef{change.Job, change.Task})
		}
	}
	d.observeRunning(store)
}

// TakeChangedWorkers returns the workers that had a task added to their queue or a lease ended
// since the last call.
func (d *Dispatcher) TakeChangedWorkers() map[string]bool {
	changed := d.changedWorkers
	d.changedWorkers = map[string]bool{}
	return changed
}

// QueueVersion returns a number that grows with each task added to a worker's queue.
func (d *Dispatcher) QueueVersion(worker string) uint64 { return d.queues.of(worker).version }

// QueueLengths returns the number of tasks in each queue that is not empty, by worker.
func (d *Dispatcher) QueueLengths() map[string]int { return d.queues.lengths() }

// QueuedTasks returns the number of tasks in all queues.
func (d *Dispatcher) QueuedTasks() int { return len(d.queues.positions) }

// UnplacedTasks returns the tasks that no present worker can take, by task number.
func (d *Dispatcher) UnplacedTasks(store *state.Store) []TaskRef {
	return sortedByNumber(store, d.unplaced)
}

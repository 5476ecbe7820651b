// Package dispatch chooses which worker runs which task.
//
// It follows the decentralized task fetching of Fela (see docs/fela.md). Each worker
// has a queue of runnable tasks. A worker that has free resources pulls its next
// task: from its own queue first, the task of the deepest runnable step first, then
// the one with the largest locality score, then the one with the smallest number.
// A worker whose own queue is empty steals from the straggler with the fewest
// helpers and, among equals, the slowest progress.
//
// A Dispatcher is built from the replicated state and holds nothing that can't be
// rebuilt from it. Its proposals are checked by the state machine, so a stale or lost
// dispatcher costs time only.
package dispatch

import "sorrelloom/core/state"

// TaskRef identifies a task by its job and its index in the job.
type TaskRef struct {
	Job   string
	Index int
}

// Counters count which rules decided. Their encoded names are older than their names here.
type Counters struct {
	// Runnable counts the tasks that became runnable and were to be put into a queue.
	Runnable uint64 `json:"Releases"`
	// OwnQueue counts pulls answered from the worker's own queue, Stolen those
	// answered from another worker's.
	OwnQueue uint64 `json:"Own"`
	Stolen   uint64 `json:"Helped"`
	// DecidedByLevel, DecidedByLocality and DecidedByNumber count pulls by the first
	// rule of the order that set the chosen task before another candidate.
	DecidedByLevel    uint64 `json:"Deepest"`
	DecidedByLocality uint64 `json:"Locality"`
	DecidedByNumber   uint64 `json:"Smallest"`
	// Gangs counts gangs for which all members were placed together.
	Gangs uint64 `json:"Gangs"`
	// Preemptions counts the leases proposed for preemption.
	Preemptions uint64 `json:"PushOuts"`
	// LostRaces counts proposals that came too late, since another scheduler's
	// proposal for the task was taken first.
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

	// running holds the leases in force, to see how their attempts end.
	running map[TaskRef]runningAttempt
	// completed counts, per worker, the tasks that it has completed.
	completed map[string]int
	// jobSizes are the numbers of tasks of the jobs known.
	jobSizes map[string]int

	// unplaced are the runnable tasks for which no worker was found.
	unplaced map[TaskRef]bool
	// triedEligibility is each worker's eligibility when unplaced tasks were last
	// tried on it.
	triedEligibility map[string]eligibility
	// redistributing are the workers whose queues, or whose share of the unplaced
	// tasks, were left for the next Update.
	redistributing map[string]bool
	rebuild        rebuildProgress

	reservations reservationCache
	// serviceWindows, tenantWindows and overlapWindows bound how long gangs hold younger work
	// back, and serviceArrivals and tenantArrivals say whether such work keeps coming.
	serviceWindows, tenantWindows   map[string]*holdWindow
	overlapWindows                  map[heldWork]*overlapWindow
	serviceArrivals, tenantArrivals arrivals
	// usages are those of the services, as far as they were asked for.
	usages map[string]serviceUsage
	// tenantsAtLimit are those for which tasks were held back since TakeTenantsAtLimit.
	tenantsAtLimit map[string]bool
	// gangTries are the last looks for workers for gangs, by their first members.
	gangTries  map[TaskRef]gangTry
	gangMisses gangMisses
	// gangSearch and gangMembers are the memory of the last search for a gang, used again.
	gangSearch  gangSearch
	gangMembers []int

	// changedWorkers are those into whose queues a task came, or whose lease ended.
	changedWorkers map[string]bool
	// candidates are those of the last chooseQueue, and placement is what it chose; it is
	// valid until anything changes that the candidates depend on.
	candidates []queueCandidate
	placement  lastPlacement
	// pullCount counts the pulls.
	pullCount uint64
	// rows are those of the workers that the store had last.
	rows workerRows
	// preemptionRoom and victims are the memory of the last Preempt, used again.
	preemptionRoom []state.Resources
	victims        []victim
}

// New returns a dispatcher that knows of no task yet.
func New() *Dispatcher { return NewWith(Options{}) }

// NewWith returns a dispatcher without some of its mechanisms.
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

// reset forgets all tasks, but not what is known of the workers.
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
	d.gangTries, d.gangMisses = map[TaskRef]gangTry{}, nil
}

// Update takes the changes of the state, and continues a rebuild that is under way.
func (d *Dispatcher) Update(store *state.Store, changes []state.Change) {
	d.TakeChanges(store, changes)
	d.ContinueRebuild(store)
}

// TakeChanges takes the changes of the state.
func (d *Dispatcher) TakeChanges(store *state.Store, changes []state.Change) {
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

// TakeChangedWorkers returns the workers into whose queues a task has come, or whose
// leases have ended, since the last call.
func (d *Dispatcher) TakeChangedWorkers() map[string]bool {
	changed := d.changedWorkers
	d.changedWorkers = map[string]bool{}
	return changed
}

// QueueVersion changes whenever a task comes into a worker's queue.
func (d *Dispatcher) QueueVersion(worker string) uint64 { return d.queues.of(worker).version }

// QueueLengths returns the number of tasks in each worker's queue.
func (d *Dispatcher) QueueLengths() map[string]int { return d.queues.lengths() }

// QueuedTasks returns the number of tasks in all queues.
func (d *Dispatcher) QueuedTasks() int { return len(d.queues.positions) }

// UnplacedTasks returns the tasks that no present worker can take, by number.
func (d *Dispatcher) UnplacedTasks(store *state.Store) []TaskRef {
	return sortedByNumber(store, d.unplaced)
}

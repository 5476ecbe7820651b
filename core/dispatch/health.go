package dispatch

import (
	"slices"
	"time"

	"sorrelloom/core/state"
)

const (
	// failureWeight is the weight of the last attempt in a worker's failure rate, a moving
	// average.
	failureWeight = 0.3
	// unhealthyThreshold is the failure rate above which a worker is unhealthy, and
	// slowThreshold the slowdown above which it is slow.
	unhealthyThreshold = 0.45
	slowThreshold      = 2.5
	// initialPause is the pause after a worker's first failure. It doubles with each further
	// one, up to maxPause.
	initialPause     = 500 * time.Millisecond
	maxPause         = 30 * time.Second
	maxPauseDoubling = 10
	// slowPause is the pause of a slow worker after each success.
	slowPause = 2 * time.Second

	// slowdownWeight is the weight of the last run in a worker's slowdown, a moving average,
	// and maxSlowdown the maximum that a single run counts.
	slowdownWeight = 0.2
	maxSlowdown    = 10
	// minTypicalSeconds keeps the slowdown finite.
	minTypicalSeconds = 0.001

	// majorityTTL is how long it is cached whether at least half of a service's workers are
	// healthy.
	majorityTTL = 50 * time.Millisecond
)

// healthTracker detects workers that fail part of their tasks or have become slow although
// their heartbeats look healthy, from how their attempts end. Such a worker gets less work but
// is probed: with one task at a time, after a pause that grows with each failure and ends with
// the first success. A worker is restricted only while at least half of its service's workers
// are healthy.
type healthTracker struct {
	workers map[string]workerHealth
	// impaired holds the workers that are unhealthy or slow, usually few.
	impaired   map[string]bool
	options    Options
	majorities map[string]healthMajority
	// unobservedUntil is when the dispatcher last could not see what workers do: for each
	// worker that was silent then, and under the empty name for all.
	unobservedUntil map[string]time.Duration
	// overdueCheckedAt is when the running attempts were last checked.
	overdueCheckedAt time.Duration
	// changes holds the workers that have become impaired or have recovered, for the log.
	changes []HealthChange
}

// HealthChange reports that a worker's attempts have made it unhealthy or slow, or that it has
// recovered. An impaired worker gets less work as long as at least half of its service's
// workers are healthy.
type HealthChange struct {
	Worker      string
	Impaired    bool
	FailureRate float64
	Slowdown    float64
}

// TakeHealthChanges returns the changes since the last call.
func (d *Dispatcher) TakeHealthChanges() []HealthChange {
	changes := d.health.changes
	d.health.changes = nil
	return changes
}

// ImpairedWorkers returns the number of workers whose attempts make them unhealthy or slow.
func (d *Dispatcher) ImpairedWorkers() int { return len(d.health.impaired) }

type workerHealth struct {
	// failureRate is a moving average: 0 without failures, 1 without successes.
	failureRate         float64
	consecutiveFailures int
	pausedUntil         time.Duration
	lastFailureAt       time.Duration
	// lastFailedGrantAt and lastSucceededGrantAt are the times of the latest grants whose runs
	// have failed and succeeded.
	lastFailedGrantAt, lastSucceededGrantAt time.Duration
	// slowdown is a moving average of run times relative to the typical one; 0 is unknown.
	slowdown float64
}

// healthMajority caches whether at least half of a service's workers were healthy.
type healthMajority struct {
	checkedAt time.Duration
	healthy   bool
}

func newHealthTracker(options Options) healthTracker {
	return healthTracker{
		options: options, workers: map[string]workerHealth{}, impaired: map[string]bool{},
		majorities: map[string]healthMajority{}, unobservedUntil: map[string]time.Duration{},
	}
}

func (h workerHealth) unhealthy() bool { return h.failureRate > unhealthyThreshold }

func (h workerHealth) slow() bool { return h.slowdown > slowThreshold }

func (h workerHealth) impaired() bool { return h.unhealthy() || h.slow() }

// observeEnd updates the health of a worker with the end of an attempt. It ignores ends that
// are not caused by the worker, and the success of an attempt that was granted before the last
// failed one while the worker's breaker is tripped. typical is the typical duration of such a
// run in seconds; 0 is unknown.
func (t *healthTracker) observeEnd(store *state.Store, job *state.Job, i int, attempt runningAttempt, typical float64) {
	task, health := job.Tasks[i], t.workers[attempt.worker]
	before := health
	switch {
	case task.State == state.Done && task.CompletedOn == attempt.worker:
		if health.tripped() && attempt.grantedAt < health.lastFailedGrantAt {
			return
		}
		health.failureRate *= 1 - failureWeight
		health.consecutiveFailures = 0
		health.pausedUntil = 0
		health.lastSucceededGrantAt = max(health.lastSucceededGrantAt, attempt.grantedAt)
		if typical > 0 && !t.options.WithoutSlownessHealth {
			health.observeRunTime((task.EndedAt - attempt.startedAt).Seconds() / max(typical, minTypicalSeconds))
			if health.slow() {
				health.pausedUntil = store.Now() + slowPause
			}
		}
	case attempt.failedBy(task) && !t.options.WithoutFailureHealth:
		health.failureRate = health.failureRate*(1-failureWeight) + failureWeight
		pause := initialPause << min(health.consecutiveFailures, maxPauseDoubling)
		health.pausedUntil = store.Now() + min(maxPause, pause)
		health.consecutiveFailures++
		health.lastFailureAt = store.Now()
		health.lastFailedGrantAt = max(health.lastFailedGrantAt, attempt.grantedAt)
	default:
		return
	}
	t.update(attempt.worker, before, health)
}

// failedBy reports whether the attempt has failed or was lost, given its task after the end. A
// failure of another member of its gang counts for the task, but not for the worker.
func (a runningAttempt) failedBy(task *state.Task) bool {
	return task.Failures > a.failures && slices.Contains(task.FailedOn, a.worker) || task.Losses > a.losses
}

// update stores the health of a worker, and records whether it has become impaired or has
// recovered.
func (t *healthTracker) update(id string, before, health workerHealth) {
	if health.impaired() != before.impaired() {
		if health.impaired() {
			t.impaired[id] = true
		} else {
			delete(t.impaired, id)
		}
		t.changes = append(t.changes, HealthChange{
			Worker: id, Impaired: health.impaired(), FailureRate: health.failureRate, Slowdown: health.slowdown,
		})
	}
	t.workers[id] = health
}

// observeRunTime adds a run, with its duration as a multiple of the typical one.
func (h *workerHealth) observeRunTime(ratio float64) {
	if h.slowdown == 0 {
		h.slowdown = 1
	}
	h.slowdown += slowdownWeight * (min(ratio, maxSlowdown) - h.slowdown)
}

// deprioritized reports whether a worker is to get less work: it is unhealthy or slow, and at
// least half of its service's live workers are neither.
func (t *healthTracker) deprioritized(store *state.Store, worker *state.Worker) bool {
	if !t.impaired[worker.ID()] {
		return false
	}
	majority, ok := t.majorities[worker.Service]
	if !ok || store.Now() >= majority.checkedAt+majorityTTL {
		majority = healthMajority{store.Now(), t.mostAreHealthy(store, worker.Service)}
		t.majorities[worker.Service] = majority
	}
	return majority.healthy
}

func (t *healthTracker) mostAreHealthy(store *state.Store, service string) bool {
	healthy, total := 0, 0
	for _, entry := range store.WorkerEntries() {
		worker := entry.Record()
		if worker.Service != service || !store.Live(worker) || worker.Leaving {
			continue
		}
		total++
		if !t.impaired[worker.ID()] {
			healthy++
		}
	}
	return 2*healthy >= total
}

// mayPull reports whether a worker may pull normally now. Of the deprioritized workers, an
// unhealthy one may after its pause while it runs nothing, and a slow one while it uses fewer
// slots than its capacity divided by its slowdown, or none. proposedSlots are the slots
// proposed for the worker and not yet in the state.
func (t *healthTracker) mayPull(store *state.Store, worker *state.Worker, proposedSlots int) bool {
	if !t.deprioritized(store, worker) {
		return true
	}
	id := worker.ID()
	health := t.workers[id]
	if health.unhealthy() {
		return store.LeaseCount(id)+proposedSlots == 0 && store.Now() >= health.pausedUntil
	}
	usedSlots := worker.Capacity.Slots - store.FreeResources(id).Slots + proposedSlots
	return usedSlots < max(1, int(float64(worker.Capacity.Slots)/health.slowdown))
}

// failedOnWorker reports whether a task has failed on this worker and could run on another one
// where it has not.
func (d *Dispatcher) failedOnWorker(store *state.Store, job *state.Job, i int, worker *state.Worker) bool {
	failedOn := job.Tasks[i].FailedOn
	if d.options.WithoutFailedOn || !slices.Contains(failedOn, worker.ID()) {
		return false
	}
	for _, entry := range store.WorkerEntries() {
		other := entry.Record()
		if !slices.Contains(failedOn, other.ID()) && canEverRun(store, job, i, other) {
			return true
		}
	}
	return false
}

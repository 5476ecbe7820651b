// Package fakeworker implements a fake worker that follows the contract in docs/workers.md and
// can inject faults. It is a state machine without I/O, driven by the program fakeworker and by
// the simulator. It keeps its own record of every run, so that guarantees can be checked
// independently of the replicated state.
package fakeworker

import (
	"slices"
	"time"

	"sorrelloom/core/state"
)

// Faults are the faults that a worker can inject. The zero value injects none.
type Faults struct {
	// SlowFactor is a factor on the run times of tasks; values up to 1 have no effect.
	SlowFactor float64 `json:"slow,omitempty"`
	// FailEvery makes every n-th run fail; 0 disables it.
	FailEvery int `json:"failEach,omitempty"`
	// FailClass makes all runs of one class fail.
	FailClass string `json:"failClass,omitempty"`
	// Hang makes newly started runs hang: they end only when stopped, when the lease expires or
	// at the run limit.
	Hang bool `json:"hang,omitempty"`
	// OverstatedSlots is added to the number of free slots that is reported.
	OverstatedSlots int `json:"lieSlots,omitempty"`
	// IgnoreLeaseExpiry lets runs continue after the lease has expired.
	IgnoreLeaseExpiry bool `json:"runOn,omitempty"`
	// IgnoreRunLimit lets runs continue past their run limit.
	IgnoreRunLimit bool `json:"noLimit,omitempty"`
}

// Config is the identity and capacity of a worker.
type Config struct {
	ID, Zone, Rack, Service string
	Labels                  []string
	Capacity                state.Resources
	// Incarnation must increase with each process of a worker.
	Incarnation int64
}

// Outcomes of runs. A run that was lost with its process has an empty outcome.
const (
	OutcomeSucceeded = "good"
	OutcomeFailed    = "bad"
	OutcomeStopped   = "stopped"
)

// Run is the worker's own record of one run. Times count from the start of the worker; End is 0
// while the run is active.
type Run struct {
	state.Attempt
	Worker    string          `json:"worker"`
	Class     string          `json:"class"`
	Service   string          `json:"service"`
	Resources state.Resources `json:"room"`
	Gang      string          `json:"gang,omitempty"`
	Start     time.Duration   `json:"from"`
	End       time.Duration   `json:"to"`
	Outcome   string          `json:"outcome"`
}

// Payload holds the fields of a task's payload that the worker interprets.
type Payload struct {
	// RunMillis is the run time of the task.
	RunMillis int64 `json:"runMs"`
	// FetchMillis is added to the run time for each input held by another worker.
	FetchMillis int64 `json:"fetchMs,omitempty"`
	// Fail makes the task fail.
	Fail bool `json:"fail,omitempty"`
}

const (
	// HeartbeatWait is how long a gateway may hold a heartbeat until there are orders.
	HeartbeatWait = time.Second
	// ReplyTimeout is the time after which the reply to a heartbeat is ignored.
	ReplyTimeout = 2 * time.Second

	retryDelay = 200 * time.Millisecond
)

// Worker is one process of a worker. Times count from its start.
type Worker struct {
	// Finished holds the ended runs in the order in which they ended.
	Finished []Run

	config  Config
	faults  Faults
	leaving bool

	heartbeatNumber uint64
	sentAt          time.Duration // of the last heartbeat
	awaitingReply   bool
	nextHeartbeat   time.Duration
	changed         bool // since the last heartbeat

	leaseExpiry time.Duration
	active      map[state.Attempt]activeRun
	unackedEnds []state.AttemptResult
	started     map[state.Attempt]bool
	startCount  int
}

// New creates a worker.
func New(config Config) *Worker {
	return &Worker{config: config, active: map[state.Attempt]activeRun{}, started: map[state.Attempt]bool{}}
}

// RestoreEnds restores the results of runs that an earlier incarnation recorded and that were not
// acknowledged. A real worker keeps them on disk.
func (w *Worker) RestoreEnds(ends []state.AttemptResult) {
	w.unackedEnds = append(w.unackedEnds, ends...)
}

// UnackedEnds returns the unacknowledged results of runs, for RestoreEnds.
func (w *Worker) UnackedEnds() []state.AttemptResult { return slices.Clone(w.unackedEnds) }

// SetFaults replaces the faults to inject from now on.
func (w *Worker) SetFaults(faults Faults) { w.faults = faults }

// Faults returns the faults that the worker injects.
func (w *Worker) Faults() Faults { return w.faults }

// Leave makes the worker announce in its heartbeats that it is leaving.
func (w *Worker) Leave() { w.leaving, w.changed = true, true }

// Tick ends the runs that are due. It returns a heartbeat and true if one must be sent now.
func (w *Worker) Tick(now time.Duration) (state.Heartbeat, bool) {
	w.endDueRuns(now)
	due := !w.awaitingReply && now >= w.nextHeartbeat
	timedOut := w.awaitingReply && now > w.sentAt+ReplyTimeout
	if w.changed || due || timedOut {
		return w.heartbeat(now), true
	}
	return state.Heartbeat{}, false
}

// heartbeat creates the next heartbeat.
func (w *Worker) heartbeat(now time.Duration) state.Heartbeat {
	w.heartbeatNumber++
	w.sentAt, w.awaitingReply, w.changed = now, true, false
	free := w.config.Capacity
	for _, r := range w.active {
		free = free.Sub(r.order.Resources)
	}
	free.Slots += w.faults.OverstatedSlots
	return state.Heartbeat{
		Worker: w.config.ID, Incarnation: w.config.Incarnation, Number: w.heartbeatNumber,
		Zone: w.config.Zone, Rack: w.config.Rack, Service: w.config.Service, Labels: w.config.Labels,
		Running: w.activeAttempts(), Ended: slices.Clone(w.unackedEnds), Free: free, Leaving: w.leaving,
	}
}

// NextTimer returns the latest time at which Tick should be called next.
func (w *Worker) NextTimer() time.Duration {
	at := w.nextHeartbeat
	if w.awaitingReply {
		at = w.sentAt + ReplyTimeout + time.Millisecond
	}
	for _, r := range w.active {
		at = min(at, r.nextTimer())
	}
	if len(w.active) > 0 && w.leaseExpiry > 0 {
		at = min(at, w.leaseExpiry)
	}
	return at
}

// HandleReply processes the reply to a heartbeat. A reply to an earlier heartbeat, or one after
// ReplyTimeout, is ignored. The lease counts from when the heartbeat was sent.
func (w *Worker) HandleReply(now time.Duration, number uint64, success bool, reply state.HeartbeatReply) {
	if number != w.heartbeatNumber || !w.awaitingReply {
		return
	}
	w.awaitingReply = false
	w.nextHeartbeat = now
	if now-w.sentAt > ReplyTimeout {
		return
	}
	if !success {
		w.nextHeartbeat = now + retryDelay
		if reply.Incarnation > w.config.Incarnation {
			w.config.Incarnation = reply.Incarnation + 1
		}
		return
	}
	w.leaseExpiry = max(w.leaseExpiry, w.sentAt+reply.LeaseDuration)
	w.unackedEnds = slices.DeleteFunc(w.unackedEnds, func(end state.AttemptResult) bool {
		return slices.Contains(reply.Acks, end.Attempt)
	})
	for _, attempt := range reply.Stops {
		w.stopRun(now, attempt)
	}
	for _, order := range reply.Starts {
		if !w.started[order.Attempt] {
			w.started[order.Attempt], w.changed = true, true
			w.startRun(now, order)
		}
	}
}

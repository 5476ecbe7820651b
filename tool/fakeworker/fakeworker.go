// Package fakeworker is a fake of the users' workers, written to the contract in
// docs/workers.md, with faults that can be switched on. It is a state machine without
// input or output, driven by the program fakeworker and by the simulator. It keeps its own
// record of every run, from which promises are checked without asking the replicated
// state.
package fakeworker

import (
	"slices"
	"time"

	"sorrelloom/core/state"
)

// Faults are what a worker can be told to do wrong.
type Faults struct {
	// SlowFactor is by how much slower tasks run, if over 1.
	SlowFactor float64 `json:"slow,omitempty"`
	// FailEvery fails each n-th run.
	FailEvery int `json:"failEach,omitempty"`
	// FailClass fails all of one class, and nothing else.
	FailClass string `json:"failClass,omitempty"`
	// Hang has runs that start never end by themselves.
	Hang bool `json:"hang,omitempty"`
	// OverstatedSlots are reported as free beside those that are.
	OverstatedSlots int `json:"lieSlots,omitempty"`
	// IgnoreLeaseExpiry has runs go on when the lease has expired.
	IgnoreLeaseExpiry bool `json:"runOn,omitempty"`
	// IgnoreRunLimit has runs go on past their limit.
	IgnoreRunLimit bool `json:"noLimit,omitempty"`
}

// Config is what a worker is.
type Config struct {
	ID, Zone, Rack, Service string
	Labels                  []string
	Capacity                state.Resources
	// Incarnation is larger for each process of a worker.
	Incarnation int64
}

// Outcomes of runs; one that was lost with its process has none.
const (
	OutcomeSucceeded = "good"
	OutcomeFailed    = "bad"
	OutcomeStopped   = "stopped"
)

// Run is the worker's own record of one run. Its times count from the worker's start; End
// is zero while it lasts.
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

// Payload is what the worker understands of a task's payload.
type Payload struct {
	// RunMillis is how long the task runs.
	RunMillis int64 `json:"runMs"`
	// FetchMillis is what each input costs that another worker holds.
	FetchMillis int64 `json:"fetchMs,omitempty"`
	// Fail has the task fail.
	Fail bool `json:"fail,omitempty"`
}

const (
	// HeartbeatWait is how long a heartbeat may wait at a gateway for orders.
	HeartbeatWait = time.Second
	// ReplyTimeout is after how long a reply to a heartbeat is dropped.
	ReplyTimeout = 2 * time.Second

	retryDelay = 200 * time.Millisecond
)

// Worker is one process of a worker. Times are counted from its start.
type Worker struct {
	// Finished are the runs that have ended, in the order of their ends.
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

// New starts a worker.
func New(config Config) *Worker {
	return &Worker{config: config, active: map[state.Attempt]activeRun{}, started: map[state.Attempt]bool{}}
}

// RestoreEnds takes over the ends that an earlier incarnation noted and that were not
// acknowledged; a real worker keeps them on its disk.
func (w *Worker) RestoreEnds(ends []state.AttemptResult) {
	w.unackedEnds = append(w.unackedEnds, ends...)
}

// UnackedEnds returns the ends to restore.
func (w *Worker) UnackedEnds() []state.AttemptResult { return slices.Clone(w.unackedEnds) }

// SetFaults tells the worker what to do wrong from now on.
func (w *Worker) SetFaults(faults Faults) { w.faults = faults }

// Faults returns what the worker was told to do wrong.
func (w *Worker) Faults() Faults { return w.faults }

// Leave has the worker say that it leaves.
func (w *Worker) Leave() { w.leaving, w.changed = true, true }

// Tick ends the runs that are due, and reports whether a heartbeat is to be sent now.
func (w *Worker) Tick(now time.Duration) (state.Heartbeat, bool) {
	w.endDueRuns(now)
	due := !w.awaitingReply && now >= w.nextHeartbeat
	timedOut := w.awaitingReply && now > w.sentAt+ReplyTimeout
	if w.changed || due || timedOut {
		return w.heartbeat(now), true
	}
	return state.Heartbeat{}, false
}

// heartbeat makes the next heartbeat.
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

// NextTimer is when Tick should be called at the latest.
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

// HandleReply takes the reply to a heartbeat; one to an earlier heartbeat, or one that
// comes late, is dropped whole. The lease counts from when the heartbeat was sent.
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

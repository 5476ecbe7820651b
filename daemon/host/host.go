// Package host runs state machines: it passes them messages, requests, completed writes and
// expired timers, and executes the outputs that they return.
//
// A host has one or more machines, each with a Runner. A single goroutine steps all of them
// and takes pending inputs in the order of their priority, so that machines need no locks.
// Each runner has a goroutine for its writes. The time that machines see is monotonic and
// starts at 0 when the host is created.
package host

import (
	"sync"
	"time"

	"sorrelloom/core/machine"
	"sorrelloom/daemon/logging"
	"sorrelloom/daemon/pool"
	"sorrelloom/daemon/storage"
	"sorrelloom/daemon/transport"
)

// idleTimeout is how long the host waits for an input when no timer is set.
const idleTimeout = time.Hour

// WriteErrorHandler is called with the error of a failed write. The runner executes no
// further writes, so the process should exit.
type WriteErrorHandler func(err error)

// Host runs the machines of one process.
type Host struct {
	// OnAuditEntry, if set, is called with each audit entry. It must be set before Run.
	OnAuditEntry func(machine.AuditEntry)

	address      string
	listen       string
	started      time.Time
	receiveQueue *transport.ReceiveQueue
	counters     *transport.Counters
	transport    *transport.Transport
	store        *storage.Store
	onWriteError WriteErrorHandler
	runners      []*Runner
	requests     *pendingRequests
	load         *loadMeter

	stopOnce sync.Once
	stopped  chan struct{}
	closed   chan struct{}
}

// New creates a host without machines. Other processes reach it at address; it listens on
// listen. The store may be nil if no machine writes.
func New(address, listen string, store *storage.Store, onWriteError WriteErrorHandler) *Host {
	h := &Host{
		address: address, listen: listen, started: time.Now(), store: store, onWriteError: onWriteError,
		counters: transport.NewCounters(), requests: newPendingRequests(),
		stopped: make(chan struct{}), closed: make(chan struct{}),
	}
	h.receiveQueue = transport.NewReceiveQueue(h.Now, h.counters)
	h.load = newLoadMeter(h.Now)
	return h
}

// Phases returns the meter that machines use to attribute the time of their steps to phases.
func (h *Host) Phases() *machine.PhaseMeter { return h.load.phases }

// Metrics holds the load of a host and its counts of message frames, both since its start.
type Metrics struct {
	Load   Load
	Frames transport.Counts
}

// Metrics returns the current metrics.
func (h *Host) Metrics() Metrics { return Metrics{h.load.Total(), h.counters.Totals()} }

// Add adds a machine that receives the messages of the given kinds or, without any, all
// messages that no other machine receives. Machines must be added before Run.
func (h *Host) Add(m machine.Machine, kinds ...string) *Runner {
	r := &Runner{host: h, machine: m, kinds: map[string]bool{}, writes: make(chan machine.Write, maxPendingWrites)}
	for _, kind := range kinds {
		r.kinds[kind] = true
	}
	h.runners = append(h.runners, r)
	return r
}

// Run listens and starts the event loop. It returns once every machine has been stepped for
// the first time.
func (h *Host) Run() error {
	t, err := transport.Open(h.listen, h.Now, h.receiveQueue, h.counters)
	if err != nil {
		return err
	}
	h.transport = t
	begun := make(chan struct{})
	pool.Go(func() {
		for _, r := range h.runners {
			r.step(machine.Input{})
		}
		close(begun)
		h.eventLoop()
	})
	<-begun
	pool.Go(h.logLoad)
	if h.store != nil {
		for _, r := range h.runners {
			pool.Go(r.writeLoop)
		}
	}
	return nil
}

// Now returns the monotonic time since the host was created.
func (h *Host) Now() time.Duration { return time.Since(h.started) }

// eventLoop steps the machines until the host is closed. Completed writes and messages of
// other cluster members are handled before timers. Otherwise a process that has fallen behind
// could time out on its disk or on its peers while the write or message that prevents the
// timeout is already in the queue.
func (h *Host) eventLoop() {
	for !isClosed(h.closed) {
		item, ok := h.receiveQueue.DequeueBeforeTimers()
		if !ok {
			item, ok = h.receiveQueue.Dequeue(h.fireTimers())
		}
		switch {
		case !ok:
		case item.Call != nil:
			item.Call()
		default:
			h.deliver(machine.Input{Message: item.Message, Waited: item.Waited})
		}
	}
}

// logLoad logs the load of each interval in which the process was busy.
func (h *Host) logLoad() {
	ticker := time.NewTicker(loadLogInterval)
	defer ticker.Stop()
	for {
		select {
		case <-h.closed:
			return
		case <-ticker.C:
		}
		if load, share := h.load.takeInterval(h.Now()); share >= busyShare {
			logging.Warn("process_busy", append([]any{"busyPercent", int(100 * share)}, load.fields()...)...)
		}
	}
}

// fireTimers steps the machines whose timers have expired, and returns the time until the
// next timer expires.
func (h *Host) fireTimers() time.Duration {
	now := h.Now()
	next := now + idleTimeout
	for _, r := range h.runners {
		if r.timerAt > 0 && now >= r.timerAt {
			r.step(machine.Input{})
		}
		if r.timerAt > 0 {
			next = min(next, r.timerAt)
		}
	}
	return next - now
}

func (h *Host) deliver(in machine.Input) {
	var fallback *Runner
	for _, r := range h.runners {
		if r.kinds[in.Message.Kind] {
			r.step(in)
			return
		}
		if len(r.kinds) == 0 {
			fallback = r
		}
	}
	if fallback != nil {
		fallback.step(in)
	}
}

// Stopped returns a channel that is closed once a machine has reported that it has stopped.
func (h *Host) Stopped() <-chan struct{} { return h.stopped }

// Close stops the host. It must be called at most once.
func (h *Host) Close() {
	close(h.closed)
	h.receiveQueue.Close()
	if h.transport != nil {
		h.transport.Close()
	}
	if h.store != nil {
		// The error doesn't matter: the process is exiting, and all writes reported as
		// completed are durable.
		_ = h.store.Close()
	}
}

func isClosed(channel chan struct{}) bool {
	select {
	case <-channel:
		return true
	default:
		return false
	}
}

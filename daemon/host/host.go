// Package host drives state machines: it puts connections, files and wakeups round
// them and does what they return. Each machine is a shard; one goroutine steps all
// shards of a host, and takes what waits for them in the order of its urgency. Time
// is monotonic, counted from the start of the process.
package host

import (
	"context"
	"sync"
	"time"

	"sorrelloom/core/machine"
	"sorrelloom/daemon/logging"
	"sorrelloom/daemon/pool"
	"sorrelloom/daemon/storage"
	"sorrelloom/daemon/transport"
)

// Fatal is told of a write that failed.
type WriteErrorHandler func(err error)

const (
	// writesMax is how many batches may wait for the disk before a step waits for it.
	maxPendingWrites = 64
	// wakeupMin keeps a machine that always wants to be woken from being all that runs.
	minTimerInterval = time.Millisecond
	// idleWait is how long the host sleeps when no machine wants to be woken.
	idleTimeout = time.Hour
)

type Host struct {
	address      string
	listen       string
	started      time.Time
	receiveQueue *transport.ReceiveQueue
	counters     *transport.Counters
	transport    *transport.Transport
	store        *storage.Store
	onWriteError WriteErrorHandler
	OnAuditEntry func(machine.AuditEntry)
	runners      []*Runner
	stopped      chan struct{}
	stopOnce     sync.Once
	closed       chan struct{}

	mu            sync.Mutex
	lastRequestID uint64
	pending       map[uint64]chan any
}

type Runner struct {
	host    *Host
	machine machine.Machine
	kinds   map[string]bool
	writes  chan machine.Write
	// wakeAt is when the machine wants its next step; only the stepping goroutine uses it.
	timerAt time.Duration
	mu      sync.Mutex
}

// New makes a host without machines; Add brings them in, Run starts them.
func New(address, listen string, s *storage.Store, fatal WriteErrorHandler) *Host {
	h := &Host{
		address: address, listen: listen, started: time.Now(), store: s, onWriteError: fatal, counters: transport.NewCounters(),
		stopped: make(chan struct{}), closed: make(chan struct{}), pending: map[uint64]chan any{},
	}
	h.receiveQueue = transport.NewReceiveQueue(h.Now, h.counters)
	return h
}

// Add brings a machine in. With kinds it takes these lines only; without, all
// that no other takes.
func (h *Host) Add(m machine.Machine, kinds ...string) *Runner {
	s := &Runner{host: h, machine: m, kinds: map[string]bool{}, writes: make(chan machine.Write, maxPendingWrites)}
	for _, kind := range kinds {
		s.kinds[kind] = true
	}
	h.runners = append(h.runners, s)
	return s
}

// Run listens, and steps every machine for the first time before it returns.
func (h *Host) Run() error {
	t, err := transport.Open(h.listen, h.Now, h.receiveQueue, h.counters)
	if err != nil {
		return err
	}
	h.transport = t
	begun := make(chan struct{})
	pool.Go(func() {
		for _, s := range h.runners {
			s.step(machine.Input{})
		}
		close(begun)
		h.eventLoop()
	})
	<-begun
	if h.store != nil {
		for _, s := range h.runners {
			pool.Go(s.writeLoop)
		}
	}
	return nil
}

func (h *Host) Now() time.Duration { return time.Since(h.started) }

// loop steps the machines until the host is closed.
func (h *Host) eventLoop() {
	for !isClosed(h.closed) {
		if message, ok := h.receiveQueue.DequeueCluster(); ok {
			h.deliver(message)
			continue
		}
		item, ok := h.receiveQueue.Dequeue(h.fireTimers())
		switch {
		case !ok:
		case item.Call != nil:
			item.Call()
		default:
			h.deliver(item.Message)
		}
	}
}

// wake steps the machines whose wakeup is due, and says how long there is until the next.
func (h *Host) fireTimers() time.Duration {
	now := h.Now()
	next := now + idleTimeout
	for _, s := range h.runners {
		if s.timerAt > 0 && now >= s.timerAt {
			s.step(machine.Input{})
		}
		if s.timerAt > 0 {
			next = min(next, s.timerAt)
		}
	}
	return next - now
}

func (h *Host) deliver(message machine.Message) {
	var rest *Runner
	for _, s := range h.runners {
		if s.kinds[message.Kind] {
			s.step(machine.Input{Message: message})
			return
		}
		if len(s.kinds) == 0 {
			rest = s
		}
	}
	if rest != nil {
		rest.step(machine.Input{Message: message})
	}
}

// Stopped is closed once a machine has said that it is done.
func (h *Host) Stopped() <-chan struct{} { return h.stopped }

// Close ends the host. It may be called once.
func (h *Host) Close() {
	close(h.closed)
	h.receiveQueue.Close()
	if h.transport != nil {
		h.transport.Close()
	}
	if h.store != nil {
		h.store.Close()
	}
}

// Step gives the machine one input, and returns when what it returned is done.
func (s *Runner) Step(in machine.Input) {
	done := make(chan struct{})
	if !s.host.receiveQueue.EnqueueCall(func() { s.step(in); close(done) }) {
		return
	}
	select {
	case <-done:
	case <-s.host.closed:
	}
}

// step gives the machine one input and does what it returns.
func (s *Runner) step(in machine.Input) {
	s.mu.Lock()
	now := s.host.Now()
	in.WallTime = time.Now()
	out := s.machine.Step(now, in)
	for _, e := range out.LogEvents {
		logging.Info(e.Name, e.Fields...)
	}
	for _, send := range out.Messages {
		s.send(send)
	}
	for _, w := range out.Writes {
		s.writes <- w
	}
	for _, a := range out.AuditEntries {
		if s.host.OnAuditEntry != nil {
			s.host.OnAuditEntry(a)
		}
	}
	if s.timerAt = s.machine.NextTimer(); s.timerAt > 0 {
		s.timerAt = max(s.timerAt, now+minTimerInterval)
	}
	s.mu.Unlock()
	for _, a := range out.Responses {
		s.host.respond(a)
	}
	if out.Stopped {
		s.host.stopOnce.Do(func() { close(s.host.stopped) })
	}
}

// Look runs f while the machine stands still, to read from it.
func (s *Runner) Inspect(f func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	f()
}

func (s *Runner) send(send machine.OutgoingMessage) {
	body, err := send.Encode()
	if err != nil {
		logging.Info("line_unsendable", "kind", send.Kind, "why", err.Error())
		return
	}
	message := machine.Message{Version: machine.ProtocolVersion, Kind: send.Kind, From: s.host.address, CoalescingKey: send.CoalescingKey(), Body: body}
	if send.To == "" || send.To == s.host.address {
		s.host.receiveQueue.Enqueue(message)
		return
	}
	s.host.transport.Send(send.To, message)
}

func (s *Runner) writeLoop() {
	for {
		select {
		case <-s.host.closed:
			return
		case w := <-s.writes:
			if err := s.host.store.Write(w); err != nil {
				s.host.onWriteError(err)
				return
			}
			due := s.host.store.SnapshotDue()
			s.host.receiveQueue.EnqueueCall(func() { s.step(machine.Input{CompletedWrite: w.ID, SnapshotDue: due}) })
		}
	}
}

// Ask hands a request to the machine and waits for its answer.
func (s *Runner) Do(ctx context.Context, request machine.Request) (any, bool) {
	h := s.host
	h.mu.Lock()
	h.lastRequestID++
	request.ID = h.lastRequestID
	response := make(chan any, 1)
	h.pending[request.ID] = response
	h.mu.Unlock()
	defer func() {
		h.mu.Lock()
		delete(h.pending, request.ID)
		h.mu.Unlock()
	}()
	if !h.receiveQueue.EnqueueCall(func() { s.step(machine.Input{Request: request}) }) {
		return nil, false
	}
	select {
	case v := <-response:
		return v, true
	case <-ctx.Done():
		return nil, false
	case <-h.closed:
		return nil, false
	}
}

func (h *Host) respond(a machine.Response) {
	h.mu.Lock()
	wait, ok := h.pending[a.RequestID]
	h.mu.Unlock()
	if !ok {
		return
	}
	select {
	case wait <- a.Body:
	default: // it was answered before
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

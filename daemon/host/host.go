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
	"sorrelloom/daemon/logline"
	"sorrelloom/daemon/pool"
	"sorrelloom/daemon/store"
	"sorrelloom/daemon/transport"
)

// Fatal is told of a write that failed.
type Fatal func(err error)

const (
	// writesMax is how many batches may wait for the disk before a step waits for it.
	writesMax = 64
	// wakeupMin keeps a machine that always wants to be woken from being all that runs.
	wakeupMin = time.Millisecond
	// idleWait is how long the host sleeps when no machine wants to be woken.
	idleWait = time.Hour
)

type Host struct {
	address   string
	listen    string
	started   time.Time
	inbox     *transport.Inbox
	counters  *transport.Counters
	transport *transport.Transport
	store     *store.Store
	fatal     Fatal
	Audit     func(machine.Audit)
	shards    []*Shard
	stopped   chan struct{}
	once      sync.Once
	closed    chan struct{}

	mu      sync.Mutex
	next    uint64
	waiters map[uint64]chan any
}

type Shard struct {
	host    *Host
	machine machine.Machine
	kinds   map[string]bool
	writes  chan machine.Write
	// wakeAt is when the machine wants its next step; only the stepping goroutine uses it.
	wakeAt time.Duration
	mu     sync.Mutex
}

// New makes a host without machines; Add brings them in, Run starts them.
func New(address, listen string, s *store.Store, fatal Fatal) *Host {
	h := &Host{
		address: address, listen: listen, started: time.Now(), store: s, fatal: fatal, counters: transport.NewCounters(),
		stopped: make(chan struct{}), closed: make(chan struct{}), waiters: map[uint64]chan any{},
	}
	h.inbox = transport.NewInbox(h.Now, h.counters)
	return h
}

// Add brings a machine in. With kinds it takes these lines only; without, all
// that no other takes.
func (h *Host) Add(m machine.Machine, kinds ...string) *Shard {
	s := &Shard{host: h, machine: m, kinds: map[string]bool{}, writes: make(chan machine.Write, writesMax)}
	for _, kind := range kinds {
		s.kinds[kind] = true
	}
	h.shards = append(h.shards, s)
	return s
}

// Run listens, and steps every machine for the first time before it returns.
func (h *Host) Run() error {
	t, err := transport.Open(h.listen, h.Now, h.inbox, h.counters)
	if err != nil {
		return err
	}
	h.transport = t
	begun := make(chan struct{})
	pool.Go(func() {
		for _, s := range h.shards {
			s.step(machine.Input{})
		}
		close(begun)
		h.loop()
	})
	<-begun
	if h.store != nil {
		for _, s := range h.shards {
			pool.Go(s.writeAll)
		}
	}
	return nil
}

func (h *Host) Now() time.Duration { return time.Since(h.started) }

// loop steps the machines until the host is closed.
func (h *Host) loop() {
	for !isClosed(h.closed) {
		if line, ok := h.inbox.TakeMember(); ok {
			h.deliver(line)
			continue
		}
		item, ok := h.inbox.Take(h.wake())
		switch {
		case !ok:
		case item.Call != nil:
			item.Call()
		default:
			h.deliver(item.Line)
		}
	}
}

// wake steps the machines whose wakeup is due, and says how long there is until the next.
func (h *Host) wake() time.Duration {
	now := h.Now()
	next := now + idleWait
	for _, s := range h.shards {
		if s.wakeAt > 0 && now >= s.wakeAt {
			s.step(machine.Input{})
		}
		if s.wakeAt > 0 {
			next = min(next, s.wakeAt)
		}
	}
	return next - now
}

func (h *Host) deliver(line machine.Line) {
	var rest *Shard
	for _, s := range h.shards {
		if s.kinds[line.Kind] {
			s.step(machine.Input{Line: line})
			return
		}
		if len(s.kinds) == 0 {
			rest = s
		}
	}
	if rest != nil {
		rest.step(machine.Input{Line: line})
	}
}

// Stopped is closed once a machine has said that it is done.
func (h *Host) Stopped() <-chan struct{} { return h.stopped }

// Close ends the host. It may be called once.
func (h *Host) Close() {
	close(h.closed)
	h.inbox.Close()
	if h.transport != nil {
		h.transport.Close()
	}
	if h.store != nil {
		h.store.Close()
	}
}

// Step gives the machine one input, and returns when what it returned is done.
func (s *Shard) Step(in machine.Input) {
	done := make(chan struct{})
	if !s.host.inbox.Call(func() { s.step(in); close(done) }) {
		return
	}
	select {
	case <-done:
	case <-s.host.closed:
	}
}

// step gives the machine one input and does what it returns.
func (s *Shard) step(in machine.Input) {
	s.mu.Lock()
	now := s.host.Now()
	in.Wall = time.Now()
	out := s.machine.Step(now, in)
	for _, e := range out.Events {
		logline.Event(e.Name, e.Fields...)
	}
	for _, send := range out.Sends {
		s.send(send)
	}
	for _, w := range out.Writes {
		s.writes <- w
	}
	for _, a := range out.Audits {
		if s.host.Audit != nil {
			s.host.Audit(a)
		}
	}
	if s.wakeAt = s.machine.Wakeup(); s.wakeAt > 0 {
		s.wakeAt = max(s.wakeAt, now+wakeupMin)
	}
	s.mu.Unlock()
	for _, a := range out.Answers {
		s.host.answer(a)
	}
	if out.Stopped {
		s.host.once.Do(func() { close(s.host.stopped) })
	}
}

// Look runs f while the machine stands still, to read from it.
func (s *Shard) Look(f func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	f()
}

func (s *Shard) send(send machine.Send) {
	body, err := send.Encode()
	if err != nil {
		logline.Event("line_unsendable", "kind", send.Kind, "why", err.Error())
		return
	}
	line := machine.Line{Wire: machine.WireSequence, Kind: send.Kind, From: s.host.address, Key: send.Key(), Body: body}
	if send.To == "" || send.To == s.host.address {
		s.host.inbox.Put(line)
		return
	}
	s.host.transport.Send(send.To, line)
}

func (s *Shard) writeAll() {
	for {
		select {
		case <-s.host.closed:
			return
		case w := <-s.writes:
			if err := s.host.store.Write(w); err != nil {
				s.host.fatal(err)
				return
			}
			due := s.host.store.SnapshotDue()
			s.host.inbox.Call(func() { s.step(machine.Input{Wrote: w.Done, SnapshotDue: due}) })
		}
	}
}

// Ask hands a request to the machine and waits for its answer.
func (s *Shard) Ask(ctx context.Context, ask machine.Ask) (any, bool) {
	h := s.host
	h.mu.Lock()
	h.next++
	ask.Key = h.next
	wait := make(chan any, 1)
	h.waiters[ask.Key] = wait
	h.mu.Unlock()
	defer func() {
		h.mu.Lock()
		delete(h.waiters, ask.Key)
		h.mu.Unlock()
	}()
	if !h.inbox.Call(func() { s.step(machine.Input{Ask: ask}) }) {
		return nil, false
	}
	select {
	case v := <-wait:
		return v, true
	case <-ctx.Done():
		return nil, false
	case <-h.closed:
		return nil, false
	}
}

func (h *Host) answer(a machine.Answer) {
	h.mu.Lock()
	wait, ok := h.waiters[a.Key]
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

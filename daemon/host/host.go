// Package host drives state machines: it puts sockets, files and wakeups round
// them and does what they return. Each machine is a shard under its own lock;
// lines, finished writes, requests and wakeups step it from whichever goroutine
// they come on. Time is monotonic, counted from the start of the process.
package host

import (
	"context"
	"sync"
	"time"

	"sorrelloom/core/machine"
	"sorrelloom/daemon/circuit"
	"sorrelloom/daemon/logline"
	"sorrelloom/daemon/pool"
	"sorrelloom/daemon/store"
)

// Fatal is told of a write that failed.
type Fatal func(err error)

type Host struct {
	address  string
	listen   string
	started  time.Time
	circuits *circuit.Circuits
	loop     chan machine.Line
	store    *store.Store
	fatal    Fatal
	Audit    func(machine.Audit)
	shards   []*Shard
	stopped  chan struct{}
	once     sync.Once

	mu      sync.Mutex
	next    uint64
	waiters map[uint64]chan any
}

type Shard struct {
	host    *Host
	machine machine.Machine
	kinds   map[string]bool
	writes  chan machine.Write
	mu      sync.Mutex
	wakeup  *time.Timer
}

// New makes a host without machines; Add brings them in, Run starts them.
func New(address, listen string, s *store.Store, fatal Fatal) *Host {
	return &Host{address: address, listen: listen, started: time.Now(), store: s, fatal: fatal, loop: make(chan machine.Line, 1024), stopped: make(chan struct{}), waiters: map[uint64]chan any{}}
}

// Add brings a machine in. With kinds it takes these lines only; without, all
// that no other takes.
func (h *Host) Add(m machine.Machine, kinds ...string) *Shard {
	s := &Shard{host: h, machine: m, kinds: map[string]bool{}, writes: make(chan machine.Write, 64)}
	for _, kind := range kinds {
		s.kinds[kind] = true
	}
	h.shards = append(h.shards, s)
	return s
}

// Run opens the circuits and steps every machine for the first time.
func (h *Host) Run() error {
	for _, s := range h.shards {
		s.mu.Lock()
		s.wakeup = time.AfterFunc(time.Hour, func() { pool.Go(func() { s.Step(machine.Input{}) }) })
	}
	c, err := circuit.Open(h.listen, h.deliver)
	h.circuits = c
	for _, s := range h.shards {
		s.mu.Unlock()
	}
	if err != nil {
		return err
	}
	pool.Go(func() {
		for line := range h.loop {
			h.deliver(line)
		}
	})
	for _, s := range h.shards {
		if h.store != nil {
			pool.Go(s.writeAll)
		}
		s.Step(machine.Input{})
	}
	return nil
}

func (h *Host) Now() time.Duration { return time.Since(h.started) }

func (h *Host) deliver(line machine.Line) {
	var rest *Shard
	for _, s := range h.shards {
		if s.kinds[line.Kind] {
			s.Step(machine.Input{Line: line})
			return
		}
		if len(s.kinds) == 0 {
			rest = s
		}
	}
	if rest != nil {
		rest.Step(machine.Input{Line: line})
	}
}

// Stopped is closed once a machine has said that it is done.
func (h *Host) Stopped() <-chan struct{} { return h.stopped }

func (h *Host) Close() {
	if h.circuits != nil {
		h.circuits.Close()
	}
	if h.store != nil {
		h.store.Close()
	}
}

// Step gives the machine one input and does what it returns.
func (s *Shard) Step(in machine.Input) {
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
	if at := s.machine.Wakeup(); at > 0 && s.wakeup != nil {
		s.wakeup.Reset(max(at-now, time.Millisecond))
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
	line := machine.Line{Wire: machine.WireSequence, Kind: send.Kind, From: s.host.address, Body: body}
	if send.To == "" || send.To == s.host.address {
		select {
		case s.host.loop <- line:
		default:
			logline.Event("line_dropped", "to", "self", "kind", send.Kind)
		}
		return
	}
	s.host.circuits.Send(send.To, line)
}

func (s *Shard) writeAll() {
	for w := range s.writes {
		if err := s.host.store.Write(w); err != nil {
			s.host.fatal(err)
			return
		}
		s.Step(machine.Input{Wrote: w.Done, SnapshotDue: s.host.store.SnapshotDue()})
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
	s.Step(machine.Input{Ask: ask})
	select {
	case v := <-wait:
		return v, true
	case <-ctx.Done():
		return nil, false
	}
}

func (h *Host) answer(a machine.Answer) {
	h.mu.Lock()
	wait, ok := h.waiters[a.Key]
	h.mu.Unlock()
	if ok {
		wait <- a.Body
	}
}

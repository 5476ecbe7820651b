package transport

import (
	"sync"
	"time"

	"sorrelloom/core/machine"
)

const (
	memberFramesMax  = 8192
	memberBytesMax   = 512 << 20
	requestFramesMax = 8192
	requestBytesMax  = 64 << 20
)

// Item is one thing to be done: a received line, or a call of the process itself.
type Item struct {
	Line machine.Line
	Call func()
}

// Inbox holds what waits for the one goroutine that steps the machines. It gives
// out frames of members first, then answers and calls, then requests; those that
// have waited too long are dropped before anybody decodes them.
type Inbox struct {
	now      func() time.Duration
	counters *Counters
	ready    chan struct{}
	timer    *time.Timer

	mu       sync.Mutex
	closed   bool
	members  bounded
	local    fifo[Item]
	requests bounded
	// newest are the waiting requests that a later one of the same key replaces.
	newest map[replaceKey]*received
}

type received struct {
	line machine.Line
	at   time.Duration
}

type replaceKey struct{ kind, from, key string }

// bounded is a queue of received frames that knows their bytes.
type bounded struct {
	fifo[*received]
	bytes int
}

func (b *bounded) add(frame *received) {
	b.push(frame)
	b.bytes += len(frame.line.Body)
}

func (b *bounded) take() *received {
	frame := b.pop()
	b.bytes -= len(frame.line.Body)
	return frame
}

func (b *bounded) full(more, framesMax, bytesMax int) bool {
	return b.len() > 0 && (b.len() >= framesMax || b.bytes+more > bytesMax)
}

// NewInbox gives an empty inbox; now is a monotonic clock.
func NewInbox(now func() time.Duration, counters *Counters) *Inbox {
	timer := time.NewTimer(time.Hour)
	timer.Stop()
	return &Inbox{
		now: now, counters: counters, ready: make(chan struct{}, 1), timer: timer,
		newest: map[replaceKey]*received{},
	}
}

// Close makes Call refuse, and ends a wait.
func (b *Inbox) Close() {
	b.mu.Lock()
	b.closed = true
	b.mu.Unlock()
	notify(b.ready)
}

// Put adds a received line. It never blocks: a full queue drops its oldest frame.
func (b *Inbox) Put(line machine.Line) {
	b.counters.received(line.Kind, len(line.Body))
	frame := &received{line, b.now()}
	b.mu.Lock()
	switch TrafficOf(line.Kind).Urgency {
	case Member:
		for b.members.full(len(line.Body), memberFramesMax, memberBytesMax) {
			b.drop(b.members.take(), Overflow)
		}
		b.members.add(frame)
	case Answer:
		b.local.push(Item{Line: line})
	default:
		b.putRequest(frame)
	}
	b.mu.Unlock()
	notify(b.ready)
}

func (b *Inbox) putRequest(frame *received) {
	key := replaceKey{frame.line.Kind, frame.line.From, frame.line.Key}
	if waiting, ok := b.newest[key]; ok {
		// The newer report takes the older one's place in the queue.
		b.drop(waiting, Replaced)
		b.requests.bytes += len(frame.line.Body) - len(waiting.line.Body)
		*waiting = *frame
		return
	}
	for b.requests.full(len(frame.line.Body), requestFramesMax, requestBytesMax) {
		b.drop(b.takeRequest(), Overflow)
	}
	b.requests.add(frame)
	if key.key != "" {
		b.newest[key] = frame
	}
}

func (b *Inbox) takeRequest() *received {
	frame := b.requests.take()
	if frame.line.Key != "" {
		delete(b.newest, replaceKey{frame.line.Kind, frame.line.From, frame.line.Key})
	}
	return frame
}

func (b *Inbox) drop(frame *received, why Reason) {
	b.counters.dropped(Drop{Kind: frame.line.Kind, Reason: why})
}

// Call has a function called between two steps, and says whether it will be.
func (b *Inbox) Call(call func()) bool {
	b.mu.Lock()
	closed := b.closed
	if !closed {
		b.local.push(Item{Call: call})
	}
	b.mu.Unlock()
	notify(b.ready)
	return !closed
}

// TakeMember gives the next frame of a member, if one waits.
func (b *Inbox) TakeMember() (machine.Line, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.takeMember()
}

func (b *Inbox) takeMember() (machine.Line, bool) {
	if b.members.len() == 0 {
		return machine.Line{}, false
	}
	frame := b.members.take()
	b.counters.waited(b.now() - frame.at)
	return frame.line, true
}

// Take gives the most urgent item, and waits for one if there is none.
func (b *Inbox) Take(wait time.Duration) (Item, bool) {
	if item, ok := b.next(); ok || wait <= 0 {
		return item, ok
	}
	b.timer.Reset(wait)
	select {
	case <-b.ready:
		b.timer.Stop()
	case <-b.timer.C:
	}
	return b.next()
}

func (b *Inbox) next() (Item, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if line, ok := b.takeMember(); ok {
		return Item{Line: line}, true
	}
	if b.local.len() > 0 {
		return b.local.pop(), true
	}
	if b.requests.len() == 0 {
		return Item{}, false
	}
	now := b.now()
	for b.requests.len() > 0 {
		frame := b.takeRequest()
		b.counters.waited(now - frame.at)
		if limit := TrafficOf(frame.line.Kind).MaxWait; limit > 0 && now-frame.at > limit {
			b.drop(frame, Expired)
			continue
		}
		return Item{Line: frame.line}, true
	}
	return Item{}, false
}

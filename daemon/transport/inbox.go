package transport

import (
	"sync"
	"time"

	"sorrelloom/core/machine"
)

const (
	maxClusterFrames = 8192
	maxClusterBytes  = 512 << 20
	maxRequestFrames = 8192
	maxRequestBytes  = 64 << 20
)

// Item is one thing to be done: a received line, or a call of the process itself.
type QueueItem struct {
	Message machine.Message
	Call    func()
}

// Inbox holds what waits for the one goroutine that steps the machines. It gives
// out frames of members first, then answers and calls, then requests; those that
// have waited too long are dropped before anybody decodes them.
type ReceiveQueue struct {
	now      func() time.Duration
	counters *Counters
	ready    chan struct{}
	timer    *time.Timer

	mu       sync.Mutex
	closed   bool
	cluster  boundedQueue
	local    fifo[QueueItem]
	requests boundedQueue
	// newest are the waiting requests that a later one of the same key replaces.
	latestByKey map[coalescingKey]*receivedMessage
}

type receivedMessage struct {
	message    machine.Message
	receivedAt time.Duration
}

type coalescingKey struct{ kind, from, key string }

// bounded is a queue of received frames that knows their bytes.
type boundedQueue struct {
	fifo[*receivedMessage]
	bytes int
}

func (b *boundedQueue) enqueue(frame *receivedMessage) {
	b.push(frame)
	b.bytes += len(frame.message.Body)
}

func (b *boundedQueue) dequeue() *receivedMessage {
	frame := b.pop()
	b.bytes -= len(frame.message.Body)
	return frame
}

func (b *boundedQueue) isFull(additionalBytes, maxFrames, maxBytes int) bool {
	return b.len() > 0 && (b.len() >= maxFrames || b.bytes+additionalBytes > maxBytes)
}

// NewInbox gives an empty inbox; now is a monotonic clock.
func NewReceiveQueue(now func() time.Duration, counters *Counters) *ReceiveQueue {
	timer := time.NewTimer(time.Hour)
	timer.Stop()
	return &ReceiveQueue{
		now: now, counters: counters, ready: make(chan struct{}, 1), timer: timer,
		latestByKey: map[coalescingKey]*receivedMessage{},
	}
}

// Close makes Call refuse, and ends a wait.
func (b *ReceiveQueue) Close() {
	b.mu.Lock()
	b.closed = true
	b.mu.Unlock()
	signal(b.ready)
}

// Put adds a received line. It never blocks: a full queue drops its oldest frame.
func (b *ReceiveQueue) Enqueue(message machine.Message) {
	b.counters.received(message.Kind, len(message.Body))
	frame := &receivedMessage{message, b.now()}
	b.mu.Lock()
	switch ClassOf(message.Kind).Priority {
	case PriorityCluster:
		for b.cluster.isFull(len(message.Body), maxClusterFrames, maxClusterBytes) {
			b.drop(b.cluster.dequeue(), DropOverflow)
		}
		b.cluster.enqueue(frame)
	case PriorityReply:
		b.local.push(QueueItem{Message: message})
	default:
		b.enqueueRequestLocked(frame)
	}
	b.mu.Unlock()
	signal(b.ready)
}

func (b *ReceiveQueue) enqueueRequestLocked(frame *receivedMessage) {
	key := coalescingKey{frame.message.Kind, frame.message.From, frame.message.CoalescingKey}
	if waiting, ok := b.latestByKey[key]; ok {
		// The newer report takes the older one's place in the queue.
		b.drop(waiting, DropReplaced)
		b.requests.bytes += len(frame.message.Body) - len(waiting.message.Body)
		*waiting = *frame
		return
	}
	for b.requests.isFull(len(frame.message.Body), maxRequestFrames, maxRequestBytes) {
		b.drop(b.dequeueRequestLocked(), DropOverflow)
	}
	b.requests.enqueue(frame)
	if key.key != "" {
		b.latestByKey[key] = frame
	}
}

func (b *ReceiveQueue) dequeueRequestLocked() *receivedMessage {
	frame := b.requests.dequeue()
	if frame.message.CoalescingKey != "" {
		delete(b.latestByKey, coalescingKey{frame.message.Kind, frame.message.From, frame.message.CoalescingKey})
	}
	return frame
}

func (b *ReceiveQueue) drop(frame *receivedMessage, why DropReason) {
	b.counters.dropped(DropKey{Kind: frame.message.Kind, Reason: why})
}

// Call has a function called between two steps, and says whether it will be.
func (b *ReceiveQueue) EnqueueCall(call func()) bool {
	b.mu.Lock()
	closed := b.closed
	if !closed {
		b.local.push(QueueItem{Call: call})
	}
	b.mu.Unlock()
	signal(b.ready)
	return !closed
}

// TakeMember gives the next frame of a member, if one waits.
func (b *ReceiveQueue) DequeueCluster() (machine.Message, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.dequeueClusterLocked()
}

func (b *ReceiveQueue) dequeueClusterLocked() (machine.Message, bool) {
	if b.cluster.len() == 0 {
		return machine.Message{}, false
	}
	frame := b.cluster.dequeue()
	b.counters.waited(b.now() - frame.receivedAt)
	return frame.message, true
}

// Take gives the most urgent item, and waits for one if there is none.
func (b *ReceiveQueue) Dequeue(wait time.Duration) (QueueItem, bool) {
	if item, ok := b.tryDequeue(); ok || wait <= 0 {
		return item, ok
	}
	b.timer.Reset(wait)
	select {
	case <-b.ready:
		b.timer.Stop()
	case <-b.timer.C:
	}
	return b.tryDequeue()
}

func (b *ReceiveQueue) tryDequeue() (QueueItem, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if message, ok := b.dequeueClusterLocked(); ok {
		return QueueItem{Message: message}, true
	}
	if b.local.len() > 0 {
		return b.local.pop(), true
	}
	if b.requests.len() == 0 {
		return QueueItem{}, false
	}
	now := b.now()
	for b.requests.len() > 0 {
		frame := b.dequeueRequestLocked()
		b.counters.waited(now - frame.receivedAt)
		if limit := ClassOf(frame.message.Kind).MaxReceiveWait; limit > 0 && now-frame.receivedAt > limit {
			b.drop(frame, DropExpired)
			continue
		}
		return QueueItem{Message: frame.message}, true
	}
	return QueueItem{}, false
}

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
	// maxReportsInRow is how many reports are given out while a request of a lower priority
	// waits: it is at least told then that too much waits.
	maxReportsInRow = 3
)

// QueueItem is one thing to be done by the goroutine that steps the state machines: a
// received message, or a call if it is set.
type QueueItem struct {
	Message machine.Message
	// Waited is how long a request waited here.
	Waited time.Duration
	Call   func()
}

// ReceiveQueue holds what waits for the goroutine that steps the state machines. It gives
// out completed writes and the messages of other cluster members first, in turn, as each may
// bring the next of its own kind about. Then come replies and calls, then requests by their
// priority. Requests that have waited too long are dropped before their bodies are decoded.
type ReceiveQueue struct {
	now      func() time.Duration
	counters *Counters
	// nonEmpty is signalled by each new item, and by Close.
	nonEmpty chan struct{}
	// timer ends the wait of Dequeue, which only one goroutine calls.
	timer *time.Timer

	mu          sync.Mutex
	closed      bool
	completions fifo[QueueItem]
	cluster     boundedQueue
	// clusterIsNext says that a completed write was given out last.
	clusterIsNext bool
	local         fifo[QueueItem]
	// requests are those that wait, by their priority.
	requests [priorityCount]boundedQueue
	// reportsInRow counts the reports given out since the last request of a lower priority.
	reportsInRow int
	// latestByKey are the waiting requests that a later one with the same key replaces.
	latestByKey map[coalescingKey]*receivedMessage
}

type receivedMessage struct {
	message    machine.Message
	receivedAt time.Duration
}

type coalescingKey struct{ kind, from, key string }

// boundedQueue is a queue of received messages that counts their bytes.
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

// isFull reports whether the oldest message has to go before another one fits. A message
// larger than the bound may wait alone.
func (b *boundedQueue) isFull(additionalBytes, maxFrames, maxBytes int) bool {
	return b.len() > 0 && (b.len() >= maxFrames || b.bytes+additionalBytes > maxBytes)
}

// NewReceiveQueue returns an empty queue; now is a monotonic clock.
func NewReceiveQueue(now func() time.Duration, counters *Counters) *ReceiveQueue {
	timer := time.NewTimer(time.Hour)
	timer.Stop()
	return &ReceiveQueue{
		now: now, counters: counters, nonEmpty: make(chan struct{}, 1), timer: timer,
		latestByKey: map[coalescingKey]*receivedMessage{},
	}
}

// Close makes EnqueueCall refuse calls, and ends a wait.
func (q *ReceiveQueue) Close() {
	q.mu.Lock()
	q.closed = true
	q.mu.Unlock()
	signal(q.nonEmpty)
}

// Enqueue adds a received message. It never blocks: a full queue drops its oldest frame.
func (q *ReceiveQueue) Enqueue(message machine.Message) {
	q.counters.received(message.Kind, len(message.Body))
	frame := &receivedMessage{message, q.now()}
	q.mu.Lock()
	switch priority := ClassOfMessage(message).Priority; priority {
	case PriorityCluster:
		for q.cluster.isFull(len(message.Body), maxClusterFrames, maxClusterBytes) {
			q.drop(q.cluster.dequeue(), DropOverflow)
		}
		q.cluster.enqueue(frame)
	case PriorityReply:
		q.local.push(QueueItem{Message: message})
	default:
		q.enqueueRequestLocked(&q.requests[priority], frame)
	}
	q.mu.Unlock()
	signal(q.nonEmpty)
}

// enqueueRequestLocked adds a request, or replaces a waiting one with the same key.
func (q *ReceiveQueue) enqueueRequestLocked(queue *boundedQueue, frame *receivedMessage) {
	key := coalescingKey{frame.message.Kind, frame.message.From, frame.message.CoalescingKey}
	if waiting, ok := q.latestByKey[key]; ok {
		// The newer message takes the older one's place in the queue.
		q.drop(waiting, DropReplaced)
		queue.bytes += len(frame.message.Body) - len(waiting.message.Body)
		*waiting = *frame
		return
	}
	for queue.isFull(len(frame.message.Body), maxRequestFrames, maxRequestBytes) {
		q.drop(q.dequeueRequestLocked(queue), DropOverflow)
	}
	queue.enqueue(frame)
	if key.key != "" {
		q.latestByKey[key] = frame
	}
}

func (q *ReceiveQueue) dequeueRequestLocked(queue *boundedQueue) *receivedMessage {
	frame := queue.dequeue()
	if frame.message.CoalescingKey != "" {
		delete(q.latestByKey, coalescingKey{frame.message.Kind, frame.message.From, frame.message.CoalescingKey})
	}
	return frame
}

// Len returns how many messages and calls wait.
func (q *ReceiveQueue) Len() int {
	q.mu.Lock()
	defer q.mu.Unlock()
	count := q.completions.len() + q.cluster.len() + q.local.len()
	for priority := range q.requests {
		count += q.requests[priority].len()
	}
	return count
}

func (q *ReceiveQueue) drop(frame *receivedMessage, reason DropReason) {
	q.counters.dropped(DropKey{Kind: frame.message.Kind, Reason: reason})
}

// EnqueueCall adds a call, and reports whether it will be given out.
func (q *ReceiveQueue) EnqueueCall(call func()) bool { return q.enqueueCall(&q.local, call) }

// EnqueueCompletion adds the call that handles a completed write.
func (q *ReceiveQueue) EnqueueCompletion(call func()) { q.enqueueCall(&q.completions, call) }

func (q *ReceiveQueue) enqueueCall(queue *fifo[QueueItem], call func()) bool {
	q.mu.Lock()
	closed := q.closed
	if !closed {
		queue.push(QueueItem{Call: call})
	}
	q.mu.Unlock()
	signal(q.nonEmpty)
	return !closed
}

// DequeueBeforeTimers returns what must be handled before a timer may expire, if any of it
// waits: the next completed write, or the next message of another cluster member.
func (q *ReceiveQueue) DequeueBeforeTimers() (QueueItem, bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.dequeueBeforeTimersLocked()
}

func (q *ReceiveQueue) dequeueBeforeTimersLocked() (QueueItem, bool) {
	if q.completions.len() > 0 && !(q.clusterIsNext && q.cluster.len() > 0) {
		q.clusterIsNext = true
		return q.completions.pop(), true
	}
	q.clusterIsNext = false
	if message, ok := q.dequeueClusterLocked(); ok {
		return QueueItem{Message: message}, true
	}
	return QueueItem{}, false
}

func (q *ReceiveQueue) dequeueClusterLocked() (machine.Message, bool) {
	if q.cluster.len() == 0 {
		return machine.Message{}, false
	}
	frame := q.cluster.dequeue()
	q.counters.waited(frame.message.Kind, q.now()-frame.receivedAt)
	return frame.message, true
}

// Dequeue returns the item of the highest priority, and waits for one if there is none.
func (q *ReceiveQueue) Dequeue(wait time.Duration) (QueueItem, bool) {
	if item, ok := q.tryDequeue(); ok || wait <= 0 {
		return item, ok
	}
	q.timer.Reset(wait)
	select {
	case <-q.nonEmpty:
		q.timer.Stop()
	case <-q.timer.C:
	}
	return q.tryDequeue()
}

func (q *ReceiveQueue) tryDequeue() (QueueItem, bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if item, ok := q.dequeueBeforeTimersLocked(); ok {
		return item, true
	}
	if q.local.len() > 0 {
		return q.local.pop(), true
	}
	for priority := range PriorityReport {
		if item, ok := q.dequeueFreshLocked(&q.requests[priority]); ok {
			return item, true
		}
	}
	return q.dequeueReportOrRequestLocked()
}

// dequeueReportOrRequestLocked returns the next report or request: a report first, but a
// request after maxReportsInRow of them.
func (q *ReceiveQueue) dequeueReportOrRequestLocked() (QueueItem, bool) {
	if q.reportsInRow < maxReportsInRow {
		if item, ok := q.dequeueFreshLocked(&q.requests[PriorityReport]); ok {
			q.reportsInRow++
			return item, true
		}
	}
	q.reportsInRow = 0
	if item, ok := q.dequeueFreshLocked(&q.requests[PriorityRequest]); ok {
		return item, true
	}
	return q.dequeueFreshLocked(&q.requests[PriorityReport])
}

// dequeueFreshLocked returns the oldest message of a queue that has not expired, and drops
// the expired ones before it.
func (q *ReceiveQueue) dequeueFreshLocked(queue *boundedQueue) (QueueItem, bool) {
	if queue.len() == 0 {
		return QueueItem{}, false
	}
	now := q.now()
	for queue.len() > 0 {
		frame := q.dequeueRequestLocked(queue)
		waited := now - frame.receivedAt
		q.counters.waited(frame.message.Kind, waited)
		if limit := ClassOfMessage(frame.message).MaxReceiveWait; limit == 0 || waited <= limit {
			return QueueItem{Message: frame.message, Waited: waited}, true
		}
		q.drop(frame, DropExpired)
	}
	return QueueItem{}, false
}

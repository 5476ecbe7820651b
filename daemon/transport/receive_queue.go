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
	// maxReportsInRow is the number of reports after which a waiting PriorityRequest message
	// is processed. Even under overload, the sender is thus at least told that too much is
	// pending.
	maxReportsInRow = 3
)

// QueueItem is an item of work for the goroutine that steps the state machines: a call, if
// Call is set, or else a received message.
type QueueItem struct {
	Message machine.Message
	// Waited is the time that a request spent in the queue.
	Waited time.Duration
	Call   func()
}

// ReceiveQueue holds the pending work of the goroutine that steps the state machines.
// Completed writes and messages of other cluster members come first. They alternate, since
// handling either kind may produce more of the same kind. Replies and calls come next, and
// then requests in the order of their priority. Requests that have waited too long are
// dropped before their bodies are decoded.
type ReceiveQueue struct {
	now      func() time.Duration
	counters *Counters
	// nonEmpty is signalled for each new item, and by Close.
	nonEmpty chan struct{}
	// timer limits the wait of Dequeue, which only one goroutine calls.
	timer *time.Timer

	mu          sync.Mutex
	closed      bool
	completions fifo[QueueItem]
	cluster     boundedQueue
	// clusterIsNext is set if the last item of these two queues was a completed write.
	clusterIsNext bool
	local         fifo[QueueItem]
	// requests are the pending requests by priority.
	requests [priorityCount]boundedQueue
	// reportsInRow counts the reports dequeued since the last PriorityRequest message.
	reportsInRow int
	// latestByKey holds the pending requests with a coalescing key. A later request with the
	// same key replaces them.
	latestByKey map[coalescingKey]*receivedMessage
}

type receivedMessage struct {
	message    machine.Message
	receivedAt time.Duration
}

type coalescingKey struct{ kind, from, key string }

// boundedQueue is a queue of received messages that tracks the total size of their bodies.
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

// isFull reports whether the oldest message must be dropped to make room for another one. A
// message larger than maxBytes fits into an empty queue.
func (b *boundedQueue) isFull(additionalBytes, maxFrames, maxBytes int) bool {
	return b.len() > 0 && (b.len() >= maxFrames || b.bytes+additionalBytes > maxBytes)
}

// NewReceiveQueue returns an empty queue. now must be a monotonic clock.
func NewReceiveQueue(now func() time.Duration, counters *Counters) *ReceiveQueue {
	timer := time.NewTimer(time.Hour)
	timer.Stop()
	return &ReceiveQueue{
		now: now, counters: counters, nonEmpty: make(chan struct{}, 1), timer: timer,
		latestByKey: map[coalescingKey]*receivedMessage{},
	}
}

// Close makes EnqueueCall reject calls, and ends the wait of Dequeue.
func (q *ReceiveQueue) Close() {
	q.mu.Lock()
	q.closed = true
	q.mu.Unlock()
	signal(q.nonEmpty)
}

// Enqueue adds a received message. It never blocks: a full queue drops its oldest message.
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

// enqueueRequestLocked adds a request, or replaces a pending one with the same key.
func (q *ReceiveQueue) enqueueRequestLocked(queue *boundedQueue, frame *receivedMessage) {
	key := coalescingKey{frame.message.Kind, frame.message.From, frame.message.CoalescingKey}
	if waiting, ok := q.latestByKey[key]; ok {
		// The newer message takes the place of the older one in the queue.
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

// Len returns the number of pending messages and calls.
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

// EnqueueCall adds a call. It reports false if the queue is closed.
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

// DequeueBeforeTimers returns the next completed write or message of another cluster member,
// if there is any. These must be handled before expired timers.
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

// Dequeue returns the item with the highest priority. If the queue is empty, it waits for an
// item for at most the given time.
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

// dequeueReportOrRequestLocked returns the next report or PriorityRequest message. Reports
// come first, but after maxReportsInRow of them one request is processed.
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

// dequeueFreshLocked returns the oldest message that has not expired, and drops the expired
// ones before it.
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

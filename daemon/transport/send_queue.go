package transport

import (
	"sync"
	"time"

	"sorrelloom/core/machine"
)

// maxQueuedBytes bounds the frames queued for one connection. A larger frame fits into an
// empty queue.
const maxQueuedBytes = 16 << 20

// outgoingFrame is a frame to be sent. The frames of one broadcast share their body.
type outgoingFrame struct {
	kind     string
	header   []byte
	body     []byte
	queuedAt time.Duration
}

func (f outgoingFrame) size() int { return len(f.header) + len(f.body) }

// sendQueue holds the frames that wait to be sent on one connection. A full queue drops its
// oldest frames, so that push never blocks.
type sendQueue struct {
	now      func() time.Duration
	counters *Counters
	// nonEmpty is signalled by each push.
	nonEmpty chan struct{}

	mu     sync.Mutex
	frames fifo[outgoingFrame]
	bytes  int
}

func newSendQueue(now func() time.Duration, counters *Counters) *sendQueue {
	return &sendQueue{now: now, counters: counters, nonEmpty: make(chan struct{}, 1)}
}

func (q *sendQueue) push(message machine.Message, header []byte) {
	frame := outgoingFrame{message.Kind, header, message.Body, q.now()}
	q.mu.Lock()
	for q.frames.len() > 0 && q.bytes+frame.size() > maxQueuedBytes {
		q.drop(q.popLocked(), DropOverflow)
	}
	q.frames.push(frame)
	q.bytes += frame.size()
	q.mu.Unlock()
	signal(q.nonEmpty)
}

func (q *sendQueue) popLocked() outgoingFrame {
	frame := q.frames.pop()
	q.bytes -= frame.size()
	return frame
}

func (q *sendQueue) empty() bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.frames.len() == 0
}

// nextBatch removes and returns the frames of the next write, and drops those that have
// expired. A batch is bounded, so that the frames queued behind it can still expire.
func (q *sendQueue) nextBatch() []outgoingFrame {
	now := q.now()
	q.mu.Lock()
	defer q.mu.Unlock()
	var batch []outgoingFrame
	for bytes := 0; q.frames.len() > 0 && (bytes == 0 || bytes+q.frames.first().size() <= maxBatchBytes); {
		frame := q.popLocked()
		waited := now - frame.queuedAt
		q.counters.waitedToBeSent(waited)
		if waited > ClassOfKind(frame.kind).MaxSendWait {
			q.drop(frame, DropExpired)
			continue
		}
		batch = append(batch, frame)
		bytes += frame.size()
	}
	return batch
}

func (q *sendQueue) drop(frame outgoingFrame, reason DropReason) {
	q.counters.dropped(DropKey{Kind: frame.kind, Outgoing: true, Reason: reason})
}

package sim

import (
	"slices"
	"time"

	"sorrelloom/core/machine"
)

// QueuePolicy determines how messages wait for a busy processor, and in which order they are
// processed. The zero value means first in, first out, as in daemon/host.
type QueuePolicy struct {
	// Rank returns the priority of a kind of message; smaller ranks go first. Messages of
	// the same rank stay in order.
	Rank func(kind string) int
	// MaxAge returns how long a message of a kind may wait; an older one is dropped before it
	// is decoded. 0 means no limit.
	MaxAge func(kind string) time.Duration
	// ReadsAhead makes connections be read even while the processor is busy, so that messages
	// wait in its queue. Otherwise only one message of each connection waits there, and
	// the connection blocks its writer.
	ReadsAhead bool
	// CoalescingKey returns the key under which a message replaces a waiting one of the same
	// kind and sender. A message with an empty key replaces none.
	CoalescingKey func(message machine.Message) string
}

// workItem is a unit of work for a process: a message, a timer, or another function. kind
// and from are those of the message, empty for other work.
type workItem struct {
	kind          string
	from          string
	coalescingKey string // see QueuePolicy.CoalescingKey
	enqueuedAt    time.Duration
	run           func()
	done          func() // called when the item no longer blocks its connection; may be nil
}

// processor executes the work items of a process one at a time. The step of an item is run
// when the item is taken from the queue. Its output (messages, writes, responses) is applied
// once the processor has spent the time that the step costs.
type processor struct {
	world       *World
	node        *node
	hardware    *Hardware
	queue       []workItem
	busy        bool
	timerQueued bool          // the queue holds a timer's item
	pendingCost time.Duration // of the current item
	outputs     []func()      // of the current item
	heldOutputs []func()      // became due while the process was frozen
	usage       Usage
}

// newProcessor returns a processor for a process that starts now, nil if processing takes
// no time.
func (w *World) newProcessor(n *node) *processor {
	if w.hardware == nil || w.hardware.Share <= 0 {
		return nil
	}
	return &processor{world: w, node: n, hardware: w.hardware}
}

// execute runs a work item: immediately if the process has no processor, else when the
// processor takes it from its queue.
func (w *World) execute(n *node, item workItem) {
	if n.processor == nil {
		item.run()
		if item.done != nil {
			item.done()
		}
		return
	}
	n.processor.add(item)
}

// add puts a work item into the queue.
func (p *processor) add(item workItem) {
	item.enqueuedAt = p.world.Now
	if item.done != nil && p.hardware.QueuePolicy.ReadsAhead {
		defer item.done()
		item.done = nil
	}
	if !p.coalesce(item) {
		p.queue = append(p.queue, item)
	}
	p.startNext()
}

// coalesce replaces a waiting message with the same kind, sender and key, and reports whether
// there was one.
func (p *processor) coalesce(item workItem) bool {
	if item.coalescingKey == "" {
		return false
	}
	i := slices.IndexFunc(p.queue, func(other workItem) bool {
		return other.kind == item.kind && other.from == item.from && other.coalescingKey == item.coalescingKey
	})
	if i < 0 {
		return false
	}
	old := p.queue[i]
	p.queue[i] = item
	if old.done != nil {
		old.done()
	}
	return true
}

// addTimer puts a timer's function into the queue, unless one is already there.
func (p *processor) addTimer(do func()) {
	if p.timerQueued {
		return
	}
	p.timerQueued = true
	p.add(workItem{run: func() {
		p.timerQueued = false
		do()
	}})
}

// dequeue removes the next work item from the queue, by rank and then in order.
func (p *processor) dequeue() workItem {
	best := 0
	if rank := p.hardware.QueuePolicy.Rank; rank != nil {
		for i, item := range p.queue {
			if rank(item.kind) < rank(p.queue[best].kind) {
				best = i
			}
		}
	}
	item := p.queue[best]
	if best == 0 {
		p.queue = p.queue[1:]
		return item
	}
	p.queue = append(p.queue[:best:best], p.queue[best+1:]...)
	return item
}

// isStale reports whether a message has waited for longer than QueuePolicy.MaxAge.
func (p *processor) isStale(item workItem) bool {
	if p.hardware.QueuePolicy.MaxAge == nil || item.kind == "" {
		return false
	}
	maxAge := p.hardware.QueuePolicy.MaxAge(item.kind)
	return maxAge > 0 && p.world.Now-item.enqueuedAt > maxAge
}

// startNext starts the next work item if the processor is free and the process is up.
func (p *processor) startNext() {
	for !p.busy && len(p.queue) > 0 && p.node.processor == p && p.node.state == up {
		item := p.dequeue()
		p.busy = true
		if !p.isStale(item) {
			item.run()
		}
		p.world.After(time.Duration(float64(p.pendingCost)/p.hardware.Share), func() { p.finish(item) })
		p.pendingCost = 0
	}
}

// finish applies the output of a work item, or holds it if the process was frozen meanwhile,
// and starts the next item.
func (p *processor) finish(item workItem) {
	if p.node.processor != p {
		return
	}
	outputs := p.outputs
	p.outputs = nil
	p.busy = false
	if p.node.state == frozen {
		p.heldOutputs = outputs
		outputs = nil
	}
	for _, apply := range outputs {
		apply()
	}
	if item.done != nil {
		item.done()
	}
	p.startNext()
}

// resume applies the held output and starts the next work item, after the process was
// unfrozen.
func (p *processor) resume() {
	held := p.heldOutputs
	p.heldOutputs = nil
	for _, apply := range held {
		apply()
	}
	p.startNext()
}

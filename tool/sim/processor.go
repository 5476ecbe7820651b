package sim

import (
	"slices"
	"time"

	"sorrelloom/core/machine"
)

// QueuePolicy says which of the messages that wait for a busy processor is next. The
// zero value is first in, first out, as daemon/host takes messages.
type QueuePolicy struct {
	// Rank sorts messages by kind, smaller first; those of one rank stay in order.
	Rank func(kind string) int
	// MaxAge is how old a message of a kind may be when it is taken; an older one is
	// dropped before it is decoded. Zero is any age.
	MaxAge func(kind string) time.Duration
	// ReadsAhead says that connections are read whether or not the processor is busy, so
	// that messages wait in its queue; else one message of each connection waits there,
	// and the connection blocks its writer.
	ReadsAhead bool
	// CoalescingKey gives the key under which a message takes the place of a waiting one
	// of the same kind and sender; one with an empty key never does.
	CoalescingKey func(message machine.Message) string
}

// work is one thing that a process has to do. Kind and from are those of the message
// that it takes, empty for other work.
type work struct {
	kind          string
	from          string
	coalescingKey string // see QueuePolicy.CoalescingKey
	enqueuedAt    time.Duration
	run           func()
	done          func() // called when the processor is done with it; may be nil
}

// processor does the work of a process, one thing after the other. A thing is decided
// when its turn comes; what it sends, writes and replies leaves when its cost has been
// paid.
type processor struct {
	world       *World
	node        *node
	hardware    *Hardware
	queue       []work
	busy        bool
	timerQueued bool // the work of a timer waits in the queue
	pendingCost time.Duration
	outputs     []func()
	heldOutputs []func() // outputs that were due while the process was frozen
	usage       Usage
}

// newProcessor returns the processor of a process that starts now, nil if work takes
// no time.
func (w *World) newProcessor(n *node) *processor {
	if w.hardware == nil || w.hardware.Share <= 0 {
		return nil
	}
	return &processor{world: w, node: n, hardware: w.hardware}
}

// execute has a process do something: at once, or when its processor comes to it.
func (w *World) execute(n *node, task work) {
	if n.processor == nil {
		task.run()
		if task.done != nil {
			task.done()
		}
		return
	}
	n.processor.add(task)
}

// add puts work into the queue.
func (p *processor) add(task work) {
	task.enqueuedAt = p.world.Now
	if task.done != nil && p.hardware.QueuePolicy.ReadsAhead {
		defer task.done()
		task.done = nil
	}
	if !p.coalesce(task) {
		p.queue = append(p.queue, task)
	}
	p.startNext()
}

// coalesce puts a message in the place of a waiting one with the same key, if there is
// one.
func (p *processor) coalesce(task work) bool {
	if task.coalescingKey == "" {
		return false
	}
	i := slices.IndexFunc(p.queue, func(other work) bool {
		return other.kind == task.kind && other.from == task.from && other.coalescingKey == task.coalescingKey
	})
	if i < 0 {
		return false
	}
	old := p.queue[i]
	p.queue[i] = task
	if old.done != nil {
		old.done()
	}
	return true
}

// addTimer puts the work of a timer into the queue, unless one waits there.
func (p *processor) addTimer(do func()) {
	if p.timerQueued {
		return
	}
	p.timerQueued = true
	p.add(work{run: func() {
		p.timerQueued = false
		do()
	}})
}

// dequeue takes the next work out of the queue.
func (p *processor) dequeue() work {
	best := 0
	if rank := p.hardware.QueuePolicy.Rank; rank != nil {
		for i, task := range p.queue {
			if rank(task.kind) < rank(p.queue[best].kind) {
				best = i
			}
		}
	}
	task := p.queue[best]
	if best == 0 {
		p.queue = p.queue[1:]
		return task
	}
	p.queue = append(p.queue[:best:best], p.queue[best+1:]...)
	return task
}

// isStale reports whether a message waited for too long to be decoded.
func (p *processor) isStale(task work) bool {
	if p.hardware.QueuePolicy.MaxAge == nil || task.kind == "" {
		return false
	}
	maxAge := p.hardware.QueuePolicy.MaxAge(task.kind)
	return maxAge > 0 && p.world.Now-task.enqueuedAt > maxAge
}

// startNext begins with the next work if the processor is free.
func (p *processor) startNext() {
	for !p.busy && len(p.queue) > 0 && p.node.processor == p && p.node.state == up {
		task := p.dequeue()
		p.busy = true
		if !p.isStale(task) {
			task.run()
		}
		p.world.After(time.Duration(float64(p.pendingCost)/p.hardware.Share), func() { p.finish(task) })
		p.pendingCost = 0
	}
}

// finish lets the output of work out, and goes on.
func (p *processor) finish(task work) {
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
	if task.done != nil {
		task.done()
	}
	p.startNext()
}

// resume goes on after the process was frozen.
func (p *processor) resume() {
	held := p.heldOutputs
	p.heldOutputs = nil
	for _, apply := range held {
		apply()
	}
	p.startNext()
}

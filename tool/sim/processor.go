// The processor of a simulated process. What a machine does costs processor time
// here, so that a process can be too busy to answer in time. Off unless the world
// has a Hardware.

package sim

import (
	"slices"
	"time"

	"sorrelloom/core/machine"
	"sorrelloom/core/wire"
)

// Costs are what work costs, in time of one whole core.
type Costs struct {
	Step         time.Duration // one step of a machine, whatever it is given
	ReadLine     time.Duration // one line read from a connection
	ReadKilobyte time.Duration // each thousand bytes of its body decoded
	SendLine     time.Duration // one line written to a connection
	SendKilobyte time.Duration // each thousand bytes of its body encoded
	Report       time.Duration // one worker's report taken by the dispatcher
	Command      time.Duration // one command applied to the ledger
	Batch        time.Duration // one batch synced
	WriteRecord  time.Duration // one record of a batch encoded and written
	GatherRecord time.Duration // one record gathered for a whole copy
	LoadRecord   time.Duration // one record of a whole copy, or of the disk at a start, loaded
	Request      time.Duration // one request from outside and its answer
}

// Hardware is what the machines of a world have. The zero value of a part is a
// machine that has no bound there.
type Hardware struct {
	// Share is the part of a core that each process has.
	Share float64
	Costs Costs
	Links Links
	Disks Disks
	// Order says how lines wait for a busy processor.
	Order QueueOrder
}

// QueueOrder says which of the lines that wait for a busy processor is next. The
// zero value is first in, first out, as the host takes lines.
type QueueOrder struct {
	// Rank sorts lines by kind, smaller first; lines of one rank stay in order.
	Rank func(kind string) int
	// StaleAfter is how old a line of a kind may be when it is taken; an older one is
	// dropped before it is decoded. Zero is any age.
	StaleAfter func(kind string) time.Duration
	// ReadsAhead says that connections are read whether or not the processor is busy, so
	// that lines wait in its queue; else one line of each connection waits there, and the
	// connection holds its writer up.
	ReadsAhead bool
	// Replaces gives the key under which a line takes the place of a waiting one of the
	// same kind and sender; an empty one never does.
	Replaces func(line machine.Message) string
}

// work is one thing that a process has to do.
type work struct {
	kind  string
	from  string
	key   string // see QueueOrder.Replaces
	at    time.Duration
	do    func()
	taken func() // told when the processor is done with it
}

// processor does one thing after the other. A thing is decided when its turn comes;
// what it sends, writes and answers leaves when its cost has been paid.
type processor struct {
	w        *World
	n        *node
	hardware *Hardware
	queue    []work
	busy     bool
	waking   bool // a wakeup waits in the queue
	cost     time.Duration
	outputs  []func()
	held     []func() // outputs that were due while the process was frozen
	used     Usage
}

// Usage is the processor time that a process has used, by what it went to.
type Usage struct {
	Steps, Reading, Sending, Ledger, Storage, Loading, Requests time.Duration
	Lines, Bytes, Sent, Commands, Records                       int
}

// Total is all of it.
func (u Usage) Total() time.Duration {
	return u.Steps + u.Reading + u.Sending + u.Ledger + u.Storage + u.Loading + u.Requests
}

// add is what two lives of a process have used.
func (u Usage) add(o Usage) Usage { return u.plus(o, 1) }

// since is what was used after an earlier look.
func (u Usage) since(o Usage) Usage { return u.plus(o, -1) }

func (u Usage) plus(o Usage, sign int) Usage {
	times := time.Duration(sign)
	u.Steps += times * o.Steps
	u.Reading += times * o.Reading
	u.Sending += times * o.Sending
	u.Ledger += times * o.Ledger
	u.Storage += times * o.Storage
	u.Loading += times * o.Loading
	u.Requests += times * o.Requests
	u.Lines += sign * o.Lines
	u.Bytes += sign * o.Bytes
	u.Sent += sign * o.Sent
	u.Commands += sign * o.Commands
	u.Records += sign * o.Records
	return u
}

// usage is what all lives of a process have used so far.
func (n *node) usage() Usage {
	if n.processor == nil {
		return n.used
	}
	return n.used.add(n.processor.used)
}

// newProcessor gives the processor of a process that starts now.
func (w *World) newProcessor(n *node) *processor {
	if w.hardware == nil || w.hardware.Share <= 0 {
		return nil
	}
	return &processor{w: w, n: n, hardware: w.hardware}
}

// occupy has a process do something, when its processor comes to it.
func (w *World) occupy(n *node, one work) {
	if n.processor == nil {
		one.do()
		if one.taken != nil {
			one.taken()
		}
		return
	}
	n.processor.add(one)
}

func (p *processor) add(one work) {
	one.at = p.w.Now
	if one.taken != nil && p.hardware.Order.ReadsAhead {
		defer one.taken()
		one.taken = nil
	}
	if !p.replace(one) {
		p.queue = append(p.queue, one)
	}
	p.next()
}

// replace puts a line in the place of one that waits and says the same, if there is one.
func (p *processor) replace(one work) bool {
	if one.key == "" {
		return false
	}
	at := slices.IndexFunc(p.queue, func(o work) bool {
		return o.kind == one.kind && o.from == one.from && o.key == one.key
	})
	if at < 0 {
		return false
	}
	old := p.queue[at]
	p.queue[at] = one
	if old.taken != nil {
		old.taken()
	}
	return true
}

// wakeup puts a wakeup in the queue, unless one waits there.
func (p *processor) wakeup(do func()) {
	if p.waking {
		return
	}
	p.waking = true
	p.add(work{do: func() { p.waking = false; do() }})
}

// pick takes the next thing to do out of the queue.
func (p *processor) pick() work {
	best := 0
	if rank := p.hardware.Order.Rank; rank != nil {
		for i, one := range p.queue {
			if rank(one.kind) < rank(p.queue[best].kind) {
				best = i
			}
		}
	}
	one := p.queue[best]
	if best == 0 {
		p.queue = p.queue[1:]
		return one
	}
	p.queue = append(p.queue[:best:best], p.queue[best+1:]...)
	return one
}

// stale says whether a line waited for too long to be decoded.
func (p *processor) stale(one work) bool {
	if p.hardware.Order.StaleAfter == nil || one.kind == "" {
		return false
	}
	most := p.hardware.Order.StaleAfter(one.kind)
	return most > 0 && p.w.Now-one.at > most
}

// next begins with the next thing if the processor is free.
func (p *processor) next() {
	for !p.busy && len(p.queue) > 0 && p.n.processor == p && p.n.state == up {
		one := p.pick()
		p.busy = true
		if !p.stale(one) {
			one.do()
		}
		p.w.After(time.Duration(float64(p.cost)/p.hardware.Share), func() { p.done(one) })
		p.cost = 0
	}
}

// done lets out what came of a thing, and goes on.
func (p *processor) done(one work) {
	if p.n.processor != p {
		return
	}
	outputs := p.outputs
	p.outputs = nil
	p.busy = false
	if p.n.state == frozen {
		p.held = outputs
		outputs = nil
	}
	for _, do := range outputs {
		do()
	}
	if one.taken != nil {
		one.taken()
	}
	p.next()
}

// resume goes on after the process was frozen.
func (p *processor) resume() {
	held := p.held
	p.held = nil
	for _, do := range held {
		do()
	}
	p.next()
}

func perThousand(each time.Duration, size int) time.Duration {
	return each * time.Duration(size) / 1000
}

// charge pays for one step: what was put in, and what came out of it.
func (p *processor) charge(in machine.Input, commands int, out machine.Output) {
	c, before := p.hardware.Costs, p.used
	p.used.Steps += c.Step
	if in.Message.Kind != "" {
		p.used.Lines++
		p.used.Bytes += len(in.Message.Body)
		p.used.Reading += c.ReadLine + perThousand(c.ReadKilobyte, len(in.Message.Body))
	}
	switch in.Message.Kind {
	case wire.KindHeartbeat:
		p.used.Ledger += c.Report
	case wire.KindSnapshotChunk:
		commands = 0
		p.used.Loading += recordsOf(len(in.Message.Body)) * c.LoadRecord
	}
	p.used.Commands += commands
	p.used.Ledger += time.Duration(commands) * c.Command
	for _, b := range out.Writes {
		p.used.Records += len(b.Records)
		p.used.Storage += c.Batch + time.Duration(len(b.Records))*c.WriteRecord
	}
	if in.Request.ID > 0 {
		p.used.Requests += c.Request
	}
	p.cost += p.used.Total() - before.Total()
}

// recordBytes is the mean size of a record in a snapshot: 6 MB of 8,000 records.
const recordBytes = 750

// recordsOf is how many records a chunk of a snapshot holds.
func recordsOf(size int) time.Duration { return time.Duration(size / recordBytes) }

// encode pays for a line that is sent. It is paid in the step that sends it.
func (p *processor) encode(s machine.OutgoingMessage, size int) {
	c := p.hardware.Costs
	cost := c.SendLine + perThousand(c.SendKilobyte, size)
	if s.Kind == wire.KindSnapshotChunk {
		cost += recordsOf(size) * c.GatherRecord
	}
	p.used.Sent++
	p.used.Sending += cost
	p.cost += cost
}

// load pays for the records that a process finds on its disk.
func (p *processor) load(records int) {
	cost := time.Duration(records) * p.hardware.Costs.LoadRecord
	p.used.Loading += cost
	p.cost += cost
}

// position is how many commands the ledger of a process has taken.
func (n *node) position() uint64 {
	if k := n.keeper(); k != nil {
		return k.Store().Position().Index
	}
	return 0
}

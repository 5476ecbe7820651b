package sim

import (
	"time"

	"sorrelloom/core/machine"
	"sorrelloom/core/wire"
)

// Costs are what work costs, in processor time of one whole core.
type Costs struct {
	Step         time.Duration // one step of a state machine, whatever it is given
	ReadMessage  time.Duration // one message read from a connection
	ReadKilobyte time.Duration // each thousand bytes of its body decoded
	SendMessage  time.Duration // one message written to a connection
	SendKilobyte time.Duration // each thousand bytes of its body encoded
	Heartbeat    time.Duration // one worker's heartbeat taken by the dispatcher
	Command      time.Duration // one command applied to the replicated state
	Batch        time.Duration // one batch synced
	WriteRecord  time.Duration // one record of a batch encoded and written
	GatherRecord time.Duration // one record gathered for a snapshot transfer
	LoadRecord   time.Duration // one record of a snapshot, or of the disk at a start, loaded
	Request      time.Duration // one request from outside and its reply
}

// Usage is the processor time that a process has used, by what it went to, and counts
// of what it did.
type Usage struct {
	Steps, Reading, Sending, State, Storage, Loading, Requests time.Duration
	Messages, Bytes, Sent, Commands, Records                   int
}

// Total is all processor time.
func (u Usage) Total() time.Duration {
	return u.Steps + u.Reading + u.Sending + u.State + u.Storage + u.Loading + u.Requests
}

// add returns the usage of two incarnations of a process.
func (u Usage) add(other Usage) Usage { return u.addTimes(other, 1) }

// since returns what was used after an earlier usage.
func (u Usage) since(earlier Usage) Usage { return u.addTimes(earlier, -1) }

func (u Usage) addTimes(other Usage, factor int) Usage {
	times := time.Duration(factor)
	u.Steps += times * other.Steps
	u.Reading += times * other.Reading
	u.Sending += times * other.Sending
	u.State += times * other.State
	u.Storage += times * other.Storage
	u.Loading += times * other.Loading
	u.Requests += times * other.Requests
	u.Messages += factor * other.Messages
	u.Bytes += factor * other.Bytes
	u.Sent += factor * other.Sent
	u.Commands += factor * other.Commands
	u.Records += factor * other.Records
	return u
}

// usage is what all incarnations of a node have used so far.
func (n *node) usage() Usage {
	if n.processor == nil {
		return n.pastUsage
	}
	return n.pastUsage.add(n.processor.usage)
}

func perThousand(each time.Duration, size int) time.Duration {
	return each * time.Duration(size) / 1000
}

// chargeStep charges one step: what was put in, and what came out of it.
func (p *processor) chargeStep(in machine.Input, commands int, out machine.Output) {
	costs, before := p.hardware.Costs, p.usage
	p.usage.Steps += costs.Step
	if in.Message.Kind != "" {
		p.usage.Messages++
		p.usage.Bytes += len(in.Message.Body)
		p.usage.Reading += costs.ReadMessage + perThousand(costs.ReadKilobyte, len(in.Message.Body))
	}
	switch in.Message.Kind {
	case wire.KindHeartbeat:
		p.usage.State += costs.Heartbeat
	case wire.KindSnapshotChunk:
		commands = 0
		p.usage.Loading += recordsIn(len(in.Message.Body)) * costs.LoadRecord
	}
	p.usage.Commands += commands
	p.usage.State += time.Duration(commands) * costs.Command
	for _, write := range out.Writes {
		p.usage.Records += len(write.Records)
		p.usage.Storage += costs.Batch + time.Duration(len(write.Records))*costs.WriteRecord
	}
	if in.Request.ID > 0 {
		p.usage.Requests += costs.Request
	}
	p.pendingCost += p.usage.Total() - before.Total()
}

// recordBytes is the mean size of a record in a snapshot: 6 MB of 8,000 records.
const recordBytes = 750

// recordsIn is how many records a chunk of a snapshot holds, as a factor of costs.
func recordsIn(size int) time.Duration { return time.Duration(size / recordBytes) }

// chargeSend charges a message that is sent. It is paid in the step that sends it.
func (p *processor) chargeSend(message machine.OutgoingMessage, size int) {
	costs := p.hardware.Costs
	cost := costs.SendMessage + perThousand(costs.SendKilobyte, size)
	if message.Kind == wire.KindSnapshotChunk {
		cost += recordsIn(size) * costs.GatherRecord
	}
	p.usage.Sent++
	p.usage.Sending += cost
	p.pendingCost += cost
}

// chargeLoad charges the records that a process finds on its disk.
func (p *processor) chargeLoad(records int) {
	cost := time.Duration(records) * p.hardware.Costs.LoadRecord
	p.usage.Loading += cost
	p.pendingCost += cost
}

package sim

import (
	"time"

	"sorrelloom/core/machine"
	"sorrelloom/core/wire"
)

// Costs are the processor times of operations, on one full core.
type Costs struct {
	Step         time.Duration // one step of a state machine, whatever its input
	ReadMessage  time.Duration // one message read from a connection
	ReadKilobyte time.Duration // 1000 bytes of its body decoded
	SendMessage  time.Duration // one message written to a connection
	SendKilobyte time.Duration // 1000 bytes of its body encoded
	Heartbeat    time.Duration // one worker's heartbeat processed by the dispatcher
	Command      time.Duration // one command applied to the replicated state
	Batch        time.Duration // one batch synced
	WriteRecord  time.Duration // one record of a batch encoded and written
	GatherRecord time.Duration // one record gathered for a snapshot transfer
	LoadRecord   time.Duration // one record loaded from a snapshot, or from the disk at startup
	Request      time.Duration // one client request and its reply
}

// Usage is the processor time that a process has used, by kind of work, with counts of its
// operations.
type Usage struct {
	Steps, Reading, Sending, State, Storage, Loading, Requests time.Duration
	Messages, Bytes, Sent, Commands, Records                   int
}

// Total returns the processor time over all kinds of work.
func (u Usage) Total() time.Duration {
	return u.Steps + u.Reading + u.Sending + u.State + u.Storage + u.Loading + u.Requests
}

// add returns the sum of two usages.
func (u Usage) add(other Usage) Usage { return u.addScaled(other, 1) }

// since returns the difference to an earlier usage of the same process.
func (u Usage) since(earlier Usage) Usage { return u.addScaled(earlier, -1) }

func (u Usage) addScaled(other Usage, factor int) Usage {
	durationFactor := time.Duration(factor)
	u.Steps += durationFactor * other.Steps
	u.Reading += durationFactor * other.Reading
	u.Sending += durationFactor * other.Sending
	u.State += durationFactor * other.State
	u.Storage += durationFactor * other.Storage
	u.Loading += durationFactor * other.Loading
	u.Requests += durationFactor * other.Requests
	u.Messages += factor * other.Messages
	u.Bytes += factor * other.Bytes
	u.Sent += factor * other.Sent
	u.Commands += factor * other.Commands
	u.Records += factor * other.Records
	return u
}

// usage returns the usage of all incarnations of a node so far.
func (n *node) usage() Usage {
	if n.processor == nil {
		return n.pastUsage
	}
	return n.pastUsage.add(n.processor.usage)
}

func kilobyteCost(each time.Duration, size int) time.Duration {
	return each * time.Duration(size) / 1000
}

// chargeStep charges one step: its input, the commands that it applied, and its output except
// for messages.
func (p *processor) chargeStep(in machine.Input, commands int, out machine.Output) {
	costs, before := p.hardware.Costs, p.usage
	p.usage.Steps += costs.Step
	if in.Message.Kind != "" {
		p.usage.Messages++
		p.usage.Bytes += len(in.Message.Body)
		p.usage.Reading += costs.ReadMessage + kilobyteCost(costs.ReadKilobyte, len(in.Message.Body))
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

// recordsIn estimates the number of records in a snapshot chunk of a size in bytes. The type
// allows multiplication by a cost.
func recordsIn(size int) time.Duration { return time.Duration(size / recordBytes) }

// chargeSend charges an outgoing message with size bytes of body to the step that sends it.
func (p *processor) chargeSend(message machine.OutgoingMessage, size int) {
	costs := p.hardware.Costs
	cost := costs.SendMessage + kilobyteCost(costs.SendKilobyte, size)
	if message.Kind == wire.KindSnapshotChunk {
		cost += recordsIn(size) * costs.GatherRecord
	}
	p.usage.Sent++
	p.usage.Sending += cost
	p.pendingCost += cost
}

// chargeLoad charges the loading of records from the disk at startup.
func (p *processor) chargeLoad(records int) {
	cost := time.Duration(records) * p.hardware.Costs.LoadRecord
	p.usage.Loading += cost
	p.pendingCost += cost
}

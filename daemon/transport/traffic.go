package transport

import (
	"time"

	"sorrelloom/core/wire"
)

// Channel is one of the outgoing connections to a peer. A frame waits only for
// those of its own channel.
type Channel int

const (
	// Control has votes, acknowledgements and membership.
	Control Channel = iota
	// Log has the replicated log with its heartbeats and snapshots, which count on their order.
	Log
	// Bulk has all that passes between members and the other processes.
	Bulk
	channelCount
)

// Urgency is the order in which received frames are taken.
type Urgency int

const (
	// Member frames pass between the members of a cluster; they are always taken first.
	Member Urgency = iota
	// Answer frames end a request of this process.
	Answer
	// Request frames are taken when nothing else waits, and expire.
	Request
)

const (
	// requestMaxAge is how long commands and reports may wait: their senders send
	// them again after about this time.
	requestMaxAge = 400 * time.Millisecond
	// defaultMaxAge is how long any other request, and any frame to be sent, may wait.
	defaultMaxAge = 2 * time.Second
	// memberMaxAge is how long a frame to another member may wait; it would miss a
	// heartbeat's purpose later.
	memberMaxAge = time.Second
)

// Traffic is how the frames of one kind are handled. MaxWait bounds how long one
// waits here once received; zero does not. SendWithin bounds it on the sending side.
type Traffic struct {
	Channel    Channel
	Urgency    Urgency
	MaxWait    time.Duration
	SendWithin time.Duration
}

var (
	control = Traffic{Channel: Control, Urgency: Member, SendWithin: memberMaxAge}
	log     = Traffic{Channel: Log, Urgency: Member, SendWithin: memberMaxAge}
	answer  = Traffic{Channel: Bulk, Urgency: Answer, SendWithin: defaultMaxAge}
	request = Traffic{Channel: Bulk, Urgency: Request, MaxWait: requestMaxAge, SendWithin: requestMaxAge}
	other   = Traffic{Channel: Bulk, Urgency: Request, MaxWait: defaultMaxAge, SendWithin: defaultMaxAge}
)

var traffic = map[string]Traffic{
	wire.Shuffle: control, wire.ShuffleBack: control, wire.Nodes: control,
	wire.Found: control, wire.FoundBack: control, wire.FoundView: control,
	wire.Prepare: control, wire.PrepareBack: control, wire.Accept: control, wire.AcceptBack: control,
	wire.Decided: control, wire.ReplicateAck: control, wire.SnapshotAsk: control,
	wire.Replicate: log, wire.Snapshot: log,
	wire.CommandBack: answer, wire.BeatBack: answer,
	wire.Command: request, wire.Beat: request,
	wire.Follow: other, wire.News: other,
}

// TrafficOf says how frames of a kind are handled; an unknown kind is bulk.
func TrafficOf(kind string) Traffic {
	if t, ok := traffic[kind]; ok {
		return t
	}
	return other
}

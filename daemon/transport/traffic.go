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
	ChannelControl Channel = iota
	// Log has the replicated log with its heartbeats and snapshots, which count on their order.
	ChannelLog
	// Bulk has all that passes between members and the other processes.
	ChannelBulk
	channelCount
)

// Urgency is the order in which received frames are taken.
type Priority int

const (
	// Member frames pass between the members of a cluster; they are always taken first.
	PriorityCluster Priority = iota
	// Answer frames end a request of this process.
	PriorityReply
	// Request frames are taken when nothing else waits, and expire.
	PriorityRequest
)

const (
	// requestMaxAge is how long commands and reports may wait: their senders send
	// them again after about this time.
	requestMaxAge = 400 * time.Millisecond
	// defaultMaxAge is how long any other request, and any frame to be sent, may wait.
	defaultMaxAge = 2 * time.Second
	// memberMaxAge is how long a frame to another member may wait; it would miss a
	// heartbeat's purpose later.
	clusterMaxAge = time.Second
)

// Traffic is how the frames of one kind are handled. MaxWait bounds how long one
// waits here once received; zero does not. SendWithin bounds it on the sending side.
type TrafficClass struct {
	Channel        Channel
	Priority       Priority
	MaxReceiveWait time.Duration
	MaxSendWait    time.Duration
}

var (
	controlClass = TrafficClass{Channel: ChannelControl, Priority: PriorityCluster, MaxSendWait: clusterMaxAge}
	logClass     = TrafficClass{Channel: ChannelLog, Priority: PriorityCluster, MaxSendWait: clusterMaxAge}
	replyClass   = TrafficClass{Channel: ChannelBulk, Priority: PriorityReply, MaxSendWait: defaultMaxAge}
	requestClass = TrafficClass{Channel: ChannelBulk, Priority: PriorityRequest, MaxReceiveWait: requestMaxAge, MaxSendWait: requestMaxAge}
	defaultClass = TrafficClass{Channel: ChannelBulk, Priority: PriorityRequest, MaxReceiveWait: defaultMaxAge, MaxSendWait: defaultMaxAge}
)

var classByKind = map[string]TrafficClass{
	wire.KindShuffle: controlClass, wire.KindShuffleReply: controlClass, wire.KindNodeList: controlClass,
	wire.KindBootstrapProbe: controlClass, wire.KindBootstrapReply: controlClass, wire.KindBootstrapView: controlClass,
	wire.KindPrepare: controlClass, wire.KindPrepareReply: controlClass, wire.KindAccept: controlClass, wire.KindAcceptReply: controlClass,
	wire.KindDecided: controlClass, wire.KindReplicateAck: controlClass, wire.KindSnapshotRequest: controlClass,
	wire.KindReplicate: logClass, wire.KindSnapshotChunk: logClass,
	wire.KindCommandReply: replyClass, wire.KindHeartbeatReply: replyClass,
	wire.KindCommand: requestClass, wire.KindHeartbeat: requestClass,
	wire.KindSubscribe: defaultClass, wire.KindFeedUpdate: defaultClass,
}

// TrafficOf says how frames of a kind are handled; an unknown kind is bulk.
func ClassOf(kind string) TrafficClass {
	if t, ok := classByKind[kind]; ok {
		return t
	}
	return defaultClass
}

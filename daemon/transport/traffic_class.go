package transport

import (
	"time"

	"sorrelloom/core/machine"
	"sorrelloom/core/wire"
)

// Channel is one of the outgoing connections to a peer. Frames only wait for other frames of
// the same channel.
type Channel int

const (
	// ChannelControl carries Paxos votes, acknowledgements and membership.
	ChannelControl Channel = iota
	// ChannelLog carries the replicated log, including its heartbeats and snapshots, in
	// order.
	ChannelLog
	// ChannelBulk carries all messages between replicas and the other processes.
	ChannelBulk
	channelCount
)

// Priority determines the order in which received messages are processed.
type Priority int

const (
	// PriorityCluster is for messages between members of a cluster. They are always processed
	// first, since elections depend on them.
	PriorityCluster Priority = iota
	// PriorityReply is for responses to requests of this process.
	PriorityReply
	// PriorityUrgent is for operators' commands, which are rare. They are processed before
	// other requests, so that an overloaded process can still be reconfigured and asked for
	// its configuration.
	PriorityUrgent
	// PriorityQuery is for queries, such as for the state of a job or whether this process
	// leads. They change nothing, are cheap, and are repeated until they are answered.
	PriorityQuery
	// PriorityReport is for heartbeats of workers, which report finished attempts, and for
	// subscriptions and updates of the change feed. They precede new jobs, which could not be
	// scheduled without the resources that reports free.
	PriorityReport
	// PriorityRequest is for all other requests. They are processed after everything else,
	// apart from one after every maxReportsInRow reports, and expire.
	PriorityRequest
	priorityCount
)

const (
	// heartbeatMaxAge bounds the wait of worker heartbeats. An agent that has waited for a
	// reply for a while sends no other heartbeat until 1.1 s have passed.
	heartbeatMaxAge = time.Second
	// urgentMaxAge bounds the wait of operators' commands. It is as long as their callers
	// wait.
	urgentMaxAge = 850 * time.Millisecond
	// defaultMaxAge bounds the wait of messages of the change feed and of unknown kinds, and
	// that of replies to be sent. Commands have other limits.
	defaultMaxAge = 2 * time.Second
	// clusterMaxAge bounds the wait of a frame to be sent to another member. A heartbeat sent
	// later would be useless.
	clusterMaxAge = time.Second
)

// TrafficClass defines how the frames of one kind are handled.
type TrafficClass struct {
	Channel  Channel
	Priority Priority
	// MaxReceiveWait is how long a received message may wait; 0 means no limit.
	MaxReceiveWait time.Duration
	// MaxSendWait is how long a frame may wait before it is sent.
	MaxSendWait time.Duration
}

var (
	controlClass = TrafficClass{Channel: ChannelControl, Priority: PriorityCluster, MaxSendWait: clusterMaxAge}
	logClass     = TrafficClass{Channel: ChannelLog, Priority: PriorityCluster, MaxSendWait: clusterMaxAge}
	replyClass   = TrafficClass{Channel: ChannelBulk, Priority: PriorityReply, MaxSendWait: defaultMaxAge}
	requestClass = TrafficClass{
		Channel: ChannelBulk, Priority: PriorityRequest,
		MaxReceiveWait: wire.MaxCommandWait, MaxSendWait: wire.MaxCommandWait,
	}
	urgentClass = TrafficClass{
		Channel: ChannelBulk, Priority: PriorityUrgent, MaxReceiveWait: urgentMaxAge, MaxSendWait: urgentMaxAge,
	}
	queryClass = TrafficClass{
		Channel: ChannelBulk, Priority: PriorityQuery,
		MaxReceiveWait: wire.MaxCommandWait, MaxSendWait: wire.MaxCommandWait,
	}
	heartbeatClass = TrafficClass{
		Channel: ChannelBulk, Priority: PriorityReport, MaxReceiveWait: heartbeatMaxAge, MaxSendWait: heartbeatMaxAge,
	}
	defaultClass = TrafficClass{
		Channel: ChannelBulk, Priority: PriorityReport, MaxReceiveWait: defaultMaxAge, MaxSendWait: defaultMaxAge,
	}
)

var classByKind = map[string]TrafficClass{
	wire.KindShuffle:         controlClass,
	wire.KindShuffleReply:    controlClass,
	wire.KindNodeList:        controlClass,
	wire.KindBootstrapProbe:  controlClass,
	wire.KindBootstrapReply:  controlClass,
	wire.KindBootstrapView:   controlClass,
	wire.KindPrepare:         controlClass,
	wire.KindPrepareReply:    controlClass,
	wire.KindAccept:          controlClass,
	wire.KindAcceptReply:     controlClass,
	wire.KindDecided:         controlClass,
	wire.KindReplicateAck:    controlClass,
	wire.KindSnapshotRequest: controlClass,
	wire.KindReplicate:       logClass,
	wire.KindSnapshotChunk:   logClass,
	wire.KindCommandReply:    replyClass,
	wire.KindHeartbeatReply:  replyClass,
	wire.KindCommand:         requestClass,
	wire.KindHeartbeat:       heartbeatClass,
	wire.KindSubscribe:       defaultClass,
	wire.KindFeedUpdate:      defaultClass,
}

// ClassOfMessage returns the traffic class of a message.
func ClassOfMessage(message machine.Message) TrafficClass {
	switch {
	case message.Kind != wire.KindCommand:
	case message.IsUrgent():
		return urgentClass
	case message.IsQuery():
		return queryClass
	}
	return ClassOfKind(message.Kind)
}

// ClassOfKind returns the traffic class of a kind of message. Unknown kinds are handled like
// those of the change feed.
func ClassOfKind(kind string) TrafficClass {
	if class, ok := classByKind[kind]; ok {
		return class
	}
	return defaultClass
}

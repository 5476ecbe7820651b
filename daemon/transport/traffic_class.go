package transport

import (
	"time"

	"sorrelloom/core/machine"
	"sorrelloom/core/wire"
)

// Channel is one of the outgoing connections to a peer. A frame waits only for the
// frames of its own channel.
type Channel int

const (
	// ChannelControl carries votes, acknowledgements and membership.
	ChannelControl Channel = iota
	// ChannelLog carries the replicated log with its heartbeats and snapshots, in order.
	ChannelLog
	// ChannelBulk carries everything between replicas and the other processes.
	ChannelBulk
	channelCount
)

// Priority is the order in which received messages are processed.
type Priority int

const (
	// PriorityCluster messages pass between the members of a cluster and are always
	// processed first, since elections depend on them.
	PriorityCluster Priority = iota
	// PriorityReply messages end a request of this process.
	PriorityReply
	// PriorityUrgent messages are the calls of operators, which are few. They are processed
	// before other requests, so that a process that is short of processor still takes a
	// configuration and tells which one is in force.
	PriorityUrgent
	// PriorityQuestion messages are questions: after a job, or whether this process leads. They
	// change nothing and cost little, and are asked again and again until they are answered.
	PriorityQuestion
	// PriorityReport messages are the heartbeats of workers, with what has ended there, and
	// what follows the state. New work can wait: it would find no room before that.
	PriorityReport
	// PriorityRequest messages are processed when nothing else waits, and expire.
	PriorityRequest
	priorityCount
)

const (
	// heartbeatMaxAge is how long worker heartbeats may wait. An agent that has waited for a
	// reply for a while sends no other one until 1.1 s have passed.
	heartbeatMaxAge = time.Second
	// urgentMaxAge is how long calls of operators may wait: as long as their callers do.
	urgentMaxAge = 850 * time.Millisecond
	// defaultMaxAge is how long any other request, and any frame to be sent, may wait.
	defaultMaxAge = 2 * time.Second
	// clusterMaxAge is how long a frame to another member may wait to be sent. A later
	// heartbeat would miss its purpose.
	clusterMaxAge = time.Second
)

// TrafficClass says how the frames of one kind are handled.
type TrafficClass struct {
	Channel  Channel
	Priority Priority
	// MaxReceiveWait is how long a received message may wait; 0 is without a limit.
	MaxReceiveWait time.Duration
	// MaxSendWait is how long a frame may wait to be sent.
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
	questionClass = TrafficClass{
		Channel: ChannelBulk, Priority: PriorityQuestion,
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

// ClassOfMessage returns the class of a message.
func ClassOfMessage(message machine.Message) TrafficClass {
	switch {
	case message.Kind != wire.KindCommand:
	case message.IsUrgent():
		return urgentClass
	case message.IsQuestion():
		return questionClass
	}
	return ClassOf(message.Kind)
}

// ClassOf returns the class of a kind. An unknown kind is handled as what follows the state.
func ClassOf(kind string) TrafficClass {
	if class, ok := classByKind[kind]; ok {
		return class
	}
	return defaultClass
}

// Package wire defines the messages that processes send one another: their kinds and
// the bodies they carry. Processes of two releases run side by side while a cluster is
// upgraded, so kinds and the json names of fields never change. A receiver ignores
// fields that it doesn't know, and logs and drops a message of an unknown kind.
package wire

// Kinds of the gossip membership, with a Gossip body.
const (
	// KindShuffle offers a random sample of the known nodes and asks for one in return.
	KindShuffle = "shuffle"
	// KindShuffleReply returns the receiver's sample.
	KindShuffleReply = "shuffle-back"
	// KindNodeList passes the known nodes to the other state machine of the same process.
	KindNodeList = "nodes"
)

// Kinds that bootstrap a cluster and locate its current view, with a BootstrapStatus body.
const (
	// KindBootstrapProbe asks a process for its status.
	KindBootstrapProbe = "found"
	// KindBootstrapReply returns the status.
	KindBootstrapReply = "found-back"
	// KindBootstrapView is reserved; no release has sent it.
	KindBootstrapView = "found-view"
)

// Kinds of the single-decree Paxos that decides each view, with a PaxosMessage body.
const (
	// KindPrepare asks an acceptor for a promise (phase 1).
	KindPrepare = "prepare"
	// KindPrepareReply returns the promise, or the higher ballot that prevents it.
	KindPrepareReply = "prepare-back"
	// KindAccept asks an acceptor to accept a view (phase 2).
	KindAccept = "accept"
	// KindAcceptReply reports whether the acceptor accepted the view.
	KindAcceptReply = "accept-back"
	// KindDecided announces the view that was decided.
	KindDecided = "decided"
)

// Kinds of the log replication from a primary to its backups.
const (
	// KindReplicate carries a ReplicateRequest.
	KindReplicate = "replicate"
	// KindReplicateAck carries a ReplicateAck.
	KindReplicateAck = "replicate-ack"
	// KindSnapshotChunk carries a SnapshotChunk.
	KindSnapshotChunk = "snapshot"
	// KindSnapshotRequest carries a SnapshotRequest.
	KindSnapshotRequest = "snapshot-ask"
)

// Kinds between replicas and the other processes.
const (
	// KindCommand carries a CommandRequest.
	KindCommand = "command"
	// KindCommandReply carries a CommandReply.
	KindCommandReply = "command-back"
	// KindSubscribe carries a SubscribeRequest.
	KindSubscribe = "follow"
	// KindFeedUpdate carries a FeedUpdate.
	KindFeedUpdate = "news"
	// KindHeartbeat carries a HeartbeatRequest.
	KindHeartbeat = "beat"
	// KindHeartbeatReply carries a HeartbeatReply.
	KindHeartbeatReply = "beat-back"
)

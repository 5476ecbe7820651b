package replica

import (
	"time"

	"sorrelloom/core/machine"
)

// Config is what a process is started with.
type Config struct {
	Address string
	Zone    string
	// Founders are the addresses of the bootstrap members; empty after the first start.
	Founders []string
	// NewID is the identity that an empty disk is given.
	NewID string
	// BootID differs between any two starts of a process.
	BootID uint64
	// BackupCount is how many backups a view has, at least 1. It is also how many disks
	// may be lost at once.
	BackupCount int
	// HasDispatcher says that a dispatcher in the same process takes the state's changes.
	HasDispatcher bool
	// Phases measures the steps of the replica; nil measures nothing.
	Phases *machine.PhaseMeter
}

const (
	// heartbeatInterval is how often the primary sends when it has nothing new.
	heartbeatInterval = 150 * time.Millisecond
	// timerInterval is after what time a replica is stepped at the latest.
	timerInterval = heartbeatInterval / 3
	// suspectTimeout is after which silence a replica is suspected to be down.
	suspectTimeout = 1000 * time.Millisecond
	// memberLossTimeout is after which silence a voter that is no backup is replaced.
	memberLossTimeout = 1500 * time.Millisecond
	// subscriptionTTL is how long a subscription to the change feed lasts.
	subscriptionTTL = 3 * time.Second
	// maxPendingCommands is how many commands wait for their commit at most.
	maxPendingCommands = 4096
	// candidacyDelay is by how much each backup gives those ranked before it a head start.
	candidacyDelay = 150 * time.Millisecond
	// bootstrapWait is how long the first view is delayed for more members.
	bootstrapWait = 3 * time.Second
	// slowDiskTimeout is how long a write may take before another replica is preferred.
	slowDiskTimeout = 400 * time.Millisecond
	// maxProposalBackoff bounds the time between two ballots.
	maxProposalBackoff = 3 * time.Second
	// tickInterval is how often the state is asked whether it needs a tick command.
	tickInterval = 50 * time.Millisecond
	// batchInterval is for how long the primary gathers commands into one batch, and
	// standbyBatchInterval for how long those for the voters that are no backups.
	batchInterval        = 8 * time.Millisecond
	standbyBatchInterval = 40 * time.Millisecond
	// minRetryAfter is the least time after which a rejected command may be retried.
	minRetryAfter = time.Second
	// resendTimeout is how long a peer's replies to older messages are ignored after
	// replication to it was restarted at another position.
	resendTimeout = 2 * time.Second
	// successorTimeout is how long a stopping backup waits to be replaced.
	successorTimeout = 600 * time.Millisecond
	// slowWriteLog is how long a write takes for a log event.
	slowWriteLog = 500 * time.Millisecond
)

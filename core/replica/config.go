package replica

import (
	"time"

	"sorrelloom/core/machine"
)

// Config is the configuration of a replica at its start.
type Config struct {
	Address string
	Zone    string
	// Founders are the addresses of the bootstrap members; empty after the first start.
	Founders []string
	// NewID is the identity of the replica if its disk is empty.
	NewID string
	// BootID identifies this run of the process. No two runs have the same one.
	BootID uint64
	// BackupCount is the number of backups in a view, at least 1. It is also the number of
	// disks that may be lost at the same time.
	BackupCount int
	// HasScheduler is set if a scheduler in the same process consumes the state's changes.
	HasScheduler bool
	// Phases measures the time spent in each phase of a step; nil disables it.
	Phases *machine.PhaseMeter
}

const (
	// heartbeatInterval is the interval between messages of an idle primary.
	heartbeatInterval = 150 * time.Millisecond
	// timerInterval is the longest time between two steps of a replica.
	timerInterval = heartbeatInterval / 3
	// suspectTimeout is the silence after which a replica is suspected to be down.
	suspectTimeout = 1000 * time.Millisecond
	// memberLossTimeout is the silence after which a voter that is not a backup is replaced.
	memberLossTimeout = 1500 * time.Millisecond
	// subscriptionTTL is how long a subscription to the change feed lasts without renewal.
	subscriptionTTL = 3 * time.Second
	// maxPendingCommands bounds the commands that wait for their commit.
	maxPendingCommands = 4096
	// candidacyDelay is the additional delay of a backup's candidacy per backup ranked before
	// it.
	candidacyDelay = 150 * time.Millisecond
	// bootstrapWait is how long the first view is delayed until more members are available.
	bootstrapWait = 3 * time.Second
	// slowDiskTimeout is how long a write may take before the disk counts as slow and its
	// replica is to be replaced as primary or backup.
	slowDiskTimeout = 400 * time.Millisecond
	// maxProposalBackoff bounds the time between two ballots.
	maxProposalBackoff = 3 * time.Second
	// tickInterval is how often the primary checks whether the state needs a tick command.
	tickInterval = 50 * time.Millisecond
	// batchInterval is how long the primary gathers commands into one batch, and
	// standbyBatchInterval how long it does so for voters that are not backups.
	batchInterval        = 8 * time.Millisecond
	standbyBatchInterval = 40 * time.Millisecond
	// minRetryAfter is the minimum delay before a rejected command may be retried.
	minRetryAfter = time.Second
	// resendTimeout is how long a peer's replies to older messages are ignored after
	// replication to it was restarted at another position.
	resendTimeout = 2 * time.Second
	// successorTimeout is how long a stopping backup waits to be replaced.
	successorTimeout = 600 * time.Millisecond
	// slowWriteLog is the duration above which a write is logged as slow.
	slowWriteLog = 500 * time.Millisecond
)

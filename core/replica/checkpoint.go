package replica

import (
	"slices"

	"sorrelloom/core/state"
)

const (
	// checkpointInterval is the number of commands between two checkpoints.
	checkpointInterval = 2048
	// maxCheckpoints is enough to cover all commands that can be uncommitted.
	maxCheckpoints = 1 + (maxPendingCommands+checkpointInterval-1)/checkpointInterval
)

// checkpoints are snapshots of the state at earlier positions, the newest last. To undo
// commands that were never committed, the commands between a checkpoint and them are replayed
// on that checkpoint.
type checkpoints []*state.Snapshot

// add takes a checkpoint if checkpointInterval commands were applied since the last one.
func (c *checkpoints) add(store *state.Store) {
	if n := len(*c); n > 0 && store.Position().Index < (*c)[n-1].Position().Index+checkpointInterval {
		return
	}
	*c = append(*c, store.Snapshot())
	if len(*c) > maxCheckpoints {
		*c = slices.Clone((*c)[1:])
	}
}

// truncate drops the checkpoints after a position and returns the newest remaining one, or
// nil if none remains.
func (c *checkpoints) truncate(at state.LogPosition) *state.Snapshot {
	for n := len(*c); n > 0; n-- {
		if (*c)[n-1].Position().Index <= at.Index {
			*c = (*c)[:n]
			return (*c)[n-1]
		}
	}
	return nil
}

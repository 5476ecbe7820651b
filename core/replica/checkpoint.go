package replica

import (
	"slices"

	"sorrelloom/core/state"
)

const (
	// checkpointInterval is how many commands lie between two checkpoints.
	checkpointInterval = 2048
	// maxCheckpoints reach back over all commands that can be uncommitted.
	maxCheckpoints = 1 + (maxPendingCommands+checkpointInterval-1)/checkpointInterval
)

// checkpoints are snapshots of the state at earlier positions, the newest last. Commands
// that were never committed are taken back by applying those before them to a checkpoint.
type checkpoints []*state.Snapshot

// add takes a checkpoint once the state has moved on far enough.
func (c *checkpoints) add(store *state.Store) {
	if n := len(*c); n > 0 && store.Position().Index < (*c)[n-1].Position().Index+checkpointInterval {
		return
	}
	*c = append(*c, store.Snapshot())
	if len(*c) > maxCheckpoints {
		*c = slices.Clone((*c)[1:])
	}
}

// truncate drops the checkpoints after a position and gives the newest that is left, or
// nil.
func (c *checkpoints) truncate(at state.LogPosition) *state.Snapshot {
	for n := len(*c); n > 0; n-- {
		if (*c)[n-1].Position().Index <= at.Index {
			*c = (*c)[:n]
			return (*c)[n-1]
		}
	}
	return nil
}

package replica

import (
	"encoding/json"

	"sorrelloom/core/state"
)

// replicatedLog is the log of commands with the state that they were applied to. The
// state is always that of the newest command of the log; what is committed is a prefix.
type replicatedLog struct {
	store *state.Store
	// tail are the newest commands, for peers that lack them.
	tail        state.LogSuffix
	checkpoints checkpoints
	// syncedIndex is the last command that is synced to this replica's disk.
	syncedIndex uint64
	// commitIndex is the last command known to be committed; only a serving primary
	// knows it.
	commitIndex uint64
}

func (l *replicatedLog) position() state.LogPosition { return l.store.Position() }

// append applies the next command.
func (l *replicatedLog) append(cmd state.EncodedCommand) state.Result {
	l.tail.Append(cmd)
	result := l.store.Apply(cmd.Command)
	l.checkpoints.add(l.store)
	return result
}

// reset goes on from a state without the commands that led to it.
func (l *replicatedLog) reset(store *state.Store) {
	l.store = store
	l.tail = state.NewLogSuffix(store.Position())
	l.checkpoints = checkpoints{store.Snapshot()}
}

// rewind takes back the commands after a position. It says how many they were, or that
// the log does not reach back so far.
func (l *replicatedLog) rewind(to state.LogPosition) (dropped int, ok bool) {
	if !l.tail.Contains(to) {
		return 0, false
	}
	checkpoint := l.checkpoints.truncate(to)
	if checkpoint == nil {
		return 0, false
	}
	store, ok := l.replay(checkpoint, to)
	if !ok {
		return 0, false
	}
	l.store = store
	l.syncedIndex = min(l.syncedIndex, to.Index)
	return l.tail.TruncateAfter(to), true
}

// replay applies the commands between a checkpoint and a position again.
func (l *replicatedLog) replay(checkpoint *state.Snapshot, to state.LogPosition) (*state.Store, bool) {
	encoded, _, ok := l.tail.Window(checkpoint.Position(), to, checkpointInterval, state.LogSuffixBytes)
	if !ok {
		return nil, false
	}
	commands, err := decodeCommands(encoded)
	if err != nil {
		return nil, false
	}
	store := checkpoint.Store()
	for _, cmd := range commands {
		store.Apply(cmd.Command)
	}
	if store.Position() != to {
		return nil, false
	}
	store.TakeAuditEntries() // those up to here were taken when they were first applied
	return store, true
}

// committedPrefix gives those of the commands after a position that are committed, and
// where they end.
func (l *replicatedLog) committedPrefix(
	after state.LogPosition, commands []json.RawMessage,
) ([]json.RawMessage, state.LogPosition) {
	count := min(len(commands), int(l.commitIndex-min(l.commitIndex, after.Index)))
	if count == 0 {
		return nil, after
	}
	end, _ := l.tail.PositionOf(after.Index + uint64(count))
	return commands[:count:count], end
}

func decodeCommands(encoded []json.RawMessage) ([]state.EncodedCommand, error) {
	out := make([]state.EncodedCommand, 0, len(encoded))
	for _, e := range encoded {
		cmd, err := state.Decode(e)
		if err != nil {
			return nil, err
		}
		out = append(out, cmd)
	}
	return out, nil
}

package replica

import (
	"encoding/json"

	"sorrelloom/core/state"
)

// replicatedLog is the log of commands and the state that they were applied to. The state
// always includes the newest command of the log; the committed commands are a prefix.
type replicatedLog struct {
	store *state.Store
	// tail contains the newest commands, for peers that lack them.
	tail        state.LogSuffix
	checkpoints checkpoints
	// syncedIndex is the index of the last command that is synced to this replica's disk.
	syncedIndex uint64
	// commitIndex is the index of the last command known to be committed. Only a serving
	// primary knows it.
	commitIndex uint64
}

func (l *replicatedLog) position() state.LogPosition { return l.store.Position() }

// append adds the next command to the log and applies it.
func (l *replicatedLog) append(cmd state.EncodedCommand) state.Result {
	l.tail.Append(cmd)
	result := l.store.Apply(cmd.Command)
	l.checkpoints.add(l.store)
	return result
}

// reset restarts the log from a state, without the commands that led to it.
func (l *replicatedLog) reset(store *state.Store) {
	l.store = store
	l.tail = state.NewLogSuffix(store.Position())
	l.checkpoints = checkpoints{store.Snapshot()}
}

// rewind undoes the commands after a position and returns how many these were. ok is false if
// the log does not reach back that far.
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

// replay rebuilds the state at a position from an earlier checkpoint and the commands between
// the two.
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
	store.TakeAuditEntries() // they were already taken when the commands were first applied
	return store, true
}

// committedPrefix returns the committed ones of the commands after a position, and the
// position of the last of them.
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

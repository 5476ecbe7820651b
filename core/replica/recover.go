// Starting again from what is on the disk.

package replica

import (
	"encoding/json"
	"fmt"

	"sorrelloom/core/machine"
	"sorrelloom/core/state"
)

// recover rebuilds ledger and tail: the snapshot's records, then the commands that
// were logged after it. The history before the snapshot only lengthens the tail.
func (r *Replica) restore(records []machine.Record, stored machine.StoredState) error {
	store, err := state.Load(records)
	if err != nil {
		return err
	}
	r.store = store
	r.resetLog()
	r.snapshotPosition = store.Position()
	r.restoreHistory(stored.CommandsBeforeSnapshot)
	for _, encoded := range stored.Commands {
		cmd, err := decodeNext(r.store.Position(), encoded)
		if err != nil {
			return err
		}
		r.logTail.Append(cmd)
		r.store.Apply(cmd.Command)
		r.checkpoints.add(r.store)
	}
	// Whoever led then has audited them.
	r.store.TakeAuditEntries()
	r.broadcastEnd, r.syncedIndex = r.store.Position(), r.store.Position().Index
	return nil
}

// recoverHistory begins the tail with the commands that lead up to the snapshot. Those
// of another history, or damaged ones, are left out: nothing rests on them.
func (r *Replica) restoreHistory(history []json.RawMessage) {
	if len(history) == 0 {
		return
	}
	first, err := state.Decode(history[0])
	if err != nil {
		return
	}
	at := first.LogPosition
	tail := state.NewLogSuffix(at)
	for _, encoded := range history[1:] {
		cmd, err := decodeNext(at, encoded)
		if err != nil {
			return
		}
		tail.Append(cmd)
		at = cmd.LogPosition
	}
	if at == r.store.Position() {
		r.logTail = tail
	}
}

// nextOf decodes a logged command, which must come right after a position.
func decodeNext(at state.LogPosition, encoded json.RawMessage) (state.EncodedCommand, error) {
	cmd, err := state.Decode(encoded)
	if err != nil {
		return cmd, fmt.Errorf("logged command after sequence %d: %w", at.Index, err)
	}
	if cmd.Index != at.Index+1 || cmd.Epoch < at.Epoch {
		return cmd, fmt.Errorf("logged command %d of epoch %d comes after %d of epoch %d",
			cmd.Index, cmd.Epoch, at.Index, at.Epoch)
	}
	return cmd, nil
}

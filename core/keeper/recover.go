package keeper

import (
	"encoding/json"
	"fmt"

	"sorrelloom/core/ledger"
	"sorrelloom/core/machine"
)

// recover rebuilds ledger and tail: the snapshot's records, then the commands that
// were logged after it. The history before the snapshot only lengthens the tail.
func (k *Keeper) recover(records []machine.Record, stored machine.Stored) error {
	l, err := ledger.Load(records)
	if err != nil {
		return err
	}
	k.ledger = l
	k.reset()
	k.snapshotAt = l.Position()
	k.recoverHistory(stored.History)
	for _, encoded := range stored.Commands {
		cmd, err := nextOf(k.ledger.Position(), encoded)
		if err != nil {
			return err
		}
		k.tail.Add(cmd)
		k.ledger.Apply(cmd.Command)
		k.checkpoints.add(k.ledger)
	}
	// Whoever led then has audited them.
	k.ledger.TakeEntries()
	k.sent, k.synced = k.ledger.Position(), k.ledger.Position().Sequence
	return nil
}

// recoverHistory begins the tail with the commands that lead up to the snapshot. Those
// of another history, or damaged ones, are left out: nothing rests on them.
func (k *Keeper) recoverHistory(history []json.RawMessage) {
	if len(history) == 0 {
		return
	}
	first, err := ledger.Decode(history[0])
	if err != nil {
		return
	}
	at := first.Position
	tail := ledger.TailFrom(at)
	for _, encoded := range history[1:] {
		cmd, err := nextOf(at, encoded)
		if err != nil {
			return
		}
		tail.Add(cmd)
		at = cmd.Position
	}
	if at == k.ledger.Position() {
		k.tail = tail
	}
}

// nextOf decodes a logged command, which must come right after a position.
func nextOf(at ledger.Position, encoded json.RawMessage) (ledger.Logged, error) {
	cmd, err := ledger.Decode(encoded)
	if err != nil {
		return cmd, fmt.Errorf("logged command after sequence %d: %w", at.Sequence, err)
	}
	if cmd.Sequence != at.Sequence+1 || cmd.Epoch < at.Epoch {
		return cmd, fmt.Errorf("logged command %d of epoch %d comes after %d of epoch %d",
			cmd.Sequence, cmd.Epoch, at.Sequence, at.Epoch)
	}
	return cmd, nil
}

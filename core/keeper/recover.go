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
	if err := k.recoverHistory(stored.History); err != nil {
		return err
	}
	for _, encoded := range stored.Commands {
		cmd, err := k.nextOf(k.ledger.Position(), encoded)
		if err != nil {
			return err
		}
		k.tail.Add(cmd)
		k.ledger.Apply(cmd.Command)
	}
	k.sent, k.synced = k.ledger.Position(), k.ledger.Position().Sequence
	return nil
}

// recoverHistory begins the tail with the commands that lead up to the snapshot.
func (k *Keeper) recoverHistory(history []json.RawMessage) error {
	if len(history) == 0 {
		return nil
	}
	first, err := ledger.Decode(history[0])
	if err != nil {
		return err
	}
	at := first.Position
	tail := ledger.TailFrom(at)
	for _, encoded := range history[1:] {
		cmd, err := k.nextOf(at, encoded)
		if err != nil {
			return err
		}
		tail.Add(cmd)
		at = cmd.Position
	}
	if at == k.ledger.Position() {
		k.tail = tail
	}
	return nil
}

// nextOf decodes a logged command, which must come right after a position.
func (k *Keeper) nextOf(at ledger.Position, encoded json.RawMessage) (ledger.Logged, error) {
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

package keeper

import (
	"slices"

	"sorrelloom/core/ledger"
)

const (
	// checkpointEach is how many commands lie between two checkpoints.
	checkpointEach = 2048
	// checkpointsKept reach back over all commands that can wait for an answer.
	checkpointsKept = 1 + (inFlight+checkpointEach-1)/checkpointEach
)

// checkpoints are captures of the ledger at earlier positions, the newest last, so
// that commands that were never committed can be taken back by applying those before
// them again.
type checkpoints []*ledger.Capture

// add takes a checkpoint once the ledger has moved on far enough.
func (c *checkpoints) add(l *ledger.Ledger) {
	if n := len(*c); n > 0 && l.Position().Sequence < (*c)[n-1].Position().Sequence+checkpointEach {
		return
	}
	*c = append(*c, l.Capture())
	if len(*c) > checkpointsKept {
		*c = slices.Clone((*c)[1:])
	}
}

// cut drops the checkpoints after a position and gives the newest that is left.
func (c *checkpoints) cut(at ledger.Position) *ledger.Capture {
	for n := len(*c); n > 0; n-- {
		if (*c)[n-1].Position().Sequence <= at.Sequence {
			*c = (*c)[:n]
			return (*c)[n-1]
		}
	}
	return nil
}

// rewind takes back the commands after a position, which were never committed: the
// leader, which has all that were, does not have them.
func (k *Keeper) rewind(to ledger.Position) bool {
	if !k.tail.Holds(to) {
		return false
	}
	checkpoint := k.checkpoints.cut(to)
	if checkpoint == nil {
		return false
	}
	again, _, ok := k.tail.Window(checkpoint.Position(), to, checkpointEach, ledger.TailBytes)
	if !ok {
		return false
	}
	commands, err := decodeAll(again)
	if err != nil {
		return false
	}
	l := checkpoint.Ledger()
	for _, cmd := range commands {
		l.Apply(cmd.Command)
	}
	if l.Position() != to {
		return false
	}
	l.TakeEntries()
	k.ledger = l
	k.dropAfter(to)
	return true
}

// dropAfter has what was applied after a position forgotten, here and on the disk.
func (k *Keeper) dropAfter(to ledger.Position) {
	dropped := k.tail.Cut(to)
	k.forget(to.Sequence)
	unwritten := min(dropped, len(k.commands))
	k.commands = k.commands[:len(k.commands)-unwritten]
	k.drop += dropped - unwritten
	if to.Sequence < k.snapshotAt.Sequence {
		// The disk's snapshot is of a later position already.
		k.drop, k.commands, k.replaced = 0, nil, true
	}
}

// forget drops what waits for sequences after one that the ledger has gone back to.
func (k *Keeper) forget(sequence uint64) {
	k.acks, k.source, k.sent = nil, nil, k.ledger.Position()
	k.synced = min(k.synced, sequence)
	for id, w := range k.writing {
		k.writing[id] = after{w.sends, min(w.sequence, sequence), w.stands}
	}
	for n, e := range k.entries {
		if e.Sequence > sequence {
			k.entries = k.entries[:n]
			break
		}
	}
	for id, p := range k.peers {
		p.synced, p.next, p.confirmed = false, ledger.Position{}, ledger.Position{}
		k.peers[id] = p
	}
}

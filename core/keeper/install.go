package keeper

import (
	"encoding/json"
	"time"

	"sorrelloom/core/ledger"
	"sorrelloom/core/machine"
	"sorrelloom/core/wire"
)

const (
	// askFirst and askLast bound how long a chunk is waited for until it is asked for
	// again.
	askFirst = 500 * time.Millisecond
	askLast  = 2 * time.Second
)

// incoming is the state of another keeper, as far as its chunks have come.
type incoming struct {
	from    string
	sender  wire.Seat
	boot    uint64
	epoch   uint64
	base    ledger.Position // where this keeper stood when it began
	at      ledger.Position // of the state
	next    int
	loader  *ledger.Loader
	sum     digest
	askedAt time.Duration
	wait    time.Duration
}

func (i *incoming) belongs(b wire.SnapshotBody) bool {
	return i != nil && i.sender.ID == b.From.ID && i.boot == b.Boot && i.at == b.At && i.base == b.For
}

// chunk takes the next chunk and asks for the one after it. Others are passed over:
// doubled ones, and those of a transfer that was begun before another.
func (k *Keeper) chunk(now time.Duration, from string, b wire.SnapshotBody, out *machine.Output) {
	if k.bouncedView(now, from, b.View, b.From, b.Boot, b.Token, out) {
		return
	}
	if b.For != k.ledger.Position() {
		// This keeper has moved on, and must not go back.
		k.incoming = nil
		return
	}
	if b.Index == 0 && !k.incoming.belongs(b) {
		k.incoming = &incoming{
			from: from, sender: b.From, boot: b.Boot, epoch: b.View.Epoch, base: b.For, at: b.At,
			loader: ledger.NewLoader(), sum: digestOf(b.At),
		}
	}
	in := k.incoming
	if !in.belongs(b) || b.Index != in.next {
		return
	}
	if err := in.add(b.Records); err != nil {
		k.incoming = nil
		out.Log("snapshot_damaged", "from", from, "chunk", b.Index, "why", err.Error())
		return
	}
	if !b.Last {
		in.wait = askFirst
		k.askChunk(now, out)
		return
	}
	k.incoming = nil
	l, err := in.loader.Ledger()
	if err != nil || in.sum.String() != b.Digest || l.Position() != b.At {
		out.Log("snapshot_damaged", "from", from, "chunk", b.Index)
		return
	}
	k.install(l)
	out.Log("snapshot_installed", "from", from, "epoch", b.At.Epoch, "sequence", b.At.Sequence, "chunks", in.next)
	k.willAck(from, b.Boot, b.View.Epoch, b.Token)
}

func (i *incoming) add(chunk json.RawMessage) error {
	var records []machine.Record
	if err := json.Unmarshal(chunk, &records); err != nil {
		return err
	}
	for _, r := range records {
		if err := i.loader.Add(r); err != nil {
			return err
		}
	}
	i.sum = i.sum.with(chunk)
	i.next++
	return nil
}

// install goes on from another keeper's state. Nothing of it is on the disk yet.
func (k *Keeper) install(l *ledger.Ledger) {
	k.ledger, k.entries = l, nil
	k.reset()
	k.forget(0)
	k.drop, k.commands, k.replaced = 0, nil, true
}

func (k *Keeper) askChunk(now time.Duration, out *machine.Output) {
	in := k.incoming
	in.askedAt = now
	out.Send(in.from, wire.SnapshotAsk, wire.SnapshotAskBody{
		Boot: in.boot, Epoch: in.epoch, From: k.seat, At: in.at, Index: in.next,
	})
}

// askAgain asks for a chunk that has not come, ever more rarely.
func (k *Keeper) askAgain(now time.Duration, out *machine.Output) {
	if k.incoming == nil || now-k.incoming.askedAt < k.incoming.wait {
		return
	}
	if k.incoming.wait >= askLast {
		k.incoming = nil
		return
	}
	k.incoming.wait *= 2
	k.askChunk(now, out)
}

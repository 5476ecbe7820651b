// The receiving side of a transfer of the whole state.

package replica

import (
	"encoding/json"
	"time"

	"sorrelloom/core/machine"
	"sorrelloom/core/state"
	"sorrelloom/core/wire"
)

const (
	// askFirst and askLast bound how long a chunk is waited for until it is asked for
	// again.
	firstChunkTimeout = 500 * time.Millisecond
	maxChunkTimeout   = 2 * time.Second
)

// incoming is the state of another keeper, as far as its chunks have come.
type incomingTransfer struct {
	senderAddress string
	sender        wire.Member
	boot          uint64
	epoch         uint64
	basePosition  state.LogPosition // where this keeper stood when it began
	position      state.LogPosition // of the state
	nextChunk     int
	loader        *state.Loader
	checksum      digest
	requestedAt   time.Duration
	timeout       time.Duration
}

func (i *incomingTransfer) matches(b wire.SnapshotChunk) bool {
	return i != nil && i.sender.ID == b.From.ID && i.boot == b.BootID && i.position == b.Position && i.basePosition == b.ReceiverPosition
}

// chunk takes the next chunk and asks for the one after it. Others are passed over:
// doubled ones, and those of a transfer that was begun before another.
func (r *Replica) handleChunk(now time.Duration, from string, b wire.SnapshotChunk, out *machine.Output) {
	if r.rejectStaleSender(now, from, b.View, b.From, b.BootID, b.SendID, out) {
		return
	}
	if b.ReceiverPosition != r.store.Position() {
		// This keeper has moved on, and must not go back.
		r.incoming = nil
		return
	}
	if b.ChunkIndex == 0 && !r.incoming.matches(b) {
		r.incoming = &incomingTransfer{
			senderAddress: from, sender: b.From, boot: b.BootID, epoch: b.View.Epoch, basePosition: b.ReceiverPosition, position: b.Position,
			loader: state.NewLoader(), checksum: digestOf(b.Position),
		}
	}
	in := r.incoming
	if !in.matches(b) || b.ChunkIndex != in.nextChunk {
		return
	}
	if err := in.addChunk(b.Records); err != nil {
		r.incoming = nil
		out.Log("snapshot_damaged", "from", from, "chunk", b.ChunkIndex, "why", err.Error())
		return
	}
	if !b.Last {
		in.timeout = firstChunkTimeout
		r.requestChunk(now, out)
		return
	}
	r.incoming = nil
	store, err := in.loader.Store()
	if err != nil || in.checksum.String() != b.Digest || store.Position() != b.Position {
		out.Log("snapshot_damaged", "from", from, "chunk", b.ChunkIndex)
		return
	}
	r.installSnapshot(store)
	out.Log("snapshot_installed", "from", from, "epoch", b.Position.Epoch, "sequence", b.Position.Index, "chunks", in.nextChunk)
	r.queueAck(from, b.BootID, b.View.Epoch, b.SendID)
}

func (i *incomingTransfer) addChunk(chunk json.RawMessage) error {
	var records []machine.Record
	if err := json.Unmarshal(chunk, &records); err != nil {
		return err
	}
	for _, r := range records {
		if err := i.loader.Add(r); err != nil {
			return err
		}
	}
	i.checksum = i.checksum.extend(chunk)
	i.nextChunk++
	return nil
}

// install goes on from another keeper's state. Nothing of it is on the disk yet.
func (r *Replica) installSnapshot(store *state.Store) {
	r.store, r.auditEntries = store, nil
	r.resetLog()
	r.forgetAfter(0)
	r.logTruncation, r.unwrittenCommands, r.replaceLog = 0, nil, true
}

func (r *Replica) requestChunk(now time.Duration, out *machine.Output) {
	in := r.incoming
	in.requestedAt = now
	out.Send(in.senderAddress, wire.KindSnapshotRequest, wire.SnapshotRequest{
		BootID: in.boot, Epoch: in.epoch, From: r.self, Position: in.position, ChunkIndex: in.nextChunk,
	})
}

// askAgain asks for a chunk that has not come, ever more rarely.
func (r *Replica) retryChunkRequest(now time.Duration, out *machine.Output) {
	if r.incoming == nil || now-r.incoming.requestedAt < r.incoming.timeout {
		return
	}
	if r.incoming.timeout >= maxChunkTimeout {
		r.incoming = nil
		return
	}
	r.incoming.timeout *= 2
	r.requestChunk(now, out)
}

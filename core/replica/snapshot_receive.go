package replica

import (
	"encoding/json"
	"time"

	"sorrelloom/core/machine"
	"sorrelloom/core/state"
	"sorrelloom/core/wire"
)

// A chunk that has not arrived is requested again after a timeout that doubles from
// firstChunkTimeout to maxChunkTimeout.
const (
	firstChunkTimeout = 500 * time.Millisecond
	maxChunkTimeout   = 2 * time.Second
)

// incomingTransfer is a snapshot that is being received from another replica.
type incomingTransfer struct {
	senderAddress string
	sender        wire.Member
	bootID        uint64
	epoch         uint64
	basePosition  state.LogPosition // where this replica was when the transfer began
	position      state.LogPosition // of the snapshot
	nextChunk     int
	loader        *state.Loader
	digest        digest
	requestedAt   time.Duration
	timeout       time.Duration
}

func newIncomingTransfer(from string, b wire.SnapshotChunk) *incomingTransfer {
	return &incomingTransfer{
		senderAddress: from, sender: b.From, bootID: b.BootID, epoch: b.View.Epoch,
		basePosition: b.ReceiverPosition, position: b.Position,
		loader: state.NewLoader(), digest: digestOf(b.Position),
	}
}

// matches reports whether a chunk belongs to this transfer; a nil transfer matches none.
func (t *incomingTransfer) matches(b wire.SnapshotChunk) bool {
	return t != nil && t.sender.ID == b.From.ID && t.bootID == b.BootID &&
		t.position == b.Position && t.basePosition == b.ReceiverPosition
}

func (t *incomingTransfer) addChunk(chunk json.RawMessage) error {
	var records []machine.Record
	if err := json.Unmarshal(chunk, &records); err != nil {
		return err
	}
	for _, record := range records {
		if err := t.loader.Add(record); err != nil {
			return err
		}
	}
	t.digest = t.digest.extend(chunk)
	t.nextChunk++
	return nil
}

// store returns the state once the last chunk was added, and whether it is intact.
func (t *incomingTransfer) store(last wire.SnapshotChunk) (*state.Store, bool) {
	store, err := t.loader.Store()
	intact := err == nil && t.digest.String() == last.Digest && store.Position() == last.Position
	return store, intact
}

// handleChunk adds the next chunk and requests the one after it, or installs the snapshot
// after the last one. Duplicates and chunks of an earlier transfer are ignored.
func (r *Replica) handleChunk(now time.Duration, from string, b wire.SnapshotChunk, out *machine.Output) {
	if r.rejectStaleSender(now, from, b.View, b.From, b.BootID, b.SendID, out) {
		return
	}
	if b.ReceiverPosition != r.log.position() {
		// This replica has since acknowledged more, which it must not undo.
		r.incoming = nil
		return
	}
	if b.ChunkIndex == 0 && !r.incoming.matches(b) {
		r.incoming = newIncomingTransfer(from, b)
	}
	transfer := r.incoming
	if !transfer.matches(b) || b.ChunkIndex != transfer.nextChunk {
		return
	}
	if err := transfer.addChunk(b.Records); err != nil {
		r.incoming = nil
		out.Warn("snapshot_corrupt", "from", from, "chunk", b.ChunkIndex, "error", err.Error())
		return
	}
	if !b.Last {
		transfer.timeout = firstChunkTimeout
		r.requestChunk(now, out)
		return
	}
	r.incoming = nil
	store, intact := transfer.store(b)
	if !intact {
		out.Warn("snapshot_corrupt", "from", from, "chunk", b.ChunkIndex)
		return
	}
	r.installSnapshot(store)
	out.Log("snapshot_installed", "from", from, "epoch", b.Position.Epoch, "index", b.Position.Index,
		"chunks", transfer.nextChunk)
	r.queueAck(from, b.BootID, b.View.Epoch, b.SendID)
}

// installSnapshot continues from another replica's state, none of which is on this disk yet.
func (r *Replica) installSnapshot(store *state.Store) {
	r.log.reset(store)
	r.log.syncedIndex = 0
	r.audit.entries = nil
	r.disk.replaceAll()
	r.disk.lowerSynced(0)
	r.logReplaced()
}

func (r *Replica) requestChunk(now time.Duration, out *machine.Output) {
	transfer := r.incoming
	transfer.requestedAt = now
	out.Send(transfer.senderAddress, wire.KindSnapshotRequest, wire.SnapshotRequest{
		BootID: transfer.bootID, Epoch: transfer.epoch, From: r.self,
		Position: transfer.position, ChunkIndex: transfer.nextChunk,
	})
}

// retryChunkRequest requests an overdue chunk again with increasing timeouts, and finally
// abandons the transfer.
func (r *Replica) retryChunkRequest(now time.Duration, out *machine.Output) {
	transfer := r.incoming
	if transfer == nil || now-transfer.requestedAt < transfer.timeout {
		return
	}
	if transfer.timeout >= maxChunkTimeout {
		r.incoming = nil
		return
	}
	transfer.timeout *= 2
	r.requestChunk(now, out)
}

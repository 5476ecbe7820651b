package replica

import (
	"bytes"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"time"

	"sorrelloom/core/machine"
	"sorrelloom/core/state"
	"sorrelloom/core/wire"
)

const (
	// maxChunkBytes bounds the size of a chunk's records, unless a single record is larger.
	maxChunkBytes = 64 << 10
	// maxTransfers is the maximum number of peers that are sent a snapshot at the same time.
	maxTransfers = 2
	// transferIdleTimeout is the time without a request after which a transfer is abandoned.
	transferIdleTimeout = 4 * time.Second
	// chunkResendInterval is the minimum time before the same chunk is sent again.
	chunkResendInterval = 300 * time.Millisecond
	// sourceTTL is how long a snapshot is kept after one of its chunks was last sent.
	sourceTTL = 5 * time.Second
)

// outgoingTransfer is the transfer of a snapshot to one peer.
type outgoingTransfer struct {
	peerPosition state.LogPosition // where the peer was when the transfer began
	position     state.LogPosition // of the snapshot
	chunk        int               // the last chunk sent
	sentAt       time.Duration
}

func (t outgoingTransfer) active(now time.Duration) bool {
	return t.sentAt > 0 && now-t.sentAt < transferIdleTimeout
}

// resendsTooSoon reports whether a chunk was the last one sent, less than
// chunkResendInterval ago.
func (t outgoingTransfer) resendsTooSoon(now time.Duration, chunk int) bool {
	return chunk == t.chunk && now-t.sentAt < chunkResendInterval
}

// snapshotSource is a snapshot of the state whose chunks are encoded on request. All peers
// that need a snapshot share it.
type snapshotSource struct {
	snapshot *state.Snapshot
	keys     []state.RecordKey
	// chunkStarts are the indexes in keys of the first records of the chunks encoded so far
	// and of the next one; chunkDigests are the digests of all chunks before each of them.
	chunkStarts  []int
	chunkDigests []digest
	usedAt       time.Duration
}

// digest is a running hash of the snapshot's position and its chunks so far.
type digest [sha256.Size]byte

func digestOf(position state.LogPosition) digest { return sha256.Sum256(machine.MustJSON(position)) }

func (d digest) extend(chunk []byte) digest {
	sum := sha256.New()
	sum.Write(d[:])
	sum.Write(chunk)
	return digest(sum.Sum(nil))
}

func (d digest) String() string { return hex.EncodeToString(d[:]) }

func newSnapshotSource(store *state.Store) *snapshotSource {
	snapshot := store.Snapshot()
	return &snapshotSource{
		snapshot: snapshot, keys: snapshot.Keys(),
		chunkStarts: []int{0}, chunkDigests: []digest{digestOf(snapshot.Position())},
	}
}

func (s *snapshotSource) position() state.LogPosition { return s.snapshot.Position() }

// hasChunk reports whether a chunk can be encoded, that is whether all chunks before it were.
func (s *snapshotSource) hasChunk(index int) bool { return index >= 0 && index < len(s.chunkStarts) }

// encodeChunk encodes one chunk. All earlier chunks must have been encoded already.
func (s *snapshotSource) encodeChunk(index int) (records json.RawMessage, last bool) {
	next := s.chunkStarts[index]
	out := bytes.NewBufferString("[")
	for ; next < len(s.keys); next++ {
		record := machine.MustJSON(s.snapshot.Record(s.keys[next]))
		if out.Len() > 1 && out.Len()+len(record) > maxChunkBytes {
			break
		}
		if out.Len() > 1 {
			out.WriteByte(',')
		}
		out.Write(record)
	}
	out.WriteByte(']')
	if index == len(s.chunkStarts)-1 {
		s.chunkStarts = append(s.chunkStarts, next)
		s.chunkDigests = append(s.chunkDigests, s.chunkDigests[index].extend(out.Bytes()))
	}
	return out.Bytes(), next == len(s.keys)
}

// startTransfer starts the transfer of a snapshot to a peer unless maxTransfers are active.
func (r *Replica) startTransfer(now time.Duration, to wire.Member, at state.LogPosition, out *machine.Output) {
	if r.peers.activeTransfers(now) >= maxTransfers {
		return
	}
	if r.snapshotSource == nil {
		r.snapshotSource = newSnapshotSource(r.log.store)
	}
	position := r.snapshotSource.position()
	r.peers.of(to.ID).transfer = outgoingTransfer{peerPosition: at, position: position}
	out.Log("snapshot_transfer_started", "to", to.Address, "index", position.Index,
		"records", len(r.snapshotSource.keys))
	r.sendChunk(now, to, 0, out)
}

func (r *Replica) sendChunk(now time.Duration, to wire.Member, index int, out *machine.Output) {
	p := r.peers.of(to.ID)
	records, last := r.snapshotSource.encodeChunk(index)
	body := wire.SnapshotChunk{
		BootID: r.config.BootID, View: *r.view(), From: r.self, SendID: r.replication.nextSendID(),
		ReceiverPosition: p.transfer.peerPosition, Position: p.transfer.position,
		ChunkIndex: index, Records: records, Last: last,
	}
	if last {
		body.Digest = r.snapshotSource.chunkDigests[index+1].String()
		p.resentAt, p.resentSendID, p.sentUpTo = now, body.SendID, p.transfer.position
	}
	out.Send(to.Address, wire.KindSnapshotChunk, body)
	p.transfer.chunk, p.transfer.sentAt = index, now
	r.snapshotSource.usedAt = now
}

// handleChunkRequest sends a peer the requested chunk of its active transfer.
func (r *Replica) handleChunkRequest(now time.Duration, from string, b wire.SnapshotRequest, out *machine.Output) {
	if !r.isForThisBoot(b.BootID, b.Epoch) {
		return
	}
	p := r.peers.of(b.From.ID)
	p.heardAt = now
	source := r.snapshotSource
	if !p.transfer.active(now) || source == nil || b.Position != p.transfer.position || source.position() != b.Position {
		return
	}
	if source.hasChunk(b.ChunkIndex) && !p.transfer.resendsTooSoon(now, b.ChunkIndex) {
		r.sendChunk(now, wire.Member{ID: b.From.ID, Address: from, Zone: b.From.Zone}, b.ChunkIndex, out)
	}
}

// releaseSnapshotSource drops the snapshot if it is no longer requested, or if the log's tail
// no longer reaches back to its position.
func (r *Replica) releaseSnapshotSource(now time.Duration) {
	source := r.snapshotSource
	if source == nil {
		return
	}
	if now-source.usedAt > sourceTTL || !r.log.tail.Contains(source.position()) {
		r.snapshotSource = nil
	}
}

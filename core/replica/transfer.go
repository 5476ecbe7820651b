// The sending side of a transfer of the whole state, in chunks that the peer asks for.

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
	// chunkMax bounds the records of a chunk, unless a single one is larger.
	maxChunkBytes = 64 << 10
	// transfersMax is how many peers are sent the state at a time.
	maxTransfers = 2
	// transferIdle is after how long without a question a transfer is given up.
	transferIdleTimeout = 4 * time.Second
	// chunkAgain is how long a chunk is not sent again.
	chunkResendInterval = 300 * time.Millisecond
	// sourceKept is how long a captured state is kept after it was last asked for.
	sourceTTL = 5 * time.Second
)

// outgoing is a transfer of the state to one peer.
type outgoingTransfer struct {
	peerPosition state.LogPosition // where the peer stood when it began
	position     state.LogPosition // of the state
	chunk        int               // of the last chunk sent
	sentAt       time.Duration
}

func (o outgoingTransfer) active(now time.Duration) bool {
	return o.sentAt > 0 && now-o.sentAt < transferIdleTimeout
}

// source is the state at one position, from which chunks are encoded as they are
// asked for. All peers that need the state share it.
type snapshotSource struct {
	capture *state.Snapshot
	keys    []state.RecordKey
	// starts are the first records of the chunks that were encoded so far and of the
	// next one; sums are the digests of all chunks before each of them.
	chunkStarts  []int
	chunkDigests []digest
	usedAt       time.Duration
}

// digest is of a position and the chunks so far.
type digest [sha256.Size]byte

func digestOf(at state.LogPosition) digest { return sha256.Sum256(machine.MustJSON(at)) }

func (d digest) extend(chunk []byte) digest {
	sum := sha256.New()
	sum.Write(d[:])
	sum.Write(chunk)
	return digest(sum.Sum(nil))
}

func (d digest) String() string { return hex.EncodeToString(d[:]) }

func newSnapshotSource(store *state.Store) *snapshotSource {
	capture := store.Snapshot()
	return &snapshotSource{
		capture: capture, keys: capture.Keys(), chunkStarts: []int{0}, chunkDigests: []digest{digestOf(capture.Position())},
	}
}

// chunk encodes one chunk; those before it must have been encoded before.
func (s *snapshotSource) encodeChunk(index int) (records json.RawMessage, last bool) {
	next := s.chunkStarts[index]
	out := bytes.NewBufferString("[")
	for ; next < len(s.keys); next++ {
		record := machine.MustJSON(s.capture.Record(s.keys[next]))
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

// beginTransfer starts the transfer of the state to a peer, unless as many are under way as may.
func (r *Replica) startTransfer(now time.Duration, to wire.Member, at state.LogPosition, out *machine.Output) {
	active := 0
	for _, p := range r.peers {
		if p.transfer.active(now) {
			active++
		}
	}
	if active >= maxTransfers {
		return
	}
	if r.source == nil {
		r.source = newSnapshotSource(r.store)
	}
	p := r.peers[to.ID]
	p.transfer = outgoingTransfer{peerPosition: at, position: r.source.capture.Position()}
	r.peers[to.ID] = p
	out.Log("snapshot_begun", "to", to.Address, "sequence", p.transfer.position.Index, "records", len(r.source.keys))
	r.sendChunk(now, to, 0, out)
}

func (r *Replica) sendChunk(now time.Duration, to wire.Member, index int, out *machine.Output) {
	p := r.peers[to.ID]
	records, last := r.source.encodeChunk(index)
	r.lastSendID++
	body := wire.SnapshotChunk{
		BootID: r.config.BootID, View: r.acceptor.KnownView, From: r.self, SendID: r.lastSendID,
		ReceiverPosition: p.transfer.peerPosition, Position: p.transfer.position, ChunkIndex: index, Records: records, Last: last,
	}
	if last {
		body.Digest = r.source.chunkDigests[index+1].String()
		p.resentAt, p.resentSendID, p.sentUpTo = now, r.lastSendID, p.transfer.position
	}
	out.Send(to.Address, wire.KindSnapshotChunk, body)
	p.transfer.chunk, p.transfer.sentAt = index, now
	r.peers[to.ID] = p
	r.source.usedAt = now
}

// asks sends a peer the chunk that it asks for.
func (r *Replica) handleChunkRequest(now time.Duration, from string, b wire.SnapshotRequest, out *machine.Output) {
	if b.BootID != r.config.BootID || b.Epoch != r.acceptor.KnownView.Epoch || !r.isPrimary() && !r.isBackup() {
		return
	}
	p := r.peers[b.From.ID]
	p.heardAt = now
	r.peers[b.From.ID] = p
	sent := p.transfer
	if !sent.active(now) || r.source == nil || b.Position != sent.position || r.source.capture.Position() != b.Position {
		return
	}
	doubled := b.ChunkIndex == sent.chunk && now-sent.sentAt < chunkResendInterval
	if b.ChunkIndex >= 0 && b.ChunkIndex < len(r.source.chunkStarts) && !doubled {
		r.sendChunk(now, wire.Member{ID: b.From.ID, Address: from, Zone: b.From.Zone}, b.ChunkIndex, out)
	}
}

// dropSource lets go of a state that nobody asks for, or that the tail has left behind.
func (r *Replica) releaseSource(now time.Duration) {
	if r.source == nil {
		return
	}
	if now-r.source.usedAt > sourceTTL || !r.logTail.Contains(r.source.capture.Position()) {
		r.source = nil
	}
}

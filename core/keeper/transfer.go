package keeper

import (
	"bytes"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"time"

	"sorrelloom/core/ledger"
	"sorrelloom/core/machine"
	"sorrelloom/core/wire"
)

const (
	// chunkMax bounds the records of a chunk, unless a single one is larger.
	chunkMax = 64 << 10
	// transfersMax is how many peers are sent the state at a time.
	transfersMax = 2
	// transferIdle is after how long without a question a transfer is given up.
	transferIdle = 4 * time.Second
	// chunkAgain is how long a chunk is not sent again.
	chunkAgain = 300 * time.Millisecond
	// sourceKept is how long a captured state is kept after it was last asked for.
	sourceKept = 5 * time.Second
)

// outgoing is a transfer of the state to one peer.
type outgoing struct {
	peerAt ledger.Position // where the peer stood when it began
	at     ledger.Position // of the state
	index  int             // of the last chunk sent
	sentAt time.Duration
}

func (o outgoing) active(now time.Duration) bool {
	return o.sentAt > 0 && now-o.sentAt < transferIdle
}

// source is the state at one position, from which chunks are encoded as they are
// asked for. All peers that need the state share it.
type source struct {
	capture *ledger.Capture
	keys    []ledger.Key
	// starts are the first records of the chunks that were encoded so far and of the
	// next one; sums are the digests of all chunks before each of them.
	starts []int
	sums   []digest
	usedAt time.Duration
}

// digest is of a position and the chunks so far.
type digest [sha256.Size]byte

func digestOf(at ledger.Position) digest { return sha256.Sum256(machine.MustJSON(at)) }

func (d digest) with(chunk []byte) digest {
	sum := sha256.New()
	sum.Write(d[:])
	sum.Write(chunk)
	return digest(sum.Sum(nil))
}

func (d digest) String() string { return hex.EncodeToString(d[:]) }

func newSource(l *ledger.Ledger) *source {
	capture := l.Capture()
	return &source{
		capture: capture, keys: capture.Keys(), starts: []int{0}, sums: []digest{digestOf(capture.Position())},
	}
}

// chunk encodes one chunk; those before it must have been encoded before.
func (s *source) chunk(index int) (records json.RawMessage, last bool) {
	next := s.starts[index]
	out := bytes.NewBufferString("[")
	for ; next < len(s.keys); next++ {
		record := machine.MustJSON(s.capture.Record(s.keys[next]))
		if out.Len() > 1 && out.Len()+len(record) > chunkMax {
			break
		}
		if out.Len() > 1 {
			out.WriteByte(',')
		}
		out.Write(record)
	}
	out.WriteByte(']')
	if index == len(s.starts)-1 {
		s.starts = append(s.starts, next)
		s.sums = append(s.sums, s.sums[index].with(out.Bytes()))
	}
	return out.Bytes(), next == len(s.keys)
}

// begin starts the transfer of the state to a peer, unless as many are under way as may.
func (k *Keeper) begin(now time.Duration, to wire.Seat, at ledger.Position, out *machine.Output) {
	active := 0
	for _, p := range k.peers {
		if p.transfer.active(now) {
			active++
		}
	}
	if active >= transfersMax {
		return
	}
	if k.source == nil {
		k.source = newSource(k.ledger)
	}
	p := k.peers[to.ID]
	p.transfer = outgoing{peerAt: at, at: k.source.capture.Position()}
	k.peers[to.ID] = p
	out.Log("snapshot_begun", "to", to.Address, "sequence", p.transfer.at.Sequence, "records", len(k.source.keys))
	k.sendChunk(now, to, 0, out)
}

func (k *Keeper) sendChunk(now time.Duration, to wire.Seat, index int, out *machine.Output) {
	p := k.peers[to.ID]
	records, last := k.source.chunk(index)
	k.token++
	body := wire.SnapshotBody{
		Boot: k.env.Boot, View: k.witness.Known, From: k.seat, Token: k.token,
		For: p.transfer.peerAt, At: p.transfer.at, Index: index, Records: records, Last: last,
	}
	if last {
		body.Digest = k.source.sums[index+1].String()
		p.resentAt, p.resentToken, p.next = now, k.token, p.transfer.at
	}
	out.Send(to.Address, wire.Snapshot, body)
	p.transfer.index, p.transfer.sentAt = index, now
	k.peers[to.ID] = p
	k.source.usedAt = now
}

// asks sends a peer the chunk that it asks for.
func (k *Keeper) asks(now time.Duration, from string, b wire.SnapshotAskBody, out *machine.Output) {
	if b.Boot != k.env.Boot || b.Epoch != k.witness.Known.Epoch || !k.leads() && !k.backs() {
		return
	}
	p := k.peers[b.From.ID]
	p.heardAt = now
	k.peers[b.From.ID] = p
	sent := p.transfer
	if !sent.active(now) || k.source == nil || b.At != sent.at || k.source.capture.Position() != b.At {
		return
	}
	doubled := b.Index == sent.index && now-sent.sentAt < chunkAgain
	if b.Index >= 0 && b.Index < len(k.source.starts) && !doubled {
		k.sendChunk(now, wire.Seat{ID: b.From.ID, Address: from, Site: b.From.Site}, b.Index, out)
	}
}

// dropSource lets go of a state that nobody asks for, or that the tail has left behind.
func (k *Keeper) dropSource(now time.Duration) {
	if k.source == nil {
		return
	}
	if now-k.source.usedAt > sourceKept || !k.tail.Holds(k.source.capture.Position()) {
		k.source = nil
	}
}

// Replication in windows: what the leader sends to each peer, and what a peer makes
// of it.

package replica

import (
	"encoding/json"
	"slices"
	"time"

	"sorrelloom/core/machine"
	"sorrelloom/core/paxos"
	"sorrelloom/core/state"
	"sorrelloom/core/wire"
)

// A peer is sent no more than this beyond what it has acked.
const (
	maxWindowCommands = 512
	maxWindowBytes    = 256 << 10
)

// replicateNew sends the new commands to all peers that keep up, as one body, and a
// heartbeat to the others.
func (r *Replica) broadcastNew(now time.Duration, out *machine.Output) {
	if !r.hearsMajority(now) {
		return
	}
	position := r.store.Position()
	waits := len(r.pendingReplies) > 0 && r.pendingReplies[len(r.pendingReplies)-1].sendID > r.lastSendID
	if position == r.broadcastEnd && !waits && now-r.broadcastAt < heartbeatInterval {
		return
	}
	commands, _ := r.logTail.CommandsAfter(r.broadcastEnd)
	r.lastSendID++
	r.broadcastAt = now
	var receivers []string
	for _, seat := range r.acceptor.KnownView.Voters {
		if seat.ID == r.self.ID {
			continue
		}
		p := r.peers[seat.ID]
		if p.sentUpTo == r.broadcastEnd && r.logTail.Within(p.windowStart, p.sentUpTo, maxWindowCommands, maxWindowBytes) {
			receivers = append(receivers, seat.Address)
			p.sentUpTo = position
			r.peers[seat.ID] = p
		} else if now-p.probedAt >= heartbeatInterval || waits && paxos.ContainsMember(r.acceptor.KnownView.Backups, seat.ID) {
			r.sendProbe(now, seat, out)
		}
	}
	out.Broadcast(receivers, wire.KindReplicate, r.replicateBody(r.broadcastEnd, commands))
	r.broadcastEnd = position
}

func (r *Replica) replicateBody(after state.LogPosition, commands []json.RawMessage) wire.ReplicateRequest {
	return wire.ReplicateRequest{
		BootID: r.config.BootID, View: r.acceptor.KnownView, From: r.self, SendID: r.lastSendID, Previous: after, Commands: commands,
	}
}

// beat sends a line without commands: whether the peer is where the lines to it end.
func (r *Replica) sendProbe(now time.Duration, to wire.Member, out *machine.Output) {
	p := r.peers[to.ID]
	p.probedAt = now
	r.peers[to.ID] = p
	after := p.sentUpTo
	if after == (state.LogPosition{}) {
		after = r.catchUpLimit()
	}
	out.Send(to.Address, wire.KindReplicate, r.replicateBody(after, nil))
}

// limit is how far peers may be brought one by one: what comes after it goes to all
// in a moment.
func (r *Replica) catchUpLimit() state.LogPosition {
	if r.serving {
		return r.broadcastEnd
	}
	return r.store.Position()
}

// sync asks a peer how far it is; its acks bring on what it lacks.
func (r *Replica) probe(now time.Duration, to wire.Member, out *machine.Output) {
	if to.ID == "" || now-r.peers[to.ID].probedAt < heartbeatInterval {
		return
	}
	r.lastSendID++
	r.sendProbe(now, to, out)
}

// acked hears how far a peer has come.
func (r *Replica) handleAck(now time.Duration, from string, b wire.ReplicateAck, out *machine.Output) {
	r.adoptView(now, b.KnownView, out)
	if b.BootID != r.config.BootID || b.Epoch != r.acceptor.KnownView.Epoch || !r.isPrimary() && !r.isBackup() {
		return
	}
	p := r.peers[b.From.ID]
	p.heardAt = now
	r.peers[b.From.ID] = p
	if b.OK {
		r.handleAccepted(now, b, out)
	} else {
		r.handleRejected(now, from, b, out)
	}
}

// confirmed takes the word of a peer that has synced all up to a position, and goes on
// from there if all that was sent to it has come.
func (r *Replica) handleAccepted(now time.Duration, b wire.ReplicateAck, out *machine.Output) {
	p := r.peers[b.From.ID]
	p.candidate, p.stopping = p.candidate || b.Candidate, b.Leaving
	if !b.Candidate {
		p.ackedSendID = max(p.ackedSendID, b.SendID)
	}
	if !p.replicating || b.Position.Index >= p.match.Index {
		p.match = b.Position
	}
	p.replicating, p.windowStart = true, p.match
	if p.sentUpTo.Index < p.match.Index {
		p.sentUpTo = p.match
	}
	if p.match.Index >= p.transfer.position.Index {
		p.transfer = outgoingTransfer{}
	}
	r.peers[b.From.ID] = p
	if p.sentUpTo != p.match || p.sentUpTo == r.catchUpLimit() || p.transfer.active(now) {
		return
	}
	if r.logTail.Contains(p.sentUpTo) {
		r.sendWindow(now, b.From, out)
	} else {
		r.startTransfer(now, b.From, p.match, out)
	}
}

// feed sends a peer the next window.
func (r *Replica) sendWindow(now time.Duration, to wire.Member, out *machine.Output) {
	p := r.peers[to.ID]
	commands, end, ok := r.logTail.Window(p.sentUpTo, r.catchUpLimit(), maxWindowCommands, maxWindowBytes)
	if !ok {
		return
	}
	r.lastSendID++
	out.Send(to.Address, wire.KindReplicate, r.replicateBody(p.sentUpTo, commands))
	p.sentUpTo, p.probedAt = end, now
	r.peers[to.ID] = p
}

// refused brings on a peer that is not where a line to it began.
func (r *Replica) handleRejected(now time.Duration, from string, b wire.ReplicateAck, out *machine.Output) {
	p := r.peers[b.From.ID]
	if p.replicating && b.SendID <= p.ackedSendID {
		return
	}
	p.replicating = false
	r.peers[b.From.ID] = p
	before := b.SendID < p.resentSendID && now-p.resentAt < resendTimeout
	if before || p.transfer.active(now) {
		// It answers what was sent before the line, or the snapshot, that is on its way.
		return
	}
	seat := wire.Member{ID: b.From.ID, Address: from, Zone: b.From.Zone}
	r.lastSendID++
	p.windowStart, p.resentAt, p.resentSendID, p.probedAt = b.Position, now, r.lastSendID, now
	r.peers[b.From.ID] = p
	switch common, ok := r.logTail.LastPossiblyCommon(b.Position); {
	case r.logTail.Contains(b.Position):
		r.restartAt(seat, b.Position, state.LogPosition{}, out)
	case ok && !b.NeedsSnapshot:
		r.restartAt(seat, common, b.Position, out)
	default:
		r.startTransfer(now, seat, b.Position, out)
	}
}

// resend sends a peer the first window after a position of this history. Where it
// stands in another one, it is to go back to that position first.
func (r *Replica) restartAt(to wire.Member, after, diverged state.LogPosition, out *machine.Output) {
	limit := r.catchUpLimit()
	if after.Index > limit.Index {
		limit = after
	}
	commands, end, ok := r.logTail.Window(after, limit, maxWindowCommands, maxWindowBytes)
	if !ok {
		return
	}
	body := r.replicateBody(after, commands)
	body.DivergedAt = diverged
	out.Send(to.Address, wire.KindReplicate, body)
	p := r.peers[to.ID]
	p.sentUpTo = end
	r.peers[to.ID] = p
}

// replicate follows a member of the known view, and acks once all is synced.
func (r *Replica) handleReplicate(now time.Duration, from string, b wire.ReplicateRequest, out *machine.Output) {
	if r.rejectStaleSender(now, from, b.View, b.From, b.BootID, b.SendID, out) {
		return
	}
	commands, err := decodeCommands(b.Commands)
	if err != nil {
		out.Log("line_damaged", "kind", wire.KindReplicate, "from", from, "why", err.Error())
		return
	}
	whole := false
	if b.DivergedAt != (state.LogPosition{}) && b.DivergedAt == r.store.Position() {
		whole = !r.rewind(b.Previous)
		out.Log("rewound", "from", b.DivergedAt.Index, "to", r.store.Position().Index)
	}
	position := r.store.Position()
	known := func(c state.EncodedCommand) bool { return c.LogPosition == position }
	if i := slices.IndexFunc(commands, known); i >= 0 {
		b.Previous, commands = position, commands[i+1:]
	}
	if b.Previous != position {
		out.Send(from, wire.KindReplicateAck, wire.ReplicateAck{
			BootID: b.BootID, Epoch: b.View.Epoch, From: r.self, SendID: b.SendID, Position: position,
			NeedsSnapshot: whole, KnownView: r.acceptor.KnownView,
		})
		return
	}
	for _, cmd := range commands {
		r.applyEncoded(cmd)
	}
	r.queueAck(from, b.BootID, b.View.Epoch, b.SendID)
}

func decodeCommands(encoded []json.RawMessage) ([]state.EncodedCommand, error) {
	out := make([]state.EncodedCommand, 0, len(encoded))
	for _, e := range encoded {
		cmd, err := state.Decode(e)
		if err != nil {
			return nil, err
		}
		out = append(out, cmd)
	}
	return out, nil
}

func (r *Replica) queueAck(to string, boot, epoch, token uint64) {
	at := r.store.Position()
	body := wire.ReplicateAck{
		BootID: boot, Epoch: epoch, From: r.self, SendID: token, Position: at, OK: true,
		Candidate: r.candidateEpoch == epoch, Leaving: r.stopping, KnownView: r.acceptor.KnownView,
	}
	r.pendingAcks = append(r.pendingAcks, pendingAck{to, body, at.Index})
}

package replica

import (
	"encoding/json"
	"time"

	"sorrelloom/core/machine"
	"sorrelloom/core/paxos"
	"sorrelloom/core/state"
	"sorrelloom/core/wire"
)

// A peer is sent no more than this beyond what it has acknowledged.
const (
	maxWindowCommands = 512
	maxWindowBytes    = 256 << 10
)

// replication is what a replica has sent to its peers together.
type replication struct {
	// lastSendID numbers the messages to peers; acknowledgements repeat it.
	lastSendID uint64
	// broadcastEnd is where the last broadcast ended, broadcastAt when it was sent.
	broadcastEnd state.LogPosition
	broadcastAt  time.Duration
}

// nextSendID numbers the next message.
func (r *replication) nextSendID() uint64 {
	r.lastSendID++
	return r.lastSendID
}

// broadcast sends the new commands to all peers that keep up, as one body, and a probe to
// the others. Without new commands it is a heartbeat.
func (r *Replica) broadcast(now time.Duration, out *machine.Output) {
	if !r.hearsMajority(now) {
		return
	}
	position, end := r.log.position(), r.replication.broadcastEnd
	confirmationDue := r.commands.newestSendID() > r.replication.lastSendID
	if position == end && !confirmationDue && now-r.replication.broadcastAt < heartbeatInterval {
		return
	}
	commands, _ := r.log.tail.CommandsAfter(end)
	r.replication.nextSendID()
	r.replication.broadcastAt = now
	var receivers []string
	for _, member := range r.view().Voters {
		if member.ID == r.self.ID {
			continue
		}
		p := r.peers.of(member.ID)
		if p.sentUpTo == end && r.log.tail.Within(p.windowStart, p.sentUpTo, maxWindowCommands, maxWindowBytes) {
			receivers = append(receivers, member.Address)
			p.sentUpTo = position
			continue
		}
		isBackup := paxos.ContainsMember(r.view().Backups, member.ID)
		if now-p.probedAt >= heartbeatInterval || confirmationDue && isBackup {
			r.sendProbe(now, member, out)
		}
	}
	out.Broadcast(receivers, wire.KindReplicate, r.replicateRequest(end, commands))
	r.replication.broadcastEnd = position
}

func (r *Replica) replicateRequest(previous state.LogPosition, commands []json.RawMessage) wire.ReplicateRequest {
	return wire.ReplicateRequest{
		BootID: r.config.BootID, View: *r.view(), From: r.self, SendID: r.replication.lastSendID,
		Previous: previous, Commands: commands,
	}
}

// probe asks a peer how far it is, at most once a heartbeat interval. Its answer has this
// replica send it what it lacks (handleAck).
func (r *Replica) probe(now time.Duration, to wire.Member, out *machine.Output) {
	if to.ID == "" || now-r.peers.of(to.ID).probedAt < heartbeatInterval {
		return
	}
	r.replication.nextSendID()
	r.sendProbe(now, to, out)
}

// sendProbe sends a message without commands: it asks whether the peer has what was sent
// to it before.
func (r *Replica) sendProbe(now time.Duration, to wire.Member, out *machine.Output) {
	p := r.peers.of(to.ID)
	p.probedAt = now
	previous := p.sentUpTo
	if previous == (state.LogPosition{}) {
		previous = r.catchUpLimit()
	}
	out.Send(to.Address, wire.KindReplicate, r.replicateRequest(previous, nil))
}

// catchUpLimit is up to where peers are sent commands one by one: what comes after it
// goes to all of them with the next broadcast.
func (r *Replica) catchUpLimit() state.LogPosition {
	if r.leadership.serving {
		return r.replication.broadcastEnd
	}
	return r.log.position()
}

// handleAck takes note of how far a peer has come.
func (r *Replica) handleAck(now time.Duration, from string, b wire.ReplicateAck, out *machine.Output) {
	r.adoptView(now, b.KnownView, out)
	if !r.isForThisBoot(b.BootID, b.Epoch) {
		return
	}
	r.peers.of(b.From.ID).heardAt = now
	if b.OK {
		r.handleAccepted(now, b, out)
	} else {
		r.handleRejected(now, from, b, out)
	}
}

// isForThisBoot says whether a reply is to a message that this process sent in the current
// epoch, and that it still replicates its log.
func (r *Replica) isForThisBoot(bootID, epoch uint64) bool {
	return bootID == r.config.BootID && epoch == r.view().Epoch && (r.isPrimary() || r.isBackup())
}

// handleAccepted takes the word of a peer that has synced all up to a position, and goes
// on from there if all that was sent to it has arrived.
func (r *Replica) handleAccepted(now time.Duration, b wire.ReplicateAck, out *machine.Output) {
	p := r.peers.of(b.From.ID)
	p.candidate, p.stopping = p.candidate || b.Candidate, b.Leaving
	if !b.Candidate {
		p.ackedSendID = max(p.ackedSendID, b.SendID)
	}
	p.acknowledge(b.Position)
	if p.sentUpTo != p.match || p.sentUpTo == r.catchUpLimit() || p.transfer.active(now) {
		return
	}
	if r.log.tail.Contains(p.sentUpTo) {
		r.sendWindow(now, b.From, out)
	} else {
		r.startTransfer(now, b.From, p.match, out)
	}
}

// sendWindow sends a peer the next window of commands.
func (r *Replica) sendWindow(now time.Duration, to wire.Member, out *machine.Output) {
	p := r.peers.of(to.ID)
	commands, end, ok := r.log.tail.Window(p.sentUpTo, r.catchUpLimit(), maxWindowCommands, maxWindowBytes)
	if !ok {
		return
	}
	r.replication.nextSendID()
	out.Send(to.Address, wire.KindReplicate, r.replicateRequest(p.sentUpTo, commands))
	p.sentUpTo, p.probedAt = end, now
}

// handleRejected restarts replication to a peer that is not where a message to it began.
func (r *Replica) handleRejected(now time.Duration, from string, b wire.ReplicateAck, out *machine.Output) {
	p := r.peers.of(b.From.ID)
	if p.replicating && b.SendID <= p.ackedSendID {
		return
	}
	p.replicating = false
	if p.answersOlder(now, b.SendID) || p.transfer.active(now) {
		// What the peer lacks, or the snapshot, is on its way already.
		return
	}
	to := wire.Member{ID: b.From.ID, Address: from, Zone: b.From.Zone}
	p.restart(now, b.Position, r.replication.nextSendID())
	switch common, ok := r.log.tail.LastPossiblyCommon(b.Position); {
	case r.log.tail.Contains(b.Position):
		r.restartAt(to, b.Position, state.LogPosition{}, out)
	case ok && !b.NeedsSnapshot:
		r.restartAt(to, common, b.Position, out)
	default:
		r.startTransfer(now, to, b.Position, out)
	}
}

// restartAt sends a peer the first window after the position previous of this history. If
// the peer's own history diverged before it reached divergedAt, where it is now, it is to
// rewind to previous first.
func (r *Replica) restartAt(to wire.Member, previous, divergedAt state.LogPosition, out *machine.Output) {
	limit := r.catchUpLimit()
	if previous.Index > limit.Index {
		limit = previous
	}
	commands, end, ok := r.log.tail.Window(previous, limit, maxWindowCommands, maxWindowBytes)
	if !ok {
		return
	}
	body := r.replicateRequest(previous, commands)
	body.DivergedAt = divergedAt
	out.Send(to.Address, wire.KindReplicate, body)
	r.peers.of(to.ID).sentUpTo = end
}

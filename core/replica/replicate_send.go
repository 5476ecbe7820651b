package replica

import (
	"encoding/json"
	"time"

	"sorrelloom/core/machine"
	"sorrelloom/core/paxos"
	"sorrelloom/core/state"
	"sorrelloom/core/wire"
)

// Bounds of a window: the commands sent to a peer that it has not acknowledged yet.
const (
	maxWindowCommands = 512
	maxWindowBytes    = 256 << 10
)

// replication is the state of broadcasts to groups of peers.
type replication struct {
	// lastSendID is the number of the last message to a peer; acknowledgements echo it.
	lastSendID uint64
	// backups and standbys are the broadcasts to the backups, whose disks a commit requires,
	// and to the other voters, which get the same commands in larger batches.
	backups, standbys broadcastState
	// Until promptUntil the standbys get commands as soon as the backups do, since one of
	// them is to become a backup.
	promptUntil time.Duration
}

// broadcastState records the end position and the time of the last broadcast to a group of
// peers.
type broadcastState struct {
	end    state.LogPosition
	sentAt time.Duration
}

// startAt makes broadcasts continue from a position.
func (r *replication) startAt(position state.LogPosition) {
	r.backups.end, r.standbys.end = position, position
}

// nextSendID assigns the number of the next message.
func (r *replication) nextSendID() uint64 {
	r.lastSendID++
	return r.lastSendID
}

// replicatePromptly makes the standbys get commands as soon as the backups do for the length
// of a suspect timeout.
func (r *replication) replicatePromptly(now time.Duration) { r.promptUntil = now + suspectTimeout }

// broadcast sends the new commands to the backups and, when due, to the standbys. Without new
// commands the message is a heartbeat. A primary that hears no majority sends nothing.
func (r *Replica) broadcast(now time.Duration, out *machine.Output) {
	if !r.hearsMajority(now) {
		return
	}
	backups, standbys := &r.replication.backups, &r.replication.standbys
	position := r.log.position()
	confirmationDue := r.commands.newestSendID() > r.replication.lastSendID
	if position != backups.end || confirmationDue || now-backups.sentAt >= heartbeatInterval {
		r.broadcastTo(now, r.view().Backups, backups, confirmationDue, out)
	}
	if interval := r.standbyInterval(now); now-standbys.sentAt >= interval && position != standbys.end ||
		now-standbys.sentAt >= heartbeatInterval {
		r.broadcastTo(now, r.standbyMembers(), standbys, false, out)
	} else if position != standbys.end {
		r.nextTimer = min(r.nextTimer, standbys.sentAt+interval)
	}
}

// standbyInterval returns how long commands for the standbys are batched.
func (r *Replica) standbyInterval(now time.Duration) time.Duration {
	if now < r.replication.promptUntil {
		return 0
	}
	return standbyBatchInterval
}

// standbyMembers returns the voters that are neither this replica nor a backup.
func (r *Replica) standbyMembers() []wire.Member {
	var members []wire.Member
	for _, member := range r.view().Voters {
		if member.ID != r.self.ID && !paxos.ContainsMember(r.view().Backups, member.ID) {
			members = append(members, member)
		}
	}
	return members
}

// broadcastTo sends the new commands as one body to all members of a group that keep up, and a
// probe to each of the others.
func (r *Replica) broadcastTo(
	now time.Duration, members []wire.Member, last *broadcastState, confirmationDue bool, out *machine.Output,
) {
	position, end := r.log.position(), last.end
	last.end, last.sentAt = position, now
	commands, known := r.log.tail.CommandsAfter(end)
	r.replication.nextSendID()
	var receivers []string
	for _, member := range members {
		p := r.peers.of(member.ID)
		keepsUp := p.sentUpTo == end && r.log.tail.Within(p.windowStart, p.sentUpTo, maxWindowCommands, maxWindowBytes)
		if known && keepsUp {
			receivers = append(receivers, member.Address)
			p.sentUpTo = position
		} else if now-p.probedAt >= heartbeatInterval || confirmationDue {
			r.sendProbe(now, member, out)
		}
	}
	if len(receivers) > 0 {
		out.Broadcast(receivers, wire.KindReplicate, r.replicateRequest(end, commands))
	}
}

func (r *Replica) replicateRequest(previous state.LogPosition, commands []json.RawMessage) wire.ReplicateRequest {
	return wire.ReplicateRequest{
		BootID: r.config.BootID, View: *r.view(), From: r.self, SendID: r.replication.lastSendID,
		Previous: previous, Commands: commands,
	}
}

// probe asks a peer for its position, at most once per heartbeat interval. On its reply this
// replica sends the commands that it lacks (handleAck).
func (r *Replica) probe(now time.Duration, to wire.Member, out *machine.Output) {
	if to.ID == "" || now-r.peers.of(to.ID).probedAt < heartbeatInterval {
		return
	}
	r.replication.nextSendID()
	r.sendProbe(now, to, out)
}

// sendProbe sends a message without commands, which asks whether the peer has everything that
// was sent to it before.
func (r *Replica) sendProbe(now time.Duration, to wire.Member, out *machine.Output) {
	p := r.peers.of(to.ID)
	p.probedAt = now
	previous := p.sentUpTo
	if previous == (state.LogPosition{}) {
		previous = r.catchUpLimit(to.ID)
	}
	out.Send(to.Address, wire.KindReplicate, r.replicateRequest(previous, nil))
}

// catchUpLimit returns the position up to which commands are sent to a single peer. Later ones
// are sent to all peers of its group with the next broadcast.
func (r *Replica) catchUpLimit(peer string) state.LogPosition {
	switch {
	case !r.leadership.serving:
		return r.log.position()
	case paxos.ContainsMember(r.view().Backups, peer):
		return r.replication.backups.end
	}
	return r.replication.standbys.end
}

// handleAck records a peer's progress from its acknowledgement or rejection, and sends it what
// it lacks.
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

// isForThisBoot reports whether a reply is to a message that this process sent in the current
// epoch, and whether this replica may still replicate its log as primary or backup.
func (r *Replica) isForThisBoot(bootID, epoch uint64) bool {
	return bootID == r.config.BootID && epoch == r.view().Epoch && (r.isPrimary() || r.isBackup())
}

// handleAccepted records that a peer has synced everything up to a position. If everything
// sent to it has arrived, it sends the next window, or a snapshot if the log's tail does not
// reach back to the peer's position.
func (r *Replica) handleAccepted(now time.Duration, b wire.ReplicateAck, out *machine.Output) {
	p := r.peers.of(b.From.ID)
	p.candidate, p.stopping = p.candidate || b.Candidate, b.Leaving
	if !b.Candidate {
		p.ackedSendID = max(p.ackedSendID, b.SendID)
	}
	p.acknowledge(b.Position)
	if p.sentUpTo != p.match || p.sentUpTo == r.catchUpLimit(b.From.ID) || p.transfer.active(now) {
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
	commands, end, ok := r.log.tail.Window(p.sentUpTo, r.catchUpLimit(to.ID), maxWindowCommands, maxWindowBytes)
	if !ok {
		return
	}
	r.replication.nextSendID()
	out.Send(to.Address, wire.KindReplicate, r.replicateRequest(p.sentUpTo, commands))
	p.sentUpTo, p.probedAt = end, now
}

// handleRejected restarts replication to a peer that is not at the position where a message
// began.
func (r *Replica) handleRejected(now time.Duration, from string, b wire.ReplicateAck, out *machine.Output) {
	p := r.peers.of(b.From.ID)
	if p.replicating && b.SendID <= p.ackedSendID {
		return
	}
	p.replicating = false
	if p.answersOlder(now, b.SendID) || p.transfer.active(now) {
		// The commands that the peer lacks, or a snapshot, are already in flight.
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

// restartAt sends a peer the first window after previous, a position in this log's history. A
// peer whose history has diverged first rewinds to previous; divergedAt is then its current
// position, and otherwise empty.
func (r *Replica) restartAt(to wire.Member, previous, divergedAt state.LogPosition, out *machine.Output) {
	limit := r.catchUpLimit(to.ID)
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

package replica

import (
	"slices"
	"time"

	"sorrelloom/core/machine"
	"sorrelloom/core/paxos"
	"sorrelloom/core/state"
	"sorrelloom/core/wire"
)

// handleReplicate appends the commands of the primary or of a candidate, and acknowledges
// them once they are synced. If the message does not continue this log, the rejection tells
// the sender this replica's position.
func (r *Replica) handleReplicate(now time.Duration, from string, b wire.ReplicateRequest, out *machine.Output) {
	if r.rejectStaleSender(now, from, b.View, b.From, b.BootID, b.SendID, out) {
		return
	}
	commands, err := decodeCommands(b.Commands)
	if err != nil {
		out.Warn("message_malformed", "kind", wire.KindReplicate, "from", from, "error", err.Error())
		return
	}
	needsSnapshot := false
	if b.DivergedAt != (state.LogPosition{}) && b.DivergedAt == r.log.position() {
		needsSnapshot = !r.rewind(b.Previous)
		out.Log("log_rewound", "from", b.DivergedAt.Index, "to", r.log.position().Index)
	}
	position := r.log.position()
	previous, commands := skipKnown(b.Previous, commands, position)
	if previous != position {
		out.Send(from, wire.KindReplicateAck, wire.ReplicateAck{
			BootID: b.BootID, Epoch: b.View.Epoch, From: r.self, SendID: b.SendID, Position: position,
			NeedsSnapshot: needsSnapshot, KnownView: *r.view(),
		})
		return
	}
	for _, cmd := range commands {
		r.appendCommand(cmd)
	}
	r.queueAck(from, b.BootID, b.View.Epoch, b.SendID)
}

// skipKnown drops the commands up to a position if one of them is at it; the position is then
// the new previous one.
func skipKnown(
	previous state.LogPosition, commands []state.EncodedCommand, position state.LogPosition,
) (state.LogPosition, []state.EncodedCommand) {
	atPosition := func(cmd state.EncodedCommand) bool { return cmd.LogPosition == position }
	if i := slices.IndexFunc(commands, atPosition); i >= 0 {
		return position, commands[i+1:]
	}
	return previous, commands
}

// rejectStaleSender rejects messages from an old epoch and from senders that are neither the
// primary nor a backup of the known view, and reports whether it did. The primary of the known
// view accepts no other log: only the primary extends the history of its epoch.
func (r *Replica) rejectStaleSender(
	now time.Duration, from string, view wire.View, sender wire.Member, bootID, sendID uint64, out *machine.Output,
) bool {
	r.adoptView(now, view, out)
	known := r.view()
	mayLead := sender.ID == known.Primary.ID || paxos.ContainsMember(known.Backups, sender.ID) && !r.isPrimary()
	if view.Epoch == known.Epoch && mayLead && sender.ID != r.self.ID && !(r.isPrimary() && r.leadership.serving) {
		r.peers.of(sender.ID).heardAt = now
		return false
	}
	out.Send(from, wire.KindReplicateAck, wire.ReplicateAck{
		BootID: bootID, Epoch: view.Epoch, From: r.self, SendID: sendID,
		Position: r.log.position(), KnownView: *known,
	})
	return true
}

// queueAck queues an acknowledgement of everything up to the current position, to be sent
// once that is synced.
func (r *Replica) queueAck(to string, bootID, epoch, sendID uint64) {
	position := r.log.position()
	body := wire.ReplicateAck{
		BootID: bootID, Epoch: epoch, From: r.self, SendID: sendID, Position: position, OK: true,
		Candidate: r.election.candidateEpoch == epoch, Leaving: r.stopping,
	}
	r.acks = append(r.acks, pendingAck{to, body, position.Index})
}

// rewind undoes the commands after a position, and reports whether the log reaches back that
// far. These commands were never committed: the sender has every committed command, but not
// these.
func (r *Replica) rewind(to state.LogPosition) bool {
	dropped, ok := r.log.rewind(to)
	if !ok {
		return false
	}
	r.disk.truncate(dropped, to)
	r.audit.truncate(to.Index)
	r.logReplaced()
	return true
}

// logReplaced drops everything that depends on the log as it was before.
func (r *Replica) logReplaced() {
	r.acks, r.snapshotSource = nil, nil
	r.replication.startAt(r.log.position())
	r.peers.forgetPositions()
}

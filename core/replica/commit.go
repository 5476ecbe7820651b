package replica

import (
	"math"
	"slices"
	"time"

	"sorrelloom/core/machine"
	"sorrelloom/core/state"
	"sorrelloom/core/wire"
)

// maxAuditEntries is how many audit entries a replica that does not serve keeps. It drops
// the older ones once it has more than twice as many.
const maxAuditEntries = 1024

// pendingAck is an acknowledgement to send once index is synced to this replica's disk.
type pendingAck struct {
	to    string
	body  wire.ReplicateAck
	index uint64
}

// commitPoint implements the commit rule. It returns the index of the last command that is
// synced to every disk that a commit requires, and the send ID of the newest message that all
// backups have acknowledged. Replies to reads wait for the latter.
//
// A commit requires the disks of this primary and of all backups of the view, since any of
// them may lead the next view. It also requires the disks of all replicas that were proposed
// as backups of the next view: that view may be decided at any moment, and its disks are then
// the ones guaranteed to hold a committed command. A backup that is itself a candidate counts
// as having synced nothing, since it may have proposed a view whose backups lack newer
// commands.
func (r *Replica) commitPoint() (index, sendID uint64) {
	index, sendID = r.log.syncedIndex, math.MaxUint64
	for _, member := range r.view().Backups {
		p := r.peers.of(member.ID)
		index, sendID = min(index, p.syncedIndex()), min(sendID, p.ackedSendID)
	}
	for _, member := range r.election.proposedBackups {
		index = min(index, r.peers.of(member.ID).syncedIndex())
	}
	return index, sendID
}

// LeadershipConfirmed reports whether this replica serves and all its backups have replied
// within the suspect timeout. Replies from only some of them confirm nothing, since any backup may
// lead the next view. Even a confirmed leadership may already have ended; replies to commands
// therefore also wait for commitPoint.
func (r *Replica) LeadershipConfirmed(now time.Duration) bool {
	for _, member := range r.view().Backups {
		if now-r.peers.heardAt(member.ID) >= suspectTimeout {
			return false
		}
	}
	return r.leadership.serving
}

// releaseCommitted sends the acknowledgements whose commands are synced to this disk and, on
// the primary, the replies, audit entries and feed updates whose commands are committed.
func (r *Replica) releaseCommitted(out *machine.Output) {
	r.releaseAcks(out)
	if !r.leadership.serving {
		return
	}
	index, sendID := r.commitPoint()
	r.log.commitIndex = max(r.log.commitIndex, index)
	r.commands.release(r.log.commitIndex, sendID, out)
	r.audit.release(r.log.commitIndex, out)
	r.feed.publish(r.view().Epoch, &r.log, out)
}

// releaseAcks sends the acknowledgements of commands that are synced.
func (r *Replica) releaseAcks(out *machine.Output) {
	var unsynced []pendingAck
	for _, ack := range r.acks {
		if r.identitySynced && ack.index <= r.log.syncedIndex {
			out.Send(ack.to, wire.KindReplicateAck, ack.body)
		} else {
			unsynced = append(unsynced, ack)
		}
	}
	r.acks = unsynced
}

// auditQueue buffers audit entries until their commands are committed.
type auditQueue struct {
	entries []state.AuditEntry
}

// add appends entries. A replica that does not serve releases none and keeps only the newest,
// in case it becomes the primary.
func (q *auditQueue) add(entries []state.AuditEntry, serving bool) {
	q.entries = append(q.entries, entries...)
	if !serving && len(q.entries) > 2*maxAuditEntries {
		q.entries = slices.Clone(q.entries[len(q.entries)-maxAuditEntries:])
	}
}

// release moves the entries up to the commit index to the output.
func (q *auditQueue) release(commitIndex uint64, out *machine.Output) {
	count := 0
	for count < len(q.entries) && q.entries[count].Index <= commitIndex {
		entry := q.entries[count]
		out.AuditEntries = append(out.AuditEntries, machine.AuditEntry{Index: entry.Index, Data: entry})
		count++
	}
	clear(q.entries[:count])
	q.entries = q.entries[count:]
}

// truncate drops the entries after an index.
func (q *auditQueue) truncate(index uint64) {
	for n, entry := range q.entries {
		if entry.Index > index {
			q.entries = q.entries[:n]
			return
		}
	}
}

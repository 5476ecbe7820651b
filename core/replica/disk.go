package replica

import (
	"encoding/json"
	"time"

	"sorrelloom/core/machine"
	"sorrelloom/core/state"
)

// Bucket and keys of the records in which a replica stores data of its own, beside the state
// and the log. The names are part of the on-disk format.
const (
	bucketReplica     = "keeper"
	keyIdentity       = "identity"
	keyAcceptor       = "register"
	keyCandidateEpoch = "stands"
	keyFounders       = "founders"
)

// diskWriter collects changes into batches and has at most one batch in flight to the disk.
type diskWriter struct {
	// The next batch: the replica's own records, how many commands to drop from the end of
	// the log, the commands to append, and whether a snapshot replaces the whole log.
	records       []machine.Record
	truncateCount int
	commands      []json.RawMessage
	replaceLog    bool
	// messages are to be sent once the next batch is synced.
	messages []machine.OutgoingMessage

	// snapshotDue is set once the log on the disk has grown long.
	snapshotDue bool
	// snapshotPosition is the position of the last snapshot written.
	snapshotPosition state.LogPosition

	lastWriteID uint64
	inFlight    inFlightWrite
	startedAt   time.Duration // of the last write
	// loggedSlowID is the last write for which a handover was logged.
	loggedSlowID uint64
	// awaitedSince is when the batch in flight was first checked, on the active clock; slow is
	// set if it had taken too long when last checked.
	awaitedSince time.Duration
	slow         bool
}

// inFlightWrite is a batch that is being written, and what takes effect once it is synced.
type inFlightWrite struct {
	id       uint64 // 0 if there is none
	messages []machine.OutgoingMessage
	// index is the last command, and candidateEpoch the last candidacy, on the disk once the
	// batch is synced.
	index          uint64
	candidateEpoch uint64
	// withSnapshot is set if a snapshot is written after the batch.
	withSnapshot bool
}

// putRecord adds one of the replica's own records to the next batch.
func (d *diskWriter) putRecord(key string, value any) {
	record := machine.Record{Bucket: bucketReplica, Key: key, Value: machine.MustJSON(value)}
	d.records = append(d.records, record)
}

func (d *diskWriter) appendCommand(encoded json.RawMessage) { d.commands = append(d.commands, encoded) }

// sendAfterSync sends a message once all changes made so far are synced.
func (d *diskWriter) sendAfterSync(to, kind string, body any) {
	d.messages = append(d.messages, machine.OutgoingMessage{To: to, Kind: kind, Body: body})
}

// truncate drops the newest count commands, so that the log ends at a position.
func (d *diskWriter) truncate(count int, to state.LogPosition) {
	unwritten := min(count, len(d.commands))
	d.commands = d.commands[:len(d.commands)-unwritten]
	d.truncateCount += count - unwritten
	if to.Index < d.snapshotPosition.Index {
		// The snapshot on the disk is already of a later position.
		d.replaceAll()
	}
	d.lowerSynced(to.Index)
}

// replaceAll makes the next batch replace the snapshot and the log on the disk by a snapshot
// of the state.
func (d *diskWriter) replaceAll() {
	d.truncateCount, d.commands, d.replaceLog = 0, nil, true
}

// lowerSynced limits what the batch in flight confirms to an index: its later commands were
// dropped after the write was issued.
func (d *diskWriter) lowerSynced(index uint64) {
	d.inFlight.index = min(d.inFlight.index, index)
}

// busy reports whether a batch is in flight.
func (d *diskWriter) busy() bool { return d.inFlight.id > 0 }

// watchInFlight checks whether the batch in flight has taken too long, by the active clock.
func (d *diskWriter) watchInFlight(activeTime time.Duration) {
	if !d.busy() || d.awaitedSince == 0 {
		d.awaitedSince = activeTime
	}
	d.slow = d.busy() && activeTime-d.awaitedSince > slowDiskTimeout
}

func (d *diskWriter) nothingToWrite() bool {
	return len(d.records) == 0 && len(d.commands) == 0 && d.truncateCount == 0 && !d.replaceLog
}

// takeMessages returns and removes the messages that wait for the next batch. It is called if
// there is nothing to write.
func (d *diskWriter) takeMessages() []machine.OutgoingMessage {
	messages := d.messages
	d.messages = nil
	return messages
}

// begin returns the next batch, with a snapshot if one is due, and marks it as in flight.
func (d *diskWriter) begin(now time.Duration, store *state.Store, candidateEpoch uint64) machine.Write {
	d.lastWriteID++
	write := machine.Write{
		ID: d.lastWriteID, Records: d.records, TruncateCount: d.truncateCount, Commands: d.commands,
	}
	if d.snapshotDue || d.replaceLog {
		snapshot := store.Snapshot()
		write.Snapshot, write.ReplaceLog = snapshot.Records(), d.replaceLog
		d.snapshotPosition = snapshot.Position()
	}
	d.inFlight = inFlightWrite{
		id: d.lastWriteID, messages: d.messages, index: store.Position().Index, candidateEpoch: candidateEpoch,
		withSnapshot: write.Snapshot != nil,
	}
	d.records, d.truncateCount, d.commands, d.messages = nil, 0, nil, nil
	d.snapshotDue, d.replaceLog = false, false
	d.startedAt, d.awaitedSince = now, 0
	return write
}

// complete records that a batch is synced. It returns false if that batch is not in flight.
func (d *diskWriter) complete(id uint64) (inFlightWrite, bool) {
	if !d.busy() || d.inFlight.id != id {
		return inFlightWrite{}, false
	}
	done := d.inFlight
	d.inFlight, d.slow = inFlightWrite{}, false
	return done, true
}

// handleWriteDone continues the work that waited for a batch to be synced.
func (r *Replica) handleWriteDone(now time.Duration, id uint64, out *machine.Output) {
	write, ok := r.disk.complete(id)
	if !ok {
		return
	}
	r.identitySynced = true
	if took := now - r.disk.startedAt; took > slowWriteLog {
		out.Warn("disk_slow", "tookMs", took.Milliseconds())
	}
	r.log.syncedIndex, r.election.syncedCandidateEpoch = write.index, write.candidateEpoch
	out.Messages = append(out.Messages, write.messages...)
	if r.bootstrap.synced(id) {
		r.adoptView(now, r.bootstrap.view, out)
	}
	r.releaseCommitted(out)
}

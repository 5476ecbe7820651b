package replica

import (
	"encoding/json"
	"errors"
	"fmt"

	"sorrelloom/core/machine"
	"sorrelloom/core/paxos"
	"sorrelloom/core/state"
	"sorrelloom/core/wire"
)

// ErrNoIdentity is returned for a disk that has data but no replica identity.
var ErrNoIdentity = errors.New("the data directory contains records but no replica identity")

// New restores a replica from its disk. With an empty disk it is a new replica with a new
// identity, even if another replica used its address before.
func New(config Config, stored machine.StoredState) (*Replica, error) {
	r := &Replica{
		config: config, self: wire.Member{Address: config.Address, Zone: config.Zone},
		peers: progressMap{}, discovery: discovery{announcements: map[string]announcement{}},
	}
	r.feed.clear()
	var stateRecords []machine.Record
	for _, record := range stored.Records {
		if record.Bucket != bucketReplica {
			stateRecords = append(stateRecords, record)
			continue
		}
		if err := r.restoreRecord(record); err != nil {
			return nil, fmt.Errorf("record %s/%s: %w", record.Bucket, record.Key, err)
		}
	}
	if err := r.restoreLog(stateRecords, stored); err != nil {
		return nil, err
	}
	if r.self.ID != "" {
		r.identitySynced = true
		return r, nil
	}
	if len(stateRecords) > 0 || len(stored.Commands) > 0 || r.view().Epoch > 0 {
		return nil, ErrNoIdentity
	}
	r.self.ID = config.NewID
	r.disk.putRecord(keyIdentity, r.self.ID)
	// All replicas may lose power before there is a view, and be configured without founders at
	// the next start.
	r.disk.putRecord(keyFounders, config.Founders)
	return r, nil
}

// restoreRecord restores one of the replica's own records.
func (r *Replica) restoreRecord(record machine.Record) error {
	switch record.Key {
	case keyIdentity:
		return json.Unmarshal(record.Value, &r.self.ID)
	case keyAcceptor:
		return decodeAcceptor(record.Value, &r.acceptor)
	case keyCandidateEpoch:
		err := json.Unmarshal(record.Value, &r.election.candidateEpoch)
		r.election.syncedCandidateEpoch = r.election.candidateEpoch
		return err
	case keyFounders:
		if len(r.config.Founders) == 0 {
			return json.Unmarshal(record.Value, &r.config.Founders)
		}
	}
	return nil
}

// decodeAcceptor decodes an acceptor's state, including the older format in which a view had
// a single backup.
func decodeAcceptor(value json.RawMessage, acceptor *paxos.Acceptor) error {
	var old struct {
		Known struct{ Backup wire.Member }
		Value struct{ Backup wire.Member }
	}
	if err := json.Unmarshal(value, &old); err != nil {
		return err
	}
	if err := json.Unmarshal(value, acceptor); err != nil {
		return err
	}
	if old.Known.Backup.ID != "" {
		acceptor.KnownView.Backups = []wire.Member{old.Known.Backup}
	}
	if old.Value.Backup.ID != "" {
		acceptor.Value.Backups = []wire.Member{old.Value.Backup}
	}
	return nil
}

// restoreLog restores the state from the snapshot's records and the commands logged after it.
// The commands before the snapshot only extend the log's tail backwards.
func (r *Replica) restoreLog(records []machine.Record, stored machine.StoredState) error {
	store, err := state.Load(records)
	if err != nil {
		return err
	}
	r.log.reset(store)
	r.disk.snapshotPosition = store.Position()
	if tail, ok := restoreTail(stored.CommandsBeforeSnapshot, store.Position()); ok {
		r.log.tail = tail
	}
	for _, encoded := range stored.Commands {
		cmd, err := decodeNext(r.log.position(), encoded)
		if err != nil {
			return err
		}
		r.log.append(cmd)
	}
	store.TakeAuditEntries() // they were output by the primary of that time
	r.replication.startAt(r.log.position())
	r.log.syncedIndex = r.log.position().Index
	return nil
}

// restoreTail returns a log tail of the commands that lead up to the snapshot; only their
// positions are decoded. ok is false if they do not end at the snapshot's position. The tail
// is then left out, which is safe since nothing depends on it.
func restoreTail(commands []json.RawMessage, snapshot state.LogPosition) (tail state.LogSuffix, ok bool) {
	if len(commands) == 0 {
		return tail, false
	}
	position, err := state.DecodePosition(commands[0])
	if err != nil {
		return tail, false
	}
	tail = state.NewLogSuffix(position)
	for _, encoded := range commands[1:] {
		next, err := state.DecodePosition(encoded)
		if err != nil || checkFollows(position, next) != nil {
			return tail, false
		}
		tail.AppendEncoded(next, encoded)
		position = next
	}
	return tail, position == snapshot
}

// decodeNext decodes a logged command, which must directly follow a position.
func decodeNext(position state.LogPosition, encoded json.RawMessage) (state.EncodedCommand, error) {
	cmd, err := state.Decode(encoded)
	if err != nil {
		return cmd, fmt.Errorf("logged command after index %d: %w", position.Index, err)
	}
	return cmd, checkFollows(position, cmd.LogPosition)
}

// checkFollows returns an error unless a logged command directly follows a position.
func checkFollows(position, next state.LogPosition) error {
	if next.Index != position.Index+1 || next.Epoch < position.Epoch {
		return fmt.Errorf("logged command with index %d in epoch %d does not follow index %d in epoch %d",
			next.Index, next.Epoch, position.Index, position.Epoch)
	}
	return nil
}

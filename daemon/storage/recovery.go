package storage

import (
	"encoding/binary"
	"encoding/json"
	"errors"
	"fmt"
	"slices"

	"sorrelloom/core/machine"
)

// recover loads the stored state, or initializes an empty directory, and prepares the store
// for writing.
func (s *Store) recover() (machine.StoredState, error) {
	names, err := s.fileSystem.List(s.dir)
	if err != nil {
		return machine.StoredState{}, unusable(s.dir, err)
	}
	if slices.Contains(names, legacyFileName) {
		return machine.StoredState{}, unusable(s.path(legacyFileName), errors.New("written by an earlier release; "+
			"with an empty data directory this replica joins the cluster as a new one"))
	}
	if slices.Contains(names, temporarySnapshotName) {
		if err := s.removeIfExists(temporarySnapshotName); err != nil {
			return machine.StoredState{}, unusable(s.path(temporarySnapshotName), err)
		}
	}
	snapshots, segments := numbersWithPrefix(names, snapshotPrefix), numbersWithPrefix(names, segmentPrefix)
	if len(snapshots) == 0 {
		return machine.StoredState{}, s.initialize(segments)
	}
	return s.load(snapshots[len(snapshots)-1], segments)
}

// initialize creates the first segment and an empty first snapshot. A power loss during an
// earlier attempt may have left a segment without batches. A segment with batches but no
// snapshot is reported as corrupted: with an empty state, the replica would break the
// promises it has made.
func (s *Store) initialize(segments []uint64) error {
	for _, number := range segments {
		path := s.path(segmentName(number))
		data, err := s.fileSystem.Read(path)
		if err != nil {
			return unusable(path, err)
		}
		reader := newFrameReader(data)
		frames, end := reader.readAll()
		hasBatches := len(frames) > 1 || len(frames) == 0 && len(data) > maxSegmentHeaderSize
		if number > 1 || hasBatches || reader.containsFrameFrom(end) {
			return corrupted(path, errors.New("the segment has batches, but there is no snapshot"))
		}
	}
	first, err := s.createSegment(1)
	if err != nil {
		return unusable(s.path(segmentName(1)), err)
	}
	s.switchSegment(first)
	noRecords := func(func(machine.Record) bool) {}
	if _, err := s.writeSnapshot(1, nil, noRecords, noPause); err != nil {
		first.file.Close()
		return unusable(s.path(snapshotName(1)), err)
	}
	return nil
}

// load reads a snapshot and the segments from its number on, and opens the last segment for
// writing.
func (s *Store) load(snapshot uint64, segments []uint64) (machine.StoredState, error) {
	var stored machine.StoredState
	stateRecords, err := s.loadSnapshot(snapshot)
	if err != nil {
		return stored, err
	}
	last := snapshot
	if len(segments) > 0 {
		last = max(last, segments[len(segments)-1])
	}
	for number := snapshot; number <= last; number++ {
		items, err := s.loadSegment(number, number == last)
		if err != nil {
			return stored, err
		}
		stored.Commands, err = replayCommands(items, stored.Commands, s.replayReplicaRecord)
		if err != nil {
			return stored, corrupted(s.path(segmentName(number)), err)
		}
	}
	stored.Records = append(s.replicaRecords.sorted(), stateRecords...)
	if slices.Contains(segments, snapshot-1) {
		stored.CommandsBeforeSnapshot = s.loadCommandsBeforeSnapshot(snapshot - 1)
	}
	// The previous process may have ended after a rename and before it synced the directory.
	if err := s.fileSystem.SyncDir(s.dir); err != nil {
		return stored, unusable(s.dir, err)
	}
	if err := s.removeObsolete(snapshot); err != nil {
		return stored, unusable(s.dir, err)
	}
	return stored, nil
}

// loadSnapshot reads a snapshot. It returns the state records and adds the replica records to
// the store.
func (s *Store) loadSnapshot(number uint64) ([]machine.Record, error) {
	path := s.path(snapshotName(number))
	data, err := s.fileSystem.Read(path)
	if err != nil {
		return nil, unusable(path, err)
	}
	stateRecords, err := s.decodeSnapshot(number, data)
	if err != nil {
		return nil, corrupted(path, err)
	}
	s.snapshot.number, s.snapshot.size = number, int64(len(data))
	return stateRecords, nil
}

func (s *Store) decodeSnapshot(number uint64, data []byte) ([]machine.Record, error) {
	frames, end := newFrameReader(data).readAll()
	if err := checkSnapshot(number, frames, len(data)-end); err != nil {
		return nil, err
	}
	var stateRecords []machine.Record
	var count uint64
	for _, f := range frames[1 : len(frames)-1] {
		items, err := readItems(f.payload)
		if err != nil {
			return nil, err
		}
		for _, i := range items {
			record, err := i.record()
			if err != nil {
				return nil, err
			}
			count++
			if i.kind == itemReplicaRecord {
				s.replicaRecords.put([]machine.Record{record})
			} else {
				stateRecords = append(stateRecords, record)
			}
		}
	}
	if want, _ := binary.Uvarint(frames[len(frames)-1].payload); want != count {
		return nil, fmt.Errorf("found %d items, but the footer says %d", count, want)
	}
	return stateRecords, nil
}

func checkSnapshot(number uint64, frames []frame, bytesAfterFrames int) error {
	if err := checkHeader(number, frames); err != nil {
		return err
	}
	if bytesAfterFrames > 0 || frames[len(frames)-1].kind != kindFooter {
		return errors.New("the snapshot is truncated, or has data after its footer")
	}
	return nil
}

func checkHeader(number uint64, frames []frame) error {
	if len(frames) == 0 || frames[0].kind != kindHeader {
		return errors.New("the header is missing")
	}
	if got, _ := binary.Uvarint(frames[0].payload); got != number {
		return fmt.Errorf("the header has the number %d", got)
	}
	return nil
}

// loadSegment returns the items of a segment. Only the last segment may end in a torn frame,
// since each segment is complete before the next one is created. A torn frame that is
// followed by a valid one is corruption, since a batch is only written once the previous
// batch is durable. A damaged header with more data after it is corruption too: without the
// salt, no frame can be verified.
func (s *Store) loadSegment(number uint64, isLast bool) ([]item, error) {
	path := s.path(segmentName(number))
	data, err := s.fileSystem.Read(path)
	if err != nil {
		return nil, corrupted(path, err)
	}
	reader := newFrameReader(data)
	frames, end := reader.readAll()
	damagedHeader := len(frames) == 0 && len(data) > maxSegmentHeaderSize
	if end < len(data) && (!isLast || damagedHeader || reader.containsFrameFrom(end)) {
		return nil, corrupted(path, fmt.Errorf("no valid frame at byte %d", end))
	}
	if len(frames) > 0 || !isLast {
		if err := checkHeader(number, frames); err != nil {
			return nil, corrupted(path, err)
		}
	}
	items, err := readAllItems(frames)
	if err != nil {
		return nil, corrupted(path, err)
	}
	s.bytesSinceSnapshot += int64(end)
	if isLast {
		err = s.continueSegment(number, reader.salt, int64(end))
	}
	return items, err
}

// continueSegment opens the last segment and truncates it after its last valid frame. A
// segment without a complete header is created again.
func (s *Store) continueSegment(number uint64, salt segmentSalt, end int64) error {
	path := s.path(segmentName(number))
	if end == 0 {
		created, err := s.createSegment(number)
		if err != nil {
			return unusable(path, err)
		}
		s.segment = created
		return nil
	}
	opened, err := s.fileSystem.Open(path)
	if err != nil {
		return unusable(path, err)
	}
	if err = opened.Truncate(end); err == nil {
		err = opened.Sync()
	}
	if err != nil {
		opened.Close()
		return unusable(path, err)
	}
	s.segment = segment{number, salt, opened, end}
	return nil
}

func (s *Store) replayReplicaRecord(i item) error {
	record, err := i.record()
	if err == nil {
		s.replicaRecords.put([]machine.Record{record})
	}
	return err
}

// loadCommandsBeforeSnapshot returns the commands of the segment before the snapshot, or none
// if the segment is damaged, since nothing depends on them.
func (s *Store) loadCommandsBeforeSnapshot(number uint64) []json.RawMessage {
	data, err := s.fileSystem.Read(s.path(segmentName(number)))
	if err != nil {
		return nil
	}
	frames, end := newFrameReader(data).readAll()
	items, err := readAllItems(frames)
	if err != nil || end < len(data) {
		return nil
	}
	commands, err := replayCommands(items, nil, func(item) error { return nil })
	if err != nil {
		return nil
	}
	return commands
}

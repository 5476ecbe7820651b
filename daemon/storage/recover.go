// Reading a data folder after a start.

package storage

import (
	"encoding/binary"
	"encoding/json"
	"fmt"
	"slices"

	"sorrelloom/core/machine"
)

// recover reads the folder and gets it ready to be written to.
func (s *Store) recover() (machine.StoredState, error) {
	names, err := s.fileSystem.List(s.dir)
	if err != nil {
		return machine.StoredState{}, ErrUnusable.Wrap(err, "data folder %s", s.dir)
	}
	if slices.Contains(names, legacyFileName) {
		return machine.StoredState{}, ErrUnusable.New("data file %s is of an earlier release and is not read; "+
			"with an empty data folder this keeper joins the others as a new one", s.path(legacyFileName))
	}
	if slices.Contains(names, temporarySnapshotName) {
		if err := s.removeIfExists(temporarySnapshotName); err != nil {
			return machine.StoredState{}, ErrUnusable.Wrap(err, "data file %s", s.path(temporarySnapshotName))
		}
	}
	snapshots, segments := numbersWithPrefix(names, snapshotPrefix), numbersWithPrefix(names, segmentPrefix)
	if len(snapshots) == 0 {
		return machine.StoredState{}, s.initialize(segments)
	}
	return s.load(snapshots[len(snapshots)-1], segments)
}

// begin makes the first segment and the first snapshot, which is empty. If power was
// lost while that was done before, a segment without a batch may be there.
func (s *Store) initialize(segments []uint64) error {
	for _, number := range segments {
		path := s.path(segmentName(number))
		data, err := s.fileSystem.Read(path)
		if err != nil {
			return ErrUnusable.Wrap(err, "data file %s", path)
		}
		if frames, good := readFrames(data); number > 1 || len(frames) > 1 || containsFrame(data[good:]) {
			return ErrCorrupted.New("data file %s: it has batches, but there is no snapshot", path)
		}
	}
	segment, end, err := s.createSegment(1)
	if err != nil {
		return ErrUnusable.Wrap(err, "data file %s", s.path(segmentName(1)))
	}
	s.switchSegment(1, segment, end)
	noRecords := func(func(machine.Record) bool) {}
	if _, err := s.writeSnapshot(1, nil, noRecords, false); err != nil {
		segment.Close()
		return ErrUnusable.Wrap(err, "data file %s", s.path(snapshotName(1)))
	}
	return nil
}

// load reads a snapshot and the segments from its number on, and goes on in the last.
func (s *Store) load(number uint64, segments []uint64) (machine.StoredState, error) {
	var stored machine.StoredState
	stateRecords, err := s.loadSnapshot(number)
	if err != nil {
		return stored, err
	}
	last := number
	if n := len(segments); n > 0 {
		last = max(last, segments[n-1])
	}
	for n := number; n <= last; n++ {
		items, err := s.loadSegment(n, n == last)
		if err != nil {
			return stored, err
		}
		if stored.Commands, err = s.replay(n, items, stored.Commands); err != nil {
			return stored, err
		}
	}
	stored.Records = append(s.replicaRecords.sorted(), stateRecords...)
	if slices.Contains(segments, number-1) {
		stored.CommandsBeforeSnapshot = s.loadCommandsBeforeSnapshot(number - 1)
	}
	// A process may have ended between making a name and making it last.
	if err := s.fileSystem.SyncDir(s.dir); err != nil {
		return stored, ErrUnusable.Wrap(err, "data folder %s", s.dir)
	}
	if err := s.removeObsolete(number); err != nil {
		return stored, ErrUnusable.Wrap(err, "data folder %s", s.dir)
	}
	return stored, nil
}

// loadSnapshot gives the ledger's records and takes the keeper's own.
func (s *Store) loadSnapshot(number uint64) ([]machine.Record, error) {
	path := s.path(snapshotName(number))
	data, err := s.fileSystem.Read(path)
	if err != nil {
		return nil, ErrUnusable.Wrap(err, "data file %s", path)
	}
	frames, good := readFrames(data)
	if err := checkSnapshot(number, frames, len(data)-good); err != nil {
		return nil, ErrCorrupted.Wrap(err, "data file %s", path)
	}
	var out []machine.Record
	var count uint64
	for _, f := range frames[1 : len(frames)-1] {
		items, err := readItems(f.payload)
		if err != nil {
			return nil, ErrCorrupted.Wrap(err, "data file %s", path)
		}
		for _, i := range items {
			r, err := i.record()
			if err != nil {
				return nil, ErrCorrupted.Wrap(err, "data file %s", path)
			}
			count++
			if i.kind == itemReplicaRecord {
				s.replicaRecords.put([]machine.Record{r})
			} else {
				out = append(out, r)
			}
		}
	}
	if want, _ := binary.Uvarint(frames[len(frames)-1].payload); want != count {
		return nil, ErrCorrupted.New("data file %s: it has %d items and names %d", path, count, want)
	}
	s.snapshot.number, s.snapshot.size = number, int64(len(data))
	return out, nil
}

func checkSnapshot(number uint64, frames []frame, rest int) error {
	if err := checkHeader(number, frames); err != nil {
		return err
	}
	if rest > 0 || frames[len(frames)-1].kind != frameFooter {
		return fmt.Errorf("it is not whole")
	}
	return nil
}

func checkHeader(number uint64, frames []frame) error {
	if len(frames) == 0 || frames[0].kind != frameHeader {
		return fmt.Errorf("it has no head")
	}
	if got, _ := binary.Uvarint(frames[0].payload); got != number {
		return fmt.Errorf("it says that it is number %d", got)
	}
	return nil
}

// loadSegment gives the items of a segment. The last one is opened to be written to,
// without what a lost batch has left at its end.
func (s *Store) loadSegment(number uint64, last bool) ([]item, error) {
	path := s.path(segmentName(number))
	data, err := s.fileSystem.Read(path)
	if err != nil {
		return nil, ErrCorrupted.Wrap(err, "data file %s", path)
	}
	frames, good := readFrames(data)
	torn := data[good:]
	if len(torn) > 0 && (!last || containsFrame(torn)) {
		return nil, ErrCorrupted.New("data file %s: at byte %d begins no whole frame", path, good)
	}
	if len(frames) > 0 || !last {
		if err := checkHeader(number, frames); err != nil {
			return nil, ErrCorrupted.Wrap(err, "data file %s", path)
		}
	}
	items, err := readAllItems(frames)
	if err != nil {
		return nil, ErrCorrupted.Wrap(err, "data file %s", path)
	}
	s.bytesSinceSnapshot += int64(good)
	if last {
		err = s.continueSegment(number, int64(good))
	}
	return items, err
}

func readAllItems(frames []frame) ([]item, error) {
	var out []item
	for _, f := range frames {
		if f.kind != frameItems {
			continue
		}
		items, err := readItems(f.payload)
		if err != nil {
			return nil, err
		}
		out = append(out, items...)
	}
	return out, nil
}

// continueSegment opens the last segment and cuts it behind its last whole frame. If
// not even its head is there, it is made anew.
func (s *Store) continueSegment(number uint64, end int64) error {
	path := s.path(segmentName(number))
	if end == 0 {
		segment, end, err := s.createSegment(number)
		if err != nil {
			return ErrUnusable.Wrap(err, "data file %s", path)
		}
		s.segmentNumber, s.segment, s.segmentEnd = number, segment, end
		return nil
	}
	segment, err := s.fileSystem.Open(path)
	if err != nil {
		return ErrUnusable.Wrap(err, "data file %s", path)
	}
	if err = segment.Truncate(end); err == nil {
		err = segment.Sync()
	}
	if err != nil {
		segment.Close()
		return ErrUnusable.Wrap(err, "data file %s", path)
	}
	s.segmentNumber, s.segment, s.segmentEnd = number, segment, end
	return nil
}

// replay takes the keeper's own records and adds the commands to those before.
func (s *Store) replay(number uint64, items []item, commands []json.RawMessage) ([]json.RawMessage, error) {
	for _, i := range items {
		var err error
		switch i.kind {
		case itemCommand:
			commands = append(commands, i.data)
		case itemTruncate:
			commands, err = i.truncate(commands)
		default:
			err = s.replayReplicaRecord(i)
		}
		if err != nil {
			return nil, ErrCorrupted.Wrap(err, "data file %s", s.path(segmentName(number)))
		}
	}
	return commands, nil
}

func (s *Store) replayReplicaRecord(i item) error {
	r, err := i.record()
	if err == nil {
		s.replicaRecords.put([]machine.Record{r})
	}
	return err
}

// history gives the commands of the segment before the snapshot, if it is whole;
// nothing rests on them.
func (s *Store) loadCommandsBeforeSnapshot(number uint64) (commands []json.RawMessage) {
	data, err := s.fileSystem.Read(s.path(segmentName(number)))
	if err != nil {
		return nil
	}
	frames, good := readFrames(data)
	items, err := readAllItems(frames)
	if err != nil || good < len(data) {
		return nil
	}
	for _, i := range items {
		switch i.kind {
		case itemCommand:
			commands = append(commands, i.data)
		case itemTruncate:
			if commands, err = i.truncate(commands); err != nil {
				return nil
			}
		}
	}
	return commands
}

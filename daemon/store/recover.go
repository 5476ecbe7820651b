package store

import (
	"encoding/binary"
	"encoding/json"
	"fmt"
	"slices"

	"sorrelloom/core/machine"
)

// recover reads the folder and gets it ready to be written to.
func (s *Store) recover() (machine.Stored, error) {
	names, err := s.files.List(s.folder)
	if err != nil {
		return machine.Stored{}, Unusable.Wrap(err, "data folder %s", s.folder)
	}
	if slices.Contains(names, earlierName) {
		return machine.Stored{}, Unusable.New("data file %s is of an earlier release and is not read; "+
			"with an empty data folder this keeper joins the others as a new one", s.path(earlierName))
	}
	if slices.Contains(names, temporaryName) {
		if err := s.removeIfThere(temporaryName); err != nil {
			return machine.Stored{}, Unusable.Wrap(err, "data file %s", s.path(temporaryName))
		}
	}
	snapshots, segments := numbered(names, snapshotPrefix), numbered(names, segmentPrefix)
	if len(snapshots) == 0 {
		return machine.Stored{}, s.begin(segments)
	}
	return s.load(snapshots[len(snapshots)-1], segments)
}

// begin makes the first segment and the first snapshot, which is empty. If power was
// lost while that was done before, a segment without a batch may be there.
func (s *Store) begin(segments []uint64) error {
	for _, number := range segments {
		path := s.path(segmentName(number))
		data, err := s.files.Read(path)
		if err != nil {
			return Unusable.Wrap(err, "data file %s", path)
		}
		if frames, good := readFrames(data); number > 1 || len(frames) > 1 || holdsFrame(data[good:]) {
			return Damaged.New("data file %s: it has batches, but there is no snapshot", path)
		}
	}
	segment, end, err := s.makeSegment(1)
	if err != nil {
		return Unusable.Wrap(err, "data file %s", s.path(segmentName(1)))
	}
	s.useSegment(1, segment, end)
	none := func(func(machine.Record) bool) {}
	if _, err := s.writeSnapshot(1, nil, none, false); err != nil {
		segment.Close()
		return Unusable.Wrap(err, "data file %s", s.path(snapshotName(1)))
	}
	return nil
}

// load reads a snapshot and the segments from its number on, and goes on in the last.
func (s *Store) load(number uint64, segments []uint64) (machine.Stored, error) {
	var stored machine.Stored
	ledger, err := s.loadSnapshot(number)
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
	stored.Records = append(s.own.sorted(), ledger...)
	if slices.Contains(segments, number-1) {
		stored.History = s.history(number - 1)
	}
	// A process may have ended between making a name and making it last.
	if err := s.files.SyncFolder(s.folder); err != nil {
		return stored, Unusable.Wrap(err, "data folder %s", s.folder)
	}
	if err := s.removeBefore(number); err != nil {
		return stored, Unusable.Wrap(err, "data folder %s", s.folder)
	}
	return stored, nil
}

// loadSnapshot gives the ledger's records and takes the keeper's own.
func (s *Store) loadSnapshot(number uint64) ([]machine.Record, error) {
	path := s.path(snapshotName(number))
	data, err := s.files.Read(path)
	if err != nil {
		return nil, Unusable.Wrap(err, "data file %s", path)
	}
	frames, good := readFrames(data)
	if err := checkSnapshot(number, frames, len(data)-good); err != nil {
		return nil, Damaged.Wrap(err, "data file %s", path)
	}
	var out []machine.Record
	var count uint64
	for _, f := range frames[1 : len(frames)-1] {
		items, err := readItems(f.payload)
		if err != nil {
			return nil, Damaged.Wrap(err, "data file %s", path)
		}
		for _, i := range items {
			r, err := i.record()
			if err != nil {
				return nil, Damaged.Wrap(err, "data file %s", path)
			}
			count++
			if i.kind == itemOwn {
				s.own.put([]machine.Record{r})
			} else {
				out = append(out, r)
			}
		}
	}
	if want, _ := binary.Uvarint(frames[len(frames)-1].payload); want != count {
		return nil, Damaged.New("data file %s: it has %d items and names %d", path, count, want)
	}
	s.snapshot.size = int64(len(data))
	return out, nil
}

func checkSnapshot(number uint64, frames []frame, rest int) error {
	if err := checkHead(number, frames); err != nil {
		return err
	}
	if rest > 0 || frames[len(frames)-1].kind != kindFoot {
		return fmt.Errorf("it is not whole")
	}
	return nil
}

func checkHead(number uint64, frames []frame) error {
	if len(frames) == 0 || frames[0].kind != kindHead {
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
	data, err := s.files.Read(path)
	if err != nil {
		return nil, Damaged.Wrap(err, "data file %s", path)
	}
	frames, good := readFrames(data)
	torn := data[good:]
	if len(torn) > 0 && (!last || holdsFrame(torn)) {
		return nil, Damaged.New("data file %s: at byte %d begins no whole frame", path, good)
	}
	if len(frames) > 0 || !last {
		if err := checkHead(number, frames); err != nil {
			return nil, Damaged.Wrap(err, "data file %s", path)
		}
	}
	items, err := itemsOf(frames)
	if err != nil {
		return nil, Damaged.Wrap(err, "data file %s", path)
	}
	s.logged += int64(good)
	if last {
		err = s.continueSegment(number, int64(good))
	}
	return items, err
}

func itemsOf(frames []frame) ([]item, error) {
	var out []item
	for _, f := range frames {
		if f.kind != kindItems {
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
		segment, end, err := s.makeSegment(number)
		if err != nil {
			return Unusable.Wrap(err, "data file %s", path)
		}
		s.number, s.segment, s.end = number, segment, end
		return nil
	}
	segment, err := s.files.Open(path)
	if err != nil {
		return Unusable.Wrap(err, "data file %s", path)
	}
	if err = segment.Truncate(end); err == nil {
		err = segment.Sync()
	}
	if err != nil {
		segment.Close()
		return Unusable.Wrap(err, "data file %s", path)
	}
	s.number, s.segment, s.end = number, segment, end
	return nil
}

// replay takes the keeper's own records and adds the commands to those before.
func (s *Store) replay(number uint64, items []item, commands []json.RawMessage) ([]json.RawMessage, error) {
	for _, i := range items {
		var err error
		switch i.kind {
		case itemCommand:
			commands = append(commands, i.data)
		case itemDrop:
			commands, err = i.drop(commands)
		default:
			err = s.takeOwn(i)
		}
		if err != nil {
			return nil, Damaged.Wrap(err, "data file %s", s.path(segmentName(number)))
		}
	}
	return commands, nil
}

func (s *Store) takeOwn(i item) error {
	r, err := i.record()
	if err == nil {
		s.own.put([]machine.Record{r})
	}
	return err
}

// history gives the commands of the segment before the snapshot, if it is whole;
// nothing rests on them.
func (s *Store) history(number uint64) (commands []json.RawMessage) {
	data, err := s.files.Read(s.path(segmentName(number)))
	if err != nil {
		return nil
	}
	frames, good := readFrames(data)
	items, err := itemsOf(frames)
	if err != nil || good < len(data) {
		return nil
	}
	for _, i := range items {
		switch i.kind {
		case itemCommand:
			commands = append(commands, i.data)
		case itemDrop:
			if commands, err = i.drop(commands); err != nil {
				return nil
			}
		}
	}
	return commands
}

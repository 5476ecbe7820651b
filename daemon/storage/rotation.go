package storage

import (
	"errors"
	"iter"

	"sorrelloom/core/machine"
	"sorrelloom/daemon/logging"
)

// rotate continues the log in a new segment and starts writing a snapshot in the background.
// Without disk space for a new segment, the log continues in the current one, and a snapshot
// becomes due again later.
func (s *Store) rotate(stateRecords iter.Seq[machine.Record]) error {
	number := s.segment.number + 1
	next, err := s.createSegment(number)
	if err != nil && isDiskFull(err) {
		return s.abandonRotation(number)
	}
	if err != nil {
		return unusable(s.path(segmentName(number)), err)
	}
	s.switchSegment(next)
	replicaItems := s.replicaRecords.items()
	s.mu.Lock()
	s.snapshot.writing = true
	s.mu.Unlock()
	s.background.Go(func() { s.writeSnapshotInBackground(number, replicaItems, stateRecords) })
	return nil
}

// abandonRotation removes a partially created segment. The removal must be durable: if the
// file reappeared after a power loss, the segment before it would no longer be the last one,
// and only the last one may end in a torn frame.
func (s *Store) abandonRotation(number uint64) error {
	s.mu.Lock()
	s.bytesSinceSnapshot = 0
	s.mu.Unlock()
	err := s.removeIfExists(segmentName(number))
	if err == nil {
		err = s.fileSystem.SyncDir(s.dir)
	}
	if err != nil {
		return unusable(s.path(segmentName(number)), err)
	}
	return nil
}

// writeSnapshotInBackground writes a snapshot while the log continues. If the disk is full,
// it gives up: the previous snapshot stays in use, and a new one becomes due later.
func (s *Store) writeSnapshotInBackground(number uint64, replicaItems []item, stateRecords iter.Seq[machine.Record]) {
	size, err := s.writeSnapshot(number, replicaItems, stateRecords, s.pauseBetweenChunks)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.snapshot.writing = false
	switch {
	case err == nil:
		s.snapshot.number, s.snapshot.size = number, size
	case errors.Is(err, ErrClosed):
	case isDiskFull(err):
		s.removeSegmentsBeforeSnapshotLocked()
		logging.Warn("snapshot_postponed", "number", number, "error", err.Error())
	default:
		s.snapshot.err = unusable(s.path(snapshotName(number)), err)
	}
}

// replaceLog replaces everything that is stored by a snapshot from another history of the
// log, and makes it durable.
func (s *Store) replaceLog(stateRecords iter.Seq[machine.Record]) error {
	s.background.Wait()
	if err := s.snapshotError(); err != nil {
		return err
	}
	number := s.segment.number + 1
	path := s.path(snapshotName(number))
	var next segment
	var size int64
	err := s.retryWhileDiskFull(path, func() (err error) {
		if next, err = s.createSegment(number); err != nil {
			return err
		}
		size, err = s.writeSnapshot(number, s.replicaRecords.items(), stateRecords, noPause)
		if err != nil {
			next.file.Close()
		}
		return err
	})
	if err != nil {
		return unusable(path, err)
	}
	s.switchSegment(next)
	s.mu.Lock()
	s.snapshot.number, s.snapshot.size = number, size
	s.mu.Unlock()
	return nil
}

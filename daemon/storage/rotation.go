package storage

import (
	"errors"
	"iter"

	"sorrelloom/core/machine"
	"sorrelloom/daemon/logging"
)

// rotate continues the log in a new segment and has a snapshot written in the background.
// Without space for a segment the log stays as it was, and a snapshot is due again later.
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

// abandonRotation removes what there is of a new segment. Its name must not come back
// after a power loss: then the segment before it would not be the last one any more, in
// which a torn frame is allowed.
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

// writeSnapshotInBackground writes a snapshot while the log goes on. On a full disk it
// gives up: the previous snapshot stays in use, and another one is due later.
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

// replaceLog makes a snapshot of another history durable, in place of all that was stored.
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

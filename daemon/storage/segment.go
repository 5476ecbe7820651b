package storage

import "math/rand/v2"

// segment is the last segment of the log, to which batches are appended.
type segment struct {
	number uint64
	salt   segmentSalt
	file   file
	// end is the offset at which the last complete frame ends.
	end int64
}

// createSegment creates an empty segment and makes it durable.
func (s *Store) createSegment(number uint64) (segment, error) {
	created, err := s.fileSystem.Create(s.path(segmentName(number)))
	if err != nil {
		return segment{}, err
	}
	salt := segmentSalt(rand.Uint64())
	header := segmentHeader(number, salt)
	if _, err = created.WriteAt(header, 0); err == nil {
		err = created.Sync()
	}
	if err == nil {
		err = s.fileSystem.SyncDir(s.dir)
	}
	if err != nil {
		created.Close()
		return segment{}, err
	}
	return segment{number, salt, created, int64(len(header))}, nil
}

// switchSegment closes the current segment and makes another one the last segment of the log.
func (s *Store) switchSegment(next segment) {
	if s.segment.file != nil {
		s.segment.file.Close()
	}
	s.segment = next
	s.mu.Lock()
	s.bytesSinceSnapshot = 0
	s.mu.Unlock()
}

// append appends an encoded frame to the log and syncs it. A failed sync is not retried,
// since it leaves the contents of the disk unknown.
func (s *Store) append(encoded []byte) error {
	path := s.path(segmentName(s.segment.number))
	setPosition(encoded, s.segment.salt, s.segment.end)
	err := s.retryWhileDiskFull(path, func() error { return s.writeAtEnd(encoded) })
	if err == nil {
		err = s.segment.file.Sync()
	}
	if err != nil {
		return unusable(path, err)
	}
	s.segment.end += int64(len(encoded))
	s.mu.Lock()
	s.bytesSinceSnapshot += int64(len(encoded))
	s.mu.Unlock()
	return nil
}

// writeAtEnd writes after the last complete frame. If the write fails, it truncates partially
// written data.
func (s *Store) writeAtEnd(encoded []byte) error {
	_, err := s.segment.file.WriteAt(encoded, s.segment.end)
	if err == nil {
		return nil
	}
	if truncateErr := s.segment.file.Truncate(s.segment.end); truncateErr != nil {
		return truncateErr
	}
	return err
}

package storage

import "math/rand/v2"

// segment is the last segment of the log, which batches are appended to.
type segment struct {
	number uint64
	salt   segmentSalt
	file   file
	// end is the end of the last whole frame.
	end int64
}

// createSegment creates an empty segment. It is durable when createSegment returns.
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

// switchSegment appends to another segment from now on.
func (s *Store) switchSegment(next segment) {
	if s.segment.file != nil {
		s.segment.file.Close()
	}
	s.segment = next
	s.mu.Lock()
	s.bytesSinceSnapshot = 0
	s.mu.Unlock()
}

// append appends an encoded frame to the log and syncs it. A sync that failed is not
// repeated: what the disk then holds is unknown.
func (s *Store) append(encoded []byte) error {
	path := s.path(segmentName(s.segment.number))
	place(encoded, s.segment.salt, s.segment.end)
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

// writeAtEnd writes behind the last whole frame, and removes what a failed write has left.
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

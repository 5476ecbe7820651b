package storage

import (
	"errors"
	"syscall"
	"time"

	"sorrelloom/daemon/logging"
)

const (
	// minDiskFullDelay and maxDiskFullDelay bound the delay between attempts to write to a
	// full disk.
	minDiskFullDelay = 50 * time.Millisecond
	maxDiskFullDelay = time.Second
	// diskFullLogInterval is the minimum time between log lines about a full disk.
	diskFullLogInterval = time.Second
)

// isDiskFull reports whether an error means that the disk or a quota is full, which may be
// temporary.
func isDiskFull(err error) bool {
	return errors.Is(err, syscall.ENOSPC) || errors.Is(err, syscall.EDQUOT)
}

// retryWhileDiskFull retries an operation with exponential backoff while the disk is full.
// Before the first retry it removes segments that can be spared. To the caller of Write, this
// looks like a slow disk. It returns ErrClosed if the store is closed meanwhile.
func (s *Store) retryWhileDiskFull(path string, attempt func() error) error {
	var waited, lastLogged time.Duration
	for delay := minDiskFullDelay; ; delay = min(2*delay, maxDiskFullDelay) {
		err := attempt()
		if err == nil || !isDiskFull(err) {
			return err
		}
		if waited == 0 {
			s.freeDiskSpace()
		}
		if waited == 0 || waited-lastLogged >= diskFullLogInterval {
			logging.Warn("disk_full", "file", path, "waitedMs", waited.Milliseconds())
			lastLogged = waited
		}
		if !s.pause(delay) {
			return ErrClosed
		}
		waited += delay
	}
}

func (s *Store) freeDiskSpace() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.removeSegmentsBeforeSnapshotLocked()
}

// removeSegmentsBeforeSnapshotLocked removes the segments before the last snapshot, which are
// only kept to bring other replicas up to date.
func (s *Store) removeSegmentsBeforeSnapshotLocked() {
	names, err := s.fileSystem.List(s.dir)
	if err != nil {
		return
	}
	for _, number := range numbersWithPrefix(names, segmentPrefix) {
		if number < s.snapshot.number {
			// Failures are ignored: the removal is attempted again the next time the disk is
			// full.
			_ = s.removeIfExists(segmentName(number))
		}
	}
}

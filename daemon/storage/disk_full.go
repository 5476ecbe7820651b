package storage

import (
	"errors"
	"syscall"
	"time"

	"sorrelloom/daemon/logging"
)

const (
	// minDiskFullDelay and maxDiskFullDelay bound the pauses between attempts on a full disk.
	minDiskFullDelay = 50 * time.Millisecond
	maxDiskFullDelay = time.Second
	// diskFullLogInterval is how often a full disk is logged.
	diskFullLogInterval = time.Second
)

// isDiskFull reports whether an error means that there is no space, which may pass.
func isDiskFull(err error) bool {
	return errors.Is(err, syscall.ENOSPC) || errors.Is(err, syscall.EDQUOT)
}

// retryWhileDiskFull repeats an attempt with growing pauses while the disk is full. To
// the caller of Write that looks like a slow disk.
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

// removeSegmentsBeforeSnapshotLocked removes the segments before the last snapshot. They
// only serve to bring other replicas up to date.
func (s *Store) removeSegmentsBeforeSnapshotLocked() {
	names, err := s.fileSystem.List(s.dir)
	if err != nil {
		return
	}
	for _, number := range numbersWithPrefix(names, segmentPrefix) {
		if number < s.snapshot.number {
			// A failure is ignored: the next full disk brings another attempt.
			_ = s.removeIfExists(segmentName(number))
		}
	}
}

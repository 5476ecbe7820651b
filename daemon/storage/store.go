// Package storage keeps what a keeper has on its disk: a log of commands, and
// snapshots of the ledger that the log leads up to.
//
// A folder holds the files log-N and snapshot-N. Segment N of the log begins where
// snapshot N stands, so what is stored is the newest snapshot and all segments from
// its number on. A batch is one frame at the end of the last segment, synced before
// it is reported. A snapshot is written beside that: the log goes on in a new
// segment, made to last first, then the snapshot is written under a temporary name,
// synced, renamed, and its folder synced; only then are older files removed. After
// a loss of power a frame that is torn at the end of the last segment is cut off,
// since it was never reported. Anything else that is not whole is refused with the
// file's name, never repaired by guessing.
package storage

import (
	"errors"
	"io"
	"iter"
	"path/filepath"
	"sync"
	"time"

	"github.com/joomcode/errorx"

	"sorrelloom/core/machine"
	"sorrelloom/daemon/logging"
)

var (
	namespace    = errorx.NewNamespace("store")
	ErrCorrupted = namespace.NewType("damaged")
	ErrUnusable  = namespace.NewType("unusable")
)

var errClosed = errors.New("the store is closed")

const (
	// logMin is how long the log grows at least before the next snapshot.
	minSnapshotInterval = 4 << 20
	// roomWaitMin and roomWaitMax bound the pauses between tries on a full disk.
	minDiskFullDelay    = 50 * time.Millisecond
	maxDiskFullDelay    = time.Second
	diskFullLogInterval = time.Second
)

// Store is an open folder. Write and SnapshotDue are for one goroutine.
type Store struct {
	fileSystem          fileSystem
	dir                 string
	lock                io.Closer
	replicaRecords      replicaRecords
	minSnapshotInterval int64

	segmentNumber      uint64 // of the last segment
	segment            file
	segmentEnd         int64 // of the last whole frame of the segment
	bytesSinceSnapshot int64 // bytes since the last snapshot was begun

	// pause waits, or says that the store is being closed.
	pause     func(time.Duration) bool
	closing   chan struct{}
	closeOnce sync.Once

	writeMu sync.Mutex // held by Write, and by Close at its end

	background sync.WaitGroup
	mu         sync.Mutex // guards what the snapshot's goroutine shares
	snapshot   snapshotState
}

// snapshotState is of the snapshot being written, and of the last one.
type snapshotState struct {
	writing bool
	number  uint64
	size    int64
	err     error
}

// Open locks the folder and gives back what it stores.
func Open(dir string) (*Store, machine.StoredState, error) { return open(osFileSystem{}, dir) }

func open(files fileSystem, dir string) (*Store, machine.StoredState, error) {
	if err := files.MakeDir(dir); err != nil {
		return nil, machine.StoredState{}, ErrUnusable.Wrap(err, "data folder %s", dir)
	}
	lock, err := files.Lock(dir)
	if err != nil {
		return nil, machine.StoredState{}, ErrUnusable.Wrap(err, "data folder %s is in use", dir)
	}
	s := &Store{
		fileSystem: files, dir: dir, lock: lock, replicaRecords: replicaRecords{}, minSnapshotInterval: minSnapshotInterval, closing: make(chan struct{}),
	}
	s.pause = s.sleepUnlessClosed
	stored, err := s.recover()
	if err != nil {
		lock.Close()
		return nil, machine.StoredState{}, err
	}
	return s, stored, nil
}

func (s *Store) path(name string) string { return filepath.Join(s.dir, name) }

func (s *Store) sleepUnlessClosed(d time.Duration) bool {
	select {
	case <-s.closing:
		return false
	case <-time.After(d):
		return true
	}
}

// Write makes one batch last. On a full disk it waits for room.
func (s *Store) Write(w machine.Write) error {
	s.writeMu.Lock()
	defer s.writeMu.Unlock()
	if err := s.snapshotError(); err != nil {
		return err
	}
	s.replicaRecords.put(w.Records)
	if w.ReplaceLog {
		return s.replaceLog(w.Snapshot)
	}
	if len(w.Records)+w.TruncateCount+len(w.Commands) > 0 {
		if err := s.append(encodeBatch(w)); err != nil {
			return err
		}
	}
	if w.Snapshot != nil {
		return s.rotate(w.Snapshot)
	}
	return nil
}

func encodeBatch(w machine.Write) []byte {
	var payload []byte
	for _, r := range w.Records {
		payload = appendItem(payload, recordItem(itemReplicaRecord, r))
	}
	if w.TruncateCount > 0 {
		payload = appendItem(payload, truncateItem(w.TruncateCount))
	}
	for _, c := range w.Commands {
		payload = appendItem(payload, item{itemCommand, c})
	}
	return appendFrame(nil, frame{frameItems, payload})
}

func (s *Store) snapshotError() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.snapshot.err
}

// SnapshotDue says whether the log has grown longer than the last snapshot.
func (s *Store) SnapshotDue() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return !s.snapshot.writing && s.bytesSinceSnapshot > max(s.minSnapshotInterval, s.snapshot.size)
}

// append adds a frame to the log and syncs it.
func (s *Store) append(encoded []byte) error {
	path := s.path(segmentName(s.segmentNumber))
	err := s.retryWhileDiskFull(path, func() error {
		_, err := s.segment.WriteAt(encoded, s.segmentEnd)
		if err == nil {
			return nil
		}
		if cut := s.segment.Truncate(s.segmentEnd); cut != nil {
			return cut
		}
		return err
	})
	if err == nil {
		err = s.segment.Sync()
	}
	if err != nil {
		return ErrUnusable.Wrap(err, "data file %s", path)
	}
	s.segmentEnd += int64(len(encoded))
	s.mu.Lock()
	s.bytesSinceSnapshot += int64(len(encoded))
	s.mu.Unlock()
	return nil
}

// whenRoom tries again, ever more rarely, while the disk is full. Whoever waits
// for the batch takes that for a slow disk.
func (s *Store) retryWhileDiskFull(path string, attempt func() error) error {
	var waited, lastLogged time.Duration
	for delay := minDiskFullDelay; ; delay = min(2*delay, maxDiskFullDelay) {
		err := attempt()
		if err == nil || !diskFull(err) {
			return err
		}
		if waited == 0 {
			s.freeDiskSpace()
		}
		if waited == 0 || waited-lastLogged >= diskFullLogInterval {
			logging.Info("disk_full", "file", path, "waitedMs", waited.Milliseconds())
			lastLogged = waited
		}
		if !s.pause(delay) {
			return errClosed
		}
		waited += delay
	}
}

func (s *Store) freeDiskSpace() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.removeSegmentsBeforeSnapshot()
}

// dropHistory removes the segments before the last snapshot, on which nothing rests.
func (s *Store) removeSegmentsBeforeSnapshot() {
	names, err := s.fileSystem.List(s.dir)
	if err != nil {
		return
	}
	for _, n := range numbersWithPrefix(names, segmentPrefix) {
		if n < s.snapshot.number {
			// What cannot be removed now is tried again when the disk is full again.
			_ = s.removeIfExists(segmentName(n))
		}
	}
}

// rotate goes on in a new segment and has the snapshot written beside it. Without
// room for a segment it stays as it was, and a snapshot is due again later.
func (s *Store) rotate(records iter.Seq[machine.Record]) error {
	number := s.segmentNumber + 1
	segment, end, err := s.createSegment(number)
	if err != nil && diskFull(err) {
		return s.abandonRotation(number)
	}
	if err != nil {
		return ErrUnusable.Wrap(err, "data file %s", s.path(segmentName(number)))
	}
	s.switchSegment(number, segment, end)
	own := s.replicaRecords.items()
	s.mu.Lock()
	s.snapshot.writing = true
	s.mu.Unlock()
	s.background.Go(func() { s.writeSnapshotInBackground(number, own, records) })
	return nil
}

// stay undoes what was made of a segment. Its name must not come back after a loss of
// power: the segment before it would then not be the last, and may be torn.
func (s *Store) abandonRotation(number uint64) error {
	s.mu.Lock()
	s.bytesSinceSnapshot = 0
	s.mu.Unlock()
	err := s.removeIfExists(segmentName(number))
	if err == nil {
		err = s.fileSystem.SyncDir(s.dir)
	}
	if err != nil {
		return ErrUnusable.Wrap(err, "data file %s", s.path(segmentName(number)))
	}
	return nil
}

// writeBeside writes a snapshot while the log goes on. On a full disk it gives up:
// the snapshot before stands, and another one is due later.
func (s *Store) writeSnapshotInBackground(number uint64, own []item, records iter.Seq[machine.Record]) {
	size, err := s.writeSnapshot(number, own, records, true)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.snapshot.writing = false
	switch {
	case err == nil:
		s.snapshot.number, s.snapshot.size = number, size
	case errors.Is(err, errClosed):
	case diskFull(err):
		s.removeSegmentsBeforeSnapshot()
		logging.Info("snapshot_put_off", "number", number, "why", err.Error())
	default:
		s.snapshot.err = ErrUnusable.Wrap(err, "data file %s", s.path(snapshotName(number)))
	}
}

// replace makes a snapshot of another history last, in place of all before it.
func (s *Store) replaceLog(records iter.Seq[machine.Record]) error {
	s.background.Wait()
	if err := s.snapshotError(); err != nil {
		return err
	}
	number := s.segmentNumber + 1
	path := s.path(snapshotName(number))
	var segment file
	var end, size int64
	err := s.retryWhileDiskFull(path, func() (err error) {
		if segment, end, err = s.createSegment(number); err != nil {
			return err
		}
		if size, err = s.writeSnapshot(number, s.replicaRecords.items(), records, false); err != nil {
			segment.Close()
		}
		return err
	})
	if err != nil {
		return ErrUnusable.Wrap(err, "data file %s", path)
	}
	s.switchSegment(number, segment, end)
	s.mu.Lock()
	s.snapshot.number, s.snapshot.size = number, size
	s.mu.Unlock()
	return nil
}

func (s *Store) switchSegment(number uint64, segment file, end int64) {
	if s.segment != nil {
		s.segment.Close()
	}
	s.segmentNumber, s.segment, s.segmentEnd = number, segment, end
	s.mu.Lock()
	s.bytesSinceSnapshot = 0
	s.mu.Unlock()
}

// makeSegment makes an empty segment and its name last.
func (s *Store) createSegment(number uint64) (segment file, end int64, err error) {
	segment, err = s.fileSystem.Create(s.path(segmentName(number)))
	if err != nil {
		return nil, 0, err
	}
	header := headerFrame(number)
	if _, err = segment.WriteAt(header, 0); err == nil {
		err = segment.Sync()
	}
	if err == nil {
		err = s.fileSystem.SyncDir(s.dir)
	}
	if err != nil {
		segment.Close()
		return nil, 0, err
	}
	return segment, int64(len(header)), nil
}

// Close ends what is under way and lets go of the folder.
func (s *Store) Close() (err error) {
	s.closeOnce.Do(func() {
		close(s.closing)
		s.writeMu.Lock()
		defer s.writeMu.Unlock()
		s.background.Wait()
		s.mu.Lock()
		s.snapshot.err = errClosed
		s.mu.Unlock()
		err = errors.Join(s.segment.Close(), s.lock.Close())
	})
	return err
}

// Package storage keeps a replica's durable state in a directory: a log of commands, and
// snapshots of the state that the log produces.
//
// The files are log-N and snapshot-N. Segment N of the log begins at the log position of
// snapshot N, so the durable state is the newest snapshot and all segments from its number
// on. A batch is one frame at the end of the last segment, and is synced before Write
// returns. A snapshot is written while the log continues in a new segment:
//
//  1. The new segment is created and synced, and so is the directory.
//  2. The snapshot is written to a temporary file, synced and renamed, and the directory
//     is synced.
//  3. The older files are removed.
//
// At any time, one snapshot and all segments after it are therefore durable. A torn frame
// that a power loss leaves at the end of the last segment is removed: its batch was never
// reported as written. Any other damage is reported with the name of the file, and no
// repair is attempted.
package storage

import (
	"errors"
	"fmt"
	"io"
	"path/filepath"
	"sync"
	"time"

	"sorrelloom/core/machine"
)

// defaultMinSnapshotInterval is the minimum number of bytes that the log grows between
// snapshots.
const defaultMinSnapshotInterval = 4 << 20

// Store is an open data directory. Write and SnapshotDue must be called by one goroutine
// only; Close may be called by any.
type Store struct {
	fileSystem          fileSystem
	dir                 string
	lock                io.Closer
	minSnapshotInterval int64

	// replicaRecords and segment are only used by the goroutine that calls Write.
	replicaRecords replicaRecords
	segment        segment

	// pause waits. It reports false if the store is being closed.
	pause     func(time.Duration) bool
	closing   chan struct{}
	closeOnce sync.Once

	// writeMu is held by Write, and by Close to wait for a write in progress.
	writeMu sync.Mutex
	// background tracks the goroutine that writes a snapshot.
	background sync.WaitGroup

	// mu guards the fields below, which the background goroutine also uses.
	mu                 sync.Mutex
	bytesSinceSnapshot int64
	snapshot           snapshotState
}

// snapshotState describes the last durable snapshot and the one being written.
type snapshotState struct {
	writing bool
	// number and size are those of the last durable snapshot.
	number uint64
	size   int64
	// err, if set, is returned by all further writes.
	err error
}

// Open opens and locks a data directory, creating it if it doesn't exist, and returns the
// stored state.
func Open(dir string) (*Store, machine.StoredState, error) { return open(osFileSystem{}, dir) }

func open(files fileSystem, dir string) (*Store, machine.StoredState, error) {
	if err := files.MakeDir(dir); err != nil {
		return nil, machine.StoredState{}, unusable(dir, err)
	}
	lock, err := files.Lock(dir)
	if err != nil {
		return nil, machine.StoredState{}, unusable(dir, fmt.Errorf("lock against other processes: %w", err))
	}
	s := &Store{
		fileSystem: files, dir: dir, lock: lock, minSnapshotInterval: defaultMinSnapshotInterval,
		replicaRecords: replicaRecords{}, closing: make(chan struct{}),
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

// Write makes a batch durable. While the disk is full, it waits and retries.
func (s *Store) Write(write machine.Write) error {
	s.writeMu.Lock()
	defer s.writeMu.Unlock()
	if err := s.snapshotError(); err != nil {
		return err
	}
	s.replicaRecords.put(write.Records)
	if write.ReplaceLog {
		return s.replaceLog(write.Snapshot)
	}
	if len(write.Records)+write.TruncateCount+len(write.Commands) > 0 {
		if err := s.append(encodeBatch(write)); err != nil {
			return err
		}
	}
	if write.Snapshot != nil {
		return s.rotate(write.Snapshot)
	}
	return nil
}

func encodeBatch(write machine.Write) []byte {
	var payload []byte
	for _, record := range write.Records {
		payload = appendItem(payload, recordItem(itemReplicaRecord, record))
	}
	if write.TruncateCount > 0 {
		payload = appendItem(payload, truncateItem(write.TruncateCount))
	}
	for _, command := range write.Commands {
		payload = appendItem(payload, item{itemCommand, command})
	}
	return appendFrame(nil, frame{kindItems, payload})
}

func (s *Store) snapshotError() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.snapshot.err
}

// SnapshotDue reports whether the log has grown enough since the last snapshot for the next
// batch to include a new one.
func (s *Store) SnapshotDue() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return !s.snapshot.writing && s.bytesSinceSnapshot > max(s.minSnapshotInterval, s.snapshot.size)
}

// Close waits for the write in progress, abandons a snapshot in progress and unlocks the
// directory.
func (s *Store) Close() (err error) {
	s.closeOnce.Do(func() {
		close(s.closing)
		s.writeMu.Lock()
		defer s.writeMu.Unlock()
		s.background.Wait()
		s.mu.Lock()
		s.snapshot.err = ErrClosed
		s.mu.Unlock()
		err = errors.Join(s.segment.file.Close(), s.lock.Close())
	})
	return err
}

// Package storage keeps a replica's durable state in a directory: a log of commands, and
// snapshots of the state that the log leads up to.
//
// The files are log-N and snapshot-N. Segment N of the log begins at the log position of
// snapshot N, so the durable state is the newest snapshot and all segments from its number
// on. A batch is one frame at the end of the last segment, and is synced before Write
// returns. A snapshot is written while the log goes on in a new segment:
//
//  1. The new segment is created and synced, and so is its name in the directory.
//  2. The snapshot is written under a temporary name, synced and renamed, and the
//     directory is synced.
//  3. Only then the older files are removed.
//
// So at every moment one snapshot and all segments after it are durable. After a power
// loss a torn frame at the end of the last segment is cut off: the batch was never
// reported as written. Any other damage is reported with the file's name and never
// repaired by guessing.
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

// defaultMinSnapshotInterval is how many bytes the log grows at least between snapshots.
const defaultMinSnapshotInterval = 4 << 20

// Store is an open data directory. Write and SnapshotDue are called by one goroutine;
// Close may be called by any.
type Store struct {
	fileSystem          fileSystem
	dir                 string
	lock                io.Closer
	minSnapshotInterval int64

	// replicaRecords and segment belong to the goroutine that calls Write.
	replicaRecords replicaRecords
	segment        segment

	// pause waits, and reports false if the store is being closed.
	pause     func(time.Duration) bool
	closing   chan struct{}
	closeOnce sync.Once

	// writeMu is held by Write, and by Close while it waits for the last one.
	writeMu sync.Mutex
	// background counts the goroutine that writes a snapshot.
	background sync.WaitGroup

	// mu guards the fields below, which the background goroutine uses as well.
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
	// err ends all further writes.
	err error
}

// Open locks a data directory, which is created if it doesn't exist, and returns what it
// stores.
func Open(dir string) (*Store, machine.StoredState, error) { return open(osFileSystem{}, dir) }

func open(files fileSystem, dir string) (*Store, machine.StoredState, error) {
	if err := files.MakeDir(dir); err != nil {
		return nil, machine.StoredState{}, unusable(dir, err)
	}
	lock, err := files.Lock(dir)
	if err != nil {
		return nil, machine.StoredState{}, unusable(dir, fmt.Errorf("lock it against other processes: %w", err))
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

// Write makes a batch durable. While the disk is full it waits.
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

// SnapshotDue reports whether the log has outgrown the last snapshot, so that the next
// batch should carry a new one.
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

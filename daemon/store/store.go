// Package store keeps what a keeper has on its disk: a log of commands, and
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
package store

import (
	"errors"
	"io"
	"iter"
	"path/filepath"
	"sync"
	"time"

	"github.com/joomcode/errorx"

	"sorrelloom/core/machine"
	"sorrelloom/daemon/logline"
)

var (
	namespace = errorx.NewNamespace("store")
	Damaged   = namespace.NewType("damaged")
	Unusable  = namespace.NewType("unusable")
)

var errClosed = errors.New("the store is closed")

const (
	// logMin is how long the log grows at least before the next snapshot.
	logMin = 4 << 20
	// roomWaitMin and roomWaitMax bound the pauses between tries on a full disk.
	roomWaitMin = 50 * time.Millisecond
	roomWaitMax = time.Second
	roomLogEach = time.Second
)

// Store is an open folder. Write and SnapshotDue are for one goroutine.
type Store struct {
	files  fileSystem
	folder string
	lock   io.Closer
	own    ownRecords
	logMin int64

	number  uint64 // of the last segment
	segment file
	end     int64 // of the last whole frame of the segment
	logged  int64 // bytes since the last snapshot was begun

	// pause waits, or says that the store is being closed.
	pause   func(time.Duration) bool
	closing chan struct{}
	once    sync.Once

	writing sync.Mutex // held by Write, and by Close at its end

	background sync.WaitGroup
	mu         sync.Mutex // guards what the snapshot's goroutine shares
	snapshot   snapshotState
}

// snapshotState is of the snapshot being written, and of the last one.
type snapshotState struct {
	busy   bool
	size   int64
	failed error
}

// Open locks the folder and gives back what it stores.
func Open(folder string) (*Store, machine.Stored, error) { return open(osFiles{}, folder) }

func open(files fileSystem, folder string) (*Store, machine.Stored, error) {
	if err := files.MakeFolder(folder); err != nil {
		return nil, machine.Stored{}, Unusable.Wrap(err, "data folder %s", folder)
	}
	lock, err := files.Lock(folder)
	if err != nil {
		return nil, machine.Stored{}, Unusable.Wrap(err, "data folder %s is in use", folder)
	}
	s := &Store{files: files, folder: folder, lock: lock, own: ownRecords{}, logMin: logMin, closing: make(chan struct{})}
	s.pause = s.sleep
	stored, err := s.recover()
	if err != nil {
		lock.Close()
		return nil, machine.Stored{}, err
	}
	return s, stored, nil
}

func (s *Store) path(name string) string { return filepath.Join(s.folder, name) }

func (s *Store) sleep(d time.Duration) bool {
	select {
	case <-s.closing:
		return false
	case <-time.After(d):
		return true
	}
}

// Write makes one batch last. On a full disk it waits for room.
func (s *Store) Write(w machine.Write) error {
	s.writing.Lock()
	defer s.writing.Unlock()
	if err := s.failure(); err != nil {
		return err
	}
	s.own.put(w.Records)
	if w.Replace {
		return s.replace(w.Snapshot)
	}
	if len(w.Records)+w.Drop+len(w.Commands) > 0 {
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
		payload = appendItem(payload, recordItem(itemOwn, r))
	}
	if w.Drop > 0 {
		payload = appendItem(payload, dropItem(w.Drop))
	}
	for _, c := range w.Commands {
		payload = appendItem(payload, item{itemCommand, c})
	}
	return appendFrame(nil, frame{kindItems, payload})
}

func (s *Store) failure() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.snapshot.failed
}

// SnapshotDue says whether the log has grown longer than the last snapshot.
func (s *Store) SnapshotDue() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return !s.snapshot.busy && s.logged > max(s.logMin, s.snapshot.size)
}

// append adds a frame to the log and syncs it.
func (s *Store) append(encoded []byte) error {
	path := s.path(segmentName(s.number))
	err := s.whenRoom(path, func() error {
		_, err := s.segment.WriteAt(encoded, s.end)
		if err == nil {
			return nil
		}
		if cut := s.segment.Truncate(s.end); cut != nil {
			return cut
		}
		return err
	})
	if err == nil {
		err = s.segment.Sync()
	}
	if err != nil {
		return Unusable.Wrap(err, "data file %s", path)
	}
	s.end += int64(len(encoded))
	s.mu.Lock()
	s.logged += int64(len(encoded))
	s.mu.Unlock()
	return nil
}

// whenRoom tries again, ever more rarely, while the disk is full. Whoever waits
// for the batch takes that for a slow disk.
func (s *Store) whenRoom(path string, try func() error) error {
	var waited, loggedAt time.Duration
	for wait := roomWaitMin; ; wait = min(2*wait, roomWaitMax) {
		err := try()
		if err == nil || !diskFull(err) {
			return err
		}
		if waited == 0 || waited-loggedAt >= roomLogEach {
			logline.Event("disk_full", "file", path, "waitedMs", waited.Milliseconds())
			loggedAt = waited
		}
		if !s.pause(wait) {
			return errClosed
		}
		waited += wait
	}
}

// rotate goes on in a new segment and has the snapshot written beside it. Without
// room for a segment it stays as it was, and a snapshot is due again later.
func (s *Store) rotate(records iter.Seq[machine.Record]) error {
	number := s.number + 1
	segment, end, err := s.makeSegment(number)
	if err != nil && diskFull(err) {
		return s.stay(number)
	}
	if err != nil {
		return Unusable.Wrap(err, "data file %s", s.path(segmentName(number)))
	}
	s.useSegment(number, segment, end)
	own := s.own.items()
	s.mu.Lock()
	s.snapshot.busy = true
	s.mu.Unlock()
	s.background.Go(func() { s.writeBeside(number, own, records) })
	return nil
}

// stay undoes what was made of a segment. Its name must not come back after a loss of
// power: the segment before it would then not be the last, and may be torn.
func (s *Store) stay(number uint64) error {
	s.mu.Lock()
	s.logged = 0
	s.mu.Unlock()
	err := s.removeIfThere(segmentName(number))
	if err == nil {
		err = s.files.SyncFolder(s.folder)
	}
	if err != nil {
		return Unusable.Wrap(err, "data file %s", s.path(segmentName(number)))
	}
	return nil
}

// writeBeside writes a snapshot while the log goes on. On a full disk it gives up:
// the snapshot before stands, and another one is due later.
func (s *Store) writeBeside(number uint64, own []item, records iter.Seq[machine.Record]) {
	size, err := s.writeSnapshot(number, own, records, true)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.snapshot.busy = false
	switch {
	case err == nil:
		s.snapshot.size = size
	case errors.Is(err, errClosed):
	case diskFull(err):
		logline.Event("snapshot_put_off", "number", number, "why", err.Error())
	default:
		s.snapshot.failed = Unusable.Wrap(err, "data file %s", s.path(snapshotName(number)))
	}
}

// replace makes a snapshot of another history last, in place of all before it.
func (s *Store) replace(records iter.Seq[machine.Record]) error {
	s.background.Wait()
	if err := s.failure(); err != nil {
		return err
	}
	number := s.number + 1
	path := s.path(snapshotName(number))
	var segment file
	var end, size int64
	err := s.whenRoom(path, func() (err error) {
		if segment, end, err = s.makeSegment(number); err != nil {
			return err
		}
		if size, err = s.writeSnapshot(number, s.own.items(), records, false); err != nil {
			segment.Close()
		}
		return err
	})
	if err != nil {
		return Unusable.Wrap(err, "data file %s", path)
	}
	s.useSegment(number, segment, end)
	s.mu.Lock()
	s.snapshot.size = size
	s.mu.Unlock()
	return nil
}

func (s *Store) useSegment(number uint64, segment file, end int64) {
	if s.segment != nil {
		s.segment.Close()
	}
	s.number, s.segment, s.end = number, segment, end
	s.mu.Lock()
	s.logged = 0
	s.mu.Unlock()
}

// makeSegment makes an empty segment and its name last.
func (s *Store) makeSegment(number uint64) (segment file, end int64, err error) {
	segment, err = s.files.Create(s.path(segmentName(number)))
	if err != nil {
		return nil, 0, err
	}
	head := headFrame(number)
	if _, err = segment.WriteAt(head, 0); err == nil {
		err = segment.Sync()
	}
	if err == nil {
		err = s.files.SyncFolder(s.folder)
	}
	if err != nil {
		segment.Close()
		return nil, 0, err
	}
	return segment, int64(len(head)), nil
}

// Close ends what is under way and lets go of the folder.
func (s *Store) Close() (err error) {
	s.once.Do(func() {
		close(s.closing)
		s.writing.Lock()
		defer s.writing.Unlock()
		s.background.Wait()
		s.mu.Lock()
		s.snapshot.failed = errClosed
		s.mu.Unlock()
		err = errors.Join(s.segment.Close(), s.lock.Close())
	})
	return err
}

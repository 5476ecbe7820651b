// Writing snapshots, and removing what they stand for.

package storage

import (
	"encoding/binary"
	"errors"
	"io/fs"
	"iter"
	"time"

	"sorrelloom/core/machine"
)

const (
	// pieceMin is how much of a snapshot is encoded at a time, at least.
	minChunkSize = 64 << 10
	// piecePause leaves the processor and the disk to the log between two pieces.
	chunkPause = 5 * time.Millisecond
)

func headerFrame(number uint64) []byte {
	return appendFrame(nil, frame{frameHeader, binary.AppendUvarint(nil, number)})
}

// snapshotWriter writes a snapshot in pieces.
type snapshotWriter struct {
	file      file
	end       int64
	itemCount uint64
	chunk     []byte
	// between is called between two pieces and may end the writing.
	afterChunk func() error
}

func (w *snapshotWriter) writeFrame(f frame) error {
	encoded := appendFrame(nil, f)
	_, err := w.file.WriteAt(encoded, w.end)
	w.end += int64(len(encoded))
	return err
}

func (w *snapshotWriter) add(i item) error {
	w.itemCount++
	if w.chunk = appendItem(w.chunk, i); len(w.chunk) < minChunkSize {
		return nil
	}
	return w.flush()
}

func (w *snapshotWriter) flush() error {
	if len(w.chunk) == 0 {
		return nil
	}
	err := w.writeFrame(frame{frameItems, w.chunk})
	w.chunk = w.chunk[:0]
	if err != nil {
		return err
	}
	return w.afterChunk()
}

// writeAll writes all items and the foot, and syncs the file.
func (w *snapshotWriter) writeAll(own []item, records iter.Seq[machine.Record]) error {
	for _, i := range own {
		if err := w.add(i); err != nil {
			return err
		}
	}
	for r := range records {
		if err := w.add(recordItem(itemStateRecord, r)); err != nil {
			return err
		}
	}
	if err := w.flush(); err != nil {
		return err
	}
	if err := w.writeFrame(frame{frameFooter, binary.AppendUvarint(nil, w.itemCount)}); err != nil {
		return err
	}
	return w.file.Sync()
}

// writeSnapshot makes a snapshot last, with pauses if the log goes on meanwhile, and
// removes what it stands for. It gives the size of the file.
func (s *Store) writeSnapshot(number uint64, own []item, records iter.Seq[machine.Record], inBackground bool) (int64, error) {
	temporary := s.path(temporarySnapshotName)
	f, err := s.fileSystem.Create(temporary)
	if err != nil {
		return 0, err
	}
	w := &snapshotWriter{file: f, afterChunk: func() error {
		if inBackground && !s.pause(chunkPause) {
			return errClosed
		}
		return nil
	}}
	if err = w.writeFrame(frame{frameHeader, binary.AppendUvarint(nil, number)}); err == nil {
		err = w.writeAll(own, records)
	}
	if err = errors.Join(err, f.Close()); err != nil {
		return 0, errors.Join(err, s.removeIfExists(temporarySnapshotName))
	}
	if err := s.fileSystem.Rename(temporary, s.path(snapshotName(number))); err != nil {
		return 0, err
	}
	if err := s.fileSystem.SyncDir(s.dir); err != nil {
		return 0, err
	}
	return w.end, s.removeObsolete(number)
}

// removeBefore removes what a lasting snapshot stands for. The segment that leads up
// to it stays: its commands bring on others that are a little behind.
func (s *Store) removeObsolete(number uint64) error {
	names, err := s.fileSystem.List(s.dir)
	if err != nil {
		return err
	}
	for _, n := range numbersWithPrefix(names, snapshotPrefix) {
		if n < number {
			err = errors.Join(err, s.removeIfExists(snapshotName(n)))
		}
	}
	for _, n := range numbersWithPrefix(names, segmentPrefix) {
		if n+1 < number {
			err = errors.Join(err, s.removeIfExists(segmentName(n)))
		}
	}
	return err
}

func (s *Store) removeIfExists(name string) error {
	if err := s.fileSystem.Remove(s.path(name)); err != nil && !errors.Is(err, fs.ErrNotExist) {
		return err
	}
	return nil
}

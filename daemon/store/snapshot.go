package store

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
	pieceMin = 64 << 10
	// piecePause leaves the processor and the disk to the log between two pieces.
	piecePause = 5 * time.Millisecond
)

func headFrame(number uint64) []byte {
	return appendFrame(nil, frame{kindHead, binary.AppendUvarint(nil, number)})
}

// snapshotWriter writes a snapshot in pieces.
type snapshotWriter struct {
	file  file
	end   int64
	items uint64
	piece []byte
	// between is called between two pieces and may end the writing.
	between func() error
}

func (w *snapshotWriter) put(f frame) error {
	encoded := appendFrame(nil, f)
	_, err := w.file.WriteAt(encoded, w.end)
	w.end += int64(len(encoded))
	return err
}

func (w *snapshotWriter) add(i item) error {
	w.items++
	if w.piece = appendItem(w.piece, i); len(w.piece) < pieceMin {
		return nil
	}
	return w.flush()
}

func (w *snapshotWriter) flush() error {
	if len(w.piece) == 0 {
		return nil
	}
	err := w.put(frame{kindItems, w.piece})
	w.piece = w.piece[:0]
	if err != nil {
		return err
	}
	return w.between()
}

// writeAll writes all items and the foot, and syncs the file.
func (w *snapshotWriter) writeAll(own []item, records iter.Seq[machine.Record]) error {
	for _, i := range own {
		if err := w.add(i); err != nil {
			return err
		}
	}
	for r := range records {
		if err := w.add(recordItem(itemLedger, r)); err != nil {
			return err
		}
	}
	if err := w.flush(); err != nil {
		return err
	}
	if err := w.put(frame{kindFoot, binary.AppendUvarint(nil, w.items)}); err != nil {
		return err
	}
	return w.file.Sync()
}

// writeSnapshot makes a snapshot last, with pauses if the log goes on meanwhile, and
// removes what it stands for. It gives the size of the file.
func (s *Store) writeSnapshot(number uint64, own []item, records iter.Seq[machine.Record], beside bool) (int64, error) {
	temporary := s.path(temporaryName)
	f, err := s.files.Create(temporary)
	if err != nil {
		return 0, err
	}
	w := &snapshotWriter{file: f, between: func() error {
		if beside && !s.pause(piecePause) {
			return errClosed
		}
		return nil
	}}
	if err = w.put(frame{kindHead, binary.AppendUvarint(nil, number)}); err == nil {
		err = w.writeAll(own, records)
	}
	if err = errors.Join(err, f.Close()); err != nil {
		return 0, errors.Join(err, s.removeIfThere(temporaryName))
	}
	if err := s.files.Rename(temporary, s.path(snapshotName(number))); err != nil {
		return 0, err
	}
	if err := s.files.SyncFolder(s.folder); err != nil {
		return 0, err
	}
	return w.end, s.removeBefore(number)
}

// removeBefore removes what a lasting snapshot stands for. The segment that leads up
// to it stays: its commands bring on others that are a little behind.
func (s *Store) removeBefore(number uint64) error {
	names, err := s.files.List(s.folder)
	if err != nil {
		return err
	}
	for _, n := range numbered(names, snapshotPrefix) {
		if n < number {
			err = errors.Join(err, s.removeIfThere(snapshotName(n)))
		}
	}
	for _, n := range numbered(names, segmentPrefix) {
		if n+1 < number {
			err = errors.Join(err, s.removeIfThere(segmentName(n)))
		}
	}
	return err
}

func (s *Store) removeIfThere(name string) error {
	if err := s.files.Remove(s.path(name)); err != nil && !errors.Is(err, fs.ErrNotExist) {
		return err
	}
	return nil
}

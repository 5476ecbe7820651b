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
	// minChunkSize is the minimum number of bytes that a snapshot encodes before it writes
	// them as one chunk.
	minChunkSize = 64 << 10
	// chunkPause is the delay between two chunks, which leaves CPU time and disk bandwidth to
	// the log.
	chunkPause = 5 * time.Millisecond
)

// snapshotWriter writes a snapshot in chunks.
type snapshotWriter struct {
	file      file
	end       int64
	itemCount uint64
	chunk     []byte
	// afterChunk is called after each chunk. If it fails, the snapshot is abandoned.
	afterChunk func() error
}

func (w *snapshotWriter) writeFrame(f frame) error {
	encoded := appendFrame(nil, f)
	_, err := w.file.WriteAt(encoded, w.end)
	w.end += int64(len(encoded))
	return err
}

// add adds an item to the chunk, and writes the chunk once it has minChunkSize bytes.
func (w *snapshotWriter) add(i item) error {
	w.itemCount++
	w.chunk = appendItem(w.chunk, i)
	if len(w.chunk) < minChunkSize {
		return nil
	}
	return w.flush()
}

func (w *snapshotWriter) flush() error {
	if len(w.chunk) == 0 {
		return nil
	}
	err := w.writeFrame(frame{kindItems, w.chunk})
	w.chunk = w.chunk[:0]
	if err != nil {
		return err
	}
	return w.afterChunk()
}

// writeAll writes the header, all items and the footer, and syncs the file.
func (w *snapshotWriter) writeAll(number uint64, replicaItems []item, stateRecords iter.Seq[machine.Record]) error {
	if err := w.writeFrame(frame{kindHeader, binary.AppendUvarint(nil, number)}); err != nil {
		return err
	}
	for _, i := range replicaItems {
		if err := w.add(i); err != nil {
			return err
		}
	}
	for record := range stateRecords {
		if err := w.add(recordItem(itemStateRecord, record)); err != nil {
			return err
		}
	}
	if err := w.flush(); err != nil {
		return err
	}
	if err := w.writeFrame(frame{kindFooter, binary.AppendUvarint(nil, w.itemCount)}); err != nil {
		return err
	}
	return w.file.Sync()
}

func (s *Store) pauseBetweenChunks() error {
	if !s.pause(chunkPause) {
		return ErrClosed
	}
	return nil
}

func noPause() error { return nil }

// writeSnapshot makes a snapshot durable, removes the files that it makes obsolete, and
// returns its size. The file gets its final name only when it is complete, so that an
// incomplete file of that name is always a sign of damage.
func (s *Store) writeSnapshot(
	number uint64, replicaItems []item, stateRecords iter.Seq[machine.Record], afterChunk func() error,
) (size int64, err error) {
	temporary := s.path(temporarySnapshotName)
	created, err := s.fileSystem.Create(temporary)
	if err != nil {
		return 0, err
	}
	writer := &snapshotWriter{file: created, afterChunk: afterChunk}
	err = writer.writeAll(number, replicaItems, stateRecords)
	if err = errors.Join(err, created.Close()); err != nil {
		return 0, errors.Join(err, s.removeIfExists(temporarySnapshotName))
	}
	if err := s.fileSystem.Rename(temporary, s.path(snapshotName(number))); err != nil {
		return 0, err
	}
	if err := s.fileSystem.SyncDir(s.dir); err != nil {
		return 0, err
	}
	return writer.end, s.removeObsolete(number)
}

// removeObsolete removes the files that a durable snapshot replaces. It keeps the segment
// right before the snapshot, whose commands bring replicas up to date that are slightly
// behind.
func (s *Store) removeObsolete(snapshot uint64) error {
	names, err := s.fileSystem.List(s.dir)
	if err != nil {
		return err
	}
	for _, number := range numbersWithPrefix(names, snapshotPrefix) {
		if number < snapshot {
			err = errors.Join(err, s.removeIfExists(snapshotName(number)))
		}
	}
	for _, number := range numbersWithPrefix(names, segmentPrefix) {
		if number+1 < snapshot {
			err = errors.Join(err, s.removeIfExists(segmentName(number)))
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

// Package audit records a replica's decisions in a Merkle log with signed checkpoints, in the
// published formats of the Go packages tlog and note, so that third parties can verify them
// with their own programs. Nothing waits for the audit log: if it cannot keep up, or its disk
// fails, scheduling continues and the log has a gap.
package audit

import (
	"bufio"
	"crypto/rand"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"slices"
	"time"

	"golang.org/x/mod/sumdb/note"
	"golang.org/x/mod/sumdb/tlog"

	"sorrelloom/core/machine"
	"sorrelloom/core/state"
	"sorrelloom/daemon/logging"
	"sorrelloom/daemon/pool"
)

// Names of the files in the directory of a log.
const (
	entriesName    = "entries.jsonl"
	hashesName     = "hashes"
	checkpointName = "checkpoint"
	secretName     = "secret.key"
	publicName     = "public.key"
)

const (
	originPrefix = "sorrelloom/"
	// queueCapacity is the maximum number of entries that wait to be written.
	queueCapacity = 8192
	// signInterval is the time between checkpoints while entries are written.
	signInterval = time.Second

	dirMode    os.FileMode = 0o700
	secretMode os.FileMode = 0o600
	publicMode os.FileMode = 0o644
)

// ErrCorrupted is returned if the entries of a log cannot be decoded.
var ErrCorrupted = errors.New("the audit log is corrupted")

// Log is the audit log of one replica.
type Log struct {
	dir     string
	origin  string
	signer  note.Signer
	entries *os.File
	hashes  *os.File
	// size is the number of entries.
	size int64
	// lastIndex is the log position of the command that produced the last entry.
	lastIndex uint64
	queue     chan machine.AuditEntry
}

// Open opens the log in a directory, or creates it. A partial entry at the end, which a power
// loss may leave, is removed.
func Open(dir, origin string) (*Log, error) {
	if err := os.MkdirAll(dir, dirMode); err != nil {
		return nil, err
	}
	l := &Log{dir: dir, origin: originPrefix + origin, queue: make(chan machine.AuditEntry, queueCapacity)}
	var err error
	if l.signer, err = l.loadOrCreateKey(); err != nil {
		return nil, fmt.Errorf("signing key in %s: %w", dir, err)
	}
	if l.entries, err = os.OpenFile(filepath.Join(dir, entriesName), os.O_CREATE|os.O_RDWR, secretMode); err != nil {
		return nil, err
	}
	if l.hashes, err = os.OpenFile(filepath.Join(dir, hashesName), os.O_CREATE|os.O_RDWR, secretMode); err != nil {
		return nil, err
	}
	if err := l.recover(); err != nil {
		return nil, err
	}
	return l, nil
}

func (l *Log) loadOrCreateKey() (note.Signer, error) {
	path := filepath.Join(l.dir, secretName)
	secret, err := os.ReadFile(path)
	if errors.Is(err, os.ErrNotExist) {
		secret, err = l.createKey(path)
	}
	if err != nil {
		return nil, err
	}
	return note.NewSigner(string(secret))
}

// createKey generates and stores a key pair, and returns the secret key.
func (l *Log) createKey(path string) ([]byte, error) {
	secret, public, err := note.GenerateKey(rand.Reader, l.origin)
	if err != nil {
		return nil, err
	}
	if err := os.WriteFile(filepath.Join(l.dir, publicName), []byte(public+"\n"), publicMode); err != nil {
		return nil, err
	}
	return []byte(secret), os.WriteFile(path, []byte(secret), secretMode)
}

// recover reads the entries and recomputes their hashes.
func (l *Log) recover() error {
	reader := bufio.NewReader(l.entries)
	var end int64
	for {
		line, err := reader.ReadBytes('\n')
		if errors.Is(err, io.EOF) {
			break
		}
		if err != nil {
			return err
		}
		var entry state.AuditEntry
		if err := json.Unmarshal(line, &entry); err != nil {
			return fmt.Errorf("%w: entry %d of %s: %w", ErrCorrupted, l.size, l.dir, err)
		}
		if err := l.appendHashes(line[:len(line)-1]); err != nil {
			return err
		}
		end += int64(len(line))
		l.lastIndex = entry.Index
	}
	if err := l.entries.Truncate(end); err != nil {
		return err
	}
	_, err := l.entries.Seek(end, io.SeekStart)
	return err
}

// appendHashes stores the hashes that a new entry adds to the Merkle tree.
func (l *Log) appendHashes(entry []byte) error {
	hashes, err := tlog.StoredHashes(l.size, entry, hashReader(l.hashes))
	if err != nil {
		return err
	}
	first := tlog.StoredHashCount(l.size)
	for i, hash := range hashes {
		if _, err := l.hashes.WriteAt(hash[:], (first+int64(i))*tlog.HashSize); err != nil {
			return err
		}
	}
	l.size++
	return nil
}

// hashReader returns a reader of the hashes stored in a file.
func hashReader(file io.ReaderAt) tlog.HashReader {
	return tlog.HashReaderFunc(func(indexes []int64) ([]tlog.Hash, error) {
		hashes := make([]tlog.Hash, len(indexes))
		for i, index := range indexes {
			if _, err := file.ReadAt(hashes[i][:], index*tlog.HashSize); err != nil {
				return nil, err
			}
		}
		return hashes, nil
	})
}

// TryAppend queues an entry without blocking. It reports false if the queue is full and the
// entry is dropped.
func (l *Log) TryAppend(entry machine.AuditEntry) bool {
	select {
	case l.queue <- entry:
		return true
	default:
		return false
	}
}

// Run writes the queued entries in the background until the process ends or a write fails.
func (l *Log) Run() {
	pool.Go(func() {
		if err := l.writeLoop(); err != nil {
			logging.Error("audit_failed", "error", err.Error())
		}
	})
}

// writeLoop writes queued entries and signs checkpoints. It returns the first error.
func (l *Log) writeLoop() error {
	ticker := time.NewTicker(signInterval)
	defer ticker.Stop()
	signedSize := l.size
	for {
		select {
		case entry := <-l.queue:
			if err := l.write(entry); err != nil {
				return err
			}
		case <-ticker.C:
			if signedSize == l.size {
				continue
			}
			if err := l.sign(); err != nil {
				return err
			}
			signedSize = l.size
		}
	}
}

// write appends an entry. Entries that are already in the log, as the first ones after a
// restart may be, are skipped.
func (l *Log) write(entry machine.AuditEntry) error {
	if entry.Index <= l.lastIndex {
		return nil
	}
	data := entry.Encode()
	if _, err := l.entries.Write(append(slices.Clone([]byte(data)), '\n')); err != nil {
		return err
	}
	l.lastIndex = entry.Index
	return l.appendHashes(data)
}

// sign syncs the log and replaces the checkpoint by one that covers all entries.
func (l *Log) sign() error {
	for _, file := range []*os.File{l.entries, l.hashes} {
		if err := file.Sync(); err != nil {
			return err
		}
	}
	root, err := tlog.TreeHash(l.size, hashReader(l.hashes))
	if err != nil {
		return err
	}
	signed, err := note.Sign(&note.Note{Text: checkpoint{l.origin, l.size, root}.encode()}, l.signer)
	if err != nil {
		return err
	}
	path := filepath.Join(l.dir, checkpointName)
	temporary := path + ".new"
	if err := os.WriteFile(temporary, signed, publicMode); err != nil {
		return err
	}
	return os.Rename(temporary, path)
}

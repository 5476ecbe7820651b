// Package audit writes a keeper's decisions as a Merkle log with signed
// checkpoints, in the published tlog and note formats, so that others can check
// them with their own programs. It follows the ledger and is never waited for:
// when it cannot keep up or its disk fails, scheduling goes on and a gap shows.
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
	"strconv"
	"strings"
	"time"

	"golang.org/x/mod/sumdb/note"
	"golang.org/x/mod/sumdb/tlog"

	"sorrelloom/core/machine"
	"sorrelloom/core/state"
	"sorrelloom/daemon/logging"
	"sorrelloom/daemon/pool"
)

const (
	entriesName    = "entries.jsonl"
	hashesName     = "hashes"
	checkpointName = "checkpoint"
	secretName     = "secret.key"
	publicName     = "public.key"
	queueCapacity  = 8192
	signInterval   = time.Second
)

// Log is one keeper's log.
type Log struct {
	dir       string
	origin    string
	signer    note.Signer
	entries   *os.File
	hashes    *os.File
	size      int64
	lastIndex uint64
	queue     chan machine.AuditEntry
}

// Open continues the log in a folder, or begins one. What a lost power left
// half written at its end is cut off; the rest must hold together.
func Open(dir, origin string) (*Log, error) {
	if err := os.MkdirAll(dir, 0o700); err != nil {
		return nil, err
	}
	l := &Log{dir: dir, origin: "sorrelloom/" + origin, queue: make(chan machine.AuditEntry, queueCapacity)}
	var err error
	if l.signer, err = l.loadOrCreateKey(); err != nil {
		return nil, err
	}
	if l.entries, err = os.OpenFile(filepath.Join(dir, entriesName), os.O_CREATE|os.O_RDWR, 0o600); err != nil {
		return nil, err
	}
	if l.hashes, err = os.OpenFile(filepath.Join(dir, hashesName), os.O_CREATE|os.O_RDWR, 0o600); err != nil {
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
		made, public, err := note.GenerateKey(rand.Reader, l.origin)
		if err != nil {
			return nil, err
		}
		if err := os.WriteFile(filepath.Join(l.dir, publicName), []byte(public+"\n"), 0o644); err != nil {
			return nil, err
		}
		if err := os.WriteFile(path, []byte(made), 0o600); err != nil {
			return nil, err
		}
		secret = []byte(made)
	} else if err != nil {
		return nil, err
	}
	return note.NewSigner(string(secret))
}

// recover reads the entries and rebuilds what of the hashes is missing.
func (l *Log) recover() error {
	reader := bufio.NewReader(l.entries)
	var good int64
	for {
		line, err := reader.ReadBytes('\n')
		if errors.Is(err, io.EOF) {
			break
		}
		if err != nil {
			return err
		}
		var e state.AuditEntry
		if json.Unmarshal(line, &e) != nil {
			return fmt.Errorf("audit entry %d of %s is damaged", l.size, l.dir)
		}
		if err := l.appendHashes(line[:len(line)-1]); err != nil {
			return err
		}
		good += int64(len(line))
		l.lastIndex = e.Index
	}
	if err := l.entries.Truncate(good); err != nil {
		return err
	}
	_, err := l.entries.Seek(good, io.SeekStart)
	return err
}

// hash stores the hashes that one more entry completes.
func (l *Log) appendHashes(entry []byte) error {
	made, err := tlog.StoredHashes(l.size, entry, hashReader(l.hashes))
	if err != nil {
		return err
	}
	at := tlog.StoredHashCount(l.size)
	for i, h := range made {
		if _, err := l.hashes.WriteAt(h[:], (at+int64(i))*tlog.HashSize); err != nil {
			return err
		}
	}
	l.size++
	return nil
}

func hashReader(f io.ReaderAt) tlog.HashReader {
	return tlog.HashReaderFunc(func(indexes []int64) ([]tlog.Hash, error) {
		out := make([]tlog.Hash, len(indexes))
		for i, index := range indexes {
			if _, err := f.ReadAt(out[i][:], index*tlog.HashSize); err != nil {
				return nil, err
			}
		}
		return out, nil
	})
}

// Put hands an entry over without waiting; false means that it was dropped.
func (l *Log) TryAppend(a machine.AuditEntry) bool {
	select {
	case l.queue <- a:
		return true
	default:
		return false
	}
}

// Run writes as long as the process lives, and signs once a second.
func (l *Log) Run() {
	pool.Go(func() {
		ticker := time.NewTicker(signInterval)
		defer ticker.Stop()
		signed := l.size
		for {
			var err error
			select {
			case a := <-l.queue:
				err = l.write(a)
			case <-ticker.C:
				if signed == l.size {
					continue
				}
				if err = l.sign(); err == nil {
					signed = l.size
				}
			}
			if err != nil {
				logging.Info("audit_failed", "why", err.Error())
				return
			}
		}
	})
}

func (l *Log) write(a machine.AuditEntry) error {
	if a.Index <= l.lastIndex {
		return nil
	}
	if _, err := l.entries.Write(append(append([]byte(nil), a.Data...), '\n')); err != nil {
		return err
	}
	l.lastIndex = a.Index
	return l.appendHashes(a.Data)
}

// sign syncs what was written and signs its root.
func (l *Log) sign() error {
	for _, f := range []*os.File{l.entries, l.hashes} {
		if err := f.Sync(); err != nil {
			return err
		}
	}
	root, err := tlog.TreeHash(l.size, hashReader(l.hashes))
	if err != nil {
		return err
	}
	signed, err := note.Sign(&note.Note{Text: fmt.Sprintf("%s\n%d\n%s\n", l.origin, l.size, root)}, l.signer)
	if err != nil {
		return err
	}
	path := filepath.Join(l.dir, checkpointName)
	if err := os.WriteFile(path+".new", signed, 0o644); err != nil {
		return err
	}
	return os.Rename(path+".new", path)
}

// Finding is one thing wrong with a log, or with several put together.
type Finding struct {
	Dir        string `json:"folder,omitempty"`
	EntryIndex int64  `json:"entry"`
	Reason     string `json:"why"`
}

// Report is what a verification came to.
type Report struct {
	EntryCount int       `json:"entries"`
	FirstIndex uint64    `json:"from"`
	LastIndex  uint64    `json:"to"`
	Findings   []Finding `json:"findings"`
}

// Verify checks logs against their checkpoints, and all of them together for
// decisions that are missing. The keys are taken from the folders unless others
// are given, which a careful auditor does.
func Verify(dirs []string, keys []string) (Report, error) {
	var r Report
	r.Findings = []Finding{}
	all := map[uint64]string{}
	chain := map[uint64]uint64{}
	for _, dir := range dirs {
		lines, err := verifyOne(dir, keys, &r)
		if err != nil {
			return r, err
		}
		for i, line := range lines {
			var e state.AuditEntry
			if err := json.Unmarshal([]byte(line), &e); err != nil {
				r.Findings = append(r.Findings, Finding{dir, int64(i), "not a JSON entry"})
				continue
			}
			if old, ok := all[e.Index]; ok && old != line {
				what := fmt.Sprintf("sequence %d says something else in another log", e.Index)
				r.Findings = append(r.Findings, Finding{dir, int64(i), what})
			}
			all[e.Index], chain[e.Index] = line, e.PreviousIndex
			if r.FirstIndex == 0 || e.Index < r.FirstIndex {
				r.FirstIndex = e.Index
			}
			r.LastIndex = max(r.LastIndex, e.Index)
		}
	}
	r.EntryCount = len(all)
	for at := r.LastIndex; at > r.FirstIndex; {
		previous, ok := chain[at]
		if !ok {
			break
		}
		if _, ok := chain[previous]; !ok {
			next := uint64(0)
			for s := range chain {
				if s < previous {
					next = max(next, s)
				}
			}
			if previous > r.FirstIndex {
				what := fmt.Sprintf(
					"the decision of sequence %d is missing; the one before it that is there is %d", previous, next)
				r.Findings = append(r.Findings, Finding{"", -1, what})
			}
			previous = next
		}
		at = previous
	}
	return r, nil
}

func verifyOne(dir string, keys []string, r *Report) ([]string, error) {
	find := func(entry int64, format string, args ...any) {
		r.Findings = append(r.Findings, Finding{dir, entry, fmt.Sprintf(format, args...)})
	}
	data, err := os.ReadFile(filepath.Join(dir, entriesName))
	if err != nil {
		return nil, err
	}
	signed, err := os.ReadFile(filepath.Join(dir, checkpointName))
	if err != nil {
		return nil, err
	}
	if len(keys) == 0 {
		public, err := os.ReadFile(filepath.Join(dir, publicName))
		if err != nil {
			return nil, err
		}
		keys = []string{strings.TrimSpace(string(public))}
	}
	var verifiers []note.Verifier
	for _, key := range keys {
		v, err := note.NewVerifier(key)
		if err != nil {
			return nil, fmt.Errorf("key %q: %w", key, err)
		}
		verifiers = append(verifiers, v)
	}
	lines := strings.Split(strings.TrimSuffix(string(data), "\n"), "\n")
	if len(data) == 0 {
		lines = nil
	} else if data[len(data)-1] != '\n' {
		lines = lines[:len(lines)-1]
	}
	n, err := note.Open(signed, note.VerifierList(verifiers...))
	if err != nil {
		find(-1, "the checkpoint's signature does not hold: %v", err)
		return lines, nil
	}
	parts := strings.Split(n.Text, "\n")
	if len(parts) < 3 {
		find(-1, "the checkpoint has %d lines", len(parts))
		return lines, nil
	}
	size, err := strconv.ParseInt(parts[1], 10, 64)
	root, rootErr := tlog.ParseHash(parts[2])
	if err != nil || rootErr != nil {
		find(-1, "the checkpoint does not read")
		return lines, nil
	}
	if int64(len(lines)) < size {
		find(int64(len(lines)), "the checkpoint covers %d entries, %d are there", size, len(lines))
	}
	stored, err := os.Open(filepath.Join(dir, hashesName))
	if err != nil {
		return nil, err
	}
	defer stored.Close()
	var hashes []tlog.Hash
	memory := tlog.HashReaderFunc(func(indexes []int64) ([]tlog.Hash, error) {
		out := make([]tlog.Hash, len(indexes))
		for i, index := range indexes {
			out[i] = hashes[index]
		}
		return out, nil
	})
	for i, line := range lines[:min(int64(len(lines)), size)] {
		var was tlog.Hash
		at := tlog.StoredHashIndex(0, int64(i)) * tlog.HashSize
		if _, err := stored.ReadAt(was[:], at); err == nil && was != tlog.RecordHash([]byte(line)) {
			find(int64(i), "the entry was altered: it is not what its hash was made of")
		}
		made, err := tlog.StoredHashes(int64(i), []byte(line), memory)
		if err != nil {
			return nil, err
		}
		hashes = append(hashes, made...)
	}
	if int64(len(lines)) >= size {
		if now, err := tlog.TreeHash(size, memory); err != nil || now != root {
			find(-1, "the entries do not lead to the root that was signed")
		}
	}
	return lines, nil
}

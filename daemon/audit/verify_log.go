package audit

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"

	"golang.org/x/mod/sumdb/note"
	"golang.org/x/mod/sumdb/tlog"
)

// verifyLog checks one log against its checkpoint, adds its findings to the report, and
// returns the entries. An error means that the log could not be checked.
func verifyLog(dir string, keys []string, report *Report) ([]string, error) {
	lines, err := readEntries(dir)
	if err != nil {
		return nil, err
	}
	signed, err := os.ReadFile(filepath.Join(dir, checkpointName))
	if err != nil {
		return nil, err
	}
	verifiers, err := loadVerifiers(dir, keys)
	if err != nil {
		return nil, err
	}
	opened, err := note.Open(signed, note.VerifierList(verifiers...))
	if err != nil {
		report.addf(dir, noEntry, "the checkpoint's signature is not valid: %v", err)
		return lines, nil
	}
	point, err := parseCheckpoint(opened.Text)
	if err != nil {
		report.addf(dir, noEntry, "%v", err)
		return lines, nil
	}
	return lines, verifyHashes(dir, lines, point, report)
}

// readEntries returns the complete entries of a log.
func readEntries(dir string) ([]string, error) {
	data, err := os.ReadFile(filepath.Join(dir, entriesName))
	if err != nil || len(data) == 0 {
		return nil, err
	}
	// The text after the last line break is empty or a partial entry.
	lines := strings.Split(string(data), "\n")
	return lines[:len(lines)-1], nil
}

// loadVerifiers returns verifiers for the keys or, if there are none, for the public key in
// the log's directory.
func loadVerifiers(dir string, keys []string) ([]note.Verifier, error) {
	if len(keys) == 0 {
		public, err := os.ReadFile(filepath.Join(dir, publicName))
		if err != nil {
			return nil, err
		}
		keys = []string{strings.TrimSpace(string(public))}
	}
	var verifiers []note.Verifier
	for _, key := range keys {
		verifier, err := note.NewVerifier(key)
		if err != nil {
			return nil, fmt.Errorf("key %q: %w", key, err)
		}
		verifiers = append(verifiers, verifier)
	}
	return verifiers, nil
}

// verifyHashes recomputes the Merkle tree from the entries and compares its root with the
// signed one. The stored hashes only help to locate an altered entry.
func verifyHashes(dir string, lines []string, point checkpoint, report *Report) error {
	entryCount := int64(len(lines))
	if entryCount < point.size {
		report.addf(dir, entryCount, "the checkpoint covers %d entries, %d are there", point.size, entryCount)
	}
	stored, err := os.Open(filepath.Join(dir, hashesName))
	if err != nil {
		return err
	}
	defer stored.Close()
	var hashes []tlog.Hash
	computed := tlog.HashReaderFunc(func(indexes []int64) ([]tlog.Hash, error) {
		selected := make([]tlog.Hash, len(indexes))
		for i, index := range indexes {
			selected[i] = hashes[index]
		}
		return selected, nil
	})
	for i, line := range lines[:min(entryCount, point.size)] {
		var storedHash tlog.Hash
		offset := tlog.StoredHashIndex(0, int64(i)) * tlog.HashSize
		if _, err := stored.ReadAt(storedHash[:], offset); err == nil && storedHash != tlog.RecordHash([]byte(line)) {
			report.addf(dir, int64(i), "the entry was altered: it does not match its stored hash")
		}
		added, err := tlog.StoredHashes(int64(i), []byte(line), computed)
		if err != nil {
			return err
		}
		hashes = append(hashes, added...)
	}
	if entryCount < point.size {
		return nil
	}
	if root, err := tlog.TreeHash(point.size, computed); err != nil || root != point.root {
		report.addf(dir, noEntry, "the entries do not lead to the signed root")
	}
	return nil
}

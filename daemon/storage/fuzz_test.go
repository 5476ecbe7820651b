package storage

import (
	"errors"
	"os"
	"path/filepath"
	"testing"

	"sorrelloom/core/machine"
)

// FuzzOpen opens a directory with arbitrary content in its last segment or its snapshot. Open
// must either read it or return ErrCorrupted.
func FuzzOpen(f *testing.F) {
	f.Add(false, segmentHeader(1, 7))
	f.Add(false, appendFrame(segmentHeader(1, 0), frame{kindItems, appendItem(nil, item{itemTruncate, []byte{9}})}))
	f.Add(true, appendFrame(appendFrame(nil, frame{kindHeader, []byte{1}}), frame{kindFooter, nil}))
	f.Add(true, []byte(plainMagic+"\xff\xff\xff\xff"))
	f.Fuzz(func(t *testing.T, isSnapshot bool, data []byte) {
		dir := t.TempDir()
		s, _ := mustOpen(t, dir)
		mustWrite(t, s, machine.Write{Commands: commands(1, 2)})
		s.Close()
		name := segmentName(1)
		if isSnapshot {
			name = snapshotName(1)
		}
		if err := os.WriteFile(filepath.Join(dir, name), data, 0o600); err != nil {
			t.Fatal(err)
		}
		again, _, err := Open(dir)
		if err == nil {
			again.Close()
		} else if !errors.Is(err, ErrCorrupted) {
			t.Errorf("got %v, want ErrCorrupted", err)
		}
	})
}

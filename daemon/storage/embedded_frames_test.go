package storage

import (
	"bytes"
	"encoding/json"
	"os"
	"path/filepath"
	"testing"

	"sorrelloom/core/machine"
)

// payloadsWithFrames returns payloads that contain complete frames, as a client could send
// them.
func payloadsWithFrames() map[string][]byte {
	inner := appendFrame(nil, frame{kindItems, appendItem(nil, item{itemCommand, []byte("{}")})})
	placed := map[int64][]byte{}
	all := bytes.Clone(inner)
	for offset := range int64(400) {
		guess := bytes.Clone(inner)
		setPosition(guess, 0, offset)
		placed[offset] = guess
		all = append(all, guess...)
	}
	return map[string][]byte{"a plain frame": inner, "a positioned frame without a salt": placed[100], "many": all}
}

// TestTornFrameWithEmbeddedFrames tears the last frame of a log, whose payload contains
// complete frames. Recovery must not mistake them for frames of the log, and must truncate
// the log after the frame before.
func TestTornFrameWithEmbeddedFrames(t *testing.T) {
	for name, payload := range payloadsWithFrames() {
		t.Run(name, func(t *testing.T) {
			dir := t.TempDir()
			s, stored := mustOpen(t, dir)
			before := len(stored.Commands)
			mustWrite(t, s, machine.Write{Commands: commands(7)},
				machine.Write{Commands: []json.RawMessage{append([]byte("begin"), append(payload, "end"...)...)}})
			path := s.path(segmentName(s.segment.number))
			s.Close()
			data, err := os.ReadFile(path)
			if err != nil {
				t.Fatal(err)
			}
			if err := os.WriteFile(path, data[:len(data)-1], 0o600); err != nil {
				t.Fatal(err)
			}
			again, stored, err := Open(dir)
			if err != nil {
				t.Fatal(err)
			}
			defer again.Close()
			if got := len(stored.Commands); got != before+1 {
				t.Errorf("recovered %d commands, want %d", got, before+1)
			}
		})
	}
}

// TestSegmentOfEarlierRelease appends to a segment that has plain frames and no salt in its
// header, and reads the frames of both releases.
func TestSegmentOfEarlierRelease(t *testing.T) {
	dir := t.TempDir()
	s, _ := mustOpen(t, dir)
	s.Close()
	path := filepath.Join(dir, segmentName(1))
	data := appendFrame(nil, frame{kindHeader, []byte{1}})
	for _, text := range []string{"one", "two"} {
		data = appendFrame(data, frame{kindItems, appendItem(nil, item{itemCommand, []byte(text)})})
	}
	if err := os.WriteFile(path, data, 0o600); err != nil {
		t.Fatal(err)
	}
	s, stored := mustOpen(t, dir)
	if len(stored.Commands) != 2 {
		t.Fatalf("recovered %d commands, want 2", len(stored.Commands))
	}
	mustWrite(t, s, machine.Write{Commands: []json.RawMessage{[]byte("three")}})
	s.Close()
	s, stored = mustOpen(t, dir)
	defer s.Close()
	var texts []string
	for _, command := range stored.Commands {
		texts = append(texts, string(command))
	}
	if got := len(texts); got != 3 || texts[2] != "three" {
		t.Errorf("recovered commands %q", texts)
	}
}

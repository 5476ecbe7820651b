// The tail of a ledger: the last commands applied, encoded, so that a copy that
// is a little behind can catch up without being copied whole.
package ledger

import (
	"encoding/json"
	"slices"
)

// A tail keeps at least TailMax commands or TailBytes of them, whichever are
// fewer, and at most twice as many.
const (
	TailMax   = 8192
	TailBytes = 16 << 20
)

// Tail begins after a base position; its commands follow without a gap.
type Tail struct {
	base      Position
	positions []Position
	encoded   []json.RawMessage
	bytes     int
}

// TailFrom is an empty tail at a position.
func TailFrom(base Position) Tail { return Tail{base: base} }

// Add takes the next command.
func (t *Tail) Add(cmd Logged) {
	t.positions = append(t.positions, cmd.Position)
	t.encoded = append(t.encoded, cmd.Encoded)
	t.bytes += len(cmd.Encoded)
	if len(t.positions) >= 2*TailMax || t.bytes >= 2*TailBytes {
		t.trim()
	}
}

// trim drops the oldest commands until the rest is within both bounds.
func (t *Tail) trim() {
	drop := 0
	for len(t.positions)-drop > TailMax || t.bytes > TailBytes {
		t.base = t.positions[drop]
		t.bytes -= len(t.encoded[drop])
		drop++
	}
	t.positions = slices.Clone(t.positions[drop:])
	t.encoded = slices.Clone(t.encoded[drop:])
}

// Since gives the encoded commands after a position, if the tail reaches back to
// it and the position stands in this history.
func (t *Tail) Since(at Position) ([]json.RawMessage, bool) {
	if at == t.base {
		return t.encoded[:len(t.encoded):len(t.encoded)], true
	}
	i := int64(at.Sequence) - int64(t.base.Sequence) - 1
	if i < 0 || i >= int64(len(t.positions)) || t.positions[i] != at {
		return nil, false
	}
	return t.encoded[i+1 : len(t.encoded) : len(t.encoded)], true
}

// At gives the position of a sequence in this history, if the tail reaches back to it.
func (t *Tail) At(sequence uint64) (Position, bool) {
	if sequence == t.base.Sequence {
		return t.base, true
	}
	i := int64(sequence) - int64(t.base.Sequence) - 1
	if i < 0 || i >= int64(len(t.positions)) {
		return Position{}, false
	}
	return t.positions[i], true
}

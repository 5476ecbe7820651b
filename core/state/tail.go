// The tail of a ledger: the last commands applied, encoded, so that a copy that
// is a little behind can catch up without being copied whole.

package state

import (
	"encoding/json"
	"slices"
	"sort"
)

// A tail keeps at least TailMax commands or TailBytes of them, whichever are
// fewer, and at most twice as many.
const (
	LogSuffixCommands = 8192
	LogSuffixBytes    = 16 << 20
)

// Tail begins after a base position; its commands follow without a gap.
type LogSuffix struct {
	base      LogPosition
	positions []LogPosition
	encoded   []json.RawMessage
	bytes     int
}

// TailFrom is an empty tail at a position.
func NewLogSuffix(base LogPosition) LogSuffix { return LogSuffix{base: base} }

// Add takes the next command.
func (t *LogSuffix) Append(cmd EncodedCommand) {
	t.positions = append(t.positions, cmd.LogPosition)
	t.encoded = append(t.encoded, cmd.Encoded)
	t.bytes += len(cmd.Encoded)
	if len(t.positions) >= 2*LogSuffixCommands || t.bytes >= 2*LogSuffixBytes {
		t.trim()
	}
}

// trim drops the oldest commands until the rest is within both bounds.
func (t *LogSuffix) trim() {
	drop := 0
	for len(t.positions)-drop > LogSuffixCommands || t.bytes > LogSuffixBytes {
		t.base = t.positions[drop]
		t.bytes -= len(t.encoded[drop])
		drop++
	}
	t.positions = slices.Clone(t.positions[drop:])
	t.encoded = slices.Clone(t.encoded[drop:])
}

// Base is the position that the tail begins after.
func (t *LogSuffix) Base() LogPosition { return t.base }

// after gives the index of the first command after a position, if the position
// stands in this history and the tail reaches back to it.
func (t *LogSuffix) indexAfter(at LogPosition) (int, bool) {
	if at == t.base {
		return 0, true
	}
	i := int64(at.Index) - int64(t.base.Index) - 1
	if i < 0 || i >= int64(len(t.positions)) || t.positions[i] != at {
		return 0, false
	}
	return int(i) + 1, true
}

// Holds says whether a position stands in this history, as far as the tail reaches.
func (t *LogSuffix) Contains(at LogPosition) bool {
	_, ok := t.indexAfter(at)
	return ok
}

// Since gives the encoded commands after a position, if the tail reaches back to
// it and the position stands in this history.
func (t *LogSuffix) CommandsAfter(at LogPosition) ([]json.RawMessage, bool) {
	i, ok := t.indexAfter(at)
	if !ok {
		return nil, false
	}
	return t.encoded[i:len(t.encoded):len(t.encoded)], true
}

// Window gives the first commands after a position, up to another one, bounded in
// number and bytes but at least one; and the position that they end at.
func (t *LogSuffix) Window(from, to LogPosition, entries, bytes int) ([]json.RawMessage, LogPosition, bool) {
	start, ok := t.indexAfter(from)
	limit, known := t.indexAfter(to)
	if !ok || !known || limit < start {
		return nil, from, false
	}
	end, size := start, 0
	for end < limit && end-start < entries {
		if size += len(t.encoded[end]); size > bytes && end > start {
			break
		}
		end++
	}
	if end == start {
		return nil, from, true
	}
	return t.encoded[start:end:end], t.positions[end-1], true
}

// Within says whether no more than so many commands and bytes lie between two
// positions of this history.
func (t *LogSuffix) Within(from, to LogPosition, entries, bytes int) bool {
	start, ok := t.indexAfter(from)
	end, known := t.indexAfter(to)
	if !ok || !known || end-start > entries {
		return false
	}
	size := 0
	for i := start; i < end; i++ {
		size += len(t.encoded[i])
	}
	return size <= bytes
}

// At gives the position of a sequence in this history, if the tail reaches back to it.
func (t *LogSuffix) PositionOf(sequence uint64) (LogPosition, bool) {
	if sequence == t.base.Index {
		return t.base, true
	}
	i := int64(sequence) - int64(t.base.Index) - 1
	if i < 0 || i >= int64(len(t.positions)) {
		return LogPosition{}, false
	}
	return t.positions[i], true
}

// NotAfter gives the last position of this history that another history, which has
// come to a given position, can have in common with it.
func (t *LogSuffix) LastPossiblyCommon(at LogPosition) (LogPosition, bool) {
	n := sort.Search(len(t.positions), func(i int) bool {
		return t.positions[i].Epoch > at.Epoch || t.positions[i].Index > at.Index
	})
	if n > 0 {
		return t.positions[n-1], true
	}
	return t.base, t.base.Epoch <= at.Epoch && t.base.Index <= at.Index
}

// Cut drops all commands after a position and says how many they were.
func (t *LogSuffix) TruncateAfter(at LogPosition) int {
	i, ok := t.indexAfter(at)
	if !ok {
		return 0
	}
	dropped := len(t.positions) - i
	for _, encoded := range t.encoded[i:] {
		t.bytes -= len(encoded)
	}
	t.positions, t.encoded = slices.Clone(t.positions[:i]), slices.Clone(t.encoded[:i])
	return dropped
}

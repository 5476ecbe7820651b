package state

import (
	"encoding/json"
	"slices"
	"sort"
)

// A log suffix keeps at least LogSuffixCommands commands or LogSuffixBytes of them,
// whichever are fewer, and at most twice as many.
const (
	LogSuffixCommands = 8192
	LogSuffixBytes    = 16 << 20
)

// LogSuffix is the last commands applied, encoded, so that a replica that is a little
// behind can catch up without a snapshot transfer. It begins after a base position; its
// commands follow without a gap.
type LogSuffix struct {
	base      LogPosition
	positions []LogPosition
	encoded   []json.RawMessage
	bytes     int
}

// NewLogSuffix is an empty log suffix at a position.
func NewLogSuffix(base LogPosition) LogSuffix { return LogSuffix{base: base} }

// Append takes the next command.
func (l *LogSuffix) Append(cmd EncodedCommand) { l.AppendEncoded(cmd.LogPosition, cmd.Encoded) }

// AppendEncoded takes the next command, of which only the position was decoded.
func (l *LogSuffix) AppendEncoded(position LogPosition, encoded json.RawMessage) {
	l.positions = append(l.positions, position)
	l.encoded = append(l.encoded, encoded)
	l.bytes += len(encoded)
	if len(l.positions) >= 2*LogSuffixCommands || l.bytes >= 2*LogSuffixBytes {
		l.trim()
	}
}

// trim drops the oldest commands until the rest is within both bounds.
func (l *LogSuffix) trim() {
	drop := 0
	for len(l.positions)-drop > LogSuffixCommands || l.bytes > LogSuffixBytes {
		l.base = l.positions[drop]
		l.bytes -= len(l.encoded[drop])
		drop++
	}
	l.positions = slices.Clone(l.positions[drop:])
	l.encoded = slices.Clone(l.encoded[drop:])
}

// Base is the position that the suffix begins after.
func (l *LogSuffix) Base() LogPosition { return l.base }

// offset is where the command with a log index would be. It is out of range if the
// suffix does not reach there.
func (l *LogSuffix) offset(index uint64) (int, bool) {
	i := int64(index) - int64(l.base.Index) - 1
	return int(i), i >= 0 && i < int64(len(l.positions))
}

// offsetAfter gives the offset of the first command after a position, if the position
// stands in this history and the suffix reaches back to it.
func (l *LogSuffix) offsetAfter(position LogPosition) (int, bool) {
	if position == l.base {
		return 0, true
	}
	i, ok := l.offset(position.Index)
	if !ok || l.positions[i] != position {
		return 0, false
	}
	return i + 1, true
}

// Contains says whether a position stands in this history, as far as the suffix reaches.
func (l *LogSuffix) Contains(position LogPosition) bool {
	_, ok := l.offsetAfter(position)
	return ok
}

// CommandsAfter gives the encoded commands after a position, if the suffix reaches back
// to it and the position stands in this history.
func (l *LogSuffix) CommandsAfter(position LogPosition) ([]json.RawMessage, bool) {
	i, ok := l.offsetAfter(position)
	if !ok {
		return nil, false
	}
	return l.encoded[i:len(l.encoded):len(l.encoded)], true
}

// Window gives the first commands after a position, up to another one, bounded in
// number and bytes but at least one; and the position that they end at.
func (l *LogSuffix) Window(from, to LogPosition, entries, bytes int) ([]json.RawMessage, LogPosition, bool) {
	start, ok := l.offsetAfter(from)
	limit, known := l.offsetAfter(to)
	if !ok || !known || limit < start {
		return nil, from, false
	}
	end, size := start, 0
	for end < limit && end-start < entries {
		if size += len(l.encoded[end]); size > bytes && end > start {
			break
		}
		end++
	}
	if end == start {
		return nil, from, true
	}
	return l.encoded[start:end:end], l.positions[end-1], true
}

// Within says whether no more than so many commands and bytes lie between two
// positions of this history.
func (l *LogSuffix) Within(from, to LogPosition, entries, bytes int) bool {
	start, ok := l.offsetAfter(from)
	end, known := l.offsetAfter(to)
	if !ok || !known || end-start > entries {
		return false
	}
	size := 0
	for i := start; i < end; i++ {
		size += len(l.encoded[i])
	}
	return size <= bytes
}

// PositionOf gives the position of a log index in this history, if the suffix reaches
// back to it.
func (l *LogSuffix) PositionOf(index uint64) (LogPosition, bool) {
	if index == l.base.Index {
		return l.base, true
	}
	i, ok := l.offset(index)
	if !ok {
		return LogPosition{}, false
	}
	return l.positions[i], true
}

// LastPossiblyCommon gives the last position of this history that another history,
// which has come to a given position, can have in common with it.
func (l *LogSuffix) LastPossiblyCommon(position LogPosition) (LogPosition, bool) {
	n := sort.Search(len(l.positions), func(i int) bool {
		return l.positions[i].Epoch > position.Epoch || l.positions[i].Index > position.Index
	})
	if n > 0 {
		return l.positions[n-1], true
	}
	return l.base, l.base.Epoch <= position.Epoch && l.base.Index <= position.Index
}

// TruncateAfter drops all commands after a position and says how many they were.
func (l *LogSuffix) TruncateAfter(position LogPosition) int {
	i, ok := l.offsetAfter(position)
	if !ok {
		return 0
	}
	dropped := len(l.positions) - i
	for _, encoded := range l.encoded[i:] {
		l.bytes -= len(encoded)
	}
	l.positions, l.encoded = slices.Clone(l.positions[:i]), slices.Clone(l.encoded[:i])
	return dropped
}

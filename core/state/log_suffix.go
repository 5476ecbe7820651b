package state

import (
	"encoding/json"
	"slices"
	"sort"
)

// A log suffix is trimmed to LogSuffixCommands commands and LogSuffixBytes bytes, and only
// once it has twice as many of either.
const (
	LogSuffixCommands = 8192
	LogSuffixBytes    = 16 << 20
)

// LogSuffix holds the last commands applied, encoded, so that a replica that lags a little
// can catch up without a snapshot transfer. It starts after its base position; the
// commands follow without a gap.
type LogSuffix struct {
	base      LogPosition
	positions []LogPosition
	encoded   []json.RawMessage
	bytes     int
}

// NewLogSuffix returns an empty log suffix that starts after a position.
func NewLogSuffix(base LogPosition) LogSuffix { return LogSuffix{base: base} }

// Append adds the next command.
func (l *LogSuffix) Append(cmd EncodedCommand) { l.AppendEncoded(cmd.LogPosition, cmd.Encoded) }

// AppendEncoded adds the next command, of which only the position has been decoded.
func (l *LogSuffix) AppendEncoded(position LogPosition, encoded json.RawMessage) {
	l.positions = append(l.positions, position)
	l.encoded = append(l.encoded, encoded)
	l.bytes += len(encoded)
	if len(l.positions) >= 2*LogSuffixCommands || l.bytes >= 2*LogSuffixBytes {
		l.trim()
	}
}

// trim drops the oldest commands until the others are within both bounds.
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

// Base returns the position that the suffix starts after.
func (l *LogSuffix) Base() LogPosition { return l.base }

// offset returns the offset of the command with a log index, and whether the suffix
// holds that command.
func (l *LogSuffix) offset(index uint64) (int, bool) {
	i := int64(index) - int64(l.base.Index) - 1
	return int(i), i >= 0 && i < int64(len(l.positions))
}

// offsetAfter returns the offset of the first command after a position, and whether the
// position is part of this history and the suffix reaches back to it.
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

// Contains reports whether a position is part of this history and the suffix reaches back
// to it.
func (l *LogSuffix) Contains(position LogPosition) bool {
	_, ok := l.offsetAfter(position)
	return ok
}

// CommandsAfter returns the encoded commands after a position, and whether the position is
// part of this history and the suffix reaches back to it.
func (l *LogSuffix) CommandsAfter(position LogPosition) ([]json.RawMessage, bool) {
	i, ok := l.offsetAfter(position)
	if !ok {
		return nil, false
	}
	return l.encoded[i:len(l.encoded):len(l.encoded)], true
}

// Window returns the first commands after the position from and up to the position to,
// together with the position of the last command returned. The commands are at most
// maxCommands and at most maxBytes in total, but a first command larger than that is
// returned nevertheless. Window reports false if either position is not in the suffix or
// to comes before from.
func (l *LogSuffix) Window(from, to LogPosition, maxCommands, maxBytes int) ([]json.RawMessage, LogPosition, bool) {
	start, ok := l.offsetAfter(from)
	limit, known := l.offsetAfter(to)
	if !ok || !known || limit < start {
		return nil, from, false
	}
	end, size := start, 0
	for end < limit && end-start < maxCommands {
		if size += len(l.encoded[end]); size > maxBytes && end > start {
			break
		}
		end++
	}
	if end == start {
		return nil, from, true
	}
	return l.encoded[start:end:end], l.positions[end-1], true
}

// Within reports whether both positions are in the suffix, with no more than maxCommands
// commands and maxBytes bytes between them.
func (l *LogSuffix) Within(from, to LogPosition, maxCommands, maxBytes int) bool {
	start, ok := l.offsetAfter(from)
	end, known := l.offsetAfter(to)
	if !ok || !known || end-start > maxCommands {
		return false
	}
	size := 0
	for i := start; i < end; i++ {
		size += len(l.encoded[i])
	}
	return size <= maxBytes
}

// PositionOf returns the position of a log index in this history, and whether the suffix
// covers that index.
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

// LastPossiblyCommon returns the last position of this history that another history,
// which ends at the given position, can share. It reports false if that would lie before
// the suffix.
func (l *LogSuffix) LastPossiblyCommon(position LogPosition) (LogPosition, bool) {
	n := sort.Search(len(l.positions), func(i int) bool {
		return l.positions[i].Epoch > position.Epoch || l.positions[i].Index > position.Index
	})
	if n > 0 {
		return l.positions[n-1], true
	}
	return l.base, l.base.Epoch <= position.Epoch && l.base.Index <= position.Index
}

// TruncateAfter drops all commands after a position and returns their number. It drops
// none if the position is not in the suffix.
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

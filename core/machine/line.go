package machine

import (
	"errors"
	"fmt"
	"math"
)

// Line is one message between two processes. Its body is what Marshal made, and is
// read by whoever takes the line.
type Line struct {
	Wire int
	Kind string
	From string
	// Key, where set, says what the line is about: of those of one kind, sender and
	// key that wait at their receiver, only the newest counts.
	Key  string
	Body []byte
}

// WireSequence is the version of the format: 1 were lines of JSON.
const WireSequence = 2

const nameMax = math.MaxUint8

// ErrNotALine says that bytes were not written by AppendHeader.
var ErrNotALine = errors.New("not a line")

// AppendHeader appends all of a line that stands before its body: the version in
// one byte, then kind, sender and key, each after its length in one byte.
func (l Line) AppendHeader(out []byte) ([]byte, error) {
	good := l.Wire >= 1 && l.Wire <= math.MaxUint8 && l.Kind != "" && l.From != ""
	if !good || max(len(l.Kind), len(l.From), len(l.Key)) > nameMax {
		return out, fmt.Errorf("%w: version %d, kind %q, sender %q", ErrNotALine, l.Wire, l.Kind, l.From)
	}
	out = append(out, byte(l.Wire), byte(len(l.Kind)))
	out = append(out, l.Kind...)
	out = append(out, byte(len(l.From)))
	out = append(out, l.From...)
	out = append(out, byte(len(l.Key)))
	return append(out, l.Key...), nil
}

// Decode reads a line: a header and after it the body, which shares the data.
func Decode(data []byte) (Line, error) {
	if len(data) == 0 || data[0] == 0 {
		return Line{}, ErrNotALine
	}
	line := Line{Wire: int(data[0])}
	rest := data[1:]
	var ok bool
	for _, name := range []*string{&line.Kind, &line.From, &line.Key} {
		if *name, rest, ok = cutName(rest); !ok {
			return Line{}, ErrNotALine
		}
	}
	if line.Kind == "" || line.From == "" {
		return Line{}, ErrNotALine
	}
	line.Body = rest
	return line, nil
}

// cutName takes a name off the front.
func cutName(data []byte) (name string, rest []byte, ok bool) {
	if len(data) == 0 || len(data) <= int(data[0]) {
		return "", nil, false
	}
	end := 1 + int(data[0])
	return string(data[1:end]), data[end:], true
}

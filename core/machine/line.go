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
	Body []byte
}

// WireSequence is the version of the format: 1 were lines of JSON.
const WireSequence = 2

const nameMax = math.MaxUint8

// ErrNotALine says that bytes were not written by AppendHeader.
var ErrNotALine = errors.New("not a line")

// AppendHeader appends all of a line that stands before its body: the version in
// one byte, then kind and sender, each after its length in one byte.
func (l Line) AppendHeader(out []byte) ([]byte, error) {
	named := l.Kind != "" && l.From != "" && len(l.Kind) <= nameMax && len(l.From) <= nameMax
	if l.Wire < 1 || l.Wire > math.MaxUint8 || !named {
		return out, fmt.Errorf("%w: version %d, kind %q, sender %q", ErrNotALine, l.Wire, l.Kind, l.From)
	}
	out = append(out, byte(l.Wire), byte(len(l.Kind)))
	out = append(out, l.Kind...)
	out = append(out, byte(len(l.From)))
	return append(out, l.From...), nil
}

// Decode reads a line: a header and after it the body, which shares the data.
func Decode(data []byte) (Line, error) {
	if len(data) == 0 || data[0] == 0 {
		return Line{}, ErrNotALine
	}
	line := Line{Wire: int(data[0])}
	rest := data[1:]
	var ok bool
	if line.Kind, rest, ok = cutName(rest); !ok {
		return Line{}, ErrNotALine
	}
	if line.From, rest, ok = cutName(rest); !ok {
		return Line{}, ErrNotALine
	}
	line.Body = rest
	return line, nil
}

// cutName takes a name off the front; an empty one is none.
func cutName(data []byte) (name string, rest []byte, ok bool) {
	if len(data) == 0 || data[0] == 0 || len(data) <= int(data[0]) {
		return "", nil, false
	}
	end := 1 + int(data[0])
	return string(data[1:end]), data[end:], true
}

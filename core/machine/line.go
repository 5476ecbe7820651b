package machine

import (
	"errors"
	"fmt"
	"math"
)

// Line is one message between two processes. Its body is what Marshal made, and is
// read by whoever takes the line.
type Message struct {
	Version int
	Kind    string
	From    string
	// Key, where set, says what the line is about: of those of one kind, sender and
	// key that wait at their receiver, only the newest counts.
	CoalescingKey string
	Body          []byte
}

// WireSequence is the version of the format: 1 were lines of JSON.
const ProtocolVersion = 2

const maxNameLength = math.MaxUint8

// ErrNotALine says that bytes were not written by AppendHeader.
var ErrMalformedMessage = errors.New("not a line")

// AppendHeader appends all of a line that stands before its body: the version in
// one byte, then kind, sender and key, each after its length in one byte.
func (l Message) AppendHeader(out []byte) ([]byte, error) {
	valid := l.Version >= 1 && l.Version <= math.MaxUint8 && l.Kind != "" && l.From != ""
	if !valid || max(len(l.Kind), len(l.From), len(l.CoalescingKey)) > maxNameLength {
		return out, fmt.Errorf("%w: version %d, kind %q, sender %q", ErrMalformedMessage, l.Version, l.Kind, l.From)
	}
	out = append(out, byte(l.Version), byte(len(l.Kind)))
	out = append(out, l.Kind...)
	out = append(out, byte(len(l.From)))
	out = append(out, l.From...)
	out = append(out, byte(len(l.CoalescingKey)))
	return append(out, l.CoalescingKey...), nil
}

// Decode reads a line: a header and after it the body, which shares the data.
func DecodeMessage(data []byte) (Message, error) {
	if len(data) == 0 || data[0] == 0 {
		return Message{}, ErrMalformedMessage
	}
	message := Message{Version: int(data[0])}
	rest := data[1:]
	var ok bool
	for _, name := range []*string{&message.Kind, &message.From, &message.CoalescingKey} {
		if *name, rest, ok = cutLengthPrefixed(rest); !ok {
			return Message{}, ErrMalformedMessage
		}
	}
	if message.Kind == "" || message.From == "" {
		return Message{}, ErrMalformedMessage
	}
	message.Body = rest
	return message, nil
}

// cutName takes a name off the front.
func cutLengthPrefixed(data []byte) (name string, rest []byte, ok bool) {
	if len(data) == 0 || len(data) <= int(data[0]) {
		return "", nil, false
	}
	end := 1 + int(data[0])
	return string(data[1:end]), data[end:], true
}

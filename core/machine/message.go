package machine

import (
	"errors"
	"fmt"
	"math"
	"strings"
)

// Message is one message between two processes. Body is encoded by Marshal and is
// decoded by the receiving state machine, which knows the type of the body for each Kind.
type Message struct {
	Version int
	Kind    string
	// From is the sender's address.
	From string
	// CoalescingKey, if set, names the subject of the message. Of the messages with the same
	// kind, sender and key that wait at the receiver, only the newest is delivered.
	CoalescingKey string
	Body          []byte
}

// UrgentKeyPrefix begins the coalescing keys of messages that are to be handled before other
// requests. A receiver of an earlier release treats such a key like any other.
const UrgentKeyPrefix = "urgent/"

// QueryKeyPrefix begins the coalescing keys of queries, which change nothing. A receiver of an
// earlier release treats such a key like any other.
const QueryKeyPrefix = "question/"

// IsQuery reports whether a message is a query, which changes nothing.
func (m Message) IsQuery() bool { return strings.HasPrefix(m.CoalescingKey, QueryKeyPrefix) }

// IsUrgent reports whether a message is to be handled before other requests. It does not need to
// decode the body.
func (m Message) IsUrgent() bool { return strings.HasPrefix(m.CoalescingKey, UrgentKeyPrefix) }

// ProtocolVersion is the version of the message format. Version 1 was encoded as JSON.
const ProtocolVersion = 2

// maxNameLength is the maximum length in bytes of a kind, sender or key: its length is encoded in
// one byte.
const maxNameLength = math.MaxUint8

// ErrMalformedMessage is returned for a header that cannot be encoded, and for data that
// does not begin with a valid header.
var ErrMalformedMessage = errors.New("malformed message")

// AppendHeader appends the header of an encoded message, which precedes the body: the
// version in one byte, then kind, sender and coalescing key, each after its length in one
// byte.
func (m Message) AppendHeader(out []byte) ([]byte, error) {
	valid := m.Version >= 1 && m.Version <= math.MaxUint8 && m.Kind != "" && m.From != ""
	if !valid || max(len(m.Kind), len(m.From), len(m.CoalescingKey)) > maxNameLength {
		return out, fmt.Errorf("encode header: %w: version %d, kind %q, sender %q",
			ErrMalformedMessage, m.Version, m.Kind, m.From)
	}
	out = append(out, byte(m.Version), byte(len(m.Kind)))
	out = append(out, m.Kind...)
	out = append(out, byte(len(m.From)))
	out = append(out, m.From...)
	out = append(out, byte(len(m.CoalescingKey)))
	return append(out, m.CoalescingKey...), nil
}

// DecodeMessage decodes a header and takes the rest of the data as the body, which shares
// memory with the data.
func DecodeMessage(data []byte) (Message, error) {
	if len(data) == 0 || data[0] == 0 {
		return Message{}, fmt.Errorf("decode header: %w: no version", ErrMalformedMessage)
	}
	message := Message{Version: int(data[0])}
	rest := data[1:]
	var ok bool
	for _, name := range []*string{&message.Kind, &message.From, &message.CoalescingKey} {
		if *name, rest, ok = cutLengthPrefixed(rest); !ok {
			return Message{}, fmt.Errorf("decode header: %w: truncated", ErrMalformedMessage)
		}
	}
	if message.Kind == "" || message.From == "" {
		return Message{}, fmt.Errorf("decode header: %w: no kind or no sender", ErrMalformedMessage)
	}
	message.Body = rest
	return message, nil
}

// cutLengthPrefixed cuts a name, preceded by its length in one byte, off the front of data.
func cutLengthPrefixed(data []byte) (name string, rest []byte, ok bool) {
	if len(data) == 0 || len(data) <= int(data[0]) {
		return "", nil, false
	}
	end := 1 + int(data[0])
	return string(data[1:end]), data[end:], true
}

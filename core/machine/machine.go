// Package machine is the shape that every state machine of the system has: it
// takes one input and the monotonic time, and returns what to send, write and
// answer and when to be woken. Nothing here does input or output, so that the
// daemons and the simulator drive the very same code.
package machine

import (
	"encoding/json"
	"time"
)

// Send is a line to be sent. Those that Broadcast made share their encoding.
type Send struct {
	To     string
	Kind   string
	Body   any
	shared *encoded
}

// encoded is a body's encoding, made when the first receiver's line is sent.
type encoded struct {
	data []byte
	err  error
}

// Encode gives the body's encoding, which must not be changed.
func (s Send) Encode() ([]byte, error) {
	if s.shared == nil {
		return Marshal(s.Body)
	}
	if s.shared.data == nil && s.shared.err == nil {
		s.shared.data, s.shared.err = Marshal(s.Body)
	}
	return s.shared.data, s.shared.err
}

// Keyed is a body that replaces an earlier one of its key, if that still waits at
// the receiver.
type Keyed interface{ Key() string }

// Key gives the key of a keyed body.
func (s Send) Key() string {
	if keyed, ok := s.Body.(Keyed); ok {
		return keyed.Key()
	}
	return ""
}

// Record is one value on a keeper's disk.
type Record struct {
	Bucket string          `json:"bucket"`
	Key    string          `json:"key"`
	Value  json.RawMessage `json:"value,omitempty"`
}

// Ask is a request from outside: its key is handed back with the answer. Value
// is a request that is decoded already.
type Ask struct {
	Value  any
	Key    uint64
	Kind   string
	Name   string
	Body   json.RawMessage
	Wait   time.Duration
	Base   uint64
	Forced bool
	Token  string
	To     string
	On     bool
}

type Answer struct {
	Key  uint64
	Body any
}

// Input is one thing that happened. Wall is the time of day, for those few
// decisions that callers bind to it; it may jump. SnapshotDue comes with Wrote: the
// log has grown long, and the next batch is to bring a snapshot.
type Input struct {
	Line        Line
	Wrote       uint64
	SnapshotDue bool
	Ask         Ask
	Stop        bool
	Wall        time.Time
}

type Event struct {
	Name   string
	Fields []any
}

// Audit is one entry for the audit log; it may be lost without harm.
type Audit struct {
	Sequence uint64
	Entry    json.RawMessage
}

type Output struct {
	Sends   []Send
	Writes  []Write
	Answers []Answer
	Events  []Event
	Audits  []Audit
	Stopped bool
}

func (o *Output) Send(to, kind string, body any) {
	o.Sends = append(o.Sends, Send{To: to, Kind: kind, Body: body})
}

// Broadcast sends one body to several receivers, for whom it is encoded once.
func (o *Output) Broadcast(receivers []string, kind string, body any) {
	shared := &encoded{}
	for _, to := range receivers {
		o.Sends = append(o.Sends, Send{To: to, Kind: kind, Body: body, shared: shared})
	}
}

func (o *Output) Answer(key uint64, body any) {
	o.Answers = append(o.Answers, Answer{Key: key, Body: body})
}

func (o *Output) Log(name string, fields ...any) {
	o.Events = append(o.Events, Event{Name: name, Fields: fields})
}

// Machine is stepped with one input at a time. Wakeup says when it wants to be
// stepped with an empty input at the latest; zero is never.
type Machine interface {
	Step(now time.Duration, in Input) Output
	Wakeup() time.Duration
}

// MustJSON encodes a value of our own types, which cannot fail.
func MustJSON(v any) json.RawMessage {
	data, err := json.Marshal(v)
	if err != nil {
		panic(err)
	}
	return data
}

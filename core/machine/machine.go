// Package machine is the shape that every state machine of the system has: it
// takes one input and the monotonic time, and returns what to send, write and
// answer and when to be woken. Nothing here does input or output, so that the
// daemons and the simulator drive the very same code.
package machine

import (
	"bytes"
	"encoding/json"
	"strconv"
	"time"
)

// Line is one JSON line between two processes.
type Line struct {
	Wire int             `json:"wire"`
	Kind string          `json:"kind"`
	From string          `json:"from"`
	Body json.RawMessage `json:"body,omitempty"`
}

const WireSequence = 1

// Encode writes a line as JSON. Its body is JSON already and is not looked at.
func (l Line) Encode() []byte {
	out := make([]byte, 0, len(l.Body)+len(l.Kind)+len(l.From)+48)
	out = append(out, `{"wire":`...)
	out = strconv.AppendInt(out, int64(l.Wire), 10)
	out = append(out, `,"kind":`...)
	out = strconv.AppendQuote(out, l.Kind)
	out = append(out, `,"from":`...)
	out = strconv.AppendQuote(out, l.From)
	if len(l.Body) > 0 {
		out = append(out, `,"body":`...)
		out = append(out, l.Body...)
	}
	return append(out, '}')
}

// Decode reads a line. One that Encode wrote is taken apart without reading its
// body, which whoever takes the line does; any other is read as JSON. The body
// shares the data.
func Decode(data []byte) (Line, error) {
	if l, ok := decodeOwn(data); ok {
		return l, nil
	}
	var l Line
	err := json.Unmarshal(data, &l)
	return l, err
}

func decodeOwn(data []byte) (Line, bool) {
	l := Line{Wire: WireSequence}
	rest, ok := bytes.CutPrefix(data, ownHead)
	if !ok || data[len(data)-1] != '}' {
		return Line{}, false
	}
	for _, part := range []struct {
		into *string
		next []byte
	}{{&l.Kind, ownFrom}, {&l.From, ownBody}} {
		text, after, found := bytes.Cut(rest, part.next)
		if !found || bytes.ContainsAny(text, `"\`) {
			return Line{}, false
		}
		*part.into, rest = string(text), after
	}
	l.Body = rest[:len(rest)-1]
	return l, len(l.Body) > 0
}

var (
	ownHead = []byte(`{"wire":1,"kind":"`)
	ownFrom = []byte(`","from":"`)
	ownBody = []byte(`","body":`)
)

type Send struct {
	To   string
	Kind string
	Body any
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

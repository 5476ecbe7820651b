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
type OutgoingMessage struct {
	To             string
	Kind           string
	Body           any
	sharedEncoding *encodedBody
}

// encoded is a body's encoding, made when the first receiver's line is sent.
type encodedBody struct {
	data []byte
	err  error
}

// Encode gives the body's encoding, which must not be changed.
func (s OutgoingMessage) Encode() ([]byte, error) {
	if s.sharedEncoding == nil {
		return Marshal(s.Body)
	}
	if s.sharedEncoding.data == nil && s.sharedEncoding.err == nil {
		s.sharedEncoding.data, s.sharedEncoding.err = Marshal(s.Body)
	}
	return s.sharedEncoding.data, s.sharedEncoding.err
}

// Keyed is a body that replaces an earlier one of its key, if that still waits at
// the receiver.
type Coalescable interface{ CoalescingKey() string }

// Key gives the key of a keyed body.
func (s OutgoingMessage) CoalescingKey() string {
	if coalescable, ok := s.Body.(Coalescable); ok {
		return coalescable.CoalescingKey()
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
type Request struct {
	Decoded        any
	ID             uint64
	Kind           string
	Name           string
	Body           json.RawMessage
	Wait           time.Duration
	BaseVersion    uint64
	Force          bool
	IdempotencyKey string
	Target         string
	Enable         bool
}

type Response struct {
	RequestID uint64
	Body      any
}

// Input is one thing that happened. Wall is the time of day, for those few
// decisions that callers bind to it; it may jump. SnapshotDue comes with Wrote: the
// log has grown long, and the next batch is to bring a snapshot.
type Input struct {
	Message        Message
	CompletedWrite uint64
	SnapshotDue    bool
	Request        Request
	Stop           bool
	WallTime       time.Time
}

type LogEvent struct {
	Name   string
	Fields []any
}

// Audit is one entry for the audit log; it may be lost without harm.
type AuditEntry struct {
	Index uint64
	Data  json.RawMessage
}

type Output struct {
	Messages     []OutgoingMessage
	Writes       []Write
	Responses    []Response
	LogEvents    []LogEvent
	AuditEntries []AuditEntry
	Stopped      bool
}

func (o *Output) Send(to, kind string, body any) {
	o.Messages = append(o.Messages, OutgoingMessage{To: to, Kind: kind, Body: body})
}

// Broadcast sends one body to several receivers, for whom it is encoded once.
func (o *Output) Broadcast(receivers []string, kind string, body any) {
	encoding := &encodedBody{}
	for _, to := range receivers {
		o.Messages = append(o.Messages, OutgoingMessage{To: to, Kind: kind, Body: body, sharedEncoding: encoding})
	}
}

func (o *Output) Respond(requestID uint64, body any) {
	o.Responses = append(o.Responses, Response{RequestID: requestID, Body: body})
}

func (o *Output) Log(name string, fields ...any) {
	o.LogEvents = append(o.LogEvents, LogEvent{Name: name, Fields: fields})
}

// Machine is stepped with one input at a time. Wakeup says when it wants to be
// stepped with an empty input at the latest; zero is never.
type Machine interface {
	Step(now time.Duration, in Input) Output
	NextTimer() time.Duration
}

// MustJSON encodes a value of our own types, which cannot fail.
func MustJSON(v any) json.RawMessage {
	data, err := json.Marshal(v)
	if err != nil {
		panic(err)
	}
	return data
}

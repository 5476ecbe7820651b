package machine

import (
	"encoding/json"
	"log/slog"
)

// Output lists the effects of one step. They are carried out in the order of the fields.
type Output struct {
	LogEvents    []LogEvent
	Messages     []OutgoingMessage
	Writes       []Write
	AuditEntries []AuditEntry
	Responses    []Response
	// Stopped is set once the machine has completed the shutdown that Input.Stop began.
	Stopped bool
}

// LogEvent is a line of the process log: a name and alternating keys and values.
type LogEvent struct {
	Level  slog.Level
	Name   string
	Fields []any
}

// AuditEntry is an entry of the audit log. If it is lost, the only harm is a visible gap in
// that log.
type AuditEntry struct {
	// Index is the log index of the command that made the decisions.
	Index uint64
	// Data is the content. It is encoded only if an audit log is kept, and must not be
	// modified.
	Data any
}

// Encode encodes the content as one line, without the line break.
func (e AuditEntry) Encode() json.RawMessage { return MustJSON(e.Data) }

// Response answers the request with the same ID.
type Response struct {
	RequestID uint64
	Body      any
}

// OutgoingMessage is a message to be sent. The messages of one Broadcast share the
// encoding of their body.
type OutgoingMessage struct {
	// To is the receiver's address; it is empty for a message to the process itself.
	To             string
	Kind           string
	Body           any
	sharedEncoding *encodedBody
}

// encodedBody is the shared encoding of a body. It is made when the first message that
// shares it is encoded.
type encodedBody struct {
	data []byte
	err  error
}

// Coalescable is implemented by message bodies that make an earlier message with the same
// key redundant if that still waits at the receiver.
type Coalescable interface{ CoalescingKey() string }

// Encode returns the body's encoding, which must not be changed.
func (m OutgoingMessage) Encode() ([]byte, error) {
	if m.sharedEncoding == nil {
		return Marshal(m.Body)
	}
	if m.sharedEncoding.data == nil && m.sharedEncoding.err == nil {
		m.sharedEncoding.data, m.sharedEncoding.err = Marshal(m.Body)
	}
	return m.sharedEncoding.data, m.sharedEncoding.err
}

// CoalescingKey returns the key of a Coalescable body, and an empty one for any other.
func (m OutgoingMessage) CoalescingKey() string {
	if coalescable, ok := m.Body.(Coalescable); ok {
		return coalescable.CoalescingKey()
	}
	return ""
}

// Send adds a message to one receiver.
func (o *Output) Send(to, kind string, body any) {
	o.Messages = append(o.Messages, OutgoingMessage{To: to, Kind: kind, Body: body})
}

// Broadcast adds a message to several receivers. Its body is encoded once for all.
func (o *Output) Broadcast(receivers []string, kind string, body any) {
	encoding := &encodedBody{}
	for _, to := range receivers {
		o.Messages = append(o.Messages, OutgoingMessage{To: to, Kind: kind, Body: body, sharedEncoding: encoding})
	}
}

// Respond adds the response to a request.
func (o *Output) Respond(requestID uint64, body any) {
	o.Responses = append(o.Responses, Response{RequestID: requestID, Body: body})
}

// Log adds a line of the process log for an event of normal operation; fields are
// alternating keys and values.
func (o *Output) Log(name string, fields ...any) {
	o.LogEvents = append(o.LogEvents, LogEvent{Level: slog.LevelInfo, Name: name, Fields: fields})
}

// Warn adds a line of the process log for an event that the machine recovers from, but that
// an operator should know about if it persists.
func (o *Output) Warn(name string, fields ...any) {
	o.LogEvents = append(o.LogEvents, LogEvent{Level: slog.LevelWarn, Name: name, Fields: fields})
}

// Package machine defines the event interface that every state machine of the system
// has. A machine takes one input and the monotonic time and returns what to send, write
// and respond, and when it wants to be called again. It does no input or output of its
// own, so that the daemons and the simulator drive the same code.
package machine

import (
	"encoding/json"
	"time"
)

// Machine is a deterministic state machine. Its methods are called by one goroutine.
type Machine interface {
	// Step handles one input. now is monotonic and never decreases.
	Step(now time.Duration, in Input) Output
	// NextTimer is the time by which Step is to be called with an empty input; 0 is never.
	NextTimer() time.Duration
}

// Input is one event. At most one of its parts is set, beside those
// that come with every input; one without any is an expired timer.
type Input struct {
	// Message is a message from another process, if its Kind is set.
	Message Message
	// Waited is how long the message, if it is a request, waited for the process. It tells a
	// machine that more comes than it can do.
	Waited time.Duration
	// CompletedWrite is the ID of a Write that is durable now; 0 is none.
	CompletedWrite uint64
	// SnapshotDue comes with CompletedWrite: the log has grown long, and the next
	// write is to carry a snapshot.
	SnapshotDue bool
	// Request is a request by a client of the process, if its ID is not 0.
	Request Request
	// Stop tells the machine that the process is being stopped.
	Stop bool
	// Backlog is how many inputs wait behind this one. It comes with every input. Work that
	// can be put off should be, while others wait for an answer.
	Backlog int
	// WallTime is the time of day, for the few decisions that users bind to it. It
	// comes with every input and may jump.
	WallTime time.Time
}

// IsTimer reports whether an input is an expired timer. It comes only once the completed writes
// and the messages of other members that wait are handled.
func (in Input) IsTimer() bool {
	return in.Message.Kind == "" && in.CompletedWrite == 0 && in.Request.ID == 0 && !in.Stop
}

// Request is a request by a client of the process. Which of the fields are set depends
// on its kind.
type Request struct {
	// ID is returned with the response.
	ID   uint64
	Kind string
	// Name is the job, worker, zone or other object that the request is about.
	Name string
	// Body is the encoded content. Decoded replaces it when the client runs in the same
	// process.
	Body    json.RawMessage
	Decoded any
	// Wait is how long the response may be delayed until there is something new.
	Wait time.Duration
	// BaseVersion is the version of the configuration that a change was made on; with
	// Force any version is accepted.
	BaseVersion uint64
	Force       bool
	// IdempotencyKey is the same for all repetitions of one request.
	IdempotencyKey string
	// KeyDigest is the digest of the key that the client presented; empty is none.
	KeyDigest string
	// Target is the address of the process that takes over a leadership.
	Target string
	// Enable tells the two directions of a switch apart, such as drain and undrain.
	Enable bool
}

// MustJSON encodes a value whose type is known to be encodable, and panics otherwise.
func MustJSON(v any) json.RawMessage { return must(json.Marshal(v)) }

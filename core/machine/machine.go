// Package machine defines the event interface that every state machine of the system
// implements. A machine takes one input and the monotonic time, and returns the messages
// to send, the data to write, the responses, and when it is to be called again. It does
// no I/O itself, so that the daemons and the simulator run the same code.
package machine

import (
	"encoding/json"
	"time"
)

// Machine is a deterministic state machine. Its methods are called by one goroutine.
type Machine interface {
	// Step handles one input. now is monotonic and never decreases.
	Step(now time.Duration, in Input) Output
	// NextTimer returns the time by which Step must be called with an empty input; 0 means
	// never.
	NextTimer() time.Duration
}

// Input is one event: a Message, a CompletedWrite, a Request, Stop, or an expired timer if
// none of these is set. The other fields qualify the event or come with every input.
type Input struct {
	// Message is a message from another process, if its Kind is set.
	Message Message
	// Waited is how long the message, if it is a request, waited in the process's receive
	// queue. A long wait tells a machine that it receives more requests than it can handle.
	Waited time.Duration
	// CompletedWrite is the ID of a Write that is now durable; 0 means none.
	CompletedWrite uint64
	// SnapshotDue may be set with CompletedWrite: the log has grown long, and the next
	// write is to carry a snapshot.
	SnapshotDue bool
	// Request is a request by a client of the process, if its ID is not 0.
	Request Request
	// Stop tells the machine that the process is being stopped.
	Stop bool
	// Backlog is the number of inputs queued behind this one; it comes with every input. While
	// others wait for an answer, a machine should defer work that need not be done now.
	Backlog int
	// WallTime is the time of day, for the few decisions that users tie to it. It comes with
	// every input and may jump.
	WallTime time.Time
}

// IsTimer reports whether an input is an expired timer. A timer is delivered only after all pending
// completed writes and messages of other members have been handled.
func (in Input) IsTimer() bool {
	return in.Message.Kind == "" && in.CompletedWrite == 0 && in.Request.ID == 0 && !in.Stop
}

// Request is a request from a client of the process. Which fields are set depends on its
// kind.
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
	// Wait is the longest time that the response may be delayed until there is a change to
	// report.
	Wait time.Duration
	// BaseVersion is the version of the configuration that a change is based on; with Force
	// any version is accepted.
	BaseVersion uint64
	Force       bool
	// IdempotencyKey is the same for all repetitions of one request.
	IdempotencyKey string
	// KeyDigest is the digest of the key that the client presented; it is empty if the client
	// presented none.
	KeyDigest string
	// Target is the address of the process that is to take over a leadership.
	Target string
	// Enable is true for a request that turns something on, such as drain, and false for the
	// one that turns it off, such as undrain.
	Enable bool
}

// MustJSON encodes a value whose type is known to be encodable, and panics otherwise.
func MustJSON(v any) json.RawMessage { return must(json.Marshal(v)) }

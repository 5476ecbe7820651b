package agent

import (
	"time"

	"sorrelloom/core/state"
)

// The kinds of requests that an agent handles.
const (
	// RequestCall is a worker's call. Its decoded value is a Call; the response is a CallReply.
	RequestCall = "call"
	// RequestSignOff signs a worker off. Its name or decoded value is the worker's name; the
	// response is a CallReply without orders.
	RequestSignOff = "leave"
)

// Outcome says how a run ended.
type Outcome string

// The outcomes of a run.
const (
	OutcomeSucceeded Outcome = "good"
	OutcomeFailed    Outcome = "failed"
	// OutcomeStopped is the outcome of a run that was ordered to stop.
	OutcomeStopped Outcome = "stopped"
	// OutcomeLost is the outcome of a run that ended through no fault of its own: its lease
	// expired, the worker refused it, or its gang broke.
	OutcomeLost Outcome = "lost"
)

// Run is an attempt that a worker runs.
type Run struct {
	state.Attempt
	// Checkpoint is the last checkpoint that the run saved, "" if none.
	Checkpoint string
	Percent    int
}

// EndedRun is a run that has ended. A worker numbers the ended runs of one incarnation from
// 1, in the order in which they ended.
type EndedRun struct {
	Number uint64
	Run
	Outcome Outcome
	Reason  string
}

// Call is the full state of a worker; each call replaces the previous one.
type Call struct {
	// Worker is the name of one incarnation: a worker that restarts after a crash has a new
	// name.
	Worker string
	// Number increases with every call of an incarnation.
	Number uint64
	// SentAt is when the call was sent, by the worker's monotonic clock; 0 is unknown.
	SentAt  time.Duration
	Address string
	Service string
	Zone    string
	Rack    string
	Labels  []string
	// Free is what the worker reports as free. Some workers subtract what their runs use,
	// others always report everything that they have: the maximum ever reported counts as the
	// worker's capacity.
	Free state.Resources
	// Leaving says that the worker accepts no more starts, LeavesIn how long until it
	// terminates.
	Leaving  bool
	LeavesIn time.Duration
	Running  []Run
	// Ended holds the ended runs that the agent has not acknowledged yet.
	Ended []EndedRun
}

// StartOrder is an order to start an attempt, from the checkpoint if it names one.
type StartOrder struct {
	state.Attempt
	Payload    []byte
	Checkpoint string
}

// CallReply is the reply to a call.
type CallReply struct {
	// LeaseRemaining is how long all runs may continue, counted from when the call was sent,
	// or earlier.
	LeaseRemaining time.Duration
	// Starts are repeated until a call lists the attempts, Stops until a call no longer lists
	// them.
	Starts []StartOrder
	Stops  []state.Attempt
	// AcknowledgedUpTo is the number up to which the worker may forget its ended runs.
	AcknowledgedUpTo uint64
	// FencingEpoch never decreases; a worker rejects orders with a lower epoch.
	FencingEpoch uint64
	// NextCallIn is the time after which the worker should call again.
	NextCallIn time.Duration
}

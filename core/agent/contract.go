// What an agent takes from the worker that it stands beside, and what it tells
// it. A worker calls; the agent never does. The translator of an outside system
// fills a Call from what the worker says and writes a Told back in its words.

package agent

import (
	"time"

	"sorrelloom/core/state"
)

// The kinds of requests that an agent takes: a worker's call, with a Call as
// value, answered with a Told; and its word that it is gone, with its name.
const (
	RequestCall  = "call"
	RequestLeave = "leave"
)

// How a run ended.
const (
	OutcomeSucceeded = "good"
	OutcomeFailed    = "failed"
	OutcomeStopped   = "stopped"
	OutcomeLost      = "lost" // through no fault of its own: lapsed, refused, or its gang broke
)

// Run is one attempt that a worker runs.
type Run struct {
	state.Attempt
	Checkpoint string
	Percent    int
}

// Ended is one end, by the worker's own count, which rises from 1 in each life.
type EndedRun struct {
	Number uint64
	Run
	Outcome string
	Reason  string
}

// Call is all that a worker says of itself. Number rises with every call of a
// worker; a worker that crashed comes back under another name.
type Call struct {
	Worker  string
	Number  uint64
	Address string
	Service string
	Zone    string
	Rack    string
	Labels  []string
	// Free is the room that the worker says it has. Some say what is left, others
	// always all that they have: the most it has ever said counts as its total.
	Free     state.Resources
	Leaving  bool
	LeavesIn time.Duration
	Running  []Run
	Ended    []EndedRun
}

// Begin is an order to start one attempt.
type StartOrder struct {
	state.Attempt
	Payload    []byte
	Checkpoint string
}

// Told is the answer to a call. Hold is how long everything may run on, counted
// from the sending of the call at the latest; Seen is the count up to which ends
// may be forgotten; Fence never falls; Again is when to call next.
type CallReply struct {
	LeaseRemaining   time.Duration
	Starts           []StartOrder
	Stops            []state.Attempt
	AcknowledgedEnds uint64
	FencingEpoch     uint64
	NextCallIn       time.Duration
}

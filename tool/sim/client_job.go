package sim

import (
	"time"

	"sorrelloom/core/state"
	"sorrelloom/core/status"
)

// Timing of client requests and retries.
const (
	callerName = "caller" // stands for the clients' address in blocked links
	// silenceRetryDelay is the delay before a request is retried that got no reply.
	silenceRetryDelay = 100 * time.Millisecond
	// minRetryDelay is the minimum delay before a rejected request is retried.
	minRetryDelay = 50 * time.Millisecond
	// firstStatusDelay is the delay between acceptance of a job and its first status request.
	firstStatusDelay = 300 * time.Millisecond
	// clientTimeout is how long a client waits for a reply.
	clientTimeout = 3 * time.Second
)

// clientJob is a job as its client observed it. The time of an event is zero until it has
// happened.
type clientJob struct {
	spec state.JobSpec
	// request is the submitted job if it consists of steps; spec has these expanded into tasks.
	request state.JobSpec
	// tenant owns the job; empty in scenarios without tenants.
	tenant      string
	probe       bool // submitted after the last fault, to check that jobs are served again
	impossible  bool // no worker can run it
	mustSucceed bool

	gatewayIndex int // selects the gateway; incremented between requests
	submissions  int
	statusReads  int
	sentAt       time.Duration
	acceptedAt   time.Duration
	cancelledAt  time.Duration
	endedAt      time.Duration
	unknownAt    time.Duration // when the first status reply said that the job is unknown
	gaveUpAt     time.Duration
	// outcomeUnknown is set once a submission may have been accepted although no reply said so.
	outcomeUnknown bool
	rejection      status.Code
	state          string
	openTask       string // a task that was open in the status reply that showed the job as ended
}

// isEnded reports whether a state of a job or a task is final.
func isEnded(jobState string) bool {
	return jobState == state.Done || jobState == state.Failed || jobState == state.Cancelled
}

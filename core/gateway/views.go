package gateway

import (
	"time"

	"sorrelloom/core/config"
	"sorrelloom/core/state"
	"sorrelloom/core/status"
	"sorrelloom/core/wire"
)

// Reply is the answer to a request. Body is encoded as JSON.
type Reply struct {
	// StatusCode is the HTTP status code.
	StatusCode int
	// RetryAfter is the time after which to retry the request, 0 if no retry is needed.
	RetryAfter time.Duration
	Body       any
}

// Outcome is the body of a rejection and the common part of other response bodies.
type Outcome struct {
	Code   status.Code `json:"code"`
	Name   string      `json:"name"`
	Reason string      `json:"why,omitempty"`
	// Version is the version of the configuration.
	Version          uint64             `json:"sequence,omitempty"`
	RetryAfterMillis int64              `json:"retryAfterMs,omitempty"`
	Violations       []config.Violation `json:"faults,omitempty"`
}

func outcomeOf(result state.Result) Outcome {
	return Outcome{
		Code:             result.Code,
		Name:             result.Code.String(),
		Reason:           result.Reason,
		Version:          result.ConfigVersion,
		RetryAfterMillis: result.RetryAfter.Milliseconds(),
		Violations:       result.Violations,
	}
}

// JobView is a job as shown to callers. WaitReason says why it has not ended yet.
type JobView struct {
	Outcome
	ID         string `json:"id"`
	State      string `json:"state"`
	JobReason  string `json:"jobWhy,omitempty"`
	Service    string `json:"service"`
	Class      string `json:"class"`
	WaitReason string `json:"waits,omitempty"`
	// Archived says that only the job's outcome is kept, without its tasks.
	Archived bool       `json:"past,omitempty"`
	Tasks    []TaskView `json:"tasks"`
}

// TaskView is a task as shown to callers.
type TaskView struct {
	ID    string `json:"id"`
	State string `json:"state"`
	// Worker is the worker that the task is leased to, or the one that completed it.
	Worker   string `json:"worker,omitempty"`
	Attempts int    `json:"tries"`
	Failures int    `json:"defects"`
	Losses   int    `json:"losses"`
	Reason   string `json:"why,omitempty"`
}

// HeartbeatView is the answer to a heartbeat.
type HeartbeatView struct {
	Outcome
	Reply       state.HeartbeatReply `json:"orders"`
	LeaseMillis int64                `json:"leaseMs"`
}

// ConfigCheckView is the answer for a valid configuration. DryRun is what it would change; it
// is omitted if the gateway's read replica is not fresh.
type ConfigCheckView struct {
	Outcome
	DryRun []state.DryRunRow `json:"dryRun,omitempty"`
}

// WorkerView is a worker as shown to operators.
type WorkerView struct {
	ID       string          `json:"id"`
	Zone     string          `json:"site"`
	Rack     string          `json:"rack,omitempty"`
	Service  string          `json:"service"`
	Labels   []string        `json:"labels,omitempty"`
	State    string          `json:"state"`
	Capacity state.Resources `json:"capacity"`
	Free     state.Resources `json:"free"`
	// Leases are the attempts for which the worker holds leases.
	Leases []state.Attempt `json:"turns"`
}

// WorkerList is the answer to RequestWorkers.
type WorkerList struct {
	DrainedZones []string     `json:"emptied"`
	Workers      []WorkerView `json:"workers"`
}

// NodeList is the answer to RequestNodes.
type NodeList struct {
	Nodes []wire.Node `json:"nodes"`
}

// LeadershipList is the answer to RequestLeaderships.
type LeadershipList struct {
	Leaderships []state.Leadership `json:"duties"`
}

// JobList is the answer to RequestJobs.
type JobList struct {
	Jobs []JobView `json:"jobs"`
}

// Package status defines the numbered status codes of all results, in messages between
// processes as well as in the HTTP API. The numbers never change. docs/codes.md has the
// same table for users; a test checks that the two are equal.
package status

import (
	"fmt"
	"slices"
)

// Code is a status code. Codes below 100 stand for success.
type Code int

// Success.
const (
	OK          Code = 0
	AlreadyDone Code = 1
)

// The request itself is invalid, and fails again if it is repeated.
const (
	Malformed     Code = 100
	TooLarge      Code = 101
	InvalidJob    Code = 102
	InvalidConfig Code = 103
	InvalidPolicy Code = 104
	UnknownClass  Code = 105
	Unsatisfiable Code = 106
	UnknownKey    Code = 107
)

// The request conflicts with something newer.
const (
	JobConflict          Code = 200
	StaleConfig          Code = 201
	StaleEpoch           Code = 202
	StaleHeartbeat       Code = 203
	IdempotencyKeyReused Code = 204
	RequestExpired       Code = 205
)

// The object of the request does not exist.
const (
	UnknownJob  Code = 300
	UnknownName Code = 301
	NoRoute     Code = 302
)

// A lease on a task cannot be granted, or a worker cannot be confirmed dead.
const (
	TaskNotPending        Code = 400
	DependenciesUnmet     Code = 401
	RetriesExhausted      Code = 402
	WorkerMismatch        Code = 403
	InsufficientResources Code = 404
	Draining              Code = 405
	ZoneDrained           Code = 406
	JobCancelled          Code = 407
	QuotaExceeded         Code = 408
	GangIncomplete        Code = 409
	WorkerUnresponsive    Code = 410
	WorkerAlive           Code = 411
	SpreadExceeded        Code = 412
	TenantLimitReached    Code = 413
)

// The request cannot be served now and may be repeated later.
const (
	QueueFull           Code = 500
	ReplicasUnavailable Code = 501
	NotPrimary          Code = 502
	ShuttingDown        Code = 503
	NoConfig            Code = 504
	NoResponse          Code = 505
)

// Internal is a failure of the system itself.
const Internal Code = 900

// firstFailure is the lowest code that is not a success.
const firstFailure Code = 100

// Description is a row of the table of codes.
type Description struct {
	Code       Code
	Name       string
	HTTPStatus int
	Meaning    string
}

var descriptions = []Description{
	{OK, "ok", 200, "done as asked"},
	{AlreadyDone, "same", 200, "already done by an earlier identical request"},
	{Malformed, "malformed", 400, "not the JSON that the call expects; the answer says where"},
	{TooLarge, "too-large", 413, "the body is over the limit"},
	{InvalidJob, "bad-job", 400, "the job's content breaks a rule; the answer names the place"},
	{InvalidConfig, "bad-plan", 400, "the configuration fails its schema or a cross-check; the answer names the place"},
	{InvalidPolicy, "bad-policy", 400, "a policy does not compile; the answer gives line and column"},
	{UnknownClass, "unknown-class", 400, "the service or class is not in the configuration"},
	{Unsatisfiable, "impossible", 400, "no worker of the configuration could ever meet the need"},
	{UnknownKey, "unknown-key", 401, "the class needs the key of a tenant, and the call has none that is known"},
	{JobConflict, "other-content", 409, "this job id was accepted before with other content"},
	{StaleConfig, "stale-plan", 409, "the configuration has moved on; the answer names the current version"},
	{StaleEpoch, "stale-epoch", 409, "the sender's leadership or view has passed to another"},
	{StaleHeartbeat, "stale-beat", 409, "a later heartbeat of this worker was already taken"},
	{IdempotencyKeyReused, "other-request", 409, "this Idempotency-Key was used for another request"},
	{RequestExpired, "too-late", 409, "the request is older than repeats are remembered; look, and ask again"},
	{UnknownJob, "unknown-job", 404, "no such job was accepted, or it ended longer ago than is remembered"},
	{UnknownName, "unknown-name", 404, "no such worker, zone, leadership or path; the answer names those that are known"},
	{NoRoute, "no-entry", 404, "no route of the configuration has this host and path"},
	{TaskNotPending, "task-not-open", 409, "the task is granted already or has ended"},
	{DependenciesUnmet, "not-released", 409, "something that the task depends on is not done"},
	{RetriesExhausted, "defects-spent", 409, "the task has used up its allowed failures"},
	{WorkerMismatch, "wrong-worker", 409, "the worker has another service or lacks a label"},
	{InsufficientResources, "no-room", 409, "the worker's free resources are too small"},
	{Draining, "draining", 409, "the worker has said that it leaves, or is drained"},
	{ZoneDrained, "site-emptied", 409, "the worker's zone is drained"},
	{JobCancelled, "job-cancelled", 409, "the job is cancelled"},
	{QuotaExceeded, "over-share", 409, "the class is over its share and may not borrow now"},
	{GangIncomplete, "gang-broken", 409, "not every member of the gang was granted in this write"},
	{WorkerUnresponsive, "worker-silent", 409, "the worker has sent no heartbeat lately"},
	{WorkerAlive, "worker-heard", 409, "the worker was heard a moment ago, so it is not dead"},
	{SpreadExceeded, "crowded", 409, "as many tasks of the step are on the worker as may"},
	{TenantLimitReached, "over-limit", 409, "the job's tenant would have more running than its limit"},
	{QueueFull, "inbox-full", 429, "too much is waiting; come back after the time given"},
	{ReplicasUnavailable, "no-authority", 503, "the replicas cannot be reached now; come back after the time given"},
	{NotPrimary, "not-primary", 503, "this replica does not lead; the answer may name the one that does"},
	{ShuttingDown, "stopping", 503, "this process is going down; ask another gateway"},
	{NoConfig, "no-plan", 503, "there is no configuration yet; come back after the time given"},
	{NoResponse, "no-answer", 504,
		"no replica answered in time; the request may still take effect, so ask again for the same"},
	{Internal, "internal", 500, "a fault of ours; the log of the process has more"},
}

// Table returns the descriptions of all codes in the order of their numbers.
func Table() []Description { return slices.Clone(descriptions) }

// Describe returns the code's description; a code that is not in the table counts as an
// internal failure.
func (c Code) Describe() Description {
	for _, description := range descriptions {
		if description.Code == c {
			return description
		}
	}
	return Description{c, fmt.Sprintf("code-%d", int(c)), 500, "unknown code"}
}

// String returns the code's name.
func (c Code) String() string { return c.Describe().Name }

// HTTPStatus returns the HTTP status that goes with the code.
func (c Code) HTTPStatus() int { return c.Describe().HTTPStatus }

// IsSuccess reports whether the code stands for success.
func (c Code) IsSuccess() bool { return c < firstFailure }

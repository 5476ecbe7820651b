// Package status holds the numbered result codes that every answer of the
// system carries, inside and outside. The number is stable for ever, the HTTP
// status is what a caller over HTTP sees with it. docs/codes.md is the table
// for people; a test keeps the two the same.
package status

import "fmt"

// Code is the number of a result.
type Code int

const (
	OK                    Code = 0
	AlreadyDone           Code = 1
	Malformed             Code = 100
	TooLarge              Code = 101
	InvalidJob            Code = 102
	InvalidConfig         Code = 103
	InvalidPolicy         Code = 104
	UnknownClass          Code = 105
	Unsatisfiable         Code = 106
	JobConflict           Code = 200
	StaleConfig           Code = 201
	StaleEpoch            Code = 202
	StaleHeartbeat        Code = 203
	IdempotencyKeyReused  Code = 204
	RequestExpired        Code = 205
	UnknownJob            Code = 300
	UnknownName           Code = 301
	NoRoute               Code = 302
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
	QueueFull             Code = 500
	ReplicasUnavailable   Code = 501
	NotPrimary            Code = 502
	ShuttingDown          Code = 503
	NoConfig              Code = 504
	NoResponse            Code = 505
	Internal              Code = 900
)

// Entry is a line of the table: a code with its name, HTTP status and meaning.
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
	{InvalidConfig, "bad-plan", 400, "the plan fails its schema or a cross-check; the answer names the place"},
	{InvalidPolicy, "bad-policy", 400, "a policy does not compile; the answer gives line and column"},
	{UnknownClass, "unknown-class", 400, "the service or class is not in the plan"},
	{Unsatisfiable, "impossible", 400, "no worker of the plan could ever meet the need"},
	{JobConflict, "other-content", 409, "this job id was accepted before with other content"},
	{StaleConfig, "stale-plan", 409, "the plan has moved on; the answer names the current sequence"},
	{StaleEpoch, "stale-epoch", 409, "the sender's duty or view has passed to another"},
	{StaleHeartbeat, "stale-beat", 409, "a later beat of this worker was already taken"},
	{IdempotencyKeyReused, "other-request", 409, "this Idempotency-Key was used for another request"},
	{RequestExpired, "too-late", 409, "the request is older than repeats are remembered; look, and ask again"},
	{UnknownJob, "unknown-job", 404, "no such job was accepted, or it ended longer ago than is remembered"},
	{UnknownName, "unknown-name", 404, "no such worker, site, duty or path; the answer names those that are known"},
	{NoRoute, "no-entry", 404, "no entry of the plan has this host and path"},
	{TaskNotPending, "task-not-open", 409, "the task is granted already or has ended"},
	{DependenciesUnmet, "not-released", 409, "something that the task depends on is not done"},
	{RetriesExhausted, "defects-spent", 409, "the task has used up its allowed defects"},
	{WorkerMismatch, "wrong-worker", 409, "the worker has another service or lacks a label"},
	{InsufficientResources, "no-room", 409, "the worker's free room is too small"},
	{Draining, "draining", 409, "the worker has said that it leaves, or is drained"},
	{ZoneDrained, "site-emptied", 409, "the worker's site is emptied"},
	{JobCancelled, "job-cancelled", 409, "the job is cancelled"},
	{QuotaExceeded, "over-share", 409, "the class is over its share and may not borrow now"},
	{GangIncomplete, "gang-broken", 409, "not every member of the gang was granted in this write"},
	{WorkerUnresponsive, "worker-silent", 409, "the worker has not beaten lately"},
	{WorkerAlive, "worker-heard", 409, "the worker was heard a moment ago, so it is not gone"},
	{SpreadExceeded, "crowded", 409, "as many tasks of the step stand on the worker as may"},
	{QueueFull, "inbox-full", 429, "too much is waiting; come back after the time given"},
	{ReplicasUnavailable, "no-authority", 503, "the keepers cannot be reached now; come back after the time given"},
	{NotPrimary, "not-primary", 503, "this keeper does not lead; the answer may name the one that does"},
	{ShuttingDown, "stopping", 503, "this process is going down; ask another front"},
	{NoConfig, "no-plan", 503, "there is no plan yet; come back after the time given"},
	{NoResponse, "no-answer", 504,
		"no keeper answered in time; the request may still take effect, so ask again for the same"},
	{Internal, "internal", 500, "a fault of ours; the log of the process has more"},
}

// Table lists all codes in the order of their numbers.
func Table() []Description { return append([]Description(nil), descriptions...) }

// Entry finds the code in the table.
func (c Code) Describe() Description {
	for _, e := range descriptions {
		if e.Code == c {
			return e
		}
	}
	return Description{c, fmt.Sprintf("code-%d", int(c)), 500, "unknown code"}
}

// String is the code's name.
func (c Code) String() string { return c.Describe().Name }

// Status is the HTTP status that goes with the code.
func (c Code) HTTPStatus() int { return c.Describe().HTTPStatus }

// Good says whether the code stands for success.
func (c Code) IsSuccess() bool { return c < 100 }

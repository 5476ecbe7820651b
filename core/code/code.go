// Package code holds the numbered result codes that every answer of the
// system carries, inside and outside. The number is stable for ever, the HTTP
// status is what a caller over HTTP sees with it. docs/codes.md is the table
// for people; a test keeps the two the same.
package code

import "fmt"

// Code is the number of a result.
type Code int

const (
	OK           Code = 0
	Same         Code = 1
	Malformed    Code = 100
	TooLarge     Code = 101
	BadJob       Code = 102
	BadPlan      Code = 103
	BadPolicy    Code = 104
	UnknownClass Code = 105
	Impossible   Code = 106
	OtherContent Code = 200
	StalePlan    Code = 201
	StaleEpoch   Code = 202
	StaleBeat    Code = 203
	OtherRequest Code = 204
	TooLate      Code = 205
	UnknownJob   Code = 300
	UnknownName  Code = 301
	NoEntry      Code = 302
	TaskNotOpen  Code = 400
	NotReleased  Code = 401
	DefectsSpent Code = 402
	WrongWorker  Code = 403
	NoRoom       Code = 404
	Draining     Code = 405
	SiteEmptied  Code = 406
	JobCancelled Code = 407
	OverShare    Code = 408
	GangBroken   Code = 409
	WorkerSilent Code = 410
	WorkerHeard  Code = 411
	Crowded      Code = 412
	InboxFull    Code = 500
	NoAuthority  Code = 501
	NotPrimary   Code = 502
	Stopping     Code = 503
	NoPlan       Code = 504
	NoAnswer     Code = 505
	Internal     Code = 900
)

// Entry is a line of the table: a code with its name, HTTP status and meaning.
type Entry struct {
	Code   Code
	Name   string
	Status int
	Means  string
}

var table = []Entry{
	{OK, "ok", 200, "done as asked"},
	{Same, "same", 200, "already done by an earlier identical request"},
	{Malformed, "malformed", 400, "not the JSON that the call expects; the answer says where"},
	{TooLarge, "too-large", 413, "the body is over the limit"},
	{BadJob, "bad-job", 400, "the job's content breaks a rule; the answer names the place"},
	{BadPlan, "bad-plan", 400, "the plan fails its schema or a cross-check; the answer names the place"},
	{BadPolicy, "bad-policy", 400, "a policy does not compile; the answer gives line and column"},
	{UnknownClass, "unknown-class", 400, "the service or class is not in the plan"},
	{Impossible, "impossible", 400, "no worker of the plan could ever meet the need"},
	{OtherContent, "other-content", 409, "this job id was accepted before with other content"},
	{StalePlan, "stale-plan", 409, "the plan has moved on; the answer names the current sequence"},
	{StaleEpoch, "stale-epoch", 409, "the sender's duty or view has passed to another"},
	{StaleBeat, "stale-beat", 409, "a later beat of this worker was already taken"},
	{OtherRequest, "other-request", 409, "this Idempotency-Key was used for another request"},
	{TooLate, "too-late", 409, "the request is older than repeats are remembered; look, and ask again"},
	{UnknownJob, "unknown-job", 404, "no such job was accepted, or it ended longer ago than is remembered"},
	{UnknownName, "unknown-name", 404, "no such worker, site, duty or path; the answer names those that are known"},
	{NoEntry, "no-entry", 404, "no entry of the plan has this host and path"},
	{TaskNotOpen, "task-not-open", 409, "the task is granted already or has ended"},
	{NotReleased, "not-released", 409, "something that the task depends on is not done"},
	{DefectsSpent, "defects-spent", 409, "the task has used up its allowed defects"},
	{WrongWorker, "wrong-worker", 409, "the worker has another service or lacks a label"},
	{NoRoom, "no-room", 409, "the worker's free room is too small"},
	{Draining, "draining", 409, "the worker has said that it leaves, or is drained"},
	{SiteEmptied, "site-emptied", 409, "the worker's site is emptied"},
	{JobCancelled, "job-cancelled", 409, "the job is cancelled"},
	{OverShare, "over-share", 409, "the class is over its share and may not borrow now"},
	{GangBroken, "gang-broken", 409, "not every member of the gang was granted in this write"},
	{WorkerSilent, "worker-silent", 409, "the worker has not beaten lately"},
	{WorkerHeard, "worker-heard", 409, "the worker was heard a moment ago, so it is not gone"},
	{Crowded, "crowded", 409, "as many tasks of the step stand on the worker as may"},
	{InboxFull, "inbox-full", 429, "too much is waiting; come back after the time given"},
	{NoAuthority, "no-authority", 503, "the keepers cannot be reached now; come back after the time given"},
	{NotPrimary, "not-primary", 503, "this keeper does not lead; the answer may name the one that does"},
	{Stopping, "stopping", 503, "this process is going down; ask another front"},
	{NoPlan, "no-plan", 503, "there is no plan yet; come back after the time given"},
	{NoAnswer, "no-answer", 504,
		"no keeper answered in time; the request may still take effect, so ask again for the same"},
	{Internal, "internal", 500, "a fault of ours; the log of the process has more"},
}

// Table lists all codes in the order of their numbers.
func Table() []Entry { return append([]Entry(nil), table...) }

// Entry finds the code in the table.
func (c Code) Entry() Entry {
	for _, e := range table {
		if e.Code == c {
			return e
		}
	}
	return Entry{c, fmt.Sprintf("code-%d", int(c)), 500, "unknown code"}
}

// String is the code's name.
func (c Code) String() string { return c.Entry().Name }

// Status is the HTTP status that goes with the code.
func (c Code) Status() int { return c.Entry().Status }

// Good says whether the code stands for success.
func (c Code) Good() bool { return c < 100 }

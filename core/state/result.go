package state

import (
	"fmt"
	"strings"
	"time"

	"sorrelloom/core/config"
	"sorrelloom/core/status"
)

// Result is how a command ended.
//
// Its reasons are part of the replicated state, since the results of operators'
// writes are remembered (see Request): replicas of different versions must agree
// on them, so the texts stay as they are.
type Result struct {
	Code   status.Code `json:"code"`
	Reason string      `json:"why,omitempty"`
	// ConfigVersion is that of the configuration in force, or of the one just taken.
	ConfigVersion uint64        `json:"sequence,omitempty"`
	RetryAfter    time.Duration `json:"retryAfter,omitempty"`
	// Heartbeat answers a worker's heartbeat.
	Heartbeat  HeartbeatReply     `json:"orders,omitzero"`
	Job        Job                `json:"job,omitzero"`
	Violations []config.Violation `json:"faults,omitempty"`
	// WaitingCount and Config answer reads.
	WaitingCount int            `json:"count,omitempty"`
	Config       *config.Config `json:"plan,omitempty"`
	// Time and ConfirmedIndex, in a confirmation of the leadership, are state time and
	// the log index up to which the leader has committed everything.
	Time           time.Duration `json:"time,omitempty"`
	ConfirmedIndex uint64        `json:"proven,omitempty"`
}

// reject is the result of a command that changes nothing.
func reject(code status.Code, format string, args ...any) Result {
	return Result{Code: code, Reason: fmt.Sprintf(format, args...)}
}

// rejectForNow is a rejection that may be retried after a while.
func rejectForNow(retryAfter time.Duration, code status.Code, format string, args ...any) Result {
	result := reject(code, format, args...)
	result.RetryAfter = retryAfter
	return result
}

// rejection says why a command is rejected. Checks return one, the zero value if they
// pass: it is much smaller than a Result, and no pointer, so that it costs nothing.
type rejection struct {
	code   status.Code
	reason string
}

func newRejection(code status.Code, format string, args ...any) rejection {
	return rejection{code, fmt.Sprintf(format, args...)}
}

// isSet says whether the command is rejected.
func (r rejection) isSet() bool { return r.code != status.OK }

// result is that of the command rejected.
func (r rejection) result() Result { return Result{Code: r.code, Reason: r.reason} }

// namesListed is how many of the existing names the rejection of an unknown one gives.
const namesListed = 20

// rejectUnknownName is the result for a name that does not exist; it gives those that do.
func rejectUnknownName(what, name string, known []string) Result {
	text := strings.Join(known[:min(namesListed, len(known))], ", ")
	if len(known) > namesListed {
		text += fmt.Sprintf(" and %d more", len(known)-namesListed)
	}
	return reject(status.UnknownName, "no %s %q; known are: %s", what, name, text)
}

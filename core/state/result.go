package state

import (
	"fmt"
	"strings"
	"time"

	"sorrelloom/core/config"
	"sorrelloom/core/status"
)

// Result is the outcome of a command.
//
// Its reasons are part of the replicated state, because the results of operators' writes
// are stored (see Request). Replicas of different versions must agree on them, so the texts
// must not change.
type Result struct {
	Code   status.Code `json:"code"`
	Reason string      `json:"why,omitempty"`
	// ConfigVersion is the version of the configuration in force, or of the one that the
	// command has put in force.
	ConfigVersion uint64        `json:"sequence,omitempty"`
	RetryAfter    time.Duration `json:"retryAfter,omitempty"`
	// Heartbeat is the reply to a worker's heartbeat.
	Heartbeat  HeartbeatReply     `json:"orders,omitzero"`
	Job        Job                `json:"job,omitzero"`
	Violations []config.Violation `json:"faults,omitempty"`
	// WaitingCount and Config are the results of reads.
	WaitingCount int            `json:"count,omitempty"`
	Config       *config.Config `json:"plan,omitempty"`
	// Time and ConfirmedIndex are set in a confirmation of the leadership: state time, and
	// the log index up to which the leader has committed all commands.
	Time           time.Duration `json:"time,omitempty"`
	ConfirmedIndex uint64        `json:"proven,omitempty"`
}

// reject returns the result of a rejected command.
func reject(code status.Code, format string, args ...any) Result {
	return Result{Code: code, Reason: fmt.Sprintf(format, args...)}
}

// rejectForNow returns the result of a rejected command that may be retried after the given
// time.
func rejectForNow(retryAfter time.Duration, code status.Code, format string, args ...any) Result {
	result := reject(code, format, args...)
	result.RetryAfter = retryAfter
	return result
}

// rejection is why a command is rejected; the zero value means that it is not. Checks return
// a rejection because it is much smaller than a Result and needs no allocation.
type rejection struct {
	code   status.Code
	reason string
}

func newRejection(code status.Code, format string, args ...any) rejection {
	return rejection{code, fmt.Sprintf(format, args...)}
}

// isSet reports whether the command is rejected.
func (r rejection) isSet() bool { return r.code != status.OK }

// result returns the Result of the rejected command.
func (r rejection) result() Result { return Result{Code: r.code, Reason: r.reason} }

// maxListedNames is the maximum number of existing names that the rejection of an unknown name
// lists.
const maxListedNames = 20

// rejectUnknownName returns the result for a name that does not exist. Its reason lists the
// existing names.
func rejectUnknownName(what, name string, known []string) Result {
	text := strings.Join(known[:min(maxListedNames, len(known))], ", ")
	if len(known) > maxListedNames {
		text += fmt.Sprintf(" and %d more", len(known)-maxListedNames)
	}
	return reject(status.UnknownName, "no %s %q; known are: %s", what, name, text)
}

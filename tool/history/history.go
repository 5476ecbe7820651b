// Package history checks recorded calls of clients for linearizability: for each object, there
// must be one sequential order of its calls that explains every reply. The configuration is one
// object, and so is each job.
package history

import (
	"fmt"
	"math"
	"strings"
	"time"

	"github.com/anishathalye/porcupine"

	"sorrelloom/core/state"
	"sorrelloom/core/status"
)

// checkTimeout bounds the search for an order of the calls to one object. The search takes far
// less, even on a loaded machine.
const checkTimeout = 2 * time.Minute

// Call is one call of a client, with its reply.
type Call struct {
	Command    state.Command
	Begin, End time.Duration
	// Result is the reply that the client received. Unless Definite is true, the command may or
	// may not have been executed, at any time after Begin.
	Result   state.Result
	Definite bool
}

// History records the calls to a cluster. Its zero value is empty.
type History struct{ calls []*Call }

// Begin records the start of a call.
func (h *History) Begin(now time.Duration, command state.Command) *Call {
	call := &Call{Command: command, Begin: now}
	h.calls = append(h.calls, call)
	return call
}

// Answer records the reply to a call; ok is false if the call timed out.
func (c *Call) Answer(now time.Duration, result state.Result, ok bool) {
	c.End, c.Result = now, result
	c.Definite = ok && result.Code != status.NoResponse && result.Code != status.Internal
}

// Len returns the number of recorded calls.
func (h *History) Len() int { return len(h.calls) }

// Violation is an object whose calls are not linearizable.
type Violation struct {
	// Object is "configuration" or the ID of a job.
	Object string
	Calls  []*Call
}

// String describes the calls as their clients saw them.
func (v Violation) String() string {
	var text strings.Builder
	fmt.Fprintf(&text, "no order explains the answers to %d calls to %s:", len(v.Calls), v.Object)
	for _, call := range v.Calls {
		fmt.Fprintf(&text, " [%s]", call)
	}
	return text.String()
}

// String describes the call as its client saw it.
func (c *Call) String() string {
	span := fmt.Sprintf("%.3f-%.3f %s", c.Begin.Seconds(), c.End.Seconds(), c.Command.Kind)
	if !c.Definite {
		return span + " unclear"
	}
	result := &c.Result
	text := span + " " + result.Code.String()
	switch {
	case c.Command.Kind == state.KindReadConfig || c.Command.Kind == state.KindChangeConfig:
		return fmt.Sprintf("%s version %d on %d", text, c.configVersion(), c.Command.ConfigChange.BaseVersion)
	case result.Job.State != "":
		return fmt.Sprintf("%s %s %s", text, result.Job.State, result.Job.EndingState)
	}
	return text
}

// Check checks the calls to each object for linearizability. It also returns the number of
// objects checked, and the objects for which the search exceeded checkTimeout.
func (h *History) Check() (violations []Violation, checked int, undecided []string) {
	byJob := map[string][]*Call{}
	var jobs []string
	var config []*Call
	for _, call := range h.calls {
		job := jobID(&call.Command)
		switch {
		case call.Command.Kind == state.KindChangeConfig || call.Command.Kind == state.KindReadConfig:
			config = append(config, call)
		case job == "":
		default:
			if byJob[job] == nil {
				jobs = append(jobs, job)
			}
			byJob[job] = append(byJob[job], call)
		}
	}
	check := func(object string, model porcupine.Model, calls []*Call) {
		checked++
		switch porcupine.CheckOperationsTimeout(model, toOperations(calls), checkTimeout) {
		case porcupine.Illegal:
			violations = append(violations, Violation{object, calls})
		case porcupine.Unknown:
			undecided = append(undecided, object)
		}
	}
	if len(config) > 0 {
		check("configuration", configModel(), config)
	}
	for _, job := range jobs {
		check(job, jobModel(), byJob[job])
	}
	return violations, checked, undecided
}

// jobID returns the ID of the job that a command refers to, empty if it refers to none.
func jobID(command *state.Command) string {
	switch command.Kind {
	case state.KindAcceptJob:
		return command.Job.ID
	case state.KindCancelJob, state.KindReadJob:
		return command.Name
	}
	return ""
}

// toOperations converts calls to operations of the checker. Reads with an indefinite result are
// left out; writes with one may take effect at any later time, so their end is unbounded.
func toOperations(calls []*Call) []porcupine.Operation {
	var out []porcupine.Operation
	for _, call := range calls {
		end := int64(call.End)
		if !call.Definite {
			if state.IsReadOnly(call.Command.Kind) {
				continue
			}
			end = math.MaxInt64
		}
		out = append(out, porcupine.Operation{Input: call, Output: call, Call: int64(call.Begin), Return: end})
	}
	return out
}

// isRejection reports whether a reply guarantees that the command had no effect.
func isRejection(result *state.Result) bool {
	if result.Code.IsSuccess() {
		return false
	}
	httpStatus := result.Code.HTTPStatus()
	return httpStatus == 429 || httpStatus >= 500
}

package history

import (
	"slices"

	"github.com/anishathalye/porcupine"

	"sorrelloom/core/state"
	"sorrelloom/core/status"
)

// configState is the state of the configuration: the current version, and the idempotency keys
// of the changes applied so far.
type configState struct {
	version uint64
	applied []string
}

func (s configState) withChange(key string) configState {
	return configState{s.version + 1, append(slices.Clone(s.applied), key)}
}

// configModel models the configuration as a register with compare-and-swap: a change applies
// only to the version that it names. A repeated change with the same idempotency key gets the
// same reply and has no further effect.
func configModel() porcupine.Model {
	model := porcupine.NondeterministicModel{
		Init: func() []any { return []any{configState{}} },
		Step: func(before, input, _ any) []any { return stepConfig(before.(configState), input.(*Call)) },
		Equal: func(one, other any) bool {
			a, b := one.(configState), other.(configState)
			return a.version == b.version && slices.Equal(a.applied, b.applied)
		},
	}
	return model.ToModel()
}

// stepConfig returns the possible states after a call, none if its reply is impossible.
func stepConfig(before configState, call *Call) []any {
	same, result := []any{before}, &call.Result
	if call.Command.Kind == state.KindReadConfig {
		if call.configVersion() != before.version && result.Code.IsSuccess() {
			return nil
		}
		return same
	}
	key := call.Command.IdempotencyKey
	repeated := slices.Contains(before.applied, key)
	onTop := call.Command.ConfigChange.BaseVersion == before.version && !repeated
	switch {
	case !call.Definite && onTop:
		return []any{before, before.withChange(key)}
	case !call.Definite || isRejection(result):
		return same
	case result.Code.IsSuccess() && onTop:
		return []any{before.withChange(key)}
	case result.Code.IsSuccess() && repeated:
		return same
	case result.Code == status.StaleConfig && !onTop && !repeated:
		return same
	}
	return nil
}

// configVersion returns the version of the configuration in the reply, 0 if there is none.
func (c *Call) configVersion() uint64 {
	if c.Result.Config == nil {
		return 0
	}
	return c.Result.Config.Version
}

// jobPhase is the state of a job as far as clients can observe it.
type jobPhase struct {
	accepted  bool
	cancelled bool
	// ended is the final state of the job, empty until it ends.
	ended string
}

// jobModel models a job that is submitted, cancelled and read. It may progress and end at any
// time without a call, but never returns to an earlier state. Once cancelled, it is always shown
// as cancelled, even if its tasks succeeded before they could be stopped.
func jobModel() porcupine.Model {
	model := porcupine.NondeterministicModel{
		Init: func() []any { return []any{jobPhase{}} },
		Step: func(before, input, _ any) []any { return stepJob(before.(jobPhase), input.(*Call)) },
	}
	return model.ToModel()
}

func stepJob(before jobPhase, call *Call) []any {
	same := []any{before}
	switch {
	case call.Definite && isRejection(&call.Result):
		return same
	case call.Command.Kind == state.KindReadJob:
		return readJob(before, &call.Result)
	case call.Command.Kind == state.KindCancelJob:
		return cancelJob(before, call)
	}
	accepted := before
	accepted.accepted = true
	switch {
	case !call.Definite:
		return []any{before, accepted}
	case call.Result.Code.IsSuccess():
		return []any{accepted}
	}
	return nil
}

// cancelJob returns the possible phases after a cancellation. A job that has ended, even if
// unobserved, is not changed by it.
func cancelJob(before jobPhase, call *Call) []any {
	unknown := call.Definite && call.Result.Code == status.UnknownJob
	if !before.accepted || unknown {
		if before.accepted != unknown {
			return []any{before}
		}
		if call.Definite {
			return nil
		}
		return []any{before}
	}
	cancelled := before
	if before.ended == "" {
		cancelled.cancelled = true
	}
	if call.Definite && !call.Result.Code.IsSuccess() {
		return nil
	}
	if !call.Definite {
		return []any{before, cancelled}
	}
	// The job may have ended just before.
	return []any{cancelled, withEnd(before, state.Done), withEnd(before, state.Failed)}
}

// withEnd returns the phase with the given final state, or the same phase if the job has already
// ended or is cancelled.
func withEnd(before jobPhase, as string) jobPhase {
	if before.ended == "" && !before.cancelled {
		before.ended = as
	}
	return before
}

// readJob returns the possible phases if a read returned the given result, none if the result is
// impossible.
func readJob(before jobPhase, result *state.Result) []any {
	if result.Code == status.UnknownJob {
		if before.accepted {
			return nil
		}
		return []any{before}
	}
	if !result.Code.IsSuccess() || !before.accepted {
		return nil
	}
	job := &result.Job
	isCancelled := job.EndingState == state.Cancelled || job.State == state.Cancelled
	if isCancelled != before.cancelled {
		return nil
	}
	switch job.State {
	case state.Waiting, state.Ready, state.Running:
		if before.ended != "" {
			return nil
		}
		return []any{before}
	}
	if before.ended != "" && before.ended != job.State {
		return nil
	}
	before.ended = job.State
	return []any{before}
}

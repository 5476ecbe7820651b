package history

import (
	"slices"

	"github.com/anishathalye/porcupine"

	"sorrelloom/core/state"
	"sorrelloom/core/status"
)

// configState is the configuration in force: its version, and the changes that were made,
// by their idempotency keys.
type configState struct {
	version uint64
	applied []string
}

func (s configState) after(key string) configState {
	return configState{s.version + 1, append(slices.Clone(s.applied), key)}
}

// configModel is a register with conditional replacement. A change is made on top of the
// version that it names; sent again under the same key, it is answered as before and
// changes nothing.
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

// stepConfig gives the states that a call may lead to; none if its answer is impossible.
func stepConfig(before configState, call *Call) []any {
	same, result := []any{before}, &call.Result
	if call.Command.Kind == state.KindReadConfig {
		if call.readsVersion() != before.version && result.Code.IsSuccess() {
			return nil
		}
		return same
	}
	key := call.Command.IdempotencyKey
	repeated := slices.Contains(before.applied, key)
	onTop := call.Command.ConfigChange.BaseVersion == before.version && !repeated
	switch {
	case !call.Clear && onTop:
		return []any{before, before.after(key)}
	case !call.Clear || isRejection(result):
		return same
	case result.Code.IsSuccess() && onTop:
		return []any{before.after(key)}
	case result.Code.IsSuccess() && repeated:
		return same
	case result.Code == status.StaleConfig && !onTop && !repeated:
		return same
	}
	return nil
}

// readsVersion is the version that a read of the configuration was answered with.
func (c *Call) readsVersion() uint64 {
	if c.Result.Config == nil {
		return 0
	}
	return c.Result.Config.Version
}

// jobPhase is what a client can know of a job.
type jobPhase struct {
	accepted  bool
	cancelled bool
	// ended is the state in which the job ended, empty while it has not.
	ended string
}

// jobModel is a job that is submitted, cancelled and read. It may make progress and end by
// itself at any time, but never goes back. Once cancelled it says so for ever, also where its
// tasks succeeded before they could be stopped.
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
	case call.Clear && isRejection(&call.Result):
		return same
	case call.Command.Kind == state.KindReadJob:
		return readJob(before, &call.Result)
	case call.Command.Kind == state.KindCancelJob:
		return cancelJob(before, call)
	}
	accepted := before
	accepted.accepted = true
	switch {
	case !call.Clear:
		return []any{before, accepted}
	case call.Result.Code.IsSuccess():
		return []any{accepted}
	}
	return nil
}

// cancelJob cancels a job that is there. One that has ended, also meanwhile, stays as it is.
func cancelJob(before jobPhase, call *Call) []any {
	unknown := call.Clear && call.Result.Code == status.UnknownJob
	if !before.accepted || unknown {
		if before.accepted != unknown {
			return []any{before}
		}
		if call.Clear {
			return nil
		}
		return []any{before}
	}
	cancelled := before
	if before.ended == "" {
		cancelled.cancelled = true
	}
	if call.Clear && !call.Result.Code.IsSuccess() {
		return nil
	}
	if !call.Clear {
		return []any{before, cancelled}
	}
	// It may have ended just before.
	return []any{cancelled, ended(before, state.Done), ended(before, state.Failed)}
}

// ended is the phase of a job that has ended in a state by itself, if it may have.
func ended(before jobPhase, as string) jobPhase {
	if before.ended == "" && !before.cancelled {
		before.ended = as
	}
	return before
}

// readJob gives what a job may be if it is read so.
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

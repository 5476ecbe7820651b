package sim

import (
	"time"

	"sorrelloom/core/leaderclient"
	"sorrelloom/core/machine"
	"sorrelloom/core/state"
	"sorrelloom/core/status"
)

// commandTimeout is how long a gateway may take to get the result of a command.
const commandTimeout = 2 * time.Second

// gatewayFor returns the gateway for an index. Clients increment the index to try the next
// gateway.
func (s *ControlScenario) gatewayFor(i int) *node { return s.gateways[i%len(s.gateways)] }

// sendCommand sends a command to the leader client of a gateway, and records the call in the
// history. done gets the result, or ok = false if none arrived in time.
func (s *ControlScenario) sendCommand(
	name string, gatewayIndex int, command state.Command, done func(result state.Result, ok bool),
) {
	n := s.gatewayFor(gatewayIndex)
	request := machine.Request{Kind: leaderclient.RequestCommand, Decoded: command, Wait: commandTimeout}
	from := client{name, n.zone}
	call := s.history.Begin(s.world.Now, command)
	s.world.Request(from, n.address, request, commandTimeout+time.Second, func(v any) {
		s.world.trace(name, n.address, command.Kind, v.(state.Result).Code.String())
	}, func(v any, ok bool) {
		result, isResult := v.(state.Result)
		call.Answer(s.world.Now, result, ok && isResult)
		done(result, ok && isResult)
	})
}

// isRejected reports whether a result guarantees that the command had no effect and may be
// retried.
func isRejected(result state.Result) bool {
	return result.Code != status.NoResponse && isRetryStatus(result.Code.HTTPStatus())
}

// submit submits a job, with retries until the result is definite or the client gives up.
func (s *ControlScenario) submit(job *clientJob) {
	if job.sentAt == 0 {
		job.sentAt = s.world.Now
	}
	job.submissions++
	command := state.Command{
		Kind: state.KindAcceptJob, Host: controlHost, Path: job.request.Path, Summary: true, Job: job.request,
		KeyDigest: tenantKeyDigest(job.tenant),
	}
	s.sendCommand(callerName, job.gatewayIndex, command, func(result state.Result, ok bool) {
		switch {
		case !ok:
			job.outcomeUnknown = true
			s.resubmit(job, silenceRetryDelay)
		case result.Code.IsSuccess():
			s.handleAccepted(job)
		case isRejected(result):
			s.handleRejected(job, result)
		case result.Code == status.NoResponse:
			job.outcomeUnknown = true
			s.resubmit(job, max(result.RetryAfter, minRetryDelay))
		default:
			job.rejection = result.Code
			s.violate(checkLongUnfinished, "%s is rejected: %s %s", job.spec.ID, result.Code, result.Reason)
		}
	})
}

// resubmit submits a job again after a delay, through the next gateway.
func (s *ControlScenario) resubmit(job *clientJob, delay time.Duration) {
	job.gatewayIndex++
	if s.world.Now < s.end {
		s.world.After(delay, func() { s.submit(job) })
	}
}

// handleAccepted records the acceptance of a job, and starts to poll its status.
func (s *ControlScenario) handleAccepted(job *clientJob) {
	if job.acceptedAt > 0 {
		return
	}
	job.acceptedAt = s.world.Now
	if do := s.onAccept; do != nil {
		s.onAccept = nil
		do()
	}
	s.world.After(firstStatusDelay, func() { s.poll(job) })
}

// handleRejected submits a job again after the retry delay of the rejection. One client in
// three gives up, unless the job is a probe or an earlier submission may have been accepted.
// A job that was given up must never run.
func (s *ControlScenario) handleRejected(job *clientJob, result state.Result) {
	s.countCheck(checkRejectedWithoutTime)
	if result.RetryAfter <= 0 {
		s.violate(checkRejectedWithoutTime, "%s for %s does not say when to retry", result.Code, job.spec.ID)
	}
	if !job.outcomeUnknown && !job.probe && s.world.rng.IntN(3) == 0 {
		job.rejection, job.gaveUpAt = result.Code, s.world.Now
		return
	}
	s.resubmit(job, max(result.RetryAfter, minRetryDelay))
}

// poll requests the status of a job at intervals until the job has ended.
func (s *ControlScenario) poll(job *clientJob) {
	if s.world.Now >= s.end || job.endedAt > 0 {
		return
	}
	job.gatewayIndex++
	command := state.Command{
		Kind: state.KindReadJob, Name: job.spec.ID, Host: controlHost, Path: job.request.Path,
		KeyDigest: tenantKeyDigest(job.tenant),
	}
	s.sendCommand(callerName, job.gatewayIndex, command, func(result state.Result, ok bool) {
		if ok {
			s.handleStatus(job, result)
		}
		s.world.After(s.pollInterval, func() { s.poll(job) })
	})
}

// handleStatus records the result of a status request.
func (s *ControlScenario) handleStatus(job *clientJob, result state.Result) {
	if result.Code == status.UnknownJob {
		job.statusReads++
		if job.unknownAt == 0 {
			job.unknownAt = s.world.Now
		}
	}
	if !result.Code.IsSuccess() {
		return
	}
	job.statusReads++
	job.state = result.Job.State
	if !isEnded(job.state) {
		return
	}
	job.endedAt = s.world.Now
	for i, task := range result.Job.Tasks {
		if !task.Terminal() {
			job.openTask = result.Job.Spec.Tasks[i].ID
		}
	}
}

package sim

import (
	"time"

	"sorrelloom/core/state"
	"sorrelloom/core/status"
)

const (
	cancelRetryDelay   = 500 * time.Millisecond
	configPollInterval = 300 * time.Millisecond
	// firstLongPriority is the priority of long jobs in the first configuration.
	firstLongPriority = 100
)

// scheduleOperators schedules configuration changes, zone drains and worker shutdowns, in
// rotation.
func (s *ControlScenario) scheduleOperators() {
	actions := []func(){s.changeConfig, s.drainRandomZone, s.withdrawRandomWorker}
	at := operatorsFrom
	for i := 0; at < s.options.Duration-operatorsBefore; i++ {
		s.world.At(at, actions[i%len(actions)])
		at += s.world.randomMillis(minOperatorInterval, operatorJitter)
	}
}

// canServe reports whether a request at a gateway could be committed now.
func (s *ControlScenario) canServe(n *node) bool {
	return !n.faultyDuring(s.world.Now, s.world.Now) && s.world.canCommit(s.replicas)
}

// randomGatewayIndex draws the index of one of the first three gateways.
func (s *ControlScenario) randomGatewayIndex() int { return s.world.rng.IntN(3) }

// sendOperatorCommand sends an operator's command, with retries until it has a definite result.
// done gets that result and the time at which the command could first be committed, from which
// the bounds of the checks count.
func (s *ControlScenario) sendOperatorCommand(
	command state.Command, done func(committableAt time.Duration, result state.Result),
) {
	i := s.randomGatewayIndex()
	pending := s.watchCommittable(s.world, func() bool { return s.canServe(s.gatewayFor(i)) })
	var send func()
	send = func() {
		i++
		s.sendCommand(operatorName, i, command, func(result state.Result, ok bool) {
			if ok && result.Code != status.NoResponse && !isRejected(result) {
				done(pending.finish(s.world.Now), result)
			} else if s.world.Now < s.end {
				s.world.After(operatorRetryDelay, send)
			}
		})
	}
	send()
}

// cancel cancels a job, and tries again while the job may still be accepted.
func (s *ControlScenario) cancel(job *clientJob) {
	command := state.Command{
		Kind: state.KindCancelJob, Name: job.spec.ID, Host: controlHost, Path: job.request.Path, Summary: true,
		KeyDigest: tenantKeyDigest(job.tenant),
	}
	s.sendOperatorCommand(command, func(committableAt time.Duration, result state.Result) {
		if result.Code.IsSuccess() {
			job.cancelledAt = committableAt
		} else if job.acceptedAt == 0 && job.rejection == 0 && s.world.Now < s.end {
			s.world.After(cancelRetryDelay, func() { s.cancel(job) })
		}
	})
}

// operatorCommand returns an operator's command with a new idempotency key.
func (s *ControlScenario) operatorCommand(kind state.CommandKind) state.Command {
	return state.Command{
		Kind: kind, IdempotencyKey: s.idempotencyKey(), RequestedAt: state.RequestTimeUnknown,
	}
}

// drainZone requests that a zone be drained, and refilled after a duration.
func (s *ControlScenario) drainZone(zone string, duration time.Duration) {
	command := s.operatorCommand(state.KindSetZoneDrained)
	command.Name, command.Drain = zone, true
	s.sendOperatorCommand(command, func(committableAt time.Duration, result state.Result) {
		if !result.Code.IsSuccess() {
			s.draining = false
			return
		}
		drain := &zoneDrain{span{from: committableAt}, zone}
		s.drainedZones = append(s.drainedZones, drain)
		s.world.After(duration, func() {
			drain.to, s.draining = s.world.Now, false
			refill := s.operatorCommand(state.KindSetZoneDrained)
			refill.Name = zone
			s.sendOperatorCommand(refill, func(time.Duration, state.Result) {})
		})
	})
}

// changeConfig submits a configuration change based on the last acknowledged version.
func (s *ControlScenario) changeConfig() {
	base := s.configVersion
	command := s.operatorCommand(state.KindChangeConfig)
	version := s.newTenantVersion(base + 1)
	body := controlConfig(firstLongPriority+int(base), s.configuredTenants(version))
	command.ConfigChange = state.ConfigChange{BaseVersion: base, Body: body}
	s.sendOperatorCommand(command, func(_ time.Duration, result state.Result) {
		if result.Code.IsSuccess() {
			s.configVersion = max(s.configVersion, base+1)
			s.acknowledgeTenantVersion(version)
		} else if result.Code != status.StaleConfig {
			s.violate(checkConfigWentBack, "a configuration is rejected: %s %s", result.Code, result.Reason)
		}
	})
}

// pollConfig reads the configuration at intervals, and checks that no read returns a version
// older than one acknowledged before the read.
func (s *ControlScenario) pollConfig() {
	if s.world.Now >= s.end {
		return
	}
	acknowledged := s.configVersion
	command := state.Command{Kind: state.KindReadConfig}
	s.sendCommand(operatorName, s.randomGatewayIndex(), command, func(result state.Result, ok bool) {
		if !ok || !result.Code.IsSuccess() || acknowledged == 0 {
			return
		}
		s.countCheck(checkConfigWentBack)
		if result.Config == nil || result.Config.Version < acknowledged {
			s.violate(checkConfigWentBack, "at %s configuration %d is read, %d was acknowledged before",
				seconds(s.world.Now), result.ConfigVersion, acknowledged)
		}
	})
	s.world.After(configPollInterval, s.pollConfig)
}

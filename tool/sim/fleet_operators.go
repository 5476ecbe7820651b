package sim

import (
	"encoding/json"
	"net/http"
	"slices"
	"time"

	"sorrelloom/core/gateway"
	"sorrelloom/core/machine"
	"sorrelloom/core/status"
)

const (
	operatorName       = "operator" // the address of operators in blocked links
	operatorTimeout    = 5 * time.Second
	operatorRetryDelay = 200 * time.Millisecond
)

// scheduleOperators schedules configuration changes, zone drains and leaving workers. It is
// called for every run with faults, so that their checks have something to judge under all
// faults.
func (s *FleetScenario) scheduleOperators() {
	actions := []string{"plan-race", "empty-site", "worker-leave", "plan-race", "withdrawal"}
	at := operatorsFrom
	for i := 0; at < s.options.Duration-operatorsBefore; i++ {
		s.world.At(at, func() { FleetFaults[actions[i%len(actions)]](s) })
		at += s.world.randomMillis(minOperatorInterval, operatorJitter)
	}
}

// canServe reports whether the daemons could act on a request to a gateway now: the gateway
// is up, not frozen and has no blocked links, and a leader could commit.
func (s *FleetScenario) canServe(address string) bool {
	n := s.world.nodes[address]
	return n != nil && !n.faultyDuring(s.world.Now, s.world.Now) && s.world.canCommit(s.replicas)
}

// sendOperatorRequest sends an operator's request to one gateway after the other until one
// replies with a status other than 503, or the run ends. It then calls done with the reply
// and the first time at which the request could have been committed, from which bounds count.
func (s *FleetScenario) sendOperatorRequest(
	request machine.Request, done func(committableAt time.Duration, reply gateway.Reply),
) {
	i := s.world.rng.IntN(len(s.gateways))
	if request.IdempotencyKey == "" {
		request.IdempotencyKey = s.idempotencyKey()
	}
	pending := s.watchCommittable(s.world, func() bool { return s.canServe(s.gatewayFor(i)) })
	var send func()
	send = func() {
		i++
		from := client{operatorName, s.zoneOf(i)}
		s.world.CallGateway(from, s.gatewayFor(i), request, operatorTimeout, func(reply gateway.Reply, ok bool) {
			if ok && reply.StatusCode != http.StatusServiceUnavailable {
				done(pending.finish(s.world.Now), reply)
			} else if s.world.Now < s.end {
				s.world.After(operatorRetryDelay, send)
			}
		})
	}
	send()
}

// cancel requests the cancellation of a job.
func (s *FleetScenario) cancel(job *clientJob) {
	request := machine.Request{Kind: gateway.RequestCancel, Name: job.spec.ID}
	s.sendOperatorRequest(request, func(committableAt time.Duration, reply gateway.Reply) {
		if reply.StatusCode == http.StatusOK {
			job.cancelledAt = committableAt
		}
	})
}

// drainZone requests that a zone be drained, and requests its refill after a time.
func (s *FleetScenario) drainZone(zone string, duration time.Duration) {
	request := machine.Request{Kind: gateway.RequestSetZoneDrained, Name: zone, Enable: true}
	s.sendOperatorRequest(request, func(committableAt time.Duration, reply gateway.Reply) {
		if reply.StatusCode != http.StatusOK {
			return
		}
		drain := &zoneDrain{span{from: committableAt}, zone}
		s.drainedZones = append(s.drainedZones, drain)
		s.world.After(duration, func() {
			drain.to = s.world.Now
			refill := machine.Request{Kind: gateway.RequestSetZoneDrained, Name: zone}
			s.sendOperatorRequest(refill, func(time.Duration, gateway.Reply) {})
		})
	})
}

// confirmDead makes an operator confirm a worker dead. If the request is rejected, it is
// repeated every second until it is accepted, the worker is up again, or the run ends.
func (s *FleetScenario) confirmDead(worker *simWorker) {
	request := machine.Request{Kind: gateway.RequestConfirmDead, Name: worker.name()}
	s.sendOperatorRequest(request, func(_ time.Duration, reply gateway.Reply) {
		if reply.StatusCode == http.StatusOK {
			worker.confirmedDeadAt = append(worker.confirmedDeadAt, s.world.Now)
		} else if !worker.up && s.world.Now < s.end {
			s.world.After(time.Second, func() { s.confirmDead(worker) })
		}
	})
}

// changeConfig reads the configuration, and patches the version that it read. It counts a
// rejection because of a newer version as a conflict.
func (s *FleetScenario) changeConfig(patch string) {
	s.sendOperatorRequest(machine.Request{Kind: gateway.RequestConfigGet}, func(_ time.Duration, reply gateway.Reply) {
		var current struct {
			Version uint64 `json:"sequence"`
		}
		if reply.StatusCode != http.StatusOK || json.Unmarshal(machine.MustJSON(reply.Body), &current) != nil {
			return
		}
		request := machine.Request{
			Kind: gateway.RequestConfigPatch, Body: []byte(patch), BaseVersion: current.Version,
		}
		s.sendOperatorRequest(request, func(committableAt time.Duration, reply gateway.Reply) {
			outcome, ok := reply.Body.(gateway.Outcome)
			if !ok {
				return
			}
			if reply.StatusCode == http.StatusOK {
				s.expectConfig(committableAt, outcome.Version)
			} else if outcome.Code == status.StaleConfig {
				s.configConflicts++
			}
		})
	})
}

// expectConfig schedules a check that every daemon has a configuration version within
// configBound of the time at which the change could have been committed.
func (s *FleetScenario) expectConfig(committableAt time.Duration, version uint64) {
	for _, n := range s.daemons {
		s.expectConfigOn(n, version, committableAt)
	}
}

// expectConfigOn is expectConfig for one daemon. If the daemon had a fault or no replica
// served in that time, it checks again, with the bound counted from the end of that time.
func (s *FleetScenario) expectConfigOn(n *node, version uint64, from time.Duration) {
	s.world.At(from+configBound, func() {
		versioner, ok := n.machine.(configVersioner)
		now := s.world.Now
		switch {
		case !ok || !slices.Contains(s.daemons, n) || now >= s.end:
		case n.faultyDuring(from, now):
			s.excuse(checkConfigIgnored, "the daemon itself was down, frozen or cut off")
			s.expectConfigOn(n, version, now)
		case s.skipLeaderless(from, now) > from:
			s.excuse(checkConfigIgnored, "no replica served")
			s.expectConfigOn(n, version, s.skipLeaderless(from, now))
		default:
			s.countCheck(checkConfigIgnored)
			if versioner.ConfigVersion() < version {
				s.violate(checkConfigIgnored, "%s has configuration %d at %s, %d could be committed at %s",
					n.name, versioner.ConfigVersion(), seconds(now), version, seconds(from))
			}
		}
	})
}

// observeConfig records the configuration version of a daemon, and checks that it did not go
// back to an older one.
func (s *FleetScenario) observeConfig(n *node, version uint64) {
	if version != n.configVersion {
		s.countCheck(checkConfigWentBack)
	}
	if version < n.configVersion {
		s.violate(checkConfigWentBack, "%s went from configuration %d to %d at %s",
			n.name, n.configVersion, version, seconds(s.world.Now))
	}
	n.configVersion = version
}

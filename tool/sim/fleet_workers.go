package sim

import (
	"net/http"
	"time"

	"sorrelloom/core/gateway"
	"sorrelloom/core/machine"
	"sorrelloom/core/state"
	"sorrelloom/tool/fakeworker"
)

// bootWorker starts a worker's process, with a larger incarnation each time. One that runs
// is left alone: two faults that overlap may both bring it back.
func (s *FleetScenario) bootWorker(worker *simWorker) {
	if worker.up {
		return
	}
	worker.incarnation++
	worker.config.Incarnation = int64(worker.incarnation)
	worker.worker = fakeworker.New(worker.config)
	worker.worker.RestoreEnds(worker.unackedEnds)
	worker.up, worker.bootedAt = true, s.world.Now
	worker.leavingSince, worker.collectedRuns = 0, 0
	worker.markHeard(s.world.Now)
	s.tickWorker(worker)
}

// crashWorker ends a worker's process with all that it runs.
func (s *FleetScenario) crashWorker(worker *simWorker) {
	if !worker.up {
		return
	}
	s.world.logf("crash %s", worker.name())
	worker.collectRuns()
	worker.collectActiveRuns(s.world.Now)
	worker.endLeaving(s.world.Now)
	worker.up, worker.unackedEnds = false, worker.worker.UnackedEnds()
	worker.incarnation++
	worker.markSilent(s.world.Now)
}

// collectRuns takes over the runs that the worker's process has recorded meanwhile.
func (s *simWorker) collectRuns() {
	for _, r := range s.worker.Finished[s.collectedRuns:] {
		s.runs = append(s.runs, run{Run: r, startedAt: r.Start + s.bootedAt, endedAt: r.End + s.bootedAt})
	}
	s.collectedRuns = len(s.worker.Finished)
}

// collectActiveRuns takes over the runs that go on. They end at a time, or last if it is
// zero.
func (s *simWorker) collectActiveRuns(endedAt time.Duration) {
	for _, r := range s.worker.Active() {
		s.runs = append(s.runs, run{Run: r, startedAt: r.Start + s.bootedAt, endedAt: endedAt})
	}
}

// tickWorker lets a worker act, and again when its next timer is due.
func (s *FleetScenario) tickWorker(worker *simWorker) {
	if !worker.up {
		return
	}
	heartbeat, due := worker.worker.Tick(s.world.Now - worker.bootedAt)
	worker.collectRuns()
	if due {
		s.sendHeartbeat(worker, heartbeat)
	}
	worker.timerGeneration++
	incarnation, generation := worker.incarnation, worker.timerGeneration
	next := max(s.world.Now+time.Millisecond, worker.worker.NextTimer()+worker.bootedAt)
	s.world.At(next, func() {
		if worker.incarnation == incarnation && worker.timerGeneration == generation {
			s.tickWorker(worker)
		}
	})
}

// sendHeartbeat sends a worker's heartbeat to its gateway. A worker whose gateway does
// not serve goes on to the next one.
func (s *FleetScenario) sendHeartbeat(worker *simWorker, heartbeat state.Heartbeat) {
	incarnation := worker.incarnation
	address := worker.gateways[worker.gatewayIndex%len(worker.gateways)]
	request := machine.Request{
		Kind: gateway.RequestHeartbeat, Body: machine.MustJSON(heartbeat), Wait: fakeworker.HeartbeatWait,
	}
	from := client{worker.name(), worker.config.Zone}
	s.world.CallGateway(from, address, request, fakeworker.ReplyTimeout, func(reply gateway.Reply, ok bool) {
		if worker.incarnation != incarnation || worker.isolated {
			ok = false
		}
		if !ok || reply.StatusCode == http.StatusServiceUnavailable {
			worker.gatewayIndex++
		}
		if worker.incarnation != incarnation {
			return
		}
		view, isView := reply.Body.(gateway.HeartbeatView)
		success := ok && isView && reply.StatusCode == http.StatusOK
		if success {
			worker.noteAcks(view.Reply.Acks, s.world.Now)
		}
		worker.worker.HandleReply(s.world.Now-worker.bootedAt, heartbeat.Number, success, view.Reply)
		s.tickWorker(worker)
	})
}

// noteAcks notes when the end of an attempt was acknowledged first.
func (s *simWorker) noteAcks(attempts []state.Attempt, now time.Duration) {
	for _, attempt := range attempts {
		if _, noted := s.ackedAt[attempt]; !noted {
			s.ackedAt[attempt] = now
		}
	}
}

// setIsolated takes a worker off the network, or back on; it runs on meanwhile.
func (s *FleetScenario) setIsolated(worker *simWorker, isolated bool) {
	worker.isolated = isolated
	if isolated {
		worker.markSilent(s.world.Now)
	} else {
		worker.markHeard(s.world.Now)
	}
	for address := range s.world.nodes {
		s.world.setBlocked(link{worker.name(), address}, isolated)
		s.world.setBlocked(link{address, worker.name()}, isolated)
	}
}

// withdrawWorker has a worker say that it leaves, leave, and come back later.
func (s *FleetScenario) withdrawWorker(worker *simWorker, after time.Duration) {
	if !worker.up || worker.leavingSince > 0 || worker.isolated {
		return
	}
	s.world.logf("leave %s", worker.name())
	worker.worker.Leave()
	worker.leavingSince = s.world.Now
	worker.leaving = append(worker.leaving, span{s.world.Now, s.world.Now + 10*time.Second})
	s.tickWorker(worker)
	s.world.After(after, func() {
		s.crashWorker(worker)
		s.world.After(5*time.Second, func() { s.bootWorker(worker) })
	})
}

// injectWorkerFaults has a random worker misbehave for a while.
func (s *FleetScenario) injectWorkerFaults(faults fakeworker.Faults, duration time.Duration) {
	worker := s.randomWorker()
	if !worker.up {
		return
	}
	s.world.logf("inject %s %+v", worker.name(), faults)
	worker.setFaults(s.world.Now, faults)
	s.world.After(duration, func() {
		if worker.up {
			worker.setFaults(s.world.Now, fakeworker.Faults{})
		}
	})
}

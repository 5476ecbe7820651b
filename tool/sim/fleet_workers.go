package sim

import (
	"net/http"
	"time"

	"sorrelloom/core/gateway"
	"sorrelloom/core/machine"
	"sorrelloom/core/state"
	"sorrelloom/tool/fakeworker"
)

// bootWorker starts a worker's process, with a higher incarnation each time. It does nothing
// if the process already runs, since two overlapping faults may both restart the worker.
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

// crashWorker ends a worker's process and all of its runs.
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

// collectRuns copies the runs that the worker's process has finished since the last call.
func (s *simWorker) collectRuns() {
	for _, r := range s.worker.Finished[s.collectedRuns:] {
		s.runs = append(s.runs, run{Run: r, startedAt: r.Start + s.bootedAt, endedAt: r.End + s.bootedAt})
	}
	s.collectedRuns = len(s.worker.Finished)
}

// collectActiveRuns copies the runs that the worker's process has not finished. They get the
// given end, or stay open if it is zero.
func (s *simWorker) collectActiveRuns(endedAt time.Duration) {
	for _, r := range s.worker.Active() {
		s.runs = append(s.runs, run{Run: r, startedAt: r.Start + s.bootedAt, endedAt: endedAt})
	}
}

// tickWorker makes a worker handle its timers and send a heartbeat if one is due, and
// schedules the next call for its next timer.
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

// sendHeartbeat sends a worker's heartbeat to its gateway, and passes the reply to the
// worker. If the gateway does not reply, or replies with status 503, the worker switches to
// the next gateway.
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

// noteAcks records the time at which the end of each attempt was first acknowledged.
func (s *simWorker) noteAcks(attempts []state.Attempt, now time.Duration) {
	for _, attempt := range attempts {
		if _, noted := s.ackedAt[attempt]; !noted {
			s.ackedAt[attempt] = now
		}
	}
}

// setIsolated disconnects a worker from all nodes, or reconnects it. Its process keeps
// running.
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

// withdrawWorker makes a worker announce that it leaves, ends its process after a time, and
// restarts it 5 s later. It does nothing if the worker is down, isolated or already leaving.
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

// injectWorkerFaults sets the faults of a random worker for a while, if the worker is up.
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

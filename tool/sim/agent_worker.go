package sim

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"sorrelloom/core/agent"
	"sorrelloom/core/machine"
	"sorrelloom/core/state"
	"sorrelloom/tool/fakeworker"
)

const (
	callTimeout  = time.Second
	callInterval = 100 * time.Millisecond
	// maxClockDrift is the fraction by which a worker's clock may run slow.
	maxClockDrift = 0.02
	// A worker takes at least minStopTime and less than minStopTime+stopTimeJitter
	// milliseconds to stop a run.
	minStopTime    = 10
	stopTimeJitter = 40
)

// workerMachine is the host of a worker and its node agent. It runs one worker process
// after another.
type workerMachine struct {
	number       int
	address      string
	zone         string
	rack         string
	service      string
	labels       []string
	capacity     state.Resources
	overstated   state.Resources // breaks the protocol: reported as free on top of the capacity
	agent        *node
	incarnations int
	worker       *simAgentWorker // the latest process; nil before the first
}

// simAgentWorker is a worker process that calls its node agent, according to the protocol
// of core/agent. Its clock starts at zero when the process boots and runs at clockRate
// relative to simulated time.
type simAgentWorker struct {
	scenario  *ControlScenario
	record    *simWorker // what the oracle checks afterwards
	machine   *workerMachine
	clockRate float64
	bootedAt  time.Duration
	up        bool
	leavesAt  time.Duration // when it shuts down as planned; zero if no shutdown is planned

	callNumber    uint64
	lastEndNumber uint64
	fencingEpoch  uint64
	leaseExpiry   time.Duration // on its own clock
	active        map[state.Attempt]*activeRun
	started       map[state.Attempt]bool
	unackedEnds   []agent.EndedRun

	failing            bool // its runs fail with a probability of 1/failOneIn
	ignoresLeaseExpiry bool // breaks the protocol: keeps running after its lease has expired
	concealsLeaving    bool // breaks the protocol: does not announce a planned shutdown
}

func (w *simAgentWorker) name() string { return w.record.config.ID }

// localTime converts simulated time to the worker's own clock.
func (w *simAgentWorker) localTime(now time.Duration) time.Duration {
	return time.Duration(float64(now-w.bootedAt) * w.clockRate)
}

// worldTime converts a time on the worker's own clock to simulated time. It adds a
// microsecond, so that the worker's clock has passed that time despite rounding.
func (w *simAgentWorker) worldTime(local time.Duration) time.Duration {
	return w.bootedAt + time.Duration(float64(local)/w.clockRate) + time.Microsecond
}

// bootWorker starts a worker process with a new name on a machine, unless one is running.
func (s *ControlScenario) bootWorker(machine *workerMachine) {
	if machine.worker != nil && machine.worker.up {
		return
	}
	machine.incarnations++
	config := fakeworker.Config{
		ID:   fmt.Sprintf("w%02d.%d", machine.number, machine.incarnations),
		Zone: machine.zone, Rack: machine.rack, Service: machine.service,
		Labels: machine.labels, Capacity: machine.capacity,
	}
	record := newSimWorker(config, fakeworker.New(config))
	record.up = true
	s.workers[config.ID] = record
	machine.worker = &simAgentWorker{
		scenario: s, record: record, machine: machine, up: true, bootedAt: s.world.Now,
		clockRate: 1 - maxClockDrift*s.world.rng.Float64(),
		active:    map[state.Attempt]*activeRun{}, started: map[state.Attempt]bool{},
	}
	s.world.logf("worker %s at %s", config.ID, machine.address)
	machine.worker.call()
}

// terminate ends a worker process and all its runs, which report nothing.
func (w *simAgentWorker) terminate() {
	if !w.up {
		return
	}
	w.scenario.world.logf("worker %s dies", w.name())
	for _, attempt := range w.attempts() {
		w.endRun(attempt, outcomeNone)
	}
	w.up, w.record.up = false, false
	w.record.markSilent(w.scenario.world.Now)
	w.record.endLeaving(w.scenario.world.Now)
}

// leave makes a worker announce a planned shutdown, shut down after the duration in, and
// restart backAfter later. Half of the time it signs off before it ends.
func (w *simAgentWorker) leave(in, backAfter time.Duration) {
	if !w.up || w.leavesAt > 0 {
		return
	}
	s := w.scenario
	s.world.logf("worker %s leaves in %s", w.name(), in)
	w.leavesAt = s.world.Now + in
	w.record.leaving = append(w.record.leaving, span{s.world.Now, w.leavesAt})
	s.world.After(in, func() {
		if !w.up {
			return
		}
		if s.world.coin() {
			w.request(machine.Request{Kind: agent.RequestSignOff, Name: w.name()}, func(any) {}, func(any, bool) {})
		}
		w.terminate()
		s.world.After(backAfter, func() { s.bootWorker(w.machine) })
	})
}

// attempts lists the attempts of the active runs in a deterministic order.
func (w *simAgentWorker) attempts() []state.Attempt {
	attempts := make([]state.Attempt, 0, len(w.active))
	for attempt := range w.active {
		attempts = append(attempts, attempt)
	}
	slices.SortFunc(attempts, func(a, b state.Attempt) int { return strings.Compare(a.String(), b.String()) })
	return attempts
}

// request sends a request to the agent, as World.Request does.
func (w *simAgentWorker) request(request machine.Request, observe func(any), done func(any, bool)) {
	from := client{w.machine.address, w.machine.zone}
	w.scenario.world.Request(from, w.machine.agent.address, request, callTimeout, observe, done)
}

// call reports to the agent, and schedules the next call after the reply or the timeout.
func (w *simAgentWorker) call() {
	if !w.up {
		return
	}
	w.callNumber++
	number, sentAt := w.callNumber, w.localTime(w.scenario.world.Now)
	request := machine.Request{Kind: agent.RequestCall, Name: w.name(), Decoded: w.report(), Wait: callTimeout}
	w.request(request, func(v any) {
		w.scenario.world.trace(w.name(), number, len(v.(agent.CallReply).Starts))
	}, func(v any, ok bool) {
		if !w.up || number != w.callNumber {
			return
		}
		delay := callInterval
		if reply, isReply := v.(agent.CallReply); ok && isReply {
			w.handleReply(sentAt, reply)
			delay = max(delay, reply.NextCallIn)
		}
		w.scenario.world.After(delay, w.call)
	})
}

// report returns the content of a call.
func (w *simAgentWorker) report() agent.Call {
	report := agent.Call{
		Worker: w.name(), Number: w.callNumber, SentAt: w.localTime(w.scenario.world.Now),
		Address: w.machine.address, Service: w.machine.service,
		Zone: w.machine.zone, Rack: w.machine.rack, Labels: w.machine.labels,
		Free:    w.machine.capacity.Add(w.machine.overstated),
		Leaving: w.leavesAt > 0 && !w.concealsLeaving,
		Ended:   slices.Clone(w.unackedEnds),
	}
	if report.Leaving {
		report.LeavesIn = max(time.Millisecond, w.leavesAt-w.scenario.world.Now)
	}
	for _, attempt := range w.attempts() {
		report.Running = append(report.Running, w.active[attempt].report())
	}
	return report
}

// handleReply processes the reply to the last call. sentAt is when the call was sent, on
// the worker's own clock.
func (w *simAgentWorker) handleReply(sentAt time.Duration, reply agent.CallReply) {
	if reply.FencingEpoch > 0 && reply.FencingEpoch < w.fencingEpoch {
		w.scenario.excuse(checkFencing, "a reply with an older fencing epoch is dropped by the worker")
		return
	}
	w.fencingEpoch = max(w.fencingEpoch, reply.FencingEpoch)
	w.dropAcknowledged(reply.AcknowledgedUpTo)
	w.renewLease(sentAt, reply.LeaseRemaining)
	for _, attempt := range reply.Stops {
		if _, ok := w.active[attempt]; ok {
			delay := w.scenario.world.randomMillis(minStopTime, stopTimeJitter)
			w.scenario.world.After(delay, func() { w.endRun(attempt, fakeworker.OutcomeStopped) })
		}
	}
	for _, order := range reply.Starts {
		if !w.started[order.Attempt] {
			w.started[order.Attempt] = true
			w.startRun(order)
		}
	}
}

// dropAcknowledged removes the ended runs up to a number, which the agent has acknowledged.
func (w *simAgentWorker) dropAcknowledged(number uint64) {
	w.unackedEnds = slices.DeleteFunc(w.unackedEnds, func(ended agent.EndedRun) bool {
		if ended.Number > number {
			return false
		}
		w.record.ackedAt[ended.Attempt] = w.scenario.world.Now
		return true
	})
}

// renewLease extends the lease to the duration remaining after sentAt, when the call was
// sent. It never shortens the lease.
func (w *simAgentWorker) renewLease(sentAt, remaining time.Duration) {
	if remaining <= 0 || sentAt+remaining <= w.leaseExpiry {
		return
	}
	w.leaseExpiry = sentAt + remaining
	now := w.scenario.world.Now
	if w.localTime(now) < w.leaseExpiry {
		w.record.markHeard(now)
		w.scenario.world.At(w.worldTime(w.leaseExpiry), w.handleLeaseExpiry)
	}
}

// handleLeaseExpiry ends all runs once the lease has expired on the worker's own clock.
func (w *simAgentWorker) handleLeaseExpiry() {
	if !w.up || w.localTime(w.scenario.world.Now) < w.leaseExpiry {
		return
	}
	w.record.markSilent(w.scenario.world.Now)
	if w.ignoresLeaseExpiry {
		return
	}
	for _, attempt := range w.attempts() {
		w.endRun(attempt, outcomeLeaseExpired)
	}
}

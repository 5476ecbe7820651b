// Package agent is the node agent: the process that runs next to one worker and
// implements the worker's side of the scheduler protocol. A worker calls its agent at
// short intervals and gets an immediate reply from the agent's local state; the agent
// exchanges heartbeats (reports) with the primary replica, one in flight at a time.
//
// # Safety
//
// A worker's lease is counted from the time at which the agent sent the heartbeat that the
// primary answered, so it expires at the agent no later than at the primary. A reply to a
// worker carries the remaining lease time, never more. After a worker falls silent, the
// agent reports its runs as ended only once the last lease that it told the worker has
// expired, plus a margin for clock drift. A start that was never handed over is reported as
// lost. A run's result is acknowledged to the worker only after the primary has
// acknowledged it.
//
// The agent keeps nothing on disk. All its state comes from calls and replies, so it may
// be restarted at any time: a new incarnation learns the next report number from the
// primary, and assumes that the runs listed in the first call hold a full lease granted
// through the previous incarnation.
package agent

import (
	"math/rand/v2"
	"slices"
	"time"

	"sorrelloom/core/machine"
	"sorrelloom/core/wire"
)

const (
	defaultReportWait   = 500 * time.Millisecond
	defaultCallInterval = 50 * time.Millisecond
	defaultCallTimeout  = time.Second

	// jitterStream separates the jitter from other random numbers of the same seed.
	jitterStream = 1
)

// Config configures an agent. Zero durations are replaced by defaults.
type Config struct {
	Address string
	// Zone is the zone of workers that name none.
	Zone string
	// Replicas are the addresses of the bootstrap replicas.
	Replicas []string
	// FirstReportID must differ between two incarnations of the process, so that a reply
	// to the previous incarnation is never mistaken for a reply to this one.
	FirstReportID uint64
	// ReportWait is how long the primary may wait for orders before it answers a report.
	ReportWait time.Duration
	// CallInterval is the time between two calls of the worker.
	CallInterval time.Duration
	// CallTimeout is the time without a call after which a worker counts as silent and is
	// no longer reported.
	CallTimeout time.Duration
}

// Counters count since the process started.
type Counters struct {
	Reports uint64
	Calls   uint64
	Starts  uint64
	Stops   uint64
	// DroppedStarts counts starts that the agent received but that never became a run.
	DroppedStarts uint64
	// GivenUpMembers counts gang members that the agent stopped because it did not learn in
	// time that the rest of the gang had started.
	GivenUpMembers uint64
}

// Status describes the agent for a status page. Times are those of its own clock.
type Status struct {
	Worker                string
	Primary               string
	ReportNumber          uint64
	LastCallAt            time.Duration
	LastReplyAt           time.Duration
	LeaseExpiry           time.Duration
	FencingEpoch          uint64
	Running               int
	PendingStarts         int
	UnacknowledgedResults int
	Departing             int
	Counters              Counters
}

// Agent is the machine.Machine of a node agent.
type Agent struct {
	config   Config
	counters Counters
	rng      *rand.Rand

	// worker is the current worker, nil if there is none.
	worker *worker
	// departing are earlier workers that, as far as the primary knows, may still run attempts.
	departing []*worker
	departed  departedWorkers
	// signedOff are workers that have signed off. They get no more starts, even if their
	// calls do not say that they leave.
	signedOff workerNames
	// calls is the most recent sequence of calls from a single worker.
	calls callSequence

	replicas replicaSelector
	probe    replicaProbe
	// probeAnsweredAt is when a replica last answered a probe.
	probeAnsweredAt time.Duration
	// primary is the replica that last accepted a report, "" if there is none yet.
	primary      string
	outage       primaryOutage
	lastReportID uint64
	// rejections counts the reports rejected since one was last accepted.
	rejections    int
	fencingEpoch  uint64
	leaseDuration time.Duration
	lastReplyAt   time.Duration
	replied       bool
	// reportInterval is the minimum time between two reports, as requested by the primary.
	reportInterval time.Duration

	nextTimer time.Duration
}

// New returns an agent without a worker.
func New(config Config) *Agent {
	if config.ReportWait <= 0 {
		config.ReportWait = defaultReportWait
	}
	if config.CallInterval <= 0 {
		config.CallInterval = defaultCallInterval
	}
	if config.CallTimeout <= 0 {
		config.CallTimeout = defaultCallTimeout
	}
	return &Agent{
		config:       config,
		rng:          rand.New(rand.NewPCG(config.FirstReportID, jitterStream)),
		replicas:     newReplicaSelector(config.Replicas),
		lastReportID: config.FirstReportID,
	}
}

// NextTimer returns when Step must be called next, 0 if no timer is set.
func (a *Agent) NextTimer() time.Duration { return a.nextTimer }

// Counters returns the counters.
func (a *Agent) Counters() Counters { return a.counters }

// Ready reports whether the primary answers this agent. An agent that no worker has called
// sends no reports and counts as ready.
func (a *Agent) Ready(now time.Duration) bool {
	return a.counters.Calls == 0 || a.replied && now-a.lastReplyAt <= replyTimeout
}

// Status returns the agent's current status.
func (a *Agent) Status() Status {
	s := Status{
		Primary:      a.primary,
		LastReplyAt:  a.lastReplyAt,
		FencingEpoch: a.fencingEpoch,
		Departing:    len(a.departing),
		Counters:     a.counters,
	}
	if w := a.worker; w != nil {
		s.Worker = w.lastCall.Worker
		s.ReportNumber = w.reports.number
		s.LastCallAt = w.lastCallAt
		s.LeaseExpiry = w.leaseExpiry
		s.Running = len(w.running())
		s.PendingStarts = len(w.pendingStarts)
		s.UnacknowledgedResults = w.results.unacknowledgedCount()
	}
	return s
}

// Step handles one input, and sends the reports that are due.
func (a *Agent) Step(now time.Duration, in machine.Input) machine.Output {
	var out machine.Output
	switch {
	case in.Stop:
		out.Stopped = true
		return out
	case in.Request.ID > 0:
		a.handleRequest(now, in.Request, &out)
	case in.Message.Kind == wire.KindHeartbeatReply:
		machine.HandleBody(in.Message, &out, func(reply wire.HeartbeatReply) { a.handleReply(now, reply, &out) })
	case in.Message.Kind == wire.KindCommandReply:
		machine.HandleBody(in.Message, &out, func(reply wire.CommandReply) { a.handleProbeReply(now, &reply) })
	case in.Message.Kind != "":
		out.Warn("message_unknown", "kind", in.Message.Kind, "from", in.Message.From)
	}
	a.nextTimer = 0
	for _, w := range a.workers() {
		a.withdrawExpiredStarts(now, w, &out)
		a.giveUpGangMembers(now, w, &out)
		a.reportIfDue(now, w, &out)
	}
	a.probeReplicas(now, &out)
	return out
}

// SetBootstrapReplicas replaces the bootstrap replicas.
func (a *Agent) SetBootstrapReplicas(replicas []string) { a.replicas.setBootstrap(replicas) }

// workers returns the departing workers and then the current one, oldest first.
func (a *Agent) workers() []*worker {
	workers := slices.Clone(a.departing)
	if a.worker != nil {
		workers = append(workers, a.worker)
	}
	return workers
}

// scheduleTimer requests a step at the given time, or 1 ms from now if that has passed.
func (a *Agent) scheduleTimer(now, at time.Duration) {
	if at = max(at, now+time.Millisecond); a.nextTimer == 0 || at < a.nextTimer {
		a.nextTimer = at
	}
}

// Package scheduler dispatches the tasks of zones to their workers.
//
// For each zone that it leads, a Scheduler receives the heartbeats of the zone's workers
// and records them in the replicated state. The dispatcher chooses tasks, the state
// machine grants the leases, and the scheduler delivers the resulting orders in the reply
// to a heartbeat. It delays that reply while there are no orders (long polling). All of
// its own data can be lost at any moment: a successor rebuilds it from the replicated
// state and the heartbeats.
//
// A scheduler runs either in a process of its own, on a read replica of the state, or in
// the primary's process, directly on the primary's state.
package scheduler

import (
	"time"

	"sorrelloom/core/dispatch"
	"sorrelloom/core/feed"
	"sorrelloom/core/machine"
	"sorrelloom/core/state"
	"sorrelloom/core/wire"
)

const (
	// commandTimeout is how long an unanswered command is retried.
	commandTimeout = 2 * time.Second
	// stopTimeout is how long a stopping scheduler waits for others to take over its zones.
	stopTimeout = 2 * time.Second
)

// Config holds the settings of a scheduler.
type Config struct {
	Address string
	Zone    string
	// FirstCommandID is the ID of the first command. It should be different for each run
	// of a process.
	FirstCommandID uint64
	// Dispatch disables mechanisms of the dispatcher, for measurements.
	Dispatch dispatch.Options
	// Phases measures the time spent in each phase of a step; nil disables it.
	Phases *machine.PhaseMeter
}

// Scheduler dispatches tasks in the zones that it leads. It is a machine.Machine and not safe
// for concurrent use.
type Scheduler struct {
	config     Config
	access     StateAccess
	dispatcher *dispatch.Dispatcher

	// heartbeats holds the unanswered heartbeats, by worker.
	heartbeats map[string]pendingHeartbeat
	// heartbeatCommands holds the worker of each heartbeat submitted as a command, by
	// command ID.
	heartbeatCommands map[uint64]string
	// replacedHeartbeats holds the heartbeats that were replaced by a later one of the same
	// worker before their command was committed, by command ID.
	replacedHeartbeats map[uint64]pendingHeartbeat
	admission          admission
	latency            commandLatency
	leases             leaseTracker

	proposals map[uint64]pendingProposal
	// overShareUntil holds the classes for which the state machine rejected a grant because
	// it would exceed their share, with the log index of the rejection. They get no grants
	// until the state has reached that index.
	overShareUntil map[state.ClassKey]uint64
	// atLimitUntil holds the same for tenants that have reached their limit.
	atLimitUntil   map[string]uint64
	tenantLimits   tenantLimitLog
	nextPreemption time.Duration
	stopsSentAt    map[state.Attempt]time.Duration
	scans          scanSchedule
	stalled        stalledTaskCheck
	longWaits      longWaitCheck
	emptyPulls     map[string]emptyPull
	takeover       takeover
	rebuild        rebuildPace

	nextRegistration time.Duration
	// leaderlessZones holds the zones without a leader from which a heartbeat was received.
	leaderlessZones map[string]bool

	nextTimer    time.Duration
	stopping     bool
	stopDeadline time.Duration
}

var _ machine.Machine = (*Scheduler)(nil)

// New returns a scheduler that works on its own read replica of the state.
func New(config Config) *Scheduler {
	return NewWithState(config, feed.NewReadReplica(config.Address, config.Zone, config.FirstCommandID))
}

// NewWithState returns a scheduler that works on the given state.
func NewWithState(config Config, access StateAccess) *Scheduler {
	s := &Scheduler{config: config, access: access, dispatcher: dispatch.NewWith(config.Dispatch)}
	s.clear()
	return s
}

// Reset drops all pending heartbeats and proposals and makes the dispatcher reload all
// tasks from the state. It is called when leadership is gained or lost.
func (s *Scheduler) Reset() {
	s.dispatcher.ApplyChanges(s.access.State(), []state.Change{{All: true}})
	s.clear()
}

func (s *Scheduler) clear() {
	s.heartbeats = map[string]pendingHeartbeat{}
	s.heartbeatCommands = map[uint64]string{}
	s.replacedHeartbeats = map[uint64]pendingHeartbeat{}
	s.proposals = map[uint64]pendingProposal{}
	s.overShareUntil = map[state.ClassKey]uint64{}
	s.atLimitUntil = map[string]uint64{}
	s.tenantLimits = tenantLimitLog{loggedAt: map[string]time.Duration{}}
	s.longWaits = longWaitCheck{loggedAt: map[classReason]time.Duration{}}
	s.stopsSentAt = map[state.Attempt]time.Duration{}
	s.leaderlessZones = map[string]bool{}
	s.emptyPulls = map[string]emptyPull{}
	s.scans.changedWorkers = map[string]bool{}
	s.scans.nextFull = 0
	s.latency = commandLatency{sentAt: map[uint64]time.Duration{}}
	s.leases.reset(s.access)
	s.takeover = takeover{pending: s.access.IsLocal()}
}

// NextTimer implements machine.Machine.
func (s *Scheduler) NextTimer() time.Duration { return s.nextTimer }

// Counters returns the dispatcher's counters.
func (s *Scheduler) Counters() dispatch.Counters { return s.dispatcher.Counters }

// Rebuilding reports whether the queues are being rebuilt after leadership was gained.
func (s *Scheduler) Rebuilding() bool { return s.dispatcher.Rebuilding() }

// QueueLengths returns the number of tasks in each worker's queue.
func (s *Scheduler) QueueLengths() map[string]int { return s.dispatcher.QueueLengths() }

// Ready reports whether the scheduler's copy of the state is up to date.
func (s *Scheduler) Ready(now time.Duration) bool { return s.access.Fresh(now) }

// ConfigVersion returns the version of the current configuration.
func (s *Scheduler) ConfigVersion() uint64 { return s.access.State().Config().Version }

// Step implements machine.Machine.
func (s *Scheduler) Step(now time.Duration, in machine.Input) machine.Output {
	var out machine.Output
	if s.takeover.pending {
		s.beginTakeover(now)
	}
	s.scans.measureLastScan(now, in.Backlog)
	received := s.receive(now, in, &out)
	results := s.access.HandleTimers(now, &out)
	if len(received) > 0 {
		results = append(received, results...)
	}
	for i := range results {
		s.handleResult(now, &results[i], &out)
	}
	changes := s.access.State().TakeChanges()
	interrupted := s.config.Phases.Enter(machine.PhaseEnqueue)
	s.dispatcher.ApplyChanges(s.access.State(), changes)
	s.continueRebuild(now)
	s.config.Phases.Enter(interrupted)
	if now >= s.nextRegistration {
		s.register(now, &out)
	}
	s.renewLeases(now, &out)
	s.requeueStalled(now, &out)
	s.explainLongWaits(now, &out)
	s.logTenantLimits(now, &out)
	s.logHealthChanges(&out)
	s.markChangedWorkers(changes)
	if len(changes)+len(results) > 0 || in.Message.Kind == wire.KindHeartbeat {
		s.scans.requestScan(now)
	}
	if !s.access.IsLocal() || s.scans.isDue(now, in.Backlog) {
		s.scan(now, &out)
	}
	s.followTakeover(now, &out)
	s.setTimer(now, in.Backlog)
	if s.stopping && (now >= s.stopDeadline || len(s.LedZones()) == 0) {
		out.Stopped = true
	}
	return out
}

// receive handles the input and returns the command results that it contains.
func (s *Scheduler) receive(now time.Duration, in machine.Input, out *machine.Output) []feed.CommandResult {
	message := in.Message
	switch {
	case in.Stop:
		s.stopping, s.stopDeadline = true, now+stopTimeout
		s.access.Stop(out)
		s.handOver(now, out)
	case message.Kind == wire.KindHeartbeat:
		machine.HandleBody(message, out, func(request wire.HeartbeatRequest) {
			request.MaxWait = max(0, request.MaxWait-in.Waited)
			s.handleHeartbeat(now, message.From, request, out)
		})
	case message.Kind != "":
		results, handled := s.access.Receive(now, message, out)
		if !handled {
			out.Warn("message_unknown", "kind", message.Kind, "from", message.From)
		}
		return results
	}
	return nil
}

// logHealthChanges logs the workers that became impaired, and so get less work from now on,
// and those that recovered.
func (s *Scheduler) logHealthChanges(out *machine.Output) {
	for _, change := range s.dispatcher.TakeHealthChanges() {
		fields := []any{"worker", change.Worker, "failureRate", change.FailureRate, "slowdown", change.Slowdown}
		if change.Impaired {
			out.Warn("worker_impaired", fields...)
		} else {
			out.Log("worker_recovered", fields...)
		}
	}
}

// ImpairedWorkers returns the number of workers that get less work because their attempts
// fail often or are slow.
func (s *Scheduler) ImpairedWorkers() int { return s.dispatcher.ImpairedWorkers() }

// setTimer sets the time of the next step; backlog is the number of queued inputs.
func (s *Scheduler) setTimer(now time.Duration, backlog int) {
	s.nextTimer = s.scans.nextStart
	if backlog > 0 {
		s.nextTimer = max(s.nextTimer, s.scans.yieldUntil)
	}
	if s.dispatcher.Rebuilding() {
		s.nextTimer = min(s.nextTimer, s.rebuild.nextStep(now))
	}
}

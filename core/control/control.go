// Package control implements the control process of the platform, which combines a replica
// and a scheduler in one machine.Machine.
//
// While the replica is the primary, the scheduler leads the dispatch of all zones and works
// directly on the replica's state, so that no other process needs a copy of it. The state
// machine checks its proposals like those of any other scheduler, and they reach a worker
// only when all members of the view have them on disk. The scheduler's own data is dropped
// when leadership is lost.
package control

import (
	"time"

	"sorrelloom/core/machine"
	"sorrelloom/core/replica"
	"sorrelloom/core/scheduler"
	"sorrelloom/core/state"
	"sorrelloom/core/status"
	"sorrelloom/core/wire"
)

// maxQueuedHeartbeats limits the heartbeats that are queued until the replica serves.
const maxQueuedHeartbeats = 1024

// Config holds the settings of a control process.
type Config struct {
	Address string
	Zone    string
	// Founders are the addresses of the bootstrap members.
	Founders []string
	// NewID is the identity that the replica adopts if its disk contains none.
	NewID string
	// BootID must be different for each start of the process.
	BootID uint64
	// BackupCount is the desired number of backups in the replica's view.
	BackupCount int
	// Phases measures the time spent in each phase of a step; nil disables it.
	Phases *machine.PhaseMeter
}

var _ machine.Machine = (*Control)(nil)

// Control is a replica with its scheduler. It is not safe for concurrent use.
type Control struct {
	replica   *replica.Replica
	scheduler *scheduler.Scheduler
	// term is the replica's term as primary for which the scheduler was last reset; 0 while
	// the replica is not primary.
	term uint64
	// queuedHeartbeats are the heartbeats received while the replica was starting to serve.
	queuedHeartbeats []machine.Message
}

// New creates a control process from the stored state of its replica.
func New(config Config, stored machine.StoredState) (*Control, error) {
	ownReplica, err := replica.New(replica.Config{
		Address: config.Address, Zone: config.Zone, Founders: config.Founders, NewID: config.NewID, BootID: config.BootID,
		BackupCount: config.BackupCount, HasScheduler: true, Phases: config.Phases,
	}, stored)
	if err != nil {
		return nil, err
	}
	schedulerConfig := scheduler.Config{
		Address: config.Address, Zone: config.Zone, FirstCommandID: config.BootID, Phases: config.Phases,
	}
	return &Control{
		replica:   ownReplica,
		scheduler: scheduler.NewWithState(schedulerConfig, &localState{replica: ownReplica}),
	}, nil
}

// ID returns the identity of the replica.
func (c *Control) ID() string { return c.replica.ID() }

// Replica returns the replica, for its status.
func (c *Control) Replica() *replica.Replica { return c.replica }

// Scheduler returns the scheduler, for its counters.
func (c *Control) Scheduler() *scheduler.Scheduler { return c.scheduler }

// NextTimer implements machine.Machine.
func (c *Control) NextTimer() time.Duration {
	if timer := c.scheduler.NextTimer(); c.term > 0 && c.replica.Serving() && timer > 0 {
		return min(timer, c.replica.NextTimer())
	}
	return c.replica.NextTimer()
}

// Step implements machine.Machine. It passes heartbeats to the scheduler and all other input
// to the replica. While the replica serves, it then steps the scheduler, which handles the
// resulting changes, and the replica sends and writes the commands that the scheduler submits.
func (c *Control) Step(now time.Duration, in machine.Input) machine.Output {
	var out machine.Output
	isHeartbeat := in.Message.Kind == wire.KindHeartbeat
	if isHeartbeat {
		c.replica.NoteWorkerHeard(now)
	} else {
		out = c.replica.Step(now, in)
	}
	c.followTerm()
	switch {
	case c.replica.Serving():
		c.stepServing(now, in, isHeartbeat, &out)
	case c.replica.Starting():
		if isHeartbeat {
			c.queueHeartbeat(in.Message, &out)
		}
	default:
		c.stepNotLeading(in, isHeartbeat, &out)
	}
	return out
}

// stepServing passes the queued heartbeats, and the input if it is a heartbeat, to the
// scheduler. It then steps the scheduler until all results of its commands are handled.
func (c *Control) stepServing(now time.Duration, in machine.Input, isHeartbeat bool, out *machine.Output) {
	timer := machine.Input{Backlog: in.Backlog}
	for _, message := range c.takeQueuedHeartbeats() {
		c.stepScheduler(now, machine.Input{Message: message, Backlog: in.Backlog}, out)
	}
	if !isHeartbeat {
		in = timer
	}
	c.stepScheduler(now, in, out)
	for c.replica.HasLocalReplies() {
		c.stepScheduler(now, timer, out)
	}
}

// stepNotLeading discards results and changes that are pending for the scheduler, and rejects
// heartbeats.
func (c *Control) stepNotLeading(in machine.Input, isHeartbeat bool, out *machine.Output) {
	c.replica.TakeLocalReplies()
	c.replica.Store().TakeChanges()
	for _, message := range c.takeQueuedHeartbeats() {
		c.rejectHeartbeat(message, out)
	}
	if isHeartbeat {
		c.rejectHeartbeat(in.Message, out)
	}
}

// followTerm resets the scheduler when a term of the replica as primary begins or ends. A
// replica that remains primary through a view change remains in its term.
func (c *Control) followTerm() {
	term := uint64(0)
	if c.replica.Serving() || c.replica.Resuming() {
		term = c.replica.Terms()
	}
	if term != c.term {
		c.term = term
		c.scheduler.Reset()
	}
}

func (c *Control) queueHeartbeat(message machine.Message, out *machine.Output) {
	if len(c.queuedHeartbeats) >= maxQueuedHeartbeats {
		c.rejectHeartbeat(message, out)
		return
	}
	c.queuedHeartbeats = append(c.queuedHeartbeats, message)
}

func (c *Control) takeQueuedHeartbeats() []machine.Message {
	messages := c.queuedHeartbeats
	c.queuedHeartbeats = nil
	return messages
}

func (c *Control) stepScheduler(now time.Duration, in machine.Input, out *machine.Output) {
	stepped := c.scheduler.Step(now, in)
	// The process stops when its replica does, not when its scheduler does.
	stepped.Stopped = false
	appendOutput(out, stepped)
	appendOutput(out, c.replica.Flush(now))
}

// rejectHeartbeat redirects a node agent to the primary.
func (c *Control) rejectHeartbeat(message machine.Message, out *machine.Output) {
	machine.HandleBody(message, out, func(request wire.HeartbeatRequest) {
		reply := wire.HeartbeatReply{
			ID:            request.ID,
			Result:        state.Result{Code: status.NotPrimary, Reason: "this replica is not the primary now"},
			Replicas:      c.replica.MemberAddresses(),
			ReplicasEpoch: c.replica.View().Epoch,
		}
		if view := c.replica.View(); view.Primary.ID != c.replica.ID() {
			reply.Primary = view.Primary.Address
		}
		out.Send(message.From, wire.KindHeartbeatReply, reply)
	})
}

func appendOutput(out *machine.Output, more machine.Output) {
	out.Messages = append(out.Messages, more.Messages...)
	out.Writes = append(out.Writes, more.Writes...)
	out.Responses = append(out.Responses, more.Responses...)
	out.LogEvents = append(out.LogEvents, more.LogEvents...)
	out.AuditEntries = append(out.AuditEntries, more.AuditEntries...)
	out.Stopped = out.Stopped || more.Stopped
}

// Package control is a keeper and a dispatcher in one machine: while the keeper
// leads, the dispatcher takes the duties of all sites and works on the keeper's
// own ledger, so that nobody else needs a copy of it. What it chooses is checked
// by the ledger as any other's choice, and told to a worker only once all disks
// of the view have it. When the lead goes, all that the dispatcher knows is dropped.
package control

import (
	"time"

	"sorrelloom/core/feed"
	"sorrelloom/core/machine"
	"sorrelloom/core/replica"
	"sorrelloom/core/scheduler"
	"sorrelloom/core/state"
	"sorrelloom/core/status"
	"sorrelloom/core/wire"
)

type Config struct {
	Address  string
	Zone     string
	Founders []string
	NewID    string
	BootID   uint64
	// Copies is how many backups the keeper's view shall have.
	BackupCount int
}

type Control struct {
	config    Config
	replica   *replica.Replica
	scheduler *scheduler.Scheduler
	access    localState
	// term is the keeper's count of terms that the dispatcher works in; 0 is none.
	term uint64
	// beats wait while the keeper is about to serve.
	queuedHeartbeats []machine.Message
}

// beatsMax is how many reports wait for the keeper to serve.
const maxQueuedHeartbeats = 1024

// own is the keeper's ledger as the dispatcher's authority.
type localState struct {
	replica       *replica.Replica
	lastRequestID uint64
}

func (o *localState) State() *state.Store  { return o.replica.Store() }
func (o *localState) IsLocal() bool        { return true }
func (o *localState) Stop(*machine.Output) {}
func (o *localState) Loaded() bool         { return o.replica.Serving() }

func (o *localState) LeadershipConfirmed(now time.Duration) bool {
	return o.replica.LeadershipConfirmed(now)
}
func (o *localState) Time(now time.Duration) time.Duration { return o.replica.Time(now) }

func (o *localState) Fresh(now time.Duration) bool {
	return o.replica.LeadershipConfirmed(now) && !o.replica.Backlogged()
}

func (o *localState) Submit(now time.Duration, cmd state.Command, _ time.Duration, out *machine.Output) uint64 {
	o.lastRequestID++
	o.replica.Submit(now, o.lastRequestID, cmd, out)
	return o.lastRequestID
}

func (o *localState) Receive(time.Duration, machine.Message, *machine.Output) ([]feed.CommandResult, bool) {
	return nil, false
}

func (o *localState) HandleTimers(time.Duration, *machine.Output) []feed.CommandResult {
	var out []feed.CommandResult
	for _, b := range o.replica.TakeLocalReplies() {
		out = append(out, feed.CommandResult{ID: b.ID, AppliedIndex: b.AppliedIndex, Result: b.Result})
	}
	return out
}

// New rebuilds a center from what its keeper has stored.
func New(config Config, stored machine.StoredState) (*Control, error) {
	newReplica, err := replica.New(replica.Config{
		Address: config.Address, Zone: config.Zone, Founders: config.Founders, NewID: config.NewID, BootID: config.BootID,
		BackupCount: config.BackupCount, HasDispatcher: true,
	}, stored)
	if err != nil {
		return nil, err
	}
	c := &Control{config: config, replica: newReplica}
	c.access = localState{replica: newReplica}
	c.scheduler = scheduler.NewWith(scheduler.Config{Address: config.Address, Zone: config.Zone, FirstCommandID: config.BootID}, &c.access)
	return c, nil
}

func (c *Control) ID() string                { return c.replica.ID() }
func (c *Control) Replica() *replica.Replica { return c.replica }

// Scheduler gives the dispatcher, for its counters.
func (c *Control) Scheduler() *scheduler.Scheduler { return c.scheduler }

func (c *Control) NextTimer() time.Duration {
	if at := c.scheduler.NextTimer(); c.term > 0 && c.replica.Serving() && at > 0 {
		return min(at, c.replica.NextTimer())
	}
	return c.replica.NextTimer()
}

// Step gives the input to the keeper or the dispatcher, then lets the other see
// what came of it, and the keeper send and write all that was asked for.
func (c *Control) Step(now time.Duration, in machine.Input) machine.Output {
	var out machine.Output
	isHeartbeat := in.Message.Kind == wire.KindHeartbeat
	if !isHeartbeat {
		out = c.replica.Step(now, in)
	}
	c.followTerm()
	switch {
	case c.replica.Serving():
		passed := in
		if !isHeartbeat {
			passed = machine.Input{}
		}
		for _, message := range c.takeQueuedHeartbeats() {
			c.stepScheduler(now, machine.Input{Message: message}, &out)
		}
		c.stepScheduler(now, passed, &out)
		for c.replica.HasLocalReplies() {
			c.stepScheduler(now, machine.Input{}, &out)
		}
	case isHeartbeat && c.replica.Starting() && len(c.queuedHeartbeats) < maxQueuedHeartbeats:
		c.queuedHeartbeats = append(c.queuedHeartbeats, in.Message)
	case c.replica.Starting():
		if isHeartbeat {
			c.rejectHeartbeat(in.Message, &out)
		}
	default:
		c.replica.TakeLocalReplies()
		c.replica.Store().TakeChanges()
		for _, message := range c.takeQueuedHeartbeats() {
			c.rejectHeartbeat(message, &out)
		}
		if isHeartbeat {
			c.rejectHeartbeat(in.Message, &out)
		}
	}
	return out
}

// follow has the dispatcher forget everything when a term of the keeper begins or
// ends. A keeper that keeps the lead through a change of view stays in its term.
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

func (c *Control) takeQueuedHeartbeats() []machine.Message {
	lines := c.queuedHeartbeats
	c.queuedHeartbeats = nil
	return lines
}

func (c *Control) stepScheduler(now time.Duration, in machine.Input, out *machine.Output) {
	mine := c.scheduler.Step(now, in)
	mine.Stopped = false
	appendOutput(out, mine)
	appendOutput(out, c.replica.Flush(now))
}

// bounce sends a beat on to the one that leads.
func (c *Control) rejectHeartbeat(message machine.Message, out *machine.Output) {
	var request wire.HeartbeatRequest
	if err := machine.Unmarshal(message.Body, &request); err != nil {
		out.Log("line_damaged", "kind", message.Kind, "from", message.From, "why", err.Error())
		return
	}
	reply := wire.HeartbeatReply{ID: request.ID, Result: state.Result{Code: status.NotPrimary, Reason: "this keeper does not lead now"}, Replicas: c.replica.MemberAddresses()}
	if v := c.replica.View(); v.Primary.ID != c.replica.ID() {
		reply.Primary = v.Primary.Address
	}
	out.Send(message.From, wire.KindHeartbeatReply, reply)
}

func appendOutput(out *machine.Output, more machine.Output) {
	out.Messages = append(out.Messages, more.Messages...)
	out.Writes = append(out.Writes, more.Writes...)
	out.Responses = append(out.Responses, more.Responses...)
	out.LogEvents = append(out.LogEvents, more.LogEvents...)
	out.AuditEntries = append(out.AuditEntries, more.AuditEntries...)
	out.Stopped = out.Stopped || more.Stopped
}

package experiment

import (
	"fmt"
	"time"

	"sorrelloom/core/config"
	"sorrelloom/core/feed"
	"sorrelloom/core/machine"
	"sorrelloom/core/scheduler"
	"sorrelloom/core/state"
	"sorrelloom/core/wire"
	"sorrelloom/tool/eventqueue"
)

const (
	service = "render"
	// tickInterval is the interval between ticks of the state machine.
	tickInterval = 50 * time.Millisecond
	// messageDelay is the one-way latency between two processes.
	messageDelay = 2 * time.Millisecond
	// highestPriority is the priority of the most urgent class; each following rank is lower by
	// priorityStep.
	highestPriority = 1000
	priorityStep    = 10
)

// controlPlane models the primary with its scheduler and its own copy of the state. A command
// is applied to the state immediately; its result is delivered after commitDelay. During an
// outage it accepts no commands and no heartbeats.
type controlPlane struct {
	queue       *eventqueue.Queue
	policy      Policy
	store       *state.Store
	scheduler   *scheduler.Scheduler
	commitDelay time.Duration

	serving      bool
	servingSince time.Duration
	epoch        uint64
	term         uint64
	lastCommand  uint64
	results      []feed.CommandResult
	nextStep     time.Duration
	// deliver hands a heartbeat reply to a worker.
	deliver func(worker string, reply wire.HeartbeatReply)
}

var _ scheduler.StateAccess = (*controlPlane)(nil)

func newControlPlane(queue *eventqueue.Queue, policy Policy, deployment *Deployment) *controlPlane {
	c := &controlPlane{queue: queue, policy: policy, store: state.New(), commitDelay: millis(deployment.CommitMs)}
	c.startPrimary()
	body := configuration(deployment, policy)
	result := c.apply(state.Command{Kind: state.KindChangeConfig, ConfigChange: state.ConfigChange{Body: body}})
	if !result.Code.IsSuccess() {
		panic(fmt.Sprintf("the configuration is rejected: %s %v", result.Reason, result.Violations))
	}
	c.tick()
	return c
}

// configuration builds the configuration of a deployment, with one class for each of the
// deployment's classes, as the platform's translator would.
func configuration(deployment *Deployment, policy Policy) []byte {
	classes := map[string]config.Class{}
	for _, class := range deployment.Classes {
		classes[class.Name] = config.Class{
			Priority: highestPriority - priorityStep*class.Priority, Quick: class.Priority == 0,
			Share: 100 / len(deployment.Classes), MaxFailures: class.MaxFailures,
			LostWorkerPolicy: config.RestartOnLostWorker,
			LatencyTarget:    config.Duration{Duration: millis(class.TargetMs)}, CriticalPathFactor: class.CriticalPathFactor,
		}
	}
	result := config.Default()
	result.Services[service] = config.Service{Classes: classes, AllowAnyLabel: true}
	result.Policies = config.Policies{Order: "priority", Borrow: "true"}
	lease := min(policy.MaxLease, seconds(deployment.MaxLeaseS))
	result.Limits.KilledAtLeaseExpiry = true
	result.Limits.LeaseDuration = config.Duration{Duration: lease}
	result.Limits.ExpiryMargin = config.Duration{Duration: lease*3/100 + 300*time.Millisecond}
	startTimeout := min(seconds(deployment.GangWaitS), lease) - 200*time.Millisecond
	result.Limits.GangStartTimeout = config.Duration{Duration: startTimeout}
	result.Limits.HeartbeatTimeout = config.Duration{Duration: 1500 * time.Millisecond}
	result.Limits.MaxLostAttempts = 1_000_000
	result.Limits.RunLimit = config.Duration{Duration: 24 * time.Hour}
	result.Limits.MaxTasks = 10_000
	return machine.MustJSON(result)
}

// startPrimary starts a new primary with a new epoch and an empty scheduler.
func (c *controlPlane) startPrimary() {
	c.serving, c.servingSince = true, c.queue.Now
	c.epoch++
	c.term++
	c.results = nil
	c.scheduler = scheduler.NewWithState(scheduler.Config{
		Address: "control", Zone: zoneName(0), FirstCommandID: c.epoch << 32, Dispatch: c.policy.Dispatch,
	}, c)
	c.scheduler.Reset()
}

// stopPrimary ends the term of the primary and discards the results not yet delivered.
func (c *controlPlane) stopPrimary() { c.serving, c.results = false, nil }

func (c *controlPlane) tick() {
	if c.serving {
		if c.store.TickDue(c.queue.Now, c.servingSince) {
			c.apply(state.Command{Kind: state.KindTick, ServingSince: c.servingSince})
		}
		c.step(machine.Input{})
	}
	c.queue.After(tickInterval, c.tick)
}

func (c *controlPlane) apply(command state.Command) state.Result {
	command.Time = c.queue.Now
	command.LogPosition = state.LogPosition{Epoch: c.epoch, Index: c.store.Position().Index + 1}
	return c.store.Apply(command)
}

// submit applies a client's command and reports whether it was accepted.
func (c *controlPlane) submit(command state.Command) (accepted bool) {
	if !c.serving {
		return false
	}
	result := c.apply(command)
	c.step(machine.Input{})
	return result.Code.IsSuccess()
}

// receive hands a worker's heartbeat to the scheduler; without a primary it is lost.
func (c *controlPlane) receive(worker string, request wire.HeartbeatRequest) {
	if !c.serving {
		return
	}
	c.step(machine.Input{Message: machine.Message{
		Version: machine.ProtocolVersion, Kind: wire.KindHeartbeat, From: worker, Body: machine.MustMarshal(request),
	}})
}

// step runs one step of the scheduler and schedules another for its next timer.
func (c *controlPlane) step(in machine.Input) {
	out := c.scheduler.Step(c.queue.Now, in)
	for _, message := range out.Messages {
		if reply, ok := message.Body.(wire.HeartbeatReply); ok {
			c.queue.After(messageDelay, func() { c.deliver(message.To, reply) })
		}
	}
	c.store.DiscardAuditEntries()
	if at := c.scheduler.NextTimer(); at > c.queue.Now && (c.nextStep <= c.queue.Now || at < c.nextStep) {
		c.nextStep = at
		term := c.term
		c.queue.At(at, func() {
			if c.serving && c.term == term && c.queue.Now >= c.nextStep {
				c.step(machine.Input{})
			}
		})
	}
}

// State implements scheduler.StateAccess.
func (c *controlPlane) State() *state.Store { return c.store }

// IsLocal implements scheduler.StateAccess.
func (c *controlPlane) IsLocal() bool { return true }

// Fresh implements scheduler.StateAccess.
func (c *controlPlane) Fresh(time.Duration) bool { return c.serving }

// LeadershipConfirmed implements scheduler.StateAccess.
func (c *controlPlane) LeadershipConfirmed(time.Duration) bool { return c.serving }

// Time implements scheduler.StateAccess.
func (c *controlPlane) Time(now time.Duration) time.Duration { return now }

// Loaded implements scheduler.StateAccess.
func (c *controlPlane) Loaded() bool { return c.serving }

// ReplicasAfter implements scheduler.StateAccess.
func (c *controlPlane) ReplicasAfter(uint64) wire.ReplicaList { return wire.ReplicaList{} }

// Submit implements scheduler.StateAccess.
func (c *controlPlane) Submit(_ time.Duration, command state.Command, _ time.Duration, _ *machine.Output) uint64 {
	c.lastCommand++
	id, term := c.lastCommand, c.term
	result := feed.CommandResult{ID: id, Result: c.apply(command)}
	result.AppliedIndex = c.store.Position().Index
	c.queue.After(c.commitDelay, func() {
		if !c.serving || c.term != term {
			return
		}
		c.results = append(c.results, result)
		c.step(machine.Input{})
	})
	return id
}

// Receive implements scheduler.StateAccess.
func (c *controlPlane) Receive(time.Duration, machine.Message, *machine.Output) ([]feed.CommandResult, bool) {
	return nil, false
}

// HandleTimers implements scheduler.StateAccess.
func (c *controlPlane) HandleTimers(time.Duration, *machine.Output) []feed.CommandResult {
	results := c.results
	c.results = nil
	return results
}

// Stop implements scheduler.StateAccess.
func (c *controlPlane) Stop(*machine.Output) {}

func zoneName(i int) string { return fmt.Sprintf("zone-%d", i) }

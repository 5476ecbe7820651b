// Package leaderclient sends commands to the leading replica on behalf of a process
// that keeps no copy of the replicated state. It finds the leader, retries, and
// answers every command in time, if only with a rejection.
//
// The decoded value of a request is a state.Command, and its Wait is how long the result
// is useful; the response is a state.Result. A command that can't be served in that time
// is rejected at once.
//
// # Safety
//
// Commands are sent only to a replica that has confirmed its leadership, the earliest
// deadline first, and at most maxInFlight are unanswered at a time. A replica answers
// commands of the same priority in the order in which it receives them. A command is
// therefore sent again only on evidence that it was lost: the client has switched to
// another replica, the leader has answered a later message that could not overtake the
// command, or the leader answered a later probe so long ago that the command has expired
// there. A rejection is passed on only if no copy of the command can have been accepted;
// otherwise the result is status.NoResponse, which says that the outcome is unknown.
package leaderclient

import (
	"math/rand/v2"
	"time"

	"sorrelloom/core/machine"
	"sorrelloom/core/state"
	"sorrelloom/core/status"
	"sorrelloom/core/wire"
)

// RequestCommand is the only kind of request that a Client handles.
const RequestCommand = "command"

const (
	// readyTTL is how long the client counts as ready after a leader has confirmed its
	// leadership.
	readyTTL = 1500 * time.Millisecond
	// leaderTimeout is the time without a confirmation after which commands are rejected.
	leaderTimeout = 4 * time.Second
	// retryAfter is the time after which callers may retry a rejected command.
	retryAfter = time.Second
	// maxPending bounds the number of pending commands.
	maxPending = 10000
	// timerResolution is the smallest time step of timers.
	timerResolution = time.Millisecond
	// jitterStream separates the jitter from other random numbers of the same seed.
	jitterStream = 0x7265_6c61_79
)

// Config configures a Client.
type Config struct {
	// Address is the client's own address.
	Address string
	// Replicas are the addresses of the bootstrap replicas.
	Replicas []string
	// FirstCommandID must differ between two incarnations of the process, so that a reply
	// to the previous incarnation is never mistaken for a reply to this one. It also seeds
	// the jitter.
	FirstCommandID uint64
}

// Client is the machine.Machine that sends commands to the leader.
type Client struct {
	config Config
	rng    *rand.Rand
	leader leaderTracker
	probes leadershipProbes

	lastCommandID uint64
	// pending holds the unanswered commands in the order of their IDs.
	pending []*pendingCommand
	sends   sendLog
	latency latencyEstimate

	started bool
	// confirmedAt is when a leader last confirmed its leadership, or when the client started
	// if everConfirmed is false.
	confirmedAt   time.Duration
	everConfirmed bool
	// configVersion is the highest configuration version in a leader's replies to probes.
	configVersion uint64

	nextTimer time.Duration
	stopping  bool
}

// New returns a client without a known leader.
func New(config Config) *Client {
	c := &Client{
		config:        config,
		rng:           rand.New(rand.NewPCG(config.FirstCommandID, jitterStream)),
		lastCommandID: config.FirstCommandID,
	}
	c.leader.rotation = int(config.FirstCommandID % uint64(max(1, len(config.Replicas))))
	return c
}

// NextTimer returns when Step must be called next.
func (c *Client) NextTimer() time.Duration { return c.nextTimer }

// Ready reports whether a leader confirmed its leadership within readyTTL and the client is
// not stopping.
func (c *Client) Ready(now time.Duration) bool {
	return c.everConfirmed && now-c.confirmedAt <= readyTTL && !c.stopping
}

// SetBootstrapReplicas replaces the bootstrap replicas.
func (c *Client) SetBootstrapReplicas(replicas []string) { c.config.Replicas = replicas }

// PendingCount returns the number of unanswered commands.
func (c *Client) PendingCount() int { return len(c.pending) }

// Step handles one input, and then all timers that are due.
func (c *Client) Step(now time.Duration, in machine.Input) machine.Output {
	var out machine.Output
	if !c.started {
		c.started, c.confirmedAt, c.probes.nextAt = true, now, now
		c.tryNextReplica(now)
	}
	switch {
	case in.Stop:
		c.stopping = true
	case in.Request.ID > 0:
		c.handleRequest(now, in.Request, &out)
	case in.Message.Kind == wire.KindCommandReply:
		machine.HandleBody(in.Message, &out, func(reply wire.CommandReply) {
			c.handleReply(now, in.Message.From, reply, &out)
		})
	case in.Message.Kind != "":
		out.Warn("message_unknown", "kind", in.Message.Kind, "from", in.Message.From)
	}
	c.sends.expire(now)
	c.checkLeader(now, &out)
	c.expirePending(now, &out)
	c.sendDue(now, &out)
	c.probeLeader(now, &out)
	c.scheduleTimer(now)
	out.Stopped = c.stopping && len(c.pending) == 0
	return out
}

// leaderLost reports whether no leader has confirmed its leadership for longer than
// leaderTimeout, so that commands no longer wait for one.
func (c *Client) leaderLost(now time.Duration) bool { return now-c.confirmedAt > leaderTimeout }

// handleRequest adds a command to the pending ones, or rejects it if it can't be served in
// time.
func (c *Client) handleRequest(now time.Duration, request machine.Request, out *machine.Output) {
	command, ok := request.Decoded.(state.Command)
	reject := func(code status.Code, reason string) { out.Respond(request.ID, rejection(code, reason)) }
	switch {
	case request.Kind != RequestCommand || !ok:
		reject(status.Internal, "only commands of the replicated state are taken")
	case c.stopping:
		reject(status.ShuttingDown, "this process is going down")
	case len(c.pending) >= maxPending:
		reject(status.QueueFull, "this process has too many requests open")
	case c.leaderLost(now):
		reject(status.ReplicasUnavailable, "no leader has been heard of for a while")
	case request.Wait <= 0:
		reject(status.ReplicasUnavailable, "no time is left to ask a leader")
	case c.expectedWait() > request.Wait:
		reject(status.QueueFull, "what waits for the primary takes longer than this request has time")
	default:
		c.lastCommandID++
		c.pending = append(c.pending, &pendingCommand{
			id:         c.lastCommandID,
			requestID:  request.ID,
			command:    command,
			enqueuedAt: now,
			deadline:   now + request.Wait,
			sendAt:     now,
		})
	}
}

// rejection returns the result of a command that has certainly not been accepted.
func rejection(code status.Code, reason string) state.Result {
	return state.Result{Code: code, Reason: reason, RetryAfter: retryAfter}
}

// unknownOutcome returns the result of a command that may have been accepted.
func unknownOutcome() state.Result {
	return state.Result{
		Code:       status.NoResponse,
		Reason:     "no leader answered in time; the request may still take effect",
		RetryAfter: retryAfter,
	}
}

// scheduleTimer sets the time of the next step.
func (c *Client) scheduleTimer(now time.Duration) {
	c.nextTimer = c.leader.nextSwitch()
	if c.leader.primary != "" {
		c.nextTimer = min(c.nextTimer, c.probes.nextAt)
	}
	if len(c.pending) > 0 {
		c.nextTimer = min(c.nextTimer, c.confirmedAt+leaderTimeout+timerResolution)
		if len(c.sends.answeredProbes) > 0 {
			c.nextTimer = min(c.nextTimer, c.sends.answeredProbes[0].expiresAt)
		}
	}
	full := c.inFlightCount() >= maxInFlight
	for _, command := range c.pending {
		c.nextTimer = min(c.nextTimer, c.expiresAt(command))
		switch {
		case !c.leader.confirmed:
		case command.inFlight && c.sends.isLost(command):
			c.nextTimer = min(c.nextTimer, command.sendAt)
		case !command.inFlight && !full:
			c.nextTimer = min(c.nextTimer, max(command.sendAt, now+timerResolution))
		}
	}
}

// jitter returns a random duration from least to most, inclusive.
func (c *Client) jitter(least, most time.Duration) time.Duration {
	return least + time.Duration(c.rng.Int64N(int64(most-least)+1))
}

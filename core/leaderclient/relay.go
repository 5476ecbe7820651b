package leaderclient

import (
	"math/rand/v2"
	"slices"
	"time"

	"sorrelloom/core/machine"
	"sorrelloom/core/state"
	"sorrelloom/core/status"
	"sorrelloom/core/wire"
)

const (
	readyTTL      = 1500 * time.Millisecond
	leaderTimeout = 4 * time.Second
	// leaderWait is how long a command that was never sent waits for a primary.
	maxUnsentWait = 1200 * time.Millisecond
	retryAfter    = time.Second
	maxPending    = 10000
)

// Env is a relay's place: its own line address, the keepers to begin from, and
// the first command number, which should differ between two runs of one process.
type Config struct {
	Address        string
	Replicas       []string
	FirstCommandID uint64
}

// Relay carries commands to the primary that it believes in. It keeps nothing
// of the ledger: what it says was said by a proven primary, or is that there
// was no word of one.
type Client struct {
	config        Config
	leader        leaderTracker
	probes        leadershipProbes
	rng           *rand.Rand
	lastCommandID uint64
	// table holds the open requests in the order of their numbers.
	pending []*pendingCommand
	// order numbers what is sent; the primary has answered what was sent as passed.
	lastSend      uint64
	answeredSend  uint64
	latency       latencyEstimate
	started       bool
	confirmedAt   time.Duration
	everConfirmed bool
	nextTimer     time.Duration
	stopping      bool
}

// New gives a relay; its jitter is drawn from Env.First.
func New(config Config) *Client {
	c := &Client{config: config, lastCommandID: config.FirstCommandID, rng: rand.New(rand.NewPCG(config.FirstCommandID, jitterStream))}
	c.leader.rotation = int(config.FirstCommandID % uint64(max(1, len(config.Replicas))))
	return c
}

func (c *Client) NextTimer() time.Duration { return c.nextTimer }

// Ready says whether a primary has proved itself a moment ago.
func (c *Client) Ready(now time.Duration) bool {
	return c.everConfirmed && now-c.confirmedAt <= readyTTL && !c.stopping
}

// Begin names other keepers to begin from.
func (c *Client) SetBootstrapReplicas(replicas []string) { c.config.Replicas = replicas }

// Open is how many requests are without an answer.
func (c *Client) PendingCount() int { return len(c.pending) }

func (c *Client) Step(now time.Duration, in machine.Input) machine.Output {
	var out machine.Output
	if !c.started {
		c.started, c.confirmedAt, c.probes.nextProbeAt = true, now, now
		c.tryNextReplica(now)
	}
	switch {
	case in.Stop:
		c.stopping = true
	case in.Request.ID > 0:
		c.enqueue(now, in.Request, &out)
	case in.Message.Kind == wire.KindCommandReply:
		var b wire.CommandReply
		if err := machine.Unmarshal(in.Message.Body, &b); err != nil {
			out.Log("line_damaged", "kind", in.Message.Kind, "from", in.Message.From, "why", err.Error())
		} else {
			c.handleReply(now, in.Message.From, b, &out)
		}
	case in.Message.Kind != "":
		out.Log("line_unknown", "kind", in.Message.Kind, "from", in.Message.From)
	}
	c.checkLeader(now, &out)
	c.expirePending(now, &out)
	c.sendDue(now, &out)
	c.probeLeader(now, &out)
	c.scheduleTimer(now)
	out.Stopped = c.stopping && len(c.pending) == 0
	return out
}

func (c *Client) leaderLost(now time.Duration) bool { return now-c.confirmedAt > leaderTimeout }

func (c *Client) enqueue(now time.Duration, request machine.Request, out *machine.Output) {
	command, ok := request.Decoded.(state.Command)
	refuse := func(c status.Code, why string) {
		out.Respond(request.ID, state.Result{Code: c, Reason: why, RetryAfter: retryAfter})
	}
	switch {
	case request.Kind != RequestCommand || !ok:
		refuse(status.Internal, "a relay takes ledger commands only")
	case c.stopping:
		refuse(status.ShuttingDown, "this process is going down")
	case len(c.pending) >= maxPending:
		refuse(status.QueueFull, "this process has too many requests open")
	case c.leaderLost(now):
		refuse(status.ReplicasUnavailable, "no keeper has been heard of for a while")
	case request.Wait <= 0:
		refuse(status.ReplicasUnavailable, "no time is left to ask a keeper")
	case c.expectedWait() > request.Wait:
		refuse(status.QueueFull, "what waits for the primary takes longer than this request has time")
	default:
		c.lastCommandID++
		c.pending = append(c.pending, &pendingCommand{
			id: c.lastCommandID, key: request.ID, command: command, enqueuedAt: now, deadline: now + request.Wait, sendAt: now,
		})
	}
}

// back takes a keeper's word. Any word from the keeper believed in is a sign of
// life; an answer of a primary is proof, since it answers only once it is proven.
func (c *Client) handleReply(now time.Duration, from string, reply wire.CommandReply, out *machine.Output) {
	c.leader.setReplicas(reply.Replicas)
	if from == c.leader.primary {
		c.leader.lastHeardAt, c.leader.silentReplicas = now, 0
	}
	switch {
	case reply.Received:
		c.confirmLeader(now, from)
		return
	case reply.Result.Code == status.NotPrimary || reply.Result.Code == status.ShuttingDown:
		c.handleRejection(now, from, reply.Primary)
		return
	case !slices.Contains(unconfirmedCodes, reply.Result.Code):
		c.leadershipConfirmed(now, from)
	}
	if c.probes.handleReply(reply) && from == c.leader.primary {
		c.noteAnswered(c.probes.last.sendIndex)
		return
	}
	index, ok := c.find(reply.ID)
	if !ok {
		return
	}
	command := c.pending[index]
	c.pending = slices.Delete(c.pending, index, index+1)
	if from == c.leader.primary && command.inFlight && !slices.Contains(inconclusiveCodes, reply.Result.Code) {
		c.noteAnswered(command.sendIndex)
		c.latency.observe(now - command.sentAt)
	}
	if command.sendCount > 1 && !state.IsReadOnly(command.command.Kind) && slices.Contains(inconclusiveRetryCodes, reply.Result.Code) {
		// An earlier copy may have been taken, so this is no clear no.
		reply.Result = unknownOutcome()
	}
	out.Respond(command.key, reply.Result)
}

// noProof are the answers that a keeper gives without having proved that it leads.
var unconfirmedCodes = []status.Code{status.ReplicasUnavailable, status.Internal}

// unclear are the answers that say nothing of an earlier copy of the command. They
// are given out of the order in which commands arrive.
var inconclusiveCodes = []status.Code{status.QueueFull, status.ReplicasUnavailable, status.Internal}

// unclearAgain are the answers to another copy of a command that say nothing of the
// earlier one. Whether there is an entry is looked at before what was accepted.
var inconclusiveRetryCodes = append([]status.Code{status.NoRoute}, inconclusiveCodes...)

func unknownOutcome() state.Result {
	return state.Result{
		Code: status.NoResponse, Reason: "no keeper answered in time; the request may still take effect", RetryAfter: retryAfter,
	}
}

// proved takes an answer that only a primary gives.
func (c *Client) leadershipConfirmed(now time.Duration, from string) {
	if from != c.leader.primary && now-c.confirmedAt >= maxProbeInterval {
		c.switchTo(now, from)
	}
	c.confirmLeader(now, from)
	c.everConfirmed, c.confirmedAt = true, now
	c.probes.postpone(now + c.jitter(minProbeInterval, maxProbeInterval))
	c.leader.triedReplicas, c.leader.redirects = 0, 0
}

// pass notes that the primary has answered what was sent with an order number.
func (c *Client) noteAnswered(order uint64) { c.answeredSend = max(c.answeredSend, order) }

// schedule says when the relay is to be stepped next.
func (c *Client) scheduleTimer(now time.Duration) {
	c.nextTimer = c.leader.nextSwitch()
	if c.leader.primary != "" {
		c.nextTimer = min(c.nextTimer, c.probes.nextProbeAt)
	}
	if len(c.pending) > 0 {
		c.nextTimer = min(c.nextTimer, c.confirmedAt+leaderTimeout+time.Millisecond)
	}
	full := c.inFlightCount() >= maxInFlight
	for _, command := range c.pending {
		c.nextTimer = min(c.nextTimer, c.expiresAt(command))
		switch {
		case !c.leader.confirmed:
		case command.inFlight && c.isLost(command):
			c.nextTimer = min(c.nextTimer, command.sendAt)
		case !command.inFlight && !full:
			c.nextTimer = min(c.nextTimer, max(command.sendAt, now+time.Millisecond))
		}
	}
}

// jitter gives a span between two others.
func (c *Client) jitter(least, most time.Duration) time.Duration {
	return least + time.Duration(c.rng.Int64N(int64(most-least)+1))
}

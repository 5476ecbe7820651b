package leaderclient

import (
	"slices"
	"time"

	"sorrelloom/core/machine"
	"sorrelloom/core/state"
	"sorrelloom/core/status"
	"sorrelloom/core/wire"
)

var (
	// unconfirmedCodes are the codes that a replica may return without having confirmed its
	// leadership.
	unconfirmedCodes = []status.Code{status.ReplicasUnavailable, status.Internal}

	// inconclusiveCodes are the codes that show nothing about an earlier copy of the command.
	// Replies with these codes may be sent out of order.
	inconclusiveCodes = []status.Code{status.QueueFull, status.ReplicasUnavailable, status.Internal}

	// inconclusiveRetryCodes are the codes that, in reply to a later copy of a command, show
	// nothing about an earlier copy: a replica checks the route and the key before it checks
	// whether the command has already been accepted.
	inconclusiveRetryCodes = append([]status.Code{status.NoRoute, status.UnknownKey}, inconclusiveCodes...)
)

// handleReply processes a reply to a command or to a probe. Any reply of the primary shows that
// it is alive. A result that only a leader returns also confirms the replica's leadership, since
// a replica returns it only after it has confirmed that itself.
func (c *Client) handleReply(now time.Duration, from string, reply wire.CommandReply, out *machine.Output) {
	c.leader.setReplicas(reply.ReplicaList())
	if from == c.leader.primary {
		c.leader.lastHeardAt, c.leader.silentReplicas = now, 0
	}
	switch {
	case reply.Received:
		c.confirmLeader(now, from)
		return
	case reply.Result.Code == status.NotPrimary || reply.Result.Code == status.ShuttingDown:
		c.handleRejection(now, from, &reply)
		return
	case !slices.Contains(unconfirmedCodes, reply.Result.Code):
		c.leadershipConfirmed(now, from)
	}
	if c.probes.handleReply(reply) && from == c.leader.primary {
		c.sends.noteProbeAnswered(now, c.probes.lastAnswered.sendIndex)
		c.noteConfigVersion(reply.Result.ConfigVersion, out)
		return
	}
	c.completeCommand(now, from, reply, out)
}

// noteConfigVersion logs the first answer that names a newer configuration version.
func (c *Client) noteConfigVersion(version uint64, out *machine.Output) {
	if version > c.configVersion {
		c.configVersion = version
		out.Log("config_version_seen", "version", version, "primary", c.leader.primary)
	}
}

// completeCommand answers the pending command that a reply belongs to, if any.
func (c *Client) completeCommand(now time.Duration, from string, reply wire.CommandReply, out *machine.Output) {
	index, ok := c.find(reply.ID)
	if !ok {
		return
	}
	command := c.pending[index]
	c.pending = slices.Delete(c.pending, index, index+1)
	code := reply.Result.Code
	if from == c.leader.primary && command.inFlight && !slices.Contains(inconclusiveCodes, code) {
		c.sends.noteAnswered(command.priority(), command.sendIndex)
		c.latency.observe(now - command.sentAt)
	}
	retried := command.sendCount > 1 && !state.IsReadOnly(command.command.Kind)
	if retried && slices.Contains(inconclusiveRetryCodes, code) {
		// An earlier copy may have been accepted, so the command was not rejected.
		reply.Result = unknownOutcome()
	}
	out.Respond(command.requestID, reply.Result)
}

// leadershipConfirmed processes a result that only a leader returns. If it comes from another
// replica than the primary, the client switches to that replica unless a leadership was
// confirmed within maxProbeInterval.
func (c *Client) leadershipConfirmed(now time.Duration, from string) {
	if from != c.leader.primary && now-c.confirmedAt >= maxProbeInterval {
		c.switchTo(now, from)
	}
	c.confirmLeader(now, from)
	c.everConfirmed, c.confirmedAt = true, now
	c.probes.postpone(now + c.jitter(minProbeInterval, maxProbeInterval))
	c.leader.triedReplicas, c.leader.redirects = 0, 0
}

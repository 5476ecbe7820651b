package feed

import (
	"slices"
	"time"

	"sorrelloom/core/machine"
	"sorrelloom/core/state"
	"sorrelloom/core/status"
	"sorrelloom/core/wire"
)

const (
	// retryInterval is how long to wait for the reply to a command before it is sent again.
	retryInterval = 800 * time.Millisecond
	// redirectDelay is the pause before a command or a subscription is sent to another
	// process after one has rejected it.
	redirectDelay = 60 * time.Millisecond
)

// CommandResult is the outcome of a submitted command.
type CommandResult struct {
	// ID is the command's ID, as Submit returned it.
	ID uint64
	// AppliedIndex is the log index up to which the primary had applied commands for this
	// result; 0 if no primary answered in time.
	AppliedIndex uint64
	Result       state.Result
}

// commandTable holds the commands that have not been answered, by ID.
type commandTable struct {
	lastID  uint64
	pending map[uint64]pendingCommand
}

type pendingCommand struct {
	request  wire.CommandRequest
	sentAt   time.Duration
	retryAt  time.Duration
	deadline time.Duration
}

// retryAllAt sets the time at which all pending commands are sent again.
func (t *commandTable) retryAllAt(at time.Duration) {
	for id, command := range t.pending {
		command.retryAt = at
		t.pending[id] = command
	}
}

// sortedIDs returns the IDs of the pending commands in ascending order.
func (t *commandTable) sortedIDs() []uint64 {
	ids := make([]uint64, 0, len(t.pending))
	for id := range t.pending {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return ids
}

// Submit sends a command to the primary and returns its ID. Receive or HandleTimers
// returns the CommandResult with this ID once the primary has answered or the timeout
// has passed.
func (r *ReadReplica) Submit(
	now time.Duration, command state.Command, timeout time.Duration, out *machine.Output,
) uint64 {
	r.commands.lastID++
	id := r.commands.lastID
	pending := pendingCommand{request: wire.CommandRequest{ID: id, Command: command}, deadline: now + timeout}
	r.commands.pending[id] = r.sendCommand(now, pending, out)
	return id
}

// sendCommand sends a command to the replica that is assumed to be the primary, if any
// replica is known, and returns the command with the time of its next attempt.
func (r *ReadReplica) sendCommand(now time.Duration, pending pendingCommand, out *machine.Output) pendingCommand {
	if r.primary == "" {
		r.selectNextReplica()
	}
	pending.sentAt = now
	if r.primary == "" {
		pending.retryAt = now + redirectDelay
		return pending
	}
	out.Send(r.primary, wire.KindCommand, pending.request)
	pending.retryAt = now + retryInterval
	return pending
}

// handleCommandReply completes a command, or schedules a retry at another replica if
// the one that answered is not the primary.
func (r *ReadReplica) handleCommandReply(now time.Duration, from string, reply wire.CommandReply) []CommandResult {
	pending, ok := r.commands.pending[reply.ID]
	if !ok {
		return nil
	}
	if reply.Result.Code == status.NotPrimary {
		r.redirect(from, reply.Primary)
		pending.retryAt = now + redirectDelay
		r.commands.pending[reply.ID] = pending
		return nil
	}
	delete(r.commands.pending, reply.ID)
	return []CommandResult{{ID: reply.ID, AppliedIndex: reply.AppliedIndex, Result: reply.Result}}
}

// retryCommands sends the commands again whose retry is due, in the order of their IDs,
// and returns ReplicasUnavailable for those whose deadline has passed.
func (r *ReadReplica) retryCommands(now time.Duration, out *machine.Output) []CommandResult {
	var results []CommandResult
	for _, id := range r.commands.sortedIDs() {
		pending := r.commands.pending[id]
		switch {
		case now >= pending.deadline:
			delete(r.commands.pending, id)
			results = append(results, CommandResult{ID: id, Result: state.Result{
				Code:       status.ReplicasUnavailable,
				Reason:     "no leader answered in time; the request may still take effect",
				RetryAfter: time.Second,
			}})
		case now >= pending.retryAt:
			if now-pending.sentAt >= retryInterval && now-r.confirmedAt > retryInterval {
				r.selectNextReplica()
			}
			r.commands.pending[id] = r.sendCommand(now, pending, out)
		}
	}
	return results
}

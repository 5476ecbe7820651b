package replica

import (
	"slices"
	"time"

	"sorrelloom/core/machine"
	"sorrelloom/core/state"
	"sorrelloom/core/status"
	"sorrelloom/core/wire"
)

const (
	// maxHeldCommands bounds the commands that are held until a starting primary serves.
	maxHeldCommands = 1024
	// holdTimeout is how long a command is held before it is rejected.
	holdTimeout = 500 * time.Millisecond
)

// commandQueue contains the commands that have not been replied to yet, and the replies for
// the same process.
type commandQueue struct {
	// pending commands were executed and wait for their commit, in log order.
	pending []pendingReply
	// held commands arrived before the primary serves. They are not rejected, because their
	// senders would then all send all their open requests to the other members at once.
	held []heldCommand
	// local replies are for commands that the same process submitted.
	local []*wire.CommandReply
}

// pendingReply is sent once its index is committed and all backups have acknowledged the
// message with its sendID or a newer one.
type pendingReply struct {
	to         string // empty for a command submitted by the same process
	body       *wire.CommandReply
	index      uint64
	sendID     uint64
	receivedAt time.Duration
}

// heldCommand is a command that arrived before the primary serves.
type heldCommand struct {
	from       string
	body       wire.CommandRequest
	receivedAt time.Duration
}

// reply sends a command's reply, or stores it if the same process submitted the command.
func (q *commandQueue) reply(to string, body *wire.CommandReply, out *machine.Output) {
	if to == "" {
		q.local = append(q.local, body)
		return
	}
	out.Send(to, wire.KindCommandReply, *body)
}

// isPending reports whether a command of a sender waits for its commit.
func (q *commandQueue) isPending(from string, id uint64) bool {
	return slices.ContainsFunc(q.pending, func(p pendingReply) bool { return p.to == from && p.body.ID == id })
}

// oldestAge returns how long the oldest pending command has waited for its commit, or 0 if
// there is none. Since commits are in order, a new command is expected to take at least as
// long.
func (q *commandQueue) oldestAge(now time.Duration) time.Duration {
	if len(q.pending) == 0 {
		return 0
	}
	return now - q.pending[0].receivedAt
}

// newestSendID returns the ID of the message that the newest pending reply waits for, or 0 if
// there is none.
func (q *commandQueue) newestSendID() uint64 {
	if len(q.pending) == 0 {
		return 0
	}
	return q.pending[len(q.pending)-1].sendID
}

// release sends the replies that are now committed and confirmed, in log order.
func (q *commandQueue) release(commitIndex, ackedSendID uint64, out *machine.Output) {
	count := 0
	for ; count < len(q.pending); count++ {
		p := q.pending[count]
		if p.index > commitIndex || p.sendID > ackedSendID {
			break
		}
		q.reply(p.to, p.body, out)
	}
	clear(q.pending[:count])
	q.pending = q.pending[count:]
}

// Backlogged reports whether so many commands wait for their commit that the same process
// should submit no more.
func (r *Replica) Backlogged() bool { return len(r.commands.pending) > maxPendingCommands/4 }

// Submit executes a command of the same process; TakeLocalReplies returns its reply.
func (r *Replica) Submit(now time.Duration, id uint64, cmd state.Command, out *machine.Output) {
	r.handleCommand(now, "", wire.CommandRequest{ID: id, Command: cmd}, out)
}

// HasLocalReplies reports whether TakeLocalReplies has replies to return.
func (r *Replica) HasLocalReplies() bool { return len(r.commands.local) > 0 }

// TakeLocalReplies returns and removes the replies to submitted commands.
func (r *Replica) TakeLocalReplies() []*wire.CommandReply {
	replies := r.commands.local
	r.commands.local = nil
	return replies
}

// handleCommand executes, holds or rejects a command. It drops one whose deadline has passed,
// and a retry of one that is still pending.
func (r *Replica) handleCommand(now time.Duration, from string, b wire.CommandRequest, out *machine.Output) {
	if b.Command.Kind == state.KindHeartbeat {
		r.NoteWorkerHeard(now)
	}
	// A stopping primary accepts no commands. If new ones kept being replicated, the next
	// primary would never have all of them, and leadership could not be handed over.
	if !r.LeadershipConfirmed(now) || r.stopping {
		if !r.holdCommand(now, from, b) {
			r.commands.reply(from, r.notPrimaryReply(b.ID), out)
		}
		return
	}
	if r.deadlinePassed(now, b) || b.Retry && r.commands.isPending(from, b.ID) {
		return
	}
	if reason, overloaded := r.overloaded(now, b); overloaded {
		r.rejectQueueFull(from, b.ID, reason, max(minRetryAfter, r.commands.oldestAge(now)), out)
		return
	}
	if retryAfter, rejected := r.rejectNewJob(now, b); rejected {
		r.rejectQueueFull(from, b.ID, "more comes than the primary can do", retryAfter, out)
		return
	}
	if localOnly(b.Command) && from != "" {
		out.Send(from, wire.KindCommandReply, wire.CommandReply{ID: b.ID, Result: state.Result{
			Code: status.Malformed, Reason: "only the primary itself sends this",
		}})
		return
	}
	r.executeAndAwaitCommit(now, from, b, out)
}

// rejectQueueFull rejects a command that may be retried after the given time.
func (r *Replica) rejectQueueFull(
	from string, id uint64, reason string, retryAfter time.Duration, out *machine.Output,
) {
	r.commands.reply(from, &wire.CommandReply{ID: id, Result: state.Result{
		Code: status.QueueFull, Reason: reason, RetryAfter: retryAfter,
	}}, out)
}

// executeAndAwaitCommit executes a command. Its reply waits until all commands up to this
// point are committed and all backups have acknowledged a message that is sent after it. The
// latter makes reads linearizable: it proves that no other primary has served until then.
func (r *Replica) executeAndAwaitCommit(now time.Duration, from string, b wire.CommandRequest, out *machine.Output) {
	body := &wire.CommandReply{ID: b.ID, Result: r.execute(now, b.Command)}
	body.AppliedIndex = r.log.position().Index
	if b.Command.Kind == state.KindChangeConfig {
		logConfigChange(b, body, out)
	}
	if b.Command.Kind == state.KindConfirmLeadership {
		r.sendReceived(from, b.ID, out)
		body.Result.Time, body.Result.ConfirmedIndex = r.StateTime(now), body.AppliedIndex
		body.Replicas, body.ReplicasEpoch = r.MemberAddresses(), r.view().Epoch
	}
	r.commands.pending = append(r.commands.pending, pendingReply{
		to: from, body: body, index: body.AppliedIndex, sendID: r.replication.lastSendID + 1, receivedAt: now,
	})
}

// logConfigChange logs a configuration change and whether it was applied or rejected.
func logConfigChange(b wire.CommandRequest, reply *wire.CommandReply, out *machine.Output) {
	out.Log("config_change", "base", b.Command.ConfigChange.BaseVersion, "proposed", b.Command.ConfigChange.Version,
		"code", reply.Result.Code.String(), "version", reply.Result.ConfigVersion, "index", reply.AppliedIndex)
}

// localOnly reports whether a command may be submitted only by the scheduler in the
// primary's own process.
func localOnly(cmd state.Command) bool {
	switch cmd.Kind {
	case state.KindTakeLeadership, state.KindRenewWorkers:
		return true
	case state.KindHeartbeat:
		return cmd.Heartbeat.Delta
	}
	return false
}

// execute runs a read-only command on the state, or applies and logs any other.
func (r *Replica) execute(now time.Duration, cmd state.Command) state.Result {
	if state.IsReadOnly(cmd.Kind) {
		return r.log.store.Read(cmd)
	}
	return r.apply(now, cmd)
}

// apply gives a command its position and time, and appends it to the log.
func (r *Replica) apply(now time.Duration, cmd state.Command) state.Result {
	cmd.LogPosition = state.LogPosition{Epoch: r.view().Epoch, Index: r.log.position().Index + 1}
	cmd.Time = r.StateTime(now)
	if cmd.Kind == state.KindAcceptJob && cmd.Job.Repeat.Count > 0 {
		cmd.WallTime = r.wallClock
	}
	return r.appendCommand(state.Encode(cmd))
}

// appendCommand applies a command and queues it for the log on disk.
func (r *Replica) appendCommand(cmd state.EncodedCommand) state.Result {
	interrupted := r.config.Phases.Enter(machine.PhaseApply)
	defer r.config.Phases.Enter(interrupted)
	r.disk.appendCommand(cmd.Encoded)
	return r.log.append(cmd)
}

// sendReceived acknowledges at once that a request to confirm the leadership has arrived. The
// confirmation itself waits for the disks. The status code is that of an unconfirmed
// leadership, for senders that do not know the field Received.
func (r *Replica) sendReceived(to string, id uint64, out *machine.Output) {
	if to == "" {
		return
	}
	out.Send(to, wire.KindCommandReply, wire.CommandReply{ID: id, Received: true, Result: state.Result{
		Code: status.ReplicasUnavailable, Reason: "the question has arrived; its answer waits for the disks",
	}})
}

// deadlinePassed reports whether the sender no longer waits for the command's reply. The
// deadline is in state time, so time spent in queues before this process counts.
func (r *Replica) deadlinePassed(now time.Duration, b wire.CommandRequest) bool {
	return b.Deadline > 0 && r.StateTime(now) >= b.Deadline
}

// overloaded reports whether a command must be rejected, and why: too many commands wait for
// their commit, or the oldest has already waited longer than this one may take. Urgent
// commands, the calls of operators, are few and always admitted.
func (r *Replica) overloaded(now time.Duration, b wire.CommandRequest) (reason string, overloaded bool) {
	if b.Urgent {
		return "", false
	}
	if len(r.commands.pending) > maxPendingCommands {
		return "too many writes are under way", true
	}
	left := b.Timeout
	if b.Deadline > 0 {
		left = min(left, b.Deadline-r.StateTime(now))
	}
	tooLate := b.Timeout > 0 && r.commands.oldestAge(now) >= left
	return "what is under way takes longer than this request has time", tooLate
}

// notPrimaryReply returns a rejection that names the primary, if it is another replica, and
// the members.
func (r *Replica) notPrimaryReply(id uint64) *wire.CommandReply {
	reply := &wire.CommandReply{
		ID:            id,
		Result:        state.Result{Code: status.NotPrimary, Reason: "this replica is not the primary now"},
		Replicas:      r.MemberAddresses(),
		ReplicasEpoch: r.view().Epoch,
	}
	if !r.isPrimary() {
		reply.Primary = r.view().Primary.Address
	}
	return reply
}

// holdCommand holds a command if this replica is a primary that is about to serve, and reports
// whether it did.
func (r *Replica) holdCommand(now time.Duration, from string, body wire.CommandRequest) bool {
	if from == "" || r.stopping || !r.Starting() || len(r.commands.held) >= maxHeldCommands {
		return false
	}
	r.commands.held = append(r.commands.held, heldCommand{from, body, now})
	return true
}

// executeHeld handles the held commands now that this replica serves.
func (r *Replica) executeHeld(now time.Duration, out *machine.Output) {
	held := r.commands.held
	r.commands.held = nil
	for _, h := range held {
		r.handleCommand(now, h.from, h.body, out)
	}
}

// rejectExpired rejects the commands that were held for longer than holdTimeout.
func (r *Replica) rejectExpired(now time.Duration, out *machine.Output) {
	held := r.commands.held
	count := 0
	for count < len(held) && now-held[count].receivedAt > holdTimeout {
		r.commands.reply(held[count].from, r.notPrimaryReply(held[count].body.ID), out)
		count++
	}
	r.commands.held = held[count:]
}

// rejectAll rejects all pending and held commands, since another replica leads now.
func (r *Replica) rejectAll(out *machine.Output) {
	for _, p := range r.commands.pending {
		r.commands.reply(p.to, r.notPrimaryReply(p.body.ID), out)
	}
	for _, h := range r.commands.held {
		r.commands.reply(h.from, r.notPrimaryReply(h.body.ID), out)
	}
	r.commands.pending, r.commands.held = nil, nil
}

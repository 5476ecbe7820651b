package leaderclient

import (
	"cmp"
	"slices"
	"time"

	"sorrelloom/core/machine"
	"sorrelloom/core/state"
	"sorrelloom/core/status"
	"sorrelloom/core/wire"
)

const (
	// maxInFlight bounds the number of commands that were sent to the leader and not answered.
	maxInFlight = 256
	// maxUnsentWait is how long a command that was never sent waits for a leader.
	maxUnsentWait = 1200 * time.Millisecond
	// maxSpread is the time over which pending commands are sent to a new leader, and
	// maxSendSpacing the maximum time between two of them, without jitter.
	maxSpread      = 200 * time.Millisecond
	maxSendSpacing = time.Millisecond
	// A command that is known to be lost is sent again minRetryDelay after it was last sent.
	// The delay doubles with each further attempt, up to maxRetryDelay, and is reduced by a
	// jitter of up to a quarter.
	minRetryDelay     = 100 * time.Millisecond
	maxRetryDelay     = 800 * time.Millisecond
	maxRetryDoublings = 8
	// latencyWeight is the inverse of the weight of the newest latency in the moving average.
	latencyWeight = 8
)

// pendingCommand is an unanswered command.
type pendingCommand struct {
	id         uint64
	requestID  uint64
	command    state.Command
	enqueuedAt time.Duration
	deadline   time.Duration
	// sendAt is the earliest time at which the command is sent next.
	sendAt    time.Duration
	sendCount int
	// inFlight says that the command was sent to the current primary, last at sentAt with
	// the index sendIndex in the send log.
	inFlight  bool
	sentAt    time.Duration
	sendIndex uint64
}

// priority is the priority with which a leader processes its queued commands: a command
// overtakes those of lower priorities.
type priority int

const (
	// priorityChange is the priority of commands that change the state.
	priorityChange priority = iota
	// priorityRead is the priority of probes and of callers' reads.
	priorityRead
	// priorityUrgent is the priority of operators' commands and of the leadership
	// confirmation that precedes one.
	priorityUrgent
	priorityCount
)

func (c *pendingCommand) priority() priority {
	kind := c.command.Kind
	switch {
	case state.IsOperatorCommand(kind) || kind == state.KindConfirmLeadership:
		return priorityUrgent
	case state.IsReadOnly(kind):
		return priorityRead
	}
	return priorityChange
}

// byDeadline orders commands by their deadlines, then by their IDs.
func byDeadline(a, b *pendingCommand) int {
	return cmp.Or(cmp.Compare(a.deadline, b.deadline), cmp.Compare(a.id, b.id))
}

// sendLog assigns an index to each message sent, commands and probes alike.
type sendLog struct {
	lastIndex uint64
	// highestAnswered are the highest indexes that the leader has answered, by priority. The
	// leader answers messages of the same priority in order, and those of higher priorities
	// earlier. So an unanswered message with a lower index and the same or a higher priority
	// is lost, or its answer is.
	highestAnswered [priorityCount]uint64
	// answeredProbes are the probes that the leader answered less than wire.MaxCommandWait ago.
	answeredProbes []answeredProbe
}

// answeredProbe is a probe that the leader has answered. Probes overtake changes, but the leader
// queues nothing for longer than wire.MaxCommandWait: a change sent before the probe has been
// processed or dropped by expiresAt.
type answeredProbe struct {
	sendIndex uint64
	expiresAt time.Duration
}

// next returns the index of the next message.
func (l *sendLog) next() uint64 {
	l.lastIndex++
	return l.lastIndex
}

// noteAnswered records that the leader has answered a message of a priority.
func (l *sendLog) noteAnswered(p priority, index uint64) {
	l.highestAnswered[p] = max(l.highestAnswered[p], index)
}

// noteAllLost records that all unanswered messages sent so far count as lost.
func (l *sendLog) noteAllLost() {
	l.noteAnswered(priorityChange, l.lastIndex)
	l.answeredProbes = nil
}

// noteProbeAnswered records that the leader has answered a probe.
func (l *sendLog) noteProbeAnswered(now time.Duration, index uint64) {
	l.noteAnswered(priorityRead, index)
	l.answeredProbes = append(l.answeredProbes, answeredProbe{index, now + wire.MaxCommandWait})
}

// expire records that changes sent before an answered probe are no longer queued at the leader
// once the probe expires.
func (l *sendLog) expire(now time.Duration) {
	for len(l.answeredProbes) > 0 && now >= l.answeredProbes[0].expiresAt {
		l.noteAnswered(priorityChange, l.answeredProbes[0].sendIndex)
		l.answeredProbes = l.answeredProbes[1:]
	}
}

// isLost reports whether the leader has answered a message that was sent after a command and
// could not overtake it.
func (l *sendLog) isLost(command *pendingCommand) bool {
	for p := priorityChange; p <= command.priority(); p++ {
		if command.sendIndex < l.highestAnswered[p] {
			return true
		}
	}
	return false
}

// latencyEstimate is a moving average of the time from sending a command to its answer.
type latencyEstimate struct{ mean time.Duration }

func (e *latencyEstimate) observe(latency time.Duration) {
	if e.mean == 0 {
		e.mean = latency
		return
	}
	e.mean += (latency - e.mean) / latencyWeight
}

// find returns the index of a pending command.
func (c *Client) find(id uint64) (int, bool) {
	return slices.BinarySearchFunc(c.pending, id, func(command *pendingCommand, id uint64) int {
		return cmp.Compare(command.id, id)
	})
}

// inFlightCount returns the number of commands in flight.
func (c *Client) inFlightCount() (count int) {
	for _, command := range c.pending {
		if command.inFlight {
			count++
		}
	}
	return count
}

// expectedWait returns how long a new command is expected to wait for its answer, 0 if it
// can be sent at once.
func (c *Client) expectedWait() time.Duration {
	if len(c.pending) < maxInFlight {
		return 0
	}
	return c.latency.mean * time.Duration(1+len(c.pending)/maxInFlight)
}

// spreadSends schedules the sends of all pending commands to a newly confirmed leader, the
// earliest deadline first.
func (c *Client) spreadSends(now time.Duration) {
	spacing := min(maxSendSpacing, maxSpread/time.Duration(max(1, len(c.pending))))
	for position, command := range slices.SortedFunc(slices.Values(c.pending), byDeadline) {
		command.sendAt = now + spacing*time.Duration(position)
		if position > 0 {
			command.sendAt += c.jitter(0, spacing)
		}
	}
}

// sendDue sends the commands that are due, the earliest deadline first: new ones as far as
// maxInFlight allows, and those that are known to be lost.
func (c *Client) sendDue(now time.Duration, out *machine.Output) {
	if !c.leader.confirmed || c.leader.switchAt > 0 {
		return
	}
	free := maxInFlight - c.inFlightCount()
	var due []*pendingCommand
	for _, command := range c.pending {
		isNew := !command.inFlight && free > 0
		if now >= command.sendAt && (isNew || command.inFlight && c.sends.isLost(command)) {
			due = append(due, command)
		}
	}
	slices.SortFunc(due, byDeadline)
	for _, command := range due {
		if !command.inFlight {
			if free <= 0 {
				continue
			}
			free--
		}
		c.send(now, command, out)
	}
}

// send sends a command to the leader, with its deadline in state time if that is known.
func (c *Client) send(now time.Duration, command *pendingCommand, out *machine.Output) {
	request := wire.CommandRequest{
		ID:      command.id,
		Timeout: command.deadline - now,
		Retry:   command.sendCount > 0,
		Urgent:  command.priority() == priorityUrgent,
		Query:   command.priority() == priorityRead,
		Command: command.command,
	}
	if stateTime, known := c.probes.stateTime(now); known {
		request.Deadline = stateTime + request.Timeout
	}
	out.Send(c.leader.primary, wire.KindCommand, request)
	delay := min(minRetryDelay<<min(command.sendCount, maxRetryDoublings), maxRetryDelay)
	command.sendAt = now + c.jitter(delay*3/4, delay)
	command.sendCount++
	command.inFlight, command.sentAt, command.sendIndex = true, now, c.sends.next()
}

// expiresAt returns when the client gives up on a command without a reply and answers it
// itself. A command that was never sent expires early enough for its caller to try elsewhere.
func (c *Client) expiresAt(command *pendingCommand) time.Duration {
	if command.sendCount > 0 {
		return command.deadline
	}
	if c.leader.confirmed {
		return command.deadline - min(c.latency.mean, (command.deadline-command.enqueuedAt)/2)
	}
	return min(command.deadline, command.enqueuedAt+maxUnsentWait)
}

// expirePending answers the expired commands, and all commands if the leader is lost.
func (c *Client) expirePending(now time.Duration, out *machine.Output) {
	lost := c.leaderLost(now)
	kept := c.pending[:0]
	for _, command := range c.pending {
		if !lost && now < c.expiresAt(command) {
			kept = append(kept, command)
			continue
		}
		out.Respond(command.requestID, c.expiredResult(command))
	}
	clear(c.pending[len(kept):])
	c.pending = kept
}

// expiredResult returns the result of an expired command. It is a rejection only for a command
// that was never sent, since that will never take effect.
func (c *Client) expiredResult(command *pendingCommand) state.Result {
	switch {
	case command.sendCount > 0:
		return unknownOutcome()
	case c.leader.confirmed:
		return rejection(status.QueueFull, "too much waits for the primary")
	}
	return rejection(status.ReplicasUnavailable, "no leader could be asked")
}

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
	// maxInFlight is how many commands may be without an answer at the leader.
	maxInFlight = 256
	// maxUnsentWait is how long a command that was never sent waits for a leader.
	maxUnsentWait = 1200 * time.Millisecond
	// maxSpread is the time over which pending commands are sent to a new leader, and
	// maxSendSpacing the most that lies between two of them.
	maxSpread      = 200 * time.Millisecond
	maxSendSpacing = time.Millisecond
	// A command that is known to be lost is sent again after minRetryDelay, and after
	// twice the time with each further attempt, up to maxRetryDelay.
	minRetryDelay     = 100 * time.Millisecond
	maxRetryDelay     = 800 * time.Millisecond
	maxRetryDoublings = 8
	// latencyWeight is the inverse of the weight of the newest latency in the mean.
	latencyWeight = 8
)

// pendingCommand is a command without an answer.
type pendingCommand struct {
	id         uint64
	requestID  uint64
	command    state.Command
	enqueuedAt time.Duration
	deadline   time.Duration
	// sendAt is when the command is sent for the first time, or at the earliest again.
	sendAt    time.Duration
	sendCount int
	// inFlight says that it was sent to the replica now taken for the leader, last at
	// sentAt and as number sendIndex.
	inFlight  bool
	sentAt    time.Duration
	sendIndex uint64
}

// priority is the order in which a leader takes up what waits: a command overtakes those of
// lower priorities.
type priority int

const (
	// priorityChange is that of commands that change the state.
	priorityChange priority = iota
	// priorityQuestion is that of probes, and of questions of callers.
	priorityQuestion
	// priorityUrgent is that of an operator's calls, and of the confirmation that one
	// begins with.
	priorityUrgent
	priorityCount
)

func (c *pendingCommand) priority() priority {
	kind := c.command.Kind
	switch {
	case state.IsOperatorCommand(kind) || kind == state.KindConfirmLeadership:
		return priorityUrgent
	case state.IsReadOnly(kind):
		return priorityQuestion
	}
	return priorityChange
}

// byDeadline orders commands by their deadlines, then by their IDs.
func byDeadline(a, b *pendingCommand) int {
	return cmp.Or(cmp.Compare(a.deadline, b.deadline), cmp.Compare(a.id, b.id))
}

// sendLog numbers the messages sent, commands and probes alike.
type sendLog struct {
	last uint64
	// answered are the highest numbers of each priority that the leader answered. Since it
	// answers in order but for the priorities, a message of a lower number and of the same
	// priority or a higher one that has no answer is lost, or its answer is.
	answered [priorityCount]uint64
	// expiring are the probes that the leader answered less than wire.MaxCommandWait ago.
	expiring []answeredProbe
}

// answeredProbe is a probe that the leader has answered. It overtakes changes, but the leader
// keeps nothing waiting for longer than wire.MaxCommandWait: whatever was sent before the
// probe is taken up or dropped by expiresAt.
type answeredProbe struct {
	sendIndex uint64
	expiresAt time.Duration
}

// next returns the number of the next message.
func (l *sendLog) next() uint64 {
	l.last++
	return l.last
}

// noteAnswered notes that the leader has answered a message of a priority.
func (l *sendLog) noteAnswered(p priority, index uint64) { l.answered[p] = max(l.answered[p], index) }

// noteAllLost notes that nothing that was sent so far will be answered.
func (l *sendLog) noteAllLost() {
	l.noteAnswered(priorityChange, l.last)
	l.expiring = nil
}

// noteProbeAnswered notes that the leader has answered a probe.
func (l *sendLog) noteProbeAnswered(now time.Duration, index uint64) {
	l.noteAnswered(priorityQuestion, index)
	l.expiring = append(l.expiring, answeredProbe{index, now + wire.MaxCommandWait})
}

// expire notes that the changes sent before answered probes wait at the leader no longer.
func (l *sendLog) expire(now time.Duration) {
	for len(l.expiring) > 0 && now >= l.expiring[0].expiresAt {
		l.noteAnswered(priorityChange, l.expiring[0].sendIndex)
		l.expiring = l.expiring[1:]
	}
}

// isLost reports whether the leader has answered something that was sent after a command
// and could not overtake it.
func (l *sendLog) isLost(command *pendingCommand) bool {
	for p := priorityChange; p <= command.priority(); p++ {
		if command.sendIndex < l.answered[p] {
			return true
		}
	}
	return false
}

// latencyEstimate is the moving average of the time from sending to answer.
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

// inFlightCount counts the commands at the leader.
func (c *Client) inFlightCount() (count int) {
	for _, command := range c.pending {
		if command.inFlight {
			count++
		}
	}
	return count
}

// expectedWait returns how long a new command is expected to wait for its answer, 0
// while it would be sent at once.
func (c *Client) expectedWait() time.Duration {
	if len(c.pending) < maxInFlight {
		return 0
	}
	return c.latency.mean * time.Duration(1+len(c.pending)/maxInFlight)
}

// spreadSends sets when each pending command is sent to a leader that was just
// confirmed, the earliest deadline first.
func (c *Client) spreadSends(now time.Duration) {
	spacing := min(maxSendSpacing, maxSpread/time.Duration(max(1, len(c.pending))))
	for position, command := range slices.SortedFunc(slices.Values(c.pending), byDeadline) {
		command.sendAt = now + spacing*time.Duration(position)
		if position > 0 {
			command.sendAt += c.jitter(0, spacing)
		}
	}
}

// sendDue sends the commands that are due, the earliest deadline first: new ones while
// there is room at the leader, and those that are known to be lost.
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

// send sends a command to the leader, with its deadline by the time of the replicated
// state if that is known.
func (c *Client) send(now time.Duration, command *pendingCommand, out *machine.Output) {
	request := wire.CommandRequest{
		ID:       command.id,
		Timeout:  command.deadline - now,
		Retry:    command.sendCount > 0,
		Urgent:   command.priority() == priorityUrgent,
		Question: command.priority() == priorityQuestion,
		Command:  command.command,
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

// expiresAt returns when a command is answered although no replica has answered it.
// One that was not sent expires early enough for its caller to try elsewhere.
func (c *Client) expiresAt(command *pendingCommand) time.Duration {
	if command.sendCount > 0 {
		return command.deadline
	}
	if c.leader.confirmed {
		return command.deadline - min(c.latency.mean, (command.deadline-command.enqueuedAt)/2)
	}
	return min(command.deadline, command.enqueuedAt+maxUnsentWait)
}

// expirePending answers the commands that can't be served any more.
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

// expiredResult returns the result of an expired command: a command that was never
// sent will never take effect.
func (c *Client) expiredResult(command *pendingCommand) state.Result {
	switch {
	case command.sendCount > 0:
		return unknownOutcome()
	case c.leader.confirmed:
		return rejection(status.QueueFull, "too much waits for the primary")
	}
	return rejection(status.ReplicasUnavailable, "no leader could be asked")
}

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
	// window is how many commands may be without an answer at the primary.
	maxInFlight = 256
	// spreadMost is the span over which open commands go to a new primary, and
	// spreadEach the most that lies between two of them.
	maxSpread      = 200 * time.Millisecond
	maxSendSpacing = time.Millisecond
	// A command that is known to be lost is sent again after resendLeast, and after
	// twice the span each further time, up to resendMost.
	minRetryDelay = 100 * time.Millisecond
	maxRetryDelay = 800 * time.Millisecond
	// proveLeast and proveMost bound the pause between two questions for a proof.
	minProbeInterval = 400 * time.Millisecond
	maxProbeInterval = 500 * time.Millisecond
	// proveAlways is how long answers to commands may stand for a proof; the ledger's
	// time comes with proofs only.
	probeAtLeastEvery = 5 * time.Second
	// proofsMax is how many unanswered questions are kept.
	maxOpenProbes = 8
	// ledgerTimeFor is how long the ledger's time by a proof is reckoned on with, and
	// driftPart the part by which two clocks may run apart.
	stateTimeTTL      = 10 * time.Second
	clockDriftDivisor = 50
	// paceShare is the weight of the newest answer in the mean time to an answer.
	latencyWeight = 8
)

// request is a command without an answer. Once sending, it is at the primary.
type pendingCommand struct {
	id         uint64
	key        uint64
	command    state.Command
	enqueuedAt time.Duration
	deadline   time.Duration
	sendAt     time.Duration
	sendCount  int
	inFlight   bool
	sentAt     time.Duration
	sendIndex  uint64
}

// pace is the mean time from the sending of a command to its answer.
type latencyEstimate struct{ mean time.Duration }

func (p *latencyEstimate) observe(took time.Duration) {
	if p.mean == 0 {
		p.mean = took
		return
	}
	p.mean += (took - p.mean) / latencyWeight
}

func (c *Client) find(id uint64) (int, bool) {
	return slices.BinarySearchFunc(c.pending, id, func(pending *pendingCommand, id uint64) int { return cmp.Compare(pending.id, id) })
}

// sending counts the commands at the primary.
func (c *Client) inFlightCount() (count int) {
	for _, command := range c.pending {
		if command.inFlight {
			count++
		}
	}
	return count
}

// queueTime is how long a new command is expected to take, once the window is full.
func (c *Client) expectedWait() time.Duration {
	if len(c.pending) < maxInFlight {
		return 0
	}
	return c.latency.mean * time.Duration(1+len(c.pending)/maxInFlight)
}

// byTimeLeft orders requests so that the one with the least time left comes first.
func byTimeLeft(a, b *pendingCommand) int {
	return cmp.Or(cmp.Compare(a.deadline, b.deadline), cmp.Compare(a.id, b.id))
}

// spread sets when each open command goes to a primary that was just confirmed.
func (c *Client) spreadSends(now time.Duration) {
	step := min(maxSendSpacing, maxSpread/time.Duration(max(1, len(c.pending))))
	for position, command := range slices.SortedFunc(slices.Values(c.pending), byTimeLeft) {
		command.sendAt = now + step*time.Duration(position)
		if position > 0 {
			command.sendAt += c.jitter(0, step)
		}
	}
}

// transmit sends what is due, the commands with the least time left first.
func (c *Client) sendDue(now time.Duration, out *machine.Output) {
	if !c.leader.confirmed || c.leader.switchAt > 0 {
		return
	}
	free := maxInFlight - c.inFlightCount()
	var due []*pendingCommand
	for _, command := range c.pending {
		waits := !command.inFlight && free > 0
		if now >= command.sendAt && (waits || command.inFlight && c.isLost(command)) {
			due = append(due, command)
		}
	}
	slices.SortFunc(due, byTimeLeft)
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

// isLost says whether the primary has answered what was sent after a command. It
// answers in order, so the command or its answer did not arrive.
func (c *Client) isLost(command *pendingCommand) bool { return command.sendIndex < c.answeredSend }

func (c *Client) send(now time.Duration, command *pendingCommand, out *machine.Output) {
	c.lastSend++
	body := wire.CommandRequest{ID: command.id, Timeout: command.deadline - now, Retry: command.sendCount > 0, Command: command.command}
	if stateTime, known := c.probes.stateTime(now); known {
		body.Deadline = stateTime + body.Timeout
	}
	out.Send(c.leader.primary, wire.KindCommand, body)
	wait := min(minRetryDelay<<min(command.sendCount, 8), maxRetryDelay)
	command.sendAt = now + c.jitter(wait*3/4, wait)
	command.sendCount++
	command.inFlight, command.sentAt, command.sendIndex = true, now, c.lastSend
}

// expiry is when a request is answered although no keeper has answered it.
func (c *Client) expiresAt(command *pendingCommand) time.Duration {
	if command.sendCount > 0 {
		return command.deadline
	}
	if c.leader.confirmed {
		return command.deadline - min(c.latency.mean, (command.deadline-command.enqueuedAt)/2)
	}
	return min(command.deadline, command.enqueuedAt+maxUnsentWait)
}

// expire answers what can no longer be served. What was never sent will never run.
func (c *Client) expirePending(now time.Duration, out *machine.Output) {
	lost := c.leaderLost(now)
	keep := c.pending[:0]
	for _, command := range c.pending {
		if !lost && now < c.expiresAt(command) {
			keep = append(keep, command)
			continue
		}
		out.Respond(command.key, c.expiredAnswer(command))
	}
	clear(c.pending[len(keep):])
	c.pending = keep
}

func (c *Client) expiredAnswer(command *pendingCommand) state.Result {
	switch {
	case command.sendCount > 0:
		return unknownOutcome()
	case c.leader.confirmed:
		return state.Result{Code: status.QueueFull, Reason: "too much waits for the primary", RetryAfter: retryAfter}
	}
	return state.Result{Code: status.ReplicasUnavailable, Reason: "no keeper could be asked", RetryAfter: retryAfter}
}

// proofs keeps the questions for a proof that are without an answer, and the
// ledger's time by the last proof.
type leadershipProbes struct {
	nextProbeAt time.Duration
	lastProbeAt time.Duration
	open        []probe
	last        probe
	// at is the ledger's time that the last proof gave; 0 is none.
	lastStateTime time.Duration
}

type probe struct {
	id        uint64
	sendIndex uint64
	sentAt    time.Duration
}

// reset asks for a proof at once; what was asked of another keeper counts no more.
func (p *leadershipProbes) reset(now time.Duration) { p.nextProbeAt, p.open = now, nil }

// answered takes the answer to a question, if it is one.
func (p *leadershipProbes) handleReply(b wire.CommandReply) bool {
	i := slices.IndexFunc(p.open, func(command probe) bool { return command.id == b.ID })
	if i < 0 || !b.Result.Code.IsSuccess() {
		return false
	}
	p.last, p.lastStateTime = p.open[i], b.Result.Time
	p.open = p.open[i+1:]
	return true
}

// ledgerTime is the ledger's time at most: the last proof's, and all that has
// passed since its question was sent.
func (p *leadershipProbes) stateTime(now time.Duration) (time.Duration, bool) {
	passed := now - p.last.sentAt
	return p.lastStateTime + passed + passed/clockDriftDivisor, p.lastStateTime > 0 && passed <= stateTimeTTL
}

// postpone puts the next question off, as an answer to a command proved as much.
func (p *leadershipProbes) postpone(to time.Duration) {
	p.nextProbeAt = min(to, p.lastProbeAt+probeAtLeastEvery)
}

// prove asks the keeper believed in whether it leads.
func (c *Client) probeLeader(now time.Duration, out *machine.Output) {
	if now < c.probes.nextProbeAt || c.leader.primary == "" {
		return
	}
	c.lastCommandID++
	c.lastSend++
	out.Send(c.leader.primary, wire.KindCommand, wire.CommandRequest{ID: c.lastCommandID, Command: state.Command{Kind: state.KindConfirmLeadership}})
	c.probes.open = append(c.probes.open, probe{id: c.lastCommandID, sendIndex: c.lastSend, sentAt: now})
	c.probes.open = c.probes.open[max(0, len(c.probes.open)-maxOpenProbes):]
	c.probes.lastProbeAt, c.probes.nextProbeAt = now, now+c.jitter(minProbeInterval, maxProbeInterval)
}

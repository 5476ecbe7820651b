package leaderclient

import (
	"slices"
	"time"

	"sorrelloom/core/machine"
	"sorrelloom/core/state"
	"sorrelloom/core/wire"
)

const (
	// minProbeInterval and maxProbeInterval bound the time between two probes.
	minProbeInterval = 400 * time.Millisecond
	maxProbeInterval = 500 * time.Millisecond
	// maxProbeGap is how long results of commands may postpone the next probe: only probes
	// return the time of the replicated state.
	maxProbeGap = 5 * time.Second
	// maxUnansweredProbes bounds the unanswered probes that are kept.
	maxUnansweredProbes = 8
	// stateTimeTTL is how long after a probe was sent the state time is extrapolated from
	// its answer. Two clocks may drift apart by 1/clockDriftDivisor of the time passed.
	stateTimeTTL      = 10 * time.Second
	clockDriftDivisor = 50
)

// leadershipProbes tracks the probes that ask the primary to confirm its leadership. Their
// answers also carry the time of the replicated state (state time).
type leadershipProbes struct {
	nextAt time.Duration
	lastAt time.Duration
	// unanswered are the unanswered probes, in the order in which they were sent.
	unanswered []probe
	// lastAnswered is the last probe that was answered successfully.
	lastAnswered probe
	// lastStateTime is the state time in the answer to it, 0 if there is none.
	lastStateTime time.Duration
}

type probe struct {
	id        uint64
	sendIndex uint64
	sentAt    time.Duration
}

// reset makes the next probe due at once and drops the unanswered ones, after a switch to
// another replica.
func (p *leadershipProbes) reset(now time.Duration) { p.nextAt, p.unanswered = now, nil }

// handleReply processes a successful answer to a probe, and reports whether the reply is one.
// Unanswered probes sent earlier are dropped.
func (p *leadershipProbes) handleReply(reply wire.CommandReply) bool {
	index := slices.IndexFunc(p.unanswered, func(open probe) bool { return open.id == reply.ID })
	if index < 0 || !reply.Result.Code.IsSuccess() {
		return false
	}
	p.lastAnswered, p.lastStateTime = p.unanswered[index], reply.Result.Time
	p.unanswered = p.unanswered[index+1:]
	return true
}

// stateTime returns an upper bound of the current state time: the one in the last answer, plus
// the time since its probe was sent, plus the possible clock drift.
func (p *leadershipProbes) stateTime(now time.Duration) (stateTime time.Duration, known bool) {
	passed := now - p.lastAnswered.sentAt
	return p.lastStateTime + passed + passed/clockDriftDivisor, p.lastStateTime > 0 && passed <= stateTimeTTL
}

// postpone delays the next probe after a result that confirms the leadership like a probe.
func (p *leadershipProbes) postpone(at time.Duration) { p.nextAt = min(at, p.lastAt+maxProbeGap) }

// probeLeader sends the primary a probe if one is due.
func (c *Client) probeLeader(now time.Duration, out *machine.Output) {
	if now < c.probes.nextAt || c.leader.primary == "" {
		return
	}
	c.lastCommandID++
	p := &c.probes
	p.unanswered = append(p.unanswered, probe{id: c.lastCommandID, sendIndex: c.sends.next(), sentAt: now})
	p.unanswered = p.unanswered[max(0, len(p.unanswered)-maxUnansweredProbes):]
	p.lastAt, p.nextAt = now, now+c.jitter(minProbeInterval, maxProbeInterval)
	out.Send(c.leader.primary, wire.KindCommand, wire.CommandRequest{
		ID: c.lastCommandID, Query: true, Command: state.Command{Kind: state.KindConfirmLeadership},
	})
}

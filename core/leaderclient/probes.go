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
	// probeAtLeastEvery is for how long results of commands may replace probes: only
	// probes bring the time of the replicated state.
	probeAtLeastEvery = 5 * time.Second
	// maxOpenProbes is how many unanswered probes are kept.
	maxOpenProbes = 8
	// stateTimeTTL is for how long after a probe the time of the replicated state is
	// extrapolated, and clockDriftDivisor the part by which two clocks may drift apart.
	stateTimeTTL      = 10 * time.Second
	clockDriftDivisor = 50
)

// leadershipProbes ask the replica taken for the leader to confirm its leadership,
// and give the time of the replicated state.
type leadershipProbes struct {
	nextAt time.Duration
	lastAt time.Duration
	// open are the unanswered probes, in the order in which they were sent.
	open []probe
	// last is the probe answered last.
	last probe
	// lastStateTime is the state's time by the last answer, 0 if there is none.
	lastStateTime time.Duration
}

type probe struct {
	id        uint64
	sendIndex uint64
	sentAt    time.Duration
}

// reset has a replica probed at once. Probes of other replicas don't count any more.
func (p *leadershipProbes) reset(now time.Duration) { p.nextAt, p.open = now, nil }

// handleReply takes the answer to a probe, and reports whether it is one.
func (p *leadershipProbes) handleReply(reply wire.CommandReply) bool {
	index := slices.IndexFunc(p.open, func(open probe) bool { return open.id == reply.ID })
	if index < 0 || !reply.Result.Code.IsSuccess() {
		return false
	}
	p.last, p.lastStateTime = p.open[index], reply.Result.Time
	p.open = p.open[index+1:]
	return true
}

// stateTime returns an upper bound of the replicated state's time: that of the last
// probe, and all that has passed since it was sent by the faster of two clocks.
func (p *leadershipProbes) stateTime(now time.Duration) (stateTime time.Duration, known bool) {
	passed := now - p.last.sentAt
	return p.lastStateTime + passed + passed/clockDriftDivisor, p.lastStateTime > 0 && passed <= stateTimeTTL
}

// postpone puts the next probe off, after a result that confirms as much.
func (p *leadershipProbes) postpone(at time.Duration) { p.nextAt = min(at, p.lastAt+probeAtLeastEvery) }

// probeLeader asks the replica taken for the leader whether it leads, if that is due.
func (c *Client) probeLeader(now time.Duration, out *machine.Output) {
	if now < c.probes.nextAt || c.leader.primary == "" {
		return
	}
	c.lastCommandID++
	p := &c.probes
	p.open = append(p.open, probe{id: c.lastCommandID, sendIndex: c.sends.next(), sentAt: now})
	p.open = p.open[max(0, len(p.open)-maxOpenProbes):]
	p.lastAt, p.nextAt = now, now+c.jitter(minProbeInterval, maxProbeInterval)
	out.Send(c.leader.primary, wire.KindCommand, wire.CommandRequest{
		ID: c.lastCommandID, Question: true, Command: state.Command{Kind: state.KindConfirmLeadership},
	})
}

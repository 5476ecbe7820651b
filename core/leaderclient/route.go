package leaderclient

import (
	"slices"
	"time"

	"sorrelloom/core/machine"
)

const (
	// quietFor is how long a keeper may be silent before it is left; the spans grow
	// once all keepers were tried.
	minSilenceTimeout    = 800 * time.Millisecond
	maxSilenceTimeout    = 1600 * time.Millisecond
	silenceTimeoutJitter = 100 * time.Millisecond
	// bounceLeast and bounceMost bound the pause after a keeper that names no other. It
	// doubles after every bounceTries pauses in a row, bounceDoubles times.
	minBackoff          = 40 * time.Millisecond
	maxBackoff          = 80 * time.Millisecond
	backoffsPerDoubling = 2
	maxBackoffDoublings = 2
	// hopsAtOnce is how many hints are followed one after the other without a pause.
	maxImmediateRedirects = 2
	// jitterStream keeps a relay's jitter apart from whatever else is drawn from its seed.
	jitterStream = 0x7265_6c61_79
)

// route says which keeper is believed to be the primary, and what is known of the others.
type leaderTracker struct {
	replicas []string
	primary  string
	// confirmed says that the primary has shown that it leads; commands go to no other.
	confirmed bool
	// left is the keeper last left for its silence; hints to it count for nothing until then.
	suspected      string
	suspectedUntil time.Duration
	rotation       int
	triedReplicas  int
	redirects      int
	lastHeardAt    time.Duration
	silenceTimeout time.Duration
	// silent counts the keepers that were left for their silence since one was heard.
	silentReplicas int
	switchAt       time.Duration
	// pauses counts those after bounces since a keeper has shown that it leads.
	backoffs int
}

// learn takes the list of keepers that an answer names.
func (t *leaderTracker) setReplicas(replicas []string) {
	if len(replicas) > 0 && !slices.Equal(t.replicas, replicas) {
		t.replicas, t.triedReplicas = slices.Clone(replicas), 0
	}
}

// dueAt is when the next keeper is to be tried.
func (t *leaderTracker) nextSwitch() time.Duration {
	if t.switchAt > 0 {
		return min(t.switchAt, t.lastHeardAt+t.silenceTimeout)
	}
	return t.lastHeardAt + t.silenceTimeout
}

// bounced follows a keeper's hint, at once unless hints go round in a circle.
func (c *Client) handleRejection(now time.Duration, from, hint string) {
	t := &c.leader
	if from != t.primary || t.switchAt > 0 {
		return
	}
	t.confirmed = false
	if hint == "" || hint == from || hint == t.suspected && now < t.suspectedUntil {
		c.backOff(now)
		return
	}
	if t.redirects++; t.redirects > maxImmediateRedirects {
		t.redirects = 0
		c.backOff(now)
		return
	}
	c.switchTo(now, hint)
}

// pause has the relay go on to another keeper in a while.
func (c *Client) backOff(now time.Duration) {
	double := min(c.leader.backoffs/backoffsPerDoubling, maxBackoffDoublings)
	c.leader.switchAt = now + c.jitter(minBackoff<<double, maxBackoff<<double)
	c.leader.backoffs++
}

// move believes in another keeper. It is asked for a proof first; what is open
// follows once it has shown that it leads.
func (c *Client) switchTo(now time.Duration, to string) {
	t := &c.leader
	t.primary, t.confirmed, t.switchAt = to, false, 0
	t.lastHeardAt, t.silenceTimeout = now, c.nextSilenceTimeout()
	c.probes.reset(now)
	c.answeredSend = c.lastSend
	for _, command := range c.pending {
		command.inFlight = false
	}
}

// quietSpan is how long the next keeper may be silent.
func (c *Client) nextSilenceTimeout() time.Duration {
	rounds := c.leader.silentReplicas / max(1, len(c.leader.candidates(c.config.Replicas)))
	return min(minSilenceTimeout<<min(rounds, 4), maxSilenceTimeout) + c.jitter(0, silenceTimeoutJitter)
}

// confirm notes that a keeper leads. What is open is sent to it, spread over a
// while, the commands with the least time left first.
func (c *Client) confirmLeader(now time.Duration, from string) {
	if from != c.leader.primary || c.leader.confirmed {
		return
	}
	c.leader.confirmed, c.leader.switchAt, c.leader.backoffs = true, 0, 0
	c.spreadSends(now)
}

// list gives the keepers of the view, and once all of them were tried, those to
// begin from as well.
func (t *leaderTracker) candidates(bootstrap []string) []string {
	list := t.replicas
	if t.triedReplicas < len(list) {
		return list
	}
	for _, k := range bootstrap {
		if !slices.Contains(list, k) {
			list = append(list[:len(list):len(list)], k)
		}
	}
	return list
}

// rotate goes on to the next keeper of the list.
func (c *Client) tryNextReplica(now time.Duration) {
	t := &c.leader
	list := t.candidates(c.config.Replicas)
	t.switchAt = 0
	t.triedReplicas++
	for range list {
		t.rotation++
		if to := list[t.rotation%len(list)]; to != t.primary && (to != t.suspected || now >= t.suspectedUntil) {
			c.switchTo(now, to)
			return
		}
	}
	t.lastHeardAt, t.silenceTimeout = now, c.nextSilenceTimeout()
	c.probes.nextProbeAt = max(c.probes.nextProbeAt, now+maxBackoff)
}

// follow turns to another keeper where the one believed in is silent or does not lead.
func (c *Client) checkLeader(now time.Duration, out *machine.Output) {
	t := &c.leader
	switch {
	case t.primary == "":
		c.tryNextReplica(now)
	case t.switchAt > 0 && now >= t.switchAt:
		c.tryNextReplica(now)
	case now-t.lastHeardAt >= t.silenceTimeout:
		out.Log("keeper_silent", "address", t.primary, "open", len(c.pending))
		t.silentReplicas++
		t.suspected, t.suspectedUntil = t.primary, now+minSilenceTimeout
		c.tryNextReplica(now)
	}
}

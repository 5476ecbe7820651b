package leaderclient

import (
	"slices"
	"time"

	"sorrelloom/core/machine"
	"sorrelloom/core/wire"
)

const (
	// The client leaves a replica that is silent for minSilenceTimeout. The timeout doubles
	// each time that all replicas were silent, up to maxSilenceTimeout, and has a jitter of
	// up to silenceTimeoutJitter.
	minSilenceTimeout    = 800 * time.Millisecond
	maxSilenceTimeout    = 1600 * time.Millisecond
	silenceTimeoutJitter = 100 * time.Millisecond
	maxSilenceDoublings  = 4
	// minBackoff and maxBackoff bound the pause after the answer of a replica that does not
	// lead and names no other. They double after every backoffsPerDoubling consecutive
	// pauses, at most maxBackoffDoublings times.
	minBackoff          = 40 * time.Millisecond
	maxBackoff          = 80 * time.Millisecond
	backoffsPerDoubling = 2
	maxBackoffDoublings = 2
	// maxImmediateRedirects is how many consecutive redirects are followed without a pause.
	maxImmediateRedirects = 2
)

// leaderTracker tracks the presumed leader and the other replicas.
type leaderTracker struct {
	// replicas are the replicas of the newest view that a reply named.
	replicas wire.ReplicaList
	// primary is the replica presumed to lead, "" if there is none yet. It need not be the
	// primary of a view.
	primary string
	// confirmed says that the primary has confirmed its leadership since the client
	// switched to it. Commands are sent only to a confirmed primary.
	confirmed bool

	// suspected is the replica most recently left because it was silent. Redirects to it
	// are ignored until suspectedUntil.
	suspected      string
	suspectedUntil time.Duration

	// rotation is the position in the list of candidates, modulo its length; triedReplicas
	// is the number of replicas tried since a leader was confirmed or the replicas changed,
	// and redirects the number of consecutive redirects followed.
	rotation      int
	triedReplicas int
	redirects     int

	// lastHeardAt is when the primary last replied, or when the client switched to it.
	lastHeardAt    time.Duration
	silenceTimeout time.Duration
	// silentReplicas counts the replicas left because they were silent since a primary
	// last replied.
	silentReplicas int

	// switchAt is when a pause ends and the next replica is tried, 0 without a pause.
	switchAt time.Duration
	// backoffs counts the pauses since a leader was confirmed.
	backoffs int
}

// setReplicas updates the replicas from the list that a reply names.
func (t *leaderTracker) setReplicas(replicas wire.ReplicaList) {
	if t.replicas.Update(replicas) {
		t.triedReplicas = 0
	}
}

// nextSwitch returns when the next replica is tried unless the primary replies before.
func (t *leaderTracker) nextSwitch() time.Duration {
	if t.switchAt > 0 {
		return min(t.switchAt, t.lastHeardAt+t.silenceTimeout)
	}
	return t.lastHeardAt + t.silenceTimeout
}

// candidates returns the known replicas and, once all of them were tried, the bootstrap
// replicas as well.
func (t *leaderTracker) candidates(bootstrap []string) []string {
	list := t.replicas.Addresses
	if t.triedReplicas < len(list) {
		return list
	}
	for _, replica := range bootstrap {
		if !slices.Contains(list, replica) {
			list = append(list[:len(list):len(list)], replica)
		}
	}
	return list
}

// isSuspected reports whether a replica was recently left because it was silent.
func (t *leaderTracker) isSuspected(now time.Duration, replica string) bool {
	return replica == t.suspected && now < t.suspectedUntil
}

// checkLeader tries the next replica if there is no primary, if the primary is silent, or if
// the pause after its rejection has ended.
func (c *Client) checkLeader(now time.Duration, out *machine.Output) {
	t := &c.leader
	switch {
	case t.primary == "":
		c.tryNextReplica(now)
	case t.switchAt > 0 && now >= t.switchAt:
		c.tryNextReplica(now)
	case now-t.lastHeardAt >= t.silenceTimeout:
		out.Log("replica_silent", "address", t.primary, "pending", len(c.pending))
		t.silentReplicas++
		t.suspected, t.suspectedUntil = t.primary, now+minSilenceTimeout
		c.tryNextReplica(now)
	}
}

// handleRejection handles a rejection by the presumed leader, which does not lead. It follows
// the redirect at once, or backs off if there is no usable redirect or redirects form a loop. A
// redirect from a replica whose view is older than the client's is ignored, as its primary no
// longer leads.
func (c *Client) handleRejection(now time.Duration, from string, reply *wire.CommandReply) {
	t, redirect := &c.leader, reply.Primary
	if from != t.primary || t.switchAt > 0 {
		return
	}
	t.confirmed = false
	if redirect == "" || redirect == from || t.isSuspected(now, redirect) || t.replicas.IsNewerThan(reply.ReplicasEpoch) {
		c.backOff(now)
		return
	}
	if t.redirects++; t.redirects > maxImmediateRedirects {
		t.redirects = 0
		c.backOff(now)
		return
	}
	c.switchTo(now, redirect)
}

// backOff starts a pause, after which the next replica is tried.
func (c *Client) backOff(now time.Duration) {
	doublings := min(c.leader.backoffs/backoffsPerDoubling, maxBackoffDoublings)
	c.leader.switchAt = now + c.jitter(minBackoff<<doublings, maxBackoff<<doublings)
	c.leader.backoffs++
}

// tryNextReplica switches to the next candidate in turn that is not suspected. If there is
// none, the client stays with the primary and probes it again after a pause.
func (c *Client) tryNextReplica(now time.Duration) {
	t := &c.leader
	list := t.candidates(c.config.Replicas)
	t.switchAt = 0
	t.triedReplicas++
	for range list {
		t.rotation++
		if replica := list[t.rotation%len(list)]; replica != t.primary && !t.isSuspected(now, replica) {
			c.switchTo(now, replica)
			return
		}
	}
	t.lastHeardAt, t.silenceTimeout = now, c.nextSilenceTimeout()
	c.probes.nextAt = max(c.probes.nextAt, now+maxBackoff)
}

// switchTo presumes that another replica leads. It is probed first; the pending commands are
// sent once it has confirmed its leadership. Messages sent to the previous one count as lost.
func (c *Client) switchTo(now time.Duration, replica string) {
	t := &c.leader
	t.primary, t.confirmed, t.switchAt = replica, false, 0
	t.lastHeardAt, t.silenceTimeout = now, c.nextSilenceTimeout()
	c.probes.reset(now)
	c.sends.noteAllLost()
	for _, command := range c.pending {
		command.inFlight = false
	}
}

// nextSilenceTimeout returns how long the next replica may be silent.
func (c *Client) nextSilenceTimeout() time.Duration {
	rounds := c.leader.silentReplicas / max(1, len(c.leader.candidates(c.config.Replicas)))
	timeout := min(minSilenceTimeout<<min(rounds, maxSilenceDoublings), maxSilenceTimeout)
	return timeout + c.jitter(0, silenceTimeoutJitter)
}

// confirmLeader records that the primary leads, and schedules the pending commands to be sent
// to it, spread over time. Replies of other replicas are ignored.
func (c *Client) confirmLeader(now time.Duration, from string) {
	if from != c.leader.primary || c.leader.confirmed {
		return
	}
	c.leader.confirmed, c.leader.switchAt, c.leader.backoffs = true, 0, 0
	c.spreadSends(now)
}

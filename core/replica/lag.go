package replica

import (
	"time"

	"sorrelloom/core/machine"
	"sorrelloom/core/wire"
)

const (
	// lagLimit is how many commands a member may be behind before it counts as lagging, and
	// caughtUpLimit how many it may be behind to count as caught up again.
	lagLimit      = 2048
	caughtUpLimit = 256
)

// watchLag logs when a member begins to lag behind this primary and when it has caught up.
func (r *Replica) watchLag(now time.Duration, out *machine.Output) {
	for _, member := range r.view().Voters {
		if member.ID == r.self.ID {
			continue
		}
		p := r.peers.of(member.ID)
		lag := r.lagOf(p)
		switch {
		case !p.lagging && lag > lagLimit:
			p.lagging = true
			out.Warn("member_lagging", "member", member.Address, "commands", lag, "silentMs", silentMs(now, p))
		case p.lagging && lag <= caughtUpLimit:
			p.lagging = false
			out.Log("member_caught_up", "member", member.Address, "commands", lag)
		}
	}
}

// lagOf returns how many commands a peer is behind, by the last position that it reported.
func (r *Replica) lagOf(p *progress) uint64 {
	index := r.log.position().Index
	return index - min(index, p.match.Index)
}

func silentMs(now time.Duration, p *progress) int64 { return (now - p.heardAt).Milliseconds() }

// logHandover logs that this primary hands over the leadership because its own disk is slow,
// once per write.
func (r *Replica) logHandover(now time.Duration, successor wire.Member, out *machine.Output) {
	if r.disk.loggedSlowID == r.disk.inFlight.id {
		return
	}
	r.disk.loggedSlowID = r.disk.inFlight.id
	out.Warn("leadership_handed_over", "to", successor.Address, "writeWaitsMs", (now - r.disk.startedAt).Milliseconds(),
		"withSnapshot", r.disk.inFlight.withSnapshot)
}

// logSlowBackup logs that commits wait for a backup's disk, once per wait.
func (r *Replica) logSlowBackup(member wire.Member, p *progress, out *machine.Output) {
	if p.slowLoggedAt == p.awaitedSince {
		return
	}
	p.slowLoggedAt = p.awaitedSince
	out.Warn("commits_wait_for_backup", "member", member.Address, "index", p.awaitedIndex,
		"waitedMs", (r.activeClock.elapsed - p.awaitedSince).Milliseconds())
}

package replica

import (
	"cmp"
	"slices"
	"time"

	"sorrelloom/core/machine"
	"sorrelloom/core/paxos"
	"sorrelloom/core/wire"
)

// backupCount returns the number of backups for the next view. If the primary and all backups
// but one are lost, the remaining voters must still be a majority.
func (r *Replica) backupCount() int {
	return max(1, min(r.config.BackupCount, (len(r.view().Voters)-1)/2))
}

// pickBackups returns the best backups for the next view, without the excluded IDs. On the
// primary it prefers the current backups that are not silent, then members that are ready,
// then those heard most recently.
func (r *Replica) pickBackups(now time.Duration, excluded ...string) []wire.Member {
	rank := func(member wire.Member) int {
		isBackup := r.isPrimary() && paxos.ContainsMember(r.view().Backups, member.ID)
		switch {
		case isBackup && !r.isSilent(now, member):
			return 0
		case r.isReadyBackup(now, member):
			return 1
		}
		return 2
	}
	var out []wire.Member
	for _, member := range r.view().Voters {
		if member.ID != r.self.ID && !slices.Contains(excluded, member.ID) {
			out = append(out, member)
		}
	}
	slices.SortStableFunc(out, func(a, b wire.Member) int {
		return cmp.Or(
			cmp.Compare(rank(a), rank(b)),
			cmp.Compare(r.peers.heardAt(b.ID), r.peers.heardAt(a.ID)),
		)
	})
	return out[:min(r.backupCount(), len(out))]
}

// isReadyBackup reports whether a member may be a backup of the next view: it is at this
// replica's position or, while this replica serves, has every committed command. Once the
// member is proposed as a backup, later commits of the serving primary require its disk.
func (r *Replica) isReadyBackup(now time.Duration, member wire.Member) bool {
	p := r.peers.of(member.ID)
	if !p.replicating || now-p.heardAt >= suspectTimeout {
		return false
	}
	return p.match == r.log.position() || r.leadership.serving && p.match.Index >= r.log.commitIndex
}

// areReadyBackups reports whether members may be the backups of the next view: all are ready
// and there are enough of them.
func (r *Replica) areReadyBackups(now time.Duration, members []wire.Member) bool {
	notReady := func(member wire.Member) bool { return !r.isReadyBackup(now, member) }
	return len(members) == r.backupCount() && !slices.ContainsFunc(members, notReady)
}

// replaceSlowMember hands the leadership over to a backup if this primary's own disk is slow,
// or replaces a backup whose disk is slow or that is being stopped. It reports whether it
// started to do so.
func (r *Replica) replaceSlowMember(now time.Duration, out *machine.Output) bool {
	slow, successor := r.classifyBackups()
	if r.disk.slow && successor.ID != "" {
		backups := r.pickBackups(now, append(slow, successor.ID)...)
		if r.areReadyBackups(now, backups) {
			r.logHandover(now, successor, out)
			r.proposeWhenReady(now, r.nextView(successor, backups), out)
			return true
		}
	}
	if len(slow) == 0 {
		return false
	}
	r.replication.replicatePromptly(now)
	backups := r.pickBackups(now, slow...)
	if !r.areReadyBackups(now, backups) || !r.improvesOn(slow[0], backups) {
		return false
	}
	r.proposeWhenReady(now, r.nextView(r.self, backups), out)
	return true
}

// classifyBackups returns the IDs of the backups that are slow or being stopped, and the
// successor in case of a handover: of the other backups that have synced at least as much as
// this replica, the one that has synced most. successor.ID is empty if there is none.
func (r *Replica) classifyBackups() (slow []string, successor wire.Member) {
	var most uint64
	for _, member := range r.view().Backups {
		p := r.peers.of(member.ID)
		switch {
		case p.slow || p.stopping:
			slow = append(slow, member.ID)
		case p.replicating && p.match.Index >= r.log.syncedIndex && (successor.ID == "" || p.match.Index > most):
			successor, most = member, p.match.Index
		}
	}
	return slow, successor
}

// improvesOn reports whether new backups are an improvement over a slow one: one of them is
// not a backup yet, and it is further ahead than the slow one or the slow one is stopping.
func (r *Replica) improvesOn(slow string, backups []wire.Member) bool {
	replaced := r.peers.of(slow)
	return slices.ContainsFunc(backups, func(member wire.Member) bool {
		ahead := r.peers.of(member.ID).match.Index > replaced.match.Index
		return !paxos.ContainsMember(r.view().Backups, member.ID) && (ahead || replaced.stopping)
	})
}

// awaitsSuccessor reports whether this replica is a stopping backup that waits for the primary
// to replace it, at most for successorTimeout.
func (r *Replica) awaitsSuccessor(now time.Duration) bool {
	return r.isBackup() && now-r.stopRequestedAt < successorTimeout
}

// replaceLostMember replaces a lost voter that is not a backup, or adds a voter if there are
// too few. A new primary first gives all voters three heartbeat intervals to reply.
func (r *Replica) replaceLostMember(now time.Duration, out *machine.Output) {
	known := r.view()
	for _, member := range known.Voters {
		if member.ID == r.self.ID || paxos.ContainsMember(known.Backups, member.ID) {
			continue
		}
		silence := now - r.peers.heardAt(member.ID)
		lost := silence > memberLossTimeout && now-r.roleSince > 3*heartbeatInterval
		if lost || r.confirmedDead(member) {
			r.admitMember(now, member, out)
			return
		}
	}
	if len(known.Voters) < 2*r.config.BackupCount+1 {
		r.admitMember(now, wire.Member{}, out)
	}
}

// admitMember proposes a view in which the first spare replica that replies takes the place of
// a lost voter, or is added if lost is empty. The spare must be behind by no more than a
// window of commands. Spares that do not reply are skipped, since the membership list may
// still contain lost replicas.
func (r *Replica) admitMember(now time.Duration, lost wire.Member, out *machine.Output) {
	for _, spare := range r.spareReplicas(now, lost) {
		r.probe(now, spare, out)
		p := r.peers.of(spare.ID)
		if p.heardAt == 0 || now-p.heardAt > suspectTimeout {
			continue
		}
		if p.replicating && r.log.tail.Within(p.match, r.log.position(), maxWindowCommands, maxWindowBytes) {
			view := r.nextView(r.self, r.view().Backups)
			isLost := func(member wire.Member) bool { return member.ID == lost.ID }
			view.Voters = append(slices.DeleteFunc(slices.Clone(view.Voters), isLost), spare)
			r.propose(now, view, out)
		}
		return
	}
}

// spareReplicas returns the known replicas that are not voters. Those that announced
// themselves recently come first, beginning with the one at the lost member's address, then
// those in the membership list; within each group, zones with the fewest voters come first.
func (r *Replica) spareReplicas(now time.Duration, lost wire.Member) []wire.Member {
	voters := r.view().Voters
	votersIn := map[string]int{}
	for _, member := range voters {
		if member.ID != lost.ID {
			votersIn[member.Zone]++
		}
	}
	announced := r.discovery.announced(now, func(a announcement) bool {
		return !paxos.ContainsMember(voters, a.Member.ID)
	})
	slices.SortFunc(announced, func(a, b wire.Member) int {
		return cmp.Or(
			-compareBool(a.Address == lost.Address, b.Address == lost.Address),
			cmp.Compare(votersIn[a.Zone], votersIn[b.Zone]),
			cmp.Compare(a.ID, b.ID),
		)
	})
	var listed []wire.Member
	for _, node := range r.discovery.replicas() {
		known := paxos.ContainsMember(voters, node.ID) || paxos.ContainsMember(announced, node.ID) ||
			paxos.ContainsMember(listed, node.ID)
		if !known {
			listed = append(listed, wire.Member{ID: node.ID, Address: node.Address, Zone: node.Zone})
		}
	}
	slices.SortStableFunc(listed, func(a, b wire.Member) int {
		return cmp.Compare(votersIn[a.Zone], votersIn[b.Zone])
	})
	return append(announced, listed...)
}

// compareBool orders false before true.
func compareBool(a, b bool) int {
	switch {
	case a == b:
		return 0
	case a:
		return 1
	}
	return -1
}

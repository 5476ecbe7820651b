package replica

import (
	"time"

	"sorrelloom/core/paxos"
	"sorrelloom/core/wire"
)

// Role is what a member does in a view.
type Role string

const (
	// Leader commits commands and answers.
	Leader Role = "leader"
	// Backup acknowledges each write before it is answered.
	Backup Role = "backup"
	// Witness votes for views, and follows the leader without being waited for.
	Voter Role = "witness"
)

// Unknown stands for a lag or a time that this keeper does not know.
const Unknown = -1

// MemberStatus is what a keeper knows of one member of its view. Only the leader
// hears how far the others have come.
type MemberStatus struct {
	wire.Member
	Role Role `json:"role"`
	// Sequence is the last command that the member is known to have.
	Index uint64 `json:"sequence"`
	// Lag is how many commands the member is behind the leader.
	Lag int64 `json:"lag"`
	// HeardMsAgo is how long ago a line came from the member; 0 for the keeper itself.
	HeardMsAgo int64 `json:"heardMsAgo"`
}

// Report is the status of a keeper with that of every member of its view.
type Report struct {
	Status
	// Proven says that the keeper leads and that all its backups confirmed it a moment
	// ago. A leader that is not proven commits nothing.
	LeadershipConfirmed bool           `json:"proven"`
	Members             []MemberStatus `json:"members"`
}

// Report says who leads in which epoch, and how far each member is behind.
func (r *Replica) Report(now time.Duration) Report {
	report := Report{Status: r.Status(), LeadershipConfirmed: r.leadershipConfirmed(now), Members: []MemberStatus{}}
	for _, seat := range r.acceptor.KnownView.Voters {
		report.Members = append(report.Members, r.memberStatus(now, seat))
	}
	return report
}

func (r *Replica) memberStatus(now time.Duration, seat wire.Member) MemberStatus {
	m := MemberStatus{Member: seat, Role: r.roleOf(seat), Lag: Unknown, HeardMsAgo: Unknown}
	position := r.store.Position().Index
	peer, heard := r.peers[seat.ID]
	switch {
	case seat.ID == r.self.ID:
		m.Index, m.HeardMsAgo = position, 0
		if r.isPrimary() {
			m.Lag = 0
		}
	case heard && peer.heardAt > 0:
		m.HeardMsAgo = (now - peer.heardAt).Milliseconds()
		if r.isPrimary() && peer.replicating {
			m.Index = peer.match.Index
			m.Lag = int64(position - min(position, peer.match.Index))
		}
	}
	return m
}

func (r *Replica) roleOf(seat wire.Member) Role {
	switch known := r.acceptor.KnownView; {
	case seat.ID == known.Primary.ID:
		return Leader
	case paxos.ContainsMember(known.Backups, seat.ID):
		return Backup
	}
	return Voter
}

package keeper

import (
	"time"

	"sorrelloom/core/register"
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
	Witness Role = "witness"
)

// Unknown stands for a lag or a time that this keeper does not know.
const Unknown = -1

// MemberStatus is what a keeper knows of one member of its view. Only the leader
// hears how far the others have come.
type MemberStatus struct {
	wire.Seat
	Role Role `json:"role"`
	// Sequence is the last command that the member is known to have.
	Sequence uint64 `json:"sequence"`
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
	Proven  bool           `json:"proven"`
	Members []MemberStatus `json:"members"`
}

// Report says who leads in which epoch, and how far each member is behind.
func (k *Keeper) Report(now time.Duration) Report {
	report := Report{Status: k.Status(), Proven: k.proven(now), Members: []MemberStatus{}}
	for _, seat := range k.witness.Known.Witnesses {
		report.Members = append(report.Members, k.memberStatus(now, seat))
	}
	return report
}

func (k *Keeper) memberStatus(now time.Duration, seat wire.Seat) MemberStatus {
	m := MemberStatus{Seat: seat, Role: k.roleOf(seat), Lag: Unknown, HeardMsAgo: Unknown}
	position := k.ledger.Position().Sequence
	peer, heard := k.peers[seat.ID]
	switch {
	case seat.ID == k.seat.ID:
		m.Sequence, m.HeardMsAgo = position, 0
		if k.leads() {
			m.Lag = 0
		}
	case heard && peer.heardAt > 0:
		m.HeardMsAgo = (now - peer.heardAt).Milliseconds()
		if k.leads() && peer.synced {
			m.Sequence = peer.at.Sequence
			m.Lag = int64(position - min(position, peer.at.Sequence))
		}
	}
	return m
}

func (k *Keeper) roleOf(seat wire.Seat) Role {
	switch known := k.witness.Known; {
	case seat.ID == known.Primary.ID:
		return Leader
	case register.Has(known.Backups, seat.ID):
		return Backup
	}
	return Witness
}

package replica

import (
	"time"

	"sorrelloom/core/paxos"
	"sorrelloom/core/state"
	"sorrelloom/core/status"
	"sorrelloom/core/wire"
)

// Role is what a member does in a view.
type Role string

const (
	// Leader commits commands and replies to them.
	Leader Role = "leader"
	// Backup acknowledges each command before it is committed.
	Backup Role = "backup"
	// Voter votes for views, and receives the log without being waited for.
	Voter Role = "witness"
)

// Unknown stands for a lag or a time that this replica does not know.
const Unknown = -1

// Status is what a replica reports of itself.
type Status struct {
	ID            string            `json:"id"`
	View          wire.View         `json:"view"`
	Serving       bool              `json:"serving"`
	Position      state.LogPosition `json:"at"`
	CommitIndex   uint64            `json:"committed"`
	ConfigVersion uint64            `json:"planSequence"`
	Code          status.Code       `json:"code"`
}

// MemberStatus is what a replica knows of one member of its view. Only the primary hears
// how far the others have come.
type MemberStatus struct {
	wire.Member
	Role Role `json:"role"`
	// Index is the last command that the member is known to have.
	Index uint64 `json:"sequence"`
	// Lag is how many commands the member is behind the primary.
	Lag int64 `json:"lag"`
	// HeardMsAgo is how many milliseconds ago a message came from the member; 0 for the
	// replica itself.
	HeardMsAgo int64 `json:"heardMsAgo"`
}

// Report is the status of a replica with that of every member of its view.
type Report struct {
	Status
	// LeadershipConfirmed says that the replica serves and that all its backups confirmed
	// it a moment ago. Otherwise it commits nothing.
	LeadershipConfirmed bool           `json:"proven"`
	Members             []MemberStatus `json:"members"`
	// RecountDifferences is how often the count of what a tenant runs was found wrong.
	RecountDifferences uint64 `json:"recountDifferences,omitempty"`
}

// Status says which view the replica knows and how far its log is.
func (r *Replica) Status() Status {
	return Status{
		ID: r.self.ID, View: *r.view(), Serving: r.leadership.serving, Position: r.log.position(),
		CommitIndex: r.log.commitIndex, ConfigVersion: r.log.store.Config().Version,
	}
}

// Report says who leads in which epoch, and how far each member is behind.
func (r *Replica) Report(now time.Duration) Report {
	report := Report{
		Status: r.Status(), LeadershipConfirmed: r.LeadershipConfirmed(now), Members: []MemberStatus{},
		RecountDifferences: r.recountDifferences,
	}
	for _, member := range r.view().Voters {
		report.Members = append(report.Members, r.memberStatus(now, member))
	}
	return report
}

func (r *Replica) memberStatus(now time.Duration, member wire.Member) MemberStatus {
	m := MemberStatus{Member: member, Role: r.roleOf(member), Lag: Unknown, HeardMsAgo: Unknown}
	index := r.log.position().Index
	peer := r.peers[member.ID]
	switch {
	case member.ID == r.self.ID:
		m.Index, m.HeardMsAgo = index, 0
		if r.isPrimary() {
			m.Lag = 0
		}
	case peer != nil && peer.heardAt > 0:
		m.HeardMsAgo = (now - peer.heardAt).Milliseconds()
		if r.isPrimary() && peer.replicating {
			m.Index = peer.match.Index
			m.Lag = int64(r.lagOf(peer))
		}
	}
	return m
}

func (r *Replica) roleOf(member wire.Member) Role {
	switch {
	case member.ID == r.view().Primary.ID:
		return Leader
	case paxos.ContainsMember(r.view().Backups, member.ID):
		return Backup
	}
	return Voter
}

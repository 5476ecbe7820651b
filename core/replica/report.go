package replica

import (
	"time"

	"sorrelloom/core/paxos"
	"sorrelloom/core/state"
	"sorrelloom/core/status"
	"sorrelloom/core/wire"
)

// Role is the role of a member in a view.
type Role string

const (
	// Leader is the primary: it commits commands and replies to them.
	Leader Role = "leader"
	// Backup acknowledges each command before it is committed.
	Backup Role = "backup"
	// Voter votes on views and receives the log, but commits do not wait for it.
	Voter Role = "witness"
)

// Unknown is the value of a lag or a time that this replica does not know.
const Unknown = -1

// Status is a replica's own status.
type Status struct {
	ID            string            `json:"id"`
	View          wire.View         `json:"view"`
	Serving       bool              `json:"serving"`
	Position      state.LogPosition `json:"at"`
	CommitIndex   uint64            `json:"committed"`
	ConfigVersion uint64            `json:"planSequence"`
	Code          status.Code       `json:"code"`
}

// MemberStatus is what a replica knows of a member of its view. Only the primary knows the
// positions of the others.
type MemberStatus struct {
	wire.Member
	Role Role `json:"role"`
	// Index is the index of the last command that the member is known to have; 0 if unknown.
	Index uint64 `json:"sequence"`
	// Lag is the number of commands that the member is behind the primary, or Unknown.
	Lag int64 `json:"lag"`
	// HeardMsAgo is the number of milliseconds since the last message from the member; 0 for
	// the replica itself, and Unknown if there was none.
	HeardMsAgo int64 `json:"heardMsAgo"`
}

// Report is the status of a replica and of every member of its view.
type Report struct {
	Status
	// LeadershipConfirmed is set if the replica serves and all its backups have replied within
	// the suspect timeout. Otherwise it commits nothing.
	LeadershipConfirmed bool           `json:"proven"`
	Members             []MemberStatus `json:"members"`
	// RecountDifferences counts the tenants' usage counts that a recount found wrong.
	RecountDifferences uint64 `json:"recountDifferences,omitempty"`
}

// Status returns the known view and the position of the replica's log.
func (r *Replica) Status() Status {
	return Status{
		ID: r.self.ID, View: *r.view(), Serving: r.leadership.serving, Position: r.log.position(),
		CommitIndex: r.log.commitIndex, ConfigVersion: r.log.store.Config().Version,
	}
}

// Report returns the replica's status and the role and lag of each member.
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

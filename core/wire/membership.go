package wire

// Node describes a process in the gossip membership.
type Node struct {
	ID   string `json:"id"`
	Role string `json:"role"`
	// Zone is the failure domain that the node runs in.
	Zone        string `json:"site"`
	Address     string `json:"address"`
	HTTPAddress string `json:"http,omitempty"`
	// Incarnation identifies the run of the process; it increases with every start.
	Incarnation int64 `json:"incarnation"`
	// Version increases with every announcement within one incarnation.
	Version uint64 `json:"sequence"`
}

// Gossip is a list of nodes.
type Gossip struct {
	Nodes []Node `json:"nodes"`
}

// Member is a replica that takes part in a view. ID is the identity of its disk, so
// that a replica with a new disk is a new member.
type Member struct {
	ID      string `json:"id"`
	Address string `json:"address"`
	Zone    string `json:"site"`
}

// View names the primary of an epoch (a term, in Raft) and the backups that must store
// a command before the primary answers it.
type View struct {
	Epoch uint64 `json:"epoch"`
	// BootID identifies the run of the primary's process that may lead in this epoch.
	// After a restart the same replica needs a new epoch.
	BootID  uint64   `json:"boot"`
	Primary Member   `json:"primary"`
	Backups []Member `json:"backups"`
	// Voters are the acceptors that decide on the next view.
	Voters []Member `json:"witnesses"`
}

// BootstrapStatus describes the sender. Processes exchange it while they have no view,
// and send it to those that are locating the current view.
type BootstrapStatus struct {
	Member Member `json:"seat"`
	// Empty is set while the sender's disk holds nothing.
	Empty bool `json:"empty"`
	// Proxy marks a process without a disk, which never becomes a member.
	Proxy bool `json:"proxy,omitempty"`
	// View is the newest view that the sender knows; its epoch is 0 if it knows none.
	View View `json:"view"`
}

// Ballot identifies an attempt to decide the view of one epoch. Ballots are ordered by
// round, then by proposer.
type Ballot struct {
	Round      uint64 `json:"round"`
	ProposerID string `json:"id"`
}

// Less reports whether b is lower than other.
func (b Ballot) Less(other Ballot) bool {
	if b.Round != other.Round {
		return b.Round < other.Round
	}
	return b.ProposerID < other.ProposerID
}

// PaxosMessage is the body of all messages of the single-decree Paxos that decides the
// view of an epoch. Which fields are set depends on the kind.
type PaxosMessage struct {
	Epoch uint64 `json:"epoch"`
	From  Member `json:"from"`
	// To is the ID of the member that the message is for: its address may have been
	// taken over by another disk.
	To       string `json:"to"`
	Ballot   Ballot `json:"ballot"`
	Promised Ballot `json:"promised"`
	Accepted Ballot `json:"accepted"`
	// Value is the proposed, accepted or decided view.
	Value View `json:"value"`
	// KnownView is the newest decided view that the sender knows.
	KnownView View `json:"known"`
	OK        bool `json:"good"`
}

package wire

// Node is what one process knows of another by gossip.
type Node struct {
	ID   string `json:"id"`
	Role string `json:"role"`
	// Zone is the failure domain that the node runs in.
	Zone        string `json:"site"`
	Address     string `json:"address"`
	HTTPAddress string `json:"http,omitempty"`
	// Incarnation tells the runs of a process apart; it grows with every start.
	Incarnation int64 `json:"incarnation"`
	// Version grows with every announcement within one incarnation.
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

// View names the primary of an epoch, which is what other protocols call a term, and
// the backups that must store a command before the primary answers it.
type View struct {
	Epoch uint64 `json:"epoch"`
	// BootID is the run of the primary's process that may lead in this epoch. After a
	// restart the same replica needs an epoch of its own.
	BootID  uint64   `json:"boot"`
	Primary Member   `json:"primary"`
	Backups []Member `json:"backups"`
	// Voters are the acceptors that decide on the next view.
	Voters []Member `json:"witnesses"`
}

// BootstrapStatus is what a process says of itself before it has a view, and to those
// that look for the current one.
type BootstrapStatus struct {
	Member Member `json:"seat"`
	// Empty is set while the disk holds nothing.
	Empty bool `json:"empty"`
	// Proxy marks a process without a disk, which never becomes a member.
	Proxy bool `json:"proxy,omitempty"`
	// View is the newest view that the process knows; its epoch is 0 if there is none.
	View View `json:"view"`
}

// Ballot orders the attempts to decide one epoch. Rounds are compared first, proposers
// next.
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

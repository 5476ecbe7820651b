package paxos

import "sorrelloom/core/wire"

// Proposal is one attempt of a member of the current view to have the next one decided. It
// prepares a ballot first; once a majority has promised, it asks to accept a view: the one
// that was accepted at the highest ballot before, or its own if there is none.
type Proposal struct {
	CurrentView  wire.View
	ProposedView wire.View
	Ballot       wire.Ballot
	// Value is the view that is to be accepted at this ballot.
	Value wire.View
	// HighestPromised is the highest ballot that any acceptor said to have promised.
	HighestPromised wire.Ballot

	accepting       bool
	highestAccepted wire.Ballot // the ballot at which Value was accepted before
	votes           map[string]bool
}

// NewProposal opens a proposal with a ballot above the highest seen, and returns the
// prepare requests to send. The boot ID must differ between two processes of one replica,
// which may both come to the same round.
func NewProposal(
	current, proposed wire.View, self wire.Member, bootID string, highestSeen wire.Ballot,
) (Proposal, []wire.PaxosMessage) {
	p := Proposal{
		CurrentView: current, ProposedView: proposed,
		Ballot: wire.Ballot{Round: highestSeen.Round + 1, ProposerID: self.ID + "/" + bootID},
		votes:  map[string]bool{},
	}
	return p, p.requests(self, current.Voters)
}

func (p Proposal) requests(self wire.Member, receivers []wire.Member) []wire.PaxosMessage {
	var out []wire.PaxosMessage
	for _, receiver := range receivers {
		out = append(out, wire.PaxosMessage{
			Epoch: p.ProposedView.Epoch, From: self, To: receiver.ID, Ballot: p.Ballot,
			Value: p.Value, KnownView: p.CurrentView,
		})
	}
	return out
}

// Active says whether there is an attempt.
func (p Proposal) Active() bool { return p.ProposedView.Epoch > 0 }

// HandleReply counts an acceptor's reply. It returns the accept requests to send once a
// majority has promised, and the decided view once enough have accepted.
func (p Proposal) HandleReply(
	self wire.Member, kind string, reply wire.PaxosMessage,
) (next Proposal, requests []wire.PaxosMessage, decided wire.View) {
	if p.HighestPromised.Less(reply.Promised) {
		p.HighestPromised = reply.Promised
	}
	if !p.isVote(kind, reply) {
		return p, nil, wire.View{}
	}
	p = p.withVote(reply.From.ID)
	if p.accepting {
		if HasMajority(p.CurrentView.Voters, p.votes) && HasMajority(p.Value.Voters, p.votes) {
			return p, nil, p.Value
		}
		return p, nil, wire.View{}
	}
	if reply.Value.Epoch > 0 && (p.Value.Epoch == 0 || p.highestAccepted.Less(reply.Accepted)) {
		p.Value, p.highestAccepted = reply.Value, reply.Accepted
	}
	if !HasMajority(p.CurrentView.Voters, p.votes) {
		return p, nil, wire.View{}
	}
	p = p.beginAccept()
	return p, p.requests(self, UnionMembers(p.CurrentView.Voters, p.Value.Voters)), wire.View{}
}

// isVote says whether a reply grants what this proposal asks for now.
func (p Proposal) isVote(kind string, reply wire.PaxosMessage) bool {
	return p.Active() && reply.OK && reply.Epoch == p.ProposedView.Epoch && reply.Ballot == p.Ballot &&
		p.accepting == (kind == wire.KindAcceptReply)
}

// withVote counts a vote in a copy, so that the proposal it was called on stays as it is.
func (p Proposal) withVote(id string) Proposal {
	votes := map[string]bool{id: true}
	for earlier := range p.votes {
		votes[earlier] = true
	}
	p.votes = votes
	return p
}

// beginAccept goes on to the second phase, with no votes yet.
func (p Proposal) beginAccept() Proposal {
	if p.Value.Epoch == 0 {
		p.Value = p.ProposedView
	}
	p.accepting, p.votes = true, map[string]bool{}
	return p
}

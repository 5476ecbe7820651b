package paxos

import "sorrelloom/core/wire"

// Proposal is one attempt by a member of the current view to get the next view decided. It
// first prepares a ballot. Once a majority has promised, it asks the voters to accept the
// view that was accepted at the highest earlier ballot, or its own if there is none.
type Proposal struct {
	CurrentView  wire.View
	ProposedView wire.View
	Ballot       wire.Ballot
	// Value is the view to accept at this ballot. In the prepare phase it is the view with
	// the highest accepted ballot reported so far; its epoch is 0 if none was reported.
	Value wire.View
	// HighestPromised is the highest promised ballot reported by any acceptor.
	HighestPromised wire.Ballot

	accepting       bool
	highestAccepted wire.Ballot // the ballot at which Value was accepted before
	votes           map[string]bool
}

// NewProposal starts a proposal with a ballot above highestSeen and returns the prepare
// requests to send. The boot ID must differ between two processes of the same replica, since
// both may reach the same round.
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

// Active reports whether a proposal was started; the zero Proposal is inactive.
func (p Proposal) Active() bool { return p.ProposedView.Epoch > 0 }

// HandleReply counts an acceptor's reply. It returns the accept requests once a majority has
// promised, and the decided view once enough voters have accepted; decided.Epoch is 0 before
// that.
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

// isVote reports whether a reply is a positive vote for this ballot in the current phase.
func (p Proposal) isVote(kind string, reply wire.PaxosMessage) bool {
	return p.Active() && reply.OK && reply.Epoch == p.ProposedView.Epoch && reply.Ballot == p.Ballot &&
		p.accepting == (kind == wire.KindAcceptReply)
}

// withVote returns a copy with one more vote. The receiver's vote set is not modified.
func (p Proposal) withVote(id string) Proposal {
	votes := map[string]bool{id: true}
	for earlier := range p.votes {
		votes[earlier] = true
	}
	p.votes = votes
	return p
}

// beginAccept switches to the accept phase and clears the votes of the prepare phase.
func (p Proposal) beginAccept() Proposal {
	if p.Value.Epoch == 0 {
		p.Value = p.ProposedView
	}
	p.accepting, p.votes = true, map[string]bool{}
	return p
}

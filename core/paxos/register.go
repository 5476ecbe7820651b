// Package paxos is the witnesses' part: a small quorum register that decides
// one view per epoch, by prepare and accept. It keeps only epochs, that is who
// is primary and who is backup, and never a job. An epoch is decided by a
// majority of the witnesses of the view before it and, where the view changes
// them, by a majority of the new ones too. What Witness returns may be sent only
// after its state is synced.
package paxos

import (
	"sorrelloom/core/wire"
)

// State is what a witness keeps on its disk.
type Acceptor struct {
	KnownView wire.View   `json:"known"`
	Promised  wire.Ballot `json:"promised"`
	Accepted  wire.Ballot `json:"accepted"`
	Value     wire.View   `json:"value"`
}

// Learn takes a decided view; it reports whether it was news.
func (s Acceptor) LearnView(view wire.View) (Acceptor, bool) {
	if view.Epoch <= s.KnownView.Epoch {
		return s, false
	}
	return Acceptor{KnownView: view}, true
}

// Witness answers a prepare or an accept. An answer to one that was addressed
// to another disk's identity is never given.
func (s Acceptor) HandleRequest(self wire.Member, kind string, request wire.PaxosMessage) (Acceptor, wire.PaxosMessage, bool) {
	if request.To != self.ID {
		return s, wire.PaxosMessage{}, false
	}
	s, _ = s.LearnView(request.KnownView)
	reply := wire.PaxosMessage{Epoch: request.Epoch, From: self, To: request.From.ID, Ballot: request.Ballot}
	if request.Epoch == s.KnownView.Epoch+1 && !request.Ballot.Less(s.Promised) {
		s.Promised = request.Ballot
		if kind == wire.KindAccept {
			s.Accepted, s.Value = request.Ballot, request.Value
		}
		reply.OK = true
	}
	reply.Promised, reply.Accepted, reply.Value, reply.KnownView = s.Promised, s.Accepted, s.Value, s.KnownView
	return s, reply, true
}

// Proposal is one attempt by a member of the known view to decide the next.
type Proposal struct {
	CurrentView     wire.View
	ProposedView    wire.View
	Ballot          wire.Ballot
	Value           wire.View
	accepting       bool
	highestAccepted wire.Ballot
	votes           map[string]bool
	HighestPromised wire.Ballot
}

// Begin opens a proposal with a ballot above any seen. The run must differ
// between two processes of one keeper, which may both want the same round.
func NewProposal(current, proposed wire.View, self wire.Member, incarnation string, highestSeen wire.Ballot) (Proposal, []wire.PaxosMessage) {
	p := Proposal{CurrentView: current, ProposedView: proposed, Ballot: wire.Ballot{Round: highestSeen.Round + 1, ProposerID: self.ID + "/" + incarnation}, votes: map[string]bool{}}
	return p, p.requests(self, current.Voters)
}

func (p Proposal) requests(self wire.Member, receivers []wire.Member) []wire.PaxosMessage {
	var out []wire.PaxosMessage
	for _, receiver := range receivers {
		out = append(out, wire.PaxosMessage{Epoch: p.ProposedView.Epoch, From: self, To: receiver.ID, Ballot: p.Ballot, Value: p.Value, KnownView: p.CurrentView})
	}
	return out
}

// Active says whether an attempt is under way.
func (p Proposal) Active() bool { return p.ProposedView.Epoch > 0 }

// Take counts one answer. It returns the accepts to send once a majority has
// promised, and the decided view once enough have accepted.
func (p Proposal) HandleReply(self wire.Member, kind string, reply wire.PaxosMessage) (Proposal, []wire.PaxosMessage, wire.View) {
	if p.HighestPromised.Less(reply.Promised) {
		p.HighestPromised = reply.Promised
	}
	if !p.Active() || !reply.OK || reply.Epoch != p.ProposedView.Epoch || reply.Ballot != p.Ballot || p.accepting != (kind == wire.KindAcceptReply) {
		return p, nil, wire.View{}
	}
	votes := map[string]bool{reply.From.ID: true}
	for id := range p.votes {
		votes[id] = true
	}
	p.votes = votes
	if !p.accepting {
		if reply.Value.Epoch > 0 && (p.Value.Epoch == 0 || p.highestAccepted.Less(reply.Accepted)) {
			p.Value, p.highestAccepted = reply.Value, reply.Accepted
		}
		if !HasMajority(p.CurrentView.Voters, p.votes) {
			return p, nil, wire.View{}
		}
		if p.Value.Epoch == 0 {
			p.Value = p.ProposedView
		}
		p.accepting, p.votes = true, map[string]bool{}
		return p, p.requests(self, UnionMembers(p.CurrentView.Voters, p.Value.Voters)), wire.View{}
	}
	if HasMajority(p.CurrentView.Voters, p.votes) && HasMajority(p.Value.Voters, p.votes) {
		return p, nil, p.Value
	}
	return p, nil, wire.View{}
}

// Majority counts distinct identities of a set among the votes.
func HasMajority(set []wire.Member, votes map[string]bool) bool {
	count := 0
	for _, s := range set {
		if votes[s.ID] {
			count++
		}
	}
	return count > len(set)/2
}

func UnionMembers(a, b []wire.Member) []wire.Member {
	out := append([]wire.Member(nil), a...)
	for _, s := range b {
		if !ContainsMember(a, s.ID) {
			out = append(out, s)
		}
	}
	return out
}

func ContainsMember(set []wire.Member, id string) bool {
	for _, s := range set {
		if s.ID == id {
			return true
		}
	}
	return false
}

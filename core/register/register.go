// Package register is the witnesses' part: a small quorum register that decides
// one view per epoch, by prepare and accept. It keeps only epochs, that is who
// is primary and who is backup, and never a job. An epoch is decided by a
// majority of the witnesses of the view before it and, where the view changes
// them, by a majority of the new ones too. What Witness returns may be sent only
// after its state is synced.
package register

import (
	"sorrelloom/core/wire"
)

// State is what a witness keeps on its disk.
type State struct {
	Known    wire.View   `json:"known"`
	Promised wire.Ballot `json:"promised"`
	Accepted wire.Ballot `json:"accepted"`
	Value    wire.View   `json:"value"`
}

// Learn takes a decided view; it reports whether it was news.
func (s State) Learn(v wire.View) (State, bool) {
	if v.Epoch <= s.Known.Epoch {
		return s, false
	}
	return State{Known: v}, true
}

// Witness answers a prepare or an accept. An answer to one that was addressed
// to another disk's identity is never given.
func (s State) Witness(me wire.Seat, kind string, b wire.RegisterBody) (State, wire.RegisterBody, bool) {
	if b.To != me.ID {
		return s, wire.RegisterBody{}, false
	}
	s, _ = s.Learn(b.Known)
	reply := wire.RegisterBody{Epoch: b.Epoch, From: me, To: b.From.ID, Ballot: b.Ballot}
	if b.Epoch == s.Known.Epoch+1 && !b.Ballot.Less(s.Promised) {
		s.Promised = b.Ballot
		if kind == wire.Accept {
			s.Accepted, s.Value = b.Ballot, b.Value
		}
		reply.Good = true
	}
	reply.Promised, reply.Accepted, reply.Value, reply.Known = s.Promised, s.Accepted, s.Value, s.Known
	return s, reply, true
}

// Proposal is one attempt by a member of the known view to decide the next.
type Proposal struct {
	Base      wire.View
	Wanted    wire.View
	Ballot    wire.Ballot
	Value     wire.View
	accepting bool
	best      wire.Ballot
	votes     map[string]bool
	Highest   wire.Ballot
}

// Begin opens a proposal with a ballot above any seen. The run must differ
// between two processes of one keeper, which may both want the same round.
func Begin(base, wanted wire.View, me wire.Seat, run string, above wire.Ballot) (Proposal, []wire.RegisterBody) {
	p := Proposal{Base: base, Wanted: wanted, Ballot: wire.Ballot{Round: above.Round + 1, ID: me.ID + "/" + run}, votes: map[string]bool{}}
	return p, p.ask(me, base.Witnesses)
}

func (p Proposal) ask(me wire.Seat, to []wire.Seat) []wire.RegisterBody {
	var out []wire.RegisterBody
	for _, w := range to {
		out = append(out, wire.RegisterBody{Epoch: p.Wanted.Epoch, From: me, To: w.ID, Ballot: p.Ballot, Value: p.Value, Known: p.Base})
	}
	return out
}

// Active says whether an attempt is under way.
func (p Proposal) Active() bool { return p.Wanted.Epoch > 0 }

// Take counts one answer. It returns the accepts to send once a majority has
// promised, and the decided view once enough have accepted.
func (p Proposal) Take(me wire.Seat, kind string, b wire.RegisterBody) (Proposal, []wire.RegisterBody, wire.View) {
	if p.Highest.Less(b.Promised) {
		p.Highest = b.Promised
	}
	if !p.Active() || !b.Good || b.Epoch != p.Wanted.Epoch || b.Ballot != p.Ballot || p.accepting != (kind == wire.AcceptBack) {
		return p, nil, wire.View{}
	}
	votes := map[string]bool{b.From.ID: true}
	for id := range p.votes {
		votes[id] = true
	}
	p.votes = votes
	if !p.accepting {
		if b.Value.Epoch > 0 && (p.Value.Epoch == 0 || p.best.Less(b.Accepted)) {
			p.Value, p.best = b.Value, b.Accepted
		}
		if !Majority(p.Base.Witnesses, p.votes) {
			return p, nil, wire.View{}
		}
		if p.Value.Epoch == 0 {
			p.Value = p.Wanted
		}
		p.accepting, p.votes = true, map[string]bool{}
		return p, p.ask(me, Union(p.Base.Witnesses, p.Value.Witnesses)), wire.View{}
	}
	if Majority(p.Base.Witnesses, p.votes) && Majority(p.Value.Witnesses, p.votes) {
		return p, nil, p.Value
	}
	return p, nil, wire.View{}
}

// Majority counts distinct identities of a set among the votes.
func Majority(set []wire.Seat, votes map[string]bool) bool {
	count := 0
	for _, s := range set {
		if votes[s.ID] {
			count++
		}
	}
	return count > len(set)/2
}

func Union(a, b []wire.Seat) []wire.Seat {
	out := append([]wire.Seat(nil), a...)
	for _, s := range b {
		if !Has(a, s.ID) {
			out = append(out, s)
		}
	}
	return out
}

func Has(set []wire.Seat, id string) bool {
	for _, s := range set {
		if s.ID == id {
			return true
		}
	}
	return false
}

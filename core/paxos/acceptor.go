// Package paxos decides the views of a cluster, one instance of single-decree Paxos an
// epoch. The acceptors of an epoch are the voters of the view before it. Only views are
// decided here, that is who is primary and who is backup, and no commands.
//
// An epoch is decided once a majority of the voters of the previous view have accepted a
// view at one ballot and, where that view changes the voters, a majority of its own voters
// too. Any later ballot asks a majority of the previous view's voters first, which shares
// a member with the deciding one, and must propose the view accepted at the highest ballot:
// so no epoch is decided twice with different views. The new voters must accept as well,
// since they decide the next epoch: a view is not decided if too few of them can be reached.
//
// All types are values without I/O. A reply of an acceptor may be sent only once the state
// returned with it is synced to disk, since a vote that is forgotten could be given twice.
package paxos

import "sorrelloom/core/wire"

// Acceptor is what a voter keeps on its disk: the newest view that it knows to be decided,
// and its votes in the epoch after it.
type Acceptor struct {
	KnownView wire.View   `json:"known"`
	Promised  wire.Ballot `json:"promised"`
	Accepted  wire.Ballot `json:"accepted"`
	Value     wire.View   `json:"value"`
}

// LearnView takes a decided view. It reports whether the view is newer than the known one;
// the votes are forgotten then, as their epoch is decided.
func (a Acceptor) LearnView(view wire.View) (Acceptor, bool) {
	if view.Epoch <= a.KnownView.Epoch {
		return a, false
	}
	return Acceptor{KnownView: view}, true
}

// HandleRequest replies to a prepare or accept request. It does not reply to a request that
// is addressed to another identity: a voter that lost its disk comes back with a new one,
// and must not vote in place of the old, whose votes it does not know.
func (a Acceptor) HandleRequest(
	self wire.Member, kind string, request wire.PaxosMessage,
) (next Acceptor, reply wire.PaxosMessage, ok bool) {
	if request.To != self.ID {
		return a, wire.PaxosMessage{}, false
	}
	a, _ = a.LearnView(request.KnownView)
	granted := request.Epoch == a.KnownView.Epoch+1 && !request.Ballot.Less(a.Promised)
	if granted {
		a.Promised = request.Ballot
		if kind == wire.KindAccept {
			a.Accepted, a.Value = request.Ballot, request.Value
		}
	}
	return a, wire.PaxosMessage{
		Epoch: request.Epoch, From: self, To: request.From.ID, Ballot: request.Ballot, OK: granted,
		Promised: a.Promised, Accepted: a.Accepted, Value: a.Value, KnownView: a.KnownView,
	}, true
}

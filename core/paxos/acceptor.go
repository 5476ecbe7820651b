// Package paxos decides the views of a cluster with one instance of single-decree Paxos per
// epoch. The acceptors of an epoch are the voters of the previous view. The decided value is
// the view, that is which members are primary, backups and voters; commands are not decided
// here.
//
// An epoch is decided once a majority of the previous view's voters have accepted a view at
// the same ballot and, if that view changes the voters, a majority of its own voters have
// too. Any later ballot first prepares at a majority of the previous view's voters. That
// majority overlaps with the deciding one, and the proposer must adopt the view that was
// accepted at the highest ballot, so no epoch is decided with two different views. The new
// voters must accept as well because they decide the next epoch: a view is not decided while
// too few of them are reachable.
//
// All types are values without I/O. An acceptor's reply may be sent only once the state
// returned with it is synced to disk: an acceptor that forgets a vote could vote again for
// another view.
package paxos

import "sorrelloom/core/wire"

// Acceptor is the persistent state of a voter: the newest decided view that it knows, and
// its promise and vote in the epoch after that view.
type Acceptor struct {
	KnownView wire.View   `json:"known"`
	Promised  wire.Ballot `json:"promised"`
	Accepted  wire.Ballot `json:"accepted"`
	Value     wire.View   `json:"value"`
}

// LearnView records a decided view and reports whether it is newer than the known one. If it
// is, the promise and vote are dropped, since their epoch is decided.
func (a Acceptor) LearnView(view wire.View) (Acceptor, bool) {
	if view.Epoch <= a.KnownView.Epoch {
		return a, false
	}
	return Acceptor{KnownView: view}, true
}

// HandleRequest replies to a prepare or accept request. ok is false, and there is no reply,
// if the request is addressed to another identity: a voter that lost its disk returns with a
// new identity, and must not vote for the old one, whose votes it does not know.
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

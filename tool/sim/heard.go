// When a request could be heard: bounds count from the first moment at which the
// daemons could have committed it, by what the simulation did to them.

package sim

import (
	"slices"

	"sorrelloom/core/control"
	"sorrelloom/core/replica"
	"sorrelloom/core/wire"
)

// ledgerOf is the replica of the ledger that runs in a node, nil if none does.
func ledgerOf(n *node) *replica.Replica {
	switch m := n.main.(type) {
	case *replica.Replica:
		return m
	case *control.Control:
		return m.Replica()
	}
	return nil
}

// inOrder says whether a node is up, neither frozen nor cut, and its disk as quick as usual.
func (w *World) inOrder(n *node) bool {
	return !n.troubled(w.Now, w.Now) && n.diskSlow <= 1
}

// canCommit says whether one of the replicas leads and could commit now: it and a
// second member of its view are in order. A replica that came back with an empty
// disk has a new identity and is no member until a view names it, so it can neither
// acknowledge a write nor vote for a view.
func (w *World) canCommit(replicas []*node) bool {
	return slices.ContainsFunc(replicas, func(leader *node) bool {
		k := ledgerOf(leader)
		if k == nil || !k.Serving() || !w.inOrder(leader) {
			return false
		}
		return slices.ContainsFunc(replicas, func(other *node) bool {
			return other != leader && w.inOrder(other) && isMember(k.View(), ledgerOf(other))
		})
	})
}

// isMember says whether a replica, by its identity, is a member of a view.
func isMember(view wire.View, k *replica.Replica) bool {
	return k != nil && slices.ContainsFunc(view.Voters, func(s wire.Member) bool { return s.ID == k.ID() })
}

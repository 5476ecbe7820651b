package sim

import (
	"slices"

	"sorrelloom/core/replica"
	"sorrelloom/core/wire"
)

// primaryOf returns the first node that is up and whose replica serves as primary, nil if
// there is none.
func primaryOf(nodes []*node) *node {
	for _, n := range nodes {
		if r := n.replica(); r != nil && n.state == up && r.Serving() {
			return n
		}
	}
	return nil
}

// allMembersUp reports whether the replicas of all voters of the newest view are up. Only
// then may a fault destroy another disk.
func allMembersUp(nodes []*node) bool {
	var newest wire.View
	alive := map[string]bool{}
	for _, n := range nodes {
		r := n.replica()
		if r == nil || n.state != up {
			continue
		}
		alive[r.ID()] = true
		if view := r.View(); view.Epoch > newest.Epoch {
			newest = view
		}
	}
	for _, voter := range newest.Voters {
		if !alive[voter.ID] {
			return false
		}
	}
	return newest.Epoch > 0
}

// healthy reports whether a node is up, not frozen, has no blocked links, and has a disk of
// normal speed.
func (w *World) healthy(n *node) bool {
	return !n.faultyDuring(w.Now, w.Now) && n.diskSlowFactor <= 1
}

// canCommit reports whether one of the replicas leads and could commit now, which requires
// that it and a second member of its view are healthy. A replica that restarted with an
// empty disk has a new identity. Until a view includes it, it is not a member, and can
// neither acknowledge a write nor vote for a view.
func (w *World) canCommit(replicas []*node) bool {
	return slices.ContainsFunc(replicas, func(leader *node) bool {
		r := leader.replica()
		if r == nil || !r.Serving() || !w.healthy(leader) {
			return false
		}
		return slices.ContainsFunc(replicas, func(other *node) bool {
			return other != leader && w.healthy(other) && isMember(r.View(), other.replica())
		})
	})
}

// isMember reports whether a replica, by its identity, is a member of a view.
func isMember(view wire.View, r *replica.Replica) bool {
	return r != nil && slices.ContainsFunc(view.Voters, func(m wire.Member) bool { return m.ID == r.ID() })
}

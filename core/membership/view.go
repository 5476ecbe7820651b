package membership

import (
	"sort"
	"time"

	"sorrelloom/core/machine"
	"sorrelloom/core/wire"
)

const (
	// entryTTL is how long an entry is kept after its node last refreshed it.
	entryTTL = 6 * time.Second
	// tombstoneTTL is how long a tombstone is kept.
	tombstoneTTL = 2 * time.Minute
	// maxPerRoleAndZone is the maximum number of entries of one role in one zone.
	maxPerRoleAndZone = 8
)

// entry is the newest known description of a node. In a tombstone it is the last one
// before the node's entry was removed.
type entry struct {
	node wire.Node
	// updatedAt is when the entry was last refreshed, or when the tombstone was created.
	updatedAt time.Duration
}

// partialView holds entries and tombstones of other nodes by node ID. A node never has
// both.
type partialView struct {
	entries    map[string]entry
	tombstones map[string]entry
}

// appendNodes appends the known nodes to a list, in no particular order.
func (v *partialView) appendNodes(nodes []wire.Node) []wire.Node {
	for _, e := range v.entries {
		nodes = append(nodes, e.node)
	}
	return nodes
}

// addresses returns the addresses of the known nodes, sorted.
func (v *partialView) addresses() []string {
	var addresses []string
	for _, e := range v.entries {
		addresses = append(addresses, e.node.Address)
	}
	sort.Strings(addresses)
	return addresses
}

func (v *partialView) replicaCount() (count int) {
	for _, e := range v.entries {
		if e.node.Role == wire.RoleReplica {
			count++
		}
	}
	return count
}

// expire replaces entries older than entryTTL with tombstones, and deletes tombstones
// older than tombstoneTTL.
func (v *partialView) expire(now time.Duration, out *machine.Output) {
	for id, e := range v.entries {
		if now-e.updatedAt > entryTTL {
			v.remove(now, id)
			out.Log("node_forgotten", "node", id, "address", e.node.Address)
		}
	}
	for id, e := range v.tombstones {
		if now-e.updatedAt > tombstoneTTL {
			delete(v.tombstones, id)
		}
	}
}

// remove replaces an entry with a tombstone.
func (v *partialView) remove(now time.Duration, id string) {
	v.tombstones[id] = entry{v.entries[id].node, now}
	delete(v.entries, id)
}

// merge adds or updates an entry if it is newer than what is known of the node. An
// entry sent by the node itself (firstHand) is also accepted with an earlier
// incarnation, which results if the node's clock went back. Only one node is kept per
// address: the newer one, or one that sent its own entry.
func (v *partialView) merge(now time.Duration, node wire.Node, firstHand bool) {
	if tombstone, ok := v.tombstones[node.ID]; ok && !firstHand && !newer(node, tombstone.node) {
		return
	}
	delete(v.tombstones, node.ID)
	if old, ok := v.entries[node.ID]; ok {
		if newer(node, old.node) || firstHand && node.Incarnation < old.node.Incarnation {
			v.entries[node.ID] = entry{node, now}
		}
		return
	}
	if !v.replaceAtAddress(now, node, firstHand) {
		return
	}
	v.evictOldest(node)
	v.entries[node.ID] = entry{node, now}
}

// replaceAtAddress removes other nodes at the address of a new one. It returns false if
// the new node did not send its entry itself and one of the others is newer.
func (v *partialView) replaceAtAddress(now time.Duration, node wire.Node, firstHand bool) bool {
	for id, e := range v.entries {
		if e.node.Address != node.Address {
			continue
		}
		if !firstHand && !newer(node, e.node) {
			return false
		}
		v.remove(now, id)
	}
	return true
}

// evictOldest makes space for a node: if there are maxPerRoleAndZone entries of its
// role and zone, it deletes the one that was refreshed longest ago. It leaves no
// tombstone, so that the evicted node may be added again at any time.
func (v *partialView) evictOldest(node wire.Node) {
	count, oldest := 0, ""
	for id, e := range v.entries {
		if e.node.Role != node.Role || e.node.Zone != node.Zone {
			continue
		}
		count++
		if oldest == "" || v.refreshedBefore(id, oldest) {
			oldest = id
		}
	}
	if count >= maxPerRoleAndZone {
		delete(v.entries, oldest)
	}
}

// refreshedBefore orders two entries by their last refresh, then by ID.
func (v *partialView) refreshedBefore(id, other string) bool {
	a, b := v.entries[id].updatedAt, v.entries[other].updatedAt
	return a < b || a == b && id < other
}

// newer reports whether entry a of a node supersedes entry b.
func newer(a, b wire.Node) bool {
	if a.Incarnation != b.Incarnation {
		return a.Incarnation > b.Incarnation
	}
	return a.Version > b.Version
}

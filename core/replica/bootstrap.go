package replica

import (
	"cmp"
	"slices"
	"time"

	"sorrelloom/core/paxos"
	"sorrelloom/core/wire"
)

// minVoters is the minimum number of voters in a view.
const minVoters = 3

// bootstrap holds the first view if this replica created it; otherwise the view's epoch is 0.
type bootstrap struct {
	view    wire.View
	writeID uint64 // of the write that syncs it
}

// synced reports whether the view is on the disk once the given write is complete.
func (b *bootstrap) synced(writeID uint64) bool {
	return b.view.Epoch > 0 && writeID >= b.writeID
}

// tryBootstrap creates the first view of a cluster once all founders have reported that their
// disks are empty or that they have none.
//
// At most one replica does so: of the founders with a disk, the one with the lowest address.
// Since all founders must have answered, each of them knows which one that is. If no founder
// has a disk, it is the replica with the lowest address in the membership list. The members
// are the founders. If these are too few, or one zone would contain more of them than may be
// lost, it waits for other replicas and adds them.
func (r *Replica) tryBootstrap(now time.Duration) {
	if r.view().Epoch > 0 || r.bootstrap.view.Epoch > 0 || !r.identitySynced || len(r.config.Founders) < minVoters {
		return
	}
	waited := now-r.startedAt > bootstrapWait
	founders, founderCount, ok := r.foundersWithDisk()
	if !ok || !r.mayBootstrap(founderCount, waited) {
		return
	}
	others := r.discovery.announced(now, func(a announcement) bool {
		return a.Empty && !paxos.ContainsMember(founders, a.Member.ID)
	})
	backupCount := max(1, r.config.BackupCount)
	members, ok := chooseFirstMembers(r.self, founders, founderCount, others, backupCount, waited)
	if !ok {
		return
	}
	r.writeFirstView(wire.View{
		Epoch: 1, BootID: r.config.BootID, Primary: members[0],
		Backups: members[1 : 1+min(backupCount, (len(members)-1)/2)], Voters: members,
	})
}

// foundersWithDisk returns this replica and the founders with a disk, and how many of these
// members are founders. ok is false if a founder has not answered, knows a view, or is the one
// that creates the first view instead of this replica.
func (r *Replica) foundersWithDisk() (members []wire.Member, count int, ok bool) {
	members = []wire.Member{r.self}
	for _, address := range r.config.Founders {
		a := r.discovery.announcements[address]
		switch {
		case address == r.self.Address:
			count++
		case a.Member.ID == "" || !a.Empty:
			return nil, 0, false
		case a.Proxy:
			// A proxy has no disk.
		case address < r.self.Address || paxos.ContainsMember(members, a.Member.ID):
			return nil, 0, false
		default:
			count++
			members = append(members, a.Member)
		}
	}
	return members, count, true
}

// mayBootstrap reports whether this replica is the one that creates the first view.
func (r *Replica) mayBootstrap(founderCount int, waited bool) bool {
	if founderCount > 0 {
		return slices.Contains(r.config.Founders, r.self.Address)
	}
	isLower := func(node wire.Node) bool { return node.Address < r.self.Address }
	return waited && !slices.ContainsFunc(r.discovery.replicas(), isLower)
}

// chooseFirstMembers selects the members of the first view: first the primary, then the
// backups, then the other voters. ok is false if there are too few, or, until the wait is
// over, if there are fewer than wanted or too many of them in one zone.
func chooseFirstMembers(
	self wire.Member, founders []wire.Member, founderCount int, others []wire.Member, backupCount int, waited bool,
) (members []wire.Member, ok bool) {
	byAddress := func(a, b wire.Member) int { return cmp.Compare(a.Address, b.Address) }
	slices.SortFunc(founders, byAddress)
	slices.SortFunc(others, byAddress)
	members = founders
	if backupCount > 1 || founderCount < minVoters || maxPerZone(founders) > backupCount {
		wanted := 2*backupCount + 1
		members = spreadOverZones(self, slices.Concat(founders, others), wanted)
		if !waited && (len(members) < wanted || maxPerZone(members) > backupCount) {
			return nil, false
		}
		if len(members)%2 == 0 {
			members = members[:len(members)-1]
		}
	}
	return members, len(members) >= minVoters
}

// writeFirstView writes the first view to the disk. This replica adopts and announces it only
// once it is synced. Otherwise all replicas could lose power while only a replica that is not
// a founder has the view on its disk; the founders would then create another first view, and
// both views could have successors.
func (r *Replica) writeFirstView(view wire.View) {
	r.bootstrap = bootstrap{view: view, writeID: r.disk.lastWriteID + 1}
	r.disk.putRecord(keyAcceptor, paxos.Acceptor{KnownView: view})
}

// spreadOverZones selects up to count members, beginning with first. Each further one comes
// from the zone with the fewest selected members; ties are broken by the order of from.
func spreadOverZones(first wire.Member, from []wire.Member, count int) []wire.Member {
	out, perZone := []wire.Member{first}, map[string]int{first.Zone: 1}
	for len(out) < min(count, len(from)) {
		var best *wire.Member
		for i, member := range from {
			if !paxos.ContainsMember(out, member.ID) && (best == nil || perZone[member.Zone] < perZone[best.Zone]) {
				best = &from[i]
			}
		}
		out = append(out, *best)
		perZone[best.Zone]++
	}
	return out
}

// maxPerZone returns the number of members in the zone that has the most.
func maxPerZone(members []wire.Member) (count int) {
	perZone := map[string]int{}
	for _, member := range members {
		perZone[member.Zone]++
		count = max(count, perZone[member.Zone])
	}
	return count
}

package sim

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"sorrelloom/core/wire"
)

// lostReplica describes the loss of a replica and its replacement by an empty one. role is
// primary, backup, or third for the replica that is neither.
type lostReplica struct {
	role       string
	newAddress bool // the empty one has a new address
	bootDelay  time.Duration
	bound      time.Duration
	// joinTime is the time from the start of the empty replica until it was a member, twice
	// the bound if that took longer, 0 if it was never started.
	joinTime time.Duration
}

// TestEmptyReplicaJoins replaces replicas under traffic by empty ones, at the same address, or
// at a new address with three gateways as seeds. It checks the time from the start of the
// empty replica until it is a member of the view of a serving primary.
func TestEmptyReplicaJoins(t *testing.T) {
	var runs []Options
	var rows []*lostReplica
	for i, role := range []string{"primary", "backup", "third"} {
		for _, row := range []*lostReplica{
			{role, false, 0, 1500 * time.Millisecond, 0},
			{role, false, 2 * time.Second, 1500 * time.Millisecond, 0},
			{role, true, 0, 4 * time.Second, 0},
			{role, true, 2 * time.Second, 1500 * time.Millisecond, 0},
		} {
			deployment := []string{"reseller", "podcast"}[(i+len(runs))%2]
			options := fleetOptions(t, deployment, 1100+uint64(len(runs)), "none")
			options.Duration = 20 * time.Second
			options.Prepare = func(s *FleetScenario) {
				s.world.At(12*time.Second, func() { row.wipeAndReplace(s) })
			}
			rows, runs = append(rows, row), append(runs, options)
		}
	}
	for i, r := range PlayFleets(runs) {
		row := rows[i]
		name := fmt.Sprintf("%s lost, empty replica at new address=%v after %s, seed %d",
			row.role, row.newAddress, row.bootDelay, runs[i].Seed)
		if len(r.Violations) > 0 || row.joinTime == 0 || row.joinTime > row.bound {
			t.Errorf("%s: member after %s, want at most %s: %v", name, row.joinTime, row.bound, r.Violations)
		}
		t.Logf("%s: member after %s", name, row.joinTime)
	}
}

// find returns the index of the replica among those of a scenario.
func (l *lostReplica) find(s *FleetScenario) int {
	view := s.primary().replica().View()
	return slices.IndexFunc(s.replicas, func(n *node) bool {
		role := "third"
		switch n.replica().ID() {
		case view.Primary.ID:
			role = "primary"
		case view.Backups[0].ID:
			role = "backup"
		}
		return role == l.role
	})
}

// wipeAndReplace wipes the replica, starts an empty one in its place after bootDelay, and
// measures the time until that has joined.
func (l *lostReplica) wipeAndReplace(s *FleetScenario) {
	s.expectDegradedByDaemons(9 * time.Second)
	i := l.find(s)
	n := s.replicas[i]
	s.world.Wipe(n)
	s.world.After(l.bootDelay, func() {
		if l.newAddress {
			seeds := addressesOf(s.daemons[len(s.daemons)-3:])
			fresh := s.world.AddNode(roleReplica, "keeper-new", n.zone, "10.9.1.1:7000", seeds, nil)
			s.replaceDaemon(n, fresh)
			n, s.replicas[i] = fresh, fresh
		} else {
			s.world.Boot(n)
		}
		l.watchJoin(s, n.replica().ID())
	})
}

// watchJoin sets joinTime to the time until a replica is a member, at most twice the bound.
func (l *lostReplica) watchJoin(s *FleetScenario, id string) {
	since := s.world.Now
	var poll func()
	poll = func() {
		primary := s.primary()
		isMember := func(m wire.Member) bool { return m.ID == id }
		switch {
		case primary != nil && slices.ContainsFunc(primary.replica().View().Voters, isMember):
			l.joinTime = s.world.Now - since
		case s.world.Now-since > 2*l.bound:
			l.joinTime = 2 * l.bound
		default:
			s.world.After(5*time.Millisecond, poll)
		}
	}
	poll()
}

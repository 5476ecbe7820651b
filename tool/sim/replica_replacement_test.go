package sim

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"sorrelloom/core/wire"
)

// lostReplica is a replica whose place an empty one takes.
type lostReplica struct {
	role      string
	elsewhere bool // the empty one has a new address
	after     time.Duration
	bound     time.Duration
	// joinTime is how long the empty one took to become a member, once it could be reached.
	joinTime time.Duration
}

// TestEmptyReplicaJoins gives each replica's place to an empty one, under traffic: at the
// same address, or at a new one that knows three gateways. Measured from when it can be
// reached until it is a member of a view that is served.
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
				s.world.At(12*time.Second, func() { row.replaceIn(s) })
			}
			rows, runs = append(rows, row), append(runs, options)
		}
	}
	for i, r := range PlayFleets(runs) {
		row := rows[i]
		name := fmt.Sprintf("%s lost, empty replica elsewhere=%v after %s, seed %d",
			row.role, row.elsewhere, row.after, runs[i].Seed)
		if len(r.Violations) > 0 || row.joinTime == 0 || row.joinTime > row.bound {
			t.Errorf("%s: member after %s, at most %s: %v", name, row.joinTime, row.bound, r.Violations)
		}
		t.Logf("%s: member after %s", name, row.joinTime)
	}
}

// find returns where the replica is among those of a scenario.
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

// replaceIn loses the replica, gives its place to an empty one, and measures how long that
// takes to join.
func (l *lostReplica) replaceIn(s *FleetScenario) {
	s.degradeDaemons(9 * time.Second)
	i := l.find(s)
	n := s.replicas[i]
	s.world.Wipe(n)
	s.world.After(l.after, func() {
		if l.elsewhere {
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

// watchJoin measures the time until a replica is a member, up to twice the bound.
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

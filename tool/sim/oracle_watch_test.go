package sim

import (
	"testing"
	"time"

	"sorrelloom/core/gateway"
	"sorrelloom/core/machine"
)

// replicasByRole are a scenario's replicas by their role in the view.
type replicasByRole struct{ leader, backup, third *node }

func findRoles(s *FleetScenario) replicasByRole {
	view := s.primary().replica().View()
	var found replicasByRole
	for _, n := range s.replicas {
		switch n.replica().ID() {
		case view.Primary.ID:
			found.leader = n
		case view.Backups[0].ID:
			found.backup = n
		default:
			found.third = n
		}
	}
	return found
}

// TestRequestCountsFromWhenItCanCommit breaks replicas at 10 s of a quiet run and compares
// what the oracle takes for committable with what the leader commits: the moment from which
// the bounds count is no earlier than a request can be committed, and no later.
func TestRequestCountsFromWhenItCanCommit(t *testing.T) {
	for _, row := range []struct {
		name        string
		fault       func(s *FleetScenario, r replicasByRole)
		committable bool
	}{
		{"nothing is broken", func(*FleetScenario, replicasByRole) {}, true},
		{"the third is down", func(s *FleetScenario, r replicasByRole) { s.world.Kill(r.third) }, true},
		{"the backup is down", func(s *FleetScenario, r replicasByRole) { s.world.Kill(r.backup) }, true},
		{"the leader is frozen and another leads", func(s *FleetScenario, r replicasByRole) {
			s.world.Freeze(r.leader)
		}, true},
		{"the third lost its disk and is back", func(s *FleetScenario, r replicasByRole) {
			s.world.Wipe(r.third)
			s.world.Boot(r.third)
		}, true},
		{"both others are down", func(s *FleetScenario, r replicasByRole) {
			s.world.Kill(r.third)
			s.world.Kill(r.backup)
		}, false},
		{"the third is down, the backup lost its disk and is back", func(s *FleetScenario, r replicasByRole) {
			s.world.Kill(r.third)
			s.world.Wipe(r.backup)
			s.world.Boot(r.backup)
		}, false},
	} {
		t.Run(row.name, func(t *testing.T) {
			t.Parallel()
			options := fleetOptions(t, "reseller", 3, "none")
			options.NoTraffic, options.Duration = true, 20*time.Second
			options.Prepare = func(s *FleetScenario) {
				expectCommit(t, s, row.committable, func() { row.fault(s, findRoles(s)) })
			}
			PlayFleet(options)
		})
	}
}

// expectCommit breaks something, and checks some time later whether the oracle takes a
// request for committable, and whether it is committed.
func expectCommit(t *testing.T, s *FleetScenario, want bool, breakReplicas func()) {
	const (
		brokenAt = 10 * time.Second
		// settled is time for a successor to lead and for the gateways to find it.
		settled = 4 * time.Second
		// asking is how long an operator's request is given.
		asking = 3 * time.Second
	)
	s.world.At(brokenAt, breakReplicas)
	s.world.At(brokenAt+settled, func() {
		if committable := s.canServe(s.gatewayFor(0)); committable != want {
			t.Errorf("committable=%v, want %v", committable, want)
		}
		committed := false
		request := machine.Request{
			Kind: gateway.RequestSetZoneDrained, Name: s.zones[0], Enable: true, IdempotencyKey: "heard",
		}
		from := client{operatorName, s.zones[0]}
		s.world.CallGateway(from, s.gatewayFor(0), request, asking, func(r gateway.Reply, ok bool) {
			committed = ok && r.StatusCode == 200
		})
		s.world.After(asking, func() {
			if committed != want {
				t.Errorf("committed within %s: %v, want %v", asking, committed, want)
			}
		})
	})
}

// TestUncommittableCancelCountsFromService plays a run in which one replica was isolated,
// then killed, while another had come back with an empty disk: nothing could be committed
// from 15.978 s to 23.227 s.
func TestUncommittableCancelCountsFromService(t *testing.T) {
	requirement, err := RequirementByName("come-back")
	if err != nil {
		t.Fatal(err)
	}
	options := fleetOptions(t, "reseller", 0, "none")
	options.Duration = time.Minute
	runs, err := requirement.Runs(options, []uint64{4})
	if err != nil {
		t.Fatal(err)
	}
	// The requirement's own check has nothing to judge in this run any more, since no request
	// is rejected; what counts here is that cancellations are judged, and nothing is violated.
	for _, r := range PlayFleets(runs) {
		if len(r.Violations) > 0 {
			t.Errorf("%v", r.Violations)
		}
		if r.Judged["start-after-cancel"] == 0 {
			t.Errorf("no cancellation was judged: %v", r.Judged)
		}
	}
}

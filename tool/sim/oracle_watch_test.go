package sim

import (
	"testing"
	"time"

	"sorrelloom/core/gateway"
	"sorrelloom/core/machine"
)

// replicasByRole holds the replicas of a scenario by their role in the view; third is neither
// leader nor backup.
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

// TestRequestCountsFromWhenItCanCommit guards against bounds that count from the wrong time.
// It injects faults into replicas at 10 s of a run without traffic, and checks that canServe
// reports that a request can be committed exactly if the replicas do commit one.
func TestRequestCountsFromWhenItCanCommit(t *testing.T) {
	for _, row := range []struct {
		name        string
		fault       func(s *FleetScenario, r replicasByRole)
		committable bool
	}{
		{"no fault", func(*FleetScenario, replicasByRole) {}, true},
		{"the third is down", func(s *FleetScenario, r replicasByRole) { s.world.Kill(r.third) }, true},
		{"the backup is down", func(s *FleetScenario, r replicasByRole) { s.world.Kill(r.backup) }, true},
		{"the leader is frozen and another leads", func(s *FleetScenario, r replicasByRole) {
			s.world.Freeze(r.leader)
		}, true},
		{"the third lost its disk and restarted", func(s *FleetScenario, r replicasByRole) {
			s.world.Wipe(r.third)
			s.world.Boot(r.third)
		}, true},
		{"both others are down", func(s *FleetScenario, r replicasByRole) {
			s.world.Kill(r.third)
			s.world.Kill(r.backup)
		}, false},
		{"the third is down, the backup lost its disk and restarted", func(s *FleetScenario, r replicasByRole) {
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

// expectCommit injects a fault, and later checks that canServe reports what is wanted, and
// that a request is committed or not committed accordingly.
func expectCommit(t *testing.T, s *FleetScenario, want bool, breakReplicas func()) {
	const (
		brokenAt = 10 * time.Second
		// settleDelay is the time given to a successor to take over and to the gateways to
		// find it.
		settleDelay = 4 * time.Second
		// requestTimeout is the time given to an operator's request.
		requestTimeout = 3 * time.Second
	)
	s.world.At(brokenAt, breakReplicas)
	s.world.At(brokenAt+settleDelay, func() {
		if committable := s.canServe(s.gatewayFor(0)); committable != want {
			t.Errorf("canServe: %v, want %v", committable, want)
		}
		committed := false
		request := machine.Request{
			Kind: gateway.RequestSetZoneDrained, Name: s.zones[0], Enable: true, IdempotencyKey: "heard",
		}
		from := client{operatorName, s.zones[0]}
		s.world.CallGateway(from, s.gatewayFor(0), request, requestTimeout, func(r gateway.Reply, ok bool) {
			committed = ok && r.StatusCode == 200
		})
		s.world.After(requestTimeout, func() {
			if committed != want {
				t.Errorf("committed within %s: %v, want %v", requestTimeout, committed, want)
			}
		})
	})
}

// TestUncommittableCancelCountsFromService guards against a bound on cancellations that
// counts from a time at which none could be committed. In the run that it plays, one replica
// was isolated and then killed while another had restarted with an empty disk, so that
// nothing could be committed from 15.978 s to 23.227 s.
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
	// The requirement's own check has nothing to judge in this run, since no request is
	// rejected. The test needs only that cancellations are judged and no check fails.
	for _, r := range PlayFleets(runs) {
		if len(r.Violations) > 0 {
			t.Errorf("%v", r.Violations)
		}
		if r.Judged["start-after-cancel"] == 0 {
			t.Errorf("no cancellation was judged: %v", r.Judged)
		}
	}
}

package sim

import (
	"slices"
	"strings"
	"testing"
	"time"

	"sorrelloom/core/machine"
	"sorrelloom/core/state"
	"sorrelloom/core/wire"
	"sorrelloom/tool/fakeworker"
)

// loseAllReplicas cuts the power of all replicas at once and restores it 2 s later.
func loseAllReplicas(s *FleetScenario) {
	s.world.At(15*time.Second, func() {
		s.expectDegradedByDaemons(12 * time.Second)
		for _, n := range s.replicas {
			s.world.Kill(n)
			s.world.After(2*time.Second, func() { s.world.Boot(n) })
		}
	})
}

// loseWrites makes the disks of all replicas acknowledge writes and drop them.
func loseWrites(s *FleetScenario) {
	for _, n := range s.replicas {
		n.diskLosesWrites = true
	}
}

// wipeOnAccept makes the primary lose its disk when the next job is accepted.
func wipeOnAccept(s *FleetScenario) {
	s.world.At(14*time.Second, func() { FleetFaults["wipe-after-yes"](s) })
}

// forgeAcks drops the primary's replicate requests and forges the acknowledgements of the
// backup, so that commands are stored on the primary only.
func forgeAcks(t *testing.T) func(*FleetScenario) {
	return func(s *FleetScenario) {
		s.world.At(13500*time.Millisecond, func() {
			s.world.intercept = func(n *node, sent machine.OutgoingMessage) bool {
				request, ok := sent.Body.(wire.ReplicateRequest)
				if !ok || s.lastFaultAt > 0 {
					return false
				}
				message := machine.Message{
					Version: 1, Kind: wire.KindReplicateAck, From: sent.To,
					Body: machine.MustMarshal(forgedAck(t, request, sent.To)),
				}
				s.world.After(time.Millisecond, func() {
					s.world.runIn(n, n.incarnation, func() { s.world.step(n, machine.Input{Message: message}, false) })
				})
				return true
			}
		})
	}
}

// forgedAck returns an acknowledgement of all commands in a replicate request, in the name
// of the member at an address.
func forgedAck(t *testing.T, request wire.ReplicateRequest, address string) wire.ReplicateAck {
	ack := wire.ReplicateAck{
		BootID: request.BootID, Epoch: request.View.Epoch, SendID: request.SendID,
		Position: request.Previous, OK: true, KnownView: request.View,
	}
	if len(request.Commands) > 0 {
		last, err := state.Decode(request.Commands[len(request.Commands)-1])
		if err != nil {
			t.Fatal(err)
		}
		ack.Position = last.LogPosition
	}
	for _, member := range request.View.Voters {
		if member.Address == address {
			ack.From = member
		}
	}
	return ack
}

// ignoreLeaseExpiry isolates four workers with the given faults, and makes them ignore the
// expiry of their leases.
func ignoreLeaseExpiry(faults fakeworker.Faults) func(*FleetScenario) {
	faults.IgnoreLeaseExpiry = true
	return func(s *FleetScenario) {
		for i := range 4 {
			s.world.At(9*time.Second, func() { s.workerAt(i).setFaults(s.world.Now, faults) })
			s.world.At(12*time.Second, func() { s.setIsolated(s.workerAt(i), true) })
			s.world.At(24*time.Second, func() {
				s.workerAt(i).setFaults(s.world.Now, fakeworker.Faults{})
				s.setIsolated(s.workerAt(i), false)
			})
		}
	}
}

// holdLostAttempts configures that no class restarts attempts that were lost with their
// worker.
func holdLostAttempts(s *FleetScenario) {
	s.world.At(8*time.Second, func() {
		s.changeConfig(`{"services":{"tickets":{"classes":{"lookup":{"silence":"hold"},"check":{"silence":"hold"}}}}}`)
	})
}

// restoreOlderConfig reports to the oracle that a daemon went back to an older configuration.
func restoreOlderConfig(s *FleetScenario) {
	s.world.At(12*time.Second, func() { s.changeConfig(`{"limits":{"keep":"20m"}}`) })
	s.world.At(14*time.Second, func() {
		n := s.daemons[len(s.daemons)-1]
		s.observeConfig(n, n.configVersion-1)
	})
}

// dropFeedUpdates drops the change feed's updates to one scheduler while the configuration
// changes.
func dropFeedUpdates(s *FleetScenario) {
	s.world.At(11*time.Second, func() {
		s.world.intercept = func(_ *node, sent machine.OutgoingMessage) bool {
			return sent.To == s.daemons[8].address && sent.Kind == wire.KindFeedUpdate
		}
	})
	s.world.At(13*time.Second, func() { s.changeConfig(`{"limits":{"keep":"20m"}}`) })
	s.world.At(17*time.Second, func() { s.world.intercept = nil })
}

// TestBrokenFleetsAreDetected guards against checks that miss violations. It plays fleets
// with daemons or workers that break their contract on purpose; the oracle must find that,
// and must find nothing in the same runs with correct daemons and workers.
func TestBrokenFleetsAreDetected(t *testing.T) {
	type prepares = []func(*FleetScenario)
	slow, unlimited := fakeworker.Faults{SlowFactor: 20}, fakeworker.Faults{SlowFactor: 300, IgnoreRunLimit: true}
	table := []struct {
		name     string
		prepares prepares
		want     string // one of these checks must be violated; none if empty
	}{
		{"power lost on all replicas at once", prepares{loseAllReplicas}, ""},
		{
			"power lost on all replicas at once, with disks that acknowledge writes and drop them",
			prepares{loseWrites, loseAllReplicas}, "job-forgotten",
		},
		{
			"a primary that accepts without waiting for its backup, and then loses its disk",
			prepares{wipeOnAccept, forgeAcks(t)}, "job-forgotten again-after-good",
		},
		{"a primary that accepts with two disks, and then loses its disk", prepares{wipeOnAccept}, ""},
		{"isolated workers that ignore the expiry of their leases", prepares{ignoreLeaseExpiry(slow)}, ""},
		{
			"isolated workers that ignore the expiry of their leases and their run limit",
			prepares{ignoreLeaseExpiry(unlimited)}, "twice-at-once",
		},
		{
			"the same workers, where every class holds lost attempts",
			prepares{holdLostAttempts, ignoreLeaseExpiry(unlimited)}, "",
		},
		{"a daemon that goes back to an older configuration", prepares{restoreOlderConfig}, "plan-went-back"},
		{"a daemon that receives no configuration, without a known fault", prepares{dropFeedUpdates}, "plan-ignored"},
	}
	runs := make([]Options, len(table))
	for i, row := range table {
		runs[i] = fleetOptions(t, "reseller", 11, "none")
		runs[i].Duration = 22 * time.Second
		runs[i].Prepare = func(s *FleetScenario) {
			for _, prepare := range row.prepares {
				prepare(s)
			}
		}
	}
	for i, r := range PlayFleets(runs) {
		row := table[i]
		var found []string
		for _, violation := range r.Violations {
			found = append(found, violation.Check)
		}
		slices.Sort(found)
		found = slices.Compact(found)
		asWanted := slices.ContainsFunc(found, func(check string) bool {
			return slices.Contains(strings.Fields(row.want), check)
		})
		if row.want == "" && len(found) > 0 || row.want != "" && !asWanted {
			t.Errorf("%s: found %v, want %q; %v", row.name, found, row.want, r.Violations[:min(3, len(r.Violations))])
		}
	}
}

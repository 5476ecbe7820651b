package sim

import (
	"testing"
	"time"
)

// TestSiteOutlivesAllItsReplicas guards against agents and gateways that no longer find the
// primary after all control processes were replaced. These are replaced one after another at
// new addresses while jobs are submitted, and at the end all of them lose power. Agents and
// gateways must find each new primary, and the probes must be served.
func TestSiteOutlivesAllItsReplicas(t *testing.T) {
	var runs []Options
	for seed := range uint64(6) {
		runs = append(runs, turnoverRun(SmallSize, 1+seed))
	}
	runs = append(runs, turnoverRun(MediumSize, 1))
	for i, r := range playParallel(runs, PlayControl) {
		for _, violation := range r.Violations {
			t.Errorf("run %d, seed %d: %s: %s", i, r.Seed, violation.Check, violation.Reason)
		}
		if r.FaultsInjected[TurnoverFault] == 0 {
			t.Errorf("run %d: the replicas were not replaced", i)
		}
	}
}

// turnoverRun returns the options of a run in which the control processes are replaced one
// after another, from second 8 on.
func turnoverRun(size Size, seed uint64) Options {
	const firstReplacement, perReplica = 8 * time.Second, 20 * time.Second
	return Options{
		Seed: seed, Size: size, Duration: firstReplacement + time.Duration(size.Controls)*perReplica,
		LastFault: "kill-centers",
		PrepareControl: func(s *ControlScenario) {
			s.world.At(firstReplacement, func() { s.injectFault(TurnoverFault) })
		},
	}
}

package sim

import (
	"slices"
	"strings"
	"testing"
	"time"

	"sorrelloom/tool/deploy"
)

// fleetOptions are those of a fleet scenario with some faults.
func fleetOptions(t *testing.T, deployment string, seed uint64, faults string) Options {
	t.Helper()
	d, err := deploy.Get(deployment)
	if err != nil {
		t.Fatal(err)
	}
	names, err := ParseFleetFaults(faults)
	if err != nil {
		t.Fatal(err)
	}
	return Options{Seed: seed, Deployment: d, Faults: names, Duration: 45 * time.Second}
}

// replicaFaults are faults of the replicas alone.
const replicaFaults = "wipe,replace,kill-primary,split,cut-one-way,slow-disk,freeze,wipe-after-yes,stop"

// fixedSeeds are runs with all faults mixed, runs with quick jobs beside waves of batches,
// and seeds that found a failure once.
func fixedSeeds(t *testing.T) []Options {
	t.Helper()
	var runs []Options
	for seed := range uint64(6) {
		runs = append(runs,
			fleetOptions(t, "reseller", 100+seed, "all"),
			fleetOptions(t, "podcast", 200+seed, "all"))
	}
	for seed := range uint64(2) {
		runs = append(runs,
			fleetOptions(t, "reseller", 300+seed, "crowd,large,impossible,plan-storm,plan-large"),
			fleetOptions(t, "podcast", 400+seed, "kill-primary,freeze,wipe,worker-cut"))
	}
	for _, found := range []Options{
		// Found as plan-ignored: a subscriber that threw away the word of who leads, and a
		// whole zone that booted knowing no replica.
		fleetOptions(t, "podcast", 2011, "all"),
		fleetOptions(t, "reseller", 505, "all"),
		fleetOptions(t, "podcast", 2023, "all"),
		fleetOptions(t, "podcast", 4019, replicaFaults),
		fleetOptions(t, "podcast", 4025, replicaFaults),
		fleetOptions(t, "podcast", 4028, replicaFaults),
		fleetOptions(t, "reseller", 4016, replicaFaults),
	} {
		found.Duration = 60 * time.Second
		runs = append(runs, found)
	}
	return runs
}

// TestFleetSeeds plays the fixed seeds, which judge every check.
func TestFleetSeeds(t *testing.T) {
	runs := fixedSeeds(t)
	judged := map[string]int{}
	for i, r := range PlayFleets(runs) {
		options := runs[i]
		for check, count := range r.Judged {
			judged[check] += count
		}
		for _, violation := range r.Violations {
			t.Errorf("%s: %s\n  again: simulate -deployment %s -faults %s -for %s -from %d -to %d",
				violation.Check, violation.Reason, options.Deployment.Name, strings.Join(options.Faults, ","),
				options.Duration, options.Seed, options.Seed)
		}
	}
	for _, check := range FleetChecks {
		if judged[check] == 0 {
			t.Errorf("%s judged nothing in all these runs", check)
		}
	}
	t.Logf("judged: %v", judged)
}

// TestEveryLastFleetFault ends a quiet run with each fault in turn; 12 s later every class
// of job must be served again.
func TestEveryLastFleetFault(t *testing.T) {
	var runs []Options
	for i, name := range FleetFaultNames() {
		options := fleetOptions(t, []string{"reseller", "podcast"}[i%2], 700+uint64(i), "none")
		options.Duration, options.LastFault = 20*time.Second, name
		runs = append(runs, options)
	}
	for i, r := range PlayFleets(runs) {
		for _, violation := range r.Violations {
			t.Errorf("last fault %s, %s: %s: %s",
				runs[i].LastFault, runs[i].Deployment.Name, violation.Check, violation.Reason)
		}
		if r.Judged["not-served-again"] != 6 {
			t.Errorf("last fault %s: %d probes", runs[i].LastFault, r.Judged["not-served-again"])
		}
	}
}

// requirementRuns are the runs that play each requirement once, and of which each is.
func requirementRuns(t *testing.T) (runs []Options, of []int) {
	t.Helper()
	for i, requirement := range Requirements {
		// A rejection with a time is rare now that any two replicas go on: one run may
		// judge none, so four are played, and all of them must hold.
		first := 900 + uint64(i)
		seeds := []uint64{first}
		if requirement.Name == "come-back" {
			seeds = append(seeds, first+1, first+2, first+3)
		}
		options := fleetOptions(t, []string{"podcast", "reseller"}[i%2], 0, "none")
		played, err := requirement.Runs(options, seeds)
		if err != nil {
			t.Fatalf("%s: %v", requirement.Name, err)
		}
		runs = append(runs, played...)
		of = append(of, slices.Repeat([]int{i}, len(played))...)
	}
	return runs, of
}

// TestEveryRequirementIsPlayed plays each requirement once under the faults that bring its
// failure about. A verdict without anything judged must not hold.
func TestEveryRequirementIsPlayed(t *testing.T) {
	runs, of := requirementRuns(t)
	results := make([][]Result, len(Requirements))
	for i, r := range PlayFleets(runs) {
		results[of[i]] = append(results[of[i]], r)
	}
	covered := map[string]bool{}
	for i, requirement := range Requirements {
		if holds, text := requirement.Verdict(results[i]); !holds {
			t.Errorf("%v", text)
		}
		if holds, _ := requirement.Verdict([]Result{{}}); holds {
			t.Errorf("%s holds with nothing judged", requirement.Name)
		}
		for _, check := range requirement.Checks {
			covered[check] = true
		}
	}
	if len(covered) != len(FleetChecks) {
		t.Errorf("%d of %d checks belong to a requirement", len(covered), len(FleetChecks))
	}
}

func TestFleetIsDeterministic(t *testing.T) {
	options := fleetOptions(t, "reseller", 7, "all")
	options.Duration = 25 * time.Second
	results := PlayFleets([]Options{options, options})
	first, second := results[0], results[1]
	if first.Trace != second.Trace || first.MessageCount != second.MessageCount {
		t.Errorf("two runs of one seed differ: %x %d, %x %d",
			first.Trace, first.MessageCount, second.Trace, second.MessageCount)
	}
	other := options
	other.Seed = 8
	if r := PlayFleet(other); r.Trace == first.Trace {
		t.Error("another seed gives the same run")
	}
}

func TestUnknownFaultIsRejected(t *testing.T) {
	if _, err := ParseFleetFaults("kill,earthquake"); err == nil || !strings.Contains(err.Error(), "earthquake") {
		t.Errorf("got %v", err)
	}
	if names, err := ParseFleetFaults("all"); err != nil || len(names) != len(FleetFaults) {
		t.Errorf("all gives %d of %d: %v", len(names), len(FleetFaults), err)
	}
}

package sim

import (
	"slices"
	"strings"
	"testing"
	"time"

	"sorrelloom/tool/deploy"
)

// fleetOptions returns the options of a fleet scenario with a list of faults, in the format
// of ParseFleetFaults.
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

// replicaFaults are faults that mostly hit replicas.
const replicaFaults = "wipe,replace,kill-primary,split,cut-one-way,slow-disk,freeze,wipe-after-yes,stop"

// fixedSeeds returns runs with all faults, runs with load and configuration faults, runs with
// replica and network faults, and runs with seeds that once found a failure.
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
		// Failed with plan-ignored: a subscriber discarded the message that said who leads,
		// and all daemons of a zone booted without knowing a replica.
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

// TestFleetSeeds plays the fixed seeds. No check may fail, and every check must have judged
// something in at least one run.
func TestFleetSeeds(t *testing.T) {
	runs := fixedSeeds(t)
	judged := map[string]int{}
	for i, r := range PlayFleets(runs) {
		options := runs[i]
		for check, count := range r.Judged {
			judged[check] += count
		}
		for _, violation := range r.Violations {
			t.Errorf("%s: %s\n  reproduce: simulate -deployment %s -faults %s -for %s -from %d -to %d",
				violation.Check, violation.Reason, options.Deployment.Name, strings.Join(options.Faults, ","),
				options.Duration, options.Seed, options.Seed)
		}
	}
	for _, check := range FleetChecks {
		if judged[check] == 0 {
			t.Errorf("%s judged nothing in any run", check)
		}
	}
	t.Logf("judged: %v", judged)
}

// TestEveryLastFleetFault injects each fault at the end of a run without other faults. 12 s
// later, jobs of every class must be served again.
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

// requirementRuns returns runs that play each requirement at least once, and for each run the
// index of its requirement.
func requirementRuns(t *testing.T) (runs []Options, indexes []int) {
	t.Helper()
	for i, requirement := range Requirements {
		// Rejections with a retry time are rare, since any two replicas suffice to continue.
		// One run may have none, so four are played, and all of them must hold.
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
		indexes = append(indexes, slices.Repeat([]int{i}, len(played))...)
	}
	return runs, indexes
}

// TestEveryRequirementIsPlayed plays each requirement under its faults. Each must hold, must
// not hold if nothing was judged, and together they must cover all checks of the fleet.
func TestEveryRequirementIsPlayed(t *testing.T) {
	runs, indexes := requirementRuns(t)
	results := make([][]Result, len(Requirements))
	for i, r := range PlayFleets(runs) {
		results[indexes[i]] = append(results[indexes[i]], r)
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
		t.Error("two runs with different seeds are equal")
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

package experiment

import (
	"math"
	"reflect"
	"testing"
	"time"
)

// smallDeployment returns the print-shop deployment with fewer workers and jobs.
func smallDeployment(t *testing.T) Deployment {
	t.Helper()
	deployment, err := PrintShops()
	if err != nil {
		t.Fatal(err)
	}
	deployment.Workers, deployment.RackSize = 16, 2
	for i := range deployment.Classes {
		deployment.Classes[i].PerSecond /= 4
		deployment.Classes[i].Initial /= 4
	}
	return deployment
}

func simulateSmall(t *testing.T, policyName string, day Day) Report {
	t.Helper()
	policy, found := FindPolicy(policyName)
	if !found {
		t.Fatalf("no policy %q", policyName)
	}
	day.Length = 12 * time.Second
	return Simulate(smallDeployment(t), day, policy)
}

// TestSimulationIsDeterministic simulates a day twice and expects identical reports.
func TestSimulationIsDeterministic(t *testing.T) {
	deployment := smallDeployment(t)
	day := DrawDay(DayTrouble, &deployment, 3)
	first, second := simulateSmall(t, BasePolicy, day), simulateSmall(t, BasePolicy, day)
	if !reflect.DeepEqual(first, second) {
		t.Errorf("two simulations of one day differ:\n%+v\n%+v", first, second)
	}
}

// TestFaultsReduceWorth checks that each fault of the workers or of the control processes
// increases the count of its outcome and reduces the worth, compared with a day without faults.
func TestFaultsReduceWorth(t *testing.T) {
	quiet := simulateSmall(t, BasePolicy, Day{Seed: 5, Load: 0.7})
	if quiet.EarnedShare < 0.9 || quiet.Outcomes[outcomeLeaseExpired]+quiet.Outcomes[outcomeWorkerLost] > 0 {
		t.Errorf("day without faults: %+v", quiet)
	}
	for _, row := range []struct {
		fault   Fault
		outcome string
	}{
		{Fault{Kind: FaultSilent, Share: 0.3, ForS: 8}, outcomeLeaseExpired},
		{Fault{Kind: FaultCrash, Share: 0.3, ForS: 2}, outcomeWorkerLost},
		{Fault{Kind: FaultLost, Share: 0.3, ForS: 2}, outcomeWorkerLost},
		{Fault{Kind: FaultFlap, Share: 0.3, ForS: 4}, outcomeWorkerLost},
		{Fault{Kind: FaultLeave, Share: 0.3, ForS: 2}, outcomeWorkerLost},
		{Fault{Kind: FaultOutage, ForS: 9}, outcomeLeaseExpired},
		{Fault{Kind: FaultFailing, Share: 0.3, Factor: 1, ForS: 4}, outcomeFailed},
	} {
		row.fault.AtS = 3
		report := simulateSmall(t, BasePolicy, Day{Seed: 5, Load: 0.7, Faults: []Fault{row.fault}})
		if report.Outcomes[row.outcome] <= quiet.Outcomes[row.outcome] {
			t.Errorf("%s: %d runs ended as %s, %d without the fault", row.fault.Kind,
				report.Outcomes[row.outcome], row.outcome, quiet.Outcomes[row.outcome])
		}
		if report.Worth >= quiet.Worth {
			t.Errorf("%s: worth %.3f, %.3f without the fault", row.fault.Kind, report.Worth, quiet.Worth)
		}
	}
}

// TestCausesSumToLostWorth checks that the worth lost by cause sums to the worth not earned.
func TestCausesSumToLostWorth(t *testing.T) {
	deployment := smallDeployment(t)
	report := simulateSmall(t, BasePolicy, DrawDay(DayTrouble, &deployment, 4))
	sum := 0.0
	for _, lost := range report.Causes {
		sum += lost
	}
	if lost := report.Owed * (1 - report.EarnedShare); math.Abs(sum-lost) > 1e-6 {
		t.Errorf("the causes sum to %.4f, but %.4f was lost", sum, lost)
	}
}

// TestCompare compares two policies, one of which is better by 0.1 on three of four days.
func TestCompare(t *testing.T) {
	got := Compare([]float64{0.6, 0.7, 0.8, 0.5}, []float64{0.5, 0.6, 0.7, 0.5})
	if math.Abs(got.Mean-0.075) > 1e-9 || got.Better != 3 || got.Worse != 0 || got.HalfWidth <= 0 || got.HalfWidth > 0.1 {
		t.Errorf("%+v", got)
	}
}

// TestDraw checks that a seed always generates the same deployment, and that its load is within
// bounds.
func TestDraw(t *testing.T) {
	base := smallDeployment(t)
	for seed := range uint64(20) {
		drawn := DrawDeployment(base, seed)
		if !reflect.DeepEqual(drawn, DrawDeployment(base, seed)) {
			t.Fatalf("seed %d generates two different deployments", seed)
		}
		if load := drawn.load(); load < 0.49 || load > 1.11 {
			t.Errorf("seed %d has a load of %.2f", seed, load)
		}
	}
}

func BenchmarkTroubleDay(b *testing.B) {
	deployment, err := PrintShops()
	if err != nil {
		b.Fatal(err)
	}
	policy, _ := FindPolicy(BasePolicy)
	for i := range b.N {
		Simulate(deployment, DrawDay(DayTrouble, &deployment, uint64(i+1)), policy)
	}
}

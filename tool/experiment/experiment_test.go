package experiment

import (
	"math"
	"reflect"
	"testing"
	"time"
)

// smallDeployment is that of the print shops with fewer workers and jobs.
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

func playSmall(t *testing.T, policyName string, day Day) Report {
	t.Helper()
	policy, found := FindPolicy(policyName)
	if !found {
		t.Fatalf("no policy %q", policyName)
	}
	day.Length = 12 * time.Second
	return Play(smallDeployment(t), day, policy)
}

// TestPlayRepeats plays a day twice and wants the same report.
func TestPlayRepeats(t *testing.T) {
	deployment := smallDeployment(t)
	day := DrawDay(DayTrouble, &deployment, 3)
	first, second := playSmall(t, BasePolicy, day), playSmall(t, BasePolicy, day)
	if !reflect.DeepEqual(first, second) {
		t.Errorf("two plays of one day differ:\n%+v\n%+v", first, second)
	}
}

// TestFaultsCost wants each fault of the workers and of the control processes to show in the
// report of the day on which it strikes, and in none without it.
func TestFaultsCost(t *testing.T) {
	quiet := playSmall(t, BasePolicy, Day{Seed: 5, Load: 0.7})
	if quiet.Whole < 0.9 || quiet.Outcomes[outcomeLapsed]+quiet.Outcomes[outcomeDied] > 0 {
		t.Errorf("a quiet day: %+v", quiet)
	}
	for _, row := range []struct {
		fault   Fault
		outcome string
	}{
		{Fault{Kind: FaultSilent, Share: 0.3, ForS: 8}, outcomeLapsed},
		{Fault{Kind: FaultCrash, Share: 0.3, ForS: 2}, outcomeDied},
		{Fault{Kind: FaultLost, Share: 0.3, ForS: 2}, outcomeDied},
		{Fault{Kind: FaultFlap, Share: 0.3, ForS: 4}, outcomeDied},
		{Fault{Kind: FaultLeave, Share: 0.3, ForS: 2}, outcomeDied},
		{Fault{Kind: FaultOutage, ForS: 9}, outcomeLapsed},
		{Fault{Kind: FaultFailing, Share: 0.3, Factor: 1, ForS: 4}, outcomeFailed},
	} {
		row.fault.AtS = 3
		report := playSmall(t, BasePolicy, Day{Seed: 5, Load: 0.7, Faults: []Fault{row.fault}})
		if report.Outcomes[row.outcome] <= quiet.Outcomes[row.outcome] {
			t.Errorf("%s: %d runs %s, %d without it", row.fault.Kind,
				report.Outcomes[row.outcome], row.outcome, quiet.Outcomes[row.outcome])
		}
		if report.Worth >= quiet.Worth {
			t.Errorf("%s: worth %.3f, %.3f without it", row.fault.Kind, report.Worth, quiet.Worth)
		}
	}
}

// TestCausesSumToWhatIsLost wants the worth lost by cause to be all that is not earned.
func TestCausesSumToWhatIsLost(t *testing.T) {
	deployment := smallDeployment(t)
	report := playSmall(t, BasePolicy, DrawDay(DayTrouble, &deployment, 4))
	sum := 0.0
	for _, lost := range report.Causes {
		sum += lost
	}
	if lost := report.Owed * (1 - report.Whole); math.Abs(sum-lost) > 1e-6 {
		t.Errorf("the causes sum to %.4f, lost are %.4f", sum, lost)
	}
}

// TestCompare has one policy better by a tenth on three of four days.
func TestCompare(t *testing.T) {
	got := Compare([]float64{0.6, 0.7, 0.8, 0.5}, []float64{0.5, 0.6, 0.7, 0.5})
	if math.Abs(got.Mean-0.075) > 1e-9 || got.Better != 3 || got.Worse != 0 || got.HalfWidth <= 0 || got.HalfWidth > 0.1 {
		t.Errorf("%+v", got)
	}
}

// TestDraw wants drawn deployments to differ, to repeat by seed, and to have a load in bounds.
func TestDraw(t *testing.T) {
	base := smallDeployment(t)
	for seed := range uint64(20) {
		drawn := Draw(base, seed)
		if !reflect.DeepEqual(drawn, Draw(base, seed)) {
			t.Fatalf("seed %d gives two deployments", seed)
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
		Play(deployment, DrawDay(DayTrouble, &deployment, uint64(i+1)), policy)
	}
}

package experiment

import (
	"math/rand/v2"
	"time"
)

// Kinds of faults.
const (
	// FaultOutage stops all control processes.
	FaultOutage = "outage"
	// FaultSilent isolates workers from the control processes; their runs continue until the
	// lease expires.
	FaultSilent = "silent"
	// FaultCrash crashes worker processes, which restart when the fault ends; after FaultLost
	// they do not restart.
	FaultCrash = "crash"
	FaultLost  = "lost"
	// FaultFlap crashes and restarts worker processes repeatedly.
	FaultFlap = "flap"
	// FaultSlow multiplies the run times on the workers by Factor.
	FaultSlow = "slow"
	// FaultFailing makes the share Factor of the runs on the workers fail.
	FaultFailing = "failing"
	// FaultLeave makes workers sign off gracefully.
	FaultLeave = "leave"
	// FaultBurst multiplies the arrival rate of a class by Factor. FaultHotRack makes a share
	// of the jobs that prefer a rack prefer the same one.
	FaultBurst   = "burst"
	FaultHotRack = "hot-rack"
)

// Fault is one fault of a day. AtS is its start, in seconds from the start of the traffic, ForS
// its duration in seconds, and Share the fraction of workers or jobs that it affects.
type Fault struct {
	Kind   string  `json:"kind"`
	AtS    float64 `json:"atS"`
	ForS   float64 `json:"forS"`
	Share  float64 `json:"share"`
	Factor float64 `json:"factor"`
	Class  string  `json:"class,omitempty"`
}

func (f Fault) from() time.Duration { return trafficStart + seconds(f.AtS) }

func (f Fault) until() time.Duration { return f.from() + seconds(f.ForS) }

// Day is a workload for a deployment with the faults that occur during it. Load is a factor on
// the arrival rates.
type Day struct {
	Seed   uint64
	Load   float64
	Length time.Duration
	Faults []Fault
}

// Kinds of days; DrawDay describes them.
const (
	DayQuiet   = "quiet"
	DayLoad    = "load"
	DayTrouble = "trouble"
)

// DayKinds lists all kinds of days.
var DayKinds = []string{DayQuiet, DayLoad, DayTrouble}

// DrawDay generates a day of a kind from a seed: DayQuiet at a load of 0.7 without faults,
// DayLoad at 1.1 with five faults, or DayTrouble at 1 with seven.
func DrawDay(kind string, deployment *Deployment, seed uint64) Day {
	rng := rand.New(rand.NewPCG(seed, streamFaults))
	day := Day{Seed: seed, Load: 0.7, Length: dayLength}
	count := 0
	switch kind {
	case DayLoad:
		day.Load, count = 1.1, 5
	case DayTrouble:
		day.Load, count = 1, 7
	}
	for range count {
		day.Faults = append(day.Faults, drawFault(rng, deployment))
	}
	return day
}

// drawFault generates a fault of a random kind.
func drawFault(rng *rand.Rand, deployment *Deployment) Fault {
	between := func(low, high float64) float64 { return low + (high-low)*rng.Float64() }
	fault := Fault{AtS: between(2, 28), ForS: between(3, 8), Share: between(0.06, 0.18)}
	kinds := []string{
		FaultOutage, FaultSilent, FaultSilent, FaultCrash, FaultLost, FaultFlap, FaultSlow, FaultSlow,
		FaultFailing, FaultFailing, FaultLeave, FaultBurst, FaultHotRack,
	}
	fault.Kind = kinds[rng.IntN(len(kinds))]
	switch fault.Kind {
	case FaultOutage:
		fault.ForS = between(0.8, 4)
		if rng.IntN(5) == 0 {
			fault.ForS = between(8, 10)
		}
	case FaultSlow:
		fault.Factor = between(3, 8)
	case FaultFailing:
		fault.Factor = []float64{1, 0.45}[rng.IntN(2)]
	case FaultLost:
		fault.Share /= 2
	case FaultBurst:
		fault.Factor = between(2, 3)
		fault.Class = deployment.Classes[rng.IntN(len(deployment.Classes))].Name
	case FaultHotRack:
		fault.Share = between(0.4, 0.7)
	}
	return fault
}

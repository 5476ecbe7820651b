package experiment

import (
	"math/rand/v2"
	"time"
)

// Kinds of faults.
const (
	// FaultOutage takes all control processes away.
	FaultOutage = "outage"
	// FaultSilent cuts workers off; they run on until their lease expires.
	FaultSilent = "silent"
	// FaultCrash ends worker processes; new ones come after the fault. FaultLost has none come.
	FaultCrash = "crash"
	FaultLost  = "lost"
	// FaultFlap ends worker processes again and again.
	FaultFlap = "flap"
	// FaultSlow makes workers slower by Factor.
	FaultSlow = "slow"
	// FaultFailing has workers fail a part of their runs, by Factor.
	FaultFailing = "failing"
	// FaultLeave has workers leave in order.
	FaultLeave = "leave"
	// FaultBurst has Factor times as many jobs of a class come, FaultHotRack a part of the
	// jobs ask for the same rack.
	FaultBurst   = "burst"
	FaultHotRack = "hot-rack"
)

// Fault is trouble at a time of a day, in seconds from the start of the traffic.
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

// Day is what happens to a deployment.
type Day struct {
	Seed   uint64
	Load   float64
	Length time.Duration
	Faults []Fault
}

// Kinds of days.
const (
	DayQuiet   = "quiet"
	DayLoad    = "load"
	DayTrouble = "trouble"
)

// DayKinds lists the kinds of days.
var DayKinds = []string{DayQuiet, DayLoad, DayTrouble}

// DrawDay draws a day of a kind: a quiet one without faults, one of high load with some, or
// one of trouble with many.
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

// drawFault draws a fault of any kind.
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

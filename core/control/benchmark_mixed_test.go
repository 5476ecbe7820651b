package control

import (
	"fmt"
	"time"

	"sorrelloom/core/state"
)

const (
	mixedWorkersPerRack = 12
	mixedWorkersPerZone = 40
	mixedRacks          = 20
	// In every mixedCycle jobs there are one large gang and mixedWideJobs wide jobs.
	mixedCycle    = 77
	mixedWideJobs = 4
)

// mixedRunTimes holds the run time of the tasks of each class.
var mixedRunTimes = map[string]time.Duration{
	"q": 640 * time.Millisecond, "d": 1800 * time.Millisecond, "c": 6200 * time.Millisecond,
}

// mixedRack returns the rack of the worker with the given number. Jobs prefer the rack of some
// worker as that of their data.
func mixedRack(worker int) string { return fmt.Sprintf("r%d", worker/mixedWorkersPerRack%mixedRacks) }

// mixedJob returns the job with the given number of a mix: many quick jobs, of which some are
// gangs, some wide jobs of one or two steps, and a few large gangs. The sizes vary.
func mixedJob(number int) state.JobSpec {
	spec := state.JobSpec{ID: fmt.Sprintf("j%d", number), Service: "s", Class: "q"}
	vary := func(mean int) int { return mean * (50 + number*37%100) / 100 }
	step := state.StepSpec{Count: 2 + number%6, Resources: state.Resources{Slots: vary(4600), MemoryMB: vary(9400)}}
	step.Gang = number%10 < 3
	switch position := number % mixedCycle; {
	case position == 0:
		spec.Class = "c"
		step = state.StepSpec{Count: vary(48), Resources: state.Resources{Slots: vary(11000), MemoryMB: vary(42000)}}
		step.Gang, step.Checkpointed = true, true
	case position <= mixedWideJobs:
		spec.Class = "d"
		step = state.StepSpec{Count: vary(50), Resources: state.Resources{Slots: vary(3200), MemoryMB: vary(9200)}}
	}
	if number%5 == 1 {
		step.Labels = []string{"a"}
	}
	if number%3 == 0 {
		step.PreferredRack = mixedRack(number * mixedWorkersPerRack)
	}
	spec.Steps = []state.StepSpec{step}
	if spec.Class == "d" && number%2 == 0 {
		next := step
		next.DependsOn = []int{0}
		spec.Steps = append(spec.Steps, next)
	}
	return spec
}

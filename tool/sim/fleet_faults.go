package sim

import (
	"fmt"
	"maps"
	"slices"
	"time"
)

// FleetFaults are the faults that can be injected into a fleet scenario, by name.
var FleetFaults = map[string]func(*FleetScenario){
	"crowd":      (*FleetScenario).submitCrowd,
	"large":      (*FleetScenario).submitLargeJobs,
	"impossible": (*FleetScenario).submitImpossibleJobs,

	"worker-crash":      (*FleetScenario).crashRandomWorker,
	"worker-run-on":     (*FleetScenario).isolateDisobedientWorker,
	"worker-slow":       (*FleetScenario).slowWorker,
	"worker-fail":       (*FleetScenario).failOnWorker,
	"worker-fail-class": (*FleetScenario).failClassOnWorker,
	"worker-hang":       (*FleetScenario).hangWorker,
	"worker-cut":        (*FleetScenario).isolateWorker,
	"worker-leave":      (*FleetScenario).withdrawRandomWorker,
	"withdrawal":        (*FleetScenario).withdrawWorkers,

	"kill":         (*FleetScenario).killDaemon,
	"kill-primary": (*FleetScenario).killPrimary,
	"stop":         (*FleetScenario).stopDaemon,
	"freeze":       (*FleetScenario).freezeDaemon,
	"clock":        (*FleetScenario).restartWithOtherClock,
	"clock-jump":   (*FleetScenario).jumpClock,
	"cut-one-way":  (*FleetScenario).blockOneWay,
	"split":        (*FleetScenario).isolateReplica,
	"slow-disk":    (*FleetScenario).slowReplicaDisk,

	"wipe":            (*FleetScenario).wipeReplica,
	"wipe-after-yes":  (*FleetScenario).wipePrimaryOnAccept,
	"replace":         (*FleetScenario).replaceReplica,
	"site-lost":       (*FleetScenario).loseZone,
	"site-lost-crowd": (*FleetScenario).loseZoneUnderLoad,
	"site-lost-disk":  (*FleetScenario).loseZoneAndDisk,
	"seeds":           (*FleetScenario).restartWithOtherSeeds,
	"seeds-swapped":   (*FleetScenario).replaceScheduler,

	"plan-storm": (*FleetScenario).changeConfigOften,
	"plan-race":  (*FleetScenario).raceConfigChanges,
	"plan-large": (*FleetScenario).putLargeConfig,
	"empty-site": (*FleetScenario).drainRandomZone,
}

// FleetFaultNames returns the names of FleetFaults, sorted.
func FleetFaultNames() []string { return slices.Sorted(maps.Keys(FleetFaults)) }

// ParseFleetFaults parses a comma-separated list of faults, "all" or "none". An unknown name
// is an error.
func ParseFleetFaults(text string) ([]string, error) { return parseFaultNames(text, FleetFaultNames()) }

// scheduleFaults schedules the faults of the run: random ones from Options.Faults, the last
// one at the end of Duration, and the probes recoveryBound after it.
func (s *FleetScenario) scheduleFaults() {
	s.world.scheduleRandomFaults(s.options, func(name string) {
		s.world.logf("fault %s", name)
		FleetFaults[name](s)
	})
	if last := s.options.LastFault; last != "" || len(s.options.Faults) > 0 {
		if last == "" {
			last = s.options.Faults[s.world.rng.IntN(len(s.options.Faults))]
		}
		s.world.At(s.options.Duration, func() {
			s.world.logf("last fault %s", last)
			FleetFaults[last](s)
		})
	}
	s.world.At(s.options.Duration+recoveryBound, s.submitProbes)
}

// submitProbes submits jobs of every class, which the oracle expects to be served soon.
func (s *FleetScenario) submitProbes() {
	for i := range 6 {
		job := s.newJob(s.options.Deployment.Traffic[i%3], fmt.Sprintf("%s%d", probePrefix, i))
		job.probe = true
		s.submit(job)
	}
}

// idNow returns a job ID that contains the current time, so that faults that occur several
// times use different IDs.
func (w *World) idNow(prefix string, i int) string {
	return fmt.Sprintf("%s%d-%d", prefix, w.Now/time.Millisecond, i)
}

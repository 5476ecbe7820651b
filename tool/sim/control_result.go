package sim

import (
	"maps"
	"slices"
	"time"

	"sorrelloom/core/machine"
)

// logOpenJobs logs why the jobs wait that have not ended, for who reads the log of a run.
func (s *ControlScenario) logOpenJobs() {
	primary := s.primary()
	if primary == nil || s.world.Log == nil {
		return
	}
	store := primary.replica().Store()
	for _, job := range s.jobs {
		if job.acceptedAt > 0 && job.endedAt == 0 {
			stored, _ := store.Job(job.spec.ID)
			s.world.logf("open %s: %+v; %s", job.spec.ID, store.Explain(job.spec.ID), machine.MustJSON(stored.Tasks))
		}
	}
	for _, entry := range store.WorkerEntries() {
		worker := entry.Record()
		s.world.logf("worker %s live %v free %+v of %s",
			worker.ID(), store.Live(worker), store.FreeResources(worker.ID()), machine.MustJSON(worker))
	}
}

// finish has the oracle judge the run, and sums it up.
func (s *ControlScenario) finish() Result {
	for _, machine := range s.machines {
		if worker := machine.worker; worker != nil && worker.up {
			for _, attempt := range worker.attempts() {
				worker.record.runs = append(worker.record.runs, worker.active[attempt].run)
			}
		}
	}
	for _, name := range slices.Sorted(maps.Keys(s.workers)) {
		s.runs = append(s.runs, s.workers[name].runs...)
	}
	s.checkHistory()
	s.checkDraining()
	s.checkPerWorkerLimit()
	s.checkCalls()
	s.checkTenantLimits()
	result := s.newResult()
	result.FaultsPlayed = s.faultsPlayed
	s.checkGivenUp(result.FirstStarts)
	if s.options.Tenants {
		s.violations = slices.DeleteFunc(s.violations, func(violation Violation) bool {
			return slices.Contains(speedChecks, violation.Check)
		})
	}
	result.takeJudgement(&s.oracle)
	return result
}

// checkCalls checks that one order of the calls to each object explains what their clients
// heard.
func (s *ControlScenario) checkCalls() {
	violations, judged, undecided := s.history.Check()
	for range judged {
		s.countCheck(checkLinearizable)
	}
	for _, violation := range violations {
		s.violate(checkLinearizable, "%s", violation)
	}
	for _, object := range undecided {
		s.excuse(checkLinearizable, "no order was found in time for "+object)
	}
}

// checkGivenUp checks that no job runs whose client gave up on a clear rejection.
func (s *ControlScenario) checkGivenUp(firstStarts map[string]time.Duration) {
	for _, job := range s.jobs {
		if job.gaveUpAt == 0 {
			continue
		}
		s.countCheck(checkRejectedAndRun)
		if at, ran := firstStarts[job.spec.ID]; ran {
			s.violate(checkRejectedAndRun, "%s was rejected with %s at %s and runs at %s",
				job.spec.ID, job.rejection, seconds(job.gaveUpAt), seconds(at))
		}
	}
}

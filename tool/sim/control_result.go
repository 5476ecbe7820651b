package sim

import (
	"maps"
	"slices"
	"time"

	"sorrelloom/core/machine"
)

// logOpenJobs logs why accepted jobs have not ended, and the state of the workers, for
// debugging.
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

// finish runs the checks of the oracle and returns the result.
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
	s.checkLinearizability()
	s.checkTenantLimits()
	result := s.newResult()
	result.FaultsInjected = s.faultsInjected
	s.checkAbandonedJobs(result.FirstStarts)
	if s.options.Tenants {
		s.violations = slices.DeleteFunc(s.violations, func(violation Violation) bool {
			return slices.Contains(speedChecks, violation.Check)
		})
	}
	result.setFindings(&s.oracle)
	return result
}

// checkLinearizability checks that the calls to each object are linearizable: one order of
// them explains all replies.
func (s *ControlScenario) checkLinearizability() {
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

// checkAbandonedJobs checks that no job runs whose client gave up after a definite rejection.
func (s *ControlScenario) checkAbandonedJobs(firstStarts map[string]time.Duration) {
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

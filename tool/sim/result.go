package sim

import (
	"strings"
	"time"

	"sorrelloom/core/state"
	"sorrelloom/tool/fakeworker"
)

// Result holds the findings of the oracle about one run, and statistics of the run.
type Result struct {
	Seed       uint64
	Violations []Violation
	// Judged counts how often each check had something to judge, by check. Excused counts
	// the cases that a check left out, by check and reason.
	Judged  map[string]int
	Excused map[string]int

	// Trace, MessageCount and LogCounts are those of the World.
	Trace        uint64
	MessageCount int
	LogCounts    map[string]int

	// Jobs counts the submitted jobs. Accepted, Done and Failed count those of them that
	// were accepted, and that their clients saw done or failed.
	Jobs, Accepted, Done, Failed int
	// Runs counts the runs of all tasks. FailedRuns and StoppedRuns count those of them that
	// failed or were stopped.
	Runs, FailedRuns, StoppedRuns int
	RunsByWorker                  map[string]int
	FailedRunsByWorker            map[string]int
	// FirstStarts is the time at which the first run of each job began, by job ID.
	FirstStarts map[string]time.Duration
	// QuickStartMillis is the time in ms from the submission of each quick job to the start
	// of its first run.
	QuickStartMillis []float64
	// RestartMillis is the time in ms from the loss of each attempt that was lost to the
	// start of the next one, by class.
	RestartMillis map[string][]float64
	// LastEnd is the end of the last run, not counting the runs of probes.
	LastEnd time.Duration
	// Locality is the fraction of task inputs that were held by the worker that ran the task.
	Locality float64

	// ConfigConflicts counts configuration changes that were rejected because another change
	// had come first. Views is the epoch of the last view.
	ConfigConflicts int
	Views           uint64
	// LastFault is the time of the last fault of the daemons. FaultsInjected counts the faults
	// by name.
	LastFault      time.Duration
	FaultsInjected map[string]int
}

// countRuns sets the statistics of the runs, which must be ordered by their starts.
func (result *Result) countRuns(runs []run) {
	for _, r := range runs {
		result.RunsByWorker[r.Worker]++
		switch r.Outcome {
		case fakeworker.OutcomeStopped:
			result.StoppedRuns++
		case fakeworker.OutcomeFailed:
			result.FailedRuns++
			result.FailedRunsByWorker[r.Worker]++
		}
		if _, ok := result.FirstStarts[r.Job]; !ok {
			result.FirstStarts[r.Job] = r.startedAt
		}
		if !strings.HasPrefix(r.Job, probePrefix) {
			result.LastEnd = max(result.LastEnd, r.endedAt)
		}
	}
}

// countJobs sets the statistics of the jobs. It needs FirstStarts.
func (result *Result) countJobs(jobs []*clientJob) {
	for _, job := range jobs {
		if job.acceptedAt > 0 {
			result.Accepted++
		}
		switch job.state {
		case state.Done:
			result.Done++
		case state.Failed:
			result.Failed++
		}
		if at, ok := result.FirstStarts[job.spec.ID]; ok && job.isQuick() {
			wait := float64(at-job.sentAt) / float64(time.Millisecond)
			result.QuickStartMillis = append(result.QuickStartMillis, wait)
		}
	}
}

// measureRestarts sets RestartMillis. A lost attempt is one whose run ended without an
// outcome.
func (result *Result) measureRestarts(runs []run) {
	for _, lost := range runs {
		if lost.Outcome != "" || lost.endedAt == 0 {
			continue
		}
		for _, next := range runs {
			if next.Job == lost.Job && next.Task == lost.Task && next.Number == lost.Number+1 {
				delay := float64((next.startedAt - lost.endedAt) / time.Millisecond)
				result.RestartMillis[lost.Class] = append(result.RestartMillis[lost.Class], delay)
			}
		}
	}
}

// setFindings copies the findings of the oracle. A scenario in which no job was accepted
// or no task ran is itself a violation.
func (result *Result) setFindings(o *oracle) {
	result.Violations, result.Judged, result.Excused = o.violations, o.judged, o.excused
	if result.Accepted == 0 || result.Runs == 0 {
		result.Violations = append(result.Violations,
			Violation{checkNotServedAgain, "nothing was accepted or run in the whole scenario"})
	}
}

// measureLocality returns the fraction of task inputs that were held by the worker that ran
// the task. The worker on which a dependency succeeded holds its output.
func (o *oracle) measureLocality() float64 {
	holders := map[string]string{}
	for _, r := range o.runs {
		if r.Outcome == fakeworker.OutcomeSucceeded {
			holders[taskKey(r.Job, r.Task)] = r.Worker
		}
	}
	specs := map[string]state.TaskSpec{}
	for _, job := range o.jobs {
		for _, task := range job.spec.Tasks {
			specs[taskKey(job.spec.ID, task.ID)] = task
		}
	}
	local, all := 0, 0
	for _, r := range o.runs {
		for _, dependency := range specs[taskKey(r.Job, r.Task)].DependsOn {
			all++
			if holders[taskKey(r.Job, dependency)] == r.Worker {
				local++
			}
		}
	}
	return float64(local) / max(1, float64(all))
}

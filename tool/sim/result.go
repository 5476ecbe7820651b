package sim

import (
	"strings"
	"time"

	"sorrelloom/core/state"
	"sorrelloom/tool/fakeworker"
)

// Result is the judgement of one run and what the run went through.
type Result struct {
	Seed       uint64
	Violations []Violation
	// Judged counts for each check how often it had something to judge, Excused what was
	// left out, by check and reason.
	Judged  map[string]int
	Excused map[string]int

	// Trace is a hash over all messages and replies, MessageCount how many messages were
	// sent, LogCounts counts the log events of the nodes by name.
	Trace        uint64
	MessageCount int
	LogCounts    map[string]int

	// Jobs were submitted; of these some were accepted, are done or failed.
	Jobs, Accepted, Done, Failed int
	// Runs are those of all tasks; of these some failed or were stopped.
	Runs, FailedRuns, StoppedRuns int
	RunsByWorker                  map[string]int
	FailedRunsByWorker            map[string]int
	// FirstStarts is when the first run of each job began.
	FirstStarts map[string]time.Duration
	// QuickStartMillis is how long quick jobs waited for their first run.
	QuickStartMillis []float64
	// RestartMillis is how long lost attempts took to be started again, by class.
	RestartMillis map[string][]float64
	// LastEnd is when the last run ended that is not a probe's.
	LastEnd time.Duration
	// Locality is the part of the inputs that were on the worker of their step.
	Locality float64

	// ConfigConflicts counts configuration changes that lost a race, Views is the epoch
	// of the last view.
	ConfigConflicts int
	Views           uint64
	// LastFault is when the last fault of the daemons came, FaultsPlayed counts faults
	// by name.
	LastFault    time.Duration
	FaultsPlayed map[string]int
}

// countRuns fills in what is counted of the runs, which are in the order of their starts.
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

// countJobs fills in what is counted of the jobs.
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

// measureRestarts fills in how long lost attempts took to be started again.
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

// takeJudgement fills in what the oracle found. A run in which nothing ran at all broke
// its promise.
func (result *Result) takeJudgement(o *oracle) {
	result.Violations, result.Judged, result.Excused = o.violations, o.judged, o.excused
	if result.Accepted == 0 || result.Runs == 0 {
		result.Violations = append(result.Violations,
			Violation{checkNotServedAgain, "nothing was accepted or run in the whole scenario"})
	}
}

// measureLocality returns the part of the inputs that were on the worker of their step.
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

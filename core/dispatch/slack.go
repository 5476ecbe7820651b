package dispatch

import (
	"time"

	"sorrelloom/core/state"
)

// jobChain is how long a job takes if nothing waits, by levels of its tasks.
type jobChain struct {
	// remaining is, for each level, the expected time from the start of its tasks to the
	// end of the job.
	remaining []time.Duration
}

// chainOf works out the longest chain of expected run times of a job.
func (d *Dispatcher) chainOf(job state.Job) jobChain {
	class := state.ClassKey{Service: job.Spec.Service, Class: job.Spec.Class}
	var longest []time.Duration
	for i := range job.Tasks {
		level := job.Tasks[i].Level
		for len(longest) <= level {
			longest = append(longest, 0)
		}
		longest[level] = max(longest[level], d.runTimes.expected(class, job.Spec.Tasks[i].ExpectedRunTime.Duration))
	}
	for level := len(longest) - 2; level >= 0; level-- {
		longest[level] += longest[level+1]
	}
	return jobChain{longest}
}

// slack returns how long a task may still wait to start if its job is to be over by its
// target: CriticalPathFactor times the longest chain, and the LatencyTarget on top, from when
// the job came or the task was due.
func (d *Dispatcher) slack(store *state.Store, job state.Job, i int) time.Duration {
	chain, known := d.chains[job.Spec.ID]
	if !known {
		chain = d.chainOf(job)
		d.chains[job.Spec.ID] = chain
	}
	class := store.Config().Services[job.Spec.Service].Classes[job.Spec.Class]
	whole := time.Duration(class.CriticalPathFactor * float64(chain.remaining[0]))
	deadline := max(job.AcceptedAt, job.Tasks[i].DueAt) + whole + class.LatencyTarget.Duration
	return deadline - chain.remaining[job.Tasks[i].Level] - store.Now()
}

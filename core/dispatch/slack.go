package dispatch

import (
	"sort"
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

// urgency ranks tasks by what can still be made of their jobs.
type urgency int

const (
	// inTime jobs can still be over by their target, late ones within lateFactor times the
	// time that they have, and overdue ones in neither.
	inTime urgency = iota
	late
	overdue

	lateFactor = 3
)

// urgencyOf ranks a task. A job that can no longer be in time yields to those that can, so
// that a backlog does not make all that comes after it late as well.
func (d *Dispatcher) urgencyOf(store *state.Store, job state.Job, i int) urgency {
	class := store.Config().Services[job.Spec.Service].Classes[job.Spec.Class]
	if d.options.WithoutUrgency || class.LatencyTarget.Duration == 0 && class.CriticalPathFactor == 0 {
		return inTime
	}
	slack := d.slack(store, job, i)
	if slack >= 0 {
		return inTime
	}
	whole := class.CriticalPathFactor*float64(d.chains[job.Spec.ID].remaining[0]) + float64(class.LatencyTarget.Duration)
	if slack+time.Duration((lateFactor-1)*whole) >= 0 {
		return late
	}
	return overdue
}

// firstInTime returns the index of the first task of a group that can still be in time, as
// far as the older ones are closer to their targets; 0 if that is the oldest, or none.
func (d *Dispatcher) firstInTime(store *state.Store, tasks []queuedTask) int {
	inTimeAt := func(n int) bool {
		job, ok := store.Job(tasks[n].ref.Job)
		return ok && d.urgencyOf(store, job, tasks[n].ref.Index) == inTime
	}
	if d.options.WithoutUrgency || inTimeAt(0) {
		return 0
	}
	first := sort.Search(len(tasks), inTimeAt)
	if first == len(tasks) {
		return 0
	}
	return first
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

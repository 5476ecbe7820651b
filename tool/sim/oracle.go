package sim

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"time"
)

// Violation is one broken promise.
type Violation struct {
	Check  string
	Reason string
}

// oracle is an invariant checker. It judges a run by what workers, clients and operators
// noted, never by the opinion that the replicated state has of itself: one named check
// for each promise, with its bound. It counts how often each check had something to
// judge, and what it excused, since a check that judged nothing proves nothing.
type oracle struct {
	// What was noted.
	runs         []run
	jobs         []*clientJob
	workers      map[string]*simWorker // by ID
	drainedZones []*zoneDrain
	daemons      []*node
	// degraded are the times in which speed is not judged.
	degraded spans
	// leaderless are the times in which no replica said that it serves.
	leaderless spans
	end        time.Duration

	// What the configuration says, by class.
	restartsLost map[string]bool // restarts attempts on lost workers
	shareSlots   map[string]int
	// agentWorkers says that the workers have node agents.
	agentWorkers bool

	// The judgement.
	violations []Violation
	judged     map[string]int // by check
	excused    map[string]int // by check and reason
}

// zoneDrain is a zone from the request to drain it to the request to refill it.
type zoneDrain struct {
	span
	zone string
}

func newOracle() oracle {
	return oracle{
		workers:      map[string]*simWorker{},
		judged:       map[string]int{},
		excused:      map[string]int{},
		restartsLost: map[string]bool{},
		shareSlots:   map[string]int{},
	}
}

// countCheck counts that a check has something to judge.
func (o *oracle) countCheck(check string) { o.judged[check]++ }

// excuse counts what a check leaves out, by the reason.
func (o *oracle) excuse(check, reason string) { o.excused[check+" "+reason]++ }

// violate notes a broken promise.
func (o *oracle) violate(check, format string, args ...any) {
	o.violations = append(o.violations, Violation{check, fmt.Sprintf(format, args...)})
}

func seconds(d time.Duration) string { return fmt.Sprintf("%.3f", d.Seconds()) }

// runIndex finds runs and jobs by name. Runs are in the order of their starts.
type runIndex struct {
	byTask   map[string][]run // by taskKey
	byWorker map[string][]run
	jobs     map[string]*clientJob
}

func taskKey(job, task string) string { return job + "/" + task }

// indexRuns sorts the runs by their starts, and indexes them.
func (o *oracle) indexRuns() *runIndex {
	index := &runIndex{byTask: map[string][]run{}, byWorker: map[string][]run{}, jobs: o.indexJobs()}
	slices.SortStableFunc(o.runs, func(a, b run) int { return cmp.Compare(a.startedAt, b.startedAt) })
	for _, r := range o.runs {
		key := taskKey(r.Job, r.Task)
		index.byTask[key] = append(index.byTask[key], r)
		index.byWorker[r.Worker] = append(index.byWorker[r.Worker], r)
	}
	return index
}

func (o *oracle) indexJobs() map[string]*clientJob {
	jobs := map[string]*clientJob{}
	for _, job := range o.jobs {
		jobs[job.spec.ID] = job
	}
	return jobs
}

// runsOf returns the runs of a job's task.
func (index *runIndex) runsOf(job *clientJob, task string) []run {
	return index.byTask[taskKey(job.spec.ID, task)]
}

// checkHistory makes every check that both compositions have at the end of a run.
func (o *oracle) checkHistory() {
	index := o.indexRuns()
	for _, key := range slices.Sorted(maps.Keys(index.byTask)) {
		runs := index.byTask[key]
		o.checkTask(key, runs, index)
	}
	for _, name := range slices.Sorted(maps.Keys(o.workers)) {
		o.checkCapacity(o.workers[name], index.byWorker[name])
	}
	for _, job := range o.jobs {
		o.checkJob(job, index)
	}
	if !o.agentWorkers {
		o.checkStartOrder(index)
	}
}

// degradedDuring reports whether speed is not judged at some time between two moments.
func (o *oracle) degradedDuring(from, to time.Duration) bool { return o.degraded.anyOverlaps(from, to) }

// servedSince moves the start of a wait past the times in which no replica said that it
// serves: nothing is granted then, so nothing is overtaken. How long such a time may be
// is judged by speed, not by order.
func (o *oracle) servedSince(from, to time.Duration) time.Duration {
	for _, s := range o.leaderless {
		if s.overlaps(from, to) {
			from = s.to
		}
	}
	return from
}

func (o *oracle) schedulerFaulty(from, to time.Duration) bool {
	return slices.ContainsFunc(o.daemons, func(n *node) bool {
		return n.role == roleScheduler && n.faultyDuring(from, to)
	})
}

// quickClass names the class of a service whose jobs are quick.
func quickClass(service string) string {
	if service == "podcasts" {
		return "preview"
	}
	return "lookup"
}

// isQuick reports whether a job is of its service's quick class.
func (c *clientJob) isQuick() bool { return c.spec.Class == quickClass(c.spec.Service) }

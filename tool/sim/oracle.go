package sim

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"time"
)

// Violation is a case in which a check failed.
type Violation struct {
	Check  string
	Reason string
}

// oracle is an invariant checker. It judges a run by what workers, clients and operators
// recorded, never by what the replicated state contains. Each guarantee has a named check,
// with its time bound. The oracle counts how often each check had something to judge, and
// how often it excused a case, since a check that judged nothing proves nothing.
type oracle struct {
	// Recorded during the run.
	runs         []run
	jobs         []*clientJob
	workers      map[string]*simWorker // by ID
	drainedZones []*zoneDrain
	daemons      []*node
	// degraded are the times in which latency is not checked.
	degraded spans
	// leaderless are the times in which no replica served as primary.
	leaderless spans
	end        time.Duration // of the run

	// From the configuration, by class.
	restartsLost map[string]bool // attempts on lost workers are restarted
	shareSlots   map[string]int
	// agentWorkers is true if the workers have node agents.
	agentWorkers bool

	// Findings.
	violations []Violation
	judged     map[string]int // by check
	excused    map[string]int // by check and reason
}

// zoneDrain is the interval from the request to drain a zone to the request to refill it.
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

// countCheck counts a case that a check judges.
func (o *oracle) countCheck(check string) { o.judged[check]++ }

// excuse counts a case that a check leaves out for a reason.
func (o *oracle) excuse(check, reason string) { o.excused[check+" "+reason]++ }

// violate records a violation of a check.
func (o *oracle) violate(check, format string, args ...any) {
	o.violations = append(o.violations, Violation{check, fmt.Sprintf(format, args...)})
}

func seconds(d time.Duration) string { return fmt.Sprintf("%.3f", d.Seconds()) }

// runIndex indexes runs by task and worker, and jobs by ID. Runs are ordered by their starts.
type runIndex struct {
	byTask   map[string][]run // by taskKey
	byWorker map[string][]run
	jobs     map[string]*clientJob
}

func taskKey(job, task string) string { return job + "/" + task }

// indexRuns sorts the runs by their starts, and returns an index of them and the jobs.
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

// runsOf returns the runs of a task of a job.
func (index *runIndex) runsOf(job *clientJob, task string) []run {
	return index.byTask[taskKey(job.spec.ID, task)]
}

// checkHistory makes the checks at the end of a run that both compositions share. The order
// of starts is not checked for workers with node agents.
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

// degradedDuring reports whether latency is not checked at some time of an interval.
func (o *oracle) degradedDuring(from, to time.Duration) bool { return o.degraded.anyOverlaps(from, to) }

// skipLeaderless returns the start of a wait that lasts until to, moved past the times in
// which no replica served as primary. Nothing is granted in these, so nothing is overtaken.
// How long they may last is for the latency checks, not for the check of the start order.
func (o *oracle) skipLeaderless(from, to time.Duration) time.Duration {
	for _, s := range o.leaderless {
		if s.overlaps(from, to) {
			from = s.to
		}
	}
	return from
}

// schedulerFaulty reports whether a scheduler had a fault at any time in a closed interval.
func (o *oracle) schedulerFaulty(from, to time.Duration) bool {
	return slices.ContainsFunc(o.daemons, func(n *node) bool {
		return n.role == roleScheduler && n.faultyDuring(from, to)
	})
}

// quickClass returns the name of the class of a service whose jobs are quick.
func quickClass(service string) string {
	if service == "podcasts" {
		return "preview"
	}
	return "lookup"
}

// isQuick reports whether a job belongs to the quick class of its service.
func (c *clientJob) isQuick() bool { return c.spec.Class == quickClass(c.spec.Service) }

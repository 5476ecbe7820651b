package sim

import (
	"slices"
	"time"

	"sorrelloom/core/state"
	"sorrelloom/tool/fakeworker"
)

// taskHistory is a task with its job and all of its runs. key is its taskKey.
type taskHistory struct {
	key  string
	job  *clientJob
	spec state.TaskSpec
	runs []run
}

// checkTask makes the checks of all runs of a task. There must be at least one run.
func (o *oracle) checkTask(key string, runs []run, index *runIndex) {
	job := index.jobs[runs[0].Job]
	if job == nil {
		o.violate(checkWrongWorker, "%s runs and nobody asked for it", key)
		return
	}
	task := taskHistory{key: key, job: job, runs: runs}
	for _, spec := range job.spec.Tasks {
		if taskKey(job.spec.ID, spec.ID) == key {
			task.spec = spec
		}
	}
	failures := 0
	for i, r := range runs {
		o.checkSingleRun(task, runs[:i], r)
		o.checkNoRunAfterSuccess(task, runs[:i], r)
		if o.agentWorkers {
			failures = o.acknowledgedFailures(task, index, r)
		}
		o.checkFailures(task, r, failures)
		if r.Outcome == fakeworker.OutcomeFailed {
			failures++
		}
		o.checkDependencies(task, index, r)
		o.checkJobOpen(task, r)
		o.checkPlacement(task, r)
		if r.Gang != "" {
			o.checkGang(task, index, r)
		}
	}
}

// checkSingleRun checks that a run does not overlap earlier runs of its task, unless the task
// allows duplicates, and that it does not repeat an attempt.
func (o *oracle) checkSingleRun(task taskHistory, earlier []run, r run) {
	if len(earlier) > 0 {
		o.countCheck(checkConcurrentRuns)
	}
	for _, e := range earlier {
		overlaps := e.endOr(o.end) > r.startedAt && e.Attempt != r.Attempt
		if overlaps && task.spec.AllowsDuplicates {
			o.excuse(checkConcurrentRuns, "duplicates are allowed")
			continue
		}
		if overlaps || e.Attempt == r.Attempt {
			o.violate(checkConcurrentRuns, "%s: attempt %d on %s from %s to %s, attempt %d on %s from %s",
				task.key, e.Number, e.Worker, seconds(e.startedAt), seconds(e.endOr(o.end)),
				r.Number, r.Worker, seconds(r.startedAt))
		}
	}
}

// checkNoRunAfterSuccess checks that a task does not start again after it has succeeded, even
// if the worker had not reported the success yet. If the worker could not report it because
// it was silent, the task may start again if its class restarts lost attempts, or if an
// operator has confirmed the worker dead.
func (o *oracle) checkNoRunAfterSuccess(task taskHistory, earlier []run, r run) {
	if r.Outcome == fakeworker.OutcomeSucceeded {
		o.countCheck(checkRunAfterSuccess)
	}
	if task.spec.LongRunning {
		return
	}
	for _, e := range earlier {
		if e.Outcome != fakeworker.OutcomeSucceeded || e.endedAt >= r.startedAt {
			continue
		}
		if reason := o.excuseForRerun(task, e, r); reason != "" {
			o.excuse(checkRunAfterSuccess, reason)
			continue
		}
		o.violate(checkRunAfterSuccess, "%s: attempt %d on %s at %s, attempt %d had succeeded on %s at %s",
			task.key, r.Number, r.Worker, seconds(r.startedAt), e.Number, e.Worker, seconds(e.endedAt))
	}
}

// excuseForRerun returns the reason for which a run may start after an earlier one of its
// task that succeeded, empty if it may not.
func (o *oracle) excuseForRerun(task taskHistory, earlier, r run) string {
	worker := o.workers[earlier.Worker]
	ackedAt, acked := worker.ackedAt[earlier.Attempt]
	silent := worker.silences.anyOverlaps(earlier.endedAt, r.startedAt)
	unreported := silent && (!acked || ackedAt > r.startedAt)
	confirmedDead := slices.ContainsFunc(worker.confirmedDeadAt, func(at time.Duration) bool {
		return at > earlier.startedAt && at <= r.startedAt
	})
	leaseExpired := o.agentWorkers && acked && ackedAt <= r.startedAt && r.startedAt <= ackedAt+feedBound &&
		worker.silences.anyOverlaps(earlier.endedAt, ackedAt)
	switch {
	case leaseExpired:
		return "its lease expired before the end was acknowledged"
	case unreported && o.restartsLost[task.job.spec.Class]:
		return "silent, and its class restarts lost attempts"
	case unreported && confirmedDead:
		return "confirmed dead by an operator"
	}
	return ""
}

// checkFailures checks that a run does not start after its task has reached its maximum
// number of failures. Long-running tasks have no such limit.
func (o *oracle) checkFailures(task taskHistory, r run, failures int) {
	allowed := task.spec.MaxFailures
	if allowed == 0 {
		allowed = defaultMaxFailures
	}
	if failures > 0 {
		o.countCheck(checkFailuresSpent)
	}
	if failures >= allowed && !task.spec.LongRunning {
		o.violate(checkFailuresSpent, "%s: attempt %d starts at %s after %d failures of %d",
			task.key, r.Number, seconds(r.startedAt), failures, allowed)
	}
}

// acknowledgedFailures counts the failed attempts of a task that were acknowledged before a
// run started. The failure of a gang member counts for all members; several failures in one
// attempt count once.
func (o *oracle) acknowledgedFailures(task taskHistory, index *runIndex, r run) int {
	attempts := map[int]bool{}
	for _, other := range task.job.spec.Tasks {
		sameGang := task.spec.Gang != "" && other.Gang == task.spec.Gang
		if other.ID != task.spec.ID && !sameGang {
			continue
		}
		for _, e := range index.runsOf(task.job, other.ID) {
			ackedAt, acked := o.workers[e.Worker].ackedAt[e.Attempt]
			if e.Outcome == fakeworker.OutcomeFailed && acked && ackedAt <= r.startedAt && e.Number < r.Number {
				attempts[e.Number] = true
			}
		}
	}
	return len(attempts)
}

// checkDependencies checks that all dependencies of a task have succeeded before it starts.
func (o *oracle) checkDependencies(task taskHistory, index *runIndex, r run) {
	for _, dependency := range task.spec.DependsOn {
		o.countCheck(checkBeforeDependency)
		succeeded := slices.ContainsFunc(index.runsOf(task.job, dependency), func(d run) bool {
			return d.Outcome == fakeworker.OutcomeSucceeded && d.endedAt > 0 && d.endedAt <= r.startedAt
		})
		if !succeeded {
			o.violate(checkBeforeDependency, "%s starts at %s, %s has not succeeded by then",
				task.key, seconds(r.startedAt), dependency)
		}
	}
}

// checkJobOpen checks that a run does not start later than cancelBound after the cancellation
// of its job, or after the client saw the job ended.
func (o *oracle) checkJobOpen(task taskHistory, r run) {
	job := task.job
	if job.cancelledAt > 0 && r.startedAt > job.cancelledAt+cancelBound {
		o.violate(checkStartAfterCancel, "%s starts at %s, cancelled at %s",
			task.key, seconds(r.startedAt), seconds(job.cancelledAt))
	}
	if job.endedAt > 0 && r.startedAt > job.endedAt {
		o.violate(checkEndedWithOpenTask, "%s starts at %s, its job was %s at %s",
			task.key, seconds(r.startedAt), job.state, seconds(job.endedAt))
	}
}

// checkPlacement checks that a task runs on a worker that belongs to its service and has its
// labels, and that the run does not start later than zoneDrainBound after the drain of the
// worker's zone.
func (o *oracle) checkPlacement(task taskHistory, r run) {
	o.countCheck(checkWrongWorker)
	worker := o.workers[r.Worker]
	if worker.config.Service != task.job.spec.Service {
		o.violate(checkWrongWorker, "%s of %s runs on %s of %s",
			task.key, task.job.spec.Service, r.Worker, worker.config.Service)
	}
	for _, label := range task.spec.Labels {
		if !slices.Contains(worker.config.Labels, label) {
			o.violate(checkWrongWorker, "%s needs %s, %s has %v", task.key, label, r.Worker, worker.config.Labels)
		}
	}
	for _, drain := range o.drainedZones {
		inDrain := r.startedAt > drain.from+zoneDrainBound && (drain.isOpen() || r.startedAt < drain.to)
		if worker.config.Zone == drain.zone && inDrain {
			o.violate(checkStartInDrainedZone, "%s starts on %s at %s, zone %s drained at %s",
				task.key, r.Worker, seconds(r.startedAt), drain.zone, seconds(drain.from))
		}
	}
}

// checkGang checks that a gang member does not run for long while another member has not
// started: at most gangBound, and at most gangWaitBound if the run ended before all members
// had started, unless latency is not checked at that time.
func (o *oracle) checkGang(task taskHistory, index *runIndex, r run) {
	o.countCheck(checkGangAlone)
	if r.gangIncomplete && r.endedAt > r.startedAt+gangWaitBound && !o.degradedDuring(r.startedAt, r.endedAt) {
		o.violate(checkGangAlone, "%s waits on %s from %s to %s, and others never started",
			task.key, r.Worker, seconds(r.startedAt), seconds(r.endedAt))
	}
	if r.endOr(o.end)-r.startedAt < gangBound {
		return
	}
	for _, other := range task.job.spec.Tasks {
		if other.Gang != r.Gang {
			continue
		}
		started := slices.ContainsFunc(index.runsOf(task.job, other.ID), func(member run) bool {
			alongside := member.startedAt < r.startedAt+gangBound && member.endOr(o.end) > r.startedAt
			before := member.Outcome == fakeworker.OutcomeSucceeded && member.endedAt <= r.startedAt
			return alongside || before
		})
		if !started {
			o.violate(checkGangAlone, "%s runs from %s to %s, %s never started",
				task.key, seconds(r.startedAt), seconds(r.endOr(o.end)), other.ID)
		}
	}
}

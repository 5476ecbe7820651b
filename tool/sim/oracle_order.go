package sim

import (
	"slices"
	"time"

	"sorrelloom/core/state"
	"sorrelloom/tool/fakeworker"
)

// quickWait is an interval in which a quick task was runnable and did not run.
type quickWait struct {
	span
	job     *clientJob
	task    state.TaskSpec
	earlier []run // the task's runs before the wait
}

// checkStartOrder checks the order of starts, also under faults. No task of another class may
// start where a waiting quick task could have, once the quick task has waited longer than a
// worker needs to ask for work (pickupBound) or, while latency is not checked, than updates
// of the change feed need (feedBound).
func (o *oracle) checkStartOrder(index *runIndex) {
	var waits []quickWait
	var quickRuns []run
	for _, job := range o.jobs {
		if !job.isQuick() || job.acceptedAt == 0 || job.impossible || len(job.spec.Tasks) != 1 {
			continue
		}
		runs := index.runsOf(job, job.spec.Tasks[0].ID)
		quickRuns = append(quickRuns, runs...)
		waits = append(waits, o.waitsOf(job, runs)...)
	}
	for _, r := range o.runs {
		if r.Class != quickClass(r.Service) {
			o.countCheck(checkQuickOvertaken)
			o.checkOvertakes(r, waits, quickRuns)
		}
	}
}

// waitsOf returns the intervals in which a quick job of one task waited: before its first
// run, and after each run that did not succeed, from when the daemons could know that.
func (o *oracle) waitsOf(job *clientJob, runs []run) []quickWait {
	closedAt := o.end
	if job.cancelledAt > 0 {
		closedAt = job.cancelledAt
	} else if job.endedAt > 0 {
		closedAt = job.endedAt
	}
	var waits []quickWait
	from := job.acceptedAt
	for i := 0; i <= len(runs) && (i == 0 || runs[i-1].Outcome != fakeworker.OutcomeSucceeded); i++ {
		to := closedAt
		if i < len(runs) {
			to = min(to, runs[i].startedAt)
		}
		if to > from+pickupBound {
			waits = append(waits, quickWait{span{from, to}, job, job.spec.Tasks[0], runs[:i]})
		}
		if i < len(runs) {
			ended := runs[i].endOr(o.end)
			from = max(from, ended+quickBound)
			if o.workers[runs[i].Worker].silentAt(ended) {
				from += lostWorkerBound
			}
		}
	}
	return waits
}

// checkOvertakes checks whether a run of another class started ahead of quick tasks that
// could have started in its place.
func (o *oracle) checkOvertakes(r run, waits []quickWait, quickRuns []run) {
	quickSlots := -1 // computed when first needed
	for _, wait := range waits {
		wait.from = o.skipLeaderless(wait.from, r.startedAt)
		bound := pickupBound
		if o.degradedDuring(wait.from, r.startedAt) {
			bound = feedBound
		}
		if wait.from+bound >= r.startedAt || wait.to <= r.startedAt+reservationBound || !o.couldRun(wait.task, r) {
			continue
		}
		if quickSlots < 0 {
			quickSlots = o.slotsAt(quickRuns, r.startedAt)
		}
		if reason := o.excuseForOvertaking(r, wait, quickSlots); reason != "" {
			o.excuse(checkQuickOvertaken, reason)
			continue
		}
		o.violate(checkQuickOvertaken, "%s of class %s starts on %s at %s; quick %s has waited there since %s until %s",
			r.Attempt, r.Class, r.Worker, seconds(r.startedAt),
			wait.job.spec.ID, seconds(wait.from), seconds(wait.to))
	}
}

// excuseForOvertaking returns the reason for which a run may start before a waiting quick
// task, empty if it may not. quickSlots is the number of slots that quick tasks use then.
func (o *oracle) excuseForOvertaking(r run, wait quickWait, quickSlots int) string {
	failedHere := slices.ContainsFunc(wait.earlier, func(e run) bool {
		return e.Worker == r.Worker && e.Outcome != fakeworker.OutcomeSucceeded
	})
	// A gateway may hold the heartbeat of a worker that has died since for up to
	// heldHeartbeatBound, and the task may be granted to that worker in the meantime.
	earliestGrant := min(wait.from-quickBound, wait.job.sentAt-reservationBound-heldHeartbeatBound)
	switch {
	case quickSlots+wait.task.Resources.Slots > o.shareSlots[wait.job.spec.Class]:
		return "quick work fills its class's share"
	case o.anyWorkerSilent(earliestGrant, r.startedAt):
		return "may have been granted to a worker that went silent"
	case o.schedulerFaulty(wait.from-reservationBound, wait.from+reservationBound):
		return "may have been granted by a scheduler that was in fault in that moment"
	case o.workers[r.Worker].faultyAt(r.startedAt) || failedHere:
		return "the worker is unhealthy, and gets no quick work"
	}
	return ""
}

// slotsAt returns the number of slots that runs use at a time.
func (o *oracle) slotsAt(runs []run, at time.Duration) int {
	slots := 0
	for _, r := range runs {
		if r.startedAt <= at && r.endOr(o.end) > at {
			slots += r.Resources.Slots
		}
	}
	return slots
}

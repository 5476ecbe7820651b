package sim

import (
	"time"

	"sorrelloom/core/state"
)

// checkJob makes the checks of a job, as its client saw it.
func (o *oracle) checkJob(job *clientJob, index *runIndex) {
	o.countJobChecks(job)
	o.checkJobStatus(job)
	if job.probe {
		o.checkProbe(job, o.firstStart(job, index))
	}
	if job.state == state.Failed && job.mustSucceed {
		o.violate(checkLongUnfinished, "%s failed, though nothing in it was to fail", job.spec.ID)
	}
	if job.isQuick() && job.acceptedAt > 0 {
		o.checkQuickStart(job, o.firstStart(job, index))
	}
}

// countJobChecks counts the checks that judge the job. checkQuickStart counts its own.
func (o *oracle) countJobChecks(job *clientJob) {
	accepted := job.acceptedAt > 0
	for check, applies := range map[string]bool{
		checkJobForgotten:      accepted && job.statusReads > 0,
		checkEndedWithOpenTask: job.endedAt > 0,
		checkStartAfterCancel:  job.cancelledAt > 0,
		checkLongUnfinished:    accepted && !job.impossible && !job.isQuick(),
		checkNotServedAgain:    job.probe,
	} {
		if applies {
			o.countCheck(check)
		}
	}
}

// checkJobStatus checks that an accepted job stays known and ends, and that no task is open
// once it has ended.
func (o *oracle) checkJobStatus(job *clientJob) {
	id := job.spec.ID
	if job.acceptedAt > 0 && job.unknownAt > 0 {
		o.violate(checkJobForgotten, "%s accepted at %s, called unknown at %s",
			id, seconds(job.acceptedAt), seconds(job.unknownAt))
	}
	if job.openTask != "" {
		o.violate(checkEndedWithOpenTask, "%s shows as %s while task %s is open", id, job.state, job.openTask)
	}
	if job.acceptedAt > 0 && job.endedAt == 0 && !job.impossible {
		o.violate(checkLongUnfinished, "%s accepted at %s is still %q at %s",
			id, seconds(job.acceptedAt), job.state, seconds(o.end))
	}
}

// checkProbe checks that a probe, which is submitted some time after the last fault, is
// accepted and started within its bounds.
func (o *oracle) checkProbe(job *clientJob, firstStart time.Duration) {
	startBound := probeBound
	if job.isQuick() {
		startBound = quickBound
	}
	if job.acceptedAt == 0 || job.acceptedAt > job.sentAt+acceptBound || firstStart > job.acceptedAt+startBound {
		o.violate(checkNotServedAgain, "probe %s of class %s sent at %s, accepted at %s, first run at %s",
			job.spec.ID, job.spec.Class, seconds(job.sentAt), seconds(job.acceptedAt), seconds(firstStart))
	}
}

// checkQuickStart checks that a quick job starts within quickBound, and so does not wait
// behind batch jobs.
func (o *oracle) checkQuickStart(job *clientJob, firstStart time.Duration) {
	if o.degradedDuring(job.sentAt, job.sentAt+quickBound) {
		return
	}
	o.countCheck(checkQuickBehindBatch)
	if firstStart <= job.acceptedAt+quickBound {
		return
	}
	if !o.available(job.spec.Tasks[0], job.acceptedAt, firstStart) {
		o.excuse(checkQuickBehindBatch, "no worker with its label was available")
		return
	}
	if job.cancelledAt == 0 && !job.impossible {
		o.violate(checkQuickBehindBatch, "%s accepted at %s, first run at %s",
			job.spec.ID, seconds(job.acceptedAt), seconds(firstStart))
	}
}

// firstStart returns the start of the first run of a job, or the end of the simulation if
// there is none.
func (o *oracle) firstStart(job *clientJob, index *runIndex) time.Duration {
	first := o.end
	for _, task := range job.spec.Tasks {
		for _, r := range index.runsOf(job, task.ID) {
			first = min(first, r.startedAt)
		}
	}
	return first
}

package replica

import (
	"time"

	"sorrelloom/core/state"
	"sorrelloom/core/wire"
)

const (
	// acceptableWait is how long a request for new work may wait in this process's queue. The
	// process counts as overloaded once every request has waited longer for overloadDelay. A
	// mere pause of the process is over before that.
	acceptableWait = 100 * time.Millisecond
	overloadDelay  = 600 * time.Millisecond
	// rateInterval is the interval over which new jobs are counted, and maxRetryAfter the
	// longest delay that a rejected one is asked to wait.
	rateInterval  = time.Second
	maxRetryAfter = 5 * time.Second
)

// overloadDetector detects that requests arrive faster than the process can handle them. New
// jobs are then rejected, since each causes further work, until a request is handled within
// acceptableWait again.
type overloadDetector struct {
	// slowSince is since when all requests have waited too long; 0 if the last one did not.
	slowSince time.Duration
	// admitted and rejected count new jobs since countedSince.
	admitted, rejected int
	countedSince       time.Duration
}

// observe records how long a request has waited.
func (d *overloadDetector) observe(now, waited time.Duration) {
	switch {
	case waited <= acceptableWait:
		d.slowSince = 0
	case d.slowSince == 0:
		d.slowSince = now
	}
}

// admit reports whether a new job is admitted. If it is not, retryAfter is the time in which
// as many jobs as were rejected are admitted at the current rate.
func (d *overloadDetector) admit(now time.Duration) (retryAfter time.Duration, admitted bool) {
	if now >= d.countedSince+rateInterval {
		d.admitted, d.rejected, d.countedSince = 0, 0, now
	}
	if d.slowSince == 0 || now < d.slowSince+overloadDelay {
		d.admitted++
		return 0, true
	}
	d.rejected++
	retryAfter = rateInterval * time.Duration(d.rejected) / time.Duration(max(1, d.admitted))
	return min(max(retryAfter, minRetryAfter), maxRetryAfter), false
}

// rejectNewJob reports whether a command submits a new job that must be rejected because the
// process is overloaded. A job that was accepted before is not new and is never rejected here.
func (r *Replica) rejectNewJob(now time.Duration, b wire.CommandRequest) (retryAfter time.Duration, rejected bool) {
	if b.Command.Kind != state.KindAcceptJob || r.log.store.KnowsJob(b.Command.Job.ID) {
		return 0, false
	}
	retryAfter, admitted := r.overload.admit(now)
	return retryAfter, !admitted
}

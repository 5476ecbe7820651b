package dispatch

import (
	"time"

	"sorrelloom/core/state"
)

// Some rules hold a task back from a worker that has resources for it: another worker would run
// it better, or the resources are meant for an older gang. Each hold is bounded. While at most
// half of a service is in use and no younger work keeps arriving, no hold lasts as long as the
// time after which state.StalledTasks considers a task stalled.

const (
	// maxIdleHold bounds how long work is held back without a pause while the resources are idle
	// (holdConditions). It is well below the time after which a task counts as stalled.
	maxIdleHold = 2 * time.Second
	// maxStreamingHold applies instead of maxIdleHold while younger work keeps arriving, since
	// otherwise a gang would never find the workers empty. Work keeps arriving as long as the
	// last arrival is less than arrivalGap ago.
	maxStreamingHold = 10 * time.Second
	arrivalGap       = 3 * time.Second
	// maxBusyHold is the bound while the resources are not idle.
	maxBusyHold = time.Minute
	// holdPause is how long held work may start before a gang holds it back again.
	holdPause = 500 * time.Millisecond
	// usageTTL is how long it is cached whether at most half of a service is in use.
	usageTTL = 50 * time.Millisecond
)

// holdConditions decide the bound of a gang's hold.
type holdConditions struct {
	// idle is set if at most half of the service is in use or, for a gang that waits for its
	// tenant's limit, less than half of that limit; streaming is set if new work keeps arriving.
	idle, streaming bool
}

// holdWindow bounds how long gangs hold back younger work, also several gangs in succession: a
// pause follows each period of holding. Its zero value has not begun.
type holdWindow struct {
	began       bool
	since       time.Duration
	idle        bool
	idleSince   time.Duration
	pausedUntil time.Duration
}

// holds reports whether a waiting gang holds back younger work now.
func (w *holdWindow) holds(now time.Duration, conditions holdConditions) bool {
	if now < w.pausedUntil {
		return false
	}
	if !w.began {
		*w = holdWindow{began: true, since: now}
	}
	if conditions.idle && !w.idle {
		w.idleSince = now
	}
	w.idle = conditions.idle
	idleBound := maxIdleHold
	if conditions.streaming {
		idleBound = maxStreamingHold
	}
	if now-w.since < maxBusyHold && !(w.idle && now-w.idleSince >= idleBound) {
		return true
	}
	*w = holdWindow{pausedUntil: now + holdPause}
	return false
}

// arrivals holds, by service or by tenant, when the last job with queued tasks was accepted.
type arrivals map[string]time.Duration

// record records the acceptance of a job.
func (a arrivals) record(name string, acceptedAt time.Duration) { a[name] = max(a[name], acceptedAt) }

// areStreaming reports whether new work keeps arriving.
func (a arrivals) areStreaming(now time.Duration, name string) bool {
	return a.anyWithin(now, name, arrivalGap)
}

// anyWithin reports whether work has arrived within the given time before now.
func (a arrivals) anyWithin(now time.Duration, name string, within time.Duration) bool {
	last, known := a[name]
	return known && now-last < within
}

// serviceUsage caches whether at most half of a service is in use.
type serviceUsage struct {
	checkedAt  time.Duration
	atMostHalf bool
}

// atMostHalfUsed reports whether at most half of a service is in use.
func (d *Dispatcher) atMostHalfUsed(store *state.Store, service string) bool {
	usage, known := d.usages[service]
	if !known || store.Now() >= usage.checkedAt+usageTTL {
		usage = serviceUsage{store.Now(), store.AtMostHalfUsed(service)}
		d.usages[service] = usage
	}
	return usage.atMostHalf
}

// holdsExpired reports whether a ready task has waited for so long that no rule holds it back
// any more from a worker that has resources for it. That is so after maxIdleHold, if at most
// half of its service is in use or the task is long-running.
func (d *Dispatcher) holdsExpired(store *state.Store, job *state.Job, i int) bool {
	return store.Now()-job.Tasks[i].ReadyAt >= maxIdleHold &&
		(job.Spec.Tasks[i].LongRunning || d.atMostHalfUsed(store, job.Spec.Service))
}

// mayHaveExpiredHolds reports whether the holds of any task of a service may have expired.
func (d *Dispatcher) mayHaveExpiredHolds(store *state.Store, service string) bool {
	return d.queues.longRunningCount > 0 || d.atMostHalfUsed(store, service)
}

// recordArrival records the arrival of a job, one of whose tasks is queued.
func (d *Dispatcher) recordArrival(job *state.Job) {
	d.serviceArrivals.record(job.Spec.Service, job.AcceptedAt)
	if job.Tenant != "" {
		d.tenantArrivals.record(job.Tenant, job.AcceptedAt)
	}
}

package scheduler

import (
	"maps"
	"time"

	"sorrelloom/core/machine"
)

const (
	// takeoverTimeout is how long after a takeover silent workers are waited for.
	takeoverTimeout = 20 * time.Second
	// takeoverCheckInterval is the time between two looks for workers that are left.
	takeoverCheckInterval = 100 * time.Millisecond
)

// takeover follows how the primary's own scheduler gets going again after it has gained
// leadership: the rebuild of the queues, the first report of each worker, the first grant.
// Each of them is logged once, with the time since the takeover.
type takeover struct {
	// pending says that it begins with the next step, active that it has begun.
	pending, active            bool
	since                      time.Duration
	rebuilt, granted, reported bool
	// steps counts those that the rebuild took.
	steps int
	// workers counts those that the state knew, unheard holds those of them that have not
	// reported since and are not forgotten.
	workers   int
	unheard   map[string]bool
	nextCheck time.Duration
	// reports counts those that have come, changed those that had changes, and deferred
	// those that were sent back for later.
	reports, changed, deferred int
}

// beginTakeover starts anew with what the state holds now.
func (s *Scheduler) beginTakeover(now time.Duration) {
	s.takeover = takeover{active: true, since: now, unheard: map[string]bool{}}
	for _, entry := range s.access.State().WorkerEntries() {
		s.takeover.unheard[entry.ID()] = true
	}
	s.takeover.workers = len(s.takeover.unheard)
}

// followTakeover logs each part of a takeover once it is done.
func (s *Scheduler) followTakeover(now time.Duration, out *machine.Output) {
	t := &s.takeover
	if !t.active {
		return
	}
	tookMs := (now - t.since).Milliseconds()
	if !t.rebuilt {
		t.steps++
		if t.rebuilt = !s.dispatcher.Rebuilding(); t.rebuilt {
			out.Log("queues_rebuilt", "tasks", s.dispatcher.QueuedTasks(), "steps", t.steps, "tookMs", tookMs)
		}
	}
	if !t.granted && len(s.proposals) > 0 {
		t.granted = true
		out.Log("grants_resumed", "tookMs", tookMs)
	}
	if !t.reported && now >= t.nextCheck && s.noneAwaited(now) {
		t.reported = true
		out.Log("workers_reported", "workers", t.workers, "silent", len(t.unheard), "reports", t.reports,
			"changed", t.changed, "deferred", t.deferred, "tookMs", tookMs)
	}
	t.active = !t.rebuilt || !t.granted || !t.reported
}

// noneAwaited reports whether no worker's first report is waited for any more.
func (s *Scheduler) noneAwaited(now time.Duration) bool {
	t := &s.takeover
	t.nextCheck = now + takeoverCheckInterval
	maps.DeleteFunc(t.unheard, func(worker string, _ bool) bool {
		_, known := s.access.State().Worker(worker)
		return !known
	})
	return len(t.unheard) == 0 || now-t.since > takeoverTimeout
}

// noteReport takes note of a worker's report.
func (t *takeover) noteReport(worker string, changes bool) {
	if !t.active || t.reported {
		return
	}
	delete(t.unheard, worker)
	if t.reports++; changes {
		t.changed++
	}
}

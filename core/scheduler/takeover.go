package scheduler

import (
	"maps"
	"time"

	"sorrelloom/core/machine"
)

const (
	// takeoverTimeout is how long the takeover waits for reports of silent workers.
	takeoverTimeout = 20 * time.Second
	// takeoverCheckInterval is the time between two checks for workers that have not reported.
	takeoverCheckInterval = 100 * time.Millisecond
)

// takeover logs the progress of the primary's own scheduler after it has gained leadership:
// the rebuild of the queues, the first report of each worker, and the first grant. Each is
// logged once, with the time since the takeover.
type takeover struct {
	// pending means that the takeover begins in the next step, active that it is in progress.
	pending, active            bool
	since                      time.Duration
	rebuilt, granted, reported bool
	// steps counts the steps of the rebuild.
	steps int
	// workers is the number of workers in the state at the start.
	workers int
	// unreported holds those workers that have not reported since and are still in the state.
	unreported map[string]bool
	nextCheck  time.Duration
	// reports counts the heartbeats received, changed those with changes, and deferred those
	// that were deferred.
	reports, changed, deferred int
}

// beginTakeover starts a takeover with the workers that the state contains.
func (s *Scheduler) beginTakeover(now time.Duration) {
	s.takeover = takeover{active: true, since: now, unreported: map[string]bool{}}
	for _, entry := range s.access.State().WorkerEntries() {
		s.takeover.unreported[entry.ID()] = true
	}
	s.takeover.workers = len(s.takeover.unreported)
}

// followTakeover logs each part of a takeover when it is complete.
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
	if !t.reported && now >= t.nextCheck && s.allReported(now) {
		t.reported = true
		out.Log("workers_reported", "workers", t.workers, "silent", len(t.unreported), "reports", t.reports,
			"changed", t.changed, "deferred", t.deferred, "tookMs", tookMs)
	}
	t.active = !t.rebuilt || !t.granted || !t.reported
}

// allReported reports whether every worker has reported or takeoverTimeout has passed.
func (s *Scheduler) allReported(now time.Duration) bool {
	t := &s.takeover
	t.nextCheck = now + takeoverCheckInterval
	maps.DeleteFunc(t.unreported, func(worker string, _ bool) bool {
		_, known := s.access.State().Worker(worker)
		return !known
	})
	return len(t.unreported) == 0 || now-t.since > takeoverTimeout
}

// recordReport records a worker's heartbeat.
func (t *takeover) recordReport(worker string, changes bool) {
	if !t.active || t.reported {
		return
	}
	delete(t.unreported, worker)
	if t.reports++; changes {
		t.changed++
	}
}

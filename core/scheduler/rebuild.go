package scheduler

import "time"

// rebuildPause is the time between the end of one batch of a rebuild of the dispatcher's
// queues and the next batch. A batch takes about as long on a slow machine.
const rebuildPause = 10 * time.Millisecond

// rebuildPace leaves time for all other work between two batches of a rebuild, however many
// steps there are and however long a batch takes.
type rebuildPace struct {
	// lastAt is the time of the step that took the last batch. The first step at a later time
	// tells that the batch is over; pausedUntil is set by it, and 0 before.
	lastAt      time.Duration
	pausedUntil time.Duration
}

// due reports whether the next batch may be taken in the step at now, and notes that it is.
func (p *rebuildPace) due(now time.Duration) bool {
	if now == p.lastAt {
		return false
	}
	if p.pausedUntil == 0 {
		p.pausedUntil = now + rebuildPause
	}
	if now < p.pausedUntil {
		return false
	}
	p.lastAt, p.pausedUntil = now, 0
	return true
}

// nextStep is when the next step is needed.
func (p *rebuildPace) nextStep(now time.Duration) time.Duration {
	if p.pausedUntil == 0 {
		return now + time.Millisecond
	}
	return p.pausedUntil
}

// continueRebuild has the dispatcher take the next batch of a rebuild if one is due.
func (s *Scheduler) continueRebuild(now time.Duration) {
	if s.dispatcher.Rebuilding() && s.rebuild.due(now) {
		s.dispatcher.ContinueRebuild(s.access.State())
	}
}

package scheduler

import "time"

// rebuildPause is the time between two batches of a rebuild of the dispatcher's queues, from
// the end of one to the start of the next. A batch takes about as long on a slow machine.
const rebuildPause = 10 * time.Millisecond

// rebuildPace leaves time for other work between two batches of a rebuild, regardless of the
// number of steps and of the duration of a batch.
type rebuildPace struct {
	// lastAt is the time of the step that processed the last batch.
	lastAt time.Duration
	// pausedUntil is set in the first step at a later time, which is when the batch is known to
	// be over; 0 until then.
	pausedUntil time.Duration
}

// startIfDue reports whether the next batch is due in the step at now. If so, it records that
// this step processes the batch.
func (p *rebuildPace) startIfDue(now time.Duration) bool {
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

// nextStep returns the time at which the rebuild needs the next step.
func (p *rebuildPace) nextStep(now time.Duration) time.Duration {
	if p.pausedUntil == 0 {
		return now + time.Millisecond
	}
	return p.pausedUntil
}

// continueRebuild lets the dispatcher process the next batch of a rebuild if one is due.
func (s *Scheduler) continueRebuild(now time.Duration) {
	if s.dispatcher.Rebuilding() && s.rebuild.startIfDue(now) {
		s.dispatcher.ContinueRebuild(s.access.State())
	}
}

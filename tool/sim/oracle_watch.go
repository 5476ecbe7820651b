package sim

import "time"

const (
	leaderPollInterval = 50 * time.Millisecond
	commitPollInterval = 20 * time.Millisecond
	// commitPollDelay is the delay before the first poll. No request arrives earlier.
	commitPollDelay = 2 * time.Millisecond
	// degradedBefore is the time before a fault in which latency is not checked either, since
	// what was sent then may still be in flight.
	degradedBefore = 2 * time.Second
)

// watchLeader polls the primary until the end of the run, and records the times in which
// there is none.
func (o *oracle) watchLeader(w *World, primary func() *node) {
	if primary() == nil {
		if last := o.leaderless.last(); last != nil && last.to >= w.Now {
			last.to = w.Now + leaderPollInterval
		} else {
			o.leaderless = append(o.leaderless, span{w.Now, w.Now + leaderPollInterval})
		}
	}
	w.After(leaderPollInterval, func() { o.watchLeader(w, primary) })
}

// markDegraded excludes the time from now-degradedBefore to now+duration from the latency
// checks.
func (o *oracle) markDegraded(now, duration time.Duration) {
	o.degraded = append(o.degraded, span{now - degradedBefore, now + duration})
}

// pendingRequest is an operator's request that waits for its reply. Bounds count from the
// first time at which the daemons could have committed it, given the faults that were
// active.
type pendingRequest struct {
	committableAt time.Duration
	answered      bool
}

// watchCommittable polls a condition to record the first time at which a request could be
// committed.
func (o *oracle) watchCommittable(w *World, committable func() bool) *pendingRequest {
	p := &pendingRequest{}
	var poll func()
	poll = func() {
		switch {
		case p.answered || p.committableAt > 0 || w.Now >= o.end:
		case committable():
			p.committableAt = w.Now
		default:
			w.After(commitPollInterval, poll)
		}
	}
	w.After(commitPollDelay, poll)
	return p
}

// finish ends a request when its reply arrives, and returns the first time at which it could
// have been committed, or now if none was seen.
func (p *pendingRequest) finish(now time.Duration) time.Duration {
	p.answered = true
	if p.committableAt == 0 {
		p.committableAt = now
	}
	return p.committableAt
}

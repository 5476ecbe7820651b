package sim

import "time"

const (
	leaderPollInterval = 50 * time.Millisecond
	commitPollInterval = 20 * time.Millisecond
	// commitPollDelay is when a request is looked at first: no request arrives earlier.
	commitPollDelay = 2 * time.Millisecond
	// degradedBefore is how long before a fault speed is not judged, since what is sent
	// then is still under way.
	degradedBefore = 2 * time.Second
)

// watchLeader notes the times in which nobody serves.
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

// markDegraded notes a time from now on in which speed is not judged.
func (o *oracle) markDegraded(now, duration time.Duration) {
	o.degraded = append(o.degraded, span{now - degradedBefore, now + duration})
}

// pendingRequest is an operator's request until it has its reply. Bounds count from the
// first moment at which the daemons could have committed it, by what the simulation did
// to them.
type pendingRequest struct {
	committableAt time.Duration
	answered      bool
}

// watchCommittable notes when a request could first be committed.
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

// finish ends a request with its reply, and returns when it could first be committed.
func (p *pendingRequest) finish(now time.Duration) time.Duration {
	p.answered = true
	if p.committableAt == 0 {
		p.committableAt = now
	}
	return p.committableAt
}

package scheduler

import (
	"time"

	"sorrelloom/core/state"
	"sorrelloom/core/status"
)

// The primary's own scheduler keeps heartbeats from taking all of its time: in each
// tick it admits a limited number that change something, and defers the others. While
// commands take long to commit, it asks the node agents to report less often.

const (
	// admissionTick is the length of a tick, and admissionsPerTick how many heartbeats
	// with changes are admitted in it.
	admissionTick     = 20 * time.Millisecond
	admissionsPerTick = 32
	// unpacedLatency is the latency of commands up to which agents report as they
	// like, and maxReportInterval the longest interval that they are asked for.
	unpacedLatency    = 30 * time.Millisecond
	maxReportInterval = 200 * time.Millisecond
)

// admission counts the heartbeats with changes of a tick. One that is deferred has a
// place in a later tick, so that it is deferred only once.
type admission struct {
	tickEnd  time.Duration
	admitted int
	deferred int
}

// admit admits a heartbeat, or returns after which time it is to be sent again.
func (a *admission) admit(now time.Duration) (retryAfter time.Duration, admitted bool) {
	if now >= a.tickEnd {
		a.nextTick(now)
	}
	if a.admitted < admissionsPerTick {
		a.admitted++
		return 0, true
	}
	a.deferred++
	ticks := time.Duration((a.deferred - 1) / admissionsPerTick)
	return a.tickEnd - now + ticks*admissionTick, false
}

func (a *admission) nextTick(now time.Duration) {
	passed := 1 + int((now-a.tickEnd)/admissionTick)
	a.deferred = max(0, a.deferred-passed*admissionsPerTick)
	a.tickEnd, a.admitted = now+admissionTick, 0
}

// deferral is the result of a heartbeat that is not admitted. Its worker counts as
// heard from.
func (s *Scheduler) deferral(pending *pendingHeartbeat, retryAfter time.Duration) state.Result {
	result := state.Result{
		Code: status.QueueFull, Reason: "other heartbeats are taken first", RetryAfter: retryAfter,
	}
	result.Heartbeat.LeaseDuration = s.leaseLeft(pending)
	return result
}

// commandLatency measures how long the commands of heartbeats take to commit.
type commandLatency struct {
	// sentAt holds the commands under way, of which the oldest was sent at oldest; 0 is none.
	sentAt map[uint64]time.Duration
	oldest time.Duration
	// last is what the command took that ended last.
	last time.Duration
}

func (l *commandLatency) sent(now time.Duration, id uint64) {
	if l.sentAt[id] = now; l.oldest == 0 {
		l.oldest = now
	}
}

func (l *commandLatency) ended(now time.Duration, id uint64) {
	sentAt, known := l.sentAt[id]
	if !known {
		return
	}
	l.last = now - sentAt
	delete(l.sentAt, id)
	l.oldest = 0
	for _, other := range l.sentAt {
		if l.oldest == 0 || other < l.oldest {
			l.oldest = other
		}
	}
}

// current is what the last command took, or what the oldest under way takes already.
func (l *commandLatency) current(now time.Duration) time.Duration {
	if l.oldest > 0 {
		return max(l.last, now-l.oldest)
	}
	return l.last
}

// reportInterval returns how long an agent is to wait between two heartbeats: about
// as long as a command takes. 0 leaves it to the agent.
func (s *Scheduler) reportInterval(now time.Duration) time.Duration {
	latency := s.latency.current(now)
	if !s.access.IsLocal() || latency <= unpacedLatency {
		return 0
	}
	return min(latency, maxReportInterval)
}

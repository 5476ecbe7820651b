package scheduler

import (
	"time"

	"sorrelloom/core/state"
	"sorrelloom/core/status"
)

// The primary's own scheduler limits the time that it spends on heartbeats: in each tick it
// admits a limited number of heartbeats with changes and defers the others. While commands
// take long to commit, it asks the node agents to report less often.

const (
	// admissionTick is the length of a tick.
	admissionTick = 20 * time.Millisecond
	// admissionsPerTick is the number of heartbeats with changes admitted in one tick.
	admissionsPerTick = 32
	// pacingThreshold is the command latency above which agents are asked to report less often.
	pacingThreshold = 30 * time.Millisecond
	// maxReportInterval is the longest interval that agents are asked for.
	maxReportInterval = 200 * time.Millisecond
)

// admission limits the heartbeats with changes per tick. Deferred heartbeats are spread over
// later ticks, so that each is deferred only once.
type admission struct {
	tickEnd  time.Duration
	admitted int
	deferred int
}

// admit admits a heartbeat, or returns the delay after which it is to be sent again.
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

// deferral returns the result for a heartbeat that is not admitted. It tells the worker how
// much of its lease is left.
func (s *Scheduler) deferral(pending *pendingHeartbeat, retryAfter time.Duration) state.Result {
	result := state.Result{
		Code: status.QueueFull, Reason: "other heartbeats are taken first", RetryAfter: retryAfter,
	}
	result.Heartbeat.LeaseDuration = s.leaseLeft(pending)
	return result
}

// commandLatency measures how long heartbeat commands take to commit.
type commandLatency struct {
	// sentAt holds the submission times of the pending commands, by command ID.
	sentAt map[uint64]time.Duration
	// oldestSentAt is the submission time of the oldest pending command; 0 if there is none.
	oldestSentAt time.Duration
	// last is the latency of the command that completed last.
	last time.Duration
}

func (l *commandLatency) recordSent(now time.Duration, id uint64) {
	if l.sentAt[id] = now; l.oldestSentAt == 0 {
		l.oldestSentAt = now
	}
}

func (l *commandLatency) recordResult(now time.Duration, id uint64) {
	sentAt, known := l.sentAt[id]
	if !known {
		return
	}
	l.last = now - sentAt
	delete(l.sentAt, id)
	l.oldestSentAt = 0
	for _, other := range l.sentAt {
		if l.oldestSentAt == 0 || other < l.oldestSentAt {
			l.oldestSentAt = other
		}
	}
}

// current returns the latency of the last completed command or the age of the oldest pending
// one, whichever is larger.
func (l *commandLatency) current(now time.Duration) time.Duration {
	if l.oldestSentAt > 0 {
		return max(l.last, now-l.oldestSentAt)
	}
	return l.last
}

// reportInterval returns the interval at which an agent should send heartbeats, which is about
// the latency of a command. 0 leaves the interval to the agent.
func (s *Scheduler) reportInterval(now time.Duration) time.Duration {
	latency := s.latency.current(now)
	if !s.access.IsLocal() || latency <= pacingThreshold {
		return 0
	}
	return min(latency, maxReportInterval)
}

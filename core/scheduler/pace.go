// How the primary's own dispatcher keeps reports from taking all its time: so many
// reports with changes a tick become commands, the others are told when to come
// again; and while commands wait for the disks, agents are told to report less.

package scheduler

import (
	"time"

	"sorrelloom/core/state"
	"sorrelloom/core/status"
)

const (
	// admitEach is a tick, in which admitMost reports with changes are taken.
	admissionTick     = 20 * time.Millisecond
	admissionsPerTick = 32
	// paceFree is the delay of a command at which agents report as they like, and
	// paceMost the longest time between two reports that they are asked for.
	unpacedLatency = 30 * time.Millisecond
	maxPace        = 200 * time.Millisecond
)

// admission counts the reports with changes of a tick. What is asked to come in a
// later tick has a place there, so that it is put off only once.
type admission struct {
	tickEnd  time.Duration
	admitted int
	deferred int
}

// admit takes a report, or says after which time it is to come again.
func (a *admission) admit(now time.Duration) (after time.Duration, taken bool) {
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

// putOff tells an agent when to come again. Its worker counts as heard.
func (s *Scheduler) deferral(r pendingHeartbeat, after time.Duration) state.Result {
	a := state.Result{Code: status.QueueFull, Reason: "other reports are taken first", RetryAfter: after}
	a.Heartbeat.LeaseDuration = s.leaseLeft(r)
	return a
}

// pace is how long an agent shall wait between two reports, 0 as it likes: about
// as long as the last command took, or the oldest that is under way takes already.
func (s *Scheduler) reportInterval(now time.Duration) time.Duration {
	delay := s.lastCommandLatency
	if s.oldestSentAt > 0 {
		delay = max(delay, now-s.oldestSentAt)
	}
	if !s.access.IsLocal() || delay <= unpacedLatency {
		return 0
	}
	return min(delay, maxPace)
}

// sent notes when a report's command went out, and ended what it took.
func (s *Scheduler) commandSent(now time.Duration, id uint64) {
	if s.sentAt[id] = now; s.oldestSentAt == 0 {
		s.oldestSentAt = now
	}
}

func (s *Scheduler) commandEnded(now time.Duration, id uint64) {
	at, known := s.sentAt[id]
	if !known {
		return
	}
	s.lastCommandLatency = now - at
	delete(s.sentAt, id)
	s.oldestSentAt = 0
	for _, other := range s.sentAt {
		if s.oldestSentAt == 0 || other < s.oldestSentAt {
			s.oldestSentAt = other
		}
	}
}

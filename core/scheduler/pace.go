// How the primary's own dispatcher keeps reports from taking all its time: so many
// reports with changes a tick become commands, the others are told when to come
// again; and while commands wait for the disks, agents are told to report less.
package scheduler

import (
	"time"

	"sorrelloom/core/code"
	"sorrelloom/core/ledger"
)

const (
	// admitEach is a tick, in which admitMost reports with changes are taken.
	admitEach = 20 * time.Millisecond
	admitMost = 32
	// paceFree is the delay of a command at which agents report as they like, and
	// paceMost the longest time between two reports that they are asked for.
	paceFree = 30 * time.Millisecond
	paceMost = 200 * time.Millisecond
)

// admission counts the reports with changes of a tick. What is asked to come in a
// later tick has a place there, so that it is put off only once.
type admission struct {
	endsAt time.Duration
	taken  int
	later  int
}

// admit takes a report, or says after which time it is to come again.
func (a *admission) admit(now time.Duration) (after time.Duration, taken bool) {
	if now >= a.endsAt {
		a.nextTick(now)
	}
	if a.taken < admitMost {
		a.taken++
		return 0, true
	}
	a.later++
	ticks := time.Duration((a.later - 1) / admitMost)
	return a.endsAt - now + ticks*admitEach, false
}

func (a *admission) nextTick(now time.Duration) {
	passed := 1 + int((now-a.endsAt)/admitEach)
	a.later = max(0, a.later-passed*admitMost)
	a.endsAt, a.taken = now+admitEach, 0
}

// putOff tells an agent when to come again. Its worker counts as heard.
func (s *Scheduler) putOff(r record, after time.Duration) ledger.Answer {
	a := ledger.Answer{Code: code.InboxFull, Why: "other reports are taken first", RetryAfter: after}
	a.Orders.Lease = s.leaseLeft(r)
	return a
}

// pace is how long an agent shall wait between two reports, 0 as it likes: about
// as long as the last command took, or the oldest that is under way takes already.
func (s *Scheduler) pace(now time.Duration) time.Duration {
	delay := s.commandTook
	if s.oldest > 0 {
		delay = max(delay, now-s.oldest)
	}
	if !s.copy.Own() || delay <= paceFree {
		return 0
	}
	return min(delay, paceMost)
}

// sent notes when a report's command went out, and ended what it took.
func (s *Scheduler) sent(now time.Duration, id uint64) {
	if s.sentAt[id] = now; s.oldest == 0 {
		s.oldest = now
	}
}

func (s *Scheduler) ended(now time.Duration, id uint64) {
	at, known := s.sentAt[id]
	if !known {
		return
	}
	s.commandTook = now - at
	delete(s.sentAt, id)
	s.oldest = 0
	for _, other := range s.sentAt {
		if s.oldest == 0 || other < s.oldest {
			s.oldest = other
		}
	}
}

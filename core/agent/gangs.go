package agent

import (
	"slices"
	"time"

	"sorrelloom/core/machine"
	"sorrelloom/core/state"
)

// A worker itself ends a gang member that has waited too long for the other members, and that
// must not happen. The primary orders such a gang to stop, but the order may arrive late. The
// agent therefore stops a member on its own shortly before the wait expires, unless it has
// learned from the run's progress or from the primary that the gang has started.

const (
	// A member is stopped before the gang wait set by the primary expires, so that the worker
	// gets the stop in time: by maxGangWaitMargin, or by the wait divided by
	// gangWaitMarginDivisor if that is less.
	maxGangWaitMargin     = 500 * time.Millisecond
	gangWaitMarginDivisor = 4
	// The agent asks the primary whether a gang has started once 1/gangQueryDivisor of the time
	// until the member is given up has passed.
	gangQueryDivisor = 4
)

// reasonGangNotStarted is the reason of a lost attempt that was stopped because its gang did
// not start completely in time.
const reasonGangNotStarted = "its gang did not start in time"

// gangMember is an attempt that was handed over to the worker and whose gang is not known
// to have started.
type gangMember struct {
	attempt      state.Attempt
	handedOverAt time.Duration
	giveUpAt     time.Duration
	// checkpoint is the checkpoint that the run resumes from, "" if none; percent is the
	// progress with which it resumes, 0 without a checkpoint.
	checkpoint string
	listed     bool
	percent    int
}

// gangGiveUpAt returns when a gang member whose start order arrives now is given up, 0 for
// never.
func gangGiveUpAt(now time.Duration, start *state.StartOrder) time.Duration {
	if start.Gang == "" || start.GangWait <= 0 {
		return 0
	}
	return now + start.GangWait - min(maxGangWaitMargin, start.GangWait/gangWaitMarginDivisor)
}

// awaitGang adds a start that was handed over to the gang members, if it belongs to a gang.
func (w *worker) awaitGang(now time.Duration, start *pendingStart) {
	if start.gangGiveUpAt > 0 {
		w.gangMembers = append(w.gangMembers, &gangMember{
			attempt: start.Attempt, handedOverAt: now, giveUpAt: start.gangGiveUpAt, checkpoint: start.Checkpoint,
		})
	}
}

// removeStartedMembers drops the members whose runs have made progress by the last call, and
// those that no longer run.
func (w *worker) removeStartedMembers() {
	w.gangMembers = slices.DeleteFunc(w.gangMembers, func(member *gangMember) bool {
		i := slices.IndexFunc(w.lastCall.Running, func(r Run) bool { return r.Attempt == member.attempt })
		if i < 0 {
			return w.pendingIndex(member.attempt) < 0
		}
		return member.hasProgressed(w.lastCall.Running[i])
	})
}

// hasProgressed reports whether a run has made progress since it was first listed. A member
// makes progress only once its whole gang has started.
func (m *gangMember) hasProgressed(run Run) bool {
	if !m.listed {
		m.listed = true
		if m.checkpoint != "" {
			m.percent = run.Percent
		}
	}
	return run.Percent > m.percent || run.Checkpoint != "" && run.Checkpoint != m.checkpoint
}

// confirmStartedGangs drops the members whose gangs have started according to the primary.
func (w *worker) confirmStartedGangs(started []state.Attempt) {
	w.gangMembers = slices.DeleteFunc(w.gangMembers, func(member *gangMember) bool {
		return slices.Contains(started, member.attempt)
	})
}

// awaitingGang returns the members whose gangs the primary is asked about: those that have
// waited for 1/gangQueryDivisor of the time until they are given up.
func (w *worker) awaitingGang(now time.Duration) []state.Attempt {
	var attempts []state.Attempt
	for _, member := range w.gangMembers {
		if now-member.handedOverAt >= (member.giveUpAt-member.handedOverAt)/gangQueryDivisor {
			attempts = append(attempts, member.attempt)
		}
	}
	return attempts
}

// giveUpGangMembers stops the members that have waited too long, and sets a timer for the
// others.
func (a *Agent) giveUpGangMembers(now time.Duration, w *worker, out *machine.Output) {
	w.gangMembers = slices.DeleteFunc(w.gangMembers, func(member *gangMember) bool {
		if now < member.giveUpAt {
			a.scheduleTimer(now, member.giveUpAt)
			return false
		}
		a.counters.GivenUpMembers++
		out.Log("gang_member_given_up", "worker", w.lastCall.Worker, "attempt", member.attempt.String(),
			"waitedMs", (now - member.handedOverAt).Milliseconds(), "listed", member.listed)
		w.results.markGivenUp(member.attempt)
		a.handleStop(w, member.attempt, out)
		return true
	})
}

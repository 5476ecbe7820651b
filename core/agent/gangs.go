package agent

import (
	"slices"
	"time"

	"sorrelloom/core/machine"
	"sorrelloom/core/state"
)

// A worker ends a member of a gang that has waited too long for the others, and that end
// must not happen. The primary has such a gang stopped, but it may be late. So the agent
// stops a member by itself in time, unless it has learned that the gang has started: from
// the progress of the run, or from the primary.

const (
	// maxGangWaitMargin bounds how much earlier than the primary asks a member is stopped,
	// so that the worker hears of it in time; for short waits it is a part of them.
	maxGangWaitMargin  = 500 * time.Millisecond
	gangWaitMarginPart = 4
	// gangAskPart is the part of its wait after which the primary is asked for the gang.
	gangAskPart = 4
)

// reasonGangNotStarted is why an attempt is lost that was stopped because its gang did not
// start whole.
const reasonGangNotStarted = "its gang did not start in time"

// gangMember is an attempt that was handed over to the worker and whose gang is not known
// to have started.
type gangMember struct {
	attempt      state.Attempt
	handedOverAt time.Duration
	giveUpAt     time.Duration
	// checkpoint is that of the start, percent how far the run was when it was listed first.
	checkpoint string
	listed     bool
	percent    int
}

// gangGiveUpAt returns when a member whose start comes now is given up, 0 for never.
func gangGiveUpAt(now time.Duration, start *state.StartOrder) time.Duration {
	if start.Gang == "" || start.GangWait <= 0 {
		return 0
	}
	return now + start.GangWait - min(maxGangWaitMargin, start.GangWait/gangWaitMarginPart)
}

// awaitGang notes that a start was handed over, if it is that of a gang's member.
func (w *worker) awaitGang(now time.Duration, start *pendingStart) {
	if start.gangGiveUpAt > 0 {
		w.gangMembers = append(w.gangMembers, &gangMember{
			attempt: start.Attempt, handedOverAt: now, giveUpAt: start.gangGiveUpAt, checkpoint: start.Checkpoint,
		})
	}
}

// settleGangMembers drops those that the last call shows at work, and those that are over.
func (w *worker) settleGangMembers() {
	w.gangMembers = slices.DeleteFunc(w.gangMembers, func(member *gangMember) bool {
		i := slices.IndexFunc(w.lastCall.Running, func(r Run) bool { return r.Attempt == member.attempt })
		if i < 0 {
			return w.pendingIndex(member.attempt) < 0
		}
		return member.isAtWork(w.lastCall.Running[i])
	})
}

// isAtWork reports whether what the worker says of a member shows that its gang has
// started: it works only with all the others.
func (m *gangMember) isAtWork(run Run) bool {
	if !m.listed {
		m.listed = true
		if m.checkpoint != "" {
			m.percent = run.Percent
		}
	}
	return run.Percent > m.percent || run.Checkpoint != "" && run.Checkpoint != m.checkpoint
}

// confirmStartedGangs drops the members whose gangs the primary knows to have started.
func (w *worker) confirmStartedGangs(started []state.Attempt) {
	w.gangMembers = slices.DeleteFunc(w.gangMembers, func(member *gangMember) bool {
		return slices.Contains(started, member.attempt)
	})
}

// awaitingGang returns the members that have waited for long enough to ask the primary.
func (w *worker) awaitingGang(now time.Duration) []state.Attempt {
	var attempts []state.Attempt
	for _, member := range w.gangMembers {
		if now-member.handedOverAt >= (member.giveUpAt-member.handedOverAt)/gangAskPart {
			attempts = append(attempts, member.attempt)
		}
	}
	return attempts
}

// giveUpGangMembers stops the members that have waited too long, and sees to it that the
// agent is stepped when the next one has.
func (a *Agent) giveUpGangMembers(now time.Duration, w *worker, out *machine.Output) {
	w.gangMembers = slices.DeleteFunc(w.gangMembers, func(member *gangMember) bool {
		if now < member.giveUpAt {
			a.scheduleTimer(now, member.giveUpAt)
			return false
		}
		a.counters.GivenUpMembers++
		out.Log("gang_member_given_up", "worker", w.lastCall.Worker, "attempt", member.attempt.String(),
			"waitedMs", (now - member.handedOverAt).Milliseconds(), "listed", member.listed)
		w.ends.markGivenUp(member.attempt)
		a.handleStop(w, member.attempt, out)
		return true
	})
}

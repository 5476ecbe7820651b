package agent

import (
	"maps"
	"slices"

	"sorrelloom/core/state"
)

// endLog holds the ends of a worker's runs until the primary acknowledges them.
type endLog struct {
	// unacknowledged are the ends that the worker reported, by their numbers.
	unacknowledged map[uint64]state.AttemptResult
	// acknowledged are the numbers of acknowledged ends that the worker still lists.
	acknowledged map[uint64]bool
	// lastNumber is the highest number that the worker reported.
	lastNumber uint64
	// agentEnds are those of starts that never became a run, which the agent reports
	// on its own account.
	agentEnds []state.AttemptResult
	// givenUp are attempts that the agent had stopped since their gang did not start.
	givenUp map[state.Attempt]bool
}

func newEndLog() endLog {
	return endLog{
		unacknowledged: map[uint64]state.AttemptResult{}, acknowledged: map[uint64]bool{},
		givenUp: map[state.Attempt]bool{},
	}
}

// record adds the new ends of those that a call lists, and reports whether there
// are any.
func (l *endLog) record(listed []EndedRun) (changed bool) {
	acknowledged := map[uint64]bool{}
	for _, end := range listed {
		if l.acknowledged[end.Number] {
			acknowledged[end.Number] = true
		}
		_, known := l.unacknowledged[end.Number]
		if known || l.acknowledged[end.Number] || end.Number == 0 {
			continue
		}
		l.unacknowledged[end.Number] = l.resultOf(end)
		l.lastNumber = max(l.lastNumber, end.Number)
		changed = true
	}
	l.acknowledged = acknowledged
	return changed
}

// resultOf returns what is reported of an end. One that the agent had stopped is lost
// through no fault of its own: the primary did not ask for it.
func (l *endLog) resultOf(end EndedRun) state.AttemptResult {
	if l.givenUp[end.Attempt] {
		delete(l.givenUp, end.Attempt)
		if end.Outcome == OutcomeStopped {
			end.Outcome, end.Reason = OutcomeLost, reasonGangNotStarted
		}
	}
	return state.AttemptResult{
		Attempt:    end.Attempt,
		Succeeded:  end.Outcome == OutcomeSucceeded,
		Stopped:    end.Outcome == OutcomeStopped,
		Lost:       end.Outcome == OutcomeLost,
		Reason:     end.Reason,
		Checkpoint: end.Checkpoint,
		Percent:    end.Percent,
	}
}

// acknowledgedUpTo returns the number up to which the primary has acknowledged
// every end. What the worker doesn't list any more was acknowledged before.
func (l *endLog) acknowledgedUpTo() uint64 {
	number := l.lastNumber
	for open := range l.unacknowledged {
		number = min(number, open-1)
	}
	return number
}

// acknowledge drops the ends that the primary acknowledges. Of the agent's own, only
// those that the report carried are meant: a later one of the same attempt is kept.
func (l *endLog) acknowledge(sent *report, acks []state.Attempt) {
	for _, number := range sent.endNumbers {
		if slices.Contains(acks, l.unacknowledged[number].Attempt) {
			delete(l.unacknowledged, number)
			l.acknowledged[number] = true
		}
	}
	l.agentEnds = slices.DeleteFunc(l.agentEnds, func(end state.AttemptResult) bool {
		return slices.Contains(acks, end.Attempt) && slices.Contains(sent.heartbeat.Ended, end)
	})
}

// addLost adds a start that never became a run.
func (l *endLog) addLost(attempt state.Attempt, reason string) {
	delete(l.givenUp, attempt)
	l.agentEnds = append(l.agentEnds, state.AttemptResult{Attempt: attempt, Lost: true, Reason: reason})
}

// markGivenUp notes that the agent has an attempt stopped by itself.
func (l *endLog) markGivenUp(attempt state.Attempt) { l.givenUp[attempt] = true }

// dropAgentEnds drops the agent's own ends of attempts that the worker does list:
// its word counts, not the agent's.
func (l *endLog) dropAgentEnds(listed func(state.Attempt) bool) {
	l.agentEnds = slices.DeleteFunc(l.agentEnds, func(end state.AttemptResult) bool { return listed(end.Attempt) })
}

// hasAgentEnd reports whether the agent reports the end of an attempt on its own.
func (l *endLog) hasAgentEnd(attempt state.Attempt) bool {
	return slices.ContainsFunc(l.agentEnds, func(end state.AttemptResult) bool { return end.Attempt == attempt })
}

// openNumbers returns the numbers of the unacknowledged ends, in ascending order.
func (l *endLog) openNumbers() []uint64 { return slices.Sorted(maps.Keys(l.unacknowledged)) }

// results returns the ends with the given numbers, and after them the agent's own.
func (l *endLog) results(numbers []uint64) []state.AttemptResult {
	var results []state.AttemptResult
	for _, number := range numbers {
		results = append(results, l.unacknowledged[number])
	}
	return append(results, l.agentEnds...)
}

// openCount returns how many ends are not acknowledged.
func (l *endLog) openCount() int { return len(l.unacknowledged) + len(l.agentEnds) }

package agent

import (
	"maps"
	"slices"

	"sorrelloom/core/state"
)

// resultLog holds the results of a worker's runs until the primary acknowledges them.
type resultLog struct {
	// unacknowledged are the results that the worker reported, by the numbers of the ended runs.
	unacknowledged map[uint64]state.AttemptResult
	// acknowledged are the numbers of the ended runs that the primary has acknowledged and
	// the worker still lists.
	acknowledged map[uint64]bool
	// lastNumber is the highest number that the worker reported.
	lastNumber uint64
	// agentResults are results that the agent itself reports, for starts that never became
	// a run.
	agentResults []state.AttemptResult
	// givenUp are attempts that the agent stopped because their gang did not start in time.
	givenUp map[state.Attempt]bool
}

func newResultLog() resultLog {
	return resultLog{
		unacknowledged: map[uint64]state.AttemptResult{}, acknowledged: map[uint64]bool{},
		givenUp: map[state.Attempt]bool{},
	}
}

// record adds the ended runs of a call that are new, and reports whether there are any.
func (l *resultLog) record(listed []EndedRun) (changed bool) {
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

// resultOf returns the result to report for an ended run. A run that stopped because the agent
// gave it up is reported as lost, not stopped: the primary did not order the stop.
func (l *resultLog) resultOf(end EndedRun) state.AttemptResult {
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

// acknowledgedUpTo returns the highest number up to which the primary has acknowledged every
// ended run. Runs that the worker no longer lists were acknowledged earlier.
func (l *resultLog) acknowledgedUpTo() uint64 {
	number := l.lastNumber
	for open := range l.unacknowledged {
		number = min(number, open-1)
	}
	return number
}

// acknowledge drops the results that the primary acknowledges in its reply to a report. An
// agent result is dropped only if the report carried it: a later one of the same attempt stays.
func (l *resultLog) acknowledge(sent *report, acks []state.Attempt) {
	for _, number := range sent.resultNumbers {
		if slices.Contains(acks, l.unacknowledged[number].Attempt) {
			delete(l.unacknowledged, number)
			l.acknowledged[number] = true
		}
	}
	l.agentResults = slices.DeleteFunc(l.agentResults, func(end state.AttemptResult) bool {
		return slices.Contains(acks, end.Attempt) && slices.Contains(sent.heartbeat.Ended, end)
	})
}

// addLost adds a lost result for a start that never became a run.
func (l *resultLog) addLost(attempt state.Attempt, reason string) {
	delete(l.givenUp, attempt)
	l.agentResults = append(l.agentResults, state.AttemptResult{Attempt: attempt, Lost: true, Reason: reason})
}

// markGivenUp records that the agent stops an attempt without an order of the primary.
func (l *resultLog) markGivenUp(attempt state.Attempt) { l.givenUp[attempt] = true }

// dropAgentResults drops the agent results of attempts that the worker lists: what the worker
// reports takes precedence.
func (l *resultLog) dropAgentResults(listed func(state.Attempt) bool) {
	l.agentResults = slices.DeleteFunc(l.agentResults, func(end state.AttemptResult) bool { return listed(end.Attempt) })
}

// hasAgentResult reports whether there is an agent result for an attempt.
func (l *resultLog) hasAgentResult(attempt state.Attempt) bool {
	return slices.ContainsFunc(l.agentResults, func(end state.AttemptResult) bool { return end.Attempt == attempt })
}

// unacknowledgedNumbers returns the numbers of the unacknowledged ended runs, ascending.
func (l *resultLog) unacknowledgedNumbers() []uint64 {
	return slices.Sorted(maps.Keys(l.unacknowledged))
}

// results returns the results of the ended runs with the given numbers, then the agent results.
func (l *resultLog) results(numbers []uint64) []state.AttemptResult {
	var results []state.AttemptResult
	for _, number := range numbers {
		results = append(results, l.unacknowledged[number])
	}
	return append(results, l.agentResults...)
}

// unacknowledgedCount returns the number of unacknowledged results, agent results included.
func (l *resultLog) unacknowledgedCount() int { return len(l.unacknowledged) + len(l.agentResults) }

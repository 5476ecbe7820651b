package sim

import (
	"slices"
	"time"

	"sorrelloom/core/state"
	"sorrelloom/tool/fakeworker"
)

// simWorker is a simulated worker with its records for the oracle. Without a node agent it
// stands for a host, on which one worker process follows another; with a node agent it
// stands for a single worker process.
type simWorker struct {
	config      fakeworker.Config
	worker      *fakeworker.Worker
	up          bool
	isolated    bool
	incarnation int
	bootedAt    time.Duration
	// gateways are the known gateways; gatewayIndex, modulo their number, is the one in use.
	gateways        []string
	gatewayIndex    int
	timerGeneration int
	leavingSince    time.Duration // zero if it is not leaving
	unackedEnds     []state.AttemptResult

	// Records for the oracle.
	runs            []run
	collectedRuns   int                             // finished runs of this process that are in runs
	ackedAt         map[state.Attempt]time.Duration // first acknowledgement of the end
	confirmedDeadAt []time.Duration
	leaving         spans // from the announcement to the planned or earlier end
	silences        spans // it was down or unreachable
	faultSpans      spans // faults were set
}

func newSimWorker(config fakeworker.Config, worker *fakeworker.Worker) *simWorker {
	return &simWorker{config: config, worker: worker, ackedAt: map[state.Attempt]time.Duration{}}
}

// run is a run as its worker saw it, in simulated time.
type run struct {
	fakeworker.Run
	startedAt, endedAt time.Duration // endedAt is zero while the run is active
	// gangIncomplete is true if the run ended before all members of its gang had started.
	gangIncomplete bool
}

// endOr returns the end of a run, or now if it is active.
func (r run) endOr(now time.Duration) time.Duration {
	if r.endedAt == 0 {
		return now
	}
	return r.endedAt
}

func (s *simWorker) name() string { return s.config.ID }

// setFaults sets the faults of the worker, and records from when to when it has any.
func (s *simWorker) setFaults(now time.Duration, faults fakeworker.Faults) {
	s.worker.SetFaults(faults)
	if faults != (fakeworker.Faults{}) {
		s.faultSpans = append(s.faultSpans, span{from: now})
	} else if last := s.faultSpans.last(); last != nil {
		last.to = now
	}
}

// markSilent records that the worker is unreachable from now on.
func (s *simWorker) markSilent(now time.Duration) { s.silences.begin(now) }

// markHeard ends a silence, unless the worker is still down or isolated.
func (s *simWorker) markHeard(now time.Duration) {
	if s.up && !s.isolated {
		s.silences.end(now)
	}
}

// silentAt reports whether the worker was silent at a time or less than quickBound before.
func (s *simWorker) silentAt(at time.Duration) bool { return s.silences.anyCovers(at, quickBound) }

// faultyAt reports whether the worker had faults at a time or less than unhealthyBound
// before.
func (s *simWorker) faultyAt(at time.Duration) bool {
	return s.faultSpans.anyCovers(at, unhealthyBound)
}

// endLeaving records that a leaving worker's process has ended, unless it was planned to end
// earlier.
func (s *simWorker) endLeaving(now time.Duration) {
	if last := s.leaving.last(); last != nil {
		last.to = min(last.to, now)
	}
}

// hasLabels reports whether the worker has all of the given labels.
func (s *simWorker) hasLabels(labels []string) bool {
	return !slices.ContainsFunc(labels, func(label string) bool { return !slices.Contains(s.config.Labels, label) })
}

package sim

import (
	"slices"
	"time"

	"sorrelloom/core/state"
	"sorrelloom/tool/fakeworker"
)

// simWorker is one simulated worker with what it notes for the oracle. Of a worker
// without a node agent it is the computer, on which one process follows another; of one
// with an agent it is one process.
type simWorker struct {
	config      fakeworker.Config
	worker      *fakeworker.Worker
	up          bool
	isolated    bool
	incarnation int
	bootedAt    time.Duration
	// gateways are those it knows; gatewayIndex is the one it talks to.
	gateways        []string
	gatewayIndex    int
	timerGeneration int
	leavingSince    time.Duration // zero if it does not leave
	unackedEnds     []state.AttemptResult

	// Notes for the oracle.
	runs            []run
	collectedRuns   int // how many runs of this process are among them
	ackedAt         map[state.Attempt]time.Duration
	confirmedDeadAt []time.Duration
	leaving         spans // each with the time at which it was to be gone
	silences        spans // nothing was heard of it
	faultSpans      spans // it was told to misbehave
}

func newSimWorker(config fakeworker.Config, worker *fakeworker.Worker) *simWorker {
	return &simWorker{config: config, worker: worker, ackedAt: map[state.Attempt]time.Duration{}}
}

// run is one run as the worker saw it, in the time of the world.
type run struct {
	fakeworker.Run
	startedAt, endedAt time.Duration // endedAt is zero while it lasts
	// gangIncomplete says that it ended before all of its gang had started.
	gangIncomplete bool
}

// endOr is when a run ended, or now if it lasts.
func (r run) endOr(now time.Duration) time.Duration {
	if r.endedAt == 0 {
		return now
	}
	return r.endedAt
}

func (s *simWorker) name() string { return s.config.ID }

// setFaults tells the worker how to misbehave, and notes from when to when it does.
func (s *simWorker) setFaults(now time.Duration, faults fakeworker.Faults) {
	s.worker.SetFaults(faults)
	if faults != (fakeworker.Faults{}) {
		s.faultSpans = append(s.faultSpans, span{from: now})
	} else if last := s.faultSpans.last(); last != nil {
		last.to = now
	}
}

// markSilent notes that nothing is heard of the worker from now on.
func (s *simWorker) markSilent(now time.Duration) { s.silences.begin(now) }

// markHeard ends a silence, unless the worker is still down or cut off.
func (s *simWorker) markHeard(now time.Duration) {
	if s.up && !s.isolated {
		s.silences.end(now)
	}
}

// silentAt reports whether the worker was silent at a moment or shortly before.
func (s *simWorker) silentAt(at time.Duration) bool { return s.silences.anyCovers(at, quickBound) }

// faultyAt reports whether the worker was told to misbehave at a moment or some time
// before.
func (s *simWorker) faultyAt(at time.Duration) bool {
	return s.faultSpans.anyCovers(at, unhealthyBound)
}

// endLeaving notes that a worker that leaves is gone by now.
func (s *simWorker) endLeaving(now time.Duration) {
	if last := s.leaving.last(); last != nil {
		last.to = min(last.to, now)
	}
}

// hasLabels reports whether a worker has all of some labels.
func (s *simWorker) hasLabels(labels []string) bool {
	return !slices.ContainsFunc(labels, func(label string) bool { return !slices.Contains(s.config.Labels, label) })
}

package host

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"strings"
	"sync"
	"time"

	"sorrelloom/core/machine"
	"sorrelloom/daemon/logging"
)

const (
	// longStep is the length from which on a step is logged, and longStepLogInterval the
	// time within which at most one is.
	longStep            = 100 * time.Millisecond
	longStepLogInterval = time.Second
	// loadLogInterval is how often the load of a busy process is logged, and busyShare the
	// share of the time in steps from which on it is one.
	loadLogInterval = 10 * time.Second
	busyShare       = 0.5
)

// The kinds of inputs that are no messages, in logs and metrics.
const (
	inputWrite   = "write"
	inputRequest = "request"
	inputStop    = "stop"
	inputTimer   = "timer"
)

// inputKind names the kind of an input; that of a message is its own.
func inputKind(in machine.Input) string {
	switch {
	case in.Message.Kind != "":
		return in.Message.Kind
	case in.CompletedWrite > 0:
		return inputWrite
	case in.Request.ID > 0:
		return inputRequest
	case in.Stop:
		return inputStop
	}
	return inputTimer
}

// Steps counts the steps of one kind of input, and the time that they took.
type Steps struct {
	Count          uint64
	Total, Longest time.Duration
}

// Load is what the steps of a process took within a time.
type Load struct {
	// Inputs are the steps by the kind of their input.
	Inputs map[string]Steps
	Phases machine.PhaseTimes
}

func newLoad() Load { return Load{Inputs: map[string]Steps{}} }

func (l *Load) add(kind string, times machine.PhaseTimes, took time.Duration) {
	steps := l.Inputs[kind]
	l.Inputs[kind] = Steps{steps.Count + 1, steps.Total + took, max(steps.Longest, took)}
	l.Phases = l.Phases.Add(times)
}

// fields returns the load as the keys and values of a log line.
func (l *Load) fields() []any {
	var inputs []string
	for _, kind := range slices.Sorted(maps.Keys(l.Inputs)) {
		steps := l.Inputs[kind]
		inputs = append(inputs, fmt.Sprintf("%s:%d/%d/%d",
			kind, steps.Count, steps.Total.Milliseconds(), steps.Longest.Milliseconds()))
	}
	return []any{"phases", formatPhases(l.Phases), "steps", strings.Join(inputs, ",")}
}

// formatPhases lists phase:milliseconds, the longest first, without those under one.
func formatPhases(times machine.PhaseTimes) string {
	var phases []machine.Phase
	for phase := range machine.PhaseCount {
		if times[phase] >= time.Millisecond {
			phases = append(phases, phase)
		}
	}
	slices.SortStableFunc(phases, func(a, b machine.Phase) int { return cmp.Compare(times[b], times[a]) })
	parts := make([]string, 0, len(phases))
	for _, phase := range phases {
		parts = append(parts, fmt.Sprintf("%s:%d", phase, times[phase].Milliseconds()))
	}
	return strings.Join(parts, ",")
}

// loadMeter measures the steps of all machines of a process.
type loadMeter struct {
	phases *machine.PhaseMeter

	// longStepLoggedAt is used by the event loop alone.
	longStepLoggedAt time.Duration

	mu            sync.Mutex
	interval      Load
	intervalStart time.Duration
	total         Load
}

func newLoadMeter(now func() time.Duration) *loadMeter {
	return &loadMeter{phases: machine.NewPhaseMeter(now), interval: newLoad(), total: newLoad()}
}

// endStep counts a step that began with BeginStep, and logs it if it was long.
func (m *loadMeter) endStep(now time.Duration, in machine.Input) {
	times := m.phases.EndStep()
	took, kind := times.Total(), inputKind(in)
	m.mu.Lock()
	m.interval.add(kind, times, took)
	m.total.add(kind, times, took)
	m.mu.Unlock()
	if took >= longStep && (m.longStepLoggedAt == 0 || now >= m.longStepLoggedAt+longStepLogInterval) {
		m.longStepLoggedAt = now
		logging.Warn("step_long", "input", kind, "tookMs", took.Milliseconds(), "phases", formatPhases(times))
	}
}

// takeInterval returns the load since it was last called, and the share of that time that
// was spent in steps.
func (m *loadMeter) takeInterval(now time.Duration) (Load, float64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	taken, length := m.interval, now-m.intervalStart
	m.interval, m.intervalStart = newLoad(), now
	return taken, float64(taken.Phases.Total()) / float64(max(length, 1))
}

// Total returns the load since the start of the process.
func (m *loadMeter) Total() Load {
	m.mu.Lock()
	defer m.mu.Unlock()
	return Load{Inputs: maps.Clone(m.total.Inputs), Phases: m.total.Phases}
}

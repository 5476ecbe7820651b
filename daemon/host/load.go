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
	// longStep is the minimum duration of a step that is logged, and longStepLogInterval the
	// minimum time between two such log lines.
	longStep            = 100 * time.Millisecond
	longStepLogInterval = time.Second
	// loadLogInterval is how often the load of a busy process is logged. A process is busy if
	// it spends at least busyShare of the time in steps.
	loadLogInterval = 10 * time.Second
	busyShare       = 0.5
)

// Names of inputs that are not messages, in logs and metrics.
const (
	inputWrite   = "write"
	inputRequest = "request"
	inputStop    = "stop"
	inputTimer   = "timer"
)

// inputKind returns the name of an input's kind; for a message, this is the message's own
// kind.
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

// Steps counts the steps for one kind of input and the time they took.
type Steps struct {
	Count          uint64
	Total, Longest time.Duration
}

// Load is the time that a process spent in steps.
type Load struct {
	// Inputs holds the steps by the kind of their input.
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

// formatPhases lists phases as phase:milliseconds, the longest first. Phases below a
// millisecond are left out.
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

// loadMeter measures the steps of all machines in a process.
type loadMeter struct {
	phases *machine.PhaseMeter

	// longStepLoggedAt is only used by the event loop.
	longStepLoggedAt time.Duration

	mu            sync.Mutex
	interval      Load
	intervalStart time.Duration
	total         Load
}

func newLoadMeter(now func() time.Duration) *loadMeter {
	return &loadMeter{phases: machine.NewPhaseMeter(now), interval: newLoad(), total: newLoad()}
}

// endStep records a step that was started by BeginStep, and logs it if it was long.
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

// takeInterval returns the load since its last call, and the share of that time that was
// spent in steps.
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

package machine

import "time"

// Phase is a kind of work that a machine does within a step.
type Phase int

const (
	// PhaseReceive covers everything outside the other phases, such as decoding a message.
	PhaseReceive Phase = iota
	// PhaseApply applies commands to the state and appends them to the log.
	PhaseApply
	// PhaseReplicate encodes new commands for peers and for the disk.
	PhaseReplicate
	// PhaseTimers does the work that is due at a certain time.
	PhaseTimers
	// PhaseEnqueue puts tasks into the queues of workers.
	PhaseEnqueue
	// PhaseSchedule selects tasks for workers.
	PhaseSchedule
	// PhasePreempt selects the leases to preempt.
	PhasePreempt
	// PhaseOrders answers the heartbeats of workers.
	PhaseOrders
	// PhaseSend encodes and queues the messages of a step, and writes its log events.
	PhaseSend
	// PhaseCount is the number of phases.
	PhaseCount
)

var phaseNames = [PhaseCount]string{
	"receive", "apply", "replicate", "timers", "enqueue", "schedule", "preempt", "orders", "send",
}

// String returns the name of the phase in logs and metrics.
func (p Phase) String() string { return phaseNames[p] }

// PhaseTimes holds how long each phase took.
type PhaseTimes [PhaseCount]time.Duration

// PhaseMeter measures how long the phases of a step take. A machine reports which phase it
// enters and reads no times from the meter, so that it stays deterministic. A nil meter
// measures nothing. Its methods are called by the goroutine that steps the machines.
type PhaseMeter struct {
	now     func() time.Duration
	current Phase
	// since is the time up to which times are complete.
	since time.Duration
	times PhaseTimes
}

// NewPhaseMeter returns a meter with a monotonic clock.
func NewPhaseMeter(now func() time.Duration) *PhaseMeter { return &PhaseMeter{now: now} }

// Enter begins a phase and returns the one that it interrupts, which the caller must enter
// again afterwards.
func (m *PhaseMeter) Enter(phase Phase) (interrupted Phase) {
	if m == nil {
		return phase
	}
	interrupted = m.current
	m.advance(m.now())
	m.current = phase
	return interrupted
}

// BeginStep begins a step, in PhaseReceive.
func (m *PhaseMeter) BeginStep() {
	m.times, m.current, m.since = PhaseTimes{}, PhaseReceive, m.now()
}

// EndStep returns how long each phase of the step took.
func (m *PhaseMeter) EndStep() PhaseTimes {
	m.advance(m.now())
	return m.times
}

// advance adds the time since the last call to the current phase.
func (m *PhaseMeter) advance(now time.Duration) {
	m.times[m.current] += now - m.since
	m.since = now
}

// Total returns the sum over all phases.
func (t PhaseTimes) Total() (total time.Duration) {
	for _, spent := range t {
		total += spent
	}
	return total
}

// Add returns the sum of two PhaseTimes for each phase.
func (t PhaseTimes) Add(other PhaseTimes) PhaseTimes {
	for phase, spent := range other {
		t[phase] += spent
	}
	return t
}

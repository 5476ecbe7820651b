package scheduler

import (
	"time"

	"sorrelloom/core/feed"
	"sorrelloom/core/machine"
	"sorrelloom/core/state"
	"sorrelloom/core/wire"
)

// StateAccess gives a scheduler access to the replicated state and submits commands to it. It
// is either a read replica or, in the primary's process, the primary's own state. The latter
// applies a command before Submit returns; the result, which means that the command is
// committed, arrives later.
type StateAccess interface {
	// State returns the state. It changes only while the scheduler steps.
	State() *state.Store
	// IsLocal reports whether the state is the primary's own.
	IsLocal() bool
	// Fresh reports whether the state is recent enough to propose grants on it.
	Fresh(now time.Duration) bool
	// LeadershipConfirmed reports whether the primary's leadership was confirmed recently.
	LeadershipConfirmed(now time.Duration) bool
	// Time returns the time on the state machine's clock.
	Time(now time.Duration) time.Duration
	// ReplicasAfter returns the replicas of the current view if its epoch is greater than the
	// given one, and an empty list otherwise. The list is always empty where node agents don't
	// report to replicas.
	ReplicasAfter(epoch uint64) wire.ReplicaList
	// Loaded reports whether a complete state has been loaded.
	Loaded() bool
	// Submit submits a command, retries it until the timeout, and returns the ID that its
	// result will have.
	Submit(now time.Duration, command state.Command, timeout time.Duration, out *machine.Output) uint64
	// Receive handles a message other than a heartbeat; handled is false if its kind is unknown.
	Receive(now time.Duration, message machine.Message, out *machine.Output) (results []feed.CommandResult, handled bool)
	// HandleTimers performs the work that is due and returns the results that have arrived.
	HandleTimers(now time.Duration, out *machine.Output) []feed.CommandResult
	// Stop is called once, when the scheduler begins to stop.
	Stop(out *machine.Output)
}

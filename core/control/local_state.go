package control

import (
	"time"

	"sorrelloom/core/feed"
	"sorrelloom/core/machine"
	"sorrelloom/core/replica"
	"sorrelloom/core/scheduler"
	"sorrelloom/core/state"
	"sorrelloom/core/wire"
)

// localState gives the scheduler access to the replica's own state.
type localState struct {
	replica       *replica.Replica
	lastCommandID uint64
	// results is the buffer that HandleTimers reuses. The scheduler doesn't retain it.
	results []feed.CommandResult
}

var _ scheduler.StateAccess = (*localState)(nil)

func (l *localState) State() *state.Store { return l.replica.Store() }

func (l *localState) IsLocal() bool { return true }

func (l *localState) ReplicasAfter(epoch uint64) wire.ReplicaList {
	return l.replica.ReplicasAfter(epoch)
}

func (l *localState) Loaded() bool { return l.replica.Serving() }

func (l *localState) LeadershipConfirmed(now time.Duration) bool {
	return l.replica.LeadershipConfirmed(now)
}

// Fresh is also false while too many commands are waiting to be committed, so that the
// scheduler proposes no grants until they are.
func (l *localState) Fresh(now time.Duration) bool {
	return l.replica.LeadershipConfirmed(now) && !l.replica.Backlogged()
}

func (l *localState) Time(now time.Duration) time.Duration { return l.replica.StateTime(now) }

// Submit applies a command at once. It ignores the timeout, since the replica answers every
// command of its term.
func (l *localState) Submit(now time.Duration, command state.Command, _ time.Duration, out *machine.Output) uint64 {
	l.lastCommandID++
	l.replica.Submit(now, l.lastCommandID, command, out)
	return l.lastCommandID
}

// Receive handles no messages: all except heartbeats are handled by the replica.
func (l *localState) Receive(time.Duration, machine.Message, *machine.Output) ([]feed.CommandResult, bool) {
	return nil, false
}

// HandleTimers returns the results of the commands committed since the last call. They are
// valid until the next call.
func (l *localState) HandleTimers(time.Duration, *machine.Output) []feed.CommandResult {
	clear(l.results)
	l.results = l.results[:0]
	for _, reply := range l.replica.TakeLocalReplies() {
		l.results = append(l.results, feed.CommandResult{
			ID: reply.ID, AppliedIndex: reply.AppliedIndex, Result: reply.Result,
		})
	}
	return l.results
}

func (l *localState) Stop(*machine.Output) {}

package scheduler

import (
	"testing"
	"time"

	"sorrelloom/core/feed"
	"sorrelloom/core/machine"
	"sorrelloom/core/state"
	"sorrelloom/core/statetest"
	"sorrelloom/core/wire"
)

// storeAccess gives a scheduler access to the store of a fixture and records its commands
// without applying them.
type storeAccess struct {
	fixture  *statetest.Fixture
	commands []state.Command
}

func (a *storeAccess) State() *state.Store                  { return a.fixture.Store }
func (*storeAccess) IsLocal() bool                          { return true }
func (*storeAccess) Fresh(time.Duration) bool               { return true }
func (*storeAccess) LeadershipConfirmed(time.Duration) bool { return true }
func (a *storeAccess) Time(time.Duration) time.Duration     { return a.fixture.Now }
func (*storeAccess) ReplicasAfter(uint64) wire.ReplicaList  { return wire.ReplicaList{} }
func (*storeAccess) Loaded() bool                           { return true }
func (*storeAccess) Stop(*machine.Output)                   {}
func (*storeAccess) Receive(time.Duration, machine.Message, *machine.Output) ([]feed.CommandResult, bool) {
	return nil, false
}

func (a *storeAccess) Submit(_ time.Duration, command state.Command, _ time.Duration, _ *machine.Output) uint64 {
	a.commands = append(a.commands, command)
	return uint64(len(a.commands))
}

func (*storeAccess) HandleTimers(time.Duration, *machine.Output) []feed.CommandResult { return nil }

// TestStalledTaskIsRequeued hides a new job from the scheduler, like a lost change. After 3 s
// the scheduler finds the tasks in the state, logs them, and queues them.
func TestStalledTaskIsRequeued(t *testing.T) {
	f := statetest.New(t)
	f.AddWorker("w1", 4)
	f.AddWorker("w2", 4)
	access := &storeAccess{fixture: f}
	s := NewWithState(Config{Address: "s1", Zone: "a"}, access)
	s.Step(time.Second, machine.Input{})
	f.AcceptJob("j", "quick", "a", "b")
	f.Store.TakeChanges()
	queued := func() (tasks int) {
		for _, length := range s.QueueLengths() {
			tasks += length
		}
		return tasks
	}
	var events []string
	for _, row := range []struct {
		after     time.Duration
		want, now int
	}{{2500 * ms, 0, 0}, {1200 * ms, 2, 2}} {
		f.Now += row.after
		f.Apply(state.Command{Kind: state.KindTick})
		f.Store.TakeChanges()
		out := s.Step(f.Now, machine.Input{})
		for _, event := range out.LogEvents {
			if event.Name != "tasks_waiting" {
				events = append(events, event.Name)
			}
		}
		if now, _ := s.StalledTasks(); queued() != row.want || now != row.now {
			t.Errorf("after %s, %d tasks are queued and %d stalled, want %d and %d",
				row.after, queued(), now, row.want, row.now)
		}
	}
	if len(events) != 2 || events[0] != "task_stalled" {
		t.Errorf("logged events: %v, want 2 of task_stalled", events)
	}
}

// TestStalledTaskCheckRunsRightAfterRebuild has a check for stalled tasks fall due during a
// rebuild of the queues: it runs when the rebuild is complete, not a full interval later.
func TestStalledTaskCheckRunsRightAfterRebuild(t *testing.T) {
	f := statetest.New(t)
	f.AddWorker("w1", 4)
	f.AddWorker("w2", 4)
	access := &storeAccess{fixture: f}
	s := NewWithState(Config{Address: "s1", Zone: "a"}, access)
	s.Step(time.Second, machine.Input{})
	f.AcceptJob("j", "quick", "a", "b")
	f.Now += stalledCheckInterval + 3*time.Second
	f.Apply(state.Command{Kind: state.KindTick})
	f.Store.TakeChanges()
	s.dispatcher.ApplyChanges(f.Store, []state.Change{{All: true}})
	if s.Step(f.Now, machine.Input{}); !s.dispatcher.Rebuilding() {
		t.Fatal("the queues are not being rebuilt")
	}
	for range 5 {
		f.Now += rebuildPause
		s.Step(f.Now, machine.Input{})
	}
	if now, _ := s.StalledTasks(); now != 2 {
		t.Errorf("%d stalled tasks were found %s after the check was due, want 2", now, 5*rebuildPause)
	}
}

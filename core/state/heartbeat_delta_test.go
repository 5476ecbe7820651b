package state_test

import (
	"fmt"
	"math/rand/v2"
	"reflect"
	"slices"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"sorrelloom/core/state"
	"sorrelloom/core/statetest"
)

func resources(slots int) state.Resources { return state.Resources{Slots: slots, Cores: 64} }

func heartbeatOf(number uint64, running ...state.Attempt) state.Heartbeat {
	return state.Heartbeat{
		Worker: "w", Incarnation: 1, Number: number, Zone: "a", Service: "tickets", Labels: []string{"ssd"},
		Free: resources(8), Total: resources(8), Running: running,
	}
}

// TestReduceHeartbeat reduces heartbeats that differ from the last one in a single property, and
// checks which of them count as a change.
func TestReduceHeartbeat(t *testing.T) {
	first, second := state.Attempt{Job: "j", Task: "a", Number: 1}, state.Attempt{Job: "j", Task: "b", Number: 1}
	table := []struct {
		name   string
		change func(*state.Heartbeat)
		same   bool
	}{
		{"nothing", func(*state.Heartbeat) {}, true},
		{"zero time until it leaves", func(hb *state.Heartbeat) { hb.LeavesIn = 0 }, true},
		{"an attempt has ended", func(hb *state.Heartbeat) {
			hb.Ended = []state.AttemptResult{{Attempt: first, Succeeded: true}}
		}, false},
		{"a leased attempt is not listed", func(hb *state.Heartbeat) { hb.Running = nil }, false},
		{"a granted attempt is listed", func(hb *state.Heartbeat) { hb.Running = append(hb.Running, second) }, false},
		{"a granted attempt is not listed by the second heartbeat since", func(hb *state.Heartbeat) { hb.Number++ }, false},
		{"an unknown attempt", func(hb *state.Heartbeat) {
			hb.Running = append(hb.Running, state.Attempt{Job: "other", Task: "a", Number: 1})
		}, false},
		{"another attempt", func(hb *state.Heartbeat) { hb.Running[0].Number = 9 }, false},
		{"free resources", func(hb *state.Heartbeat) { hb.Free.Slots-- }, false},
		{"total resources", func(hb *state.Heartbeat) { hb.Total.Slots-- }, false},
		{"total resources missing", func(hb *state.Heartbeat) { hb.Total = state.Resources{} }, false},
		{"it leaves", func(hb *state.Heartbeat) { hb.Leaving = true }, false},
		{"progress", func(hb *state.Heartbeat) { hb.Progress = []state.Progress{{Attempt: first, Checkpoint: "x"}} }, false},
		{"zone", func(hb *state.Heartbeat) { hb.Zone = "b" }, false},
		{"rack", func(hb *state.Heartbeat) { hb.Rack = "r" }, false},
		{"address", func(hb *state.Heartbeat) { hb.Address = "x" }, false},
		{"service", func(hb *state.Heartbeat) { hb.Service = "podcasts" }, false},
		{"labels", func(hb *state.Heartbeat) { hb.Labels = nil }, false},
		{"incarnation", func(hb *state.Heartbeat) { hb.Incarnation++ }, false},
		{"an earlier number", func(hb *state.Heartbeat) { hb.Number = 1 }, false},
		{"another worker", func(hb *state.Heartbeat) { hb.Worker = "v" }, false},
	}
	for _, row := range table {
		t.Run(row.name, func(t *testing.T) {
			f := statetest.New(t)
			f.MustApply(heartbeat(heartbeatOf(1)))
			f.AcceptJob("j", "quick", "a", "b")
			f.Grant("j/a@w")
			f.MustApply(heartbeat(heartbeatOf(2, first)))
			f.Grant("j/b@w")
			hb := heartbeatOf(3, first)
			row.change(&hb)
			reduced, changes := f.Store.ReduceHeartbeat(hb)
			if changes == row.same {
				t.Errorf("changes: %v", changes)
			}
			if reduced.Delta && slices.Contains(reduced.Running, first) {
				t.Error("a reduced heartbeat lists an attempt that the state has as started")
			}
		})
	}
}

// TestReduceHeartbeatUnseenStart reduces heartbeats that do not list a granted attempt. The attempt
// counts as not running only once the worker has received two replies since the grant. The fields
// LastReply and AwaitingGang must not get into a command.
func TestReduceHeartbeatUnseenStart(t *testing.T) {
	for _, row := range []struct {
		name              string
		number, lastReply uint64
		notRunning        bool
	}{
		{"last reply unknown, first heartbeat since the grant", 3, 0, false},
		{"last reply unknown, second heartbeat since the grant", 4, 0, true},
		{"no reply received since the grant", 9, 2, false},
		{"one reply received since the grant", 9, 3, false},
		{"two replies received since the grant", 9, 4, true},
	} {
		t.Run(row.name, func(t *testing.T) {
			f := statetest.New(t)
			f.MustApply(heartbeat(heartbeatOf(2)))
			f.AcceptJob("j", "quick", "a")
			f.Grant("j/a@w")
			granted := state.Attempt{Job: "j", Task: "a", Number: 1}
			report := heartbeatOf(row.number)
			report.LastReply, report.AwaitingGang = row.lastReply, []state.Attempt{granted}
			reduced, changes := f.Store.ReduceHeartbeat(report)
			if changes != row.notRunning || slices.Contains(reduced.NotRunning, granted) != row.notRunning {
				t.Errorf("changes: %v, not running: %v", changes, reduced.NotRunning)
			}
			if reduced.LastReply != 0 || reduced.AwaitingGang != nil {
				t.Errorf("the reduced heartbeat has LastReply %d and AwaitingGang %v",
					reduced.LastReply, reduced.AwaitingGang)
			}
			report.Labels = []string{"other"}
			if whole, _ := f.Store.ReduceHeartbeat(report); whole.LastReply != 0 || whole.AwaitingGang != nil {
				t.Errorf("the full heartbeat has LastReply %d and AwaitingGang %v", whole.LastReply, whole.AwaitingGang)
			}
		})
	}
}

// TestReduceHeartbeatFreeResources checks which changes of the free resources count as a change,
// for a worker with 8 slots that runs one task.
func TestReduceHeartbeatFreeResources(t *testing.T) {
	for _, row := range []struct {
		name                string
		freeBefore, freeNow int
		secondLease         bool
		changes             bool
	}{
		{"unchanged", 7, 7, false, false},
		{"less", 7, 6, false, true},
		{"less, but more than the capacity less its leases", 9, 8, false, true},
		{"more than the capacity less its leases", 7, 8, false, false},
		{"more, within the capacity less its leases", 5, 6, false, true},
		{"more, with another lease that is not started", 6, 7, true, true},
	} {
		t.Run(row.name, func(t *testing.T) {
			f := statetest.New(t)
			f.MustApply(heartbeat(heartbeatOf(1)))
			f.AcceptJob("j", "quick", "a", "b")
			f.Grant("j/a@w")
			running := state.Attempt{Job: "j", Task: "a", Number: 1}
			hb := heartbeatOf(2, running)
			hb.Free = resources(row.freeBefore)
			f.MustApply(heartbeat(hb))
			if row.secondLease {
				f.Grant("j/b@w")
			}
			hb.Number, hb.Free = 3, resources(row.freeNow)
			if _, changes := f.Store.ReduceHeartbeat(hb); changes != row.changes {
				t.Errorf("changes: %v", changes)
			}
		})
	}
}

// TestReduceHeartbeatUnleasedAttemptEnded checks that it counts as a change when a worker no
// longer lists an attempt that was not leased to it.
func TestReduceHeartbeatUnleasedAttemptEnded(t *testing.T) {
	f := statetest.New(t)
	f.MustApply(heartbeat(heartbeatOf(1)))
	f.AcceptJob("g", "batch", "x[g]")
	unleased := state.Attempt{Job: "g", Task: "x", Number: 1}
	f.MustApply(heartbeat(heartbeatOf(2, unleased)))
	if _, changes := f.Store.ReduceHeartbeat(heartbeatOf(3)); !changes {
		t.Error("the end of an unleased attempt does not count as a change")
	}
}

// deltaRun applies the same random commands to two stores. One gets full heartbeats, the other
// reduced ones, and renewals in place of heartbeats that change nothing.
type deltaRun struct {
	t           *testing.T
	seed        uint64
	random      *rand.Rand
	full, delta *statetest.Fixture
	// attempts are attempts that may or may not have been granted; numbers are the numbers of
	// the workers' last heartbeats.
	attempts []state.Attempt
	numbers  map[string]uint64
	// unchanged counts the heartbeats that changed nothing, reduced those that were reduced.
	unchanged, reduced int
}

// both applies a command to both stores and compares the codes of the results.
func (r *deltaRun) both(cmd state.Command) {
	r.t.Helper()
	if full, delta := r.full.Apply(cmd), r.delta.Apply(cmd); full.Code != delta.Code {
		r.t.Fatalf("seed %d: %s: code %s from the full store, %s from the delta store",
			r.seed, cmd.Kind, full.Code, delta.Code)
	}
}

// step applies a random job, grant, tick, cancellation or heartbeat.
func (r *deltaRun) step(number int) {
	worker := fmt.Sprintf("w%d", r.random.IntN(2))
	switch r.random.IntN(9) {
	case 0:
		r.both(acceptJob(statetest.JobSpec(fmt.Sprintf("j%d", number), "quick", "a", "b<a", "x[g]", "y[g]")))
	case 1, 2:
		job, task := fmt.Sprintf("j%d", r.random.IntN(number+1)), []string{"a", "b"}[r.random.IntN(2)]
		r.both(grantLeases(state.Grant{Leadership: statetest.Leadership, Epoch: 1, Assignments: []state.Assignment{
			{Job: job, Task: task, Worker: worker, HeartbeatNumber: r.numbers[worker]},
		}}))
		r.attempts = append(r.attempts, state.Attempt{Job: job, Task: task, Number: 1 + r.random.IntN(2)})
	case 3:
		r.full.Now += time.Duration(r.random.IntN(3)) * 700 * time.Millisecond
		r.delta.Now = r.full.Now
		r.both(state.Command{Kind: state.KindTick})
	case 4:
		if r.random.IntN(4) == 0 {
			r.both(cancelJob(fmt.Sprintf("j%d", r.random.IntN(number+1))))
		}
	default:
		r.heartbeat(number, r.nextHeartbeat(worker))
	}
}

// nextHeartbeat returns a heartbeat that lists most of the worker's leases, and sometimes
// attempts that are not leased to it.
func (r *deltaRun) nextHeartbeat(worker string) state.Heartbeat {
	r.numbers[worker]++
	hb := state.Heartbeat{
		Worker: worker, Incarnation: 1, Number: r.numbers[worker], Zone: "a", Service: "tickets",
		Free: resources(8), Total: resources(8),
	}
	for _, leased := range r.full.Store.LeasesOn(worker) {
		if r.random.IntN(8) > 0 {
			hb.Running = append(hb.Running, leased.Attempt)
		}
	}
	if len(r.attempts) > 0 && r.random.IntN(6) == 0 {
		hb.Running = append(hb.Running, r.attempts[r.random.IntN(len(r.attempts))])
	}
	if len(r.attempts) > 0 && r.random.IntN(4) == 0 {
		ended := r.attempts[r.random.IntN(len(r.attempts))]
		hb.Ended = []state.AttemptResult{{Attempt: ended, Succeeded: r.random.IntN(2) == 0}}
	}
	return hb
}

// heartbeat applies a heartbeat in full to one store, and reduced or as a renewal to the other.
func (r *deltaRun) heartbeat(number int, hb state.Heartbeat) {
	r.t.Helper()
	reduced, changes := r.delta.Store.ReduceHeartbeat(hb)
	cmd := heartbeat(reduced)
	if !changes {
		r.unchanged++
		cmd = renewWorkers([]state.Renewal{{Worker: hb.Worker, Incarnation: 1, Number: hb.Number}})
	} else if reduced.Delta {
		r.reduced++
	}
	want, got := r.full.Apply(heartbeat(hb)), r.delta.Apply(cmd)
	if diff := cmp.Diff(want.Heartbeat.Acks, got.Heartbeat.Acks); changes && diff != "" {
		r.t.Fatalf("seed %d step %d: acks %s", r.seed, number, diff)
	}
}

// TestDeltaEquivalentToFullHeartbeat checks after each step that both stores have the same
// records.
func TestDeltaEquivalentToFullHeartbeat(t *testing.T) {
	unchanged, reduced := 0, 0
	for seed := range uint64(30) {
		r := deltaRun{
			t: t, seed: seed, random: rand.New(rand.NewPCG(seed, 1)),
			full: statetest.New(t), delta: statetest.New(t), numbers: map[string]uint64{},
		}
		for step := range 80 {
			r.step(step)
			if step%10 == 0 {
				checkReload(t, r.full.Store)
			}
			if want, got := r.full.Store.Records(), r.delta.Store.Records(); !reflect.DeepEqual(want, got) {
				t.Fatalf("seed %d step %d: %s", seed, step, cmp.Diff(want, got))
			}
		}
		checkReload(t, r.delta.Store)
		unchanged, reduced = unchanged+r.unchanged, reduced+r.reduced
	}
	if unchanged < 200 || reduced < 200 {
		t.Errorf("only %d heartbeats without changes and %d reduced ones were applied", unchanged, reduced)
	}
}

package state_test

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"sorrelloom/core/state"
	"sorrelloom/core/statetest"
)

// TestDueLeasesAreThoseOfAScan compares what a tick finds with a look at each task, at
// random times, with workers that end what they run at the expiry of their leases or don't.
func TestDueLeasesAreThoseOfAScan(t *testing.T) {
	found := 0
	for seed := range uint64(20) {
		r := deltaRun{
			t: t, seed: seed, random: rand.New(rand.NewPCG(seed, 2)),
			full: statetest.New(t), delta: statetest.New(t), numbers: map[string]uint64{},
		}
		if seed%2 == 0 {
			body := strings.Replace(statetest.Config, `"limits":{`, `"limits":{"endsAtCutoff":true,`, 1)
			r.both(state.Command{Kind: state.KindChangeConfig, ConfigChange: state.ConfigChange{
				Body: []byte(body), BaseVersion: r.full.Store.Config().Version,
			}})
		}
		for step := range 80 {
			r.step(step)
			now := r.full.Now + time.Duration(r.random.IntN(20))*time.Second
			want, anyLapsed := r.full.Store.ScanDueLeases(now)
			if diff := cmp.Diff(want, r.full.Store.DueLeases(now)); diff != "" {
				t.Fatalf("seed %d step %d: %s", seed, step, diff)
			}
			if r.full.Store.AnyLeaseLapsed(now) != anyLapsed {
				t.Fatalf("seed %d step %d: a lease has lapsed: %v", seed, step, anyLapsed)
			}
			found += len(want)
		}
	}
	if found < 100 {
		t.Errorf("only %d leases were due", found)
	}
}

// workerWithRuns is a store with a worker that runs a number of tasks, and its next heartbeat.
func workerWithRuns(t *testing.T, runs int) (*statetest.Fixture, state.Heartbeat) {
	f := statetest.New(t)
	b := heartbeatOf(1)
	b.Free, b.Total = state.Resources{Slots: 1 << 20, Cores: 1 << 20}, state.Resources{Slots: 1 << 20, Cores: 1 << 20}
	f.MustApply(heartbeat(b))
	for i := range runs {
		job := fmt.Sprintf("j%d", i)
		f.AcceptJob(job, "batch", "t")
		f.Grant(job + "/t@w")
		b.Running = append(b.Running, state.Attempt{Job: job, Task: "t", Number: 1})
	}
	b.Number++
	f.MustApply(heartbeat(b))
	b.Number++
	return f, b
}

// TestReduceHeartbeatWithManyRuns has a worker leave out one run and list an unknown one, with
// few and with many runs.
func TestReduceHeartbeatWithManyRuns(t *testing.T) {
	for _, runs := range []int{3, 100} {
		f, b := workerWithRuns(t, runs)
		unknown, missing := state.Attempt{Job: "j0", Task: "t", Number: 2}, b.Running[runs-1]
		b.Running = append(b.Running[:runs-1:runs-1], unknown)
		reduced, changes := f.Store.ReduceHeartbeat(b)
		if !changes || !cmp.Equal(reduced.Running, []state.Attempt{unknown}) ||
			!cmp.Equal(reduced.NotRunning, []state.Attempt{missing}) {
			t.Errorf("of %d runs: %v, %v", runs, reduced.Running, reduced.NotRunning)
		}
	}
}

// TestUnchangedHeartbeatAllocatesLittle bounds what a heartbeat costs that changes nothing,
// whatever its worker runs.
func TestUnchangedHeartbeatAllocatesLittle(t *testing.T) {
	const maxAllocations = 1
	f, b := workerWithRuns(t, 24)
	if _, changes := f.Store.ReduceHeartbeat(b); changes {
		t.Fatal("the heartbeat changes something")
	}
	allocations := testing.AllocsPerRun(100, func() { f.Store.ReduceHeartbeat(b) })
	if allocations > maxAllocations {
		t.Errorf("it allocates %v objects", allocations)
	}
}

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

// TestDueLeasesMatchFullScan compares the leases that a tick finds due with those found by
// a scan of all tasks, at random times. In half of the runs, attempts are killed at the expiry
// of the worker's lease.
func TestDueLeasesMatchFullScan(t *testing.T) {
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
				t.Fatalf("seed %d step %d: AnyLeaseLapsed differs from the scan, which found %v", seed, step, anyLapsed)
			}
			found += len(want)
		}
	}
	if found < 100 {
		t.Errorf("only %d leases were due", found)
	}
}

// workerWithRuns returns a store with a worker that runs a number of tasks, and the worker's
// next heartbeat.
func workerWithRuns(t *testing.T, runs int) (*statetest.Fixture, state.Heartbeat) {
	f := statetest.New(t)
	hb := heartbeatOf(1)
	hb.Free, hb.Total = state.Resources{Slots: 1 << 20, Cores: 1 << 20}, state.Resources{Slots: 1 << 20, Cores: 1 << 20}
	f.MustApply(heartbeat(hb))
	for i := range runs {
		job := fmt.Sprintf("j%d", i)
		f.AcceptJob(job, "batch", "t")
		f.Grant(job + "/t@w")
		hb.Running = append(hb.Running, state.Attempt{Job: job, Task: "t", Number: 1})
	}
	hb.Number++
	f.MustApply(heartbeat(hb))
	hb.Number++
	return f, hb
}

// TestReduceHeartbeatWithManyRuns reduces a heartbeat that omits one leased attempt and lists
// an unknown one, for few and for many running attempts.
func TestReduceHeartbeatWithManyRuns(t *testing.T) {
	for _, runs := range []int{3, 100} {
		f, hb := workerWithRuns(t, runs)
		unknown, missing := state.Attempt{Job: "j0", Task: "t", Number: 2}, hb.Running[runs-1]
		hb.Running = append(hb.Running[:runs-1:runs-1], unknown)
		reduced, changes := f.Store.ReduceHeartbeat(hb)
		if !changes || !cmp.Equal(reduced.Running, []state.Attempt{unknown}) ||
			!cmp.Equal(reduced.NotRunning, []state.Attempt{missing}) {
			t.Errorf("%d running attempts: reduced to running %v, not running %v", runs, reduced.Running, reduced.NotRunning)
		}
	}
}

// TestUnchangedHeartbeatAllocatesLittle bounds the allocations for a heartbeat that changes
// nothing, whatever the number of running attempts.
func TestUnchangedHeartbeatAllocatesLittle(t *testing.T) {
	const maxAllocations = 1
	f, hb := workerWithRuns(t, 24)
	if _, changes := f.Store.ReduceHeartbeat(hb); changes {
		t.Fatal("the heartbeat changes something")
	}
	allocations := testing.AllocsPerRun(100, func() { f.Store.ReduceHeartbeat(hb) })
	if allocations > maxAllocations {
		t.Errorf("reducing the heartbeat takes %v allocations", allocations)
	}
}

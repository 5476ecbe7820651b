package state_test

import (
	"fmt"
	"math/rand/v2"
	"reflect"
	"testing"
	"time"

	"sorrelloom/core/state"
	"sorrelloom/core/statetest"
)

// TestLeaseListMatchesFullScan compares the indexed leases of each worker and their sums with a
// scan of all tasks of all jobs, after random commands.
func TestLeaseListMatchesFullScan(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 0))
	s := statetest.New(t)
	for i := range 3 {
		s.AddWorker(fmt.Sprintf("w%d", i), 8)
	}
	for step := range 400 {
		job, worker := fmt.Sprintf("j%d", step), fmt.Sprintf("w%d", random.IntN(3))
		s.AcceptJob(job, []string{"quick", "batch", "small"}[random.IntN(3)], "a", "b:2")
		s.Grant(job + "/a@" + worker)
		s.Grant(job + "/b@" + fmt.Sprintf("w%d", random.IntN(3)))
		s.Apply(state.Command{Kind: state.KindPreempt, Grant: state.Grant{
			Leadership: statetest.Leadership, Epoch: 1,
			Assignments: []state.Assignment{{Job: job, Task: "a", Worker: worker}},
		}})
		s.Heartbeat(worker, func(hb *state.Heartbeat) { fillRandomReport(s, random, worker, hb) })
		s.Now += time.Duration(random.IntN(20)) * time.Millisecond
		for _, entry := range s.Store.WorkerEntries() {
			checkLeases(t, s.Store, entry)
		}
	}
}

// fillRandomReport fills a heartbeat: attempts that are being stopped and a random quarter of
// the others have ended, the rest are running.
func fillRandomReport(s *statetest.Fixture, random *rand.Rand, worker string, hb *state.Heartbeat) {
	hb.Running = nil
	for _, leased := range s.Store.LeasesOn(worker) {
		if leased.Lease.StopReason != "" || random.IntN(4) == 0 {
			hb.Ended = append(hb.Ended, state.AttemptResult{Attempt: leased.Attempt, Succeeded: random.IntN(2) == 0})
		} else {
			hb.Running = append(hb.Running, leased.Attempt)
		}
	}
}

// checkLeases compares the indexed leases of one worker with those found in all jobs.
func checkLeases(t *testing.T, store *state.Store, worker *state.WorkerEntry) {
	t.Helper()
	var want, got []string
	sums := map[string]state.PreemptibleLeases{}
	for _, job := range store.ActiveJobs() {
		class := state.ClassKey{Service: job.Spec.Service, Class: job.Spec.Class}
		for i, task := range job.Tasks {
			if !task.Lease.Held() || task.Lease.Worker != worker.ID() {
				continue
			}
			want = append(want, fmt.Sprintf("%s/%d", job.Spec.ID, i))
			if task.Lease.StopReason != "" {
				continue
			}
			sum, resources := sums[class.Class], job.Spec.Tasks[i].Resources
			sum.Class, sum.All = class, sum.All.Add(resources)
			if task.Lease.Borrowed {
				sum.Borrowed = sum.Borrowed.Add(resources)
			}
			sum.LastGrantAt = max(sum.LastGrantAt, task.Lease.GrantedAt)
			sums[class.Class] = sum
		}
	}
	for job, i := range store.LeasedTasks(worker) {
		got = append(got, fmt.Sprintf("%s/%d", job.Spec.ID, i))
	}
	if !reflect.DeepEqual(got, want) || worker.LeaseCount() != len(want) {
		t.Errorf("%s: got leases %v, count %d, want %v", worker.ID(), got, worker.LeaseCount(), want)
	}
	for _, sum := range worker.PreemptibleLeases() {
		want := sums[sum.Class.Class]
		if sum.All != want.All || sum.Borrowed != want.Borrowed || sum.LastGrantAt < want.LastGrantAt {
			t.Errorf("%s: got sums %+v, want %+v", worker.ID(), sum, want)
		}
		delete(sums, sum.Class.Class)
	}
	if len(sums) > 0 {
		t.Errorf("%s: no sums for %v", worker.ID(), sums)
	}
}

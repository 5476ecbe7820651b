package dispatch_test

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"sorrelloom/core/dispatch"
	"sorrelloom/core/state"
	"sorrelloom/core/statetest"
)

const (
	taskCount = 20_000
	// batchLimit is the maximum number of tasks that one Update processes, besides those that
	// changed.
	batchLimit = 8192
)

// manyTasksFixture returns a fixture with taskCount tasks waiting in batch jobs, and one in a
// quick job that was submitted last.
func manyTasksFixture(t *testing.T) *statetest.Fixture {
	f := statetest.New(t)
	for i := range 4 {
		f.AddWorker(fmt.Sprintf("w%d", i), 8)
	}
	for i := range taskCount / 1000 {
		steps := []state.StepSpec{{Count: 1000, Resources: state.Resources{Slots: 1}}}
		f.MustApply(state.Command{Kind: state.KindAcceptJob, Job: state.JobSpec{
			ID: fmt.Sprintf("j%d", i), Service: "tickets", Class: "batch", Steps: steps,
		}})
	}
	f.AcceptJob("quick", "quick", "a")
	return f
}

func totalQueued(d *dispatch.Dispatcher) int {
	total := 0
	for _, length := range d.QueueLengths() {
		total += length
	}
	return total
}

// quickTaskIsQueued reports whether the task of the quick job can be pulled.
func quickTaskIsQueued(d *dispatch.Dispatcher, store *state.Store) bool {
	inFlight := dispatch.InFlight{Tasks: map[dispatch.TaskRef]bool{}}
	for worker, length := range d.QueueLengths() {
		proposal, ok := d.Pull(store, worker, inFlight, dispatch.PullRound{QuickOnly: true})
		if ok && length > 0 && proposal.Tasks[0].Job == "quick" {
			inFlight.Tasks[proposal.Tasks[0]] = true
		}
	}
	return len(inFlight.Tasks) == 1
}

// TestRebuildRunsInBatches checks that the work of each step is bounded, however many tasks
// wait.
func TestRebuildRunsInBatches(t *testing.T) {
	f := manyTasksFixture(t)
	d := dispatch.New()
	changes := []state.Change{{All: true}}
	f.Store.TakeChanges()
	steps := 0
	for first := true; first || d.Rebuilding(); first = false {
		before := d.Counters.Runnable
		d.Update(f.Store, changes)
		if took := d.Counters.Runnable - before; took > batchLimit+uint64(len(changes)) {
			t.Fatalf("step %d queued %d tasks", steps, took)
		}
		if steps++; steps == 1 {
			if !quickTaskIsQueued(d, f.Store) {
				t.Error("the quick task is not queued in the first step")
			}
		}
		if changes = nil; steps > 1 && steps%10 == 0 {
			f.AcceptJob(fmt.Sprintf("new%d", steps), "batch", "a")
			changes = f.Store.TakeChanges()
		}
	}
	want, total := taskCount+1+(steps-1)/10, totalQueued(d)
	if total != want || steps < taskCount/batchLimit {
		t.Errorf("after %d steps %d of %d tasks are queued", steps, total, want)
	}
}

// TestQueueOfLostWorkerIsRedistributedInBatches checks that the work of each step is bounded,
// however long the queue is.
func TestQueueOfLostWorkerIsRedistributedInBatches(t *testing.T) {
	f := manyTasksFixture(t)
	d := dispatch.New()
	d.Update(f.Store, []state.Change{{All: true}})
	for d.Rebuilding() {
		d.Update(f.Store, nil)
	}
	queued := d.QueueLengths()["w0"]
	for range 4 {
		f.Advance(10 * time.Second)
		for _, id := range []string{"w1", "w2", "w3"} {
			f.Heartbeat(id, nil)
		}
	}
	f.Store.TakeChanges()
	d.RequeueFromLostWorkers(f.Store)
	steps := 0
	for before := queued; d.Rebuilding() || steps == 0; steps++ {
		d.Update(f.Store, nil)
		left := d.QueueLengths()["w0"]
		if before-left > 2*batchLimit {
			t.Fatalf("%d tasks were moved in one step", before-left)
		}
		before = left
	}
	if left := d.QueueLengths()["w0"]; left > 0 || queued < taskCount/8 || steps < queued/batchLimit-1 {
		t.Errorf("of %d tasks %d are left after %d steps", queued, left, steps)
	}
	if total := totalQueued(d); total != taskCount+1 {
		t.Errorf("%d tasks are queued", total)
	}
}

// TestUnplacedTasksAreTriedOncePerWorkerChange queues tasks that no worker can run, and
// measures the cost of a heartbeat of a worker that has not changed.
func TestUnplacedTasksAreTriedOncePerWorkerChange(t *testing.T) {
	f := statetest.New(t)
	f.AddWorker("w0", 8)
	steps := []state.StepSpec{{Count: 1000, Resources: state.Resources{Slots: 1}, Labels: []string{"ssd"}}}
	for i := range taskCount / 1000 {
		f.MustApply(state.Command{Kind: state.KindAcceptJob, Job: state.JobSpec{
			ID: fmt.Sprintf("j%d", i), Service: "tickets", Class: "batch", Steps: steps,
		}})
	}
	d := dispatch.New()
	for d.Update(f.Store, f.Store.TakeChanges()); d.Rebuilding(); {
		d.Update(f.Store, nil)
	}
	if n := len(d.UnplacedTasks(f.Store)); n != taskCount {
		t.Fatalf("%d tasks are unplaced", n)
	}
	// heartbeat returns the bytes that the dispatcher allocates for a heartbeat; it excludes
	// the fixture, which copies the state.
	heartbeat := func() uint64 {
		var before, after runtime.MemStats
		f.Heartbeat("w0", nil)
		changes := f.Store.TakeChanges()
		runtime.ReadMemStats(&before)
		d.Update(f.Store, changes)
		runtime.ReadMemStats(&after)
		return after.TotalAlloc - before.TotalAlloc
	}
	heartbeat()
	const heartbeats, maxBytes = 50, 100_000
	var total uint64
	for range heartbeats {
		total += heartbeat()
	}
	if each := total / heartbeats; each > maxBytes {
		t.Errorf("a heartbeat takes %d bytes, as if every task were examined", each)
	}
	f.Heartbeat("w0", func(heartbeat *state.Heartbeat) { heartbeat.Labels = []string{"ssd"} })
	d.Update(f.Store, f.Store.TakeChanges())
	if n := len(d.UnplacedTasks(f.Store)); n == 0 {
		t.Error("all unplaced tasks were queued in one step")
	}
	for d.Rebuilding() {
		d.Update(f.Store, nil)
	}
	if n := len(d.UnplacedTasks(f.Store)); n != 0 {
		t.Errorf("%d tasks are unplaced although the worker now has the label", n)
	}
}

// TestTaskAcceptedWhileItsWorkerIsSilent checks that a task is unplaced until its only worker,
// unchanged, sends heartbeats again.
func TestTaskAcceptedWhileItsWorkerIsSilent(t *testing.T) {
	f := statetest.New(t)
	f.AddWorker("w0", 8)
	d := dispatch.New()
	d.Update(f.Store, f.Store.TakeChanges())
	f.Advance(31 * time.Second)
	f.AcceptJob("j", "quick", "a")
	d.Update(f.Store, f.Store.TakeChanges())
	if n := len(d.UnplacedTasks(f.Store)); n != 1 {
		t.Fatalf("%d tasks are unplaced", n)
	}
	f.Heartbeat("w0", nil)
	d.Update(f.Store, f.Store.TakeChanges())
	if n := len(d.UnplacedTasks(f.Store)); n != 0 {
		t.Errorf("%d tasks are unplaced although the worker sends heartbeats again", n)
	}
}

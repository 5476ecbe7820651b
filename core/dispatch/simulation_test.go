package dispatch

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"sorrelloom/core/state"
)

// simulationStep is the time between two steps of a simulation.
const simulationStep = 50 * time.Millisecond

// simulatedRun is a run on a simulated worker. One of a long-running task has no end.
type simulatedRun struct {
	attempt     state.Attempt
	resources   state.Resources
	endsAt      time.Duration
	longRunning bool
	// succeeds is set if the run succeeds although its worker is failing.
	succeeds bool
	gang     bool
}

// simulatedWorker runs the tasks that it is given. While it is failing, all runs that end on it
// fail.
type simulatedWorker struct {
	name     string
	labels   []string
	runs     []simulatedRun
	failing  bool
	lost     bool
	slowdown time.Duration // of its runs, as a factor; 0 is none
}

// simulation simulates workers of equal capacity that send heartbeats, pull tasks and run them.
type simulation struct {
	fixture
	capacity state.Resources
	workers  []*simulatedWorker
	// runTimes holds the run time of the tasks of each job; started is when each task first
	// started.
	runTimes map[string]time.Duration
	started  map[string]time.Duration
	// failedGangs holds, by job, the attempt number of the last attempt of its gang in which a
	// member failed. The members on workers that report later are lost.
	failedGangs map[string]int
	jobs        int
}

// newSimulation returns a simulation with workers of 64 slots and 128 MB, some of them with
// labels.
func newSimulation(t *testing.T, workers int, labels map[int]string) *simulation {
	sim := &simulation{
		fixture: newFixture(t, nil), capacity: state.Resources{Slots: 64, MemoryMB: 128},
		runTimes: map[string]time.Duration{}, started: map[string]time.Duration{}, failedGangs: map[string]int{},
	}
	for i := range workers {
		worker := &simulatedWorker{name: fmt.Sprintf("w%02d", i)}
		if labels[i] != "" {
			worker.labels = []string{labels[i]}
		}
		sim.workers = append(sim.workers, worker)
	}
	sim.configure(`{"services":{"tickets":{"anyLabel":true,"largestWorker":{"slots":64,"memoryMB":128},` +
		`"classes":{"small":{"inboxMax":1000}}}},` +
		`"policies":{"borrow":"true"},"limits":{"silent":"3s","lease":"2s","startBy":"1s","endsAtCutoff":true}}`)
	sim.advance(200 * time.Millisecond)
	return sim
}

func (sim *simulation) configure(patch string) {
	sim.T.Helper()
	change := state.ConfigChange{BaseVersion: sim.Store.Config().Version, Patch: true, Body: []byte(patch)}
	sim.MustApply(state.Command{Kind: state.KindChangeConfig, ConfigChange: change})
}

// submit submits a job of one step whose tasks have the given run time, for the tenant of a
// key, if any.
func (sim *simulation) submit(id, class, key string, runTime time.Duration, step state.StepSpec) {
	sim.T.Helper()
	sim.runTimes[id] = runTime
	spec := state.JobSpec{ID: id, Service: "tickets", Class: class, Steps: []state.StepSpec{step}}
	sim.MustApply(state.Command{Kind: state.KindAcceptJob, Job: spec, KeyDigest: key})
}

// advance simulates the given time.
func (sim *simulation) advance(d time.Duration) {
	for end := sim.Now + d; sim.Now < end; {
		sim.Now += simulationStep
		for _, worker := range sim.workers {
			sim.heartbeat(worker)
		}
		sim.Apply(state.Command{Kind: state.KindTick})
		sim.update()
		for _, worker := range sim.workers {
			sim.pullAll(worker)
		}
	}
}

// heartbeat reports which of a worker's runs are running and which have ended.
func (sim *simulation) heartbeat(worker *simulatedWorker) {
	if worker.lost {
		return
	}
	report := state.Heartbeat{
		Worker: worker.name, Incarnation: 1, Number: uint64(sim.Now), Zone: "a", Service: "tickets",
		Labels: worker.labels, Free: sim.capacity, Total: sim.capacity,
	}
	worker.runs = slices.DeleteFunc(worker.runs, func(run simulatedRun) bool {
		job, ok := sim.Store.Job(run.attempt.Job)
		if !ok || job.EndingState != "" {
			return true
		}
		if run.longRunning || sim.Now < run.endsAt {
			report.Running = append(report.Running, run.attempt)
			report.Free = report.Free.Sub(run.resources)
			return false
		}
		report.Ended = append(report.Ended, sim.resultOf(worker, &run))
		return true
	})
	sim.Apply(state.Command{Kind: state.KindHeartbeat, Heartbeat: report})
}

// resultOf returns the result of a run that ends.
func (sim *simulation) resultOf(worker *simulatedWorker, run *simulatedRun) state.AttemptResult {
	end := state.AttemptResult{Attempt: run.attempt, Succeeded: run.succeeds || !worker.failing}
	switch {
	case run.gang && !end.Succeeded:
		sim.failedGangs[run.attempt.Job] = run.attempt.Number
	case run.gang && sim.failedGangs[run.attempt.Job] == run.attempt.Number:
		end.Succeeded, end.Lost = false, true
	}
	return end
}

// pullAll lets a worker pull and start tasks until it gets no more.
func (sim *simulation) pullAll(worker *simulatedWorker) {
	for !worker.lost {
		proposal, ok := sim.proposalFor(worker.name)
		if !ok {
			return
		}
		var texts []string
		for _, assignment := range proposal.Assignments {
			texts = append(texts, assignment.Job+"/"+assignment.Task+"@"+assignment.Worker)
		}
		if code := sim.Grant(texts...); !code.IsSuccess() {
			sim.T.Fatalf("grant %v: %v", texts, code)
		}
		for n, assignment := range proposal.Assignments {
			sim.start(assignment, proposal.Tasks[n])
		}
		sim.update()
	}
}

func (sim *simulation) proposalFor(worker string) (Proposal, bool) {
	for _, round := range PullRounds {
		if proposal, ok := sim.dispatcher.Pull(sim.Store, worker, InFlight{}, round); ok {
			return proposal, true
		}
	}
	return Proposal{}, false
}

// start starts a run on a worker.
func (sim *simulation) start(assignment state.Assignment, ref TaskRef) {
	job, _ := sim.Store.Job(ref.Job)
	spec := &job.Spec.Tasks[ref.Index]
	for _, worker := range sim.workers {
		if worker.name != assignment.Worker {
			continue
		}
		worker.runs = append(worker.runs, simulatedRun{
			attempt: state.Attempt{
				Job: assignment.Job, Task: assignment.Task, Number: job.Tasks[ref.Index].Lease.AttemptNumber,
			},
			resources: spec.Resources, longRunning: spec.LongRunning, gang: spec.Gang != "",
			endsAt: sim.Now + sim.runTimes[ref.Job]*max(1, worker.slowdown),
		})
	}
	if path := assignment.Job + "/" + assignment.Task; sim.started[path] == 0 {
		sim.started[path] = sim.Now
	}
}

// cancel cancels a job.
func (sim *simulation) cancel(id string) {
	sim.MustApply(state.Command{Kind: state.KindCancelJob, Name: id})
}

// startOf returns when the first task of a job first started, 0 if it has not.
func (sim *simulation) startOf(job string) time.Duration { return sim.started[job+"/0.0.0"] }

// stream submits a small job at regular intervals for some time, and returns the longest time
// that one of them waited for its first start, including those that have not started.
func (sim *simulation) stream(
	d, every time.Duration, class, key string, runTime time.Duration, step state.StepSpec,
) time.Duration {
	acceptedAt := map[string]time.Duration{}
	for end := sim.Now + d; sim.Now < end; sim.advance(every) {
		id := fmt.Sprintf("small-%d", sim.jobs)
		sim.jobs++
		sim.submit(id, class, key, runTime, step)
		acceptedAt[id] = sim.Now
	}
	longest := time.Duration(0)
	for id, at := range acceptedAt {
		startedAt := sim.startOf(id)
		if startedAt == 0 {
			startedAt = sim.Now
		}
		longest = max(longest, startedAt-at)
	}
	return longest
}

// slots returns a step of tasks with the given slots each.
func slots(count, each int) state.StepSpec {
	return state.StepSpec{Count: count, Resources: state.Resources{Slots: each}}
}

// gangOf returns the step as a gang.
func gangOf(step state.StepSpec) state.StepSpec {
	step.Gang = true
	return step
}

// longRunning returns the step with tasks that run until their job is cancelled.
func longRunning(step state.StepSpec) state.StepSpec {
	step.LongRunning = true
	return step
}

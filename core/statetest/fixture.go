// Package statetest builds small stores for tests: a configuration with two services,
// workers by name, jobs by a short notation, and commands with growing time.
package statetest

import (
	"reflect"
	"slices"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"sorrelloom/core/machine"
	"sorrelloom/core/state"
	"sorrelloom/core/status"
)

// Config is the configuration of a Fixture.
const Config = `{"services":{
 "tickets":{"largestWorker":{"slots":8,"cores":64},"labels":["ssd","gpu"],"classes":{
  "quick":{"priority":100,"share":50,"quick":true,"runLimit":"5s","silence":"restart"},
  "batch":{"priority":10,"share":50},
  "small":{"priority":10,"share":0,"inboxMax":3}}},
 "podcasts":{"largestWorker":{"slots":8,"cores":16},"classes":{"quick":{"priority":100,"share":100}}}},
 "policies":{"order":"priority","borrow":"waiting == 0 && idle >= asked"},
 "limits":{"lease":"6s","margin":"1s","startBy":"4s","silent":"30s","maxLosses":2}}`

// Leadership is the one under which a Fixture grants leases.
const Leadership = "dispatch/a"

// The first commands of a fixture are all checked against a snapshot and a replay, which
// cost as much as the whole state; of those after them one in checkInterval is.
const (
	alwaysChecked = 300
	checkInterval = 1000
)

// Fixture is a store with its clock. Now is the time of the last command.
type Fixture struct {
	T     *testing.T
	Store *state.Store
	Now   time.Duration
	// heartbeats are the last ones of the workers.
	heartbeats   map[string]state.Heartbeat
	commandCount int
}

// New makes a store with the configuration and the leadership at epoch 1.
func New(t *testing.T) *Fixture {
	f := &Fixture{T: t, Store: state.New(), Now: time.Second, heartbeats: map[string]state.Heartbeat{}}
	f.MustApply(state.Command{Kind: state.KindChangeConfig, ConfigChange: state.ConfigChange{Body: []byte(Config)}})
	vote := state.SchedulerHeartbeat{Scheduler: "s1", Zone: "a", Leadership: Leadership, Candidate: "s1"}
	f.MustApply(state.Command{Kind: state.KindSchedulerHeartbeat, SchedulerHeartbeat: vote})
	return f
}

// Apply applies a command one millisecond later. A snapshot of the state before it must
// stay as it was, and a replica that takes the encoded command must become the same.
func (f *Fixture) Apply(cmd state.Command) state.Result {
	f.T.Helper()
	f.Now += time.Millisecond
	cmd.Time, cmd.LogPosition = f.Now, state.LogPosition{Epoch: 1, Index: f.Store.Position().Index + 1}
	if f.commandCount++; f.commandCount > alwaysChecked && f.commandCount%checkInterval != 0 {
		return f.Store.Apply(cmd)
	}
	snapshot, before := f.Store.Snapshot(), f.Store.Records()
	result := f.Store.Apply(cmd)
	if after := slices.Collect(snapshot.Records()); !reflect.DeepEqual(before, after) {
		f.T.Errorf("%s changed a snapshot: %s", cmd.Kind, cmp.Diff(before, after))
	}
	if again := snapshot.Store().Records(); !reflect.DeepEqual(before, again) {
		f.T.Errorf("a snapshot from before %s gives another state: %s", cmd.Kind, cmp.Diff(before, again))
	}
	f.replay(before, cmd)
	return result
}

// replay has a replica that stands where the records do take the encoded command.
func (f *Fixture) replay(before []machine.Record, cmd state.Command) {
	f.T.Helper()
	replica, err := state.Load(before)
	if err != nil {
		f.T.Fatal(err)
	}
	decoded, err := state.Decode(state.Encode(cmd).Encoded)
	if err != nil {
		f.T.Fatal(err)
	}
	replica.Apply(decoded.Command)
	if want, got := f.Store.Records(), replica.Records(); !reflect.DeepEqual(want, got) {
		f.T.Errorf("%s has another outcome when it is replayed: %s", cmd.Kind, cmp.Diff(want, got))
	}
}

// MustApply applies a command that must not be rejected.
func (f *Fixture) MustApply(cmd state.Command) state.Result {
	f.T.Helper()
	result := f.Apply(cmd)
	if !result.Code.IsSuccess() {
		f.T.Fatalf("%s: %v %s", cmd.Kind, result.Code, result.Reason)
	}
	return result
}

// Advance lets time go by and ticks.
func (f *Fixture) Advance(d time.Duration) {
	f.Now += d
	f.Apply(state.Command{Kind: state.KindTick})
}

// AddWorker brings in a worker with so many free slots. Its name is written as for
// parseWorker.
func (f *Fixture) AddWorker(name string, slots int) {
	service, id, labels := parseWorker(name)
	f.heartbeats[id] = state.Heartbeat{
		Worker: id, Incarnation: 1, Zone: "a", Service: service, Labels: labels,
		Free: state.Resources{Slots: slots, Cores: 64},
	}
	f.Heartbeat(id, nil)
}

// Heartbeat sends a worker's next heartbeat, changed as asked.
func (f *Fixture) Heartbeat(worker string, change func(*state.Heartbeat)) state.Result {
	hb := f.heartbeats[worker]
	hb.Number++
	hb.Ended, hb.Running = nil, append([]state.Attempt(nil), hb.Running...)
	if change != nil {
		change(&hb)
	}
	f.heartbeats[worker] = hb
	return f.Apply(state.Command{Kind: state.KindHeartbeat, Heartbeat: hb})
}

// AcceptJob submits a job, written as for JobSpec.
func (f *Fixture) AcceptJob(id, class string, tasks ...string) state.Result {
	return f.Apply(state.Command{Kind: state.KindAcceptJob, Job: JobSpec(id, class, tasks...)})
}

// Grant asks for leases, "job/task@worker" each, by the current leadership.
func (f *Fixture) Grant(assignments ...string) status.Code {
	grant := state.Grant{Leadership: Leadership, Epoch: f.Store.Leadership(Leadership).Epoch}
	for _, text := range assignments {
		grant.Assignments = append(grant.Assignments, parseAssignment(text))
	}
	return f.Apply(state.Command{Kind: state.KindGrantLeases, Grant: grant}).Code
}

// StartTask grants the lease of one task, "job/task@worker", and has the worker list the
// attempt as running.
func (f *Fixture) StartTask(assignment string) state.Attempt {
	f.T.Helper()
	if code := f.Grant(assignment); code != status.OK {
		f.T.Fatalf("grant %s: %v", assignment, code)
	}
	to := parseAssignment(assignment)
	number := f.Task(to.Job + "/" + to.Task).Lease.AttemptNumber
	attempt := state.Attempt{Job: to.Job, Task: to.Task, Number: number}
	f.Heartbeat(to.Worker, func(hb *state.Heartbeat) {
		hb.Running = append(hb.Running, attempt)
		hb.Free.Slots--
	})
	return attempt
}

// EndAttempt has the worker report an attempt's end.
func (f *Fixture) EndAttempt(worker string, end state.AttemptResult) state.Result {
	return f.Heartbeat(worker, func(hb *state.Heartbeat) {
		isEnded := func(attempt state.Attempt) bool { return attempt == end.Attempt }
		hb.Running = slices.DeleteFunc(hb.Running, isEnded)
		hb.Ended = []state.AttemptResult{end}
		hb.Free.Slots++
	})
}

// FinishTask runs a task, "job/task@worker", to its success.
func (f *Fixture) FinishTask(assignment string) {
	f.T.Helper()
	attempt := f.StartTask(assignment)
	f.EndAttempt(parseAssignment(assignment).Worker, state.AttemptResult{Attempt: attempt, Succeeded: true})
}

// Task looks a task up by "job/task".
func (f *Fixture) Task(path string) state.Task {
	f.T.Helper()
	to := parseAssignment(path)
	job, _ := f.Store.Job(to.Job)
	for i, spec := range job.Spec.Tasks {
		if spec.ID == to.Task {
			return *job.Tasks[i]
		}
	}
	f.T.Fatalf("no task %s", path)
	return state.Task{}
}

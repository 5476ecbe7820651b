// Package statetest builds small stores for tests. It has a configuration with two services
// and short notations for workers, jobs and leases, and applies commands with increasing
// times.
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

// Leadership is the name of the leadership under which a Fixture grants leases.
const Leadership = "dispatch/a"

// A fixture checks each of its first alwaysChecked commands against a snapshot and a
// replay. The cost of a check grows with the state, so after that only one command in
// checkInterval is checked.
const (
	alwaysChecked = 300
	checkInterval = 1000
)

// Fixture is a store with a clock. Now is the time of the last command.
type Fixture struct {
	T     *testing.T
	Store *state.Store
	Now   time.Duration
	// heartbeats has the last heartbeat of each worker, by its ID.
	heartbeats   map[string]state.Heartbeat
	commandCount int
}

// New returns a fixture whose store has the configuration Config and Leadership at epoch 1.
func New(t *testing.T) *Fixture {
	f := &Fixture{T: t, Store: state.New(), Now: time.Second, heartbeats: map[string]state.Heartbeat{}}
	f.MustApply(state.Command{Kind: state.KindChangeConfig, ConfigChange: state.ConfigChange{Body: []byte(Config)}})
	vote := state.SchedulerHeartbeat{Scheduler: "s1", Zone: "a", Leadership: Leadership, Candidate: "s1"}
	f.MustApply(state.Command{Kind: state.KindSchedulerHeartbeat, SchedulerHeartbeat: vote})
	return f
}

// Apply advances the clock by a millisecond and applies a command. For the commands that
// are checked, it fails the test if the command changes a snapshot of the state before it,
// or if a replica that applies the encoded command reaches another state.
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
		f.T.Errorf("a store made of a snapshot before %s has another state: %s", cmd.Kind, cmp.Diff(before, again))
	}
	f.replay(before, cmd)
	return result
}

// replay applies the encoded command to a replica that is loaded from records, and checks
// that the replica reaches the same state as the store.
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
		f.T.Errorf("replaying %s leads to another state: %s", cmd.Kind, cmp.Diff(want, got))
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

// Advance advances the clock and applies a tick.
func (f *Fixture) Advance(d time.Duration) {
	f.Now += d
	f.Apply(state.Command{Kind: state.KindTick})
}

// AddWorker registers a worker with a number of free slots by its first heartbeat. The name
// is in the notation of parseWorker.
func (f *Fixture) AddWorker(name string, slots int) {
	service, id, labels := parseWorker(name)
	f.heartbeats[id] = state.Heartbeat{
		Worker: id, Incarnation: 1, Zone: "a", Service: service, Labels: labels,
		Free: state.Resources{Slots: slots, Cores: 64},
	}
	f.Heartbeat(id, nil)
}

// Heartbeat applies a worker's next heartbeat. It is a copy of the last one with the next
// number and without ended attempts, which change may modify; change may be nil.
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

// AcceptJob submits a job in the notation of JobSpec.
func (f *Fixture) AcceptJob(id, class string, tasks ...string) state.Result {
	return f.Apply(state.Command{Kind: state.KindAcceptJob, Job: JobSpec(id, class, tasks...)})
}

// Grant requests leases at the current epoch of Leadership. Each is written
// "job/task@worker".
func (f *Fixture) Grant(assignments ...string) status.Code {
	grant := state.Grant{Leadership: Leadership, Epoch: f.Store.Leadership(Leadership).Epoch}
	for _, text := range assignments {
		grant.Assignments = append(grant.Assignments, parseAssignment(text))
	}
	return f.Apply(state.Command{Kind: state.KindGrantLeases, Grant: grant}).Code
}

// StartTask grants the lease of one task, written "job/task@worker", and applies a heartbeat
// in which the worker lists the attempt as running.
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

// EndAttempt applies a heartbeat in which the worker reports that an attempt has ended.
func (f *Fixture) EndAttempt(worker string, end state.AttemptResult) state.Result {
	return f.Heartbeat(worker, func(hb *state.Heartbeat) {
		isEnded := func(attempt state.Attempt) bool { return attempt == end.Attempt }
		hb.Running = slices.DeleteFunc(hb.Running, isEnded)
		hb.Ended = []state.AttemptResult{end}
		hb.Free.Slots++
	})
}

// FinishTask starts a task, written "job/task@worker", and reports that it has succeeded.
func (f *Fixture) FinishTask(assignment string) {
	f.T.Helper()
	attempt := f.StartTask(assignment)
	f.EndAttempt(parseAssignment(assignment).Worker, state.AttemptResult{Attempt: attempt, Succeeded: true})
}

// Task returns a task, written "job/task", and fails the test if there is none.
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

// Package statetest builds small ledgers for tests: a plan with two services,
// workers by name, jobs by a short notation, and commands with growing time.
package statetest

import (
	"reflect"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"sorrelloom/core/machine"
	"sorrelloom/core/state"
	"sorrelloom/core/status"
)

const Config = `{"services":{
 "tickets":{"largestWorker":{"slots":8,"cores":64},"labels":["ssd","gpu"],"classes":{
  "quick":{"priority":100,"share":50,"quick":true,"runLimit":"5s","silence":"restart"},"batch":{"priority":10,"share":50},"small":{"priority":10,"share":0,"inboxMax":3}}},
 "podcasts":{"largestWorker":{"slots":8,"cores":16},"classes":{"quick":{"priority":100,"share":100}}}},
 "policies":{"order":"priority","borrow":"waiting == 0 && idle >= asked"},
 "limits":{"lease":"6s","margin":"1s","startBy":"4s","silent":"30s","maxLosses":2}}`

// The first commands of a world are all checked against a capture and a replay, which
// cost as much as the whole ledger; of those after them some are.
const (
	alwaysChecked = 300
	checkInterval = 1000
)

// World is a ledger with its clock.
type Fixture struct {
	T            *testing.T
	Store        *state.Store
	Now          time.Duration
	heartbeats   map[string]state.Heartbeat
	commandCount int
}

const Leadership = "dispatch/a"

// New founds a ledger with the plan and the duty at epoch 1.
func New(t *testing.T) *Fixture {
	w := &Fixture{T: t, Store: state.New(), Now: time.Second, heartbeats: map[string]state.Heartbeat{}}
	w.MustApply(state.Command{Kind: state.KindChangeConfig, ConfigChange: state.ConfigChange{Body: []byte(Config)}})
	w.MustApply(state.Command{Kind: state.KindSchedulerHeartbeat, SchedulerHeartbeat: state.SchedulerHeartbeat{Scheduler: "s1", Zone: "a", Leadership: Leadership, Candidate: "s1"}})
	return w
}

// Do applies a command one millisecond later. A capture of the ledger before it must
// stay as it was, and a copy that takes the encoded command must become the same.
func (w *Fixture) Apply(cmd state.Command) state.Result {
	w.T.Helper()
	w.Now += time.Millisecond
	cmd.Time, cmd.LogPosition = w.Now, state.LogPosition{Epoch: 1, Index: w.Store.Position().Index + 1}
	if w.commandCount++; w.commandCount > alwaysChecked && w.commandCount%checkInterval != 0 {
		return w.Store.Apply(cmd)
	}
	capture, before := w.Store.Snapshot(), w.Store.Records()
	answer := w.Store.Apply(cmd)
	if after := slices.Collect(capture.Records()); !reflect.DeepEqual(before, after) {
		w.T.Errorf("%s changed a capture: %s", cmd.Kind, cmp.Diff(before, after))
	}
	if again := capture.Store().Records(); !reflect.DeepEqual(before, again) {
		w.T.Errorf("a capture from before %s gives another ledger: %s", cmd.Kind, cmp.Diff(before, again))
	}
	w.replay(before, cmd)
	return answer
}

func (w *Fixture) replay(before []machine.Record, cmd state.Command) {
	w.T.Helper()
	copied, err := state.Load(before)
	if err != nil {
		w.T.Fatal(err)
	}
	logged, err := state.Decode(state.Encode(cmd).Encoded)
	if err != nil {
		w.T.Fatal(err)
	}
	copied.Apply(logged.Command)
	if want, got := w.Store.Records(), copied.Records(); !reflect.DeepEqual(want, got) {
		w.T.Errorf("%s has another outcome when it is replayed: %s", cmd.Kind, cmp.Diff(want, got))
	}
}

func (w *Fixture) MustApply(cmd state.Command) state.Result {
	w.T.Helper()
	a := w.Apply(cmd)
	if !a.Code.IsSuccess() {
		w.T.Fatalf("%s: %v %s", cmd.Kind, a.Code, a.Reason)
	}
	return a
}

// Worker brings in a worker with so many free slots; an id may carry labels
// after a plus sign, such as "w1+ssd", and a service before a slash.
func (w *Fixture) AddWorker(name string, slots int) {
	service, id := "tickets", name
	if s, rest, ok := strings.Cut(name, "/"); ok {
		service, id = s, rest
	}
	parts := strings.Split(id, "+")
	w.heartbeats[parts[0]] = state.Heartbeat{Worker: parts[0], Incarnation: 1, Zone: "a", Service: service, Labels: parts[1:], Free: state.Resources{Slots: slots, Cores: 64}}
	w.Heartbeat(parts[0], nil)
}

// Beat sends a worker's next beat, changed as asked.
func (w *Fixture) Heartbeat(id string, change func(*state.Heartbeat)) state.Result {
	b := w.heartbeats[id]
	b.Number++
	b.Ended, b.Running = nil, append([]state.Attempt(nil), b.Running...)
	if change != nil {
		change(&b)
	}
	w.heartbeats[id] = b
	return w.Apply(state.Command{Kind: state.KindHeartbeat, Heartbeat: b})
}

// Job accepts a job. Tasks are written "b<a:2" for b after a with 2 slots; a
// gang stands in brackets, "x[g]", labels after a plus sign.
func (w *Fixture) AcceptJob(id, class string, tasks ...string) state.Result {
	return w.Apply(state.Command{Kind: state.KindAcceptJob, Job: JobSpec(id, class, tasks...)})
}

func JobSpec(id, class string, tasks ...string) state.JobSpec {
	spec := state.JobSpec{ID: id, Service: "tickets", Class: class}
	for _, text := range tasks {
		t := state.TaskSpec{Resources: state.Resources{Slots: 1}}
		if before, slots, ok := strings.Cut(text, ":"); ok {
			text, t.Resources.Slots = before, int(slots[0]-'0')
		}
		if before, label, ok := strings.Cut(text, "+"); ok {
			text, t.Labels = before, []string{label}
		}
		if before, after, ok := strings.Cut(text, "<"); ok {
			text, t.DependsOn = before, strings.Split(after, ",")
		}
		if before, gang, ok := strings.Cut(text, "["); ok {
			text, t.Gang = before, strings.TrimSuffix(gang, "]")
		}
		t.ID = text
		spec.Tasks = append(spec.Tasks, t)
	}
	return spec
}

// Grant asks for turns, "job/task@worker" each, under the current duty.
func (w *Fixture) Grant(picks ...string) status.Code {
	g := state.Grant{Leadership: Leadership, Epoch: w.Store.Leadership(Leadership).Epoch}
	for _, text := range picks {
		at, worker, _ := strings.Cut(text, "@")
		job, task, _ := strings.Cut(at, "/")
		g.Assignments = append(g.Assignments, state.Assignment{Job: job, Task: task, Worker: worker})
	}
	return w.Apply(state.Command{Kind: state.KindGrantLeases, Grant: g}).Code
}

// Start grants one task and has the worker list it as running.
func (w *Fixture) StartTask(pick string) state.Attempt {
	w.T.Helper()
	if c := w.Grant(pick); c != status.OK {
		w.T.Fatalf("grant %s: %v", pick, c)
	}
	at, worker, _ := strings.Cut(pick, "@")
	job, task, _ := strings.Cut(at, "/")
	a := state.Attempt{Job: job, Task: task, Number: w.Task(at).Lease.AttemptNumber}
	w.Heartbeat(worker, func(b *state.Heartbeat) { b.Running = append(b.Running, a); b.Free.Slots-- })
	return a
}

// End has the worker report an attempt's end.
func (w *Fixture) EndAttempt(worker string, end state.AttemptResult) state.Result {
	return w.Heartbeat(worker, func(b *state.Heartbeat) {
		var left []state.Attempt
		for _, a := range b.Running {
			if a != end.Attempt {
				left = append(left, a)
			}
		}
		b.Running, b.Ended = left, []state.AttemptResult{end}
		b.Free.Slots++
	})
}

// Finish runs a task to its good end.
func (w *Fixture) FinishTask(pick string) {
	w.T.Helper()
	_, worker, _ := strings.Cut(pick, "@")
	w.EndAttempt(worker, state.AttemptResult{Attempt: w.StartTask(pick), Succeeded: true})
}

// Task looks a task up by "job/task".
func (w *Fixture) Task(at string) state.Task {
	w.T.Helper()
	id, task, _ := strings.Cut(at, "/")
	job, _ := w.Store.Job(id)
	for i, spec := range job.Spec.Tasks {
		if spec.ID == task {
			return job.Tasks[i]
		}
	}
	w.T.Fatalf("no task %s", at)
	return state.Task{}
}

// Pass lets time go by and ticks.
func (w *Fixture) Advance(d time.Duration) {
	w.Now += d
	w.Apply(state.Command{Kind: state.KindTick})
}

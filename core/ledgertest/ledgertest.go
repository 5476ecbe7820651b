// Package ledgertest builds small ledgers for tests: a plan with two services,
// workers by name, jobs by a short notation, and commands with growing time.
package ledgertest

import (
	"reflect"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"sorrelloom/core/code"
	"sorrelloom/core/ledger"
	"sorrelloom/core/machine"
)

const Plan = `{"services":{
 "tickets":{"largestWorker":{"slots":8,"cores":64},"labels":["ssd","gpu"],"classes":{
  "quick":{"priority":100,"share":50,"quick":true,"runLimit":"5s","silence":"restart"},"batch":{"priority":10,"share":50},"small":{"priority":10,"share":0,"inboxMax":3}}},
 "podcasts":{"largestWorker":{"slots":8,"cores":16},"classes":{"quick":{"priority":100,"share":100}}}},
 "policies":{"order":"priority","borrow":"waiting == 0 && idle >= asked"},
 "limits":{"lease":"6s","margin":"1s","startBy":"4s","silent":"30s","maxLosses":2}}`

// World is a ledger with its clock.
type World struct {
	T      *testing.T
	Ledger *ledger.Ledger
	At     time.Duration
	// CheckEach, where set, compares copies only after each so many commands, for
	// tests whose ledgers grow to thousands of records.
	CheckEach uint64
	beats     map[string]ledger.Beat
}

const Duty = "dispatch/a"

// New founds a ledger with the plan and the duty at epoch 1.
func New(t *testing.T) *World {
	w := &World{T: t, Ledger: ledger.New(), At: time.Second, beats: map[string]ledger.Beat{}}
	w.Must(ledger.Command{Kind: ledger.KindPlan, Plan: ledger.PlanChange{Body: []byte(Plan)}})
	w.Must(ledger.Command{Kind: ledger.KindHello, Hello: ledger.Hello{Daemon: "s1", Site: "a", Want: Duty, For: "s1"}})
	return w
}

// Do applies a command one millisecond later. A capture of the ledger before it must
// stay as it was, and a copy that takes the encoded command must become the same.
func (w *World) Do(cmd ledger.Command) ledger.Answer {
	w.T.Helper()
	w.At += time.Millisecond
	cmd.At, cmd.Position = w.At, ledger.Position{Epoch: 1, Sequence: w.Ledger.Position().Sequence + 1}
	if w.CheckEach > 0 && cmd.Sequence%w.CheckEach != 0 {
		return w.Ledger.Apply(cmd)
	}
	capture, before := w.Ledger.Capture(), w.Ledger.Records()
	answer := w.Ledger.Apply(cmd)
	if after := slices.Collect(capture.Records()); !reflect.DeepEqual(before, after) {
		w.T.Errorf("%s changed a capture: %s", cmd.Kind, cmp.Diff(before, after))
	}
	w.replay(before, cmd)
	return answer
}

func (w *World) replay(before []machine.Record, cmd ledger.Command) {
	w.T.Helper()
	copied, err := ledger.Load(before)
	if err != nil {
		w.T.Fatal(err)
	}
	logged, err := ledger.Decode(ledger.Encode(cmd).Encoded)
	if err != nil {
		w.T.Fatal(err)
	}
	copied.Apply(logged.Command)
	if want, got := w.Ledger.Records(), copied.Records(); !reflect.DeepEqual(want, got) {
		w.T.Errorf("%s has another outcome when it is replayed: %s", cmd.Kind, cmp.Diff(want, got))
	}
}

func (w *World) Must(cmd ledger.Command) ledger.Answer {
	w.T.Helper()
	a := w.Do(cmd)
	if !a.Code.Good() {
		w.T.Fatalf("%s: %v %s", cmd.Kind, a.Code, a.Why)
	}
	return a
}

// Worker brings in a worker with so many free slots; an id may carry labels
// after a plus sign, such as "w1+ssd", and a service before a slash.
func (w *World) Worker(name string, slots int) {
	service, id := "tickets", name
	if s, rest, ok := strings.Cut(name, "/"); ok {
		service, id = s, rest
	}
	parts := strings.Split(id, "+")
	w.beats[parts[0]] = ledger.Beat{Worker: parts[0], Incarnation: 1, Site: "a", Service: service, Labels: parts[1:], Free: ledger.Room{Slots: slots, Cores: 64}}
	w.Beat(parts[0], nil)
}

// Beat sends a worker's next beat, changed as asked.
func (w *World) Beat(id string, change func(*ledger.Beat)) ledger.Answer {
	b := w.beats[id]
	b.Number++
	b.Ended, b.Running = nil, append([]ledger.Attempt(nil), b.Running...)
	if change != nil {
		change(&b)
	}
	w.beats[id] = b
	return w.Do(ledger.Command{Kind: ledger.KindBeat, Beat: b})
}

// Job accepts a job. Tasks are written "b<a:2" for b after a with 2 slots; a
// gang stands in brackets, "x[g]", labels after a plus sign.
func (w *World) Job(id, class string, tasks ...string) ledger.Answer {
	return w.Do(ledger.Command{Kind: ledger.KindAccept, Accept: Spec(id, class, tasks...)})
}

func Spec(id, class string, tasks ...string) ledger.JobSpec {
	spec := ledger.JobSpec{ID: id, Service: "tickets", Class: class}
	for _, text := range tasks {
		t := ledger.TaskSpec{Room: ledger.Room{Slots: 1}}
		if before, slots, ok := strings.Cut(text, ":"); ok {
			text, t.Room.Slots = before, int(slots[0]-'0')
		}
		if before, label, ok := strings.Cut(text, "+"); ok {
			text, t.Labels = before, []string{label}
		}
		if before, after, ok := strings.Cut(text, "<"); ok {
			text, t.After = before, strings.Split(after, ",")
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
func (w *World) Grant(picks ...string) code.Code {
	g := ledger.Grant{Duty: Duty, Epoch: w.Ledger.Duty(Duty).Epoch}
	for _, text := range picks {
		at, worker, _ := strings.Cut(text, "@")
		job, task, _ := strings.Cut(at, "/")
		g.Picks = append(g.Picks, ledger.Pick{Job: job, Task: task, Worker: worker})
	}
	return w.Do(ledger.Command{Kind: ledger.KindGrant, Grant: g}).Code
}

// Start grants one task and has the worker list it as running.
func (w *World) Start(pick string) ledger.Attempt {
	w.T.Helper()
	if c := w.Grant(pick); c != code.OK {
		w.T.Fatalf("grant %s: %v", pick, c)
	}
	at, worker, _ := strings.Cut(pick, "@")
	job, task, _ := strings.Cut(at, "/")
	a := ledger.Attempt{Job: job, Task: task, Try: w.Task(at).Turn.Try}
	w.Beat(worker, func(b *ledger.Beat) { b.Running = append(b.Running, a); b.Free.Slots-- })
	return a
}

// End has the worker report an attempt's end.
func (w *World) End(worker string, end ledger.End) ledger.Answer {
	return w.Beat(worker, func(b *ledger.Beat) {
		var left []ledger.Attempt
		for _, a := range b.Running {
			if a != end.Attempt {
				left = append(left, a)
			}
		}
		b.Running, b.Ended = left, []ledger.End{end}
		b.Free.Slots++
	})
}

// Finish runs a task to its good end.
func (w *World) Finish(pick string) {
	w.T.Helper()
	_, worker, _ := strings.Cut(pick, "@")
	w.End(worker, ledger.End{Attempt: w.Start(pick), Good: true})
}

// Task looks a task up by "job/task".
func (w *World) Task(at string) ledger.Task {
	w.T.Helper()
	id, task, _ := strings.Cut(at, "/")
	job, _ := w.Ledger.Job(id)
	for i, spec := range job.Spec.Tasks {
		if spec.ID == task {
			return job.Tasks[i]
		}
	}
	w.T.Fatalf("no task %s", at)
	return ledger.Task{}
}

// Pass lets time go by and ticks.
func (w *World) Pass(d time.Duration) {
	w.At += d
	w.Do(ledger.Command{Kind: ledger.KindTick})
}

package dispatch

import (
	"testing"
	"time"
)

// conformanceRow tests one line of docs/fela.md, which alone decides the result.
type conformanceRow struct {
	rule string
	// workers holds the slots of each worker; order is the order in which they register.
	workers    map[string]int
	order      []string
	setup      func(s fixture)
	worker     string
	steal      bool
	want       string
	stolenFrom string
}

var twoWorkers = map[string]int{"w1": 4, "w2": 4}

var conformanceRows = []conformanceRow{
	{
		rule:    "a dependent task is runnable only once what it depends on is complete",
		workers: twoWorkers,
		order:   []string{"w1"},
		setup: func(s fixture) {
			s.AcceptJob("j", "batch", "a", "b<a")
			s.StartTask("j/a@w1")
		},
		worker: "w1", steal: true, want: "",
	},
	{
		rule:    "runnable on completion",
		workers: twoWorkers,
		order:   []string{"w1"},
		setup: func(s fixture) {
			s.AcceptJob("j", "batch", "a", "b<a")
			s.FinishTask("j/a@w1")
		},
		worker: "w1", want: "j/b@w1",
	},
	{
		rule:    "one of two dependencies is not enough",
		workers: twoWorkers,
		order:   []string{"w1"},
		setup: func(s fixture) {
			s.AcceptJob("j", "batch", "a", "b", "c<a,b")
			s.StartTask("j/b@w1")
			s.FinishTask("j/a@w1")
		},
		worker: "w1", steal: true, want: "",
	},
	{
		rule:    "the deepest runnable step first, though its number is larger",
		workers: twoWorkers,
		order:   []string{"w1"},
		setup: func(s fixture) {
			s.AcceptJob("early", "batch", "x", "y")
			s.AcceptJob("late", "batch", "a", "b<a")
			s.FinishTask("late/a@w1")
		},
		worker: "w1", want: "late/b@w1",
	},
	{
		rule:    "within a step the larger locality score",
		workers: twoWorkers,
		order:   []string{"w1", "w2"},
		setup: func(s fixture) {
			s.AcceptJob("p", "batch", "a", "b", "c<a,b")
			s.AcceptJob("q", "batch", "a", "b", "c<a,b")
			s.FinishTask("p/a@w2")
			s.FinishTask("p/b@w2")
			s.FinishTask("q/a@w1")
			s.FinishTask("q/b@w2")
			s.moveTo("w1", "p/c")
			s.moveTo("w1", "q/c")
		},
		worker: "w1", want: "q/c@w1",
	},
	{
		rule:    "ties go to the smallest number",
		workers: twoWorkers,
		order:   []string{"w1"},
		setup: func(s fixture) {
			s.AcceptJob("z", "batch", "t9", "t1")
			s.AcceptJob("a", "batch", "t0")
		},
		worker: "w1", want: "z/t9@w1",
	},
	{
		rule:    "the own queue first, though another holds a deeper step",
		workers: twoWorkers,
		order:   []string{"w1", "w2"},
		setup: func(s fixture) {
			s.AcceptJob("deep", "batch", "a", "b<a")
			s.FinishTask("deep/a@w2")
			s.moveTo("w2", "deep/b")
			s.AcceptJob("flat", "batch", "x")
			s.moveTo("w1", "flat/x")
			s.Now += time.Second
			s.Heartbeat("w1", nil)
		},
		worker: "w1", steal: true, want: "flat/x@w1",
	},
	{
		rule:    "a quick task first, though it is in another's queue and the own has work",
		workers: twoWorkers,
		order:   []string{"w1", "w2"},
		setup: func(s fixture) {
			s.AcceptJob("flat", "batch", "x")
			s.moveTo("w1", "flat/x")
			s.AcceptJob("q", "quick", "x")
			s.moveTo("w2", "q/x")
			s.Now += time.Second
			s.Heartbeat("w1", nil)
		},
		worker: "w1", steal: true, want: "q/x@w1", stolenFrom: "w2",
	},
	{
		rule:    "with its own queue empty it steals",
		workers: twoWorkers,
		order:   []string{"w1", "w2"},
		setup: func(s fixture) {
			s.AcceptJob("j", "batch", "x")
			s.moveTo("w2", "j/x")
			s.Now += time.Second
			s.Heartbeat("w1", nil)
		},
		worker: "w1", steal: true, want: "j/x@w1", stolenFrom: "w2",
	},
	{
		rule:    "a worker that could take the task itself is no straggler yet",
		workers: twoWorkers,
		order:   []string{"w1", "w2"},
		setup: func(s fixture) {
			s.AcceptJob("j", "batch", "x")
			s.moveTo("w2", "j/x")
		},
		worker: "w1", steal: true, want: "",
	},
	{
		rule:    "the straggler with the fewest helpers",
		workers: map[string]int{"w1": 4, "w2": 1, "w3": 1, "w4": 4},
		order:   []string{"w1", "w2", "w3", "w4"},
		setup: func(s fixture) {
			s.AcceptJob("j", "batch", "a", "b")
			s.StartTask("j/a@w2")
			s.StartTask("j/b@w3")
			s.AcceptJob("k", "batch", "a", "b", "c")
			s.moveTo("w2", "k/a")
			s.moveTo("w2", "k/b")
			s.moveTo("w3", "k/c")
			s.StartTask("k/a@w4")
		},
		worker: "w1", steal: true, want: "k/c@w1", stolenFrom: "w3",
	},
	{
		rule:    "among equals the slowest progress",
		workers: map[string]int{"w1": 4, "w2": 1, "w3": 1},
		order:   []string{"w1", "w2", "w3"},
		setup: func(s fixture) {
			s.AcceptJob("j", "batch", "a", "b", "c")
			s.FinishTask("j/a@w2")
			s.StartTask("j/b@w2")
			s.StartTask("j/c@w3")
			s.AcceptJob("k", "batch", "a", "b")
			s.moveTo("w2", "k/a")
			s.moveTo("w3", "k/b")
		},
		worker: "w1", steal: true, want: "k/b@w1", stolenFrom: "w3",
	},
	{
		rule:    "stealing keeps within the worker's resources",
		workers: map[string]int{"w1": 1, "w2": 4},
		order:   []string{"w1", "w2"},
		setup: func(s fixture) {
			s.AcceptJob("j", "batch", "x:2")
			s.moveTo("w2", "j/x")
			s.Now += time.Second
			s.Heartbeat("w1", nil)
		},
		worker: "w1", steal: true, want: "",
	},
	{
		rule:    "stealing keeps within the worker's labels",
		workers: map[string]int{"w1": 4, "w2+ssd": 4},
		order:   []string{"w1", "w2+ssd"},
		setup: func(s fixture) {
			s.AcceptJob("j", "batch", "x+ssd")
			s.Now += time.Second
			s.Heartbeat("w1", nil)
		},
		worker: "w1", steal: true, want: "",
	},
	{
		rule:    "stealing keeps within the worker's service",
		workers: map[string]int{"podcasts/p1": 4, "w2": 4},
		order:   []string{"podcasts/p1", "w2"},
		setup: func(s fixture) {
			s.AcceptJob("j", "batch", "x")
			s.Now += time.Second
			s.Heartbeat("p1", nil)
		},
		worker: "p1", steal: true, want: "",
	},
	{
		rule:    "all members of a gang together",
		workers: map[string]int{"w1": 1, "w2": 2},
		order:   []string{"w1", "w2"},
		setup: func(s fixture) {
			s.AcceptJob("g", "batch", "x[g]", "y[g]", "z[g]")
			s.moveTo("w1", "g/x")
		},
		worker: "w1", want: "g/x@w1 g/y@w2 g/z@w2",
	},
	{
		rule:    "a gang without resources for all stays, and is in nobody's way",
		workers: map[string]int{"w1": 2},
		order:   []string{"w1"},
		setup: func(s fixture) {
			s.AcceptJob("g", "batch", "x[g]", "y[g]", "z[g]")
			s.AcceptJob("j", "batch", "a")
		},
		worker: "w1", want: "j/a@w1",
	},
	{
		rule:    "a gang that has waited reserves resources against younger tasks",
		workers: map[string]int{"w1": 4, "w2": 4},
		order:   []string{"w1", "w2"},
		setup: func(s fixture) {
			s.AcceptJob("f", "batch", "a", "b", "c", "d", "e")
			for _, assignment := range []string{"f/a@w2", "f/b@w2", "f/c@w2", "f/d@w2", "f/e@w1"} {
				s.StartTask(assignment)
			}
			s.AcceptJob("g", "batch", "x[g]", "y[g]", "z[g]", "u[g]")
			s.AcceptJob("j", "batch", "a")
			s.moveTo("w1", "j/a")
			s.Now += 4 * time.Second
			s.Heartbeat("w1", nil)
			s.Heartbeat("w2", nil)
		},
		worker: "w1", steal: true, want: "",
	},
	{
		rule:    "quick tasks pass a gang's reservation",
		workers: map[string]int{"w1": 4, "w2": 4},
		order:   []string{"w1", "w2"},
		setup: func(s fixture) {
			s.AcceptJob("f", "batch", "a", "b", "c", "d", "e")
			for _, assignment := range []string{"f/a@w2", "f/b@w2", "f/c@w2", "f/d@w2", "f/e@w1"} {
				s.StartTask(assignment)
			}
			s.AcceptJob("g", "batch", "x[g]", "y[g]", "z[g]", "u[g]")
			s.AcceptJob("q", "quick", "a")
			s.moveTo("w1", "q/a")
			s.Now += 4 * time.Second
			s.Heartbeat("w1", nil)
			s.Heartbeat("w2", nil)
		},
		worker: "w1", steal: true, want: "q/a@w1",
	},
	{
		rule:    "quick never behind batch, in the own queue",
		workers: twoWorkers,
		order:   []string{"w1"},
		setup: func(s fixture) {
			s.AcceptJob("b", "batch", "a", "b<a")
			s.FinishTask("b/a@w1")
			s.AcceptJob("q", "quick", "x")
		},
		worker: "w1", want: "q/x@w1",
	},
	{
		rule:    "quick never behind batch, across queues",
		workers: map[string]int{"w1": 4, "w2": 1},
		order:   []string{"w1", "w2"},
		setup: func(s fixture) {
			s.AcceptJob("f", "quick", "x")
			s.StartTask("f/x@w2")
			s.AcceptJob("b", "batch", "a")
			s.moveTo("w1", "b/a")
			s.AcceptJob("q", "quick", "x")
			s.moveTo("w2", "q/x")
		},
		worker: "w1", steal: true, want: "q/x@w1", stolenFrom: "w2",
	},
}

func TestConformance(t *testing.T) {
	for _, row := range conformanceRows {
		t.Run(row.rule, func(t *testing.T) {
			s := newFixture(t, row.workers, row.order...)
			row.setup(s)
			got, stolenFrom := s.pull(row.worker, row.steal)
			if got != row.want || stolenFrom != row.stolenFrom {
				t.Errorf("got %q stolen from %q, want %q stolen from %q", got, stolenFrom, row.want, row.stolenFrom)
			}
		})
	}
}

// Conformance tables: every row stands for one line of the design page on
// Fela's fetching, and is decided by that line alone.
package dispatch

import (
	"testing"
	"time"

	"sorrelloom/core/code"
	"sorrelloom/core/ledger"
	"sorrelloom/core/ledgertest"
)

type scene struct {
	*ledgertest.World
	d *Dispatch
}

func newScene(t *testing.T, workers map[string]int, order ...string) scene {
	s := scene{ledgertest.New(t), New()}
	for _, name := range order {
		s.Worker(name, workers[name])
	}
	s.update()
	return s
}

func (s scene) update() { s.d.Update(s.Ledger, s.Ledger.TakeChanges()) }

func (s scene) next(worker string, help bool) (string, string) {
	s.update()
	var c Choice
	for _, pull := range Pulls {
		if len(c.Picks) == 0 && (help || !pull.Help) {
			c, _ = s.d.Next(s.Ledger, worker, Held{}, pull)
		}
	}
	text := ""
	for i, p := range c.Picks {
		if i > 0 {
			text += " "
		}
		text += p.Job + "/" + p.Task + "@" + p.Worker
	}
	return text, c.Helped
}

// into moves a task to a worker's inbox, as another seeding would have done.
func (s scene) into(worker, at string) {
	s.update()
	for _, job := range s.Ledger.Active() {
		for i, spec := range job.Spec.Tasks {
			if job.Spec.ID+"/"+spec.ID == at {
				s.d.remove(Ref{job.Spec.ID, i})
				s.d.put(job, Ref{job.Spec.ID, i}, worker)
			}
		}
	}
}

func TestConformance(t *testing.T) {
	two := map[string]int{"w1": 4, "w2": 4}
	table := []struct {
		line    string
		workers map[string]int
		order   []string
		do      func(s scene)
		worker  string
		help    bool
		want    string
		helped  string
	}{
		{"a dependent task is released only once what it depends on is complete", two, []string{"w1"}, func(s scene) {
			s.Job("j", "batch", "a", "b<a")
			s.Start("j/a@w1")
		}, "w1", true, "", ""},
		{"released on completion", two, []string{"w1"}, func(s scene) {
			s.Job("j", "batch", "a", "b<a")
			s.Finish("j/a@w1")
		}, "w1", false, "j/b@w1", ""},
		{"one of two dependencies is not enough", two, []string{"w1"}, func(s scene) {
			s.Job("j", "batch", "a", "b", "c<a,b")
			s.Start("j/b@w1")
			s.Finish("j/a@w1")
		}, "w1", true, "", ""},
		{"the deepest released step first, though its number is larger", two, []string{"w1"}, func(s scene) {
			s.Job("early", "batch", "x", "y")
			s.Job("late", "batch", "a", "b<a")
			s.Finish("late/a@w1")
		}, "w1", false, "late/b@w1", ""},
		{"within a step the larger locality_score", two, []string{"w1", "w2"}, func(s scene) {
			s.Job("p", "batch", "a", "b", "c<a,b")
			s.Job("q", "batch", "a", "b", "c<a,b")
			s.Finish("p/a@w2")
			s.Finish("p/b@w2")
			s.Finish("q/a@w1")
			s.Finish("q/b@w2")
			s.into("w1", "p/c")
			s.into("w1", "q/c")
		}, "w1", false, "q/c@w1", ""},
		{"ties go to the smallest number", two, []string{"w1"}, func(s scene) {
			s.Job("z", "batch", "t9", "t1")
			s.Job("a", "batch", "t0")
		}, "w1", false, "z/t9@w1", ""},
		{"the own inbox first, though another holds a deeper step", two, []string{"w1", "w2"}, func(s scene) {
			s.Job("deep", "batch", "a", "b<a")
			s.Finish("deep/a@w2")
			s.into("w2", "deep/b")
			s.Job("flat", "batch", "x")
			s.into("w1", "flat/x")
			s.At += time.Second
			s.Beat("w1", nil)
		}, "w1", true, "flat/x@w1", ""},
		{"a quick task first, though it lies in another's inbox and the own has work", two, []string{"w1", "w2"}, func(s scene) {
			s.Job("flat", "batch", "x")
			s.into("w1", "flat/x")
			s.Job("q", "quick", "x")
			s.into("w2", "q/x")
			s.At += time.Second
			s.Beat("w1", nil)
		}, "w1", true, "q/x@w1", "w2"},
		{"with its own inbox empty it helps", two, []string{"w1", "w2"}, func(s scene) {
			s.Job("j", "batch", "x")
			s.into("w2", "j/x")
			s.At += time.Second
			s.Beat("w1", nil)
		}, "w1", true, "j/x@w1", "w2"},
		{"a worker that could take the task itself is no straggler yet", two, []string{"w1", "w2"}, func(s scene) {
			s.Job("j", "batch", "x")
			s.into("w2", "j/x")
		}, "w1", true, "", ""},
		{"the straggler with the fewest helpers", map[string]int{"w1": 4, "w2": 1, "w3": 1, "w4": 4}, []string{"w1", "w2", "w3", "w4"}, func(s scene) {
			s.Job("j", "batch", "a", "b")
			s.Start("j/a@w2")
			s.Start("j/b@w3")
			s.Job("k", "batch", "a", "b", "c")
			s.into("w2", "k/a")
			s.into("w2", "k/b")
			s.into("w3", "k/c")
			s.Start("k/a@w4")
		}, "w1", true, "k/c@w1", "w3"},
		{"among equals the slowest progress", map[string]int{"w1": 4, "w2": 1, "w3": 1}, []string{"w1", "w2", "w3"}, func(s scene) {
			s.Job("j", "batch", "a", "b", "c")
			s.Finish("j/a@w2")
			s.Start("j/b@w2")
			s.Start("j/c@w3")
			s.Job("k", "batch", "a", "b")
			s.into("w2", "k/a")
			s.into("w3", "k/b")
		}, "w1", true, "k/b@w1", "w3"},
		{"a helper keeps within its room", map[string]int{"w1": 1, "w2": 4}, []string{"w1", "w2"}, func(s scene) {
			s.Job("j", "batch", "x:2")
			s.into("w2", "j/x")
			s.At += time.Second
			s.Beat("w1", nil)
		}, "w1", true, "", ""},
		{"a helper keeps within its labels", map[string]int{"w1": 4, "w2+ssd": 4}, []string{"w1", "w2+ssd"}, func(s scene) {
			s.Job("j", "batch", "x+ssd")
			s.At += time.Second
			s.Beat("w1", nil)
		}, "w1", true, "", ""},
		{"a helper keeps within its service", map[string]int{"podcasts/p1": 4, "w2": 4}, []string{"podcasts/p1", "w2"}, func(s scene) {
			s.Job("j", "batch", "x")
			s.At += time.Second
			s.Beat("p1", nil)
		}, "p1", true, "", ""},
		{"all members of a gang together", map[string]int{"w1": 1, "w2": 2}, []string{"w1", "w2"}, func(s scene) {
			s.Job("g", "batch", "x[g]", "y[g]", "z[g]")
			s.into("w1", "g/x")
		}, "w1", false, "g/x@w1 g/y@w2 g/z@w2", ""},
		{"a gang without room for all stays, and is in nobody's way", map[string]int{"w1": 2}, []string{"w1"}, func(s scene) {
			s.Job("g", "batch", "x[g]", "y[g]", "z[g]")
			s.Job("j", "batch", "a")
		}, "w1", false, "j/a@w1", ""},
		{"a gang that has waited keeps room from younger tasks", map[string]int{"w1": 4, "w2": 4}, []string{"w1", "w2"}, func(s scene) {
			s.Job("f", "batch", "a", "b", "c", "d", "e")
			for _, pick := range []string{"f/a@w2", "f/b@w2", "f/c@w2", "f/d@w2", "f/e@w1"} {
				s.Start(pick)
			}
			s.Job("g", "batch", "x[g]", "y[g]", "z[g]", "u[g]")
			s.Job("j", "batch", "a")
			s.into("w1", "j/a")
			s.At += 4 * time.Second
			s.Beat("w1", nil)
			s.Beat("w2", nil)
		}, "w1", true, "", ""},
		{"quick tasks pass a gang's claim", map[string]int{"w1": 4, "w2": 4}, []string{"w1", "w2"}, func(s scene) {
			s.Job("f", "batch", "a", "b", "c", "d", "e")
			for _, pick := range []string{"f/a@w2", "f/b@w2", "f/c@w2", "f/d@w2", "f/e@w1"} {
				s.Start(pick)
			}
			s.Job("g", "batch", "x[g]", "y[g]", "z[g]", "u[g]")
			s.Job("q", "quick", "a")
			s.into("w1", "q/a")
			s.At += 4 * time.Second
			s.Beat("w1", nil)
			s.Beat("w2", nil)
		}, "w1", true, "q/a@w1", ""},
		{"quick never behind batch, in the own inbox", two, []string{"w1"}, func(s scene) {
			s.Job("b", "batch", "a", "b<a")
			s.Finish("b/a@w1")
			s.Job("q", "quick", "x")
		}, "w1", false, "q/x@w1", ""},
		{"quick never behind batch, across inboxes", map[string]int{"w1": 4, "w2": 1}, []string{"w1", "w2"}, func(s scene) {
			s.Job("f", "quick", "x")
			s.Start("f/x@w2")
			s.Job("b", "batch", "a")
			s.into("w1", "b/a")
			s.Job("q", "quick", "x")
			s.into("w2", "q/x")
		}, "w1", true, "q/x@w1", "w2"},
	}
	for _, row := range table {
		t.Run(row.line, func(t *testing.T) {
			s := newScene(t, row.workers, row.order...)
			row.do(s)
			got, helped := s.next(row.worker, row.help)
			if got != row.want || helped != row.helped {
				t.Errorf("got %q helping %q, want %q helping %q", got, helped, row.want, row.helped)
			}
		})
	}
}

// TestLocalityScore is the paper's formula, |H ∩ D| / |D|, with the values of
// its own example and the edge that the paper leaves out.
func TestLocalityScore(t *testing.T) {
	table := []struct {
		name   string
		first  []string
		want   float64
		depend string
	}{
		{"holds both", []string{"j/a@w1", "j/b@w1"}, 1, "c<a,b"},
		{"holds one of two", []string{"j/a@w1", "j/b@w2"}, 0.5, "c<a,b"},
		{"holds none", []string{"j/a@w2", "j/b@w2"}, 0, "c<a,b"},
		{"what it holds beyond D does not count", []string{"j/a@w2", "j/b@w1"}, 0, "c<a"},
		{"no dependencies", []string{"j/a@w1", "j/b@w1"}, 0, "c"},
	}
	for _, row := range table {
		t.Run(row.name, func(t *testing.T) {
			s := newScene(t, map[string]int{"w1": 4, "w2": 4}, "w1", "w2")
			s.Job("j", "batch", "a", "b", row.depend)
			for _, pick := range row.first {
				s.Finish(pick)
			}
			s.update()
			job, _ := s.Ledger.Job("j")
			if got := s.d.Locality(job, Ref{"j", 2}, "w1"); got != row.want {
				t.Errorf("got %v, want %v", got, row.want)
			}
		})
	}
}

// TestContentionHasOneWinner lets two dispatchers, each with its own view, pick
// the same task: the ledger gives it to one, the other is served again.
func TestContentionHasOneWinner(t *testing.T) {
	s := newScene(t, map[string]int{"w1": 1, "w2": 4, "w3": 4}, "w1", "w2", "w3")
	s.Job("f", "batch", "a")
	s.Start("f/a@w1")
	s.Job("j", "batch", "a", "b")
	s.into("w1", "j/a")
	s.into("w1", "j/b")
	first, _ := s.next("w2", true)
	second, _ := s.next("w3", true)
	if first != "j/a@w2" || second != "j/a@w3" {
		t.Fatalf("both should want the smallest: %q %q", first, second)
	}
	if a, b := s.Grant(first), s.Grant(second); a != code.OK || b != code.TaskNotOpen {
		t.Fatalf("one wins: %v %v", a, b)
	}
	if again, _ := s.next("w3", true); again != "j/b@w3" {
		t.Errorf("the other is served again, got %q", again)
	}
}

// TestPushOut asks back borrowed room for an owner, the newest turn first.
func TestPushOut(t *testing.T) {
	s := newScene(t, map[string]int{"w1": 2}, "w1")
	s.Job("s", "small", "a", "b")
	s.Start("s/a@w1")
	s.Start("s/b@w1")
	if _, ok := s.d.PushOut(s.Ledger, "a", Held{}); ok {
		t.Fatal("nobody needs the room yet")
	}
	s.Job("q", "quick", "x")
	s.At += 100 * time.Millisecond
	s.Beat("w1", nil)
	s.update()
	pick, ok := s.d.PushOut(s.Ledger, "a", Held{})
	if !ok || pick.Picks[0] != (ledger.Pick{Job: "s", Task: "b", Worker: "w1"}) || pick.For != (ledger.Pick{Job: "q", Task: "x"}) {
		t.Fatalf("got %+v %v", pick, ok)
	}
	s.Must(ledger.Command{Kind: ledger.KindPushOut, Grant: ledger.Grant{Duty: ledgertest.Duty, Epoch: 1, Picks: pick.Picks, For: pick.For}})
	s.update()
	if more, ok := s.d.PushOut(s.Ledger, "a", Held{}); ok {
		t.Errorf("one is enough, got %+v", more)
	}
}

// TestQuickWorkWaitsForNoOther fills the only worker with a label with work
// within its own share; a quick task that needs the label has a turn pushed out,
// another task that is not quick has not.
func TestQuickWorkWaitsForNoOther(t *testing.T) {
	for _, row := range []struct {
		class, task, want string
	}{{"quick", "x+ssd", "b/b"}, {"batch", "x+ssd", ""}, {"quick", "x", ""}} {
		s := newScene(t, map[string]int{"w1+ssd": 2, "w2": 4}, "w1+ssd", "w2")
		s.Job("b", "batch", "a", "b")
		s.Start("b/a@w1")
		s.Start("b/b@w1")
		s.Job("q", row.class, row.task)
		s.At += 100 * time.Millisecond
		s.Beat("w1", nil)
		s.update()
		pick, ok := s.d.PushOut(s.Ledger, "a", Held{})
		got := ""
		if ok {
			got = pick.Picks[0].Job + "/" + pick.Picks[0].Task
			s.Must(ledger.Command{Kind: ledger.KindPushOut, Grant: ledger.Grant{Duty: ledgertest.Duty, Epoch: 1, Picks: pick.Picks, For: pick.For}})
		}
		if got != row.want {
			t.Errorf("%s %s: got %q, want %q", row.class, row.task, got, row.want)
		}
		without := s.Do(ledger.Command{Kind: ledger.KindPushOut, Grant: ledger.Grant{Duty: ledgertest.Duty, Epoch: 1, Picks: []ledger.Pick{{Job: "b", Task: "a", Worker: "w1"}}}})
		if without.Code != code.TaskNotOpen {
			t.Errorf("%s %s: a turn within its share goes for nobody: %v", row.class, row.task, without.Code)
		}
	}
}

// TestAPullLooksAtFewOfManyTasks keeps the cost of a pull from growing with
// what waits: a crowd of 500 tasks once took a scheduler a whole core.
func TestAPullLooksAtFewOfManyTasks(t *testing.T) {
	s := newScene(t, map[string]int{"w1": 4, "w2": 4}, "w1", "w2")
	for _, class := range []string{"quick", "batch"} {
		for i := range 500 {
			s.Job(class+string(rune('a'+i/26))+string(rune('a'+i%26)), class, "x", "y", "z<x,y")
		}
	}
	s.update()
	before := s.d.Counters.Looked
	if got, _ := s.next("w1", true); got == "" {
		t.Fatal("nothing was picked")
	}
	if looked := s.d.Counters.Looked - before; looked > 2*2*lookAt {
		t.Errorf("one pull looked at %d tasks", looked)
	}
}

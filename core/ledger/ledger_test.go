// Tables for the conditional writes: one failing rule and one code each, then
// the life of turns, and a copy that equals its original at every step.
package ledger_test

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"sorrelloom/core/code"
	"sorrelloom/core/ledger"
	"sorrelloom/core/ledgertest"
	"sorrelloom/core/machine"
)

func TestGrantIsBouncedByOneRuleEach(t *testing.T) {
	table := []struct {
		name    string
		prepare func(w *ledgertest.World)
		picks   []string
		want    code.Code
	}{
		{"open task", nil, []string{"j/a@w1"}, code.OK},
		{"whole gang", nil, []string{"g/x@w1", "g/y@w2"}, code.OK},
		{"dependency open", nil, []string{"j/b@w1"}, code.NotReleased},
		{"granted already", func(w *ledgertest.World) { w.Grant("j/a@w1") }, []string{"j/a@w2"}, code.TaskNotOpen},
		{"ended well", func(w *ledgertest.World) { w.Finish("j/a@w1") }, []string{"j/a@w1"}, code.TaskNotOpen},
		{"cancelled", func(w *ledgertest.World) { w.Must(ledger.Command{Kind: ledger.KindCancel, Name: "j"}) }, []string{"j/a@w1"}, code.JobCancelled},
		{"other service", nil, []string{"j/a@p1"}, code.WrongWorker},
		{"label missing", nil, []string{"l/a@w1"}, code.WrongWorker},
		{"label there", nil, []string{"l/a@w2"}, code.OK},
		{"room too small", nil, []string{"big/a@w3"}, code.NoRoom},
		{"room taken by a turn not yet listed", func(w *ledgertest.World) { w.Grant("j/a@w3") }, []string{"k/a@w3"}, code.NoRoom},
		{"leaving", func(w *ledgertest.World) { w.Beat("w1", func(b *ledger.Beat) { b.Leaving = true }) }, []string{"j/a@w1"}, code.Draining},
		{"drained", func(w *ledgertest.World) { w.Must(ledger.Command{Kind: ledger.KindDrain, Name: "w1", On: true}) }, []string{"j/a@w1"}, code.Draining},
		{"site emptied", func(w *ledgertest.World) { w.Must(ledger.Command{Kind: ledger.KindSite, Name: "a", On: true}) }, []string{"j/a@w1"}, code.SiteEmptied},
		{"site refilled", func(w *ledgertest.World) {
			w.Must(ledger.Command{Kind: ledger.KindSite, Name: "a", On: true})
			w.Must(ledger.Command{Kind: ledger.KindSite, Name: "a"})
		}, []string{"j/a@w1"}, code.OK},
		{"worker silent", func(w *ledgertest.World) { w.Pass(31 * time.Second) }, []string{"j/a@w1"}, code.WorkerSilent},
		{"duty passed on", func(w *ledgertest.World) {
			w.Must(ledger.Command{Kind: ledger.KindHello, Hello: ledger.Hello{Daemon: "s2", Site: "a"}})
			w.Must(ledger.Command{Kind: ledger.KindHello, Hello: ledger.Hello{Daemon: "s1", Want: "dispatch/a", Epoch: 1, Pass: true, For: "s2"}})
		}, []string{"stale", "j/a@w1"}, code.StaleEpoch},
		{"gang in part", nil, []string{"g/x@w1"}, code.GangBroken},
		{"two jobs in one", nil, []string{"j/a@w1", "k/a@w1"}, code.GangBroken},
		{"over share while the owner waits", nil, []string{"small/a@w1"}, code.OverShare},
		{"borrowed while nobody waits", func(w *ledgertest.World) {
			for _, id := range []string{"j", "k", "l", "big", "g"} {
				w.Do(ledger.Command{Kind: ledger.KindCancel, Name: id})
			}
		}, []string{"small/a@w1"}, code.OK},
		{"unknown job", nil, []string{"nobody/a@w1"}, code.UnknownJob},
		{"unknown worker", nil, []string{"j/a@nobody"}, code.UnknownName},
	}
	for _, row := range table {
		t.Run(row.name, func(t *testing.T) {
			w := ledgertest.New(t)
			w.Worker("w1", 4)
			w.Worker("w2+ssd", 4)
			w.Worker("w3", 1)
			w.Worker("podcasts/p1", 4)
			w.Job("j", "quick", "a", "b<a")
			w.Job("k", "quick", "a")
			w.Job("l", "quick", "a+ssd")
			w.Job("big", "quick", "a:2")
			w.Job("g", "batch", "x[g]", "y[g]")
			w.Job("small", "small", "a")
			if row.prepare != nil {
				row.prepare(w)
			}
			var got code.Code
			if row.picks[0] == "stale" {
				got = w.Do(ledger.Command{Kind: ledger.KindGrant, Grant: ledger.Grant{Duty: ledgertest.Duty, Epoch: 1, Picks: []ledger.Pick{{Job: "j", Task: "a", Worker: "w1"}}}}).Code
			} else {
				got = w.Grant(row.picks...)
			}
			if got != row.want {
				t.Errorf("got %v, want %v", got, row.want)
			}
			same(t, w.Ledger)
		})
	}
}

// same loads a copy from the records and compares it with the original.
func same(t *testing.T, l *ledger.Ledger) {
	t.Helper()
	copied, err := ledger.Load(l.Records())
	if err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff(l.Records(), copied.Records()); diff != "" {
		t.Errorf("a copy differs: %s", diff)
	}
	for _, service := range []string{"tickets", "podcasts"} {
		if diff := cmp.Diff(l.Busyness(service), copied.Busyness(service)); diff != "" {
			t.Errorf("busyness of %s: %s", service, diff)
		}
	}
}

func TestJobIsCheckedWithItsPlace(t *testing.T) {
	table := []struct {
		name string
		spec ledger.JobSpec
		want code.Code
	}{
		{"good", ledgertest.Spec("ok", "quick", "a", "b<a", "c<a,b"), code.OK},
		{"circle", ledgertest.Spec("c", "quick", "a<b", "b<a"), code.BadJob},
		{"self", ledgertest.Spec("c", "quick", "a<a"), code.BadJob},
		{"circle through a gang", ledgertest.Spec("c", "quick", "a[g]", "b[g]<c", "c<a"), code.BadJob},
		{"missing dependency", ledgertest.Spec("c", "quick", "a<z"), code.BadJob},
		{"task twice", ledgertest.Spec("c", "quick", "a", "a"), code.BadJob},
		{"no tasks", ledgertest.Spec("c", "quick"), code.BadJob},
		{"gang member after another", ledgertest.Spec("c", "quick", "a[g]", "b[g]<a"), code.BadJob},
		{"bad id", ledgertest.Spec("/", "quick", "a"), code.BadJob},
		{"unknown class", ledgertest.Spec("c", "none", "a"), code.UnknownClass},
		{"unknown service", ledger.JobSpec{ID: "c", Service: "none", Class: "quick", Tasks: []ledger.TaskSpec{{ID: "a"}}}, code.UnknownClass},
		{"no worker so large", ledgertest.Spec("c", "quick", "a:9"), code.Impossible},
		{"no such label", ledgertest.Spec("c", "quick", "a+moon"), code.Impossible},
		{"absurd room", ledger.JobSpec{ID: "c", Service: "tickets", Class: "quick", Tasks: []ledger.TaskSpec{{ID: "a", Room: ledger.Room{Slots: 1, Cores: -1}}}}, code.BadJob},
		{"inbox full", ledgertest.Spec("c", "small", "a", "b", "c", "d"), code.InboxFull},
	}
	for _, row := range table {
		t.Run(row.name, func(t *testing.T) {
			w := ledgertest.New(t)
			a := w.Do(ledger.Command{Kind: ledger.KindAccept, Accept: row.spec})
			if a.Code != row.want {
				t.Errorf("got %v %s, want %v", a.Code, a.Why, row.want)
			}
			if a.Code == code.InboxFull && a.RetryAfter <= 0 {
				t.Error("a full inbox must say when to come back")
			}
		})
	}
}

func TestSameJobIsTheSameAndOtherContentIsBounced(t *testing.T) {
	w := ledgertest.New(t)
	first, again, other := w.Job("j", "quick", "a"), w.Job("j", "quick", "a"), w.Job("j", "quick", "b")
	if first.Code != code.OK || again.Code != code.Same || other.Code != code.OtherContent {
		t.Errorf("got %v, %v, %v", first.Code, again.Code, other.Code)
	}
}

// TestTurnsGoBackByTheRules follows one task through what can happen to it.
func TestTurnsGoBackByTheRules(t *testing.T) {
	type want struct {
		state           string
		held            bool
		defects, losses int
	}
	silent := func(w *ledgertest.World, d time.Duration) { w.Pass(d) }
	table := []struct {
		name string
		do   func(w *ledgertest.World)
		want want
	}{
		{"good end", func(w *ledgertest.World) { w.Finish("j/a@w1") }, want{ledger.Done, false, 0, 0}},
		{"bad end counts once, though reported twice", func(w *ledgertest.World) {
			a := w.Start("j/a@w1")
			w.End("w1", ledger.End{Attempt: a})
			w.Beat("w1", func(b *ledger.Beat) { b.Ended = []ledger.End{{Attempt: a}} })
		}, want{ledger.Open, false, 1, 0}},
		{"defects spent", func(w *ledgertest.World) {
			for range 3 {
				w.End("w1", ledger.End{Attempt: w.Start("j/a@w1")})
			}
		}, want{ledger.Failed, false, 3, 0}},
		{"a start that never came is no defect", func(w *ledgertest.World) {
			w.Grant("j/a@w1")
			w.Beat("w1", nil)
			w.Beat("w1", nil)
		}, want{ledger.Open, false, 0, 0}},
		{"one beat after the grant may still bring the start", func(w *ledgertest.World) {
			w.Grant("j/a@w1")
			w.Beat("w1", nil)
		}, want{ledger.Open, true, 0, 0}},
		{"silent before the cutoff and margin", func(w *ledgertest.World) { w.Start("j/a@w1"); silent(w, 6900*time.Millisecond) }, want{ledger.Open, true, 0, 0}},
		{"silent past the cutoff and margin", func(w *ledgertest.World) { w.Start("j/a@w1"); silent(w, 7100*time.Millisecond) }, want{ledger.Open, false, 0, 1}},
		{"lost too often", func(w *ledgertest.World) {
			for range 3 {
				w.Start("j/a@w1")
				w.Beat("w1", func(b *ledger.Beat) { b.Running = nil })
			}
		}, want{ledger.Failed, false, 0, 3}},
		{"a new incarnation does not free what the old one may run", func(w *ledgertest.World) {
			w.Start("j/a@w1")
			w.Beat("w1", func(b *ledger.Beat) { b.Incarnation, b.Number, b.Running = 2, 1, nil })
			silent(w, 5*time.Second)
		}, want{ledger.Open, true, 0, 0}},
		{"it does once the old cutoff and the margin have passed", func(w *ledgertest.World) {
			w.Start("j/a@w1")
			w.Beat("w1", func(b *ledger.Beat) { b.Incarnation, b.Number, b.Running = 2, 1, nil })
			silent(w, 8*time.Second)
		}, want{ledger.Open, false, 0, 1}},
		{"a good end from an older attempt counts", func(w *ledgertest.World) {
			a := w.Start("j/a@w1")
			silent(w, 8*time.Second)
			w.Start("j/a@w2")
			w.End("w1", ledger.End{Attempt: a, Good: true})
		}, want{ledger.Done, true, 0, 1}},
		{"a worker that ran on has its turn again", func(w *ledgertest.World) {
			w.Start("j/a@w1")
			silent(w, 8*time.Second)
			w.Beat("w1", nil)
		}, want{ledger.Open, true, 0, 1}},
		{"run limit counts as a defect once the worker has stopped", func(w *ledgertest.World) {
			w.Must(ledger.Command{Kind: ledger.KindPlan, Plan: ledger.PlanChange{Base: 1, Patch: true, Body: []byte(`{"services":{"tickets":{"classes":{"quick":{"runLimit":"2s"}}}}}`)}})
			a := w.Start("j/a@w1")
			w.Pass(3 * time.Second)
			w.Beat("w1", nil)
			w.Pass(time.Second)
			w.End("w1", ledger.End{Attempt: a, Stopped: true})
		}, want{ledger.Open, false, 1, 0}},
		{"a good end while it was being stopped still counts", func(w *ledgertest.World) {
			a := w.Start("j/a@w1")
			w.Do(ledger.Command{Kind: ledger.KindCancel, Name: "j"})
			w.End("w1", ledger.End{Attempt: a, Good: true})
		}, want{ledger.Done, false, 0, 0}},
		{"cancelled while it runs", func(w *ledgertest.World) {
			w.Start("j/a@w1")
			w.Do(ledger.Command{Kind: ledger.KindCancel, Name: "j"})
		}, want{ledger.Cancelled, true, 0, 0}},
		{"cancelled and stopped", func(w *ledgertest.World) {
			a := w.Start("j/a@w1")
			w.Do(ledger.Command{Kind: ledger.KindCancel, Name: "j"})
			w.End("w1", ledger.End{Attempt: a, Stopped: true})
		}, want{ledger.Cancelled, false, 0, 0}},
	}
	for _, row := range table {
		t.Run(row.name, func(t *testing.T) {
			w := ledgertest.New(t)
			w.Worker("w1", 4)
			w.Worker("w2", 4)
			w.Job("j", "quick", "a")
			row.do(w)
			task := w.Task("j/a")
			got := want{task.State, task.Turn.Held(), task.Defects, task.Losses}
			if got != row.want {
				t.Errorf("got %+v, want %+v", got, row.want)
			}
			job, _ := w.Ledger.Job("j")
			if finished := job.EndedAt > 0; finished != (task.Closed() && !task.Turn.Held()) {
				t.Errorf("job %s shows as finished: %v, task %+v", job.State, finished, task)
			}
			same(t, w.Ledger)
		})
	}
}

// TestSilenceFreesNothingThatMayStillRunOrHaveEnded follows one task whose
// worker goes silent: when, if ever, another may have it.
func TestSilenceFreesNothingThatMayStillRunOrHaveEnded(t *testing.T) {
	gone := func(w *ledgertest.World) code.Code {
		return w.Do(ledger.Command{Kind: ledger.KindGone, Name: "w1"}).Code
	}
	back := func(w *ledgertest.World, ends ...ledger.End) {
		w.Beat("w1", func(b *ledger.Beat) { b.Incarnation, b.Number, b.Running, b.Ended = 2, 1, nil, ends })
	}
	a := ledger.Attempt{Job: "j", Task: "a", Try: 1}
	table := []struct {
		name, class, silence string
		limit                time.Duration
		do                   func(w *ledgertest.World)
		held                 bool
		state                string
	}{
		{"restart: not while the run limit lasts, though the lease is over", "quick", "", 30 * time.Second, func(w *ledgertest.World) { w.Pass(30 * time.Second) }, true, ledger.Open},
		{"restart: once the run limit and the margin are over", "quick", "", 30 * time.Second, func(w *ledgertest.World) { w.Pass(32 * time.Second) }, false, ledger.Open},
		{"restart: not while the lease lasts, though the run limit is over", "quick", "", time.Second, func(w *ledgertest.World) { w.Pass(6 * time.Second) }, true, ledger.Open},
		{"hold: for a day", "batch", "", time.Second, func(w *ledgertest.World) { w.Pass(24 * time.Hour) }, true, ledger.Open},
		{"hold by the task in a class that restarts", "quick", "hold", time.Second, func(w *ledgertest.World) { w.Pass(time.Hour) }, true, ledger.Open},
		{"restart by the task in a class that holds", "batch", "restart", time.Second, func(w *ledgertest.World) { w.Pass(time.Hour) }, false, ledger.Open},
		{"hold: heard again, it runs on", "batch", "", time.Minute, func(w *ledgertest.World) { w.Pass(time.Hour); w.Beat("w1", nil) }, true, ledger.Open},
		{"hold: heard again, it ended well meanwhile", "batch", "", time.Minute, func(w *ledgertest.World) {
			w.Pass(time.Hour)
			w.End("w1", ledger.End{Attempt: a, Good: true})
		}, false, ledger.Done},
		{"hold: heard again, it does not run", "batch", "", time.Minute, func(w *ledgertest.World) {
			w.Pass(time.Hour)
			w.Beat("w1", func(b *ledger.Beat) { b.Running = nil })
		}, false, ledger.Open},
		{"hold: restarted with a note of the good end", "batch", "", time.Second, func(w *ledgertest.World) {
			w.Pass(time.Hour)
			back(w, ledger.End{Attempt: a, Good: true})
		}, false, ledger.Done},
		{"hold: restarted without one, the old run may still last", "batch", "", time.Minute, func(w *ledgertest.World) { w.Pass(20 * time.Second); back(w); w.Pass(20 * time.Second) }, true, ledger.Open},
		{"hold: restarted without one, and the old run is over", "batch", "", time.Minute, func(w *ledgertest.World) { w.Pass(50 * time.Second); back(w); w.Pass(12 * time.Second) }, false, ledger.Open},
		{"an operator cannot say it of a worker that is heard", "batch", "", time.Second, func(w *ledgertest.World) {
			if c := gone(w); c != code.WorkerHeard {
				w.T.Errorf("gone: %v", c)
			}
			w.Pass(time.Hour)
		}, true, ledger.Open},
		{"an operator says that it is gone", "batch", "", time.Second, func(w *ledgertest.World) {
			w.Pass(time.Hour)
			if first, again := gone(w), gone(w); first != code.OK || again != code.Same {
				w.T.Errorf("gone: %v, %v", first, again)
			}
			w.Pass(time.Second)
		}, false, ledger.Open},
		{"an operator says so too early: the run limit still counts", "batch", "", 50 * time.Second, func(w *ledgertest.World) { w.Pass(40 * time.Second); gone(w); w.Pass(9 * time.Second) }, true, ledger.Open},
		{"a cancelled task is held no longer than it can run", "batch", "", time.Second, func(w *ledgertest.World) {
			w.Do(ledger.Command{Kind: ledger.KindCancel, Name: "j"})
			w.Pass(time.Hour)
		}, false, ledger.Cancelled},
	}
	for _, row := range table {
		t.Run(row.name, func(t *testing.T) {
			w := ledgertest.New(t)
			w.Worker("w1", 4)
			spec := ledgertest.Spec("j", row.class, "a")
			spec.Tasks[0].RunLimit.Duration, spec.Tasks[0].Silence = row.limit, row.silence
			w.Must(ledger.Command{Kind: ledger.KindAccept, Accept: spec})
			w.Start("j/a@w1")
			row.do(w)
			if task := w.Task("j/a"); task.Turn.Held() != row.held || task.State != row.state {
				t.Errorf("held %v, state %s; want %v, %s", task.Turn.Held(), task.State, row.held, row.state)
			}
			same(t, w.Ledger)
		})
	}
}

func TestStaleBeatsAreBounced(t *testing.T) {
	w := ledgertest.New(t)
	w.Worker("w1", 4)
	w.Beat("w1", nil)
	old := w.Do(ledger.Command{Kind: ledger.KindBeat, Beat: ledger.Beat{Worker: "w1", Incarnation: 1, Number: 1, Site: "a", Service: "tickets"}})
	if old.Code != code.StaleBeat || old.Orders.Incarnation != 1 {
		t.Errorf("got %v %+v", old.Code, old.Orders)
	}
}

func TestGangThatIsNotConfirmedGoesBackWhole(t *testing.T) {
	w := ledgertest.New(t)
	w.Worker("w1", 4)
	w.Worker("w2", 4)
	w.Job("g", "batch", "x[g]", "y[g]")
	if c := w.Grant("g/x@w1", "g/y@w2"); c != code.OK {
		t.Fatal(c)
	}
	x := ledger.Attempt{Job: "g", Task: "x", Try: 1}
	w.Beat("w1", func(b *ledger.Beat) { b.Running = []ledger.Attempt{x} })
	w.Pass(4100 * time.Millisecond)
	a := w.Beat("w1", nil)
	if len(a.Orders.Stops) != 1 || a.Orders.Stops[0] != x {
		t.Fatalf("the member that runs alone must be stopped: %+v", a.Orders)
	}
	w.End("w1", ledger.End{Attempt: x, Stopped: true})
	w.Beat("w2", nil)
	w.Beat("w2", nil)
	for _, at := range []string{"g/x", "g/y"} {
		if task := w.Task(at); task.State != ledger.Open || task.Turn.Held() || task.Defects != 0 || task.Losses != 0 {
			t.Errorf("%s: %+v", at, task)
		}
	}
	if c := w.Grant("g/x@w1", "g/y@w2"); c != code.OK {
		t.Errorf("the gang may start again, whole: %v", c)
	}
}

func TestBorrowedRoomIsAskedBack(t *testing.T) {
	w := ledgertest.New(t)
	w.Worker("w1", 2)
	w.Job("s", "small", "a")
	a := w.Start("s/a@w1")
	if !w.Task("s/a").Turn.Borrowed {
		t.Fatal("a class without a share can only borrow")
	}
	push := ledger.Command{Kind: ledger.KindPushOut, Grant: ledger.Grant{Duty: ledgertest.Duty, Epoch: 1, Picks: []ledger.Pick{{Job: "s", Task: "a", Worker: "w1"}}}}
	w.Must(push)
	if again := w.Do(push); again.Code != code.TaskNotOpen {
		t.Errorf("asked back twice: %v", again.Code)
	}
	if o := w.Beat("w1", nil).Orders; len(o.Stops) != 1 || o.Stops[0] != a {
		t.Errorf("orders %+v", o)
	}
	if task := w.Task("s/a"); !task.Turn.Held() {
		t.Error("the turn goes back only once the worker has stopped")
	}
	w.End("w1", ledger.End{Attempt: a, Stopped: true})
	if task := w.Task("s/a"); task.Turn.Held() || task.State != ledger.Open || task.Defects+task.Losses != 0 {
		t.Errorf("pushed out without fault: %+v", task)
	}
}

func TestPlanIsConditionalAndNeverGoesBack(t *testing.T) {
	w := ledgertest.New(t)
	patch := func(base uint64, token, body string) ledger.Answer {
		return w.Do(ledger.Command{Kind: ledger.KindPlan, Token: token, Plan: ledger.PlanChange{Base: base, Patch: true, Body: []byte(body)}})
	}
	table := []struct {
		base           uint64
		token, body    string
		want           code.Code
		wantedSequence uint64
	}{
		{1, "one", `{"limits":{"keep":"1h"}}`, code.OK, 2},
		{1, "two", `{"limits":{"keep":"2h"}}`, code.StalePlan, 2},
		{1, "one", `{"limits":{"keep":"1h"}}`, code.Same, 2},
		{2, "", `{"policies":{"order":"priority +"}}`, code.BadPolicy, 2},
		{2, "", `{"policies":{"order":"nothing"}}`, code.BadPolicy, 2},
		{2, "", `{"policies":{"borrow":"now() == now()"}}`, code.BadPolicy, 2},
		{2, "", `{"services":{"tickets":{"classes":{"quick":{"share":51}}}}}`, code.BadPlan, 2},
		{2, "", `{"services":{"tickets":{"classes":{"quick":{"shar":51}}}}}`, code.BadPlan, 2},
		{2, "", `{"limits":{"startBy":"7s"}}`, code.BadPlan, 2},
		{2, "", `[]`, code.Malformed, 2},
		{2, "", `{"policies":{"order":"priority + waited / 60"}}`, code.OK, 3},
	}
	for _, row := range table {
		a := patch(row.base, row.token, row.body)
		if a.Code != row.want || a.Sequence != row.wantedSequence || w.Ledger.Plan().Sequence != row.wantedSequence {
			t.Errorf("%s on %d: %v %s, sequence %d", row.body, row.base, a.Code, a.Why, a.Sequence)
		}
		same(t, w.Ledger)
	}
}

// TestARepeatedWriteBringsNoOlderStateBack: one operator asks, another acts, then
// the first one's request comes again, as it does after silence.
func TestARepeatedWriteBringsNoOlderStateBack(t *testing.T) {
	patch := func(limit string) ledger.Command {
		return ledger.Command{Kind: ledger.KindPlan, Plan: ledger.PlanChange{Forced: true, Patch: true, Body: []byte(`{"limits":{"keep":"` + limit + `"}}`)}}
	}
	pass := func(to string) ledger.Command {
		return ledger.Command{Kind: ledger.KindMove, Name: ledgertest.Duty, Hello: ledger.Hello{For: to}}
	}
	state := func(w *ledgertest.World) string {
		worker, _ := w.Ledger.Worker("w1")
		return fmt.Sprint(w.Ledger.Emptied(), worker.Drained, worker.Gone, w.Ledger.Duty(ledgertest.Duty).Holder, w.Ledger.Plan().Limits.Keep, w.Ledger.Plan().Sequence)
	}
	table := []struct {
		name string
		a, b ledger.Command
		want code.Code
	}{
		{"empty, refilled meanwhile", ledger.Command{Kind: ledger.KindSite, Name: "a", On: true}, ledger.Command{Kind: ledger.KindSite, Name: "a"}, code.Same},
		{"refill, emptied meanwhile", ledger.Command{Kind: ledger.KindSite, Name: "a"}, ledger.Command{Kind: ledger.KindSite, Name: "a", On: true}, code.Same},
		{"drain, undrained meanwhile", ledger.Command{Kind: ledger.KindDrain, Name: "w1", On: true}, ledger.Command{Kind: ledger.KindDrain, Name: "w1"}, code.Same},
		{"undrain, drained meanwhile", ledger.Command{Kind: ledger.KindDrain, Name: "w1"}, ledger.Command{Kind: ledger.KindDrain, Name: "w1", On: true}, code.Same},
		{"pass, passed back meanwhile", pass("s2"), pass("s1"), code.Same},
		{"a forced plan, changed meanwhile", patch("1h"), patch("2h"), code.Same},
		{"a bounce stays a bounce", ledger.Command{Kind: ledger.KindDrain, Name: "w9", On: true}, ledger.Command{Kind: ledger.KindSite, Name: "a", On: true}, code.UnknownName},
	}
	for _, row := range table {
		t.Run(row.name, func(t *testing.T) {
			w := ledgertest.New(t)
			w.Worker("w1", 4)
			w.Must(ledger.Command{Kind: ledger.KindHello, Hello: ledger.Hello{Daemon: "s2", Site: "a"}})
			row.a.Token, row.b.Token = "one", "two"
			w.Do(row.a)
			w.Must(row.b)
			before := state(w)
			copied, err := ledger.Load(w.Ledger.Records())
			if err != nil {
				t.Fatal(err)
			}
			w.Ledger = copied // the next primary
			if row.want == code.UnknownName {
				w.Worker("w9", 4)
			}
			if again := w.Do(row.a); again.Code != row.want || state(w) != before {
				t.Errorf("the repeat: %v %s, state %s, before %s", again.Code, again.Why, state(w), before)
			}
			other := row.a
			other.Name, other.Plan.Body = "b", []byte(`{"limits":{}}`)
			if a := w.Do(other); a.Code != code.OtherRequest || state(w) != before {
				t.Errorf("another request with the same key: %v", a.Code)
			}
			w.Pass(ledger.RequestsFor + time.Second)
			if late := w.Do(row.a); late.Code != code.TooLate || state(w) != before {
				t.Errorf("once it is forgotten: %v %s", late.Code, late.Why)
			}
			same(t, w.Ledger)
		})
	}
}

// TestAnEndedJobIsNotStartedAgain hands jobs in again after their records are
// gone, and after they are forgotten.
func TestAnEndedJobIsNotStartedAgain(t *testing.T) {
	w := ledgertest.New(t)
	w.Must(ledger.Command{Kind: ledger.KindPlan, Plan: ledger.PlanChange{Base: 1, Patch: true, Body: []byte(`{"limits":{"keep":"1m","remember":"1h","rememberMax":2}}`)}})
	w.Worker("w1", 4)
	for _, id := range []string{"j", "k", "l"} {
		w.Job(id, "quick", "a")
		w.Finish(id + "/a@w1")
		w.Pass(2 * time.Minute)
		w.Pass(time.Second)
		w.Beat("w1", nil)
	}
	ask := func(id, task string) (code.Code, string) {
		a := w.Job(id, "quick", task)
		same(t, w.Ledger)
		return a.Code, a.Job.State
	}
	for _, row := range []struct {
		id, task string
		want     code.Code
		state    string
	}{
		{"l", "a", code.Same, ledger.Done}, {"l", "b", code.OtherContent, ""}, {"k", "a", code.Same, ledger.Done},
		{"j", "a", code.OK, ledger.Waiting}, // the oldest of three, and two are remembered
	} {
		if c, state := ask(row.id, row.task); c != row.want || state != row.state {
			t.Errorf("%s again with %s: %v %s, want %v %s", row.id, row.task, c, state, row.want, row.state)
		}
	}
	if a := w.Do(ledger.Command{Kind: ledger.KindCancel, Name: "l"}); a.Code != code.Same || a.Job.State != ledger.Done {
		t.Errorf("cancel of a past job: %v %s", a.Code, a.Job.State)
	}
	if a := w.Ledger.Unknown("x"); a.Code != code.UnknownJob || !strings.Contains(a.Why, "ended over") {
		t.Errorf("unknown: %v %s", a.Code, a.Why)
	}
	w.Pass(2 * time.Hour)
	if c, _ := ask("l", "a"); c != code.OK {
		t.Errorf("after the hour: %v", c)
	}
}

// TestNamesThatDoNotExistAreBounced changes nothing, and names those that do.
func TestNamesThatDoNotExistAreBounced(t *testing.T) {
	for _, row := range []struct {
		cmd  ledger.Command
		says string
	}{
		{ledger.Command{Kind: ledger.KindSite, Name: "aa", On: true}, "known are: a"},
		{ledger.Command{Kind: ledger.KindSite, Name: "", On: true}, "known are: a"},
		{ledger.Command{Kind: ledger.KindDrain, Name: "w2", On: true}, "known are: w1"},
		{ledger.Command{Kind: ledger.KindGone, Name: "w2"}, "known are: w1"},
		{ledger.Command{Kind: ledger.KindMove, Name: "dispatch/b", Hello: ledger.Hello{For: "s1"}}, "known are: dispatch/a"},
		{ledger.Command{Kind: ledger.KindMove, Name: ledgertest.Duty, Hello: ledger.Hello{For: "s9"}}, "known are: s1"},
	} {
		w := ledgertest.New(t)
		w.Worker("w1", 4)
		before := w.Ledger.Records()
		a := w.Do(row.cmd)
		if a.Code != code.UnknownName || !strings.Contains(a.Why, row.says) {
			t.Errorf("%s %q: %v %s", row.cmd.Kind, row.cmd.Name, a.Code, a.Why)
		}
		ignored := func(r []machine.Record) []machine.Record {
			return slices.DeleteFunc(slices.Clone(r), func(r machine.Record) bool { return r.Key == "position" })
		}
		if diff := cmp.Diff(ignored(before), ignored(w.Ledger.Records())); diff != "" {
			t.Errorf("%s %q changed: %s", row.cmd.Kind, row.cmd.Name, diff)
		}
	}
}

func TestDutyMovesByItsHolderOrByAMajority(t *testing.T) {
	w := ledgertest.New(t)
	hello := func(h ledger.Hello) code.Code {
		return w.Do(ledger.Command{Kind: ledger.KindHello, Hello: h}).Code
	}
	vote := func(by, to string, epoch uint64) code.Code {
		return hello(ledger.Hello{Daemon: by, Want: ledgertest.Duty, For: to, Epoch: epoch})
	}
	all := func() {
		for _, id := range []string{"s2", "s3", "s4", "s5"} {
			hello(ledger.Hello{Daemon: id})
		}
	}
	all()
	if c := vote("s2", "s2", 1); c != code.StaleEpoch {
		t.Errorf("a vote while the holder is alive: %v", c)
	}
	w.Pass(20 * time.Second)
	all()
	steps := []struct {
		by, to string
		epoch  uint64
		holder string
	}{{"s2", "s2", 1, "s1"}, {"s3", "s3", 1, "s1"}, {"s4", "s2", 1, "s1"}, {"s5", "s2", 0, "s1"}, {"s3", "s2", 1, "s2"}, {"s4", "s4", 1, "s2"}}
	for i, step := range steps {
		vote(step.by, step.to, step.epoch)
		if d := w.Ledger.Duty(ledgertest.Duty); d.Holder != step.holder {
			t.Fatalf("step %d: held by %s, want %s; %+v", i, d.Holder, step.holder, d)
		}
	}
	if c := hello(ledger.Hello{Daemon: "s3", Want: ledgertest.Duty, For: "s3", Epoch: 2, Pass: true}); c != code.StaleEpoch {
		t.Errorf("only the holder names a successor: %v", c)
	}
	if c := hello(ledger.Hello{Daemon: "s2", Want: ledgertest.Duty, For: "s3", Epoch: 2, Pass: true}); c != code.OK || w.Ledger.Duty(ledgertest.Duty).Holder != "s3" {
		t.Errorf("the holder names its successor: %v", c)
	}
	same(t, w.Ledger)
}

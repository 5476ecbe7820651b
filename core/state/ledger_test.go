// Tables for the conditional writes: one failing rule and one code each, then
// the life of turns, and a copy that equals its original at every step.

package state_test

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"sorrelloom/core/machine"
	"sorrelloom/core/state"
	"sorrelloom/core/statetest"
	"sorrelloom/core/status"
)

func TestGrantIsBouncedByOneRuleEach(t *testing.T) {
	table := []struct {
		name    string
		prepare func(w *statetest.Fixture)
		picks   []string
		want    status.Code
	}{
		{"open task", nil, []string{"j/a@w1"}, status.OK},
		{"whole gang", nil, []string{"g/x@w1", "g/y@w2"}, status.OK},
		{"dependency open", nil, []string{"j/b@w1"}, status.DependenciesUnmet},
		{"granted already", func(w *statetest.Fixture) { w.Grant("j/a@w1") }, []string{"j/a@w2"}, status.TaskNotPending},
		{"ended well", func(w *statetest.Fixture) { w.FinishTask("j/a@w1") }, []string{"j/a@w1"}, status.TaskNotPending},
		{"cancelled", func(w *statetest.Fixture) { w.MustApply(state.Command{Kind: state.KindCancelJob, Name: "j"}) }, []string{"j/a@w1"}, status.JobCancelled},
		{"other service", nil, []string{"j/a@p1"}, status.WorkerMismatch},
		{"label missing", nil, []string{"l/a@w1"}, status.WorkerMismatch},
		{"label there", nil, []string{"l/a@w2"}, status.OK},
		{"room too small", nil, []string{"big/a@w3"}, status.InsufficientResources},
		{"room taken by a turn not yet listed", func(w *statetest.Fixture) { w.Grant("j/a@w3") }, []string{"k/a@w3"}, status.InsufficientResources},
		{"leaving", func(w *statetest.Fixture) { w.Heartbeat("w1", func(b *state.Heartbeat) { b.Leaving = true }) }, []string{"j/a@w1"}, status.Draining},
		{"drained", func(w *statetest.Fixture) {
			w.MustApply(state.Command{Kind: state.KindDrainWorker, Name: "w1", Drain: true})
		}, []string{"j/a@w1"}, status.Draining},
		{"site emptied", func(w *statetest.Fixture) {
			w.MustApply(state.Command{Kind: state.KindDrainZone, Name: "a", Drain: true})
		}, []string{"j/a@w1"}, status.ZoneDrained},
		{"site refilled", func(w *statetest.Fixture) {
			w.MustApply(state.Command{Kind: state.KindDrainZone, Name: "a", Drain: true})
			w.MustApply(state.Command{Kind: state.KindDrainZone, Name: "a"})
		}, []string{"j/a@w1"}, status.OK},
		{"worker silent", func(w *statetest.Fixture) { w.Advance(31 * time.Second) }, []string{"j/a@w1"}, status.WorkerUnresponsive},
		{"duty passed on", func(w *statetest.Fixture) {
			w.MustApply(state.Command{Kind: state.KindSchedulerHeartbeat, SchedulerHeartbeat: state.SchedulerHeartbeat{Scheduler: "s2", Zone: "a"}})
			w.MustApply(state.Command{Kind: state.KindSchedulerHeartbeat, SchedulerHeartbeat: state.SchedulerHeartbeat{Scheduler: "s1", Leadership: "dispatch/a", Epoch: 1, Transfer: true, Candidate: "s2"}})
		}, []string{"stale", "j/a@w1"}, status.StaleEpoch},
		{"gang in part", nil, []string{"g/x@w1"}, status.GangIncomplete},
		{"two jobs in one", nil, []string{"j/a@w1", "k/a@w1"}, status.GangIncomplete},
		{"over share while the owner waits", nil, []string{"small/a@w1"}, status.QuotaExceeded},
		{"borrowed while nobody waits", func(w *statetest.Fixture) {
			for _, id := range []string{"j", "k", "l", "big", "g"} {
				w.Apply(state.Command{Kind: state.KindCancelJob, Name: id})
			}
		}, []string{"small/a@w1"}, status.OK},
		{"unknown job", nil, []string{"nobody/a@w1"}, status.UnknownJob},
		{"unknown worker", nil, []string{"j/a@nobody"}, status.UnknownName},
	}
	for _, row := range table {
		t.Run(row.name, func(t *testing.T) {
			w := statetest.New(t)
			w.AddWorker("w1", 4)
			w.AddWorker("w2+ssd", 4)
			w.AddWorker("w3", 1)
			w.AddWorker("podcasts/p1", 4)
			w.AcceptJob("j", "quick", "a", "b<a")
			w.AcceptJob("k", "quick", "a")
			w.AcceptJob("l", "quick", "a+ssd")
			w.AcceptJob("big", "quick", "a:2")
			w.AcceptJob("g", "batch", "x[g]", "y[g]")
			w.AcceptJob("small", "small", "a")
			if row.prepare != nil {
				row.prepare(w)
			}
			var got status.Code
			if row.picks[0] == "stale" {
				got = w.Apply(state.Command{Kind: state.KindGrantLeases, Grant: state.Grant{Leadership: statetest.Leadership, Epoch: 1, Assignments: []state.Assignment{{Job: "j", Task: "a", Worker: "w1"}}}}).Code
			} else {
				got = w.Grant(row.picks...)
			}
			if got != row.want {
				t.Errorf("got %v, want %v", got, row.want)
			}
			same(t, w.Store)
		})
	}
}

// same loads a copy from the records and compares it with the original.
func same(t *testing.T, l *state.Store) {
	t.Helper()
	copied, err := state.Load(l.Records())
	if err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff(l.Records(), copied.Records()); diff != "" {
		t.Errorf("a copy differs: %s", diff)
	}
	for _, service := range []string{"tickets", "podcasts"} {
		if diff := cmp.Diff(l.ServiceLoad(service), copied.ServiceLoad(service)); diff != "" {
			t.Errorf("busyness of %s: %s", service, diff)
		}
	}
}

func TestJobIsCheckedWithItsPlace(t *testing.T) {
	table := []struct {
		name string
		spec state.JobSpec
		want status.Code
	}{
		{"good", statetest.JobSpec("ok", "quick", "a", "b<a", "c<a,b"), status.OK},
		{"circle", statetest.JobSpec("c", "quick", "a<b", "b<a"), status.InvalidJob},
		{"self", statetest.JobSpec("c", "quick", "a<a"), status.InvalidJob},
		{"circle through a gang", statetest.JobSpec("c", "quick", "a[g]", "b[g]<c", "c<a"), status.InvalidJob},
		{"missing dependency", statetest.JobSpec("c", "quick", "a<z"), status.InvalidJob},
		{"task twice", statetest.JobSpec("c", "quick", "a", "a"), status.InvalidJob},
		{"no tasks", statetest.JobSpec("c", "quick"), status.InvalidJob},
		{"gang member after another", statetest.JobSpec("c", "quick", "a[g]", "b[g]<a"), status.InvalidJob},
		{"bad id", statetest.JobSpec("/", "quick", "a"), status.InvalidJob},
		{"unknown class", statetest.JobSpec("c", "none", "a"), status.UnknownClass},
		{"unknown service", state.JobSpec{ID: "c", Service: "none", Class: "quick", Tasks: []state.TaskSpec{{ID: "a"}}}, status.UnknownClass},
		{"no worker so large", statetest.JobSpec("c", "quick", "a:9"), status.Unsatisfiable},
		{"no such label", statetest.JobSpec("c", "quick", "a+moon"), status.Unsatisfiable},
		{"absurd room", state.JobSpec{ID: "c", Service: "tickets", Class: "quick", Tasks: []state.TaskSpec{{ID: "a", Resources: state.Resources{Slots: 1, Cores: -1}}}}, status.InvalidJob},
		{"inbox full", statetest.JobSpec("c", "small", "a", "b", "c", "d"), status.QueueFull},
	}
	for _, row := range table {
		t.Run(row.name, func(t *testing.T) {
			w := statetest.New(t)
			a := w.Apply(state.Command{Kind: state.KindAcceptJob, Job: row.spec})
			if a.Code != row.want {
				t.Errorf("got %v %s, want %v", a.Code, a.Reason, row.want)
			}
			if a.Code == status.QueueFull && a.RetryAfter <= 0 {
				t.Error("a full inbox must say when to come back")
			}
		})
	}
}

func TestSameJobIsTheSameAndOtherContentIsBounced(t *testing.T) {
	w := statetest.New(t)
	first, again, other := w.AcceptJob("j", "quick", "a"), w.AcceptJob("j", "quick", "a"), w.AcceptJob("j", "quick", "b")
	if first.Code != status.OK || again.Code != status.AlreadyDone || other.Code != status.JobConflict {
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
	silent := func(w *statetest.Fixture, d time.Duration) { w.Advance(d) }
	table := []struct {
		name string
		do   func(w *statetest.Fixture)
		want want
	}{
		{"good end", func(w *statetest.Fixture) { w.FinishTask("j/a@w1") }, want{state.Done, false, 0, 0}},
		{"bad end counts once, though reported twice", func(w *statetest.Fixture) {
			a := w.StartTask("j/a@w1")
			w.EndAttempt("w1", state.AttemptResult{Attempt: a})
			w.Heartbeat("w1", func(b *state.Heartbeat) { b.Ended = []state.AttemptResult{{Attempt: a}} })
		}, want{state.Ready, false, 1, 0}},
		{"defects spent", func(w *statetest.Fixture) {
			for range 3 {
				w.EndAttempt("w1", state.AttemptResult{Attempt: w.StartTask("j/a@w1")})
			}
		}, want{state.Failed, false, 3, 0}},
		{"a start that never came is no defect", func(w *statetest.Fixture) {
			w.Grant("j/a@w1")
			w.Heartbeat("w1", nil)
			w.Heartbeat("w1", nil)
		}, want{state.Ready, false, 0, 0}},
		{"one beat after the grant may still bring the start", func(w *statetest.Fixture) {
			w.Grant("j/a@w1")
			w.Heartbeat("w1", nil)
		}, want{state.Ready, true, 0, 0}},
		{"silent before the cutoff and margin", func(w *statetest.Fixture) { w.StartTask("j/a@w1"); silent(w, 6900*time.Millisecond) }, want{state.Ready, true, 0, 0}},
		{"silent past the cutoff and margin", func(w *statetest.Fixture) { w.StartTask("j/a@w1"); silent(w, 7100*time.Millisecond) }, want{state.Ready, false, 0, 1}},
		{"lost too often", func(w *statetest.Fixture) {
			for range 3 {
				w.StartTask("j/a@w1")
				w.Heartbeat("w1", func(b *state.Heartbeat) { b.Running = nil })
			}
		}, want{state.Failed, false, 0, 3}},
		{"a new incarnation does not free what the old one may run", func(w *statetest.Fixture) {
			w.StartTask("j/a@w1")
			w.Heartbeat("w1", func(b *state.Heartbeat) { b.Incarnation, b.Number, b.Running = 2, 1, nil })
			silent(w, 5*time.Second)
		}, want{state.Ready, true, 0, 0}},
		{"it does once the old cutoff and the margin have passed", func(w *statetest.Fixture) {
			w.StartTask("j/a@w1")
			w.Heartbeat("w1", func(b *state.Heartbeat) { b.Incarnation, b.Number, b.Running = 2, 1, nil })
			silent(w, 8*time.Second)
		}, want{state.Ready, false, 0, 1}},
		{"a good end from an older attempt counts", func(w *statetest.Fixture) {
			a := w.StartTask("j/a@w1")
			silent(w, 8*time.Second)
			w.StartTask("j/a@w2")
			w.EndAttempt("w1", state.AttemptResult{Attempt: a, Succeeded: true})
		}, want{state.Done, true, 0, 1}},
		{"a worker that ran on has its turn again", func(w *statetest.Fixture) {
			w.StartTask("j/a@w1")
			silent(w, 8*time.Second)
			w.Heartbeat("w1", nil)
		}, want{state.Ready, true, 0, 1}},
		{"run limit counts as a defect once the worker has stopped", func(w *statetest.Fixture) {
			w.MustApply(state.Command{Kind: state.KindChangeConfig, ConfigChange: state.ConfigChange{BaseVersion: 1, Patch: true, Body: []byte(`{"services":{"tickets":{"classes":{"quick":{"runLimit":"2s"}}}}}`)}})
			a := w.StartTask("j/a@w1")
			w.Advance(3 * time.Second)
			w.Heartbeat("w1", nil)
			w.Advance(time.Second)
			w.EndAttempt("w1", state.AttemptResult{Attempt: a, Stopped: true})
		}, want{state.Ready, false, 1, 0}},
		{"a good end while it was being stopped still counts", func(w *statetest.Fixture) {
			a := w.StartTask("j/a@w1")
			w.Apply(state.Command{Kind: state.KindCancelJob, Name: "j"})
			w.EndAttempt("w1", state.AttemptResult{Attempt: a, Succeeded: true})
		}, want{state.Done, false, 0, 0}},
		{"cancelled while it runs", func(w *statetest.Fixture) {
			w.StartTask("j/a@w1")
			w.Apply(state.Command{Kind: state.KindCancelJob, Name: "j"})
		}, want{state.Cancelled, true, 0, 0}},
		{"cancelled and stopped", func(w *statetest.Fixture) {
			a := w.StartTask("j/a@w1")
			w.Apply(state.Command{Kind: state.KindCancelJob, Name: "j"})
			w.EndAttempt("w1", state.AttemptResult{Attempt: a, Stopped: true})
		}, want{state.Cancelled, false, 0, 0}},
	}
	for _, row := range table {
		t.Run(row.name, func(t *testing.T) {
			w := statetest.New(t)
			w.AddWorker("w1", 4)
			w.AddWorker("w2", 4)
			w.AcceptJob("j", "quick", "a")
			row.do(w)
			task := w.Task("j/a")
			got := want{task.State, task.Lease.Held(), task.Failures, task.Losses}
			if got != row.want {
				t.Errorf("got %+v, want %+v", got, row.want)
			}
			job, _ := w.Store.Job("j")
			if finished := job.EndedAt > 0; finished != (task.Terminal() && !task.Lease.Held()) {
				t.Errorf("job %s shows as finished: %v, task %+v", job.State, finished, task)
			}
			same(t, w.Store)
		})
	}
}

// TestSilenceFreesNothingThatMayStillRunOrHaveEnded follows one task whose
// worker goes silent: when, if ever, another may have it.
func TestSilenceFreesNothingThatMayStillRunOrHaveEnded(t *testing.T) {
	gone := func(w *statetest.Fixture) status.Code {
		return w.Apply(state.Command{Kind: state.KindConfirmWorkerDead, Name: "w1"}).Code
	}
	back := func(w *statetest.Fixture, ends ...state.AttemptResult) {
		w.Heartbeat("w1", func(b *state.Heartbeat) { b.Incarnation, b.Number, b.Running, b.Ended = 2, 1, nil, ends })
	}
	a := state.Attempt{Job: "j", Task: "a", Number: 1}
	table := []struct {
		name, class, silence string
		limit                time.Duration
		do                   func(w *statetest.Fixture)
		held                 bool
		state                string
	}{
		{"restart: not while the run limit lasts, though the lease is over", "quick", "", 30 * time.Second, func(w *statetest.Fixture) { w.Advance(30 * time.Second) }, true, state.Ready},
		{"restart: once the run limit and the margin are over", "quick", "", 30 * time.Second, func(w *statetest.Fixture) { w.Advance(32 * time.Second) }, false, state.Ready},
		{"restart: not while the lease lasts, though the run limit is over", "quick", "", time.Second, func(w *statetest.Fixture) { w.Advance(6 * time.Second) }, true, state.Ready},
		{"hold: for a day", "batch", "", time.Second, func(w *statetest.Fixture) { w.Advance(24 * time.Hour) }, true, state.Ready},
		{"hold by the task in a class that restarts", "quick", "hold", time.Second, func(w *statetest.Fixture) { w.Advance(time.Hour) }, true, state.Ready},
		{"restart by the task in a class that holds", "batch", "restart", time.Second, func(w *statetest.Fixture) { w.Advance(time.Hour) }, false, state.Ready},
		{"hold: heard again, it runs on", "batch", "", time.Minute, func(w *statetest.Fixture) { w.Advance(time.Hour); w.Heartbeat("w1", nil) }, true, state.Ready},
		{"hold: heard again, it ended well meanwhile", "batch", "", time.Minute, func(w *statetest.Fixture) {
			w.Advance(time.Hour)
			w.EndAttempt("w1", state.AttemptResult{Attempt: a, Succeeded: true})
		}, false, state.Done},
		{"hold: heard again, it does not run", "batch", "", time.Minute, func(w *statetest.Fixture) {
			w.Advance(time.Hour)
			w.Heartbeat("w1", func(b *state.Heartbeat) { b.Running = nil })
		}, false, state.Ready},
		{"hold: restarted with a note of the good end", "batch", "", time.Second, func(w *statetest.Fixture) {
			w.Advance(time.Hour)
			back(w, state.AttemptResult{Attempt: a, Succeeded: true})
		}, false, state.Done},
		{"hold: restarted without one, the old run may still last", "batch", "", time.Minute, func(w *statetest.Fixture) { w.Advance(20 * time.Second); back(w); w.Advance(20 * time.Second) }, true, state.Ready},
		{"hold: restarted without one, and the old run is over", "batch", "", time.Minute, func(w *statetest.Fixture) { w.Advance(50 * time.Second); back(w); w.Advance(12 * time.Second) }, false, state.Ready},
		{"an operator cannot say it of a worker that is heard", "batch", "", time.Second, func(w *statetest.Fixture) {
			if c := gone(w); c != status.WorkerAlive {
				w.T.Errorf("gone: %v", c)
			}
			w.Advance(time.Hour)
		}, true, state.Ready},
		{"an operator says that it is gone", "batch", "", time.Second, func(w *statetest.Fixture) {
			w.Advance(time.Hour)
			if first, again := gone(w), gone(w); first != status.OK || again != status.AlreadyDone {
				w.T.Errorf("gone: %v, %v", first, again)
			}
			w.Advance(time.Second)
		}, false, state.Ready},
		{"an operator says so too early: the run limit still counts", "batch", "", 50 * time.Second, func(w *statetest.Fixture) { w.Advance(40 * time.Second); gone(w); w.Advance(9 * time.Second) }, true, state.Ready},
		{"a cancelled task is held no longer than it can run", "batch", "", time.Second, func(w *statetest.Fixture) {
			w.Apply(state.Command{Kind: state.KindCancelJob, Name: "j"})
			w.Advance(time.Hour)
		}, false, state.Cancelled},
	}
	for _, row := range table {
		t.Run(row.name, func(t *testing.T) {
			w := statetest.New(t)
			w.AddWorker("w1", 4)
			spec := statetest.JobSpec("j", row.class, "a")
			spec.Tasks[0].RunLimit.Duration, spec.Tasks[0].LostWorkerPolicy = row.limit, row.silence
			w.MustApply(state.Command{Kind: state.KindAcceptJob, Job: spec})
			w.StartTask("j/a@w1")
			row.do(w)
			if task := w.Task("j/a"); task.Lease.Held() != row.held || task.State != row.state {
				t.Errorf("held %v, state %s; want %v, %s", task.Lease.Held(), task.State, row.held, row.state)
			}
			same(t, w.Store)
		})
	}
}

func TestStaleBeatsAreBounced(t *testing.T) {
	w := statetest.New(t)
	w.AddWorker("w1", 4)
	w.Heartbeat("w1", nil)
	old := w.Apply(state.Command{Kind: state.KindHeartbeat, Heartbeat: state.Heartbeat{Worker: "w1", Incarnation: 1, Number: 1, Zone: "a", Service: "tickets"}})
	if old.Code != status.StaleHeartbeat || old.Heartbeat.Incarnation != 1 {
		t.Errorf("got %v %+v", old.Code, old.Heartbeat)
	}
}

func TestGangThatIsNotConfirmedGoesBackWhole(t *testing.T) {
	w := statetest.New(t)
	w.AddWorker("w1", 4)
	w.AddWorker("w2", 4)
	w.AcceptJob("g", "batch", "x[g]", "y[g]")
	if c := w.Grant("g/x@w1", "g/y@w2"); c != status.OK {
		t.Fatal(c)
	}
	x := state.Attempt{Job: "g", Task: "x", Number: 1}
	w.Heartbeat("w1", func(b *state.Heartbeat) { b.Running = []state.Attempt{x} })
	w.Advance(4100 * time.Millisecond)
	a := w.Heartbeat("w1", nil)
	if len(a.Heartbeat.Stops) != 1 || a.Heartbeat.Stops[0] != x {
		t.Fatalf("the member that runs alone must be stopped: %+v", a.Heartbeat)
	}
	w.EndAttempt("w1", state.AttemptResult{Attempt: x, Stopped: true})
	w.Heartbeat("w2", nil)
	w.Heartbeat("w2", nil)
	for _, at := range []string{"g/x", "g/y"} {
		if task := w.Task(at); task.State != state.Ready || task.Lease.Held() || task.Failures != 0 || task.Losses != 0 {
			t.Errorf("%s: %+v", at, task)
		}
	}
	if c := w.Grant("g/x@w1", "g/y@w2"); c != status.OK {
		t.Errorf("the gang may start again, whole: %v", c)
	}
}

func TestBorrowedRoomIsAskedBack(t *testing.T) {
	w := statetest.New(t)
	w.AddWorker("w1", 2)
	w.AcceptJob("s", "small", "a")
	a := w.StartTask("s/a@w1")
	if !w.Task("s/a").Lease.Borrowed {
		t.Fatal("a class without a share can only borrow")
	}
	push := state.Command{Kind: state.KindPreempt, Grant: state.Grant{Leadership: statetest.Leadership, Epoch: 1, Assignments: []state.Assignment{{Job: "s", Task: "a", Worker: "w1"}}}}
	w.MustApply(push)
	if again := w.Apply(push); again.Code != status.TaskNotPending {
		t.Errorf("asked back twice: %v", again.Code)
	}
	if o := w.Heartbeat("w1", nil).Heartbeat; len(o.Stops) != 1 || o.Stops[0] != a {
		t.Errorf("orders %+v", o)
	}
	if task := w.Task("s/a"); !task.Lease.Held() {
		t.Error("the turn goes back only once the worker has stopped")
	}
	w.EndAttempt("w1", state.AttemptResult{Attempt: a, Stopped: true})
	if task := w.Task("s/a"); task.Lease.Held() || task.State != state.Ready || task.Failures+task.Losses != 0 {
		t.Errorf("pushed out without fault: %+v", task)
	}
}

func TestPlanIsConditionalAndNeverGoesBack(t *testing.T) {
	w := statetest.New(t)
	patch := func(base uint64, token, body string) state.Result {
		return w.Apply(state.Command{Kind: state.KindChangeConfig, IdempotencyKey: token, ConfigChange: state.ConfigChange{BaseVersion: base, Patch: true, Body: []byte(body)}})
	}
	table := []struct {
		base           uint64
		token, body    string
		want           status.Code
		wantedSequence uint64
	}{
		{1, "one", `{"limits":{"keep":"1h"}}`, status.OK, 2},
		{1, "two", `{"limits":{"keep":"2h"}}`, status.StaleConfig, 2},
		{1, "one", `{"limits":{"keep":"1h"}}`, status.AlreadyDone, 2},
		{2, "", `{"policies":{"order":"priority +"}}`, status.InvalidPolicy, 2},
		{2, "", `{"policies":{"order":"nothing"}}`, status.InvalidPolicy, 2},
		{2, "", `{"policies":{"borrow":"now() == now()"}}`, status.InvalidPolicy, 2},
		{2, "", `{"services":{"tickets":{"classes":{"quick":{"share":51}}}}}`, status.InvalidConfig, 2},
		{2, "", `{"services":{"tickets":{"classes":{"quick":{"shar":51}}}}}`, status.InvalidConfig, 2},
		{2, "", `{"limits":{"startBy":"7s"}}`, status.InvalidConfig, 2},
		{2, "", `[]`, status.Malformed, 2},
		{2, "", `{"policies":{"order":"priority + waited / 60"}}`, status.OK, 3},
	}
	for _, row := range table {
		a := patch(row.base, row.token, row.body)
		if a.Code != row.want || a.ConfigVersion != row.wantedSequence || w.Store.Config().Version != row.wantedSequence {
			t.Errorf("%s on %d: %v %s, sequence %d", row.body, row.base, a.Code, a.Reason, a.ConfigVersion)
		}
		same(t, w.Store)
	}
}

// TestARepeatedWriteBringsNoOlderStateBack: one operator asks, another acts, then
// the first one's request comes again, as it does after silence.
func TestARepeatedWriteBringsNoOlderStateBack(t *testing.T) {
	patch := func(limit string) state.Command {
		return state.Command{Kind: state.KindChangeConfig, ConfigChange: state.ConfigChange{Forced: true, Patch: true, Body: []byte(`{"limits":{"keep":"` + limit + `"}}`)}}
	}
	pass := func(to string) state.Command {
		return state.Command{Kind: state.KindTransferLeadership, Name: statetest.Leadership, SchedulerHeartbeat: state.SchedulerHeartbeat{Candidate: to}}
	}
	stateOf := func(w *statetest.Fixture) string {
		worker, _ := w.Store.Worker("w1")
		return fmt.Sprint(w.Store.DrainedZones(), worker.Drained, worker.ConfirmedDead, w.Store.Leadership(statetest.Leadership).Leader, w.Store.Config().Limits.FinishedRetention, w.Store.Config().Version)
	}
	table := []struct {
		name string
		a, b state.Command
		want status.Code
	}{
		{"empty, refilled meanwhile", state.Command{Kind: state.KindDrainZone, Name: "a", Drain: true}, state.Command{Kind: state.KindDrainZone, Name: "a"}, status.AlreadyDone},
		{"refill, emptied meanwhile", state.Command{Kind: state.KindDrainZone, Name: "a"}, state.Command{Kind: state.KindDrainZone, Name: "a", Drain: true}, status.AlreadyDone},
		{"drain, undrained meanwhile", state.Command{Kind: state.KindDrainWorker, Name: "w1", Drain: true}, state.Command{Kind: state.KindDrainWorker, Name: "w1"}, status.AlreadyDone},
		{"undrain, drained meanwhile", state.Command{Kind: state.KindDrainWorker, Name: "w1"}, state.Command{Kind: state.KindDrainWorker, Name: "w1", Drain: true}, status.AlreadyDone},
		{"pass, passed back meanwhile", pass("s2"), pass("s1"), status.AlreadyDone},
		{"a forced plan, changed meanwhile", patch("1h"), patch("2h"), status.AlreadyDone},
		{"a bounce stays a bounce", state.Command{Kind: state.KindDrainWorker, Name: "w9", Drain: true}, state.Command{Kind: state.KindDrainZone, Name: "a", Drain: true}, status.UnknownName},
	}
	for _, row := range table {
		t.Run(row.name, func(t *testing.T) {
			w := statetest.New(t)
			w.AddWorker("w1", 4)
			w.MustApply(state.Command{Kind: state.KindSchedulerHeartbeat, SchedulerHeartbeat: state.SchedulerHeartbeat{Scheduler: "s2", Zone: "a"}})
			row.a.IdempotencyKey, row.b.IdempotencyKey = "one", "two"
			w.Apply(row.a)
			w.MustApply(row.b)
			before := stateOf(w)
			copied, err := state.Load(w.Store.Records())
			if err != nil {
				t.Fatal(err)
			}
			w.Store = copied // the next primary
			if row.want == status.UnknownName {
				w.AddWorker("w9", 4)
			}
			if again := w.Apply(row.a); again.Code != row.want || stateOf(w) != before {
				t.Errorf("the repeat: %v %s, state %s, before %s", again.Code, again.Reason, stateOf(w), before)
			}
			other := row.a
			other.Name, other.ConfigChange.Body = "b", []byte(`{"limits":{}}`)
			if a := w.Apply(other); a.Code != status.IdempotencyKeyReused || stateOf(w) != before {
				t.Errorf("another request with the same key: %v", a.Code)
			}
			w.Advance(state.RequestRetention + time.Second)
			if late := w.Apply(row.a); late.Code != status.RequestExpired || stateOf(w) != before {
				t.Errorf("once it is forgotten: %v %s", late.Code, late.Reason)
			}
			same(t, w.Store)
		})
	}
}

// TestAnEndedJobIsNotStartedAgain hands jobs in again after their records are
// gone, and after they are forgotten.
func TestAnEndedJobIsNotStartedAgain(t *testing.T) {
	w := statetest.New(t)
	w.MustApply(state.Command{Kind: state.KindChangeConfig, ConfigChange: state.ConfigChange{BaseVersion: 1, Patch: true, Body: []byte(`{"limits":{"keep":"1m","remember":"1h","rememberMax":2}}`)}})
	w.AddWorker("w1", 4)
	for _, id := range []string{"j", "k", "l"} {
		w.AcceptJob(id, "quick", "a")
		w.FinishTask(id + "/a@w1")
		w.Advance(2 * time.Minute)
		w.Advance(time.Second)
		w.Heartbeat("w1", nil)
	}
	ask := func(id, task string) (status.Code, string) {
		a := w.AcceptJob(id, "quick", task)
		same(t, w.Store)
		return a.Code, a.Job.State
	}
	for _, row := range []struct {
		id, task string
		want     status.Code
		state    string
	}{
		{"l", "a", status.AlreadyDone, state.Done}, {"l", "b", status.JobConflict, ""}, {"k", "a", status.AlreadyDone, state.Done},
		{"j", "a", status.OK, state.Waiting}, // the oldest of three, and two are remembered
	} {
		if c, stateOf := ask(row.id, row.task); c != row.want || stateOf != row.state {
			t.Errorf("%s again with %s: %v %s, want %v %s", row.id, row.task, c, stateOf, row.want, row.state)
		}
	}
	if a := w.Apply(state.Command{Kind: state.KindCancelJob, Name: "l"}); a.Code != status.AlreadyDone || a.Job.State != state.Done {
		t.Errorf("cancel of a past job: %v %s", a.Code, a.Job.State)
	}
	if a := w.Store.RejectUnknownJob("x"); a.Code != status.UnknownJob || !strings.Contains(a.Reason, "ended over") {
		t.Errorf("unknown: %v %s", a.Code, a.Reason)
	}
	w.Advance(2 * time.Hour)
	if c, _ := ask("l", "a"); c != status.OK {
		t.Errorf("after the hour: %v", c)
	}
}

// TestNamesThatDoNotExistAreBounced changes nothing, and names those that do.
func TestNamesThatDoNotExistAreBounced(t *testing.T) {
	for _, row := range []struct {
		cmd  state.Command
		says string
	}{
		{state.Command{Kind: state.KindDrainZone, Name: "aa", Drain: true}, "known are: a"},
		{state.Command{Kind: state.KindDrainZone, Name: "", Drain: true}, "known are: a"},
		{state.Command{Kind: state.KindDrainWorker, Name: "w2", Drain: true}, "known are: w1"},
		{state.Command{Kind: state.KindConfirmWorkerDead, Name: "w2"}, "known are: w1"},
		{state.Command{Kind: state.KindTransferLeadership, Name: "dispatch/b", SchedulerHeartbeat: state.SchedulerHeartbeat{Candidate: "s1"}}, "known are: dispatch/a"},
		{state.Command{Kind: state.KindTransferLeadership, Name: statetest.Leadership, SchedulerHeartbeat: state.SchedulerHeartbeat{Candidate: "s9"}}, "known are: s1"},
	} {
		w := statetest.New(t)
		w.AddWorker("w1", 4)
		before := w.Store.Records()
		a := w.Apply(row.cmd)
		if a.Code != status.UnknownName || !strings.Contains(a.Reason, row.says) {
			t.Errorf("%s %q: %v %s", row.cmd.Kind, row.cmd.Name, a.Code, a.Reason)
		}
		ignored := func(r []machine.Record) []machine.Record {
			return slices.DeleteFunc(slices.Clone(r), func(r machine.Record) bool { return r.Key == "position" })
		}
		if diff := cmp.Diff(ignored(before), ignored(w.Store.Records())); diff != "" {
			t.Errorf("%s %q changed: %s", row.cmd.Kind, row.cmd.Name, diff)
		}
	}
}

func TestDutyMovesByItsHolderOrByAMajority(t *testing.T) {
	w := statetest.New(t)
	hello := func(h state.SchedulerHeartbeat) status.Code {
		return w.Apply(state.Command{Kind: state.KindSchedulerHeartbeat, SchedulerHeartbeat: h}).Code
	}
	vote := func(by, to string, epoch uint64) status.Code {
		return hello(state.SchedulerHeartbeat{Scheduler: by, Leadership: statetest.Leadership, Candidate: to, Epoch: epoch})
	}
	all := func() {
		for _, id := range []string{"s2", "s3", "s4", "s5"} {
			hello(state.SchedulerHeartbeat{Scheduler: id})
		}
	}
	all()
	if c := vote("s2", "s2", 1); c != status.StaleEpoch {
		t.Errorf("a vote while the holder is alive: %v", c)
	}
	w.Advance(20 * time.Second)
	all()
	steps := []struct {
		by, to string
		epoch  uint64
		holder string
	}{{"s2", "s2", 1, "s1"}, {"s3", "s3", 1, "s1"}, {"s4", "s2", 1, "s1"}, {"s5", "s2", 0, "s1"}, {"s3", "s2", 1, "s2"}, {"s4", "s4", 1, "s2"}}
	for i, step := range steps {
		vote(step.by, step.to, step.epoch)
		if d := w.Store.Leadership(statetest.Leadership); d.Leader != step.holder {
			t.Fatalf("step %d: held by %s, want %s; %+v", i, d.Leader, step.holder, d)
		}
	}
	if c := hello(state.SchedulerHeartbeat{Scheduler: "s3", Leadership: statetest.Leadership, Candidate: "s3", Epoch: 2, Transfer: true}); c != status.StaleEpoch {
		t.Errorf("only the holder names a successor: %v", c)
	}
	if c := hello(state.SchedulerHeartbeat{Scheduler: "s2", Leadership: statetest.Leadership, Candidate: "s3", Epoch: 2, Transfer: true}); c != status.OK || w.Store.Leadership(statetest.Leadership).Leader != "s3" {
		t.Errorf("the holder names its successor: %v", c)
	}
	same(t, w.Store)
}

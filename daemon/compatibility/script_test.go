// The commands that the fixture was made of.
package compatibility

import (
	"encoding/json"
	"time"

	"sorrelloom/core/ledger"
	"sorrelloom/core/plan"
)

// wholePlan sets every field that a plan may have.
const wholePlan = `{"services":{
 "tickets":{"largestWorker":{"slots":8,"cores":64,"memoryMB":4096,"accelerators":8},"labels":["ssd","gpu"],
  "anyLabel":true,"classes":{
  "quick":{"priority":100,"share":50,"quick":true,"runLimit":"5s","silence":"restart","inboxMax":900,
   "allowedDefects":4,"aim":"2s","stretch":1.5},
  "batch":{"priority":10,"share":50,"silence":"hold"}}}},
 "entries":[{"name":"front","host":"tickets.example","prefix":"/quick","service":"tickets","class":"quick"}],
 "sites":["a","b"],"document":{"text":"as written"},
 "policies":{"order":"priority","borrow":"idle >= asked"},
 "limits":{"lease":"6s","margin":"1s","startBy":"4s","silent":"3s","keep":"5s","remember":"8s",
  "rememberMax":100,"maxLosses":2,"runLimit":"1m","maxTasks":500}}`

// script brings a cluster commands of every kind.
type script struct {
	*cluster
	beats map[string]ledger.Beat
}

// history leaves jobs that ended so long ago that only a trace is left, and one of
// which not even that is.
func (s *script) history() {
	s.must(ledger.Command{
		Kind: ledger.KindPlan, Token: "first", Digest: "of the call", Asked: ledger.AskedUnknown,
		Plan: ledger.PlanChange{Sequence: 7, Body: json.RawMessage(wholePlan)},
	})
	s.accept(ledger.JobSpec{ID: "forgotten", Service: "tickets", Class: "batch", Tasks: []ledger.TaskSpec{{ID: "t"}}})
	s.must(ledger.Command{Kind: ledger.KindCancel, Name: "forgotten"})
	for range 3 {
		s.pass(6 * time.Second)
		s.must(ledger.Command{Kind: ledger.KindTick})
	}
	s.limits(`{"remember":"1h"}`)
}

// limits changes some limits of the plan.
func (s *script) limits(change string) {
	s.must(ledger.Command{Kind: ledger.KindPlan, Plan: ledger.PlanChange{
		Forced: true, Patch: true, Body: json.RawMessage(`{"limits":` + change + `}`),
	}})
}

// round sends all kinds of commands about names with a prefix.
func (s *script) round(prefix string) {
	s.trace(prefix)
	s.duties(prefix)
	s.workers(prefix)
	s.jobs(prefix)
	s.turns(prefix)
	s.operators(prefix)
	s.late(prefix)
}

// trace leaves what stays of a job that was cancelled.
func (s *script) trace(p string) {
	s.accept(ledger.JobSpec{ID: p + "past", Service: "tickets", Class: "batch", Tasks: []ledger.TaskSpec{{ID: "t"}}})
	s.must(ledger.Command{
		Kind: ledger.KindCancel, Name: p + "past", Host: "tickets.example", Path: "/quick/1", Brief: true,
	})
	s.pass(6 * time.Second)
	s.must(ledger.Command{Kind: ledger.KindTick})
}

func (s *script) hello(h ledger.Hello) { s.must(ledger.Command{Kind: ledger.KindHello, Hello: h}) }

// duties has three schedulers: one duty is won, moved and passed on, one is voted
// about, one is taken by the primary's own dispatcher.
func (s *script) duties(p string) {
	duty, own := "dispatch/"+p, "own/"+p
	s.hello(ledger.Hello{Daemon: "s1", Site: "a", Want: duty, For: "s1"})
	for _, name := range []string{"s2", "s3", "s4"} {
		s.hello(ledger.Hello{Daemon: name, Site: "b"})
	}
	s.hello(ledger.Hello{Daemon: "s4", Site: "b", Leaving: true})
	s.must(ledger.Command{Kind: ledger.KindMove, Name: duty, Token: p + "move", Hello: ledger.Hello{For: "s2"}})
	s.hello(ledger.Hello{Daemon: "s2", Site: "b", Want: duty, For: "s1", Epoch: 2, Pass: true})
	s.hello(ledger.Hello{Daemon: "s3", Site: "b", Want: "open/" + p, For: "s1"})
	s.must(ledger.Command{Kind: ledger.KindTake, Name: own, Hello: ledger.Hello{Daemon: "k1", Site: "a"}})
}

func (s *script) workers(p string) {
	s.beats = map[string]ledger.Beat{}
	for _, name := range []string{"w1", "w2", "w3", "w4", "w5", "w6"} {
		s.beat(p+name, func(b *ledger.Beat) {
			b.Incarnation, b.Site, b.Rack, b.Service, b.Labels = 5, "a", "r1", "tickets", []string{"ssd"}
			b.Free = ledger.Room{Slots: 8, Cores: 64, MemoryMB: 4096, Accelerators: 8}
			b.Total, b.Address = b.Free, "10.0.0.1:"+p+name
		})
	}
	s.beat(p+"w4", func(b *ledger.Beat) { b.Leaving, b.LeavesIn = true, time.Minute })
}

// beat sends a worker's next report.
func (s *script) beat(id string, change func(*ledger.Beat)) {
	b := s.beats[id]
	b.Worker, b.Number = id, b.Number+1
	change(&b)
	s.must(ledger.Command{Kind: ledger.KindBeat, Beat: b})
	b.Ended, b.Progress, b.Unlisted, b.Reduced = nil, nil, nil, false
	s.beats[id] = b
}

func (s *script) accept(spec ledger.JobSpec) {
	s.must(ledger.Command{Kind: ledger.KindAccept, Accept: spec})
}

func (s *script) jobs(p string) {
	placing := ledger.Placing{
		Guess: plan.Span{Duration: time.Second}, NearRack: "r1", SameRack: true, PerWorker: 3, Progress: true,
		Copies: true,
	}
	room := ledger.Room{Slots: 1, Cores: 2, MemoryMB: 3, Accelerators: 1}
	all := ledger.TaskSpec{
		ID: "whole", After: []string{"first"}, Room: room, Labels: []string{"ssd"}, Gang: "g",
		RunLimit: plan.Span{Duration: 9 * time.Second}, AllowedDefects: 5, Silence: "hold",
		Payload: json.RawMessage(`{"task":1}`), Placing: placing,
	}
	lasting := ledger.TaskSpec{ID: "lasting", Room: room, Placing: ledger.Placing{Lasting: true}}
	s.accept(ledger.JobSpec{
		ID: p + "tasks", Service: "tickets", Class: "batch", Cutoff: plan.Span{Duration: time.Hour},
		Payload: json.RawMessage(`{"job":[1,"two"]}`),
		Tasks:   []ledger.TaskSpec{{ID: "first", Room: room}, all, lasting},
	})
	s.accept(ledger.JobSpec{
		ID: p + "steps", Host: "tickets.example", Path: "/quick/2",
		Steps: []ledger.StepSpec{
			{Count: 2, Room: room, Labels: []string{"ssd"}, Gang: true, AllowedDefects: 2, Placing: placing},
			{Count: 1, After: []int{0}, Room: room, Placing: ledger.Placing{Lasting: true}},
		},
		Repeat: ledger.Repeat{
			Count: 2, FirstAt: wallStart.Add(time.Second), Every: plan.Span{Duration: time.Hour},
		},
	})
	var many []ledger.TaskSpec
	for _, id := range []string{"t0", "t1", "t2", "t3", "t4", "t5", "t6", "t7", "t8", "t9"} {
		many = append(many, ledger.TaskSpec{ID: id, Room: room, Placing: ledger.Placing{Progress: true}})
	}
	s.accept(ledger.JobSpec{ID: p + "many", Service: "tickets", Class: "batch", Tasks: many})
	s.accept(ledger.JobSpec{
		ID: p + "cancelled", Service: "tickets", Class: "batch", Tasks: []ledger.TaskSpec{{ID: "t"}, {ID: "u"}},
	})
	s.accept(ledger.JobSpec{
		ID: p + "large", Service: "tickets", Class: "batch", Tasks: []ledger.TaskSpec{
			{ID: "a", Room: ledger.Room{Slots: 8}}, {ID: "b", Room: ledger.Room{Slots: 8}},
			{ID: "c", Room: ledger.Room{Slots: 8}},
		},
	})
	s.must(ledger.Command{Kind: ledger.KindTick})
}

// grant gives a task, or more of one gang, to a worker.
func (s *script) grant(p, job, worker string, tasks ...string) {
	s.must(ledger.Command{Kind: ledger.KindGrant, Grant: s.picks(p, job, worker, tasks...)})
}

func (s *script) picks(p, job, worker string, tasks ...string) ledger.Grant {
	g := ledger.Grant{Duty: "dispatch/" + p, Epoch: 3}
	for _, task := range tasks {
		beat := s.beats[p+worker].Number
		g.Picks = append(g.Picks, ledger.Pick{Job: p + job, Task: task, Worker: p + worker, Beat: beat})
	}
	return g
}

// turns has tasks run, end in every way, save progress and be told to stop.
func (s *script) turns(p string) {
	w1 := p + "w1"
	try := func(task string) ledger.Attempt { return ledger.Attempt{Job: p + "many", Task: task, Try: 1} }
	var running []ledger.Attempt
	for _, task := range []string{"t0", "t1", "t2", "t3", "t4"} {
		s.grant(p, "many", "w1", task)
		running = append(running, try(task))
	}
	s.beat(w1, func(b *ledger.Beat) { b.Running, b.Free.Slots = running, 3 })
	s.beat(w1, func(b *ledger.Beat) {
		b.Progress = []ledger.Progress{{Attempt: try("t4"), Saved: "part 1", Percent: 40}}
		b.Ended = []ledger.End{
			{Attempt: try("t0"), Good: true}, {Attempt: try("t1"), Why: "exit 1", Saved: "part 2", Percent: 60},
			{Attempt: try("t2"), Lost: true}, {Attempt: try("t3"), Stopped: true},
		}
		b.Running, b.Free.Slots = running[4:], 7
	})
	s.grant(p, "many", "w1", "t5")
	s.beat(w1, func(b *ledger.Beat) { b.Running = append(b.Running, try("t5")) })
	s.beat(w1, func(b *ledger.Beat) {
		b.Reduced, b.Running, b.Unlisted = true, nil, []ledger.Attempt{try("t5")}
		b.Site, b.Rack, b.Service, b.Labels, b.Address = "", "", "", nil, ""
	})
	s.must(ledger.Command{Kind: ledger.KindRenew, Renew: []ledger.Renewal{
		{Worker: w1, Incarnation: 5, Number: 9, Ago: 20 * time.Millisecond},
		{Worker: p + "w2", Incarnation: 5, Number: 2, Ago: 30 * time.Millisecond},
	}})
	s.grant(p, "steps", "w5", "0.0.0", "0.0.1")
	s.beat(p+"w5", func(b *ledger.Beat) {
		for _, task := range []string{"0.0.0", "0.0.1"} {
			b.Running = append(b.Running, ledger.Attempt{Job: p + "steps", Task: task, Try: 1})
		}
		b.Free.Slots = 6
	})
	s.pushOut(p)
}

// pushOut lends room to one class and asks for it back for another.
func (s *script) pushOut(p string) {
	s.grant(p, "large", "w2", "a")
	s.grant(p, "large", "w3", "b")
	s.grant(p, "large", "w6", "c")
	g := s.picks(p, "large", "w6", "c")
	g.For = ledger.Pick{Job: p + "steps", Task: "0.1.0", Worker: p + "w6", Beat: 1}
	s.must(ledger.Command{Kind: ledger.KindPushOut, Grant: g})
	s.beat(p+"w2", func(b *ledger.Beat) {
		b.Free.Slots = 0
		b.Running = []ledger.Attempt{{Job: p + "large", Task: "a", Try: 1}}
	})
	s.beat(p+"w3", func(b *ledger.Beat) { b.Running = []ledger.Attempt{{Job: p + "many", Task: "t4", Try: 1}} })
}

// operators sends each operator's write, with and without a token.
func (s *script) operators(p string) {
	s.grant(p, "cancelled", "w1", "t")
	s.must(ledger.Command{Kind: ledger.KindCancel, Name: p + "cancelled"})
	s.must(ledger.Command{Kind: ledger.KindDrain, Name: p + "w3", On: true, Token: p + "drain"})
	now := s.primary().keeper.Time(s.time())
	s.must(ledger.Command{
		Kind: ledger.KindSite, Name: "b", On: true, Token: p + "site", Asked: now, MaxAge: time.Minute, Proven: 1 << 20,
	})
	s.refused(ledger.Command{Kind: ledger.KindPlan, Token: p + "bad", Asked: now, Plan: ledger.PlanChange{
		Forced: true, Patch: true, Body: json.RawMessage(`{"limits":{"lease":"1s"}}`),
	}})
	base := s.primary().keeper.Ledger().Plan().Sequence
	s.must(ledger.Command{Kind: ledger.KindPlan, Token: p + "good", Asked: now, Plan: ledger.PlanChange{
		Base: base, Patch: true, Body: json.RawMessage(`{"limits":{"endsAtCutoff":true}}`),
	}})
}

// late is what needs time to pass: a worker that went silent, and one that came
// back as another process while its turn is held.
func (s *script) late(p string) {
	s.beat(p+"w2", func(b *ledger.Beat) { b.Incarnation, b.Number, b.Running = 6, 1, nil })
	s.pass(3500 * time.Millisecond)
	s.must(ledger.Command{Kind: ledger.KindGone, Name: p + "w4", Token: p + "gone"})
	for _, name := range []string{"s1", "s2", "s3"} {
		s.hello(ledger.Hello{Daemon: name, Site: "a"})
	}
	s.accept(ledger.JobSpec{ID: p + "ended", Service: "tickets", Class: "batch", Tasks: []ledger.TaskSpec{{ID: "t"}}})
	s.must(ledger.Command{Kind: ledger.KindCancel, Name: p + "ended"})
	s.must(ledger.Command{Kind: ledger.KindTick})
}

// still has nothing fall due for a while, so that the primary, when it is cut off,
// logs nothing that the others lack.
func (s *script) still() { s.limits(`{"keep":"1h","margin":"1h"}`) }

package agent

import (
	"encoding/json"
	"maps"
	"math/rand/v2"
	"reflect"
	"slices"
	"strconv"
	"testing"
	"time"

	"sorrelloom/core/code"
	"sorrelloom/core/ledger"
	"sorrelloom/core/machine"
	"sorrelloom/core/wire"
)

const (
	ms    = time.Millisecond
	lease = 6 * time.Second
)

// play drives one agent by hand: its clock, the worker's calls, the replies.
type play struct {
	*testing.T
	a    *Agent
	now  time.Duration
	call Call
	key  uint64
	out  []wire.BeatBody // reports, in the order of their sending
	to   []string
	log  []string
}

func begin(t *testing.T, first uint64) *play {
	p := &play{T: t, now: time.Second}
	p.a = New(Env{Address: "agent", Site: "s", Keepers: []string{"k1", "k2", "k3"}, First: first})
	p.call = Call{Worker: "w", Address: "here", Service: "v", Free: ledger.Room{Slots: 4, Cores: 8}}
	return p
}

func (p *play) step(in machine.Input) machine.Output {
	out := p.a.Step(p.now, in)
	for _, s := range out.Sends {
		if s.Kind != wire.Beat {
			p.Fatalf("a line of kind %s was sent", s.Kind)
		}
		p.out, p.to = append(p.out, s.Body.(wire.BeatBody)), append(p.to, s.To)
	}
	for _, e := range out.Events {
		p.log = append(p.log, e.Name)
	}
	return out
}

// pass lets the time go on, with a step whenever the agent asks for one.
func (p *play) pass(d time.Duration) {
	for end := p.now + d; ; {
		at := p.a.Wakeup()
		if at == 0 || at > end {
			p.now = end
			return
		}
		if at <= p.now {
			p.Fatalf("a wakeup at %s is not after %s", at, p.now)
		}
		p.now = at
		p.step(machine.Input{})
	}
}

func (p *play) ask(in machine.Ask) Told {
	p.key++
	in.Key = p.key
	out := p.step(machine.Input{Ask: in})
	if len(out.Answers) != 1 || out.Answers[0].Key != in.Key {
		p.Fatalf("the answers to request %d are %+v", in.Key, out.Answers)
	}
	return out.Answers[0].Body.(Told)
}

func (p *play) says(change func(c *Call)) Told {
	p.call.Number++
	if change != nil {
		change(&p.call)
	}
	return p.ask(machine.Ask{Kind: AskCall, Value: p.call})
}

func (p *play) last() wire.BeatBody {
	p.Helper()
	if len(p.out) == 0 {
		p.Fatal("nothing was reported")
	}
	return p.out[len(p.out)-1]
}

func (p *play) line(b wire.BeatBackBody) {
	p.step(machine.Input{Line: machine.Line{Wire: 1, Kind: wire.BeatBack, From: "k1", Body: machine.MustMarshal(b)}})
}

// good replies to the last report.
func (p *play) good(o ledger.Orders) {
	if o.Lease == 0 {
		o.Lease = lease
	}
	p.line(wire.BeatBackBody{ID: p.last().ID, Answer: ledger.Answer{Orders: o}})
}

func (p *play) bounce(c code.Code, number uint64, primary string, keepers ...string) {
	p.line(wire.BeatBackBody{ID: p.last().ID, Answer: ledger.Answer{Code: c, Orders: ledger.Orders{Number: number}}, Primary: primary, Keepers: keepers})
}

func (p *play) is(what string, got, want any) {
	p.Helper()
	if v := reflect.ValueOf(want); v.Kind() == reflect.Slice && v.Len() == 0 && reflect.ValueOf(got).Len() == 0 {
		return
	}
	if !reflect.DeepEqual(got, want) {
		p.Errorf("%s: %+v, not %+v", what, got, want)
	}
}

func try(job string) ledger.Attempt { return ledger.Attempt{Job: job, Task: "t", Try: 1} }

func start(job string) ledger.Start {
	return ledger.Start{Attempt: try(job), Room: ledger.Room{Slots: 1, Cores: 2}, Payload: json.RawMessage(`{"x":1}`), Saved: "from"}
}

func starts(jobs ...string) (o ledger.Orders) {
	for _, j := range jobs {
		o.Starts = append(o.Starts, start(j))
	}
	return o
}

func run(job string) Run { return Run{Attempt: try(job)} }

func runs(jobs ...string) func(*Call) {
	return func(c *Call) {
		c.Running = nil
		for _, j := range jobs {
			c.Running = append(c.Running, run(j))
		}
	}
}

func end(n uint64, job, how string) Ended { return Ended{Number: n, Run: run(job), How: how} }

func ends(list ...Ended) func(*Call) { return func(c *Call) { c.Ended = list } }

func begun(t Told) (jobs []string) {
	for _, b := range t.Begins {
		jobs = append(jobs, b.Job)
	}
	return jobs
}

func jobsOf(list []ledger.Attempt) (jobs []string) {
	for _, a := range list {
		jobs = append(jobs, a.Job)
	}
	return jobs
}

func lost(b ledger.Beat) (jobs []string) {
	for _, e := range b.Ended {
		if e.Lost {
			jobs = append(jobs, e.Job)
		}
	}
	return jobs
}

// taken brings a worker to where a reply has brought the start of job a.
func takenA(p *play) {
	p.says(nil)
	p.pass(20 * ms)
	p.good(starts("a"))
}

func TestWhatAWorkerMayNotBeginIsReportedAsLost(t *testing.T) {
	for _, row := range []struct {
		name string
		play func(p *play) Told
	}{
		{"it leaves", func(p *play) Told { return p.says(func(c *Call) { c.Leaving = true }) }},
		{"it said that it is gone", func(p *play) Told { return p.ask(machine.Ask{Kind: AskLeave, Name: "w"}) }},
		{"it calls after it said so", func(p *play) Told {
			p.ask(machine.Ask{Kind: AskLeave, Name: "w"})
			return p.says(nil)
		}},
		{"it did not call in time", func(p *play) Told { p.pass(1501 * ms); return p.says(nil) }},
		{"a stop came before", func(p *play) Told {
			p.pass(10 * ms)
			p.good(ledger.Orders{Stops: []ledger.Attempt{try("a")}})
			return p.says(nil)
		}},
		{"it leaves by the time of the reply", func(p *play) Told {
			told := p.says(func(c *Call) { c.Leaving = true })
			p.pass(20 * ms)
			p.good(starts("b"))
			if later := p.says(nil); len(later.Begins) > 0 {
				p.Error("a start was handed over")
			}
			p.pass(20 * ms)
			p.is("lost", lost(p.last().Beat), []string{"a", "b"})
			p.good(ledger.Orders{Acks: []ledger.Attempt{try("b")}})
			p.pass(20 * ms)
			return told
		}},
	} {
		t.Run(row.name, func(t *testing.T) {
			p := begin(t, 1)
			takenA(p)
			told := row.play(p)
			p.pass(20 * ms)
			p.is("begins", begun(told), []string(nil))
			p.is("lost", lost(p.last().Beat), []string{"a"})
			p.is("running", jobsOf(p.last().Beat.Running), []string(nil))
			p.is("begins counted", p.a.Counters().Begins, uint64(0))
			if !slices.Contains(p.log, "start_dropped") {
				t.Error("nothing was logged")
			}
			if !p.last().Beat.Leaving {
				p.is("free", p.last().Beat.Free, p.call.Free)
			}
		})
	}
}

func TestNoStartAfterTheLease(t *testing.T) {
	p := begin(t, 1)
	p.says(nil)
	p.pass(20 * ms)
	p.good(ledger.Orders{Lease: 300 * ms, Starts: starts("a").Starts})
	p.pass(290 * ms)
	told := p.says(nil)
	p.is("begins", begun(told), []string(nil))
	p.is("hold", told.Hold, 0*ms)
	p.pass(20 * ms)
	p.is("lost", lost(p.last().Beat), []string{"a"})
}

func TestRepliesThatDoNotCount(t *testing.T) {
	for _, row := range []struct {
		name string
		id   func(p *play) uint64
	}{
		{"to a report that was replaced", func(p *play) uint64 {
			id := p.last().ID
			p.pass(20 * ms)
			p.says(func(c *Call) { c.Free.Slots = 3 })
			return id
		}},
		{"to no report", func(p *play) uint64 { return p.last().ID + 1 }},
		{"to a report of the process before", func(p *play) uint64 {
			id := p.last().ID
			p.a = New(Env{Keepers: []string{"k1"}, First: 9000})
			p.says(nil)
			return id
		}},
		{"after the wait for it was over", func(p *play) uint64 {
			id := p.last().ID
			for range 12 {
				p.pass(100 * ms)
				p.says(nil)
			}
			return id
		}},
		{"of a worker that is silent", func(p *play) uint64 {
			id := p.last().ID
			p.pass(1050 * ms)
			return id
		}},
	} {
		t.Run(row.name, func(t *testing.T) {
			p := begin(t, 1)
			p.says(nil)
			o := starts("a")
			o.Lease, o.Epoch = lease, 9
			p.line(wire.BeatBackBody{ID: row.id(p), Answer: ledger.Answer{Orders: o}, Keepers: []string{"bad"}})
			told := p.says(nil)
			p.is("told", told, Told{Again: 100 * ms})
			p.is("keepers", p.a.keepers, []string(nil))
		})
	}
}

func TestAReplyAfterTwoSecondsIsDropped(t *testing.T) {
	for _, row := range []struct {
		after time.Duration
		lease time.Duration
	}{{2 * time.Second, time.Second + lease}, {2001 * ms, 0}} {
		p := begin(t, 1)
		p.a.env.Hold, p.a.env.Silent = 5*time.Second, 5*time.Second
		p.says(nil)
		p.pass(row.after)
		p.good(starts("a"))
		p.is("lease", p.a.Status().LeaseEnd, row.lease)
	}
}

func TestHoldIsNeverBeyondTheLease(t *testing.T) {
	p := begin(t, 1)
	p.is("first", p.says(nil), Told{Again: 100 * ms})
	sent := p.now
	p.is("held", p.last().Hold, 500*ms)
	p.pass(400 * ms)
	p.good(ledger.Orders{Epoch: 4})
	p.is("counted from the sending", p.says(nil), Told{Hold: lease - 400*ms, Fence: 4, Again: 100 * ms})
	p.pass(20 * ms)
	p.good(ledger.Orders{Lease: 100 * ms, Epoch: 3})
	p.is("never shortened, the fence never lower", p.says(nil), Told{Hold: sent + lease - p.now, Fence: 4, Again: 100 * ms})
	p.pass(time.Second)
	p.bounce(code.NoAuthority, 0, "")
	p.is("a bounce extends nothing", p.says(nil).Hold, sent+lease-p.now)
	for p.now < sent+lease+time.Second {
		p.pass(100 * ms)
		if told := p.says(nil); told.Hold != max(0, sent+lease-p.now) {
			t.Fatalf("%s after the report the hold is %s", p.now-sent, told.Hold)
		}
	}
}

func TestAStartIsGivenUntilALaterCallListsIt(t *testing.T) {
	p := begin(t, 1)
	takenA(p)
	p.is("listed", jobsOf(p.last().Beat.Running), []string{"a"})
	p.is("free less its room", p.last().Beat.Free, ledger.Room{Slots: 3, Cores: 6})
	p.is("no progress of its own", len(p.last().Beat.Progress), 0)
	told := p.says(nil)
	p.is("begins", told.Begins, []Begin{{try("a"), []byte(`{"x":1}`), "from"}})
	p.is("again", begun(p.says(nil)), []string{"a"})
	p.is("without orders to a call that came before", p.ask(machine.Ask{Kind: AskCall, Value: Call{Worker: "w", Number: 1, Leaving: true}}).Begins, []Begin(nil))
	p.pass(20 * ms)
	told = p.says(func(c *Call) {
		c.Running = []Run{{try("a"), "from", 0}}
		c.Free = ledger.Room{Slots: 3, Cores: 6}
	})
	p.is("listed, given no more", begun(told), []string(nil))
	p.pass(20 * ms)
	p.is("free is the worker's word", p.last().Beat.Free, ledger.Room{Slots: 3, Cores: 6})
	p.is("listed once", jobsOf(p.last().Beat.Running), []string{"a"})
	p.good(starts("a"))
	p.is("known, ignored", begun(p.says(nil)), []string(nil))
	p.is("counted once", p.a.Counters().Begins, uint64(1))
}

func TestFreeIsNeverBelowZero(t *testing.T) {
	p := begin(t, 1)
	p.call.Free = ledger.Room{Slots: 1, Cores: 1}
	takenA(p)
	p.pass(20 * ms)
	p.is("free", p.last().Beat.Free, ledger.Room{})
}

func TestAStartThatWasHandedOverIsDroppedByALaterCallOnly(t *testing.T) {
	for _, row := range []struct {
		name string
		why  func(p *play)
		stop bool
	}{
		{"it leaves", func(p *play) { p.says(func(c *Call) { c.Leaving = true }) }, false},
		{"stopped", func(p *play) {
			p.pass(20 * ms)
			p.good(ledger.Orders{Stops: []ledger.Attempt{try("a")}})
			p.is("stops", p.says(nil).Stops, []ledger.Attempt{try("a")})
		}, true},
		{"never taken up", func(p *play) {
			for range 15 {
				p.pass(99 * ms)
				p.good(ledger.Orders{})
				p.is("handed over again", begun(p.says(nil)), []string{"a"})
			}
			p.pass(99 * ms)
			p.good(ledger.Orders{})
			p.is("withdrawn", begun(p.says(nil)), []string(nil))
		}, false},
	} {
		t.Run(row.name, func(t *testing.T) {
			p := begin(t, 1)
			takenA(p)
			p.is("begins", begun(p.says(nil)), []string{"a"})
			row.why(p)
			p.pass(20 * ms)
			p.is("may run still", jobsOf(p.last().Beat.Running), []string{"a"})
			p.is("not lost yet", lost(p.last().Beat), []string(nil))
			p.is("not given again", begun(p.says(nil)), []string(nil))
			p.pass(20 * ms)
			p.is("runs no more", jobsOf(p.last().Beat.Running), []string(nil))
			p.is("lost", lost(p.last().Beat), []string{"a"})
			p.is("no stop is left", len(p.says(nil).Stops), 0)
			// It ran after all: the worker's word replaces ours.
			p.says(ends(end(1, "a", Good)))
			p.pass(20 * ms)
			p.is("ended", p.last().Beat.Ended, []ledger.End{{Attempt: try("a"), Good: true}})
		})
	}
}

func TestSeenIsNeverBeforeTheAck(t *testing.T) {
	p := begin(t, 1)
	p.says(runs("a", "b", "c"))
	p.pass(20 * ms)
	p.good(ledger.Orders{})
	p.pass(20 * ms)
	list := []Ended{end(1, "a", Good), end(2, "b", Failed), end(3, "c", Stopped)}
	list[1].Saved, list[1].Percent, list[1].Why = "half", 50, "broke"
	p.is("seen", p.says(ends(list...)).Seen, uint64(0))
	p.is("at once", p.last().Beat.Ended, []ledger.End{{Attempt: try("a"), Good: true}, {Attempt: try("b"), Why: "broke", Saved: "half", Percent: 50}, {Attempt: try("c"), Stopped: true}})
	p.is("run no more", jobsOf(p.last().Beat.Running), []string(nil))
	p.pass(20 * ms)
	p.good(ledger.Orders{Acks: []ledger.Attempt{try("b"), try("c")}})
	p.is("the first is open", p.says(nil).Seen, uint64(0))
	p.pass(20 * ms)
	p.is("the first again", jobsOfEnds(p.last().Beat.Ended), []string{"a"})
	p.bounce(code.NoAuthority, 0, "")
	p.is("a bounce acks nothing", p.says(nil).Seen, uint64(0))
	p.pass(200 * ms)
	p.says(ends(append(list, end(4, "d", Lost))...))
	p.line(wire.BeatBackBody{ID: p.last().ID - 1, Answer: ledger.Answer{Orders: ledger.Orders{Acks: []ledger.Attempt{try("a")}}}})
	p.is("a stale reply acks nothing", p.says(nil).Seen, uint64(0))
	p.pass(20 * ms)
	p.good(ledger.Orders{Acks: []ledger.Attempt{try("a")}})
	p.is("all but the last", p.says(nil).Seen, uint64(3))
	p.pass(20 * ms)
	p.is("the last", p.last().Beat.Ended, []ledger.End{{Attempt: try("d"), Lost: true}})
	p.good(ledger.Orders{Acks: []ledger.Attempt{try("d")}})
	p.is("all", p.says(ends()).Seen, uint64(4))
}

func jobsOfEnds(list []ledger.End) (jobs []string) {
	for _, e := range list {
		jobs = append(jobs, e.Job)
	}
	return jobs
}

func TestARestartedAgentFindsItsNumberAndItsRuns(t *testing.T) {
	p := begin(t, 1)
	takenA(p)
	p.is("begins", begun(p.says(nil)), []string{"a"})
	p.pass(20 * ms)
	p.good(starts("never"))
	// The next process knows nothing until the worker calls.
	p.a = New(Env{Keepers: []string{"k1"}, First: 5000})
	count := len(p.out)
	p.pass(50 * ms)
	p.is("nothing is reported", len(p.out), count)
	told := p.says(func(c *Call) { runs("a")(c); ends(end(7, "z", Good))(c) })
	p.is("told", told, Told{Seen: 6, Again: 100 * ms})
	p.is("number", p.last().Beat.Number, uint64(1))
	p.bounce(code.StaleBeat, 41, "")
	p.pass(10 * ms)
	b := p.last().Beat
	p.is("number", b.Number, uint64(42))
	p.is("running", jobsOf(b.Running), []string{"a"})
	p.is("ended", jobsOfEnds(b.Ended), []string{"z"})
	p.good(ledger.Orders{Acks: []ledger.Attempt{try("z")}, Starts: starts("a").Starts})
	told = p.says(nil)
	p.is("seen", told.Seen, uint64(7))
	p.is("what runs is not begun again", begun(told), []string(nil))
	p.pass(10 * ms)
	p.is("by exactly 1", p.last().Beat.Number, uint64(43))
}

func TestASilentWorker(t *testing.T) {
	for _, row := range []struct {
		name    string
		restart bool
		after   time.Duration // from the last call, until all has ended
	}{
		{"under a lease of this agent", false, (lease-20*ms)*103/100 + 100*ms},
		{"under a lease of the agent before", true, lease*103/100 + 100*ms},
	} {
		t.Run(row.name, func(t *testing.T) {
			p := begin(t, 1)
			p.says(func(c *Call) {
				if row.restart {
					runs("r")(c)
				}
			})
			p.pass(20 * ms)
			p.good(ledger.Orders{})
			called := p.now
			if row.restart {
				called -= 20 * ms
			} else {
				p.says(runs("r"))
			}
			p.pass(10 * ms)
			for p.now < called+900*ms {
				p.pass(100 * ms)
				p.good(ledger.Orders{})
			}
			p.pass(called + 1050*ms - p.now)
			count := len(p.out)
			p.good(starts("a"))
			p.pass(called + row.after - p.now)
			p.is("silent", len(p.out), count)
			p.pass(2 * ms)
			p.is("one more", len(p.out), count+1)
			b := p.last().Beat
			p.is("running", jobsOf(b.Running), []string(nil))
			p.is("free", b.Free, ledger.Room{})
			p.is("leaving", b.Leaving, false)
			p.good(ledger.Orders{})
			p.pass(20 * time.Second)
			p.is("then nothing", len(p.out), count+1)
			p.is("hold", p.says(nil).Hold, 0*ms)
			p.is("as usual", jobsOf(p.last().Beat.Running), []string{"r"})
			p.is("no wonder", slices.Contains(p.log, "worker_lost"), true)
		})
	}
}

func TestAnotherWorkerAtTheAddress(t *testing.T) {
	p := begin(t, 1)
	takenA(p)
	p.pass(20 * ms)
	p.says(func(c *Call) { runs("r")(c); ends(end(1, "z", Good))(c) })
	p.pass(20 * ms)
	p.good(starts("b"))
	p.pass(20 * ms)
	number := p.last().Beat.Number
	old := p.call
	p.call = Call{Worker: "w2", Address: "here", Service: "v", Free: ledger.Room{Slots: 4}}
	told := p.says(nil)
	p.is("told", told, Told{Again: 100 * ms})
	p.pass(20 * ms)
	b := p.last().Beat
	p.is("the old one first", b.Worker, "w")
	p.is("number", b.Number, number+1)
	p.is("leaving", b.Leaving, true)
	p.is("running", jobsOf(b.Running), []string(nil))
	p.is("ended", jobsOfEnds(b.Ended), []string{"z", "b"})
	p.bounce(code.NoAuthority, 0, "")
	p.pass(120 * ms)
	p.is("again", p.last().Beat.Worker, "w")
	p.good(ledger.Orders{Acks: []ledger.Attempt{try("z"), try("b")}})
	p.pass(20 * ms)
	p.is("then the new one", p.last().Beat.Worker, "w2")
	p.is("from 1", p.last().Beat.Number, uint64(1))
	p.is("its own lease only", p.says(nil).Hold, 0*ms)
	p.good(starts("c"))
	old.Number += 9
	p.is("a call of the dead one", p.ask(machine.Ask{Kind: AskCall, Value: old}), Told{Again: 100 * ms})
	p.is("the new one is kept", begun(p.says(nil)), []string{"c"})
}

func TestALeavingWorkerIsForgotten(t *testing.T) {
	for _, row := range []struct {
		name  string
		runs  []string
		after time.Duration
	}{
		{"that runs nothing", nil, 20 * ms},
		{"after its hold", []string{"r"}, lease*103/100 + 200*ms},
	} {
		t.Run(row.name, func(t *testing.T) {
			p := begin(t, 1)
			p.says(runs(row.runs...))
			p.pass(20 * ms)
			p.good(ledger.Orders{})
			p.pass(20 * ms)
			p.says(nil)
			p.ask(machine.Ask{Kind: AskLeave, Name: "w"})
			p.pass(10 * ms)
			p.is("leaving", p.last().Beat.Leaving, true)
			p.is("running", jobsOf(p.last().Beat.Running), row.runs)
			p.pass(row.after)
			p.is("leaving", p.last().Beat.Leaving, true)
			p.is("running", jobsOf(p.last().Beat.Running), []string(nil))
			p.good(ledger.Orders{})
			count := len(p.out)
			p.pass(10 * time.Second)
			p.is("then nothing", len(p.out), count)
			p.is("forgotten", p.a.Status().Worker, "")
			late := p.call
			p.is("a late call of it", p.ask(machine.Ask{Kind: AskCall, Value: late}), Told{Again: 100 * ms})
			p.is("forgotten still", p.a.Status().Worker, "")
			p.call = Call{Worker: "w2", Address: "here"}
			p.says(nil)
			late.Number += 5
			p.ask(machine.Ask{Kind: AskCall, Value: late})
			p.is("the new one is kept", p.a.Status().Worker, "w2")
		})
	}
}

func TestStopsAreToldUntilTheRunIsNotListed(t *testing.T) {
	p := begin(t, 1)
	p.says(runs("r", "q"))
	p.pass(20 * ms)
	p.good(ledger.Orders{Stops: []ledger.Attempt{try("r"), try("x")}})
	for range 3 {
		p.pass(20 * ms)
		p.is("stops", p.says(nil).Stops, []ledger.Attempt{try("r")})
		p.good(ledger.Orders{})
	}
	p.is("listed no more", len(p.says(func(c *Call) { runs("q")(c); ends(end(1, "r", Stopped))(c) }).Stops), 0)
	p.is("counted", p.a.Counters().Stops, uint64(1))
}

func TestWhenReportsAreSent(t *testing.T) {
	for _, row := range []struct {
		name   string
		change func(c *Call)
		after  time.Duration // until the report is sent that replaces the one out; 0 is none
	}{
		{"nothing changed", nil, 0},
		{"an end", ends(end(1, "z", Good)), 0 + 1},
		{"a run less", runs(), 1},
		{"free", func(c *Call) { c.Free.Cores = 1 }, 1},
		{"labels", func(c *Call) { c.Labels = []string{"l"} }, 1},
		{"leaving", func(c *Call) { c.Leaving = true }, 1},
		{"saved", func(c *Call) { c.Running = []Run{{try("r"), "s1", 10}} }, 400 * ms},
	} {
		t.Run(row.name, func(t *testing.T) {
			p := begin(t, 1)
			p.says(runs("r"))
			p.pass(20 * ms)
			p.good(ledger.Orders{})
			sent, count := p.now, len(p.out)
			p.pass(20 * ms)
			p.says(row.change)
			if row.after == 1 {
				p.is("at once", len(p.out), count+1)
				p.is("held as long as the first would be", p.last().Hold, 480*ms)
				p.says(func(c *Call) { c.Free.Cores = 2 })
				p.is("not within 10 ms", len(p.out), count+1)
				p.pass(10 * ms)
				p.is("after 10 ms", len(p.out), count+2)
				return
			}
			p.pass(sent + 399*ms - p.now)
			p.is("not yet", len(p.out), count)
			p.pass(2 * ms)
			p.is("sent", len(p.out), count+min(int(row.after), 1))
		})
	}
}

// TestAStartThatTheWorkerListsIsReportedOnce has a worker list a start that was
// reported when it was taken, and counts its room itself or not.
func TestAStartThatTheWorkerListsIsReportedOnce(t *testing.T) {
	for name, left := range map[string]ledger.Room{"it says all it has": {Slots: 4, Cores: 8}, "it says what is left": {Slots: 3, Cores: 6}} {
		t.Run(name, func(t *testing.T) {
			p := begin(t, 1)
			takenA(p)
			p.pass(20 * ms)
			p.is("reported as taken", jobsOf(p.last().Beat.Running), []string{"a"})
			p.says(nil)
			count := len(p.out)
			p.pass(100 * ms)
			p.says(func(c *Call) { runs("a")(c); c.Free = left })
			p.pass(100 * ms)
			p.is("reports of the listing", len(p.out), count)
			p.says(func(c *Call) { runs()(c); ends(end(1, "a", Good))(c) })
			p.pass(20 * ms)
			p.is("reports with the end", len(p.out), count+1)
		})
	}
}

func TestProgressIsReportedUntilAcknowledged(t *testing.T) {
	p := begin(t, 1)
	p.says(func(c *Call) { c.Running = []Run{{try("r"), "s1", 10}, run("q")} })
	want := []ledger.Progress{{Attempt: try("r"), Saved: "s1", Percent: 10}}
	p.is("progress", p.last().Beat.Progress, want)
	p.bounce(code.NoAuthority, 0, "")
	p.pass(120 * ms)
	p.is("again", p.last().Beat.Progress, want)
	p.pass(20 * ms)
	p.good(ledger.Orders{})
	p.pass(20 * ms)
	p.is("acknowledged", len(p.last().Beat.Progress), 0)
}

// A worker whose reports keep changing must not lose its lease by them.
func TestReportsThatReplaceOneAnotherAreAnsweredInTime(t *testing.T) {
	p := begin(t, 1)
	p.says(nil)
	first := p.now
	for p.now < first+480*ms {
		p.pass(30 * ms)
		p.says(func(c *Call) { c.Free.Cores = (c.Free.Cores + 1) % 8 })
		p.is("held", p.last().Hold, first+500*ms-p.now)
	}
	count := len(p.out)
	p.pass(60 * ms)
	p.says(func(c *Call) { c.Free.Cores = 9 })
	p.pass(60 * ms)
	p.is("waits for the reply", len(p.out), count)
	p.good(ledger.Orders{})
	p.is("then at once", p.last().Beat.Free.Cores, 9)
}

func TestWhereReportsGo(t *testing.T) {
	for _, row := range []struct {
		name  string
		reply func(p *play)
		to    string
		after time.Duration
	}{
		{"a good reply", func(p *play) { p.good(ledger.Orders{}) }, "k1", 0},
		{"the primary is named", func(p *play) { p.bounce(code.NotPrimary, 0, "k9", "k8", "k9") }, "k9", 0},
		{"no primary is named", func(p *play) { p.bounce(code.NotPrimary, 0, "") }, "k2", 60 * ms},
		{"keepers are named", func(p *play) { p.bounce(code.NotPrimary, 0, "", "k8", "k9") }, "k2", 60 * ms},
		{"the duty is elsewhere", func(p *play) { p.bounce(code.StaleEpoch, 0, "") }, "k1", 100 * ms},
		{"no authority", func(p *play) { p.bounce(code.NoAuthority, 0, "") }, "k1", 100 * ms},
		{"the number is stale", func(p *play) { p.bounce(code.StaleBeat, 7, "") }, "k1", 0},
		{"no reply", func(p *play) {}, "k2", 1080 * ms},
	} {
		t.Run(row.name, func(t *testing.T) {
			p := begin(t, 1)
			p.a.env.Silent = 2 * time.Second
			p.says(nil)
			p.pass(20 * ms)
			count := len(p.out)
			row.reply(p)
			if row.after > 0 {
				p.pass(row.after - ms)
				p.is("not yet", len(p.out), count)
				p.pass(ms)
			}
			p.is("sent", len(p.out), count+1)
			p.is("to", p.to[len(p.to)-1], row.to)
			if p.out[count].ID <= p.out[count-1].ID || p.out[count].Beat.Number <= p.out[count-1].Beat.Number {
				t.Errorf("%+v is not after %+v", p.out[count], p.out[count-1])
			}
		})
	}
}

func TestPausesGrowAndKeepersAreKept(t *testing.T) {
	p := begin(t, 1)
	p.says(nil)
	p.pass(20 * ms)
	p.bounce(code.NotPrimary, 0, "k8", "k8", "k9")
	draws := rand.New(rand.NewPCG(1, jitterStream))
	var to []string
	for _, pause := range []time.Duration{120 * ms, 240 * ms, 300 * ms, 300 * ms, 300 * ms} {
		want := pause + time.Duration(draws.Int64N(int64(pause/2)))
		p.pass(20 * ms)
		p.says(nil)
		at, count := p.now, len(p.out)
		p.bounce(code.NotPrimary, 0, "")
		p.pass(want - ms)
		p.is("not yet", len(p.out), count)
		p.pass(ms)
		p.is("sent", len(p.out), count+1)
		p.is("after", p.a.worker.sentAt-at, want)
		to = append(to, p.to[len(p.to)-1])
	}
	p.is("to", to, []string{"k9", "k1", "k2", "k3", "k8"})
}

// TestAgentsDoNotComeBackTogether bounces a hundred agents in the same moments, as
// a change of the lead does, and counts how many report in the same 10 ms.
func TestAgentsDoNotComeBackTogether(t *testing.T) {
	at := map[time.Duration]int{}
	for first := range uint64(100) {
		p := begin(t, 1)
		p.a = New(Env{Keepers: []string{"k1", "k2"}, First: first})
		p.says(nil)
		for range 4 {
			p.pass(500 * ms)
			p.says(nil)
			p.bounce(code.NotPrimary, 0, "")
		}
		p.pass(500 * ms)
		at[p.a.worker.sentAt/(10*ms)]++
	}
	for when, count := range at {
		if count > 30 {
			t.Errorf("%d of 100 agents report within the 10 ms from %s on", count, when*10*ms)
		}
	}
}

// TestAReportThatIsPutOff comes again when the core asks for it, with what is new
// by then, at the same keeper; the lease goes on by what the core says.
func TestAReportThatIsPutOff(t *testing.T) {
	p := begin(t, 1)
	p.says(runs("r"))
	p.pass(20 * ms)
	p.good(ledger.Orders{Lease: time.Second})
	p.pass(20 * ms)
	p.says(func(c *Call) { runs()(c); ends(end(1, "r", Good))(c) })
	count, sent := len(p.out), p.now
	p.line(wire.BeatBackBody{ID: p.last().ID, Answer: ledger.Answer{
		Code: code.InboxFull, RetryAfter: 70 * ms, Orders: ledger.Orders{Lease: 3 * time.Second},
	}})
	p.says(func(c *Call) { c.Free.Cores = 3 })
	p.pass(69 * ms)
	p.is("not yet", len(p.out), count)
	p.pass(ms)
	p.is("sent", len(p.out), count+1)
	p.is("to the same", p.to[count], p.to[count-1])
	p.is("with the end", len(p.last().Beat.Ended), 1)
	p.is("with the newest room", p.last().Beat.Free.Cores, 3)
	p.is("lease", p.a.Status().LeaseEnd, sent+3*time.Second)
}

// TestReportsKeepThePaceThatTheCoreAsksFor, which is 10 ms at least and 200 ms at most.
func TestReportsKeepThePaceThatTheCoreAsksFor(t *testing.T) {
	for _, row := range []struct{ asked, pace time.Duration }{{0, 10 * ms}, {5 * ms, 10 * ms}, {60 * ms, 60 * ms}, {900 * ms, 200 * ms}} {
		p := begin(t, 1)
		p.says(nil)
		p.pass(20 * ms)
		p.line(wire.BeatBackBody{ID: p.last().ID, Answer: ledger.Answer{RetryAfter: row.asked, Orders: ledger.Orders{Lease: lease}}})
		p.pass(400 * ms)
		for range 3 {
			p.says(func(c *Call) { c.Free.Cores = (c.Free.Cores + 1) % 8 })
			p.pass(ms)
		}
		sent, count := p.a.worker.sentAt, len(p.out)
		for p.now < sent+row.pace-ms {
			p.says(func(c *Call) { c.Free.Cores = (c.Free.Cores + 1) % 8 })
			p.pass(ms)
		}
		p.is("not yet", len(p.out), count)
		p.pass(2 * ms)
		p.is("sent", len(p.out), count+1)
	}
}

func TestReady(t *testing.T) {
	p := begin(t, 1)
	p.is("no worker yet", p.a.Ready(p.now), true)
	p.says(nil)
	p.is("no reply yet", p.a.Ready(p.now), false)
	p.pass(20 * ms)
	p.good(ledger.Orders{})
	p.is("a reply", p.a.Ready(p.now+2*time.Second), true)
	p.is("long ago", p.a.Ready(p.now+2001*ms), false)
	p.is("status", p.a.Status().Worker, "w")
	p.is("stopped", p.step(machine.Input{Stop: true}).Stopped, true)
}

func TestNoNewsIsNoReport(t *testing.T) {
	p := begin(t, 1)
	p.step(machine.Input{})
	p.is("wakeup", p.a.Wakeup(), 0*ms)
	p.is("leave of nobody", p.ask(machine.Ask{Kind: AskLeave, Name: "x"}), Told{Again: 100 * ms})
	p.is("reports", len(p.out), 0)
}

// A worker calls one call after another and takes orders from the answer to its
// last call only. Calls, answers, reports and replies are lost, and the agent
// restarts: no run may begin that the core was told of as over, none may run
// beyond the lease, no end may be forgotten before its ack, and none is stuck.
func TestNoRunIsLostOrDoubledWhateverIsLost(t *testing.T) {
	var began, dropped, restarts int
	for seed := range uint64(300) {
		r := rand.New(rand.NewPCG(seed, 1))
		p := begin(t, 1)
		chance := func(percent int) bool { return r.IntN(100) < percent }
		granted, listed, closed, acked := map[string]uint64{}, map[string]bool{}, map[string]bool{}, map[string]bool{}
		running, ended := map[string]time.Duration{}, map[string]bool{}
		var taken uint64
		var leaseEnd, workerEnd time.Duration
		next, jobs, read := 0, 0, 0
		mute, deaf := 0, 0 // for so many rounds calls, or answers, are lost
		serve := func(quiet bool) {
			if read == len(p.out) {
				return
			}
			b := p.last()
			read = len(p.out)
			if !quiet && chance(20) {
				return
			}
			if b.Beat.Number < taken {
				p.bounce(code.StaleBeat, taken, "")
				return
			}
			taken, leaseEnd = b.Beat.Number, p.now+2*time.Second
			var o ledger.Orders
			for _, e := range b.Beat.Ended {
				o.Acks = append(o.Acks, e.Attempt)
				acked[e.Job], closed[e.Job] = true, true
				delete(granted, e.Job)
			}
			now := map[string]bool{}
			for _, at := range b.Beat.Running {
				now[at.Job] = true
				if closed[at.Job] {
					o.Stops = append(o.Stops, at)
				}
			}
			for _, job := range slices.Sorted(maps.Keys(granted)) {
				switch {
				case now[job]:
					listed[job] = true
				case listed[job] || taken >= granted[job]+2:
					closed[job] = true
					delete(granted, job)
				default:
					o.Starts = append(o.Starts, start(job))
				}
			}
			if chance(20) && !quiet && b.Beat.Free.Slots > 0 {
				jobs++
				job := strconv.Itoa(jobs)
				granted[job] = taken
				o.Starts = append(o.Starts, start(job))
			}
			if o.Lease = 2 * time.Second; quiet || !chance(20) {
				p.good(o)
			}
		}
		call := func(quiet bool) {
			if p.now >= workerEnd {
				clear(running)
			}
			for _, job := range slices.Sorted(maps.Keys(running)) {
				if chance(20) {
					next++
					delete(running, job)
					ended[job] = true
					p.call.Ended = append(p.call.Ended, end(uint64(next), job, Good))
				}
			}
			list := slices.Sorted(maps.Keys(running))
			runs(list...)(&p.call)
			p.call.Free.Slots = 4 - len(list)
			p.call.Number++
			sent := p.now
			if !quiet && (mute > 0 || chance(20)) {
				return
			}
			c := p.call
			c.Ended = slices.Clone(c.Ended)
			told := p.ask(machine.Ask{Kind: AskCall, Value: c})
			if !quiet && (deaf > 0 || chance(20)) {
				return
			}
			if told.Hold > 0 {
				workerEnd = max(workerEnd, sent+told.Hold)
			}
			if workerEnd > leaseEnd {
				t.Fatalf("seed %d: the worker may hold until %s, the lease ends at %s", seed, workerEnd, leaseEnd)
			}
			p.call.Ended = slices.DeleteFunc(p.call.Ended, func(e Ended) bool {
				if e.Number <= told.Seen && !acked[e.Job] {
					t.Fatalf("seed %d: the end of %s was seen and not acked", seed, e.Job)
				}
				return e.Number <= told.Seen
			})
			for _, b := range told.Begins {
				if closed[b.Job] {
					t.Fatalf("seed %d: %s began after the core was told that it is over", seed, b.Job)
				}
				if _, known := running[b.Job]; !known && !ended[b.Job] {
					running[b.Job] = p.now
					began++
				}
			}
			for _, at := range told.Stops {
				delete(running, at.Job)
			}
		}
		for range 200 {
			p.pass(time.Duration(1+r.IntN(99)) * ms)
			serve(false)
			if mute, deaf = mute-1, deaf-1; chance(3) {
				mute = r.IntN(70)
			}
			if chance(3) {
				deaf = r.IntN(70)
			}
			if chance(60) {
				call(false)
			}
			if chance(2) {
				dropped += int(p.a.Counters().Dropped)
				restarts++
				p.a = New(Env{Keepers: []string{"k1"}, First: uint64(restarts+1) << 32})
			}
		}
		for range 200 {
			p.pass(50 * ms)
			serve(true)
			call(true)
		}
		dropped += int(p.a.Counters().Dropped)
		if len(granted)+len(running)+len(p.call.Ended) > 0 {
			t.Fatalf("seed %d: left are granted %v, running %v, ended %v", seed, granted, running, p.call.Ended)
		}
	}
	t.Logf("%d runs began, %d starts were dropped, %d restarts", began, dropped, restarts)
	if began == 0 || dropped == 0 || restarts == 0 {
		t.Error("the play does not reach what it is to judge")
	}
}

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

	"sorrelloom/core/machine"
	"sorrelloom/core/state"
	"sorrelloom/core/status"
	"sorrelloom/core/wire"
)

const (
	ms    = time.Millisecond
	lease = 6 * time.Second
)

// play drives one agent by hand: its clock, the worker's calls, the replies.
type harness struct {
	*testing.T
	agent   *Agent
	now     time.Duration
	call    Call
	lastKey uint64
	reports []wire.HeartbeatRequest // reports, in the order of their sending
	targets []string
	events  []string
}

func newHarness(t *testing.T, first uint64) *harness {
	p := &harness{T: t, now: time.Second}
	p.agent = New(Config{Address: "agent", Zone: "s", Replicas: []string{"k1", "k2", "k3"}, FirstReportID: first})
	p.call = Call{Worker: "w", Address: "here", Service: "v", Free: state.Resources{Slots: 4, Cores: 8}}
	return p
}

func (p *harness) step(in machine.Input) machine.Output {
	out := p.agent.Step(p.now, in)
	for _, s := range out.Messages {
		if s.Kind != wire.KindHeartbeat {
			p.Fatalf("a line of kind %s was sent", s.Kind)
		}
		p.reports, p.targets = append(p.reports, s.Body.(wire.HeartbeatRequest)), append(p.targets, s.To)
	}
	for _, e := range out.LogEvents {
		p.events = append(p.events, e.Name)
	}
	return out
}

// pass lets the time go on, with a step whenever the agent asks for one.
func (p *harness) advance(d time.Duration) {
	for end := p.now + d; ; {
		at := p.agent.NextTimer()
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

func (p *harness) request(in machine.Request) CallReply {
	p.lastKey++
	in.ID = p.lastKey
	out := p.step(machine.Input{Request: in})
	if len(out.Responses) != 1 || out.Responses[0].RequestID != in.ID {
		p.Fatalf("the answers to request %d are %+v", in.ID, out.Responses)
	}
	return out.Responses[0].Body.(CallReply)
}

func (p *harness) callAgent(change func(c *Call)) CallReply {
	p.call.Number++
	if change != nil {
		change(&p.call)
	}
	return p.request(machine.Request{Kind: RequestCall, Decoded: p.call})
}

func (p *harness) lastReport() wire.HeartbeatRequest {
	p.Helper()
	if len(p.reports) == 0 {
		p.Fatal("nothing was reported")
	}
	return p.reports[len(p.reports)-1]
}

func (p *harness) deliver(b wire.HeartbeatReply) {
	p.step(machine.Input{Message: machine.Message{Version: 1, Kind: wire.KindHeartbeatReply, From: "k1", Body: machine.MustMarshal(b)}})
}

// good replies to the last report.
func (p *harness) accept(o state.HeartbeatReply) {
	if o.LeaseDuration == 0 {
		o.LeaseDuration = lease
	}
	p.deliver(wire.HeartbeatReply{ID: p.lastReport().ID, Result: state.Result{Heartbeat: o}})
}

func (p *harness) reject(c status.Code, number uint64, primary string, keepers ...string) {
	p.deliver(wire.HeartbeatReply{ID: p.lastReport().ID, Result: state.Result{Code: c, Heartbeat: state.HeartbeatReply{HeartbeatNumber: number}}, Primary: primary, Replicas: keepers})
}

func (p *harness) equal(what string, got, want any) {
	p.Helper()
	if v := reflect.ValueOf(want); v.Kind() == reflect.Slice && v.Len() == 0 && reflect.ValueOf(got).Len() == 0 {
		return
	}
	if !reflect.DeepEqual(got, want) {
		p.Errorf("%s: %+v, not %+v", what, got, want)
	}
}

func attemptOf(job string) state.Attempt { return state.Attempt{Job: job, Task: "t", Number: 1} }

func startOf(job string) state.StartOrder {
	return state.StartOrder{Attempt: attemptOf(job), Resources: state.Resources{Slots: 1, Cores: 2}, Payload: json.RawMessage(`{"x":1}`), Checkpoint: "from"}
}

func ordersToStart(jobs ...string) (o state.HeartbeatReply) {
	for _, j := range jobs {
		o.Starts = append(o.Starts, startOf(j))
	}
	return o
}

func runOf(job string) Run { return Run{Attempt: attemptOf(job)} }

func withRuns(jobs ...string) func(*Call) {
	return func(c *Call) {
		c.Running = nil
		for _, j := range jobs {
			c.Running = append(c.Running, runOf(j))
		}
	}
}

func endOf(number uint64, job string, outcome Outcome) EndedRun {
	return EndedRun{Number: number, Run: runOf(job), Outcome: outcome}
}

func withEnds(list ...EndedRun) func(*Call) { return func(c *Call) { c.Ended = list } }

func startedJobs(t CallReply) (jobs []string) {
	for _, b := range t.Starts {
		jobs = append(jobs, b.Job)
	}
	return jobs
}

func jobsOf(list []state.Attempt) (jobs []string) {
	for _, a := range list {
		jobs = append(jobs, a.Job)
	}
	return jobs
}

func lostJobs(b state.Heartbeat) (jobs []string) {
	for _, e := range b.Ended {
		if e.Lost {
			jobs = append(jobs, e.Job)
		}
	}
	return jobs
}

// taken brings a worker to where a reply has brought the start of job a.
func acceptStartA(p *harness) {
	p.callAgent(nil)
	p.advance(20 * ms)
	p.accept(ordersToStart("a"))
}

func TestRefusedStartIsReportedLost(t *testing.T) {
	for _, row := range []struct {
		name string
		play func(p *harness) CallReply
	}{
		{"it leaves", func(p *harness) CallReply { return p.callAgent(func(c *Call) { c.Leaving = true }) }},
		{"it said that it is gone", func(p *harness) CallReply { return p.request(machine.Request{Kind: RequestLeave, Name: "w"}) }},
		{"it calls after it said so", func(p *harness) CallReply {
			p.request(machine.Request{Kind: RequestLeave, Name: "w"})
			return p.callAgent(nil)
		}},
		{"it did not call in time", func(p *harness) CallReply { p.advance(1501 * ms); return p.callAgent(nil) }},
		{"a stop came before", func(p *harness) CallReply {
			p.advance(10 * ms)
			p.accept(state.HeartbeatReply{Stops: []state.Attempt{attemptOf("a")}})
			return p.callAgent(nil)
		}},
		{"it leaves by the time of the reply", func(p *harness) CallReply {
			told := p.callAgent(func(c *Call) { c.Leaving = true })
			p.advance(20 * ms)
			p.accept(ordersToStart("b"))
			if later := p.callAgent(nil); len(later.Starts) > 0 {
				p.Error("a start was handed over")
			}
			p.advance(20 * ms)
			p.equal("lost", lostJobs(p.lastReport().Heartbeat), []string{"a", "b"})
			p.accept(state.HeartbeatReply{Acks: []state.Attempt{attemptOf("b")}})
			p.advance(20 * ms)
			return told
		}},
	} {
		t.Run(row.name, func(t *testing.T) {
			p := newHarness(t, 1)
			acceptStartA(p)
			told := row.play(p)
			p.advance(20 * ms)
			p.equal("begins", startedJobs(told), []string(nil))
			p.equal("lost", lostJobs(p.lastReport().Heartbeat), []string{"a"})
			p.equal("running", jobsOf(p.lastReport().Heartbeat.Running), []string(nil))
			p.equal("begins counted", p.agent.Counters().Starts, uint64(0))
			if !slices.Contains(p.events, "start_dropped") {
				t.Error("nothing was logged")
			}
			if !p.lastReport().Heartbeat.Leaving {
				p.equal("free", p.lastReport().Heartbeat.Free, p.call.Free)
			}
		})
	}
}

func TestNoStartAfterLeaseExpiry(t *testing.T) {
	p := newHarness(t, 1)
	p.callAgent(nil)
	p.advance(20 * ms)
	p.accept(state.HeartbeatReply{LeaseDuration: 300 * ms, Starts: ordersToStart("a").Starts})
	p.advance(290 * ms)
	told := p.callAgent(nil)
	p.equal("begins", startedJobs(told), []string(nil))
	p.equal("hold", told.LeaseRemaining, 0*ms)
	p.advance(20 * ms)
	p.equal("lost", lostJobs(p.lastReport().Heartbeat), []string{"a"})
}

func TestStaleRepliesAreIgnored(t *testing.T) {
	for _, row := range []struct {
		name string
		id   func(p *harness) uint64
	}{
		{"to a report that was replaced", func(p *harness) uint64 {
			id := p.lastReport().ID
			p.advance(20 * ms)
			p.callAgent(func(c *Call) { c.Free.Slots = 3 })
			return id
		}},
		{"to no report", func(p *harness) uint64 { return p.lastReport().ID + 1 }},
		{"to a report of the process before", func(p *harness) uint64 {
			id := p.lastReport().ID
			p.agent = New(Config{Replicas: []string{"k1"}, FirstReportID: 9000})
			p.callAgent(nil)
			return id
		}},
		{"after the wait for it was over", func(p *harness) uint64 {
			id := p.lastReport().ID
			for range 12 {
				p.advance(100 * ms)
				p.callAgent(nil)
			}
			return id
		}},
		{"of a worker that is silent", func(p *harness) uint64 {
			id := p.lastReport().ID
			p.advance(1050 * ms)
			return id
		}},
	} {
		t.Run(row.name, func(t *testing.T) {
			p := newHarness(t, 1)
			p.callAgent(nil)
			o := ordersToStart("a")
			o.LeaseDuration, o.Epoch = lease, 9
			p.deliver(wire.HeartbeatReply{ID: row.id(p), Result: state.Result{Heartbeat: o}, Replicas: []string{"bad"}})
			told := p.callAgent(nil)
			p.equal("told", told, CallReply{NextCallIn: 100 * ms})
			p.equal("keepers", p.agent.replicas.known, []string(nil))
		})
	}
}

func TestReplyAfterTimeoutIsDropped(t *testing.T) {
	for _, row := range []struct {
		after time.Duration
		lease time.Duration
	}{{2 * time.Second, time.Second + lease}, {2001 * ms, 0}} {
		p := newHarness(t, 1)
		p.agent.config.ReportWait, p.agent.config.CallTimeout = 5*time.Second, 5*time.Second
		p.callAgent(nil)
		p.advance(row.after)
		p.accept(ordersToStart("a"))
		p.equal("lease", p.agent.Status().LeaseExpiry, row.lease)
	}
}

func TestGrantNeverExceedsLease(t *testing.T) {
	p := newHarness(t, 1)
	p.equal("first", p.callAgent(nil), CallReply{NextCallIn: 100 * ms})
	sent := p.now
	p.equal("held", p.lastReport().MaxWait, 500*ms)
	p.advance(400 * ms)
	p.accept(state.HeartbeatReply{Epoch: 4})
	p.equal("counted from the sending", p.callAgent(nil), CallReply{LeaseRemaining: lease - 400*ms, FencingEpoch: 4, NextCallIn: 100 * ms})
	p.advance(20 * ms)
	p.accept(state.HeartbeatReply{LeaseDuration: 100 * ms, Epoch: 3})
	p.equal("never shortened, the fence never lower", p.callAgent(nil), CallReply{LeaseRemaining: sent + lease - p.now, FencingEpoch: 4, NextCallIn: 100 * ms})
	p.advance(time.Second)
	p.reject(status.ReplicasUnavailable, 0, "")
	p.equal("a bounce extends nothing", p.callAgent(nil).LeaseRemaining, sent+lease-p.now)
	for p.now < sent+lease+time.Second {
		p.advance(100 * ms)
		if told := p.callAgent(nil); told.LeaseRemaining != max(0, sent+lease-p.now) {
			t.Fatalf("%s after the report the hold is %s", p.now-sent, told.LeaseRemaining)
		}
	}
}

func TestStartIsRepeatedUntilListed(t *testing.T) {
	p := newHarness(t, 1)
	acceptStartA(p)
	p.equal("listed", jobsOf(p.lastReport().Heartbeat.Running), []string{"a"})
	p.equal("free less its room", p.lastReport().Heartbeat.Free, state.Resources{Slots: 3, Cores: 6})
	p.equal("no progress of its own", len(p.lastReport().Heartbeat.Progress), 0)
	told := p.callAgent(nil)
	p.equal("begins", told.Starts, []StartOrder{{attemptOf("a"), []byte(`{"x":1}`), "from"}})
	p.equal("again", startedJobs(p.callAgent(nil)), []string{"a"})
	p.equal("without orders to a call that came before", p.request(machine.Request{Kind: RequestCall, Decoded: Call{Worker: "w", Number: 1, Leaving: true}}).Starts, []StartOrder(nil))
	p.advance(20 * ms)
	told = p.callAgent(func(c *Call) {
		c.Running = []Run{{attemptOf("a"), "from", 0}}
		c.Free = state.Resources{Slots: 3, Cores: 6}
	})
	p.equal("listed, given no more", startedJobs(told), []string(nil))
	p.advance(20 * ms)
	p.equal("free is the worker's word", p.lastReport().Heartbeat.Free, state.Resources{Slots: 3, Cores: 6})
	p.equal("listed once", jobsOf(p.lastReport().Heartbeat.Running), []string{"a"})
	p.accept(ordersToStart("a"))
	p.equal("known, ignored", startedJobs(p.callAgent(nil)), []string(nil))
	p.equal("counted once", p.agent.Counters().Starts, uint64(1))
}

func TestFreeResourcesAreNeverNegative(t *testing.T) {
	p := newHarness(t, 1)
	p.call.Free = state.Resources{Slots: 1, Cores: 1}
	acceptStartA(p)
	p.advance(20 * ms)
	p.equal("free", p.lastReport().Heartbeat.Free, state.Resources{})
}

func TestHandedOverStartIsDroppedOnlyByLaterCall(t *testing.T) {
	for _, row := range []struct {
		name string
		why  func(p *harness)
		stop bool
	}{
		{"it leaves", func(p *harness) { p.callAgent(func(c *Call) { c.Leaving = true }) }, false},
		{"stopped", func(p *harness) {
			p.advance(20 * ms)
			p.accept(state.HeartbeatReply{Stops: []state.Attempt{attemptOf("a")}})
			p.equal("stops", p.callAgent(nil).Stops, []state.Attempt{attemptOf("a")})
		}, true},
		{"never taken up", func(p *harness) {
			for range 15 {
				p.advance(99 * ms)
				p.accept(state.HeartbeatReply{})
				p.equal("handed over again", startedJobs(p.callAgent(nil)), []string{"a"})
			}
			p.advance(99 * ms)
			p.accept(state.HeartbeatReply{})
			p.equal("withdrawn", startedJobs(p.callAgent(nil)), []string(nil))
		}, false},
	} {
		t.Run(row.name, func(t *testing.T) {
			p := newHarness(t, 1)
			acceptStartA(p)
			p.equal("begins", startedJobs(p.callAgent(nil)), []string{"a"})
			row.why(p)
			p.advance(20 * ms)
			p.equal("may run still", jobsOf(p.lastReport().Heartbeat.Running), []string{"a"})
			p.equal("not lost yet", lostJobs(p.lastReport().Heartbeat), []string(nil))
			p.equal("not given again", startedJobs(p.callAgent(nil)), []string(nil))
			p.advance(20 * ms)
			p.equal("runs no more", jobsOf(p.lastReport().Heartbeat.Running), []string(nil))
			p.equal("lost", lostJobs(p.lastReport().Heartbeat), []string{"a"})
			p.equal("no stop is left", len(p.callAgent(nil).Stops), 0)
			// It ran after all: the worker's word replaces ours.
			p.callAgent(withEnds(endOf(1, "a", OutcomeSucceeded)))
			p.advance(20 * ms)
			p.equal("ended", p.lastReport().Heartbeat.Ended, []state.AttemptResult{{Attempt: attemptOf("a"), Succeeded: true}})
		})
	}
}

func TestEndsAreAcknowledgedOnlyAfterTheCore(t *testing.T) {
	p := newHarness(t, 1)
	p.callAgent(withRuns("a", "b", "c"))
	p.advance(20 * ms)
	p.accept(state.HeartbeatReply{})
	p.advance(20 * ms)
	list := []EndedRun{endOf(1, "a", OutcomeSucceeded), endOf(2, "b", OutcomeFailed), endOf(3, "c", OutcomeStopped)}
	list[1].Checkpoint, list[1].Percent, list[1].Reason = "half", 50, "broke"
	p.equal("seen", p.callAgent(withEnds(list...)).AcknowledgedEnds, uint64(0))
	p.equal("at once", p.lastReport().Heartbeat.Ended, []state.AttemptResult{{Attempt: attemptOf("a"), Succeeded: true}, {Attempt: attemptOf("b"), Reason: "broke", Checkpoint: "half", Percent: 50}, {Attempt: attemptOf("c"), Stopped: true}})
	p.equal("run no more", jobsOf(p.lastReport().Heartbeat.Running), []string(nil))
	p.advance(20 * ms)
	p.accept(state.HeartbeatReply{Acks: []state.Attempt{attemptOf("b"), attemptOf("c")}})
	p.equal("the first is open", p.callAgent(nil).AcknowledgedEnds, uint64(0))
	p.advance(20 * ms)
	p.equal("the first again", jobsOfEnds(p.lastReport().Heartbeat.Ended), []string{"a"})
	p.reject(status.ReplicasUnavailable, 0, "")
	p.equal("a bounce acks nothing", p.callAgent(nil).AcknowledgedEnds, uint64(0))
	p.advance(200 * ms)
	p.callAgent(withEnds(append(list, endOf(4, "d", OutcomeLost))...))
	p.deliver(wire.HeartbeatReply{ID: p.lastReport().ID - 1, Result: state.Result{Heartbeat: state.HeartbeatReply{Acks: []state.Attempt{attemptOf("a")}}}})
	p.equal("a stale reply acks nothing", p.callAgent(nil).AcknowledgedEnds, uint64(0))
	p.advance(20 * ms)
	p.accept(state.HeartbeatReply{Acks: []state.Attempt{attemptOf("a")}})
	p.equal("all but the last", p.callAgent(nil).AcknowledgedEnds, uint64(3))
	p.advance(20 * ms)
	p.equal("the last", p.lastReport().Heartbeat.Ended, []state.AttemptResult{{Attempt: attemptOf("d"), Lost: true}})
	p.accept(state.HeartbeatReply{Acks: []state.Attempt{attemptOf("d")}})
	p.equal("all", p.callAgent(withEnds()).AcknowledgedEnds, uint64(4))
}

func jobsOfEnds(list []state.AttemptResult) (jobs []string) {
	for _, e := range list {
		jobs = append(jobs, e.Job)
	}
	return jobs
}

func TestARestartedAgentFindsItsNumberAndItsRuns(t *testing.T) {
	p := newHarness(t, 1)
	acceptStartA(p)
	p.equal("begins", startedJobs(p.callAgent(nil)), []string{"a"})
	p.advance(20 * ms)
	p.accept(ordersToStart("never"))
	// The next process knows nothing until the worker calls.
	p.agent = New(Config{Replicas: []string{"k1"}, FirstReportID: 5000})
	count := len(p.reports)
	p.advance(50 * ms)
	p.equal("nothing is reported", len(p.reports), count)
	told := p.callAgent(func(c *Call) { withRuns("a")(c); withEnds(endOf(7, "z", OutcomeSucceeded))(c) })
	p.equal("told", told, CallReply{AcknowledgedEnds: 6, NextCallIn: 100 * ms})
	p.equal("number", p.lastReport().Heartbeat.Number, uint64(1))
	p.reject(status.StaleHeartbeat, 41, "")
	p.advance(10 * ms)
	b := p.lastReport().Heartbeat
	p.equal("number", b.Number, uint64(42))
	p.equal("running", jobsOf(b.Running), []string{"a"})
	p.equal("ended", jobsOfEnds(b.Ended), []string{"z"})
	p.accept(state.HeartbeatReply{Acks: []state.Attempt{attemptOf("z")}, Starts: ordersToStart("a").Starts})
	told = p.callAgent(nil)
	p.equal("seen", told.AcknowledgedEnds, uint64(7))
	p.equal("what runs is not begun again", startedJobs(told), []string(nil))
	p.advance(10 * ms)
	p.equal("by exactly 1", p.lastReport().Heartbeat.Number, uint64(43))
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
			p := newHarness(t, 1)
			p.callAgent(func(c *Call) {
				if row.restart {
					withRuns("r")(c)
				}
			})
			p.advance(20 * ms)
			p.accept(state.HeartbeatReply{})
			called := p.now
			if row.restart {
				called -= 20 * ms
			} else {
				p.callAgent(withRuns("r"))
			}
			p.advance(10 * ms)
			for p.now < called+900*ms {
				p.advance(100 * ms)
				p.accept(state.HeartbeatReply{})
			}
			p.advance(called + 1050*ms - p.now)
			count := len(p.reports)
			p.accept(ordersToStart("a"))
			p.advance(called + row.after - p.now)
			p.equal("silent", len(p.reports), count)
			p.advance(2 * ms)
			p.equal("one more", len(p.reports), count+1)
			b := p.lastReport().Heartbeat
			p.equal("running", jobsOf(b.Running), []string(nil))
			p.equal("free", b.Free, state.Resources{})
			p.equal("leaving", b.Leaving, false)
			p.accept(state.HeartbeatReply{})
			p.advance(20 * time.Second)
			p.equal("then nothing", len(p.reports), count+1)
			p.equal("hold", p.callAgent(nil).LeaseRemaining, 0*ms)
			p.equal("as usual", jobsOf(p.lastReport().Heartbeat.Running), []string{"r"})
			p.equal("no wonder", slices.Contains(p.events, "worker_lost"), true)
		})
	}
}

func TestAnotherWorkerAtTheAddress(t *testing.T) {
	p := newHarness(t, 1)
	acceptStartA(p)
	p.advance(20 * ms)
	p.callAgent(func(c *Call) { withRuns("r")(c); withEnds(endOf(1, "z", OutcomeSucceeded))(c) })
	p.advance(20 * ms)
	p.accept(ordersToStart("b"))
	p.advance(20 * ms)
	number := p.lastReport().Heartbeat.Number
	old := p.call
	p.call = Call{Worker: "w2", Address: "here", Service: "v", Free: state.Resources{Slots: 4}}
	told := p.callAgent(nil)
	p.equal("told", told, CallReply{NextCallIn: 100 * ms})
	p.advance(20 * ms)
	b := p.lastReport().Heartbeat
	p.equal("the old one first", b.Worker, "w")
	p.equal("number", b.Number, number+1)
	p.equal("leaving", b.Leaving, true)
	p.equal("running", jobsOf(b.Running), []string(nil))
	p.equal("ended", jobsOfEnds(b.Ended), []string{"z", "b"})
	p.reject(status.ReplicasUnavailable, 0, "")
	p.advance(120 * ms)
	p.equal("again", p.lastReport().Heartbeat.Worker, "w")
	p.accept(state.HeartbeatReply{Acks: []state.Attempt{attemptOf("z"), attemptOf("b")}})
	p.advance(20 * ms)
	p.equal("then the new one", p.lastReport().Heartbeat.Worker, "w2")
	p.equal("from 1", p.lastReport().Heartbeat.Number, uint64(1))
	p.equal("its own lease only", p.callAgent(nil).LeaseRemaining, 0*ms)
	p.accept(ordersToStart("c"))
	old.Number += 9
	p.equal("a call of the dead one", p.request(machine.Request{Kind: RequestCall, Decoded: old}), CallReply{NextCallIn: 100 * ms})
	p.equal("the new one is kept", startedJobs(p.callAgent(nil)), []string{"c"})
}

func TestLeavingWorkerIsRemoved(t *testing.T) {
	for _, row := range []struct {
		name  string
		runs  []string
		after time.Duration
	}{
		{"that runs nothing", nil, 20 * ms},
		{"after its hold", []string{"r"}, lease*103/100 + 200*ms},
	} {
		t.Run(row.name, func(t *testing.T) {
			p := newHarness(t, 1)
			p.callAgent(withRuns(row.runs...))
			p.advance(20 * ms)
			p.accept(state.HeartbeatReply{})
			p.advance(20 * ms)
			p.callAgent(nil)
			p.request(machine.Request{Kind: RequestLeave, Name: "w"})
			p.advance(10 * ms)
			p.equal("leaving", p.lastReport().Heartbeat.Leaving, true)
			p.equal("running", jobsOf(p.lastReport().Heartbeat.Running), row.runs)
			p.advance(row.after)
			p.equal("leaving", p.lastReport().Heartbeat.Leaving, true)
			p.equal("running", jobsOf(p.lastReport().Heartbeat.Running), []string(nil))
			p.accept(state.HeartbeatReply{})
			count := len(p.reports)
			p.advance(10 * time.Second)
			p.equal("then nothing", len(p.reports), count)
			p.equal("forgotten", p.agent.Status().Worker, "")
			late := p.call
			p.equal("a late call of it", p.request(machine.Request{Kind: RequestCall, Decoded: late}), CallReply{NextCallIn: 100 * ms})
			p.equal("forgotten still", p.agent.Status().Worker, "")
			p.call = Call{Worker: "w2", Address: "here"}
			p.callAgent(nil)
			late.Number += 5
			p.request(machine.Request{Kind: RequestCall, Decoded: late})
			p.equal("the new one is kept", p.agent.Status().Worker, "w2")
		})
	}
}

func TestStopIsRepeatedUntilRunIsUnlisted(t *testing.T) {
	p := newHarness(t, 1)
	p.callAgent(withRuns("r", "q"))
	p.advance(20 * ms)
	p.accept(state.HeartbeatReply{Stops: []state.Attempt{attemptOf("r"), attemptOf("x")}})
	for range 3 {
		p.advance(20 * ms)
		p.equal("stops", p.callAgent(nil).Stops, []state.Attempt{attemptOf("r")})
		p.accept(state.HeartbeatReply{})
	}
	p.equal("listed no more", len(p.callAgent(func(c *Call) { withRuns("q")(c); withEnds(endOf(1, "r", OutcomeStopped))(c) }).Stops), 0)
	p.equal("counted", p.agent.Counters().Stops, uint64(1))
}

func TestReportTiming(t *testing.T) {
	for _, row := range []struct {
		name   string
		change func(c *Call)
		after  time.Duration // until the report is sent that replaces the one out; 0 is none
	}{
		{"nothing changed", nil, 0},
		{"an end", withEnds(endOf(1, "z", OutcomeSucceeded)), 0 + 1},
		{"a run less", withRuns(), 1},
		{"free", func(c *Call) { c.Free.Cores = 1 }, 1},
		{"labels", func(c *Call) { c.Labels = []string{"l"} }, 1},
		{"leaving", func(c *Call) { c.Leaving = true }, 1},
		{"saved", func(c *Call) { c.Running = []Run{{attemptOf("r"), "s1", 10}} }, 400 * ms},
	} {
		t.Run(row.name, func(t *testing.T) {
			p := newHarness(t, 1)
			p.callAgent(withRuns("r"))
			p.advance(20 * ms)
			p.accept(state.HeartbeatReply{})
			sent, count := p.now, len(p.reports)
			p.advance(20 * ms)
			p.callAgent(row.change)
			if row.after == 1 {
				p.equal("at once", len(p.reports), count+1)
				p.equal("held as long as the first would be", p.lastReport().MaxWait, 480*ms)
				p.callAgent(func(c *Call) { c.Free.Cores = 2 })
				p.equal("not within 10 ms", len(p.reports), count+1)
				p.advance(10 * ms)
				p.equal("after 10 ms", len(p.reports), count+2)
				return
			}
			p.advance(sent + 399*ms - p.now)
			p.equal("not yet", len(p.reports), count)
			p.advance(2 * ms)
			p.equal("sent", len(p.reports), count+min(int(row.after), 1))
		})
	}
}

// TestAStartThatTheWorkerListsIsReportedOnce has a worker list a start that was
// reported when it was taken, and counts its room itself or not.
func TestListedStartIsReportedOnce(t *testing.T) {
	for name, left := range map[string]state.Resources{"it says all it has": {Slots: 4, Cores: 8}, "it says what is left": {Slots: 3, Cores: 6}} {
		t.Run(name, func(t *testing.T) {
			p := newHarness(t, 1)
			acceptStartA(p)
			p.advance(20 * ms)
			p.equal("reported as taken", jobsOf(p.lastReport().Heartbeat.Running), []string{"a"})
			p.callAgent(nil)
			count := len(p.reports)
			p.advance(100 * ms)
			p.callAgent(func(c *Call) { withRuns("a")(c); c.Free = left })
			p.advance(100 * ms)
			p.equal("reports of the listing", len(p.reports), count)
			p.callAgent(func(c *Call) { withRuns()(c); withEnds(endOf(1, "a", OutcomeSucceeded))(c) })
			p.advance(20 * ms)
			p.equal("reports with the end", len(p.reports), count+1)
		})
	}
}

func TestProgressIsReportedUntilAcknowledged(t *testing.T) {
	p := newHarness(t, 1)
	p.callAgent(func(c *Call) { c.Running = []Run{{attemptOf("r"), "s1", 10}, runOf("q")} })
	want := []state.Progress{{Attempt: attemptOf("r"), Checkpoint: "s1", Percent: 10}}
	p.equal("progress", p.lastReport().Heartbeat.Progress, want)
	p.reject(status.ReplicasUnavailable, 0, "")
	p.advance(120 * ms)
	p.equal("again", p.lastReport().Heartbeat.Progress, want)
	p.advance(20 * ms)
	p.accept(state.HeartbeatReply{})
	p.advance(20 * ms)
	p.equal("acknowledged", len(p.lastReport().Heartbeat.Progress), 0)
}

// A worker whose reports keep changing must not lose its lease by them.
func TestReplacedReportsKeepTheFirstDeadline(t *testing.T) {
	p := newHarness(t, 1)
	p.callAgent(nil)
	first := p.now
	for p.now < first+480*ms {
		p.advance(30 * ms)
		p.callAgent(func(c *Call) { c.Free.Cores = (c.Free.Cores + 1) % 8 })
		p.equal("held", p.lastReport().MaxWait, first+500*ms-p.now)
	}
	count := len(p.reports)
	p.advance(60 * ms)
	p.callAgent(func(c *Call) { c.Free.Cores = 9 })
	p.advance(60 * ms)
	p.equal("waits for the reply", len(p.reports), count)
	p.accept(state.HeartbeatReply{})
	p.equal("then at once", p.lastReport().Heartbeat.Free.Cores, 9)
}

func TestReportTarget(t *testing.T) {
	for _, row := range []struct {
		name  string
		reply func(p *harness)
		to    string
		after time.Duration
	}{
		{"a good reply", func(p *harness) { p.accept(state.HeartbeatReply{}) }, "k1", 0},
		{"the primary is named", func(p *harness) { p.reject(status.NotPrimary, 0, "k9", "k8", "k9") }, "k9", 0},
		{"no primary is named", func(p *harness) { p.reject(status.NotPrimary, 0, "") }, "k2", 60 * ms},
		{"keepers are named", func(p *harness) { p.reject(status.NotPrimary, 0, "", "k8", "k9") }, "k2", 60 * ms},
		{"the duty is elsewhere", func(p *harness) { p.reject(status.StaleEpoch, 0, "") }, "k1", 100 * ms},
		{"no authority", func(p *harness) { p.reject(status.ReplicasUnavailable, 0, "") }, "k1", 100 * ms},
		{"the number is stale", func(p *harness) { p.reject(status.StaleHeartbeat, 7, "") }, "k1", 0},
		{"no reply", func(p *harness) {}, "k2", 1080 * ms},
	} {
		t.Run(row.name, func(t *testing.T) {
			p := newHarness(t, 1)
			p.agent.config.CallTimeout = 2 * time.Second
			p.callAgent(nil)
			p.advance(20 * ms)
			count := len(p.reports)
			row.reply(p)
			if row.after > 0 {
				p.advance(row.after - ms)
				p.equal("not yet", len(p.reports), count)
				p.advance(ms)
			}
			p.equal("sent", len(p.reports), count+1)
			p.equal("to", p.targets[len(p.targets)-1], row.to)
			if p.reports[count].ID <= p.reports[count-1].ID || p.reports[count].Heartbeat.Number <= p.reports[count-1].Heartbeat.Number {
				t.Errorf("%+v is not after %+v", p.reports[count], p.reports[count-1])
			}
		})
	}
}

func TestBackoffGrowsAndReplicasAreKept(t *testing.T) {
	p := newHarness(t, 1)
	p.callAgent(nil)
	p.advance(20 * ms)
	p.reject(status.NotPrimary, 0, "k8", "k8", "k9")
	draws := rand.New(rand.NewPCG(1, jitterStream))
	var to []string
	for _, pause := range []time.Duration{120 * ms, 240 * ms, 300 * ms, 300 * ms, 300 * ms} {
		want := pause + time.Duration(draws.Int64N(int64(pause/2)))
		p.advance(20 * ms)
		p.callAgent(nil)
		at, count := p.now, len(p.reports)
		p.reject(status.NotPrimary, 0, "")
		p.advance(want - ms)
		p.equal("not yet", len(p.reports), count)
		p.advance(ms)
		p.equal("sent", len(p.reports), count+1)
		p.equal("after", p.agent.worker.reports.sentAt-at, want)
		to = append(to, p.targets[len(p.targets)-1])
	}
	p.equal("to", to, []string{"k9", "k1", "k2", "k3", "k8"})
}

// TestAgentsDoNotComeBackTogether bounces a hundred agents in the same moments, as
// a change of the lead does, and counts how many report in the same 10 ms.
func TestAgentRetriesAreSpread(t *testing.T) {
	at := map[time.Duration]int{}
	for first := range uint64(100) {
		p := newHarness(t, 1)
		p.agent = New(Config{Replicas: []string{"k1", "k2"}, FirstReportID: first})
		p.callAgent(nil)
		for range 4 {
			p.advance(500 * ms)
			p.callAgent(nil)
			p.reject(status.NotPrimary, 0, "")
		}
		p.advance(500 * ms)
		at[p.agent.worker.reports.sentAt/(10*ms)]++
	}
	for when, count := range at {
		if count > 30 {
			t.Errorf("%d of 100 agents report within the 10 ms from %s on", count, when*10*ms)
		}
	}
}

// TestAReportThatIsPutOff comes again when the core asks for it, with what is new
// by then, at the same keeper; the lease goes on by what the core says.
func TestDeferredReport(t *testing.T) {
	p := newHarness(t, 1)
	p.callAgent(withRuns("r"))
	p.advance(20 * ms)
	p.accept(state.HeartbeatReply{LeaseDuration: time.Second})
	p.advance(20 * ms)
	p.callAgent(func(c *Call) { withRuns()(c); withEnds(endOf(1, "r", OutcomeSucceeded))(c) })
	count, sent := len(p.reports), p.now
	p.deliver(wire.HeartbeatReply{ID: p.lastReport().ID, Result: state.Result{
		Code: status.QueueFull, RetryAfter: 70 * ms, Heartbeat: state.HeartbeatReply{LeaseDuration: 3 * time.Second},
	}})
	p.callAgent(func(c *Call) { c.Free.Cores = 3 })
	p.advance(69 * ms)
	p.equal("not yet", len(p.reports), count)
	p.advance(ms)
	p.equal("sent", len(p.reports), count+1)
	p.equal("to the same", p.targets[count], p.targets[count-1])
	p.equal("with the end", len(p.lastReport().Heartbeat.Ended), 1)
	p.equal("with the newest room", p.lastReport().Heartbeat.Free.Cores, 3)
	p.equal("lease", p.agent.Status().LeaseExpiry, sent+3*time.Second)
}

// TestReportsKeepThePaceThatTheCoreAsksFor, which is 10 ms at least and 200 ms at most.
func TestReportIntervalFollowsTheCore(t *testing.T) {
	for _, row := range []struct{ asked, pace time.Duration }{{0, 10 * ms}, {5 * ms, 10 * ms}, {60 * ms, 60 * ms}, {900 * ms, 200 * ms}} {
		p := newHarness(t, 1)
		p.callAgent(nil)
		p.advance(20 * ms)
		p.deliver(wire.HeartbeatReply{ID: p.lastReport().ID, Result: state.Result{RetryAfter: row.asked, Heartbeat: state.HeartbeatReply{LeaseDuration: lease}}})
		p.advance(400 * ms)
		for range 3 {
			p.callAgent(func(c *Call) { c.Free.Cores = (c.Free.Cores + 1) % 8 })
			p.advance(ms)
		}
		sent, count := p.agent.worker.reports.sentAt, len(p.reports)
		for p.now < sent+row.pace-ms {
			p.callAgent(func(c *Call) { c.Free.Cores = (c.Free.Cores + 1) % 8 })
			p.advance(ms)
		}
		p.equal("not yet", len(p.reports), count)
		p.advance(2 * ms)
		p.equal("sent", len(p.reports), count+1)
	}
}

func TestReady(t *testing.T) {
	p := newHarness(t, 1)
	p.equal("no worker yet", p.agent.Ready(p.now), true)
	p.callAgent(nil)
	p.equal("no reply yet", p.agent.Ready(p.now), false)
	p.advance(20 * ms)
	p.accept(state.HeartbeatReply{})
	p.equal("a reply", p.agent.Ready(p.now+2*time.Second), true)
	p.equal("long ago", p.agent.Ready(p.now+2001*ms), false)
	p.equal("status", p.agent.Status().Worker, "w")
	p.equal("stopped", p.step(machine.Input{Stop: true}).Stopped, true)
}

func TestNoReportWithoutWorker(t *testing.T) {
	p := newHarness(t, 1)
	p.step(machine.Input{})
	p.equal("wakeup", p.agent.NextTimer(), 0*ms)
	p.equal("leave of nobody", p.request(machine.Request{Kind: RequestLeave, Name: "x"}), CallReply{NextCallIn: 100 * ms})
	p.equal("reports", len(p.reports), 0)
}

// A worker calls one call after another and takes orders from the answer to its
// last call only. Calls, answers, reports and replies are lost, and the agent
// restarts: no run may begin that the core was told of as over, none may run
// beyond the lease, no end may be forgotten before its ack, and none is stuck.
func TestRunsSurviveLossAndRestarts(t *testing.T) {
	var began, dropped, restarts int
	for seed := range uint64(300) {
		r := rand.New(rand.NewPCG(seed, 1))
		p := newHarness(t, 1)
		chance := func(percent int) bool { return r.IntN(100) < percent }
		granted, listed, closed, acked := map[string]uint64{}, map[string]bool{}, map[string]bool{}, map[string]bool{}
		running, ended := map[string]time.Duration{}, map[string]bool{}
		var taken uint64
		var leaseEnd, workerEnd time.Duration
		next, jobs, read := 0, 0, 0
		mute, deaf := 0, 0 // for so many rounds calls, or answers, are lost
		serve := func(quiet bool) {
			if read == len(p.reports) {
				return
			}
			b := p.lastReport()
			read = len(p.reports)
			if !quiet && chance(20) {
				return
			}
			if b.Heartbeat.Number < taken {
				p.reject(status.StaleHeartbeat, taken, "")
				return
			}
			taken, leaseEnd = b.Heartbeat.Number, p.now+2*time.Second
			var o state.HeartbeatReply
			for _, e := range b.Heartbeat.Ended {
				o.Acks = append(o.Acks, e.Attempt)
				acked[e.Job], closed[e.Job] = true, true
				delete(granted, e.Job)
			}
			now := map[string]bool{}
			for _, at := range b.Heartbeat.Running {
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
					o.Starts = append(o.Starts, startOf(job))
				}
			}
			if chance(20) && !quiet && b.Heartbeat.Free.Slots > 0 {
				jobs++
				job := strconv.Itoa(jobs)
				granted[job] = taken
				o.Starts = append(o.Starts, startOf(job))
			}
			if o.LeaseDuration = 2 * time.Second; quiet || !chance(20) {
				p.accept(o)
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
					p.call.Ended = append(p.call.Ended, endOf(uint64(next), job, OutcomeSucceeded))
				}
			}
			list := slices.Sorted(maps.Keys(running))
			withRuns(list...)(&p.call)
			p.call.Free.Slots = 4 - len(list)
			p.call.Number++
			sent := p.now
			if !quiet && (mute > 0 || chance(20)) {
				return
			}
			c := p.call
			c.Ended = slices.Clone(c.Ended)
			told := p.request(machine.Request{Kind: RequestCall, Decoded: c})
			if !quiet && (deaf > 0 || chance(20)) {
				return
			}
			if told.LeaseRemaining > 0 {
				workerEnd = max(workerEnd, sent+told.LeaseRemaining)
			}
			if workerEnd > leaseEnd {
				t.Fatalf("seed %d: the worker may hold until %s, the lease ends at %s", seed, workerEnd, leaseEnd)
			}
			p.call.Ended = slices.DeleteFunc(p.call.Ended, func(e EndedRun) bool {
				if e.Number <= told.AcknowledgedEnds && !acked[e.Job] {
					t.Fatalf("seed %d: the end of %s was seen and not acked", seed, e.Job)
				}
				return e.Number <= told.AcknowledgedEnds
			})
			for _, b := range told.Starts {
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
			p.advance(time.Duration(1+r.IntN(99)) * ms)
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
				dropped += int(p.agent.Counters().DroppedStarts)
				restarts++
				p.agent = New(Config{Replicas: []string{"k1"}, FirstReportID: uint64(restarts+1) << 32})
			}
		}
		for range 200 {
			p.advance(50 * ms)
			serve(true)
			call(true)
		}
		dropped += int(p.agent.Counters().DroppedStarts)
		if len(granted)+len(running)+len(p.call.Ended) > 0 {
			t.Fatalf("seed %d: left are granted %v, running %v, ended %v", seed, granted, running, p.call.Ended)
		}
	}
	t.Logf("%d runs began, %d starts were dropped, %d restarts", began, dropped, restarts)
	if began == 0 || dropped == 0 || restarts == 0 {
		t.Error("the play does not reach what it is to judge")
	}
}

package agent

import (
	"encoding/json"
	"reflect"
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

// harness drives one agent: it advances the clock, acts as the worker and the primary, and
// records the agent's reports, probes and log events.
type harness struct {
	*testing.T
	agent         *Agent
	now           time.Duration
	call          Call
	lastRequestID uint64
	// reports are the reports sent, in order, and targets the replicas they were sent to.
	reports []wire.HeartbeatRequest
	targets []string
	// probes are the probes sent, in order, and probeTargets the replicas they were sent to.
	probes       []wire.CommandRequest
	probeTargets []string
	// events are the names of the log events.
	events []string
}

// newHarness returns an agent with three bootstrap replicas that no worker has called yet.
func newHarness(t *testing.T, first uint64) *harness {
	h := &harness{T: t, now: time.Second}
	h.agent = New(Config{Address: "agent", Zone: "s", Replicas: []string{"k1", "k2", "k3"}, FirstReportID: first})
	h.call = Call{Worker: "w", Address: "here", Service: "v", Free: state.Resources{Slots: 4, Cores: 8}}
	return h
}

// step makes the agent handle one input, and records its messages and log events.
func (h *harness) step(in machine.Input) machine.Output {
	out := h.agent.Step(h.now, in)
	for _, message := range out.Messages {
		switch body := message.Body.(type) {
		case wire.HeartbeatRequest:
			h.reports, h.targets = append(h.reports, body), append(h.targets, message.To)
		case wire.CommandRequest:
			h.probes, h.probeTargets = append(h.probes, body), append(h.probeTargets, message.To)
		default:
			h.Fatalf("a message of kind %s was sent", message.Kind)
		}
	}
	for _, event := range out.LogEvents {
		h.events = append(h.events, event.Name)
	}
	return out
}

// advance lets time pass, with a step whenever the agent's timer is due.
func (h *harness) advance(d time.Duration) {
	for end := h.now + d; ; {
		at := h.agent.NextTimer()
		if at == 0 || at > end {
			h.now = end
			return
		}
		if at <= h.now {
			h.Fatalf("a timer at %s is not after %s", at, h.now)
		}
		h.now = at
		h.step(machine.Input{})
	}
}

// request makes a request and returns the agent's reply, which must come at once.
func (h *harness) request(in machine.Request) CallReply {
	h.lastRequestID++
	in.ID = h.lastRequestID
	out := h.step(machine.Input{Request: in})
	if len(out.Responses) != 1 || out.Responses[0].RequestID != in.ID {
		h.Fatalf("want one response, to request %d, got %+v", in.ID, out.Responses)
	}
	return out.Responses[0].Body.(CallReply)
}

// callAgent makes the worker's next call, with a change applied to the previous one.
func (h *harness) callAgent(change func(c *Call)) CallReply {
	h.call.Number++
	h.call.SentAt = h.now
	if change != nil {
		change(&h.call)
	}
	return h.request(machine.Request{Kind: RequestCall, Decoded: h.call})
}

// lastReport returns the report sent last.
func (h *harness) lastReport() wire.HeartbeatRequest {
	h.Helper()
	if len(h.reports) == 0 {
		h.Fatal("nothing was reported")
	}
	return h.reports[len(h.reports)-1]
}

// heartbeat returns the heartbeat of the report sent last.
func (h *harness) heartbeat() state.Heartbeat {
	h.Helper()
	return h.lastReport().Heartbeat
}

// deliver delivers a reply to the agent.
func (h *harness) deliver(reply wire.HeartbeatReply) {
	h.step(machine.Input{Message: machine.Message{
		Version: 1, Kind: wire.KindHeartbeatReply, From: "k1", Body: machine.MustMarshal(reply),
	}})
}

// accept answers the last report with orders, and with the default lease if they set none.
func (h *harness) accept(orders state.HeartbeatReply) {
	if orders.LeaseDuration == 0 {
		orders.LeaseDuration = lease
	}
	h.deliver(wire.HeartbeatReply{ID: h.lastReport().ID, Result: state.Result{Heartbeat: orders}})
}

// reject answers the last report with a code other than success.
func (h *harness) reject(code status.Code, number uint64, primary string, replicas ...string) {
	h.deliver(wire.HeartbeatReply{
		ID:       h.lastReport().ID,
		Result:   state.Result{Code: code, Heartbeat: state.HeartbeatReply{HeartbeatNumber: number}},
		Primary:  primary,
		Replicas: replicas,
	})
}

// equal compares two values; all empty slices are equal.
func (h *harness) equal(what string, got, want any) {
	h.Helper()
	if v := reflect.ValueOf(want); v.Kind() == reflect.Slice && v.Len() == 0 && reflect.ValueOf(got).Len() == 0 {
		return
	}
	if !reflect.DeepEqual(got, want) {
		h.Errorf("%s: got %+v, want %+v", what, got, want)
	}
}

func attemptOf(job string) state.Attempt { return state.Attempt{Job: job, Task: "t", Number: 1} }

func attemptsOf(jobs ...string) (attempts []state.Attempt) {
	for _, job := range jobs {
		attempts = append(attempts, attemptOf(job))
	}
	return attempts
}

func startOf(job string) state.StartOrder {
	return state.StartOrder{
		Attempt:    attemptOf(job),
		Resources:  state.Resources{Slots: 1, Cores: 2},
		Payload:    json.RawMessage(`{"x":1}`),
		Checkpoint: "from",
	}
}

func ordersToStart(jobs ...string) (orders state.HeartbeatReply) {
	for _, job := range jobs {
		orders.Starts = append(orders.Starts, startOf(job))
	}
	return orders
}

func runOf(job string) Run { return Run{Attempt: attemptOf(job)} }

// withRuns changes a call so that it lists exactly these jobs as running.
func withRuns(jobs ...string) func(*Call) {
	return func(c *Call) {
		c.Running = nil
		for _, job := range jobs {
			c.Running = append(c.Running, runOf(job))
		}
	}
}

func endOf(number uint64, job string, outcome Outcome) EndedRun {
	return EndedRun{Number: number, Run: runOf(job), Outcome: outcome}
}

// withEnds changes a call so that it lists exactly these ended runs.
func withEnds(list ...EndedRun) func(*Call) { return func(c *Call) { c.Ended = list } }

func startedJobs(reply CallReply) (jobs []string) {
	for _, start := range reply.Starts {
		jobs = append(jobs, start.Job)
	}
	return jobs
}

func jobsOf(attempts []state.Attempt) (jobs []string) {
	for _, attempt := range attempts {
		jobs = append(jobs, attempt.Job)
	}
	return jobs
}

func lostJobs(heartbeat state.Heartbeat) (jobs []string) {
	for _, end := range heartbeat.Ended {
		if end.Lost {
			jobs = append(jobs, end.Job)
		}
	}
	return jobs
}

// acceptStartA makes the worker call and the primary order the start of job a.
func acceptStartA(h *harness) {
	h.callAgent(nil)
	h.advance(20 * ms)
	h.accept(ordersToStart("a"))
}

func jobsOfEnds(ends []state.AttemptResult) (jobs []string) {
	for _, end := range ends {
		jobs = append(jobs, end.Job)
	}
	return jobs
}

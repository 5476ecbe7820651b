// Package front is the stateless daemon that callers, operators and workers
// talk to. A request is a record in a table; passes run over the table: a new
// record is checked, then routed to the keepers or to the scheduler that holds
// the duty, then awaited, then answered. What cannot be served in time gets its
// final answer at once, with the time to come back.
package front

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"slices"
	"strings"
	"time"

	"sorrelloom/core/code"
	"sorrelloom/core/follow"
	"sorrelloom/core/ledger"
	"sorrelloom/core/machine"
	"sorrelloom/core/plan"
	"sorrelloom/core/scheduler"
	"sorrelloom/core/wire"
)

type Env struct {
	Address string
	Site    string
	First   uint64
}

// The kinds of requests that a front takes.
const (
	Submit    = "submit"
	Status    = "status"
	Cancel    = "cancel"
	Beat      = "beat"
	PlanGet   = "plan-get"
	PlanPut   = "plan-put"
	PlanPatch = "plan-patch"
	PlanCheck = "plan-check"
	Site      = "site"
	Drain     = "drain"
	Gone      = "gone"
	Workers   = "workers"
	Nodes     = "nodes"
	Duties    = "duties"
	Pass      = "pass"
	Jobs      = "jobs"
)

// operators' are the writes of operators; with the callers' they are the kinds
// that a keeper must answer.
var operators = map[string]bool{PlanPut: true, PlanPatch: true, Site: true, Drain: true, Gone: true, Pass: true}

func writes(kind string) bool { return kind == Submit || kind == Cancel || operators[kind] }

const (
	commandWait = 4 * time.Second
	beatWait    = 1800 * time.Millisecond
	holdMax     = time.Second
	waitMax     = 30 * time.Second
	passEach    = 50 * time.Millisecond
	tableMax    = 20000
)

// Reply is what a front says outward.
type Reply struct {
	Status     int
	RetryAfter time.Duration
	Body       any
}

// Outcome is the common part of every outward body.
type Outcome struct {
	Code         code.Code    `json:"code"`
	Name         string       `json:"name"`
	Why          string       `json:"why,omitempty"`
	Sequence     uint64       `json:"sequence,omitempty"`
	RetryAfterMs int64        `json:"retryAfterMs,omitempty"`
	Faults       []plan.Fault `json:"faults,omitempty"`
}

type TaskView struct {
	ID      string `json:"id"`
	State   string `json:"state"`
	Worker  string `json:"worker,omitempty"`
	Tries   int    `json:"tries"`
	Defects int    `json:"defects"`
	Losses  int    `json:"losses"`
	Why     string `json:"why,omitempty"`
}

type JobView struct {
	Outcome
	ID      string     `json:"id"`
	State   string     `json:"state"`
	JobWhy  string     `json:"jobWhy,omitempty"`
	Service string     `json:"service"`
	Class   string     `json:"class"`
	Waits   string     `json:"waits,omitempty"`
	Past    bool       `json:"past,omitempty"`
	Tasks   []TaskView `json:"tasks"`
}

type OrdersView struct {
	Outcome
	Orders  ledger.Orders `json:"orders"`
	LeaseMs int64         `json:"leaseMs"`
}

// CheckView is the answer to a plan that passes its checks.
type CheckView struct {
	Outcome
	DryRun []ledger.DryRow `json:"dryRun,omitempty"`
}

type WorkerView struct {
	ID       string           `json:"id"`
	Site     string           `json:"site"`
	Rack     string           `json:"rack,omitempty"`
	Service  string           `json:"service"`
	Labels   []string         `json:"labels,omitempty"`
	State    string           `json:"state"`
	Capacity ledger.Room      `json:"capacity"`
	Free     ledger.Room      `json:"free"`
	Turns    []ledger.Attempt `json:"turns"`
}

type record struct {
	ask     machine.Ask
	until   time.Duration
	command uint64
	beat    ledger.Beat
	hold    time.Duration
	sentTo  string
	again   time.Duration
	seen    string
	tries   int
}

type Front struct {
	env      Env
	copy     *follow.Copy
	table    map[uint64]record
	nodes    []wire.Node
	wakeAt   time.Duration
	stopping bool
}

func New(env Env) *Front {
	return &Front{env: env, copy: follow.New(env.Address, env.Site, env.First), table: map[uint64]record{}}
}

func (f *Front) Wakeup() time.Duration        { return f.wakeAt }
func (f *Front) Ready(now time.Duration) bool { return f.copy.Fresh(now) && !f.stopping }
func (f *Front) Sequence() uint64             { return f.copy.Ledger.Plan().Sequence }

func (f *Front) Step(now time.Duration, in machine.Input) machine.Output {
	var out machine.Output
	var results []follow.Result
	switch {
	case in.Stop:
		f.stopping = true
		f.copy.Leave(&out)
	case in.Ask.Key > 0:
		f.take(now, in.Ask, &out)
	case in.Line.Kind == wire.BeatBack:
		var b wire.BeatBackBody
		if err := machine.Unmarshal(in.Line.Body, &b); err != nil {
			out.Log("line_damaged", "kind", in.Line.Kind, "from", in.Line.From, "why", err.Error())
		} else {
			f.beatBack(now, b, &out)
		}
	case in.Line.Kind != "":
		if in.Line.Kind == wire.Nodes {
			var b wire.Gossip
			if machine.Unmarshal(in.Line.Body, &b) == nil {
				f.nodes = b.Nodes
			}
		}
		var handled bool
		if results, handled = f.copy.Line(now, in.Line, &out); !handled {
			out.Log("line_unknown", "kind", in.Line.Kind, "from", in.Line.From)
		}
	}
	results = append(results, f.copy.Wake(now, &out)...)
	f.pass(now, results, &out)
	f.copy.Ledger.TakeChanges()
	f.wakeAt = now + passEach
	out.Stopped = f.stopping && len(f.table) == 0
	return out
}

func (f *Front) answer(key uint64, status int, retry time.Duration, body any, out *machine.Output) {
	delete(f.table, key)
	out.Answer(key, Reply{status, retry, body})
}

func outcome(a ledger.Answer) Outcome {
	return Outcome{Code: a.Code, Name: a.Code.String(), Why: a.Why, Sequence: a.Sequence, RetryAfterMs: a.RetryAfter.Milliseconds(), Faults: a.Faults}
}

func (f *Front) bounce(key uint64, a ledger.Answer, out *machine.Output) {
	if a.Code == code.Stopping {
		a.RetryAfter = 50 * time.Millisecond
	} else if status := a.Code.Status(); status == 503 || status == 429 {
		a.RetryAfter = comeBack(key, max(a.RetryAfter, time.Second))
	}
	f.answer(key, a.Code.Status(), a.RetryAfter, outcome(a), out)
}

func bounced(c code.Code, format string, args ...any) ledger.Answer {
	return ledger.Answer{Code: c, Why: fmt.Sprintf(format, args...)}
}

// comeBack spreads those who are sent away over a second, so that a crowd does
// not return as one.
func comeBack(key uint64, at time.Duration) time.Duration {
	return at + time.Duration(key*2654435761%1000)*time.Millisecond
}

// strict decodes exactly one JSON value without unknown fields.
func strict(data []byte, v any) error {
	decoder := json.NewDecoder(bytes.NewReader(data))
	decoder.DisallowUnknownFields()
	err := decoder.Decode(v)
	if err == nil {
		if _, more := decoder.Token(); !errors.Is(more, io.EOF) {
			return fmt.Errorf("offset %d: more than one value", decoder.InputOffset())
		}
		return nil
	}
	var syntax *json.SyntaxError
	var wrong *json.UnmarshalTypeError
	switch {
	case errors.As(err, &syntax):
		return fmt.Errorf("offset %d: %s", syntax.Offset, err)
	case errors.As(err, &wrong):
		return fmt.Errorf("/%s: %s", strings.ReplaceAll(wrong.Field, ".", "/"), err)
	}
	return fmt.Errorf("offset %d: %s", decoder.InputOffset(), err)
}

// take checks a new request, answers what the copy can answer, routes the rest.
func (f *Front) take(now time.Duration, ask machine.Ask, out *machine.Output) {
	if f.stopping {
		f.bounce(ask.Key, bounced(code.Stopping, "this front is going down"), out)
		return
	}
	if len(f.table) >= tableMax {
		f.bounce(ask.Key, bounced(code.InboxFull, "this front has %d requests open", len(f.table)), out)
		return
	}
	if writes(ask.Kind) && f.copy.Lost(now) || operators[ask.Kind] && !f.copy.Loaded() {
		f.bounce(ask.Key, bounced(code.NoAuthority, "no keeper has been heard of for a while"), out)
		return
	}
	r := record{ask: ask, until: now + commandWait}
	command := ledger.Command{Name: ask.Name}
	if operators[ask.Kind] {
		command.Token, command.Asked = ask.Token, f.copy.Ledger.At()
		if command.Token == "" {
			command.Token = fmt.Sprintf("%s/%x/%d", f.env.Address, f.env.First, ask.Key)
		}
	}
	switch ask.Kind {
	case Submit:
		var spec ledger.JobSpec
		if err := strict(ask.Body, &spec); err != nil {
			f.bounce(ask.Key, bounced(code.Malformed, "%s", err), out)
			return
		}
		spec = ledger.Normal(spec)
		if a := f.copy.Ledger.Check(spec); f.copy.Loaded() && a.Code == code.BadJob {
			f.bounce(ask.Key, a, out)
			return
		}
		command = ledger.Command{Kind: ledger.KindAccept, Accept: spec}
	case Cancel:
		command.Kind = ledger.KindCancel
	case Status:
		f.status(now, r, out)
		return
	case Beat:
		f.beat(now, r, out)
		return
	case Site:
		command.Kind, command.On = ledger.KindSite, ask.On
	case Drain:
		command.Kind, command.On = ledger.KindDrain, ask.On
	case Gone:
		command.Kind = ledger.KindGone
	case Pass:
		command.Kind, command.Name = ledger.KindMove, scheduler.DutyOf(ask.Name)
		command.Hello.For = ask.To
	case PlanPut, PlanPatch:
		if !json.Valid(ask.Body) {
			var body any
			f.bounce(ask.Key, bounced(code.Malformed, "%s", strict(ask.Body, &body)), out)
			return
		}
		command.Kind = ledger.KindPlan
		command.Plan = ledger.PlanChange{Base: ask.Base, Forced: ask.Forced, Patch: ask.Kind == PlanPatch, Body: ask.Body}
	default:
		f.look(now, ask, out)
		return
	}
	r.command = f.copy.Submit(now, command, commandWait, out)
	f.table[ask.Key] = r
}

func (f *Front) viewJob(job ledger.Job, a ledger.Answer) JobView {
	v := JobView{Outcome: outcome(a), ID: job.Spec.ID, State: job.State, JobWhy: job.Why, Service: job.Spec.Service, Class: job.Spec.Class, Tasks: []TaskView{}, Past: len(job.Tasks) == 0}
	for i, t := range job.Tasks {
		state, worker := t.State, t.Holder
		if t.Turn.Held() {
			worker = t.Turn.Worker
			w, _ := f.copy.Ledger.Worker(worker)
			switch {
			case t.Closed():
				state = "stopping"
			case !f.copy.Ledger.Live(w):
				state = "unheard"
			case t.Turn.StartedAt == 0:
				state = "granted"
			default:
				state = ledger.Running
			}
		}
		v.Tasks = append(v.Tasks, TaskView{job.Spec.Tasks[i].ID, state, worker, t.Tries, t.Defects, t.Losses, t.Why})
	}
	return v
}

// known is a job's view from the copy, with the reason why it waits.
func (f *Front) known(job ledger.Job) JobView {
	v := f.viewJob(job, ledger.Answer{})
	v.Waits = f.copy.Ledger.Explain(job.Spec.ID)
	return v
}

// status answers from the copy where it can. A job that the copy does not know
// is asked for at the keepers, since "unknown" must never be said of a job that
// was accepted a moment ago, or elsewhere.
func (f *Front) status(now time.Duration, r record, out *machine.Output) {
	job, ok := f.copy.Ledger.Job(r.ask.Name)
	if !ok || !f.copy.Fresh(now) {
		r.command = f.copy.Submit(now, ledger.Command{Kind: ledger.KindRead, Name: r.ask.Name}, commandWait, out)
		f.table[r.ask.Key] = r
		return
	}
	r.seen = job.State
	r.until = now + min(r.ask.Wait, waitMax)
	if r.ask.Wait <= 0 || over(job) {
		f.answer(r.ask.Key, 200, 0, f.known(job), out)
		return
	}
	f.table[r.ask.Key] = r
}

func over(job ledger.Job) bool { return job.EndedAt > 0 }

func (f *Front) beat(now time.Duration, r record, out *machine.Output) {
	if err := strict(r.ask.Body, &r.beat); err != nil {
		f.bounce(r.ask.Key, bounced(code.Malformed, "%s", err), out)
		return
	}
	if r.beat.Worker == "" || r.beat.Site == "" || r.beat.Service == "" || r.beat.Number == 0 || r.beat.Incarnation <= 0 {
		f.bounce(r.ask.Key, bounced(code.Malformed, "/: worker, incarnation, number, site and service are needed"), out)
		return
	}
	r.until = now + beatWait
	r.hold = min(r.ask.Wait, holdMax)
	f.route(now, r, out)
}

// route sends a beat to the scheduler whose duty it is; while nobody holds the
// duty, to one of the site, who will then ask for it.
func (f *Front) route(now time.Duration, r record, out *machine.Output) {
	to := f.copy.Ledger.Duty(scheduler.DutyOf(r.beat.Site)).Holder
	if to == "" || r.tries > 0 && to == r.sentTo {
		var near, far []string
		for _, n := range f.nodes {
			switch {
			case n.Role != "scheduler":
			case n.Site == r.beat.Site:
				near = append(near, n.Address)
			default:
				far = append(far, n.Address)
			}
		}
		if all := append(near, far...); to == "" && len(all) > 0 {
			to = all[r.tries%len(all)]
		}
	}
	r.again = now + 200*time.Millisecond
	if to != "" {
		r.tries++
		r.sentTo = to
		r.again = r.until
		out.Send(to, wire.Beat, wire.BeatBody{ID: r.ask.Key, Hold: min(r.hold, r.until-now), Beat: r.beat})
	}
	f.table[r.ask.Key] = r
}

func (f *Front) beatBack(now time.Duration, b wire.BeatBackBody, out *machine.Output) {
	r, ok := f.table[b.ID]
	if !ok || r.ask.Kind != Beat {
		return
	}
	if b.Answer.Code == code.StaleEpoch || b.Answer.Code == code.NoAuthority {
		r.again = now + 100*time.Millisecond
		f.table[b.ID] = r
		return
	}
	f.answer(b.ID, b.Answer.Code.Status(), b.Answer.RetryAfter, OrdersView{outcome(b.Answer), b.Answer.Orders, b.Answer.Orders.Lease.Milliseconds()}, out)
}

// pass runs over the table and answers what is due.
func (f *Front) pass(now time.Duration, results []follow.Result, out *machine.Output) {
	done := map[uint64]ledger.Answer{}
	for _, r := range results {
		done[r.ID] = r.Answer
	}
	keys := make([]uint64, 0, len(f.table))
	for key := range f.table {
		keys = append(keys, key)
	}
	slices.Sort(keys)
	for _, key := range keys {
		r := f.table[key]
		answer, answered := done[r.command]
		switch {
		case r.command > 0 && answered:
			f.commanded(key, r, answer, out)
		case r.ask.Kind == Status && r.command == 0:
			job, ok := f.copy.Ledger.Job(r.ask.Name)
			if !ok {
				f.bounce(key, bounced(code.UnknownJob, "job %s is not known", r.ask.Name), out)
			} else if over(job) || job.State != r.seen || now >= r.until {
				f.answer(key, 200, 0, f.known(job), out)
			}
		case r.ask.Kind == Beat && now >= r.until:
			f.bounce(key, bounced(code.NoAuthority, "no scheduler took the beat in time"), out)
		case r.ask.Kind == Beat && now >= r.again:
			f.route(now, r, out)
		}
	}
}

func (f *Front) commanded(key uint64, r record, a ledger.Answer, out *machine.Output) {
	if a.Code.Good() && (r.ask.Kind == Submit || r.ask.Kind == Status || r.ask.Kind == Cancel) {
		f.answer(key, a.Code.Status(), 0, f.viewJob(a.Job, ledger.Answer{Code: a.Code}), out)
		return
	}
	f.bounce(key, a, out)
}

// look answers the questions that the copy alone can answer.
func (f *Front) look(now time.Duration, ask machine.Ask, out *machine.Output) {
	l := f.copy.Ledger
	if !f.copy.Fresh(now) && ask.Kind != Nodes && ask.Kind != PlanCheck {
		f.bounce(ask.Key, bounced(code.NoAuthority, "no keeper has confirmed this front's copy lately"), out)
		return
	}
	switch ask.Kind {
	case PlanGet:
		f.answer(ask.Key, 200, 0, l.Plan(), out)
	case PlanCheck:
		p, faults := plan.Parse(ask.Body)
		a := ledger.Answer{Faults: faults, Sequence: l.Plan().Sequence}
		if len(faults) > 0 {
			a.Code, a.Why = faults[0].Code, faults[0].Place+": "+faults[0].Why
			f.bounce(ask.Key, a, out)
			return
		}
		v := CheckView{Outcome: outcome(a)}
		if f.copy.Fresh(now) {
			v.DryRun = l.DryRun(p)
		}
		f.answer(ask.Key, 200, 0, v, out)
	case Nodes:
		f.answer(ask.Key, 200, 0, map[string]any{"nodes": append([]wire.Node{}, f.nodes...)}, out)
	case Workers:
		f.answer(ask.Key, 200, 0, map[string]any{"workers": f.workers(), "emptied": l.Emptied()}, out)
	case Duties:
		f.answer(ask.Key, 200, 0, map[string]any{"duties": l.Duties()}, out)
	case Jobs:
		views := []JobView{}
		for _, job := range l.Active() {
			views = append(views, f.viewJob(job, ledger.Answer{}))
		}
		f.answer(ask.Key, 200, 0, map[string]any{"jobs": views}, out)
	default:
		f.bounce(ask.Key, bounced(code.UnknownName, "no such request"), out)
	}
}

func (f *Front) workers() []WorkerView {
	l := f.copy.Ledger
	views := []WorkerView{}
	for _, w := range l.Workers() {
		state := "ready"
		switch {
		case w.Gone:
			state = "gone"
		case !l.Live(w):
			state = "silent"
		case w.Leaving:
			state = "leaving"
		case w.Drained:
			state = "drained"
		case slices.Contains(l.Emptied(), w.Site):
			state = "emptied"
		}
		v := WorkerView{w.ID(), w.Site, w.Rack, w.Service, w.Labels, state, w.Capacity, l.Room(w.ID()), []ledger.Attempt{}}
		for _, p := range l.TurnsOn(w.ID()) {
			v.Turns = append(v.Turns, p.Attempt)
		}
		views = append(views, v)
	}
	return views
}

// Open counts the records in the table.
func (f *Front) Open() int { return len(f.table) }

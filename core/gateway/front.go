// Package gateway is the stateless daemon that callers, operators and workers
// talk to. A request is a record in a table; passes run over the table: a new
// record is checked, then routed to the keepers or to the scheduler that holds
// the duty, then awaited, then answered. What cannot be served in time gets its
// final answer at once, with the time to come back.
package gateway

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"slices"
	"strings"
	"time"

	"sorrelloom/core/config"
	"sorrelloom/core/feed"
	"sorrelloom/core/machine"
	"sorrelloom/core/scheduler"
	"sorrelloom/core/state"
	"sorrelloom/core/status"
	"sorrelloom/core/wire"
)

type Config struct {
	Address        string
	Zone           string
	FirstCommandID uint64
}

// The kinds of requests that a front takes.
const (
	RequestSubmit         = "submit"
	RequestStatus         = "status"
	RequestCancel         = "cancel"
	RequestHeartbeat      = "beat"
	RequestConfigGet      = "plan-get"
	RequestConfigPut      = "plan-put"
	RequestConfigPatch    = "plan-patch"
	RequestConfigCheck    = "plan-check"
	RequestDrainZone      = "site"
	RequestDrainWorker    = "drain"
	RequestConfirmDead    = "gone"
	RequestWorkers        = "workers"
	RequestNodes          = "nodes"
	RequestLeaderships    = "duties"
	RequestMoveLeadership = "pass"
	RequestJobs           = "jobs"
)

// operators' are the writes of operators; with the callers' they are the kinds
// that a keeper must answer.
var operatorWrites = map[string]bool{RequestConfigPut: true, RequestConfigPatch: true, RequestDrainZone: true, RequestDrainWorker: true, RequestConfirmDead: true, RequestMoveLeadership: true}

func isWrite(kind string) bool {
	return kind == RequestSubmit || kind == RequestCancel || operatorWrites[kind]
}

const (
	commandTimeout     = 4 * time.Second
	heartbeatTimeout   = 1800 * time.Millisecond
	maxHeartbeatWait   = time.Second
	maxStatusWait      = 30 * time.Second
	scanInterval       = 50 * time.Millisecond
	maxPendingRequests = 20000
)

// Reply is what a front says outward.
type Reply struct {
	StatusCode int
	RetryAfter time.Duration
	Body       any
}

// Outcome is the common part of every outward body.
type Outcome struct {
	Code             status.Code        `json:"code"`
	Name             string             `json:"name"`
	Reason           string             `json:"why,omitempty"`
	Version          uint64             `json:"sequence,omitempty"`
	RetryAfterMillis int64              `json:"retryAfterMs,omitempty"`
	Faults           []config.Violation `json:"faults,omitempty"`
}

type TaskView struct {
	ID       string `json:"id"`
	State    string `json:"state"`
	Worker   string `json:"worker,omitempty"`
	Attempts int    `json:"tries"`
	Failures int    `json:"defects"`
	Losses   int    `json:"losses"`
	Reason   string `json:"why,omitempty"`
}

type JobView struct {
	Outcome
	ID         string     `json:"id"`
	State      string     `json:"state"`
	JobReason  string     `json:"jobWhy,omitempty"`
	Service    string     `json:"service"`
	Class      string     `json:"class"`
	WaitReason string     `json:"waits,omitempty"`
	Archived   bool       `json:"past,omitempty"`
	Tasks      []TaskView `json:"tasks"`
}

type HeartbeatView struct {
	Outcome
	Reply       state.HeartbeatReply `json:"orders"`
	LeaseMillis int64                `json:"leaseMs"`
}

// CheckView is the answer to a plan that passes its checks.
type ConfigCheckView struct {
	Outcome
	DryRun []state.DryRunRow `json:"dryRun,omitempty"`
}

type WorkerView struct {
	ID       string          `json:"id"`
	Zone     string          `json:"site"`
	Rack     string          `json:"rack,omitempty"`
	Service  string          `json:"service"`
	Labels   []string        `json:"labels,omitempty"`
	State    string          `json:"state"`
	Capacity state.Resources `json:"capacity"`
	Free     state.Resources `json:"free"`
	Leases   []state.Attempt `json:"turns"`
}

type pendingRequest struct {
	request       machine.Request
	deadline      time.Duration
	commandID     uint64
	heartbeat     state.Heartbeat
	wait          time.Duration
	sentTo        string
	retryAt       time.Duration
	lastSeenState string
	attempts      int
}

type Gateway struct {
	config    Config
	replica   *feed.ReadReplica
	requests  map[uint64]pendingRequest
	nodes     []wire.Node
	nextTimer time.Duration
	stopping  bool
}

func New(config Config) *Gateway {
	return &Gateway{config: config, replica: feed.NewReadReplica(config.Address, config.Zone, config.FirstCommandID), requests: map[uint64]pendingRequest{}}
}

func (g *Gateway) NextTimer() time.Duration     { return g.nextTimer }
func (g *Gateway) Ready(now time.Duration) bool { return g.replica.Fresh(now) && !g.stopping }
func (g *Gateway) ConfigVersion() uint64        { return g.replica.Store.Config().Version }

func (g *Gateway) Step(now time.Duration, in machine.Input) machine.Output {
	var out machine.Output
	var results []feed.CommandResult
	switch {
	case in.Stop:
		g.stopping = true
		g.replica.Stop(&out)
	case in.Request.ID > 0:
		g.handleRequest(now, in.Request, &out)
	case in.Message.Kind == wire.KindHeartbeatReply:
		var b wire.HeartbeatReply
		if err := machine.Unmarshal(in.Message.Body, &b); err != nil {
			out.Log("line_damaged", "kind", in.Message.Kind, "from", in.Message.From, "why", err.Error())
		} else {
			g.handleHeartbeatReply(now, b, &out)
		}
	case in.Message.Kind != "":
		if in.Message.Kind == wire.KindNodeList {
			var b wire.Gossip
			if machine.Unmarshal(in.Message.Body, &b) == nil {
				g.nodes = b.Nodes
			}
		}
		var handled bool
		if results, handled = g.replica.Receive(now, in.Message, &out); !handled {
			out.Log("line_unknown", "kind", in.Message.Kind, "from", in.Message.From)
		}
	}
	results = append(results, g.replica.HandleTimers(now, &out)...)
	g.scan(now, results, &out)
	g.replica.Store.TakeChanges()
	g.nextTimer = now + scanInterval
	out.Stopped = g.stopping && len(g.requests) == 0
	return out
}

func (g *Gateway) reply(key uint64, status int, retryAfter time.Duration, body any, out *machine.Output) {
	delete(g.requests, key)
	out.Respond(key, Reply{status, retryAfter, body})
}

func outcomeOf(answer state.Result) Outcome {
	return Outcome{Code: answer.Code, Name: answer.Code.String(), Reason: answer.Reason, Version: answer.ConfigVersion, RetryAfterMillis: answer.RetryAfter.Milliseconds(), Faults: answer.Violations}
}

func (g *Gateway) reject(key uint64, answer state.Result, out *machine.Output) {
	if answer.Code == status.ShuttingDown {
		answer.RetryAfter = 50 * time.Millisecond
	} else if statusCode := answer.Code.HTTPStatus(); statusCode == 503 || statusCode == 429 {
		answer.RetryAfter = spreadRetry(key, max(answer.RetryAfter, time.Second))
	}
	g.reply(key, answer.Code.HTTPStatus(), answer.RetryAfter, outcomeOf(answer), out)
}

func rejection(c status.Code, format string, args ...any) state.Result {
	return state.Result{Code: c, Reason: fmt.Sprintf(format, args...)}
}

// comeBack spreads those who are sent away over a second, so that a crowd does
// not return as one.
func spreadRetry(key uint64, retryAfter time.Duration) time.Duration {
	return retryAfter + time.Duration(key*2654435761%1000)*time.Millisecond
}

// strict decodes exactly one JSON value without unknown fields.
func decodeStrict(data []byte, v any) error {
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
func (g *Gateway) handleRequest(now time.Duration, request machine.Request, out *machine.Output) {
	if g.stopping {
		g.reject(request.ID, rejection(status.ShuttingDown, "this front is going down"), out)
		return
	}
	if len(g.requests) >= maxPendingRequests {
		g.reject(request.ID, rejection(status.QueueFull, "this front has %d requests open", len(g.requests)), out)
		return
	}
	if isWrite(request.Kind) && g.replica.PrimaryLost(now) || operatorWrites[request.Kind] && !g.replica.Loaded() {
		g.reject(request.ID, rejection(status.ReplicasUnavailable, "no keeper has been heard of for a while"), out)
		return
	}
	pending := pendingRequest{request: request, deadline: now + commandTimeout}
	command := state.Command{Name: request.Name}
	if operatorWrites[request.Kind] {
		command.IdempotencyKey, command.RequestedAt = request.IdempotencyKey, g.replica.Store.Now()
		if command.IdempotencyKey == "" {
			command.IdempotencyKey = fmt.Sprintf("%s/%x/%d", g.config.Address, g.config.FirstCommandID, request.ID)
		}
	}
	switch request.Kind {
	case RequestSubmit:
		var spec state.JobSpec
		if err := decodeStrict(request.Body, &spec); err != nil {
			g.reject(request.ID, rejection(status.Malformed, "%s", err), out)
			return
		}
		spec = state.Normalize(spec)
		if a := g.replica.Store.ValidateJob(spec); g.replica.Loaded() && a.Code == status.InvalidJob {
			g.reject(request.ID, a, out)
			return
		}
		command = state.Command{Kind: state.KindAcceptJob, Job: spec}
	case RequestCancel:
		command.Kind = state.KindCancelJob
	case RequestStatus:
		g.handleStatus(now, pending, out)
		return
	case RequestHeartbeat:
		g.handleHeartbeat(now, pending, out)
		return
	case RequestDrainZone:
		command.Kind, command.Drain = state.KindDrainZone, request.Enable
	case RequestDrainWorker:
		command.Kind, command.Drain = state.KindDrainWorker, request.Enable
	case RequestConfirmDead:
		command.Kind = state.KindConfirmWorkerDead
	case RequestMoveLeadership:
		command.Kind, command.Name = state.KindTransferLeadership, scheduler.LeadershipOf(request.Name)
		command.SchedulerHeartbeat.Candidate = request.Target
	case RequestConfigPut, RequestConfigPatch:
		if !json.Valid(request.Body) {
			var body any
			g.reject(request.ID, rejection(status.Malformed, "%s", decodeStrict(request.Body, &body)), out)
			return
		}
		command.Kind = state.KindChangeConfig
		command.ConfigChange = state.ConfigChange{BaseVersion: request.BaseVersion, Forced: request.Force, Patch: request.Kind == RequestConfigPatch, Body: request.Body}
	default:
		g.handleQuery(now, request, out)
		return
	}
	pending.commandID = g.replica.Submit(now, command, commandTimeout, out)
	g.requests[request.ID] = pending
}

func (g *Gateway) jobView(job state.Job, answer state.Result) JobView {
	view := JobView{Outcome: outcomeOf(answer), ID: job.Spec.ID, State: job.State, JobReason: job.Reason, Service: job.Spec.Service, Class: job.Spec.Class, Tasks: []TaskView{}, Archived: len(job.Tasks) == 0}
	for i, t := range job.Tasks {
		taskState, worker := t.State, t.CompletedOn
		if t.Lease.Held() {
			worker = t.Lease.Worker
			w, _ := g.replica.Store.Worker(worker)
			switch {
			case t.Terminal():
				taskState = "stopping"
			case !g.replica.Store.Live(w):
				taskState = "unheard"
			case t.Lease.StartedAt == 0:
				taskState = "granted"
			default:
				taskState = state.Running
			}
		}
		view.Tasks = append(view.Tasks, TaskView{job.Spec.Tasks[i].ID, taskState, worker, t.Attempts, t.Failures, t.Losses, t.Reason})
	}
	return view
}

// known is a job's view from the copy, with the reason why it waits.
func (g *Gateway) waitingJobView(job state.Job) JobView {
	view := g.jobView(job, state.Result{})
	view.WaitReason = g.replica.Store.Explain(job.Spec.ID)
	return view
}

// status answers from the copy where it can. A job that the copy does not know
// is asked for at the keepers, since "unknown" must never be said of a job that
// was accepted a moment ago, or elsewhere.
func (g *Gateway) handleStatus(now time.Duration, pending pendingRequest, out *machine.Output) {
	job, ok := g.replica.Store.Job(pending.request.Name)
	if !ok || !g.replica.Fresh(now) {
		pending.commandID = g.replica.Submit(now, state.Command{Kind: state.KindReadJob, Name: pending.request.Name}, commandTimeout, out)
		g.requests[pending.request.ID] = pending
		return
	}
	pending.lastSeenState = job.State
	pending.deadline = now + min(pending.request.Wait, maxStatusWait)
	if pending.request.Wait <= 0 || jobEnded(job) {
		g.reply(pending.request.ID, 200, 0, g.waitingJobView(job), out)
		return
	}
	g.requests[pending.request.ID] = pending
}

func jobEnded(job state.Job) bool { return job.EndedAt > 0 }

func (g *Gateway) handleHeartbeat(now time.Duration, pending pendingRequest, out *machine.Output) {
	if err := decodeStrict(pending.request.Body, &pending.heartbeat); err != nil {
		g.reject(pending.request.ID, rejection(status.Malformed, "%s", err), out)
		return
	}
	if pending.heartbeat.Worker == "" || pending.heartbeat.Zone == "" || pending.heartbeat.Service == "" || pending.heartbeat.Number == 0 || pending.heartbeat.Incarnation <= 0 {
		g.reject(pending.request.ID, rejection(status.Malformed, "/: worker, incarnation, number, site and service are needed"), out)
		return
	}
	pending.deadline = now + heartbeatTimeout
	pending.wait = min(pending.request.Wait, maxHeartbeatWait)
	g.routeHeartbeat(now, pending, out)
}

// route sends a beat to the scheduler whose duty it is; while nobody holds the
// duty, to one of the site, who will then ask for it.
func (g *Gateway) routeHeartbeat(now time.Duration, pending pendingRequest, out *machine.Output) {
	to := g.replica.Store.Leadership(scheduler.LeadershipOf(pending.heartbeat.Zone)).Leader
	if to == "" || pending.attempts > 0 && to == pending.sentTo {
		var near, far []string
		for _, n := range g.nodes {
			switch {
			case n.Role != "scheduler":
			case n.Zone == pending.heartbeat.Zone:
				near = append(near, n.Address)
			default:
				far = append(far, n.Address)
			}
		}
		if all := append(near, far...); to == "" && len(all) > 0 {
			to = all[pending.attempts%len(all)]
		}
	}
	pending.retryAt = now + 200*time.Millisecond
	if to != "" {
		pending.attempts++
		pending.sentTo = to
		pending.retryAt = pending.deadline
		out.Send(to, wire.KindHeartbeat, wire.HeartbeatRequest{ID: pending.request.ID, MaxWait: min(pending.wait, pending.deadline-now), Heartbeat: pending.heartbeat})
	}
	g.requests[pending.request.ID] = pending
}

func (g *Gateway) handleHeartbeatReply(now time.Duration, reply wire.HeartbeatReply, out *machine.Output) {
	pending, ok := g.requests[reply.ID]
	if !ok || pending.request.Kind != RequestHeartbeat {
		return
	}
	if reply.Result.Code == status.StaleEpoch || reply.Result.Code == status.ReplicasUnavailable {
		pending.retryAt = now + 100*time.Millisecond
		g.requests[reply.ID] = pending
		return
	}
	g.reply(reply.ID, reply.Result.Code.HTTPStatus(), reply.Result.RetryAfter, HeartbeatView{outcomeOf(reply.Result), reply.Result.Heartbeat, reply.Result.Heartbeat.LeaseDuration.Milliseconds()}, out)
}

// pass runs over the table and answers what is due.
func (g *Gateway) scan(now time.Duration, results []feed.CommandResult, out *machine.Output) {
	done := map[uint64]state.Result{}
	for _, pending := range results {
		done[pending.ID] = pending.Result
	}
	keys := make([]uint64, 0, len(g.requests))
	for key := range g.requests {
		keys = append(keys, key)
	}
	slices.Sort(keys)
	for _, key := range keys {
		pending := g.requests[key]
		answer, answered := done[pending.commandID]
		switch {
		case pending.commandID > 0 && answered:
			g.handleCommandResult(key, pending, answer, out)
		case pending.request.Kind == RequestStatus && pending.commandID == 0:
			job, ok := g.replica.Store.Job(pending.request.Name)
			if !ok {
				g.reject(key, rejection(status.UnknownJob, "job %s is not known", pending.request.Name), out)
			} else if jobEnded(job) || job.State != pending.lastSeenState || now >= pending.deadline {
				g.reply(key, 200, 0, g.waitingJobView(job), out)
			}
		case pending.request.Kind == RequestHeartbeat && now >= pending.deadline:
			g.reject(key, rejection(status.ReplicasUnavailable, "no scheduler took the beat in time"), out)
		case pending.request.Kind == RequestHeartbeat && now >= pending.retryAt:
			g.routeHeartbeat(now, pending, out)
		}
	}
}

func (g *Gateway) handleCommandResult(key uint64, pending pendingRequest, answer state.Result, out *machine.Output) {
	if answer.Code.IsSuccess() && (pending.request.Kind == RequestSubmit || pending.request.Kind == RequestStatus || pending.request.Kind == RequestCancel) {
		g.reply(key, answer.Code.HTTPStatus(), 0, g.jobView(answer.Job, state.Result{Code: answer.Code}), out)
		return
	}
	g.reject(key, answer, out)
}

// look answers the questions that the copy alone can answer.
func (g *Gateway) handleQuery(now time.Duration, request machine.Request, out *machine.Output) {
	store := g.replica.Store
	if !g.replica.Fresh(now) && request.Kind != RequestNodes && request.Kind != RequestConfigCheck {
		g.reject(request.ID, rejection(status.ReplicasUnavailable, "no keeper has confirmed this front's copy lately"), out)
		return
	}
	switch request.Kind {
	case RequestConfigGet:
		g.reply(request.ID, 200, 0, store.Config(), out)
	case RequestConfigCheck:
		proposed, faults := config.Parse(request.Body)
		answer := state.Result{Violations: faults, ConfigVersion: store.Config().Version}
		if len(faults) > 0 {
			answer.Code, answer.Reason = faults[0].Code, faults[0].Path+": "+faults[0].Reason
			g.reject(request.ID, answer, out)
			return
		}
		view := ConfigCheckView{Outcome: outcomeOf(answer)}
		if g.replica.Fresh(now) {
			view.DryRun = store.DryRun(proposed)
		}
		g.reply(request.ID, 200, 0, view, out)
	case RequestNodes:
		g.reply(request.ID, 200, 0, map[string]any{"nodes": append([]wire.Node{}, g.nodes...)}, out)
	case RequestWorkers:
		g.reply(request.ID, 200, 0, map[string]any{"workers": g.workerViews(), "emptied": store.DrainedZones()}, out)
	case RequestLeaderships:
		g.reply(request.ID, 200, 0, map[string]any{"duties": store.Leaderships()}, out)
	case RequestJobs:
		views := []JobView{}
		for _, job := range store.ActiveJobs() {
			views = append(views, g.jobView(job, state.Result{}))
		}
		g.reply(request.ID, 200, 0, map[string]any{"jobs": views}, out)
	default:
		g.reject(request.ID, rejection(status.UnknownName, "no such request"), out)
	}
}

func (g *Gateway) workerViews() []WorkerView {
	store := g.replica.Store
	views := []WorkerView{}
	for _, w := range store.Workers() {
		workerState := "ready"
		switch {
		case w.ConfirmedDead:
			workerState = "gone"
		case !store.Live(w):
			workerState = "silent"
		case w.Leaving:
			workerState = "leaving"
		case w.Drained:
			workerState = "drained"
		case slices.Contains(store.DrainedZones(), w.Zone):
			workerState = "emptied"
		}
		view := WorkerView{w.ID(), w.Zone, w.Rack, w.Service, w.Labels, workerState, w.Capacity, store.FreeResources(w.ID()), []state.Attempt{}}
		for _, lease := range store.LeasesOn(w.ID()) {
			view.Leases = append(view.Leases, lease.Attempt)
		}
		views = append(views, view)
	}
	return views
}

// Open counts the records in the table.
func (g *Gateway) PendingCount() int { return len(g.requests) }

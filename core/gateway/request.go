package gateway

import (
	"encoding/json"
	"fmt"
	"time"

	"sorrelloom/core/machine"
	"sorrelloom/core/scheduler"
	"sorrelloom/core/state"
	"sorrelloom/core/status"
)

// The kinds of requests that a gateway handles.
const (
	// Requests of callers, and the heartbeat of a worker.
	RequestSubmit    = "submit"
	RequestStatus    = "status"
	RequestCancel    = "cancel"
	RequestHeartbeat = "beat"

	// Requests of operators.
	RequestConfigGet      = "plan-get"
	RequestConfigPut      = "plan-put"
	RequestConfigPatch    = "plan-patch"
	RequestConfigCheck    = "plan-check"
	RequestSetZoneDrained = "site"
	RequestDrainWorker    = "drain"
	RequestConfirmDead    = "gone"
	RequestMoveLeadership = "pass"

	// Queries about the state of the cluster.
	RequestWorkers     = "workers"
	RequestNodes       = "nodes"
	RequestLeaderships = "duties"
	RequestJobs        = "jobs"
)

// isOperatorWrite reports whether requests of a kind are operators' writes. Their commands
// carry an idempotency key and the state time at the gateway's read replica.
func isOperatorWrite(kind string) bool {
	switch kind {
	case RequestConfigPut, RequestConfigPatch, RequestSetZoneDrained, RequestDrainWorker, RequestConfirmDead,
		RequestMoveLeadership:
		return true
	}
	return false
}

// isWrite reports whether requests of a kind are sent to the primary as commands.
func isWrite(kind string) bool {
	return kind == RequestSubmit || kind == RequestCancel || isOperatorWrite(kind)
}

// answersWithJob reports whether requests of a kind are answered with a JobView.
func answersWithJob(kind string) bool {
	return kind == RequestSubmit || kind == RequestStatus || kind == RequestCancel
}

// handleRequest checks a new request, and answers it or adds it to the table.
func (g *Gateway) handleRequest(now time.Duration, request machine.Request, out *machine.Output) {
	if rejected := g.admit(now, request.Kind); !rejected.Code.IsSuccess() {
		g.respondResult(request.ID, rejected, out)
		return
	}
	pending := pendingRequest{request: request, deadline: now + commandTimeout}
	switch {
	case isWrite(request.Kind):
		command, rejected := g.commandOf(request)
		if !rejected.Code.IsSuccess() {
			g.respondResult(request.ID, rejected, out)
			return
		}
		g.submit(now, pending, command, out)
	case request.Kind == RequestStatus:
		g.handleStatus(now, pending, out)
	case request.Kind == RequestHeartbeat:
		g.handleHeartbeat(now, pending, out)
	default:
		g.handleQuery(now, request, out)
	}
}

// admit returns why a request of a kind can't be served now, or the zero Result if it can.
func (g *Gateway) admit(now time.Duration, kind string) state.Result {
	switch {
	case g.stopping:
		return rejection(status.ShuttingDown, "gateway is shutting down")
	case len(g.requests) >= maxPendingRequests:
		return rejection(status.QueueFull, "gateway has %d requests pending", len(g.requests))
	case isWrite(kind) && g.replica.PrimaryLost(now), isOperatorWrite(kind) && !g.replica.Loaded():
		return rejection(status.ReplicasUnavailable, "no leader has been heard of for a while")
	}
	return state.Result{}
}

// submit sends a command to the primary and adds its request to the table.
func (g *Gateway) submit(now time.Duration, pending pendingRequest, command state.Command, out *machine.Output) {
	pending.commandID = g.replica.Submit(now, command, commandTimeout, out)
	g.requests[pending.request.ID] = pending
}

// commandOf returns the command of a write and the zero Result, or the reason why the request
// is rejected.
func (g *Gateway) commandOf(request machine.Request) (command state.Command, rejected state.Result) {
	switch request.Kind {
	case RequestSubmit:
		return g.acceptCommand(request)
	case RequestCancel:
		return state.Command{Kind: state.KindCancelJob, Name: request.Name, KeyDigest: request.KeyDigest}, state.Result{}
	}
	return g.operatorCommand(request)
}

// acceptCommand returns the command that accepts a job, or a rejection if the request is
// malformed or the job is invalid under the configuration in a loaded read replica.
func (g *Gateway) acceptCommand(request machine.Request) (command state.Command, rejected state.Result) {
	var spec state.JobSpec
	if err := decodeStrict(request.Body, &spec); err != nil {
		return state.Command{}, rejection(status.Malformed, "%s", err)
	}
	spec = state.Normalize(spec)
	if result := g.replica.Store.ValidateJob(spec); g.replica.Loaded() && result.Code == status.InvalidJob {
		return state.Command{}, result
	}
	return state.Command{Kind: state.KindAcceptJob, Job: spec, KeyDigest: request.KeyDigest}, state.Result{}
}

// operatorCommand returns the command of an operator's write, or a rejection if the body of a
// configuration change is malformed.
func (g *Gateway) operatorCommand(request machine.Request) (command state.Command, rejected state.Result) {
	command = state.Command{
		Name:           request.Name,
		IdempotencyKey: request.IdempotencyKey,
		RequestedAt:    g.replica.Store.Now(),
	}
	if command.IdempotencyKey == "" {
		command.IdempotencyKey = fmt.Sprintf("%s/%x/%d", g.config.Address, g.config.FirstCommandID, request.ID)
	}
	switch request.Kind {
	case RequestSetZoneDrained:
		command.Kind, command.Drain = state.KindSetZoneDrained, request.Enable
	case RequestDrainWorker:
		command.Kind, command.Drain = state.KindDrainWorker, request.Enable
	case RequestConfirmDead:
		command.Kind = state.KindConfirmWorkerDead
	case RequestMoveLeadership:
		command.Kind, command.Name = state.KindTransferLeadership, scheduler.LeadershipName(request.Name)
		command.SchedulerHeartbeat.Candidate = request.Target
	case RequestConfigPut, RequestConfigPatch:
		if !json.Valid(request.Body) {
			var body any
			return state.Command{}, rejection(status.Malformed, "%s", decodeStrict(request.Body, &body))
		}
		command.Kind = state.KindChangeConfig
		command.ConfigChange = state.ConfigChange{
			BaseVersion: request.BaseVersion,
			Forced:      request.Force,
			Patch:       request.Kind == RequestConfigPatch,
			Body:        request.Body,
		}
	}
	return command, state.Result{}
}

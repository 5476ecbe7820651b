package gateway

import (
	"slices"
	"time"

	"sorrelloom/core/config"
	"sorrelloom/core/machine"
	"sorrelloom/core/state"
	"sorrelloom/core/status"
	"sorrelloom/core/wire"
)

// The states of workers that views show.
const (
	workerReady         = "ready"
	workerConfirmedDead = "gone"
	workerSilent        = "silent"
	workerLeaving       = "leaving"
	workerDrained       = "drained"
	workerZoneDrained   = "emptied"
)

// needsFreshReplica reports whether queries of a kind return the current replicated state.
func needsFreshReplica(kind string) bool { return kind != RequestNodes && kind != RequestConfigCheck }

// handleQuery answers requests that the gateway can answer from its own data.
func (g *Gateway) handleQuery(now time.Duration, request machine.Request, out *machine.Output) {
	if needsFreshReplica(request.Kind) && !g.replica.Fresh(now) {
		stale := rejection(status.ReplicasUnavailable, "no leader has confirmed this read replica lately")
		g.respondResult(request.ID, stale, out)
		return
	}
	store := g.replica.Store
	switch request.Kind {
	case RequestConfigGet:
		g.respondOK(request.ID, store.Config(), out)
	case RequestConfigCheck:
		g.checkConfig(now, request, out)
	case RequestNodes:
		g.respondOK(request.ID, NodeList{Nodes: append([]wire.Node{}, g.nodes...)}, out)
	case RequestWorkers:
		g.respondOK(request.ID, WorkerList{DrainedZones: store.DrainedZones(), Workers: g.workerViews()}, out)
	case RequestLeaderships:
		g.respondOK(request.ID, LeadershipList{Leaderships: store.Leaderships()}, out)
	case RequestJobs:
		g.respondOK(request.ID, JobList{Jobs: g.activeJobViews()}, out)
	default:
		g.respondResult(request.ID, rejection(status.UnknownName, "no such request"), out)
	}
}

// checkConfig answers whether a configuration is valid and, if the read replica is fresh, what
// it would change.
func (g *Gateway) checkConfig(now time.Duration, request machine.Request, out *machine.Output) {
	store := g.replica.Store
	proposed, violations := config.Parse(request.Body)
	result := state.Result{Violations: violations, ConfigVersion: store.Config().Version}
	if len(violations) > 0 {
		first := violations[0]
		result.Code, result.Reason = first.Code, first.Path+": "+first.Reason
		g.respondResult(request.ID, result, out)
		return
	}
	view := ConfigCheckView{Outcome: outcomeOf(result)}
	if g.replica.Fresh(now) {
		view.DryRun = store.DryRun(proposed)
	}
	g.respondOK(request.ID, view, out)
}

// activeJobViews returns the views of the active jobs; never nil.
func (g *Gateway) activeJobViews() []JobView {
	views := []JobView{}
	for _, job := range g.replica.Store.ActiveJobs() {
		views = append(views, g.jobView(job, state.Result{}))
	}
	return views
}

// workerViews returns the views of all workers; never nil.
func (g *Gateway) workerViews() []WorkerView {
	store := g.replica.Store
	drainedZones := store.DrainedZones()
	views := []WorkerView{}
	for _, entry := range store.WorkerEntries() {
		worker := entry.Record()
		view := WorkerView{
			ID:       worker.ID(),
			Zone:     worker.Zone,
			Rack:     worker.Rack,
			Service:  worker.Service,
			Labels:   worker.Labels,
			State:    workerState(worker, store.Live(worker), slices.Contains(drainedZones, worker.Zone)),
			Capacity: worker.Capacity,
			Free:     store.FreeResources(worker.ID()),
			Leases:   []state.Attempt{},
		}
		for _, lease := range store.LeasesOn(worker.ID()) {
			view.Leases = append(view.Leases, lease.Attempt)
		}
		views = append(views, view)
	}
	return views
}

// workerState returns the state that views show for a worker.
func workerState(worker *state.Worker, live, zoneDrained bool) string {
	switch {
	case worker.ConfirmedDead:
		return workerConfirmedDead
	case !live:
		return workerSilent
	case worker.Leaving:
		return workerLeaving
	case worker.Drained:
		return workerDrained
	case zoneDrained:
		return workerZoneDrained
	}
	return workerReady
}

package gateway

import (
	"time"

	"sorrelloom/core/machine"
	"sorrelloom/core/state"
	"sorrelloom/core/status"
)

// maxStatusWait bounds how long a status request may wait for a change.
const maxStatusWait = 30 * time.Second

// The states that views show for leased tasks, besides state.Running. For other tasks, views
// show the task's own state.
const (
	// taskStopping is the state of a task that is still leased although it is in a terminal
	// state.
	taskStopping = "stopping"
	// taskWorkerSilent is the state of a task whose worker has not reported lately.
	taskWorkerSilent = "unheard"
	// taskGranted is the state of a task that its worker has not listed as running yet.
	taskGranted = "granted"
)

// handleStatus answers with the job in the read replica: at once, or when its state changes if
// the request has a wait. If the read replica doesn't have the job or isn't fresh, the job is
// read at the primary, since "unknown" must never be the answer for a job that was accepted
// just before, or through another gateway.
func (g *Gateway) handleStatus(now time.Duration, pending pendingRequest, out *machine.Output) {
	job, ok := g.replica.Store.Job(pending.request.Name)
	if !ok || !g.replica.Fresh(now) {
		g.submit(now, pending, state.Command{
			Kind: state.KindReadJob, Name: pending.request.Name, KeyDigest: pending.request.KeyDigest,
		}, out)
		return
	}
	if denied := g.replica.Store.CheckAccess(job, pending.request.KeyDigest); !denied.Code.IsSuccess() {
		g.respondResult(pending.request.ID, denied, out)
		return
	}
	if pending.request.Wait <= 0 || hasEnded(job) {
		g.respondOK(pending.request.ID, g.jobViewWithWaitReason(job), out)
		return
	}
	pending.lastSeenState = job.State
	pending.deadline = now + min(pending.request.Wait, maxStatusWait)
	g.requests[pending.request.ID] = pending
}

// scanStatus answers a status request once the state of its job has changed, its deadline has
// passed, the job is no longer known, or its key no longer permits access to the job.
func (g *Gateway) scanStatus(now time.Duration, pending pendingRequest, out *machine.Output) {
	job, ok := g.replica.Store.Job(pending.request.Name)
	if !ok {
		unknown := rejection(status.UnknownJob, "job %s is not known", pending.request.Name)
		g.respondResult(pending.request.ID, unknown, out)
		return
	}
	if denied := g.replica.Store.CheckAccess(job, pending.request.KeyDigest); !denied.Code.IsSuccess() {
		g.respondResult(pending.request.ID, denied, out)
		return
	}
	if hasEnded(job) || job.State != pending.lastSeenState || now >= pending.deadline {
		g.respondOK(pending.request.ID, g.jobViewWithWaitReason(job), out)
	}
}

func hasEnded(job *state.Job) bool { return job.EndedAt > 0 }

// jobView returns the view of a job with the outcome of a request.
func (g *Gateway) jobView(job *state.Job, result state.Result) JobView {
	view := JobView{
		Outcome:   outcomeOf(result),
		ID:        job.Spec.ID,
		State:     job.State,
		JobReason: job.Reason,
		Service:   job.Spec.Service,
		Class:     job.Spec.Class,
		Tasks:     []TaskView{},
		Archived:  len(job.Tasks) == 0,
	}
	for i, task := range job.Tasks {
		view.Tasks = append(view.Tasks, g.taskView(job.Spec.Tasks[i].ID, task))
	}
	return view
}

// jobViewWithWaitReason returns the view of a job with the reason why it has not ended yet.
func (g *Gateway) jobViewWithWaitReason(job *state.Job) JobView {
	view := g.jobView(job, state.Result{})
	view.WaitReason = g.replica.Store.Explain(job.Spec.ID)
	return view
}

func (g *Gateway) taskView(id string, task *state.Task) TaskView {
	view := TaskView{
		ID:       id,
		State:    task.State,
		Worker:   task.CompletedOn,
		Attempts: task.Attempts,
		Failures: task.Failures,
		Losses:   task.Losses,
		Reason:   task.Reason,
	}
	if task.Lease.Held() {
		view.State, view.Worker = g.leasedTaskState(task), task.Lease.Worker
	}
	return view
}

// leasedTaskState returns the state that views show for a leased task.
func (g *Gateway) leasedTaskState(task *state.Task) string {
	worker, _ := g.replica.Store.Worker(task.Lease.Worker)
	switch {
	case task.Terminal():
		return taskStopping
	case !g.replica.Store.Live(worker):
		return taskWorkerSilent
	case task.Lease.StartedAt == 0:
		return taskGranted
	}
	return state.Running
}

package scheduler

import (
	"time"

	"sorrelloom/core/dispatch"
	"sorrelloom/core/machine"
	"sorrelloom/core/state"
)

const (
	// waitCheckInterval is the time between two checks for long waits.
	waitCheckInterval = time.Second
	// longTaskWait is how long a ready task must have waited to be reported.
	longTaskWait = 2 * time.Second
	// waitLogInterval is the minimum time between two log events with the same reason and class.
	waitLogInterval = 10 * time.Second
)

// reasonUnconfirmed means that nothing is granted because leadership is not confirmed or too
// many commands are waiting to be committed.
const reasonUnconfirmed dispatch.WaitReason = "leadership-unconfirmed"

// expectedReasons are the reasons that also occur in a healthy service at full load. They are
// not logged as warnings.
var expectedReasons = map[dispatch.WaitReason]bool{
	dispatch.WaitReason(state.NoFreeResources): true, dispatch.WaitReason(state.TenantAtLimit): true,
	dispatch.WaitReason(state.ClassAtShare): true, dispatch.ReasonGangRoom: true,
}

// ClassWait describes the longest-waiting ready task of a class and why it has not started.
type ClassWait struct {
	state.LongestWaiting
	dispatch.Wait
}

// classReason is a reason for waiting in a class. It is the key by which log events are limited.
type classReason struct {
	class  state.ClassKey
	reason dispatch.WaitReason
}

// longWaitCheck periodically finds out why tasks wait for long.
type longWaitCheck struct {
	nextCheck time.Duration
	// found is the result of the last check.
	found    []ClassWait
	loggedAt map[classReason]time.Duration
}

// LongWaits returns the result of the last check: for each class with tasks that have waited
// for at least longTaskWait, the one that has waited longest, and why.
func (s *Scheduler) LongWaits() []ClassWait { return s.longWaits.found }

// explainLongWaits checks for tasks that have waited long and logs why they have not started.
func (s *Scheduler) explainLongWaits(now time.Duration, out *machine.Output) {
	check := &s.longWaits
	if now < check.nextCheck || !s.access.IsLocal() {
		return
	}
	check.nextCheck, check.found = now+waitCheckInterval, nil
	for _, longest := range s.access.State().LongestWaiting(longTaskWait) {
		ref := dispatch.TaskRef{Job: longest.Job, Index: longest.Index}
		wait := s.dispatcher.ExplainWait(s.access.State(), ref)
		if wait.Obstacle == state.NoObstacle && !s.access.Fresh(now) {
			wait.Reason = reasonUnconfirmed
		}
		check.found = append(check.found, ClassWait{longest, wait})
		s.logLongWait(now, &check.found[len(check.found)-1], out)
	}
}

// logLongWait logs why the tasks of a class wait, at most once per waitLogInterval.
func (s *Scheduler) logLongWait(now time.Duration, found *ClassWait, out *machine.Output) {
	key := classReason{found.ClassKey, found.Reason}
	if last, logged := s.longWaits.loggedAt[key]; logged && now-last < waitLogInterval {
		return
	}
	s.longWaits.loggedAt[key] = now
	store := s.access.State()
	log := out.Warn
	if expectedReasons[found.Reason] {
		log = out.Log
	}
	ref := dispatch.TaskRef{Job: found.Job, Index: found.Index}
	log("tasks_waiting", "reason", string(found.Reason), "holder", found.Holder,
		"sinceMs", (store.Now() - found.Since).Milliseconds(), "service", found.Service, "class", found.Class,
		"tasks", found.Tasks, "job", found.Job, "task", taskID(store, ref), "waitingMs", found.Waiting.Milliseconds(),
		"workers", found.Workers, "silent", found.Silent, "fitting", found.Fitting, "withRoom", found.WithResources,
		"reportingRoom", found.ReportingResources)
}

// allWaitReasons lists every reason, so that a metric exists for each even while it is 0.
var allWaitReasons = []dispatch.WaitReason{
	dispatch.WaitReason(state.NoWorker), dispatch.WaitReason(state.WorkersSilent),
	dispatch.WaitReason(state.WorkersUnfit), dispatch.WaitReason(state.TenantAtLimit),
	dispatch.WaitReason(state.ClassAtShare), dispatch.WaitReason(state.NoFreeResources), reasonUnconfirmed,
	dispatch.ReasonRebuilding, dispatch.ReasonGangRoom, dispatch.ReasonHeldForGang,
	dispatch.ReasonHeldForTenantsGang, dispatch.ReasonWorkerImpaired, dispatch.ReasonFailedThere,
	dispatch.ReasonKeptForRack, dispatch.ReasonAtWorkerLimit, dispatch.ReasonNotQueued, dispatch.ReasonNextScan,
}

// LongWaitsByReason counts the tasks that have waited long by reason. All tasks of a class
// count under the reason of its longest-waiting task.
func (s *Scheduler) LongWaitsByReason() map[dispatch.WaitReason]int {
	tasks := map[dispatch.WaitReason]int{}
	for _, reason := range allWaitReasons {
		tasks[reason] = 0
	}
	for i := range s.longWaits.found {
		tasks[s.longWaits.found[i].Reason] += s.longWaits.found[i].Tasks
	}
	return tasks
}

// Turns: how a task is granted, confirmed, renewed, stopped and given back. A
// turn leaves its worker only when the worker says that it does not run it, or
// when the attempt must have ended: its run limit, the last cutoff that the
// worker can have been told, and a margin have passed. Even then a task that may
// have ended well is held for a word, unless its class or itself says restart. A
// good end counts from any attempt.

package state

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"sorrelloom/core/config"
	"sorrelloom/core/status"
)

const (
	stopReasonGang     = "the gang is not whole"
	stopReasonRunLimit = "the run limit passed"
)

func (l *Store) findTask(a Attempt) (taskRef, Task, bool) {
	job, ok := l.jobs[a.Job]
	if !ok {
		return taskRef{}, Task{}, false
	}
	i := slices.IndexFunc(job.Spec.Tasks, func(t TaskSpec) bool { return t.ID == a.Task })
	if i < 0 {
		return taskRef{}, Task{}, false
	}
	return taskRef{a.Job, i}, job.Tasks[i], true
}

func (l *Store) attemptOf(at taskRef) Attempt {
	job := l.jobs[at.job]
	return Attempt{at.job, job.Spec.Tasks[at.index].ID, job.Tasks[at.index].Lease.AttemptNumber}
}

func heldBy(t Lease, b Heartbeat) bool { return t.Worker == b.Worker && t.Incarnation == b.Incarnation }

// beat takes a worker's report. The worker is believed about itself only.
func (l *Store) heartbeat(b Heartbeat) Result {
	old, known := l.workers[b.Worker]
	if b.Worker == "" || b.Incarnation <= 0 || b.Number == 0 || b.Free.Slots < 0 {
		return reject(status.Malformed, "a beat needs worker, incarnation, number and free room")
	}
	if known && (b.Incarnation < old.Incarnation || b.Incarnation == old.Incarnation && b.Number < old.Number) {
		a := reject(status.StaleHeartbeat, "beat %d/%d came after %d/%d", b.Incarnation, b.Number, old.Incarnation, old.Number)
		a.Heartbeat.Incarnation, a.Heartbeat.HeartbeatNumber = old.Incarnation, old.Number
		return a
	}
	if known && b.Incarnation != old.Incarnation {
		for _, at := range l.leasedTasks(b.Worker) {
			t := l.jobs[at.job].Tasks[at.index]
			if t.Lease.OrphanUntil == 0 {
				t.Lease.OrphanUntil = l.latestEnd(t.Lease)
				l.setTask(at, t)
			}
		}
	}
	if b.Delta && (!known || b.Incarnation != old.Incarnation) {
		return reject(status.Malformed, "a reduced beat needs a worker that is known in its incarnation")
	}
	if b.Delta {
		b = old.withIdentity(b)
	}
	if !known && b.Address != "" {
		l.replaceWorkersAt(b)
	}
	w := Worker{Heartbeat: b, Drained: old.Drained, LastSeenAt: l.now, LeaseExpiresAt: max(old.LeaseExpiresAt, l.now+l.config.Limits.LeaseDuration.Duration)}
	// What runs and what has ended is in the turns; a change is not kept.
	w.Running, w.Ended, w.Progress, w.NotRunning, w.Delta = nil, nil, nil, nil, false
	w.Capacity = b.Free
	answer := Result{Code: status.OK}
	answer.Heartbeat.LeaseDuration = l.config.Limits.LeaseDuration.Duration
	touched := map[string]bool{}
	for _, end := range b.Ended {
		answer.Heartbeat.Acks = append(answer.Heartbeat.Acks, end.Attempt)
		if at, t, ok := l.findTask(end.Attempt); ok && end.Number > 0 && end.Number <= t.Attempts {
			l.endAttempt(at, t, end, b)
			touched[at.job] = true
		}
	}
	for _, p := range b.Progress {
		if at, t, ok := l.findTask(p.Attempt); ok && heldBy(t.Lease, b) && t.Lease.AttemptNumber == p.Number && l.jobs[at.job].Spec.Tasks[at.index].Checkpointed {
			t.Checkpoint, t.Percent = p.Checkpoint, p.Percent
			l.setTask(at, t)
		}
	}
	listed := map[Attempt]bool{}
	for _, a := range b.Running {
		listed[a] = true
		at, t, ok := l.findTask(a)
		mine := ok && heldBy(t.Lease, b) && t.Lease.AttemptNumber == a.Number
		if ok && !mine && l.adoptable(at, t, a, b) {
			l.recordDecision(Decision{Kind: "adopt", Job: a.Job, Task: a.Task, AttemptNumber: a.Number, Worker: b.Worker})
			t.Lease = Lease{AttemptNumber: a.Number, Worker: b.Worker, Incarnation: b.Incarnation, HeartbeatNumber: b.Number, GrantedAt: l.now, StartedAt: l.now, RunLimit: l.runLimit(at)}
			l.setTask(at, t)
			mine = true
		}
		if ok {
			w.Capacity = w.Capacity.Add(l.jobs[a.Job].Spec.Tasks[at.index].Resources)
		}
		if mine && t.Lease.StartedAt == 0 {
			t.Lease.StartedAt = l.now
			l.setTask(at, t)
			touched[at.job] = true
		}
		if ok && !mine {
			w.Unleased = w.Unleased.Add(l.jobs[a.Job].Spec.Tasks[at.index].Resources)
		}
		if !mine || t.Lease.StopReason != "" {
			answer.Heartbeat.Stops = append(answer.Heartbeat.Stops, a)
		}
	}
	if b.Total != (Resources{}) {
		w.Capacity = b.Total
	}
	for _, at := range l.leasesNotListed(b, listed) {
		t := l.jobs[at.job].Tasks[at.index]
		if showsNotRunning(t.Lease, b) {
			l.returnLease(at, t.Lease.StartedAt > 0 && t.Lease.StopReason == "", "the worker does not run it")
			touched[at.job] = true
		} else if t.Lease.StopReason == "" {
			answer.Heartbeat.Starts = append(answer.Heartbeat.Starts, l.startOrder(at))
		}
	}
	l.setWorker(w)
	l.changes = append(l.changes, Change{Worker: b.Worker})
	for _, id := range slices.Sorted(maps.Keys(touched)) {
		l.makeTasksReady(id)
	}
	return answer
}

// unlisted gives the worker's turns that its report does not list.
func (l *Store) leasesNotListed(b Heartbeat, listed map[Attempt]bool) []taskRef {
	var out []taskRef
	if b.Delta {
		for _, a := range b.NotRunning {
			if at, t, ok := l.findTask(a); ok && heldBy(t.Lease, b) && t.Lease.AttemptNumber == a.Number {
				out = append(out, at)
			}
		}
		return out
	}
	for _, at := range l.leasedTasks(b.Worker) {
		if heldBy(l.jobs[at.job].Tasks[at.index].Lease, b) && !listed[l.attemptOf(at)] {
			out = append(out, at)
		}
	}
	return out
}

// succeed takes a newcomer's address as the proof that the worker there before is
// gone, with all that it ran.
func (l *Store) replaceWorkersAt(b Heartbeat) {
	for _, id := range slices.Sorted(maps.Keys(l.workers)) {
		if id == b.Worker || l.workers[id].Address != b.Address {
			continue
		}
		for _, at := range l.leasedTasks(id) {
			l.returnLease(at, l.jobs[at.job].Tasks[at.index].Lease.StartedAt > 0, "its worker was replaced")
			l.makeTasksReady(at.job)
		}
		l.forgetWorker(id)
		l.recordDecision(Decision{Kind: "gone", Worker: id})
		l.changes = append(l.changes, Change{Worker: id})
	}
}

// adoptable says whether an attempt that runs on after its turn was given back
// may simply have its turn again: safer than a stop, which may come too late.
func (l *Store) adoptable(at taskRef, t Task, a Attempt, b Heartbeat) bool {
	spec := l.jobs[at.job].Spec
	return t.State == Ready && !t.Lease.Held() && a.Number > 0 && a.Number <= t.Attempts &&
		spec.Service == b.Service && spec.Tasks[at.index].Gang == ""
}

func (l *Store) startOrder(at taskRef) StartOrder {
	job := l.jobs[at.job]
	spec := job.Spec.Tasks[at.index]
	t := job.Tasks[at.index]
	payload := spec.Payload
	if payload == nil {
		payload = job.Spec.Payload
	}
	s := StartOrder{Attempt: l.attemptOf(at), Checkpoint: t.Checkpoint, Service: job.Spec.Service, Class: job.Spec.Class, Resources: spec.Resources, Gang: spec.Gang, RunLimit: config.Duration{Duration: t.Lease.RunLimit}, Payload: payload}
	if len(job.Spec.Steps) == 0 {
		for _, i := range spec.Dependencies {
			s.DependencyWorkers = append(s.DependencyWorkers, job.Tasks[i].CompletedOn)
		}
	}
	return s
}

// end takes one reported end. A good one closes the task whichever attempt it
// was; a bad one counts once, and only for the turn that is in force.
func (l *Store) endAttempt(at taskRef, t Task, end AttemptResult, b Heartbeat) {
	current := t.Lease.Held() && t.Lease.Worker == b.Worker && t.Lease.AttemptNumber == end.Number
	spec := l.jobs[at.job].Spec.Tasks[at.index]
	if current && spec.Checkpointed && end.Checkpoint != "" {
		t.Checkpoint, t.Percent = end.Checkpoint, end.Percent
		l.setTask(at, t)
	}
	if spec.LongRunning {
		if current {
			l.returnLease(at, false, "ended")
		}
		return
	}
	if end.Succeeded && t.State != Done {
		l.recordDecision(Decision{Kind: "end", Job: end.Job, Task: end.Task, AttemptNumber: end.Number, Worker: b.Worker, Succeeded: true})
		l.completeTask(at, b.Worker, current)
		for i, other := range l.jobs[at.job].Tasks {
			// A gang ends as one: a good end of one member stands for them all.
			if spec.Gang != "" && i != at.index && l.jobs[at.job].Spec.Tasks[i].Gang == spec.Gang && other.State != Done {
				l.completeTask(taskRef{at.job, i}, other.Lease.Worker, false)
			}
		}
		return
	}
	if !current {
		return
	}
	if end.Succeeded || end.Lost || end.Stopped && t.Lease.StopReason != stopReasonRunLimit {
		l.returnLease(at, t.Lease.StopReason == "" && !end.Lost && !end.Succeeded, "stopped")
		return
	}
	if t.Lease.StopReason != "" && t.Lease.StopReason != stopReasonRunLimit && !l.config.Limits.KilledAtLeaseExpiry {
		l.returnLease(at, false, t.Lease.StopReason)
		return
	}
	l.recordDecision(Decision{Kind: "end", Job: end.Job, Task: end.Task, AttemptNumber: end.Number, Worker: b.Worker})
	t = l.countFailure(at, t)
	t.FailedOn = appendFailedOn(t.FailedOn, t.Lease.Worker)
	t.Lease = Lease{}
	t.Reason = end.Reason
	if t.Reason == "" {
		t.Reason = stopReasonRunLimit
	}
	l.storeUnleased(at, t, t.Failures >= spec.MaxFailures)
}

// done closes a task that ended well. A turn that is not the one that did is left
// to end by itself, or told to if it is another attempt of the same task.
func (l *Store) completeTask(at taskRef, holder string, current bool) {
	t := l.jobs[at.job].Tasks[at.index]
	gang := l.jobs[at.job].Spec.Tasks[at.index].Gang
	t.State, t.EndedAt, t.CompletedOn = Done, l.now, holder
	if current {
		t.Lease = Lease{}
	} else if t.Lease.Held() && t.Lease.StopReason == "" && gang == "" {
		t.Lease.StopReason = "another attempt ended well"
	}
	l.setTask(at, t)
}

// defect counts a bad end. One of a gang's run counts for every member, once.
func (l *Store) countFailure(at taskRef, t Task) Task {
	gang, try := l.jobs[at.job].Spec.Tasks[at.index].Gang, t.Lease.AttemptNumber
	if gang == "" || t.LastFailedAttempt != try {
		t.Failures, t.LastFailedAttempt = t.Failures+1, try
	}
	for i, other := range l.jobs[at.job].Tasks {
		if gang != "" && i != at.index && l.jobs[at.job].Spec.Tasks[i].Gang == gang && other.LastFailedAttempt != try && !other.Terminal() {
			other.Failures, other.LastFailedAttempt = other.Failures+1, try
			l.setTask(taskRef{at.job, i}, other)
		}
	}
	return t
}

// failedOn adds a worker to those that a task has failed on.
func appendFailedOn(workers []string, worker string) []string {
	if slices.Contains(workers, worker) {
		return workers
	}
	return append(slices.Clone(workers), worker)
}

// giveBack returns a turn without a defect; a loss is counted if the worker had
// started it and nobody had asked for the stop.
func (l *Store) returnLease(at taskRef, lost bool, why string) {
	t := l.jobs[at.job].Tasks[at.index]
	if t.Lease.StopReason == stopReasonRunLimit {
		t = l.countFailure(at, t)
		t.FailedOn = appendFailedOn(t.FailedOn, t.Lease.Worker)
		why = stopReasonRunLimit
	}
	l.recordDecision(Decision{Kind: "back", Job: at.job, Task: l.jobs[at.job].Spec.Tasks[at.index].ID, AttemptNumber: t.Lease.AttemptNumber, Worker: t.Lease.Worker})
	if lost {
		t.Losses++
	}
	t.Lease, t.Reason = Lease{}, why
	spent := t.Losses > l.config.Limits.MaxLostAttempts || t.Failures >= l.jobs[at.job].Spec.Tasks[at.index].MaxFailures
	l.storeUnleased(at, t, spent)
}

// close stores a task whose turn is over: open again, or failed for good. The
// rest of its gang goes back with it.
func (l *Store) storeUnleased(at taskRef, t Task, spent bool) {
	if t.State == Ready {
		t.ReadyAt = l.now
	}
	if spent && !t.Terminal() {
		t.State, t.EndedAt = Failed, l.now
	}
	l.setTask(at, t)
	spec := l.jobs[at.job].Spec.Tasks[at.index]
	for i, other := range l.jobs[at.job].Tasks {
		if spec.Gang != "" && i != at.index && l.jobs[at.job].Spec.Tasks[i].Gang == spec.Gang && other.Lease.Held() && other.Lease.StopReason == "" {
			other.Lease.StopReason = stopReasonGang
			l.setTask(taskRef{at.job, i}, other)
		}
	}
	if t.State == Failed {
		l.endJob(at.job, Failed, "task "+spec.ID+" failed: "+t.Reason)
	}
	l.updateJobState(at.job)
}

// Room is what a worker has left: what it reported free, less every turn that
// it had not yet listed when it did, less what may still run of an earlier
// incarnation; and never more than its capacity less all turns.
func (l *Store) FreeResources(worker string) Resources {
	w := l.workers[worker]
	return l.freeResourcesWith(w, w.Free)
}

// roomWith is the room of a worker that reports so much free.
func (l *Store) freeResourcesWith(w Worker, free Resources) Resources {
	o := l.usage[w.ID()]
	return free.Sub(o.unreported).Min(w.Capacity.Sub(w.Unleased).Sub(o.used))
}

// Fits checks the standing rules between a task and a worker, without room.
func (l *Store) Fits(job Job, i int, w Worker) status.Code {
	spec := job.Spec.Tasks[i]
	if w.Service != job.Spec.Service {
		return status.WorkerMismatch
	}
	for _, label := range spec.Labels {
		if !slices.Contains(w.Labels, label) {
			return status.WorkerMismatch
		}
	}
	if w.Leaving || w.Drained {
		return status.Draining
	}
	if l.drainedZones[w.Zone] {
		return status.ZoneDrained
	}
	if !l.Live(w) {
		return status.WorkerUnresponsive
	}
	return status.OK
}

func (l *Store) Live(w Worker) bool {
	return l.now-w.LastSeenAt <= l.config.Limits.HeartbeatTimeout.Duration
}

func (l *Store) shareSlots(service, class string, totalSlots int) int {
	share := l.config.Services[service].Classes[class].Share
	return (totalSlots*share + 99) / 100
}

// Owed counts the tasks of other classes that are within their own share, wait,
// and could run on some live worker: those for whom room is kept.
func (l *Store) UnmetDemand(service, class string) int {
	owed, b := 0, l.ServiceLoad(service)
	for n, count := range l.waiting {
		if n.service != service || n.class == class || n.gangSlots > b.Slots {
			continue
		}
		if b.Used[n.class]+n.resources.Slots > l.shareSlots(service, n.class, b.Slots) {
			continue
		}
		if l.isSatisfiable(n) {
			owed += count
		}
	}
	return owed
}

func (l *Store) isSatisfiable(n demand) bool {
	cache := l.currentCache().satisfiable
	if known, ok := cache[n]; ok {
		return known
	}
	cache[n] = l.findsWorker(n)
	return cache[n]
}

func (l *Store) findsWorker(n demand) bool {
	for _, w := range l.workers {
		probe := Job{Spec: JobSpec{Service: n.service, Tasks: []TaskSpec{{Resources: n.resources}}}}
		if n.labels != "" {
			probe.Spec.Tasks[0].Labels = splitLabels(n.labels)
		}
		if l.Fits(probe, 0, w) == status.OK && w.Capacity.Covers(n.resources) {
			return true
		}
	}
	return false
}

// Allowed checks the share of a class, then asks the borrowing policy. Under
// way are slots by service and class that were asked for and are not here yet.
func (l *Store) CheckShare(service, class string, askedSlots int, underWay map[[2]string]int) (allowed, borrowed bool) {
	b := l.ServiceLoad(service)
	idle := b.Idle
	for of, slots := range underWay {
		if of[0] == service {
			idle -= slots
		}
	}
	share := l.shareSlots(service, class, b.Slots)
	used := b.Used[class] + underWay[[2]string{service, class}]
	if used+askedSlots <= share || used == 0 && share > 0 {
		// What is larger than the share starts alone in its class, or it never could.
		return true, false
	}
	if l.policies.AlwaysAllowsBorrowing() {
		return true, true
	}
	names := config.BorrowInput{
		Total: b.Slots, Idle: idle, Requested: askedSlots, Used: used, Share: share,
		Waiting: l.UnmetDemand(service, class), Class: class, Service: service,
	}
	return l.policies.Borrow(names), true
}

// grant gives turns for one task or one whole gang, all or none.
func (l *Store) grantLeases(g Grant) Result {
	if d := l.leaderships[g.Leadership]; d.Epoch != g.Epoch || g.Epoch == 0 {
		return reject(status.StaleEpoch, "duty %s is at epoch %d, not %d", g.Leadership, d.Epoch, g.Epoch)
	}
	if len(g.Assignments) == 0 {
		return reject(status.Malformed, "nothing is picked")
	}
	taken, chosen := map[string]Resources{}, map[taskRef]string{}
	slots, try, crowd := 0, 0, map[string]int{}
	for _, p := range g.Assignments {
		at, t, ok := l.findTask(Attempt{Job: p.Job, Task: p.Task})
		if !ok {
			return reject(status.UnknownJob, "no task %s/%s", p.Job, p.Task)
		}
		if p.Job != g.Assignments[0].Job || chosen[at] != "" {
			return reject(status.GangIncomplete, "one grant is one task or one gang")
		}
		job := l.jobs[p.Job]
		spec := job.Spec.Tasks[at.index]
		switch {
		case job.EndingState != "":
			return reject(status.JobCancelled, "job %s is ending", p.Job)
		case t.State == Waiting:
			return reject(status.DependenciesUnmet, "task %s/%s waits for others", p.Job, p.Task)
		case t.State != Ready || t.Lease.Held():
			return reject(status.TaskNotPending, "task %s/%s is %s", p.Job, p.Task, t.State)
		case t.DueAt > l.now:
			return reject(status.DependenciesUnmet, "task %s/%s is due in %s", p.Job, p.Task, t.DueAt-l.now)
		case t.Failures >= spec.MaxFailures && !spec.LongRunning:
			return reject(status.RetriesExhausted, "task %s/%s has %d defects", p.Job, p.Task, t.Failures)
		}
		w, ok := l.workers[p.Worker]
		if !ok {
			return reject(status.UnknownName, "no worker %s", p.Worker)
		}
		if c := l.Fits(job, at.index, w); c != status.OK {
			return reject(c, "worker %s, task %s/%s", p.Worker, p.Job, p.Task)
		}
		taken[p.Worker] = taken[p.Worker].Add(spec.Resources)
		if free := l.FreeResources(p.Worker); !free.Covers(taken[p.Worker]) {
			return reject(status.InsufficientResources, "worker %s has %+v", p.Worker, free)
		}
		if l.AtWorkerLimit(job, at.index, p.Worker, crowd[p.Worker]) {
			return reject(status.SpreadExceeded, "worker %s has %d tasks of this step", p.Worker, spec.MaxPerWorker)
		}
		crowd[p.Worker]++
		chosen[at] = p.Worker
		slots, try = slots+spec.Resources.Slots, max(try, t.Attempts+1)
	}
	job := l.jobs[g.Assignments[0].Job]
	first, _, _ := l.findTask(Attempt{Job: g.Assignments[0].Job, Task: g.Assignments[0].Task})
	gang := job.Spec.Tasks[first.index].Gang
	members := 0
	for i, spec := range job.Spec.Tasks {
		if gang != "" && spec.Gang == gang && job.Tasks[i].State != Done {
			members++
			if chosen[taskRef{job.Spec.ID, i}] == "" {
				return reject(status.GangIncomplete, "task %s/%s is not in the grant", job.Spec.ID, spec.ID)
			}
		}
	}
	if len(g.Assignments) != max(members, 1) {
		return reject(status.GangIncomplete, "one grant is one task or one gang")
	}
	allowed, borrowed := l.CheckShare(job.Spec.Service, job.Spec.Class, slots, nil)
	if !allowed {
		return reject(status.QuotaExceeded, "class %s may not take %d slots more", job.Spec.Class, slots)
	}
	saved, percent := l.gangCheckpoint(job, g.Assignments)
	for _, p := range g.Assignments {
		at, t, _ := l.findTask(Attempt{Job: p.Job, Task: p.Task})
		w := l.workers[p.Worker]
		t.Attempts = try
		if gang != "" {
			t.Checkpoint, t.Percent = saved, percent
		}
		if p.HeartbeatNumber > w.Number {
			w.Number = p.HeartbeatNumber
			l.setWorker(w)
		}
		t.Lease = Lease{AttemptNumber: t.Attempts, Worker: p.Worker, Incarnation: w.Incarnation, HeartbeatNumber: w.Number, GrantedAt: l.now, RunLimit: l.runLimit(at), Borrowed: borrowed}
		l.setTask(at, t)
		l.recordDecision(Decision{Kind: "grant", Job: p.Job, Task: p.Task, AttemptNumber: t.Attempts, Worker: p.Worker})
	}
	return Result{Code: status.OK}
}

// gangSaved is what all members of a gang go on from: what one of them has saved
// that was furthest.
func (l *Store) gangCheckpoint(job Job, picks []Assignment) (saved string, percent int) {
	for _, p := range picks {
		_, t, _ := l.findTask(Attempt{Job: p.Job, Task: p.Task})
		if t.Checkpoint != "" && (saved == "" || t.Percent > percent) {
			saved, percent = t.Checkpoint, t.Percent
		}
	}
	return saved, percent
}

// pushOut asks for a turn back: a borrowed one for the class that owns the room,
// or any that is not quick for a quick task that waits within its class's share.
func (l *Store) preempt(g Grant) Result {
	if d := l.leaderships[g.Leadership]; d.Epoch != g.Epoch || g.Epoch == 0 {
		return reject(status.StaleEpoch, "duty %s is at epoch %d, not %d", g.Leadership, d.Epoch, g.Epoch)
	}
	for _, p := range g.Assignments {
		at, t, ok := l.findTask(Attempt{Job: p.Job, Task: p.Task})
		if !ok || !t.Lease.Held() || t.Lease.StopReason != "" || t.Lease.Worker != p.Worker || !t.Lease.Borrowed && (l.isQuick(l.jobs[p.Job].Spec) || !l.quickTaskWaits(g.PreemptFor, p.Worker)) {
			return reject(status.TaskNotPending, "task %s/%s holds no turn that may be pushed out", p.Job, p.Task)
		}
		t.Lease.StopReason = "pushed out for " + g.PreemptFor.Job + "/" + g.PreemptFor.Task
		l.recordDecision(Decision{Kind: "push-out", Job: p.Job, Task: p.Task, AttemptNumber: t.Lease.AttemptNumber, Worker: p.Worker})
		l.setTask(at, t)
	}
	return Result{Code: status.OK}
}

func (l *Store) isQuick(spec JobSpec) bool {
	return l.config.Services[spec.Service].Classes[spec.Class].Quick
}

// quickWaits says whether a quick task waits, within its class's share, that
// could run on a worker.
func (l *Store) quickTaskWaits(p Assignment, worker string) bool {
	at, t, ok := l.findTask(Attempt{Job: p.Job, Task: p.Task})
	if !ok || t.State != Ready || t.Lease.Held() || !l.isQuick(l.jobs[p.Job].Spec) {
		return false
	}
	job := l.jobs[p.Job]
	usedSlots, shareSlots := l.ClassUse(job.Spec.Service, job.Spec.Class)
	return usedSlots+job.Spec.Tasks[at.index].Resources.Slots <= shareSlots && l.Fits(job, at.index, l.workers[worker]) == status.OK
}

// startWithin is how long after a beat a worker takes starts from its reply.
const startTimeout = 2 * time.Second

func (l *Store) runLimit(at taskRef) time.Duration {
	spec := l.jobs[at.job].Spec
	if limit := spec.Tasks[at.index].RunLimit.Duration; limit > 0 {
		return limit
	}
	return l.config.RunLimit(spec.Service, spec.Class)
}

// endedBy is when an attempt must have ended without a word from its worker, by
// its lease and, should the worker run on, by its run limit.
func (l *Store) latestEnd(t Lease) time.Duration {
	if t.OrphanUntil > 0 {
		return t.OrphanUntil
	}
	limits, w, began := l.config.Limits, l.workers[t.Worker], t.StartedAt
	if limits.KilledAtLeaseExpiry {
		return max(w.LeaseExpiresAt, t.GrantedAt+limits.LeaseDuration.Duration) + limits.ExpiryMargin.Duration
	}
	if began == 0 {
		began = max(w.LastSeenAt, t.GrantedAt) + startTimeout
	}
	return max(w.LeaseExpiresAt, t.GrantedAt+limits.LeaseDuration.Duration, began+t.RunLimit) + limits.ExpiryMargin.Duration
}

// Held says whether only a word, the worker's or an operator's, frees a task
// whose worker is silent: it may have ended well, and is not to start again.
func (l *Store) HeldForLostWorker(job Job, i int) bool {
	t, silence := job.Tasks[i], job.Spec.Tasks[i].LostWorkerPolicy
	if silence == "" {
		silence = l.config.Services[job.Spec.Service].Classes[job.Spec.Class].LostWorkerPolicy
	}
	return t.Lease.Held() && !t.Terminal() && silence != config.RestartOnLostWorker && t.Lease.OrphanUntil == 0 && !l.workers[t.Lease.Worker].ConfirmedDead
}

type timedAction struct {
	job   string
	apply func()
}

// Due says whether a tick at the given time would change anything.
func (l *Store) TickDue(at time.Duration) bool { return len(l.dueActions(at)) > 0 }

func (l *Store) dueActions(now time.Duration) []timedAction {
	var out []timedAction
	limits := l.config.Limits
	for _, id := range slices.Sorted(maps.Keys(l.activeJobs)) {
		job := l.jobs[id]
		if job.Spec.Deadline.Duration > 0 && job.EndingState == "" && now > job.AcceptedAt+job.Spec.Deadline.Duration {
			out = append(out, timedAction{id, func() { l.endJob(id, Failed, "the job's cutoff passed") }})
		}
	}
	var timed []taskRef
	for at := range l.timedTasks {
		if t := l.jobs[at.job].Tasks[at.index]; now >= t.DueAt && l.jobs[at.job].EndingState == "" && l.dependenciesDone(at) {
			timed = append(timed, at)
		}
	}
	slices.SortFunc(timed, func(a, b taskRef) int { return cmp.Or(cmp.Compare(a.job, b.job), cmp.Compare(a.index, b.index)) })
	for _, at := range timed {
		out = append(out, timedAction{at.job, func() {}})
	}
	for _, at := range l.dueLeases(now) {
		id, t := at.job, l.jobs[at.job].Tasks[at.index]
		if l.leaseLapsed(now, at) {
			lost := t.Lease.StartedAt > 0
			out = append(out, timedAction{id, func() {
				if l.jobs[at.job].Tasks[at.index].Lease.Held() {
					l.returnLease(at, lost, "the worker went silent")
				}
			}})
			continue
		}
		stop := l.dueStopReason(now, at)
		out = append(out, timedAction{id, func() { l.stopLease(at, stop) }})
	}
	for _, id := range l.endedJobs {
		if now <= l.jobs[id].EndedAt+limits.FinishedRetention.Duration {
			break
		}
		out = append(out, timedAction{"", func() { l.forgetJob(id) }})
	}
	for _, id := range slices.Sorted(maps.Keys(l.workers)) {
		if w := l.workers[id]; now > w.LeaseExpiresAt+limits.ExpiryMargin.Duration+limits.FinishedRetention.Duration && len(l.leases[id]) == 0 {
			out = append(out, timedAction{"", func() { l.forgetWorker(id) }})
		}
	}
	if requests, plans, past := l.expiredKeys(now); len(requests)+len(plans)+len(past) > 0 {
		out = append(out, timedAction{"", func() { l.forgetExpired(now) }})
	}
	for _, id := range slices.Sorted(maps.Keys(l.schedulers)) {
		if now > l.schedulers[id].LastSeenAt+limits.FinishedRetention.Duration {
			out = append(out, timedAction{"", func() { delete(l.schedulers, id) }})
		}
	}
	return out
}

// dueTurns gives the turns that are to go back or to be stopped, by worker and then
// by task number. It is asked often and mostly finds none, so only these are sorted.
func (l *Store) dueLeases(now time.Duration) []taskRef {
	var out []taskRef
	for _, turns := range l.leases {
		for at := range turns {
			if l.leaseLapsed(now, at) || l.dueStopReason(now, at) != "" {
				out = append(out, at)
			}
		}
	}
	slices.SortFunc(out, func(a, b taskRef) int {
		x, y := l.jobs[a.job].Tasks[a.index], l.jobs[b.job].Tasks[b.index]
		return cmp.Or(cmp.Compare(x.Lease.Worker, y.Lease.Worker), cmp.Compare(x.Number, y.Number))
	})
	return out
}

// givesBack says whether a turn is over by the silence of its worker.
func (l *Store) leaseLapsed(now time.Duration, at taskRef) bool {
	job := l.jobs[at.job]
	return now > l.latestEnd(job.Tasks[at.index].Lease) && !l.HeldForLostWorker(job, at.index)
}

// stopOf says why a turn is to be stopped now, nothing if it is not.
func (l *Store) dueStopReason(now time.Duration, at taskRef) string {
	job, limits := l.jobs[at.job], &l.config.Limits
	t := job.Tasks[at.index].Lease
	switch {
	case t.StopReason != "":
	case t.StartedAt > 0 && !limits.KilledAtLeaseExpiry && l.workers[t.Worker].LastSeenAt > t.StartedAt+t.RunLimit:
		return stopReasonRunLimit
	case t.StartedAt == 0 && job.Spec.Tasks[at.index].Gang != "" && now > t.GrantedAt+limits.StartTimeout.Duration:
		return stopReasonGang
	}
	return ""
}

// ready says whether all that a task needs is done.
func (l *Store) dependenciesDone(at taskRef) bool {
	job := l.jobs[at.job]
	return !slices.ContainsFunc(job.Spec.Tasks[at.index].Dependencies, func(i int) bool { return job.Tasks[i].State != Done })
}

func (l *Store) stopLease(at taskRef, why string) {
	t := l.jobs[at.job].Tasks[at.index]
	t.Lease.StopReason = why
	l.setTask(at, t)
	gang := l.jobs[at.job].Spec.Tasks[at.index].Gang
	for i, other := range l.jobs[at.job].Tasks {
		if gang != "" && l.jobs[at.job].Spec.Tasks[i].Gang == gang && other.Lease.Held() && other.Lease.StopReason == "" {
			other.Lease.StopReason = stopReasonGang
			l.setTask(taskRef{at.job, i}, other)
		}
	}
}

func (l *Store) forgetJob(id string) {
	job := l.jobs[id]
	for i := range job.Tasks {
		l.countTask(job, i, -1)
	}
	delete(l.jobs, id)
	l.endedJobs = slices.DeleteFunc(l.endedJobs, func(other string) bool { return other == id })
	l.pastJobs.put(id, PastJob{job.Digest, job.Spec.Service, job.Spec.Class, job.State, job.EndedAt})
	l.changes = append(l.changes, Change{Job: id, Task: -1})
}

func (l *Store) tick() Result {
	for _, d := range l.dueActions(l.now) {
		d.apply()
		if d.job != "" {
			l.makeTasksReady(d.job)
		}
	}
	return Result{Code: status.OK}
}

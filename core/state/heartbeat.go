package state

import (
	"maps"
	"slices"
	"time"

	"sorrelloom/core/status"
)

// Heartbeat is a worker's report on its properties, resources and attempts.
type Heartbeat struct {
	Worker string `json:"worker"`
	// Incarnation increases with each start of the worker, Number with each heartbeat of an
	// incarnation.
	Incarnation int64    `json:"incarnation"`
	Number      uint64   `json:"number"`
	Zone        string   `json:"site"`
	Rack        string   `json:"rack,omitempty"`
	Service     string   `json:"service"`
	Labels      []string `json:"labels,omitempty"`
	// Running are the attempts that the worker runs. Ended are the results whose
	// acknowledgement it has not received yet.
	Running []Attempt       `json:"running,omitempty"`
	Ended   []AttemptResult `json:"ended,omitempty"`
	Free    Resources       `json:"free"`
	Total   Resources       `json:"total,omitzero"`
	Leaving bool            `json:"leaving,omitempty"`
	// LeavesIn is how long a leaving worker keeps its attempts running; 0 means unknown.
	LeavesIn time.Duration `json:"leavesIn,omitempty"`
	// Address, where set, belongs to one worker at a time. A new worker at the same address
	// proves that the previous one and all its attempts have ended.
	Address  string     `json:"address,omitempty"`
	Progress []Progress `json:"progress,omitempty"`
	// Delta marks a heartbeat that the primary has reduced to its changes: Running lists
	// only attempts that are not a started lease of the worker, NotRunning lists the leases
	// that the worker does not run, and zone, rack, service, labels and address are omitted.
	Delta      bool      `json:"reduced,omitempty"`
	NotRunning []Attempt `json:"unlisted,omitempty"`
	// CallNumber is the worker's own number of the call on which the heartbeat is based; 0
	// means unknown. Within an incarnation a call with a higher number was sent later,
	// whichever agent forwards it.
	CallNumber uint64 `json:"callNumber,omitempty"`
	// Unconfirmed marks a heartbeat that may be based on an outdated call: the worker may
	// have sent later ones that its agent does not know. Only the information that cannot
	// be outdated is used.
	Unconfirmed bool `json:"unconfirmed,omitempty"`
	// AwaitingGang are running gang members for which the worker has not learned yet whether
	// the rest of the gang has started. The primary answers with StartedGangs. The field is
	// not part of any command.
	AwaitingGang []Attempt `json:"awaitingGang,omitempty"`
	// LastReply is the number of the newest heartbeat whose reply was received, with all its
	// orders; 0 means unknown. The field is not part of any command.
	LastReply uint64 `json:"lastReply,omitempty"`
}

// HeartbeatReply tells a worker which attempts to start and to stop, and acknowledges the
// results that it reported. Epoch is that of the primary that sends it.
type HeartbeatReply struct {
	Epoch  uint64       `json:"epoch,omitempty"`
	Starts []StartOrder `json:"starts,omitempty"`
	Stops  []Attempt    `json:"stops,omitempty"`
	Acks   []Attempt    `json:"acks,omitempty"`
	// StartedGangs are the attempts of AwaitingGang whose gangs have started completely.
	StartedGangs []Attempt `json:"startedGangs,omitempty"`
	// LeaseDuration is how long after its heartbeat the worker may keep its attempts running.
	LeaseDuration time.Duration `json:"lease,omitempty"`
	// Incarnation and HeartbeatNumber, in the reply to a stale heartbeat, are those of the
	// latest heartbeat that was applied.
	Incarnation     int64  `json:"incarnation,omitempty"`
	HeartbeatNumber uint64 `json:"number,omitempty"`
}

// heartbeatUpdate collects the worker's new record and the result while a heartbeat is
// applied.
type heartbeatUpdate struct {
	worker Worker
	result Result
}

// jobSet is the set of jobs whose tasks may have become ready.
type jobSet map[string]bool

// heartbeat applies a worker's heartbeat. A worker is trusted about itself only: the attempts
// that it lists as running or ended count as far as they are leased to it. A reduced heartbeat
// of another incarnation is rejected, but still orphans the leases of the earlier incarnation.
func (s *Store) heartbeat(hb Heartbeat) Result {
	_, known := s.workers[hb.Worker]
	old := s.workerRecord(hb.Worker)
	if hb.Worker == "" || hb.Incarnation <= 0 || hb.Number == 0 || hb.Free.Slots < 0 {
		return reject(status.Malformed, "a beat needs worker, incarnation, number and free room")
	}
	if known && hb.isOlderThan(&old.Heartbeat) {
		return rejectStaleHeartbeat(&hb, &old.Heartbeat)
	}
	restarted := known && hb.Incarnation != old.Incarnation
	if restarted {
		s.orphanLeases(hb.Worker)
	}
	if hb.Delta && (!known || restarted) {
		return reject(status.Malformed, "a reduced beat needs a worker that is known in its incarnation")
	}
	if hb.Delta {
		hb = old.withIdentity(hb)
	}
	if !known && hb.Address != "" {
		s.replaceWorkersAtAddress(&hb)
	}
	update := heartbeatUpdate{worker: s.updatedWorker(&hb, old), result: Result{Code: status.OK}}
	update.result.Heartbeat.LeaseDuration = s.config.Limits.LeaseDuration.Duration
	// The sets are allocated here, so that small ones stay on the stack.
	touched, listed := jobSet{}, map[Attempt]bool{}
	s.applyResults(&hb, &update, touched)
	s.applyProgress(&hb)
	s.applyRunning(&hb, &update, touched, listed)
	if hb.Total != (Resources{}) && !hb.Unconfirmed {
		update.worker.Capacity = hb.Total
	}
	s.applyUnlistedLeases(&hb, &update, touched, listed)
	s.setWorker(update.worker)
	s.changes = append(s.changes, Change{Worker: hb.Worker})
	for _, id := range slices.Sorted(maps.Keys(touched)) {
		s.makeTasksReady(id)
	}
	return update.result
}

// isOlderThan reports whether a heartbeat was sent before another one of the same worker.
func (hb *Heartbeat) isOlderThan(other *Heartbeat) bool {
	return hb.Incarnation < other.Incarnation || hb.Incarnation == other.Incarnation && hb.Number < other.Number
}

// isFromEarlierCall reports whether a heartbeat is based on an earlier call of the worker than
// another one. Its agent may have ended since, or may not know the later calls.
func (hb *Heartbeat) isFromEarlierCall(other *Heartbeat) bool {
	return hb.Incarnation == other.Incarnation && hb.CallNumber > 0 && hb.CallNumber < other.CallNumber
}

// rejectStaleHeartbeat rejects a heartbeat that arrived after a later one. The result has the
// incarnation and the number of the later one.
func rejectStaleHeartbeat(hb, latest *Heartbeat) Result {
	result := reject(status.StaleHeartbeat, "beat %d/%d came after %d/%d",
		hb.Incarnation, hb.Number, latest.Incarnation, latest.Number)
	result.Heartbeat.Incarnation, result.Heartbeat.HeartbeatNumber = latest.Incarnation, latest.Number
	return result
}

// orphanLeases sets, for the leases of a worker's earlier incarnation, the time until which
// their attempts may still run. The new incarnation knows nothing of these attempts.
func (s *Store) orphanLeases(worker string) {
	for _, ref := range s.leasedTasks(worker) {
		task := *s.taskAt(ref)
		if task.Lease.OrphanUntil == 0 {
			task.Lease.OrphanUntil = s.latestEnd(task.Lease)
			s.setTask(ref, task)
		}
	}
}

// replaceWorkersAtAddress forgets the workers that had the address of a new worker, and returns
// their leases: the new worker proves that they and all their attempts have ended.
func (s *Store) replaceWorkersAtAddress(hb *Heartbeat) {
	for _, id := range slices.Sorted(maps.Keys(s.workers)) {
		if id == hb.Worker || s.workers[id].Address != hb.Address {
			continue
		}
		for _, ref := range s.leasedTasks(id) {
			s.returnLease(ref, s.taskAt(ref).Lease.StartedAt > 0, returnReasonWorkerReplaced)
			s.makeTasksReady(ref.job)
		}
		s.forgetWorker(id)
		s.audit.record(Decision{Kind: decisionWorkerDead, Worker: id})
		s.changes = append(s.changes, Change{Worker: id})
	}
}

// updatedWorker returns the record of a worker after a heartbeat, before the attempts in the
// heartbeat are applied. The worker's own lease is renewed and never shortened.
func (s *Store) updatedWorker(hb *Heartbeat, old *Worker) Worker {
	worker := Worker{
		Heartbeat: *hb, Capacity: hb.Free, Drained: old.Drained, LastSeenAt: s.now,
		LeaseExpiresAt: max(old.LeaseExpiresAt, s.now+s.config.Limits.LeaseDuration.Duration),
	}
	if hb.Incarnation == old.Incarnation {
		worker.CallNumber = max(worker.CallNumber, old.CallNumber)
	}
	if hb.Unconfirmed {
		worker.Capacity, worker.Unleased, worker.UnleasedByTenant = old.Capacity, old.Unleased, old.UnleasedByTenant
	}
	// The tasks hold the running and the ended attempts. The fields of a delta are not stored.
	worker.Running, worker.Ended, worker.Progress, worker.NotRunning, worker.Delta = nil, nil, nil, nil, false
	worker.Unconfirmed, worker.AwaitingGang, worker.LastReply = false, nil, 0
	return worker
}

// applyResults applies the results of ended attempts in a heartbeat, and acknowledges all of
// them, also those of unknown attempts.
func (s *Store) applyResults(hb *Heartbeat, update *heartbeatUpdate, touched jobSet) {
	reply := &update.result.Heartbeat
	for i := range hb.Ended {
		end := &hb.Ended[i]
		reply.Acks = append(reply.Acks, end.Attempt)
		if ref, task, ok := s.findTask(end.Attempt); ok && end.Number > 0 && end.Number <= task.Attempts {
			s.endAttempt(ref, task, end, hb.Worker)
			touched[ref.job] = true
		}
	}
}

// applyProgress stores the checkpoints of attempts that are leased to the worker.
func (s *Store) applyProgress(hb *Heartbeat) {
	for _, progress := range hb.Progress {
		ref, task, ok := s.findTask(progress.Attempt)
		if ok && task.Lease.covers(progress.Attempt, hb) && s.specAt(ref).Checkpointed {
			task.Checkpoint, task.Percent = progress.Checkpoint, progress.Percent
			s.setTask(ref, task)
		}
	}
}

// applyRunning applies the attempts that a heartbeat lists as running, and adds them to the
// set listed. An attempt that is leased to the worker is recorded as started. Any other is
// adopted if possible; if not, the worker is told to stop it, and its resources are counted as
// unleased until the worker no longer lists it.
func (s *Store) applyRunning(hb *Heartbeat, update *heartbeatUpdate, touched jobSet, listed map[Attempt]bool) {
	worker, reply := &update.worker, &update.result.Heartbeat
	for _, attempt := range hb.Running {
		listed[attempt] = true
		ref, task, ok := s.findTask(attempt)
		if !ok {
			reply.Stops = append(reply.Stops, attempt)
			continue
		}
		leased := task.Lease.covers(attempt, hb)
		if !leased && s.adoptable(ref, &task, attempt, hb) {
			s.adopt(ref, &task, attempt, hb)
			leased = true
		}
		if leased && task.Lease.StartedAt == 0 {
			task.Lease.StartedAt = s.now
			s.setTask(ref, task)
			touched[ref.job] = true
		}
		resources := s.specAt(ref).Resources
		worker.Capacity = worker.Capacity.Add(resources)
		if !leased {
			worker.addUnleased(s.jobs[ref.job].Tenant, resources)
		}
		if !leased || task.Lease.StopReason != "" {
			reply.Stops = append(reply.Stops, attempt)
		}
	}
}

// adoptable reports whether an attempt that still runs after its lease was returned may get a
// lease again. That is safer than a stop, which may arrive too late.
func (s *Store) adoptable(ref taskRef, task *Task, attempt Attempt, hb *Heartbeat) bool {
	job := s.jobs[ref.job]
	return task.State == Ready && !task.Lease.Held() && attempt.Number > 0 && attempt.Number <= task.Attempts &&
		job.Spec.Service == hb.Service && job.Spec.Tasks[ref.index].Gang == ""
}

// adopt leases a task to the worker that already runs an attempt of it.
func (s *Store) adopt(ref taskRef, task *Task, attempt Attempt, hb *Heartbeat) {
	s.audit.record(Decision{
		Kind: decisionAdoptAttempt, Job: attempt.Job, Task: attempt.Task,
		AttemptNumber: attempt.Number, Worker: hb.Worker,
	})
	task.Lease = Lease{
		AttemptNumber: attempt.Number, Worker: hb.Worker, Incarnation: hb.Incarnation,
		HeartbeatNumber: hb.Number, GrantedAt: s.now, StartedAt: s.now, RunLimit: s.runLimit(ref),
	}
	s.setTask(ref, *task)
}

// applyUnlistedLeases handles the worker's leases that its heartbeat does not list. A lease
// that the heartbeat shows not to be running is returned. For any other one that is not being
// stopped, the reply gets a start order.
func (s *Store) applyUnlistedLeases(hb *Heartbeat, update *heartbeatUpdate, touched jobSet, listed map[Attempt]bool) {
	reply := &update.result.Heartbeat
	for _, ref := range s.unlistedLeases(hb, listed) {
		lease := &s.taskAt(ref).Lease
		if hb.showsNotRunning(lease) {
			s.returnLease(ref, lease.StartedAt > 0 && lease.StopReason == "", returnReasonNotRunning)
			touched[ref.job] = true
		} else if lease.StopReason == "" {
			reply.Starts = append(reply.Starts, s.startOrder(ref))
		}
	}
}

// unlistedLeases returns the tasks that are leased to the worker and not listed by its
// heartbeat. For a delta, these are the leases in NotRunning.
func (s *Store) unlistedLeases(hb *Heartbeat, listed map[Attempt]bool) []taskRef {
	var refs []taskRef
	if hb.Delta {
		for _, attempt := range hb.NotRunning {
			if ref, task, ok := s.findTask(attempt); ok && task.Lease.covers(attempt, hb) {
				refs = append(refs, ref)
			}
		}
		return refs
	}
	leases := s.usageOf(hb.Worker).leases
	for i := range leases {
		if leases[i].task.Lease.heldBy(hb) && !listed[leases[i].attempt()] {
			refs = append(refs, leases[i].ref)
		}
	}
	return refs
}

// showsNotRunning reports whether a heartbeat that does not list a lease of its worker shows
// that the worker does not run it: the attempt had started, or the worker has sent StartReplies
// heartbeats since the grant without listing it.
func (hb *Heartbeat) showsNotRunning(lease *Lease) bool {
	return lease.StartedAt > 0 || hb.Number >= lease.HeartbeatNumber+StartReplies
}

// showsNotRunningDespiteOrder is showsNotRunning for a worker that is also known to have
// received the start order, unless the attempt had started.
func (hb *Heartbeat) showsNotRunningDespiteOrder(lease *Lease) bool {
	return hb.showsNotRunning(lease) && (lease.StartedAt > 0 || hb.HasReceivedStart(lease))
}

// HasReceivedStart reports whether the worker of a heartbeat has received the start order of a
// lease, judged by LastReply or, where that is unknown, by the number of the heartbeat.
func (hb *Heartbeat) HasReceivedStart(lease *Lease) bool {
	if hb.LastReply > 0 {
		return hb.LastReply >= lease.HeartbeatNumber+StartReplies
	}
	return hb.Number >= lease.HeartbeatNumber+StartReplies
}

package state

import (
	"sorrelloom/core/status"
)

// Assignment assigns a task to a worker. HeartbeatNumber is the number of the worker's last
// heartbeat that the sender knows; it may be higher than the one in the state.
type Assignment struct {
	Job             string `json:"job"`
	Task            string `json:"task"`
	Worker          string `json:"worker"`
	HeartbeatNumber uint64 `json:"beat,omitempty"`
}

// Grant requests the leases of one task or one complete gang or, in a preemption, the leases
// to stop. It is rejected unless Epoch is the current epoch of its leadership.
type Grant struct {
	Leadership  string       `json:"duty"`
	Epoch       uint64       `json:"epoch"`
	Assignments []Assignment `json:"picks"`
	// PreemptFor is the task for which a preemption frees resources.
	PreemptFor Assignment `json:"for,omitzero"`
}

// attempt returns the assigned task as an Attempt without a number, for findTask.
func (a *Assignment) attempt() Attempt { return Attempt{Job: a.Job, Task: a.Task} }

// grantCheck accumulates the totals of the assignments of one grant that were checked so far.
type grantCheck struct {
	// taken is the sum of the assigned resources by worker, assigned the number of assigned
	// tasks by worker.
	taken    map[string]Resources
	assigned map[string]int
	// workers is the assigned worker of each task.
	workers map[taskRef]string
	slots   int
	// resources is the sum of the resources of all assignments.
	resources Resources
	// attemptNumber is the number of all attempts of the grant: one more than the highest
	// attempt number of any of their tasks.
	attemptNumber int
}

// grantLeases leases one task or one complete gang: all assignments or none.
//
// Each task must be ready and have no lease, its worker must be live, fit the task and have
// the resources free, the tenant must stay within its limit, and the class must stay within
// its share or be allowed to borrow. The conditions are checked on the state at the time when
// the command is applied, so that a scheduler with an outdated view cannot violate them.
func (s *Store) grantLeases(grant Grant) Result {
	if r := s.checkEpoch(&grant); r.isSet() {
		return r.result()
	}
	if len(grant.Assignments) == 0 {
		return reject(status.Malformed, "nothing is picked")
	}
	check := grantCheck{taken: map[string]Resources{}, assigned: map[string]int{}, workers: map[taskRef]string{}}
	for i := range grant.Assignments {
		if r := s.checkAssignment(&check, &grant.Assignments[i], grant.Assignments[0].Job); r.isSet() {
			return r.result()
		}
	}
	job := s.jobs[grant.Assignments[0].Job]
	first, _, _ := s.findTask(grant.Assignments[0].attempt())
	gang := job.Spec.Tasks[first.index].Gang
	if r := checkGangComplete(job, gang, &check, len(grant.Assignments)); r.isSet() {
		return r.result()
	}
	if r := s.checkTenantLimit(job.Tenant, check.resources); r.isSet() {
		return r.result()
	}
	allowed, borrowed := s.CheckShare(job.Spec.classKey(), check.slots, nil)
	if !allowed {
		return reject(status.QuotaExceeded, "class %s may not take %d slots more", job.Spec.Class, check.slots)
	}
	checkpoint, percent := s.gangCheckpoint(grant.Assignments)
	for i := range grant.Assignments {
		assignment := &grant.Assignments[i]
		ref, task, _ := s.findTask(assignment.attempt())
		if gang != "" {
			task.Checkpoint, task.Percent = checkpoint, percent
		}
		s.grantLease(ref, task, assignment, check.attemptNumber, borrowed)
	}
	return Result{Code: status.OK}
}

// checkEpoch rejects a grant from a scheduler that no longer holds its leadership. The epoch
// is the fencing token.
func (s *Store) checkEpoch(grant *Grant) rejection {
	if epoch := s.leaderships[grant.Leadership].Epoch; epoch != grant.Epoch || grant.Epoch == 0 {
		return newRejection(status.StaleEpoch, "duty %s is at epoch %d, not %d", grant.Leadership, epoch, grant.Epoch)
	}
	return rejection{}
}

// checkAssignment checks one assignment of a grant for the given job, together with those
// checked before, and adds it to the totals.
func (s *Store) checkAssignment(check *grantCheck, assignment *Assignment, jobID string) rejection {
	ref, task, ok := s.findTask(assignment.attempt())
	if !ok {
		return newRejection(status.UnknownJob, "no task %s/%s", assignment.Job, assignment.Task)
	}
	if assignment.Job != jobID || check.workers[ref] != "" {
		return newRejection(status.GangIncomplete, "one grant is one task or one gang")
	}
	job := s.jobs[jobID]
	if r := s.checkLeasable(job, ref.index, &task); r.isSet() {
		return r
	}
	if r := s.checkWorker(check, job, ref.index, assignment.Worker); r.isSet() {
		return r
	}
	check.assigned[assignment.Worker]++
	check.workers[ref] = assignment.Worker
	check.slots += job.Spec.Tasks[ref.index].Resources.Slots
	check.resources = check.resources.Add(job.Spec.Tasks[ref.index].Resources)
	check.attemptNumber = max(check.attemptNumber, task.Attempts+1)
	return rejection{}
}

// checkLeasable rejects a task that cannot be leased to any worker now.
func (s *Store) checkLeasable(job *Job, i int, task *Task) rejection {
	id, spec := job.Spec.ID, &job.Spec.Tasks[i]
	switch {
	case job.EndingState != "":
		return newRejection(status.JobCancelled, "job %s is ending", id)
	case task.State == Waiting:
		return newRejection(status.DependenciesUnmet, "task %s/%s waits for others", id, spec.ID)
	case task.State != Ready || task.Lease.Held():
		return newRejection(status.TaskNotPending, "task %s/%s is %s", id, spec.ID, task.State)
	case task.DueAt > s.now:
		return newRejection(status.DependenciesUnmet, "task %s/%s is due in %s", id, spec.ID, task.DueAt-s.now)
	case task.Failures >= spec.MaxFailures && !spec.LongRunning:
		return newRejection(status.RetriesExhausted, "task %s/%s has %d defects", id, spec.ID, task.Failures)
	}
	return rejection{}
}

// checkWorker rejects a worker that cannot take a task in addition to the tasks that earlier
// assignments of the grant give it.
func (s *Store) checkWorker(check *grantCheck, job *Job, i int, workerID string) rejection {
	worker, ok := s.workers[workerID]
	if !ok {
		return newRejection(status.UnknownName, "no worker %s", workerID)
	}
	spec := &job.Spec.Tasks[i]
	if code := s.Fits(job, i, worker); code != status.OK {
		return newRejection(code, "worker %s, task %s/%s", workerID, job.Spec.ID, spec.ID)
	}
	check.taken[workerID] = check.taken[workerID].Add(spec.Resources)
	if free := s.FreeResources(workerID); !free.Covers(check.taken[workerID]) {
		return newRejection(status.InsufficientResources, "worker %s has %+v", workerID, free)
	}
	if s.AtWorkerLimit(job, i, workerID, check.assigned[workerID]) {
		return newRejection(status.SpreadExceeded, "worker %s has %d tasks of this step", workerID, spec.MaxPerWorker)
	}
	return rejection{}
}

// checkGangComplete rejects a grant that does not consist of exactly the members of the gang
// that are not done or, without a gang, of exactly one task.
func checkGangComplete(job *Job, gang string, check *grantCheck, assignments int) rejection {
	members := 0
	for i := range job.Spec.Tasks {
		if gang == "" || job.Spec.Tasks[i].Gang != gang || job.Tasks[i].State == Done {
			continue
		}
		members++
		if check.workers[taskRef{job.Spec.ID, i}] == "" {
			return newRejection(status.GangIncomplete, "task %s/%s is not in the grant",
				job.Spec.ID, job.Spec.Tasks[i].ID)
		}
	}
	if assignments != max(members, 1) {
		return newRejection(status.GangIncomplete, "one grant is one task or one gang")
	}
	return rejection{}
}

// grantLease stores the lease of a task that passed all checks. It also stores the heartbeat
// number of the assignment, if that is higher than the worker's one in the state.
func (s *Store) grantLease(ref taskRef, task Task, assignment *Assignment, attemptNumber int, borrowed bool) {
	worker := *s.workerRecord(assignment.Worker)
	if assignment.HeartbeatNumber > worker.Number {
		worker.Number = assignment.HeartbeatNumber
		s.setWorker(worker)
	}
	task.Attempts = attemptNumber
	task.Lease = Lease{
		AttemptNumber: attemptNumber, Worker: assignment.Worker, Incarnation: worker.Incarnation,
		HeartbeatNumber: worker.Number, GrantedAt: s.now, RunLimit: s.runLimit(ref), Borrowed: borrowed,
	}
	s.setTask(ref, task)
	s.audit.record(Decision{
		Kind: decisionGrantLease, Job: assignment.Job, Task: assignment.Task,
		AttemptNumber: attemptNumber, Worker: assignment.Worker,
	})
}

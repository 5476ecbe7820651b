package state

import (
	"maps"
	"slices"
	"time"

	"sorrelloom/core/status"
)

// Worker is the record of a worker: its last heartbeat, without the attempts in it, and what
// the state has derived from its heartbeats.
type Worker struct {
	Heartbeat
	Capacity Resources `json:"capacity"`
	// Unleased is the sum of the resources of the attempts that the worker runs without a
	// lease and is told to stop.
	Unleased Resources `json:"stray,omitzero"`
	// UnleasedByTenant is the part of Unleased that runs for each tenant.
	UnleasedByTenant map[string]Resources `json:"strayByTenant,omitempty"`
	// Drained means that an operator has ordered that the worker gets no new leases.
	Drained bool `json:"drained,omitempty"`
	// ConfirmedDead means that an operator has confirmed that the worker will not come back.
	ConfirmedDead bool `json:"gone,omitempty"`
	// LastSeenAt is when the worker's last heartbeat was received, in state time.
	LastSeenAt time.Duration `json:"seenAt"`
	// LeaseExpiresAt is the end of the worker's own lease: until then it may run its attempts
	// without another heartbeat.
	LeaseExpiresAt time.Duration `json:"cutoffAt"`
}

// ID returns the worker's name.
func (w Worker) ID() string { return w.Heartbeat.Worker }

// Worker returns a worker by its name and whether it is known; an empty record if it is not.
func (s *Store) Worker(id string) (*Worker, bool) {
	if worker, known := s.workers[id]; known {
		return worker, true
	}
	return &Worker{}, false
}

// Live reports whether a worker has sent a heartbeat within the heartbeat timeout.
func (s *Store) Live(worker *Worker) bool {
	return s.now-worker.LastSeenAt <= s.config.Limits.HeartbeatTimeout.Duration
}

// workerRecord returns a worker by its name; an empty record if it is unknown.
func (s *Store) workerRecord(id string) *Worker {
	worker, _ := s.Worker(id)
	return worker
}

// Fits returns OK if a worker may take a task, or else the code of the first rule that
// prevents it: service, labels, draining, drained zone, liveness. It does not check
// resources.
func (s *Store) Fits(job *Job, i int, worker *Worker) status.Code {
	if worker.Service != job.Spec.Service {
		return status.WorkerMismatch
	}
	for _, label := range job.Spec.Tasks[i].Labels {
		if !slices.Contains(worker.Labels, label) {
			return status.WorkerMismatch
		}
	}
	if worker.Leaving || worker.Drained {
		return status.Draining
	}
	if len(s.drainedZones) > 0 && s.drainedZones[worker.Zone] {
		return status.ZoneDrained
	}
	if !s.Live(worker) {
		return status.WorkerUnresponsive
	}
	return status.OK
}

// setWorker stores a changed worker and updates what is derived from the workers' records;
// all changes of workers go through it.
func (s *Store) setWorker(worker Worker) {
	id := worker.ID()
	old := s.workerRecord(id)
	s.invalidateServiceLoad(old, &worker)
	s.countUnleased(old, -1)
	s.workers[id] = &worker
	s.countUnleased(&worker, 1)
	s.entries.set(&worker, s.changeableUsage(id))
}

// forgetWorker drops the record of a worker.
func (s *Store) forgetWorker(id string) {
	worker, known := s.workers[id]
	if !known {
		return
	}
	delete(s.serviceLoads, worker.Service)
	s.countUnleased(worker, -1)
	delete(s.workers, id)
	s.entries.remove(id)
	if s.LeaseCount(id) == 0 {
		delete(s.usage, id)
	}
}

// drainWorker drains a worker, or ends its draining if drain is false. Running attempts may
// finish.
func (s *Store) drainWorker(id string, drain bool) Result {
	worker, ok := s.workers[id]
	if !ok {
		return rejectUnknownName("worker", id, slices.Sorted(maps.Keys(s.workers)))
	}
	drained := *worker
	drained.Drained = drain
	kind := decisionDrainWorker
	if !drain {
		kind = decisionUndrainWorker
	}
	s.audit.record(Decision{Kind: kind, Worker: id})
	s.setWorker(drained)
	s.changes = append(s.changes, Change{Worker: id})
	return Result{Code: status.OK}
}

// confirmWorkerDead records an operator's confirmation that a silent worker will not come
// back. Tasks whose leases are held for the worker then wait only until their attempts must
// have ended.
func (s *Store) confirmWorkerDead(id string) Result {
	worker, ok := s.workers[id]
	switch {
	case !ok:
		return rejectUnknownName("worker", id, slices.Sorted(maps.Keys(s.workers)))
	case s.Live(worker):
		return reject(status.WorkerAlive, "worker %s was heard %s ago", id, s.now-worker.LastSeenAt)
	case worker.ConfirmedDead:
		return Result{Code: status.AlreadyDone}
	}
	dead := *worker
	dead.ConfirmedDead = true
	s.audit.record(Decision{Kind: decisionWorkerDead, Worker: id})
	s.setWorker(dead)
	s.changes = append(s.changes, Change{Worker: id})
	return Result{Code: status.OK}
}

package state

import (
	"maps"
	"slices"
	"time"

	"sorrelloom/core/status"
)

// Worker is the record of a worker: its last heartbeat, but for the attempts in it,
// and what the state makes of it.
type Worker struct {
	Heartbeat
	Capacity Resources `json:"capacity"`
	// Unleased is what the worker runs beside its leases, and is told to stop.
	Unleased Resources `json:"stray,omitzero"`
	// UnleasedByTenant are the parts of Unleased that run for tenants.
	UnleasedByTenant map[string]Resources `json:"strayByTenant,omitempty"`
	// Drained workers get no leases by an operator's order.
	Drained bool `json:"drained,omitempty"`
	// ConfirmedDead says that an operator knows that the worker will not come back.
	ConfirmedDead  bool          `json:"gone,omitempty"`
	LastSeenAt     time.Duration `json:"seenAt"`
	LeaseExpiresAt time.Duration `json:"cutoffAt"`
}

// ID is the worker's name.
func (w Worker) ID() string { return w.Heartbeat.Worker }

// Worker gives a worker by its name, and an empty record if it is unknown.
func (s *Store) Worker(id string) (*Worker, bool) {
	if worker, known := s.workers[id]; known {
		return worker, true
	}
	return &Worker{}, false
}

// Live says whether a worker was heard lately.
func (s *Store) Live(worker *Worker) bool {
	return s.now-worker.LastSeenAt <= s.config.Limits.HeartbeatTimeout.Duration
}

// workerRecord gives a worker as Worker does.
func (s *Store) workerRecord(id string) *Worker {
	worker, _ := s.Worker(id)
	return worker
}

// Fits checks the standing rules between a task and a worker, without resources.
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

// setWorker is the only way a worker changes; it keeps the ordered list right.
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

// drainWorker drains a worker, or takes that back. What it runs may end.
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

// confirmWorkerDead takes an operator's word that a silent worker will not come back:
// what is held for it waits only until its attempts must have ended.
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
